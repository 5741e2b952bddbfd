package httpserver

import (
	"context"
	"errors"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

// Errors returned by a ResponseWriter. I/O errors of the connection are returned unchanged.
var (
	// ErrResponseWritten means that a response to the request was already written, completely or in part.
	ErrResponseWritten = errors.New("httpserver: a response to the request was already written")
	// ErrNotStarted means that WriteHeader was not called before Flush, WriteChunk or Finish.
	ErrNotStarted = errors.New("httpserver: the response was not started by WriteHeader")
	// ErrConnectionClosed means that the client's connection is closed.
	ErrConnectionClosed = errors.New("httpserver: the client's connection is closed")
)

// Handler serves one request. When it returns, the request is finished: if no response was started, the server responds with status
// 500; a response that was started but not completed is aborted. The request and the writer must not be used after that.
type Handler func(w *ResponseWriter, r *Request)

// Request is a completely received request.
type Request struct {
	Context context.Context // canceled when the connection is closed or the handler returns

	Method string
	Target string // request target (path and query) as received
	Path   string // Target without its query
	Host   string // Host field as received; never empty
	Header http1.Header
	Body   []byte // owned by the handler; nil if there is none

	FirstByteAt time.Time // when the first byte was read
	ReadAt      time.Time // when the last byte was read
}

// Options configure a server. Handler and Limits are required.
type Options struct {
	Handler Handler
	// Limits returns the limits in force. It is called several times per request. A limit that is not positive is replaced by its
	// default.
	Limits func() configuration.Limits
	// RequestTimeout returns how long receiving a request may take, from its first byte on. It is called when the head has been read
	// but not the body. The header timeout applies as well; a result that is not positive adds no limit. It may be nil.
	RequestTimeout func(r *Request) time.Duration
	// LimitsConfirmed reports whether the result of Limits is known to be up to date. If it is not, a request that exceeds a limit is
	// rejected with status 503, so that the client may retry it. If the function is nil, limits count as confirmed.
	LimitsConfirmed func() bool
	// MaxConnections is the maximum number of open connections; 0 stands for 1024.
	MaxConnections int
	// MaxBufferedBodyBytes limits the memory used by all request bodies together; 0 stands for no limit. Requests that would exceed it
	// are rejected with status 503.
	MaxBufferedBodyBytes int64
	// WriteTimeout is how long one write to a client may take; 0 stands for 5 s.
	WriteTimeout time.Duration
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time
	// Log is called with one line for each error that was not caused by a client, such as a handler's panic. It may be nil.
	Log func(line string)
}

// Counts holds a server's counters since its start, and two gauges: Open and InFlight.
type Counts struct {
	Accepted           int64 // connections accepted
	Rejected           int64 // connections and requests rejected with status 503, for lack of capacity or of confirmed limits
	Evicted            int64 // idle connections closed in favor of new ones
	Requests           int64 // requests passed to the handler
	Malformed          int64 // requests rejected as malformed or beyond a limit
	TimedOut           int64 // requests not received completely in time
	ClientDisconnects  int64 // clients that closed their connection during a request
	DuplicateResponses int64 // calls of a ResponseWriter that failed because a response was already written
	MissingResponses   int64 // handlers that returned without starting a response
	AbortedResponses   int64 // responses that were started and not completed
	Open               int64 // connections currently open
	InFlight           int64 // requests currently in handlers
}
