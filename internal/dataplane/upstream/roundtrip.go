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
	requestID         = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerServerLoad  = "X-Server-Load"
	statusMisdirected = 421

	maxMismatchedResponses = 2 // answers of other requests that are passed over on one connection

	idleMarginShare = 5 // a kept connection is closed this part of the worker's time before its end
	minIdleMargin   = 300 * time.Millisecond
)

var (
	errMismatchedResponse = errors.New("exchange: the answer carries another request's id")
	errProtocolSwitch     = errors.New("exchange: the worker changes the protocol")
	errTooLong            = errors.New("exchange: the answer is too long")
	errNestedStatusLine   = errors.New("exchange: an answer begins within the head of another")
)

// roundTrip is a call on a connection.
type roundTrip struct {
	conn           *conn
	request        *Request
	ctx            context.Context
	stopWatch      func() bool // ends the watch on the context
	write          requestWrite
	poisoned       bool         // the connection is not to be kept
	head           http1.Head   // of the answer, without its fields
	header         http1.Header // of the answer, all of them
	rules          http1.ParseRules
	headReceivedAt time.Time
}

// RoundTrip sends a call and returns its answer, or how it failed. The end of the context closes the connection, also while a Stream is
// read. A request whose head was written whole is not sent a second time. Nothing reads the call's body once RoundTrip has returned, or
// its Stream has ended.
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

// newFailure says what is known after an error. The connection must have been given up.
func (rt *roundTrip) newFailure(reason Reason, err error) *Failure {
	s := &rt.write
	failure := &Failure{Result: Broken, Reason: reason, Reused: rt.conn.reused, Written: s.writtenBytes, Total: s.totalBytes, Err: err}
	if s.writtenBytes < s.headBytes { // no worker can know what is asked of it
		failure.Result, failure.Reason = NotSent, WriteError
		if s.err != nil {
			failure.Err = s.err
		}
	}
	if rt.ctx.Err() != nil {
		failure.Reason = Canceled
	}
	return failure
}

// fail gives the connection up.
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

func (rt *roundTrip) abort() {
	rt.stopWatch()
	rt.conn.close()
	rt.write.await()
}

// releaseConn ends the call after a whole answer. The connection is kept where it may be: never while a byte of the request's body is
// due, as the worker would take another request's bytes for it.
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

// idleTimeout returns for how long the connection may be kept: less than the worker says.
func (rt *roundTrip) idleTimeout() time.Duration {
	for part := range strings.SplitSeq(rt.header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !http1.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > int(time.Hour/time.Second) {
			break
		}
		announced := time.Duration(seconds) * time.Second
		return announced - max(announced/idleMarginShare, minIdleMargin)
	}
	return rt.conn.pool.options.IdleTimeout
}
