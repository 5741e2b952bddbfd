package upstream

import (
	"bytes"
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

// readResponse reads the answer, and passes over those that belong to other requests.
func (rt *roundTrip) readResponse() (*Response, *Failure) {
	for mismatched := 0; ; mismatched++ {
		if err := rt.readHead(); err != nil {
			return nil, rt.fail(err)
		}
		if rt.isMatching() {
			return rt.finishResponse()
		}
		rt.conn.pool.increment(&rt.conn.pool.counts.MismatchedResponses)
		rt.poisoned = true
		if mismatched == maxMismatchedResponses || rt.head.Close || rt.header.Get(requestID) == "" {
			return nil, rt.fail(errMismatchedResponse)
		}
		body := rt.bodyReader()
		if body.UntilClose {
			return nil, rt.fail(errMismatchedResponse)
		}
		if err := rt.discardBody(&body); err != nil {
			return nil, rt.fail(err)
		}
	}
}

// readHead reads the next head that is not of an interim answer.
func (rt *roundTrip) readHead() error {
	c := rt.conn
	for {
		reader := http1.HeadReader{Kind: http1.Response, Rules: rt.rules}
		rt.head = http1.Head{RawHeader: rt.head.RawHeader[:0]}
		used := 0
		for used == 0 {
			var statusErr *http1.StatusError
			if used, statusErr = reader.Read(c.input.Bytes(), &rt.head); statusErr != nil {
				return statusErr
			}
			if used > 0 && containsStatusLine(c.input.Bytes()[reader.Start():used]) {
				return errNestedStatusLine
			}
			if used > 0 {
				break
			}
			if err := c.readMore(); err != nil {
				return err
			}
		}
		switch {
		case rt.head.Status >= 200:
			rt.headReceivedAt = c.pool.now()
			rt.header = rt.head.Header() // the input goes on to be used
			c.input.Discard(used)
			return nil
		case rt.head.Status == 101:
			return errProtocolSwitch
		}
		c.input.Discard(used)
	}
}

// containsStatusLine tells whether another answer begins within a head: a late one was cut there, and what follows may be the
// answer to this request, under the other one's status.
func containsStatusLine(head []byte) bool {
	const version = "HTTP/1."
	for at := 1; at < len(head); {
		found := bytes.Index(head[at:], []byte(version))
		if found < 0 {
			return false
		}
		at += found + len(version)
		if isStatusLineTail(head[at:]) {
			return true
		}
	}
	return false
}

// isStatusLineTail tells whether a text begins as a status line does behind "HTTP/1.": with a digit and a status.
func isStatusLineTail(text []byte) bool {
	const end = len("1 200")
	if len(text) <= end || text[1] != ' ' || text[end] != ' ' && text[end] != '\r' {
		return false
	}
	return isNumber(text[:1]) && isNumber(text[2:end])
}

func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// isMatching tells whether the answer carries the id of the request, or as the request none. One with two ids is nobody's.
func (rt *roundTrip) isMatching() bool {
	return rt.header.Count(requestID) <= 1 && rt.header.Get(requestID) == rt.request.Header.Get(requestID)
}

func (rt *roundTrip) bodyReader() http1.BodyReader {
	if rt.request.Method == "HEAD" {
		return http1.BodyReader{BodyState: http1.BodyState{Done: true}}
	}
	return http1.NewResponseBodyReader(&rt.head, &rt.rules)
}

// discardBody reads a body that nobody is to have.
func (rt *roundTrip) discardBody(body *http1.BodyReader) error {
	_, err := rt.readBody(body, nil)
	return err
}

// readBody appends a body to what is given.
func (rt *roundTrip) readBody(body *http1.BodyReader, received []byte) ([]byte, error) {
	c := rt.conn
	limit := rt.request.MaxBodyBytes
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	for !body.Done {
		data, used, statusErr := body.Next(c.input.Bytes())
		switch {
		case statusErr != nil:
			return nil, statusErr
		case len(received)+len(data) > limit:
			return nil, errTooLong
		}
		received = append(received, data...)
		c.input.Discard(used)
		if used > 0 {
			continue
		}
		err := c.readMore()
		if err == io.EOF && body.UntilClose && rt.endedCleanly() {
			body.Done = true
			return received, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return received, nil
}

// endedCleanly tells whether an end that was read is the worker's own. A write takes the error of a reset from the read, which then
// finds an end: only behind a request that was written whole can the two be told apart.
func (rt *roundTrip) endedCleanly() bool { return rt.write.waitComplete() }

// finishResponse reads the answer's body, or hands it on to be read event by event.
func (rt *roundTrip) finishResponse() (*Response, *Failure) {
	response := rt.newResponse()
	body := rt.bodyReader()
	response.UntilClose = body.UntilClose
	if rt.request.StreamEvents && response.Status < 300 && isEventStream(response.Header.Get("Content-Type")) {
		response.Stream = &Stream{roundTrip: rt, body: body}
		return response, nil
	}
	received, err := rt.readBody(&body, nil)
	switch {
	case err == nil:
		rt.releaseConn(body.UntilClose)
	case response.Result != Answered: // the head alone says that the request has not run; nobody is to have the body
		rt.abort()
		received = nil
	default:
		return nil, rt.fail(err)
	}
	response.Body = received
	return response, nil
}

func (rt *roundTrip) newResponse() *Response {
	response := &Response{Result: Answered, Status: rt.head.Status, Close: rt.head.Close && !rt.head.HTTP10, Reused: rt.conn.reused,
		HeadReceivedAt: rt.headReceivedAt}
	response.Header = http1.HopByHopOf(rt.header).Strip(rt.header).Without("Content-Length")
	response.Load = parseLoad(response.Header.Get(headerServerLoad))
	switch {
	case response.Status == statusMisdirected:
		response.Result = Misdirected
	case response.Header.Has(headerNotExecuted):
		response.Result = NotExecuted
	}
	return response
}

func isEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return http1.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

func parseLoad(value string) *Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &Load{numbers[0], numbers[1], numbers[2]}
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
