package httpserver

import (
	"context"
	"errors"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

// Errors of a ResponseWriter. Errors of the connection are returned unchanged.
var (
	// ErrAlreadyAnswered means that bytes of a response to the request were already written.
	ErrAlreadyAnswered = errors.New("httpserver: the request already has a response")
	// ErrNotStarted means that WriteHeader was not called.
	ErrNotStarted = errors.New("httpserver: the response was not started")
	// ErrClientGone means that the client's connection is closed.
	ErrClientGone = errors.New("httpserver: the client's connection is closed")
)

// Handler serves one request. When it returns, the request is finished: if there is no response it is answered 500, and a response
// that was started and not finished is aborted. The request and the writer must not be used after that.
type Handler func(w *ResponseWriter, r *Request)

// Request is one complete request.
type Request struct {
	Context context.Context // canceled when the client's connection ends or the request is finished

	Method string
	Target string // path and query as received
	Path   string // the target without its query
	Host   string // as received; never empty
	Header http1.Header
	Body   []byte // owned by the handler; nil if there is none

	FirstByteAt time.Time
	ReadAt      time.Time // when its last byte was read
}

// Options are the options of a server. Handler and Limits are required.
type Options struct {
	Handler Handler
	// Limits returns the limits in force. It is called several times for each request. A limit of zero or below stands for its default.
	Limits func() configuration.Limits
	// RequestTimeout returns how long a request may take from its first byte on, by its head: the body has not been read. Zero or below
	// stands for no limit but that of the configuration. It may be nil.
	RequestTimeout func(r *Request) time.Duration
	// LimitsConfirmed reports whether the limits are known to be those in force. If they are not, a request beyond them is answered 503,
	// so that the client may retry it. It may be nil: the limits count as confirmed then.
	LimitsConfirmed func() bool
	// MaxConnections is the limit of open connections; 0 stands for 1024.
	MaxConnections int
	// MaxBufferedBodyBytes is the limit of the bytes of all request bodies in memory; 0 stands for none. Requests beyond it are
	// answered 503.
	MaxBufferedBodyBytes int64
	// WriteTimeout is how long one write to a client may take; 0 stands for 5 s.
	WriteTimeout time.Duration
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Log is called with a line for each error that no client causes, such as a handler that panics; it may be nil.
	Log func(line string)
}

// Counts are a server's counters since its start, and two gauges.
type Counts struct {
	Accepted           int64 // connections
	Rejected           int64 // connections and requests answered 503 for lack of capacity or of confirmed limits
	Evicted            int64 // idle connections closed in favor of new ones
	Requests           int64 // handed to the handler
	Malformed          int64 // requests that could not be read, those beyond a limit included
	TimedOut           int64 // requests not received completely in time
	ClientsGone        int64 // clients that closed their connection during a request
	DuplicateResponses int64 // responses not written since the request already had one
	MissingResponses   int64 // handlers that returned without a response
	AbortedResponses   int64 // responses not completed
	Open               int64 // connections now
	InFlight           int64 // requests in handlers now
}
