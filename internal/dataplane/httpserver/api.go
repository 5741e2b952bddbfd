// Package httpserver is the server side of HTTP/1.1 towards clients: it reads whole requests, hands each to
// a handler, and writes exactly one answer for it.
package httpserver

import (
	"context"
	"errors"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

// Errors of a ResponseWriter. Errors of the connection are returned as they came.
var (
	ErrAlreadyAnswered = errors.New("front: the request has its answer already")
	ErrNotStarted      = errors.New("front: no answer was begun")
	ErrClientGone      = errors.New("front: the client's connection is closed")
)

// Handler serves one request. When it returns, the request is finished: one without an answer is
// answered 500, an answer begun and not finished is broken off. The request and the writer must not be
// used after that.
type Handler func(w *ResponseWriter, r *Request)

// Request is one request, read whole.
type Request struct {
	Context context.Context // ends when the client's connection ends or the request is finished

	Method string
	Target string // path and query as they came
	Path   string // the target without its query
	Host   string // as it came; one only, never empty
	Header http1.Header
	Body   []byte // the handler's own; nil where there is none

	FirstByteAt time.Time
	ReadAt      time.Time // when its last byte was read
}

// Options of a server. Handler and Limits are required.
type Options struct {
	Handler Handler
	// Limits returns the limits in force; it is called several times for each request. A figure of zero or below stands for its default.
	Limits func() configuration.Limits
	// RequestTimeout tells for how long a request with that head may be held, from its first byte on; its body has not come. A figure of zero
	// or below stands for no bound. It may be left out.
	RequestTimeout func(r *Request) time.Duration
	// LimitsConfirmed tells whether the limits are known to be those in force. Where they are not, a request beyond them is answered 503 and
	// may come again. It may be left out: the limits count as those in force then.
	LimitsConfirmed func() bool
	// MaxConnections is the most connections held at once; 0 stands for DefaultMaxConnections.
	MaxConnections int
	// MaxBufferedBodyBytes is the most bytes of request bodies held at once, over all connections; 0 stands for no
	// bound. Above it requests are answered 503.
	MaxBufferedBodyBytes int64
	// WriteTimeout is how long one write to a client may take; 0 stands for DefaultWriteTimeout.
	WriteTimeout time.Duration
	// RetryAfter is what refused connections are told; 0 stands for DefaultRetryAfter.
	RetryAfter time.Duration
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Log takes a line on what should not happen, such as a handler that panics; nil stands for none.
	Log func(line string)
}

// Counts tells what a server has seen since its start.
type Counts struct {
	Accepted           int64 // connections
	Rejected           int64 // connections turned away as all places were taken
	Evicted            int64 // idle connections closed in favour of new ones
	Requests           int64 // read whole and handed to the handler
	Malformed          int64 // requests that could not be read, with those over a limit
	TimedOut           int64 // requests that did not come in whole within the time
	ClientsGone        int64 // clients that left while their request was in work
	DuplicateResponses int64 // answers refused as the request had one
	MissingResponses   int64 // handlers that returned without an answer
	AbortedResponses   int64 // answers broken off
	Open               int64 // connections now
	InFlight           int64 // requests now
}
