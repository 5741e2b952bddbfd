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

const headerRequestID = "X-Request-Id"

const (
	// platformNoticeTime is how long the platform may take to stop sending connections: it checks the readiness each second, and two
	// checks must fail.
	platformNoticeTime = 2500 * time.Millisecond
	// quietPeriod is how long there must have been no new connection before the process ends.
	quietPeriod = 500 * time.Millisecond
	// shutdownMargin is the part of the platform's grace that is left for ending the process.
	shutdownMargin    = 700 * time.Millisecond
	drainPollInterval = 100 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of requests rejected during the shutdown, in seconds: another node takes them at once.
	shutdownRetryAfter = "0.01"
	// handleReleaseTimeout is how long calls that release KV handles may take at the end. It is part of shutdownMargin.
	handleReleaseTimeout = 200 * time.Millisecond
)

// drain is the graceful shutdown. It makes the process not ready, and returns when no request is in flight and no new connection
// comes, or when the grace is nearly over. Meanwhile accepts decides on new requests.
func (p *proxy) drain() {
	signaledAt := time.Now()
	grace := max(bootconfig.Seconds(p.settings.Load().Bounds.GraceS)-shutdownMargin, 0)
	p.shutdown.Store(&shutdown{signaledAt: signaledAt, deadline: signaledAt.Add(grace)})
	p.log.Info("draining", zap.Duration("grace", grace))
	p.clientServer.Drain(min(platformNoticeTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	quiet := waitUntilQuiet(ctx, p.clientServer.Counts)
	p.rejectAll.Store(true) // a request on a connection that is still open is rejected rather than aborted
	releaseCtx, stop := context.WithTimeout(context.Background(), handleReleaseTimeout)
	defer stop()
	p.dispatcher.Shutdown(releaseCtx)
	if quiet {
		_ = p.clientServer.Wait(ctx)
	}
	p.log.Info("shut down", zap.Int64("aborted", p.clientServer.Counts().InFlight))
}

// accepts reports whether a request is served. Outside a shutdown all are.
func (p *proxy) accepts(r *httpserver.Request) bool {
	state := p.shutdown.Load()
	if state == nil {
		return true
	}
	return !p.rejectAll.Load() && state.accepts(time.Now(), r.FirstByteAt, p.dispatcher.TimeLimit(r))
}

// serveRequest serves a request, or answers 503 if the shutdown does not accept it.
func (p *proxy) serveRequest(w *httpserver.ResponseWriter, r *httpserver.Request) {
	if p.accepts(r) {
		p.dispatcher.Serve(w, r)
		return
	}
	header := http1.Header{{Name: "Retry-After", Value: shutdownRetryAfter}}
	if id := r.Header.Get(headerRequestID); id != "" {
		header = append(header, http1.HeaderField{Name: headerRequestID, Value: id})
	}
	_ = w.WriteResponse(http.StatusServiceUnavailable, header, nil)
}

// waitUntilQuiet returns true when the platform has noticed the drain, no new connection comes and no request is in flight, and false
// when ctx ends first.
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

// sleep waits for the duration, and returns false if ctx ends first.
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
