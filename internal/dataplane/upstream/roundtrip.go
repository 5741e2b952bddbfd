package upstream

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	headerRequestID   = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerServerLoad  = "X-Server-Load"

	// maxMismatchedResponses is how many responses to other requests are skipped on one connection.
	maxMismatchedResponses = 2

	// An idle connection is closed before the worker would close it, so that no request crosses with its closing: a fifth of the
	// worker's keep-alive time before, and at least minIdleMargin.
	idleMarginDivisor = 5
	minIdleMargin     = 300 * time.Millisecond
	maxIdleTimeout    = time.Hour // a longer keep-alive time is ignored
)

var (
	errMismatchedResponse = errors.New("the response carries the ID of another request")
	errProtocolSwitch     = errors.New("the worker switches protocols")
	errTooLong            = errors.New("the response is too long")
	errNestedStatusLine   = errors.New("a response begins within the head of another")
)

// roundTrip is one request on one connection, and the reading of its response. Only requestWrite is shared with a second goroutine.
type roundTrip struct {
	conn           *conn
	request        *Request
	ctx            context.Context
	stopWatch      func() bool // ends the watch that closes the connection with ctx; false if ctx has ended
	write          requestWrite
	poisoned       bool         // the connection must not be reused
	head           http1.Head   // of the response, without its header fields
	header         http1.Header // of the response, with hop-by-hop fields
	rules          http1.ParseRules
	headReceivedAt time.Time
}

// RoundTrip sends a request and returns its response, or how it failed.
//
// A request whose head was written completely is never sent again. One that failed before that on a reused connection, which the
// worker had closed meanwhile, is sent again on another. The end of ctx closes the connection, also while the Stream of a response
// is read. Nothing reads the request's body after RoundTrip has returned, or after its Stream has ended.
func (p *Pool) RoundTrip(ctx context.Context, request *Request) (*Response, *Failure) {
	for {
		c, failure := p.getConn(ctx, request)
		if failure != nil {
			return nil, failure
		}
		rt := &roundTrip{conn: c, request: request, ctx: ctx}
		rt.rules = http1.ParseRules{MaxHeadBytes: maxHeadBytes, Strict: true}
		rt.stopWatch = context.AfterFunc(ctx, c.close)
		rt.startWrite()
		response, failure := rt.readResponse()
		if failure != nil && failure.Result == NotSent && c.reused && ctx.Err() == nil {
			p.increment(&p.counts.Stale)
			continue
		}
		return response, failure
	}
}

// newFailure returns the failure for an error. The connection must have been closed, so that the write has ended.
func (rt *roundTrip) newFailure(reason Reason, err error) *Failure {
	write := &rt.write
	failure := &Failure{Result: Broken, Reason: reason, Reused: rt.conn.reused, Written: write.writtenBytes, Total: write.totalBytes, Err: err}
	if write.writtenBytes < write.headBytes { // the worker cannot know the request
		failure.Result, failure.Reason = NotSent, WriteError
		if write.err != nil {
			failure.Err = write.err
		}
	}
	if rt.ctx.Err() != nil {
		failure.Reason = Canceled
	}
	return failure
}

// fail closes the connection and returns the failure for an error of reading.
func (rt *roundTrip) fail(err error) *Failure {
	rt.abort()
	var statusErr *http1.StatusError
	switch {
	case errors.Is(err, io.EOF):
		return rt.newFailure(ConnClosed, io.ErrUnexpectedEOF)
	case errors.Is(err, errMismatchedResponse):
		return rt.newFailure(MismatchedResponse, err)
	case errors.As(err, &statusErr), errors.Is(err, errProtocolSwitch), errors.Is(err, errTooLong), errors.Is(err, errNestedStatusLine):
		return rt.newFailure(Malformed, err)
	}
	return rt.newFailure(ReadError, err)
}

// abort closes the connection and waits until nothing is written any more.
func (rt *roundTrip) abort() {
	rt.stopWatch()
	rt.conn.close()
	rt.write.await()
}

// releaseConn ends the round trip after a complete response and returns the connection to the pool if it can be reused. It cannot
// while a byte of the request's body is still to be written: the worker would take the next request for the rest of that body.
func (rt *roundTrip) releaseConn(untilClose bool) {
	c := rt.conn
	notCanceled := rt.stopWatch()
	written := rt.write.waitComplete()
	if unsolicited := c.input.Len() > 0; unsolicited {
		c.pool.increment(&c.pool.counts.Unsolicited)
		rt.poisoned = true
	}
	if !notCanceled || !written || rt.poisoned || untilClose || rt.head.Close {
		c.close()
		rt.write.await()
		return
	}
	c.reused = false
	c.pool.putIdle(c, rt.idleTimeout())
}

// idleTimeout returns how long the connection may be idle: less than the worker's keep-alive time.
func (rt *roundTrip) idleTimeout() time.Duration {
	for part := range strings.SplitSeq(rt.header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !http1.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > int(maxIdleTimeout/time.Second) {
			break
		}
		announced := time.Duration(seconds) * time.Second
		return announced - max(announced/idleMarginDivisor, minIdleMargin)
	}
	return defaultIdleTimeout
}
