package proxy

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/http1"
)

const (
	// platformNoticeTime is how long the platform may take to send no more connections: it asks each second,
	// and two answers must be missed.
	platformNoticeTime = 2500 * time.Millisecond
	// quietPeriod is how long no new connection may have come before the process ends.
	quietPeriod = 500 * time.Millisecond
	// shutdownMargin is left of the platform's grace for ending.
	shutdownMargin    = 700 * time.Millisecond
	drainPollInterval = 100 * time.Millisecond
	// shutdownRetryAfter is what a client is told that is refused then, in seconds.
	shutdownRetryAfter = "0.01"
	// handleReleaseTimeout is how long calls that free handles may take at the end; it is part of endMargin.
	handleReleaseTimeout = 200 * time.Millisecond
)

// drain tells the platform to send no more clients, and returns once nothing is in work and nothing new
// comes, or the grace is nearly over.
func (p *proxy) drain() {
	signaledAt := time.Now()
	grace := max(bootconfig.Seconds(p.settings.Load().Bounds.GraceS)-shutdownMargin, 0)
	p.shutdown.Store(&shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(grace)})
	p.log.Info("draining", zap.Duration("at most", grace))
	p.clientServer.Drain(min(platformNoticeTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	quiet := waitUntilQuiet(ctx, p.clientServer.Counts)
	p.rejectAll.Store(true) // a request that comes on a connection which is still open is refused, and not cut
	releaseCtx, stop := context.WithTimeout(context.Background(), handleReleaseTimeout)
	defer stop()
	p.dispatcher.Shutdown(releaseCtx)
	if quiet {
		_ = p.clientServer.Wait(ctx)
	}
	p.log.Info("ending", zap.Int64("cut", p.clientServer.Counts().InFlight))
}

// accepts tells whether a request is served, and not refused since the process is about to end.
func (p *proxy) accepts(r *httpserver.Request) bool {
	shutdown := p.shutdown.Load()
	if shutdown == nil {
		return true
	}
	return !p.rejectAll.Load() && shutdown.accepts(time.Now(), r.FirstByteAt, p.dispatcher.TimeLimit(r))
}

// serveRequest serves a request, or refuses it if the process is about to end.
func (p *proxy) serveRequest(w *httpserver.ResponseWriter, r *httpserver.Request) {
	if p.accepts(r) {
		p.dispatcher.Serve(w, r)
		return
	}
	fields := http1.Header{{Name: "Retry-After", Value: shutdownRetryAfter}}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		fields = append(fields, http1.HeaderField{Name: "X-Request-Id", Value: id})
	}
	_ = w.WriteResponse(http.StatusServiceUnavailable, fields, nil)
}

// waitUntilQuiet returns true once clients come no more and no request is in work, and false once ctx has ended.
func waitUntilQuiet(ctx context.Context, readCounts func() httpserver.Counts) bool {
	started := time.Now()
	lastAcceptedAt := started
	accepted := readCounts().Accepted
	for sleep(ctx, drainPollInterval) {
		counts := readCounts()
		now := time.Now()
		if counts.Accepted != accepted {
			accepted = counts.Accepted
			lastAcceptedAt = now
		}
		quiet := now.Sub(started) >= platformNoticeTime && now.Sub(lastAcceptedAt) >= quietPeriod
		if quiet && counts.InFlight == 0 {
			return true
		}
	}
	return false
}

// sleep waits, and returns false once ctx has ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
