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
	requestID   = "X-Request-Id"
	notExecuted = "X-Not-Executed"
	serverLoad  = "X-Server-Load"
	misdirected = 421

	mostForeign = 2 // answers of other requests that are passed over on one connection

	restShare  = 5 // a kept connection is closed this part of the worker's time before its end
	leastSpare = 300 * time.Millisecond
)

var (
	errForeign  = errors.New("exchange: the answer carries another request's id")
	errSwitched = errors.New("exchange: the worker changes the protocol")
	errLong     = errors.New("exchange: the answer is too long")
	errJoined   = errors.New("exchange: an answer begins within the head of another")
)

// trip is a call on a connection.
type trip struct {
	conn     *conn
	call     *Call
	ctx      context.Context
	stop     func() bool // ends the watch on the context
	sending  sending
	poisoned bool         // the connection is not to be kept
	head     http1.Head   // of the answer, without its fields
	fields   http1.Header // of the answer, all of them
	rules    http1.ParseRules
	headAt   time.Time
}

// Do sends a call and returns its answer, or how it failed. The end of the context closes the connection, also while a Stream is
// read. A request whose head was written whole is not sent a second time. Nothing reads the call's body once Do has returned, or
// its Stream has ended.
func (p *Pool) Do(ctx context.Context, call *Call) (*Response, *Failure) {
	for {
		c, failure := p.take(ctx, call)
		if failure != nil {
			return nil, failure
		}
		t := &trip{conn: c, call: call, ctx: ctx}
		t.rules = http1.ParseRules{MaxHeadBytes: headLimit, Strict: true}
		t.stop = context.AfterFunc(ctx, c.drop)
		t.send()
		response, failure := t.receive()
		if failure != nil && failure.Result == NotSent && c.reused && ctx.Err() == nil {
			p.count(&p.counts.Stale)
			continue
		}
		return response, failure
	}
}

// failure says what is known after an error. The connection must have been given up.
func (t *trip) failure(reason Reason, err error) *Failure {
	s := &t.sending
	f := &Failure{Result: Broken, Reason: reason, Reused: t.conn.reused, Written: s.written, Total: s.total, Err: err}
	if s.written < s.head { // no worker can know what is asked of it
		f.Result, f.Reason = NotSent, WriteError
		if s.err != nil {
			f.Err = s.err
		}
	}
	if t.ctx.Err() != nil {
		f.Reason = Cancelled
	}
	return f
}

// fail gives the connection up.
func (t *trip) fail(err error) *Failure {
	t.giveUp()
	var fault *http1.StatusError
	switch {
	case errors.Is(err, io.EOF):
		return t.failure(Ended, io.ErrUnexpectedEOF)
	case errors.Is(err, errForeign):
		return t.failure(Foreign, err)
	case errors.As(err, &fault), errors.Is(err, errSwitched), errors.Is(err, errLong), errors.Is(err, errJoined):
		return t.failure(Malformed, err)
	}
	return t.failure(ReadError, err)
}

func (t *trip) giveUp() {
	t.stop()
	t.conn.drop()
	t.sending.await()
}

// receive reads the answer, and passes over those that belong to other requests.
func (t *trip) receive() (*Response, *Failure) {
	for foreign := 0; ; foreign++ {
		if err := t.readHead(); err != nil {
			return nil, t.fail(err)
		}
		if t.isOwn() {
			return t.answer()
		}
		t.conn.pool.count(&t.conn.pool.counts.Foreign)
		t.poisoned = true
		if foreign == mostForeign || t.head.Close || t.fields.Get(requestID) == "" {
			return nil, t.fail(errForeign)
		}
		body := t.body()
		if body.UntilClose {
			return nil, t.fail(errForeign)
		}
		if err := t.passOver(&body); err != nil {
			return nil, t.fail(err)
		}
	}
}

// readHead reads the next head that is not of an interim answer.
func (t *trip) readHead() error {
	c := t.conn
	for {
		reader := http1.HeadReader{Kind: http1.Response, Rules: t.rules}
		t.head = http1.Head{RawHeader: t.head.RawHeader[:0]}
		used := 0
		for used == 0 {
			var fault *http1.StatusError
			if used, fault = reader.Read(c.in.Bytes(), &t.head); fault != nil {
				return fault
			}
			if used > 0 && holdsStatusLine(c.in.Bytes()[reader.Start():used]) {
				return errJoined
			}
			if used > 0 {
				break
			}
			if err := c.more(); err != nil {
				return err
			}
		}
		switch {
		case t.head.Status >= 200:
			t.headAt = c.pool.now()
			t.fields = t.head.Header() // the input goes on to be used
			c.in.Discard(used)
			return nil
		case t.head.Status == 101:
			return errSwitched
		}
		c.in.Discard(used)
	}
}

// holdsStatusLine tells whether another answer begins within a head: a late one was cut there, and what follows may be the
// answer to this request, under the other one's status.
func holdsStatusLine(head []byte) bool {
	const version = "HTTP/1."
	for at := 1; at < len(head); {
		found := bytes.Index(head[at:], []byte(version))
		if found < 0 {
			return false
		}
		at += found + len(version)
		if isVersionAndStatus(head[at:]) {
			return true
		}
	}
	return false
}

// isVersionAndStatus tells whether a text begins as a status line does behind "HTTP/1.": with a digit and a status.
func isVersionAndStatus(text []byte) bool {
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

// isOwn tells whether the answer carries the id of the request, or as the request none. One with two ids is nobody's.
func (t *trip) isOwn() bool {
	return t.fields.Count(requestID) <= 1 && t.fields.Get(requestID) == t.call.Fields.Get(requestID)
}

func (t *trip) body() http1.BodyReader {
	if t.call.Method == "HEAD" {
		return http1.BodyReader{BodyState: http1.BodyState{Done: true}}
	}
	return http1.NewResponseBodyReader(&t.head, &t.rules)
}

// passOver reads a body that nobody is to have.
func (t *trip) passOver(body *http1.BodyReader) error {
	_, err := t.readWhole(body, nil)
	return err
}

// readWhole appends a body to what is given.
func (t *trip) readWhole(body *http1.BodyReader, whole []byte) ([]byte, error) {
	c := t.conn
	limit := t.call.BodyLimit
	if limit <= 0 {
		limit = DefaultBodyLimit
	}
	for !body.Done {
		data, used, fault := body.Next(c.in.Bytes())
		switch {
		case fault != nil:
			return nil, fault
		case len(whole)+len(data) > limit:
			return nil, errLong
		}
		whole = append(whole, data...)
		c.in.Discard(used)
		if used > 0 {
			continue
		}
		err := c.more()
		if err == io.EOF && body.UntilClose && t.endedInOrder() {
			body.Done = true
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return whole, nil
}

// endedInOrder tells whether an end that was read is the worker's own. A write takes the error of a reset from the read, which then
// finds an end: only behind a request that was written whole can the two be told apart.
func (t *trip) endedInOrder() bool { return t.sending.settle() }

// answer reads the answer's body, or hands it on to be read event by event.
func (t *trip) answer() (*Response, *Failure) {
	r := t.response()
	body := t.body()
	r.ToEnd = body.UntilClose
	if t.call.Events && r.Status < 300 && isEventStream(r.Fields.Get("Content-Type")) {
		r.Stream = &Stream{trip: t, body: body}
		return r, nil
	}
	whole, err := t.readWhole(&body, nil)
	switch {
	case err == nil:
		t.done(body.UntilClose)
	case r.Result != Answered: // the head alone says that the request has not run; nobody is to have the body
		t.giveUp()
		whole = nil
	default:
		return nil, t.fail(err)
	}
	r.Body = whole
	return r, nil
}

func (t *trip) response() *Response {
	r := &Response{Result: Answered, Status: t.head.Status, Leaving: t.head.Close && !t.head.HTTP10, Reused: t.conn.reused,
		HeadAt: t.headAt}
	r.Fields = http1.HopByHopOf(t.fields).Strip(t.fields).Without("Content-Length")
	r.Load = parseLoad(r.Fields.Get(serverLoad))
	switch {
	case r.Status == misdirected:
		r.Result = Misdirected
	case r.Fields.Has(notExecuted):
		r.Result = NotExecuted
	}
	return r
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

// done ends the call after a whole answer. The connection is kept where it may be: never while a byte of the request's body is
// due, as the worker would take another request's bytes for it.
func (t *trip) done(toEnd bool) {
	c := t.conn
	running := t.stop()
	whole := t.sending.settle()
	if surplus := c.in.Len() > 0; surplus {
		c.pool.count(&c.pool.counts.Surplus)
		t.poisoned = true
	}
	if !running || !whole || t.poisoned || toEnd || t.head.Close {
		c.drop()
		t.sending.await()
		return
	}
	c.reused = false
	c.pool.keep(c, t.rest())
}

// rest returns for how long the connection may be kept: less than the worker says.
func (t *trip) rest() time.Duration {
	for part := range strings.SplitSeq(t.fields.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !http1.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 || seconds > int(time.Hour/time.Second) {
			break
		}
		told := time.Duration(seconds) * time.Second
		return told - max(told/restShare, leastSpare)
	}
	return t.conn.pool.options.IdleTimeout
}
