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

	// maxMismatchedResponses is the number of responses to other requests that a round trip skips before it fails.
	maxMismatchedResponses = 2

	// An idle connection is closed before the worker closes it, so that no request is sent while the worker closes the connection.
	// The margin is a fifth of the worker's keep-alive time, and at least minIdleMargin.
	idleMarginDivisor = 5
	minIdleMargin     = 300 * time.Millisecond
	maxIdleTimeout    = time.Hour // longer keep-alive times are ignored
)

var (
	errMismatchedResponse = errors.New("response carries the ID of another request or no ID")
	errProtocolSwitch     = errors.New("worker responded with status 101 (Switching Protocols)")
	errTooLarge           = errors.New("response body or event exceeds the size limit")
	errNestedStatusLine   = errors.New("response head contains another status line")
)

// roundTrip sends a request on a connection and reads its response. Only the field write is shared with another goroutine.
type roundTrip struct {
	conn             *conn
	request          *Request
	ctx              context.Context
	stopContextWatch func() bool // cancels the AfterFunc that closes the connection when ctx ends; false if it has started or was canceled before
	write            requestWrite
	notReusable      bool         // the connection must be closed after the response
	head             http1.Head   // head of the response; its header fields are in header
	header           http1.Header // header of the response, including hop-by-hop fields
	rules            http1.ParseRules
	headReceivedAt   time.Time
}

// RoundTrip sends a request and returns either its response or a Failure.
//
// A request whose head was written completely is never sent again. If writing the head fails on a reused connection, which the
// worker has closed in the meantime, the request is sent again on another connection. The end of ctx closes the connection, even
// while the Stream of a response is read. The request's body is not accessed after RoundTrip has returned or, if the response has a
// Stream, after the Stream has ended.
func (p *Pool) RoundTrip(ctx context.Context, request *Request) (*Response, *Failure) {
	for {
		c, failure := p.getConn(ctx, request)
		if failure != nil {
			return nil, failure
		}
		rt := &roundTrip{conn: c, request: request, ctx: ctx}
		rt.rules = http1.ParseRules{MaxHeadBytes: maxHeadBytes, Strict: true}
		rt.stopContextWatch = context.AfterFunc(ctx, c.close)
		rt.startWrite()
		response, failure := rt.readResponse()
		if failure != nil && failure.Result == NotSent && c.reused && ctx.Err() == nil {
			p.increment(&p.counts.Stale)
			continue
		}
		return response, failure
	}
}

// newFailure returns the Failure for an error. The write must have ended, so the connection must have been closed before.
func (rt *roundTrip) newFailure(reason Reason, err error) *Failure {
	write := &rt.write
	failure := &Failure{Result: Broken, Reason: reason, Reused: rt.conn.reused, Written: write.writtenBytes, Total: write.totalBytes, Err: err}
	if write.writtenBytes < write.headBytes { // the worker has not received a complete head
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

// fail closes the connection and returns the Failure for a read error.
func (rt *roundTrip) fail(err error) *Failure {
	rt.abort()
	var statusErr *http1.StatusError
	switch {
	case errors.Is(err, io.EOF):
		return rt.newFailure(ConnClosed, io.ErrUnexpectedEOF)
	case errors.Is(err, errMismatchedResponse):
		return rt.newFailure(MismatchedResponse, err)
	case errors.As(err, &statusErr), errors.Is(err, errProtocolSwitch), errors.Is(err, errTooLarge), errors.Is(err, errNestedStatusLine):
		return rt.newFailure(Malformed, err)
	}
	return rt.newFailure(ReadError, err)
}

// abort closes the connection and waits until the write has ended.
func (rt *roundTrip) abort() {
	rt.stopContextWatch()
	rt.conn.close()
	rt.write.wait()
}

// releaseConn ends the round trip after a complete response and returns the connection to the pool if it can be reused. A connection
// on which the request was not written completely cannot be reused: the worker would read the next request as the rest of the body.
func (rt *roundTrip) releaseConn(untilClose bool) {
	c := rt.conn
	notCanceled := rt.stopContextWatch()
	written := rt.write.waitComplete()
	if unsolicited := c.input.Len() > 0; unsolicited {
		c.pool.increment(&c.pool.counts.Unsolicited)
		rt.notReusable = true
	}
	if !notCanceled || !written || rt.notReusable || untilClose || rt.head.Close {
		c.close()
		rt.write.wait()
		return
	}
	c.reused = false
	c.pool.putIdle(c, rt.idleTimeout())
}

// idleTimeout returns how long the connection may stay idle, which is less than the keep-alive time announced by the worker.
func (rt *roundTrip) idleTimeout() time.Duration {
	for parameter := range strings.SplitSeq(rt.header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !http1.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > int(maxIdleTimeout/time.Second) {
			break
		}
		keepAliveTime := time.Duration(seconds) * time.Second
		return keepAliveTime - max(keepAliveTime/idleMarginDivisor, minIdleMargin)
	}
	return defaultIdleTimeout
}
