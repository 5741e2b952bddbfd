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
	// platformNoticeTime is how long the platform may take to stop sending connections: it checks the readiness every second, and stops
	// after two failed checks.
	platformNoticeTime = 2500 * time.Millisecond
	// quietPeriod is how long no new connection must have been accepted before the process exits.
	quietPeriod = 500 * time.Millisecond
	// shutdownMargin is the part of the platform's grace period that is reserved for the exit of the process after the drain.
	shutdownMargin    = 700 * time.Millisecond
	drainPollInterval = 100 * time.Millisecond
	// shutdownRetryAfter is the Retry-After value of requests rejected during the shutdown, in seconds. It is short because another
	// node can serve the request at once.
	shutdownRetryAfter = "0.01"
	// handleReleaseTimeout is how long the calls that release KV handles at the end of the drain may take. They run within
	// shutdownMargin.
	handleReleaseTimeout = 200 * time.Millisecond
)

// drain performs the graceful shutdown. It makes the readiness check fail, and returns when no request is in flight and no new
// connections are accepted any more, or when the grace period is nearly over. Until then, accepts decides on each new request.
func (p *proxy) drain() {
	signaledAt := time.Now()
	grace := max(bootconfig.Seconds(p.settings.Load().Bounds.GraceS)-shutdownMargin, 0)
	p.shutdown.Store(&shutdownPolicy{signaledAt: signaledAt, deadline: signaledAt.Add(grace)})
	p.log.Info("draining", zap.Duration("grace", grace))
	p.clientServer.Drain(min(platformNoticeTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	quiet := waitUntilQuiet(ctx, p.clientServer.Counts)
	p.rejectAll.Store(true) // reject new requests on open connections; they would be aborted when the process exits
	releaseCtx, stop := context.WithTimeout(context.Background(), handleReleaseTimeout)
	defer stop()
	p.dispatcher.Shutdown(releaseCtx)
	if quiet {
		_ = p.clientServer.Wait(ctx)
	}
	p.log.Info("shut down", zap.Int64("aborted", p.clientServer.Counts().InFlight))
}

// accepts reports whether a request may be served. Before the shutdown every request is.
func (p *proxy) accepts(r *httpserver.Request) bool {
	state := p.shutdown.Load()
	if state == nil {
		return true
	}
	return !p.rejectAll.Load() && state.accepts(time.Now(), r.FirstByteAt, p.dispatcher.TimeLimit(r))
}

// serveRequest serves a request, or answers with 503 if it is not accepted during the shutdown.
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

// waitUntilQuiet waits until the platform has had time to notice the drain, no new connection has been accepted for quietPeriod and no
// request is in flight. It returns true then, and false if ctx ends first.
func waitUntilQuiet(ctx context.Context, readCounts func() httpserver.Counts) bool {
	startedAt := time.Now()
	lastAcceptedAt := startedAt
	accepted := readCounts().Accepted
	for sleep(ctx, drainPollInterval) {
		counts := readCounts()
		now := time.Now()
		if counts.Accepted != accepted {
			accepted = counts.Accepted
			lastAcceptedAt = now
		}
		quiet := now.Sub(startedAt) >= platformNoticeTime && now.Sub(lastAcceptedAt) >= quietPeriod
		if quiet && counts.InFlight == 0 {
			return true
		}
	}
	return false
}

// sleep waits for the duration and returns true, or returns false if ctx ends first.
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
