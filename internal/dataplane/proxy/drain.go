package proxy

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/http1"
)

const (
	// noticeTime is how long the platform may take to send no more connections: it asks each second,
	// and two answers must be missed.
	noticeTime = 2500 * time.Millisecond
	// quietTime is how long no new connection may have come before the process ends.
	quietTime = 500 * time.Millisecond
	// endMargin is left of the platform's grace for ending.
	endMargin = 700 * time.Millisecond
	pollTime  = 100 * time.Millisecond
	// lateRetryAfter is what a client is told that is refused then, in seconds.
	lateRetryAfter = "0.01"
	// settleTime is how long calls that free handles may take at the end; it is part of endMargin.
	settleTime = 200 * time.Millisecond
)

// drain tells the platform to send no more clients, and returns once nothing is in work and nothing new
// comes, or the grace is nearly over.
func (p *proxy) drain() {
	told := time.Now()
	grace := max(bootconfig.Seconds(p.settings.Load().Bounds.GraceS)-endMargin, 0)
	p.closing.Store(&closing{told: told, end: told.Add(grace)})
	p.log.Info("draining", zap.Duration("at most", grace))
	p.front.Drain(min(noticeTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	quiet := awaitQuiet(ctx, p.front.Counts)
	p.ending.Store(true) // a request that comes on a connection which is still open is refused, and not cut
	settleCtx, stop := context.WithTimeout(context.Background(), settleTime)
	defer stop()
	p.dispatcher.Settle(settleCtx)
	if quiet {
		_ = p.front.Wait(ctx)
	}
	p.log.Info("ending", zap.Int64("cut", p.front.Counts().InWork))
}

// takes tells whether a request is served, and not refused since the process is about to end.
func (p *proxy) takes(r *httpserver.Request) bool {
	told := p.closing.Load()
	if told == nil {
		return true
	}
	return !p.ending.Load() && told.takes(time.Now(), r.FirstByteAt, p.dispatcher.Held(r))
}

// take serves a request, or refuses it if the process is about to end.
func (p *proxy) take(w *httpserver.ResponseWriter, r *httpserver.Request) {
	if p.takes(r) {
		p.dispatcher.Serve(w, r)
		return
	}
	fields := http1.Header{{Name: "Retry-After", Value: lateRetryAfter}}
	if id := r.Fields.Get("X-Request-Id"); id != "" {
		fields = append(fields, http1.HeaderField{Name: "X-Request-Id", Value: id})
	}
	_ = w.Answer(http.StatusServiceUnavailable, fields, nil)
}

// awaitQuiet returns true once clients come no more and no request is in work, and false once ctx has ended.
func awaitQuiet(ctx context.Context, read func() httpserver.Counts) bool {
	started := time.Now()
	lastNew := started
	seen := read().Accepted
	for pause(ctx, pollTime) {
		counts := read()
		now := time.Now()
		if counts.Accepted != seen {
			seen = counts.Accepted
			lastNew = now
		}
		noticed := now.Sub(started) >= noticeTime && now.Sub(lastNew) >= quietTime
		if noticed && counts.InWork == 0 {
			return true
		}
	}
	return false
}

// pause waits, and returns false once ctx has ended.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchSettings reads the settings file again at each SIGHUP, until the function that it returns is
// called. Connections and requests stay as they are.
func (p *proxy) watchSettings() func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-signals:
				p.reload(bootconfig.Path())
			case <-stopped:
				return
			}
		}
	}()
	return func() {
		signal.Ignore(syscall.SIGHUP) // a signal that nobody catches would end the process before its time
		close(stopped)
	}
}

// reload takes over what may change while the process runs: the memory limit and the grace. A file
// that cannot be read, also not a moment later, changes nothing.
func (p *proxy) reload(path string) {
	loaded, err := bootconfig.LoadWithRetry(path)
	if err != nil {
		p.log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	p.settings.Store(&loaded)
	applyMemoryLimit(loaded.Limits)
	p.log.Info("settings reloaded")
}
