package upstream

import (
	"time"

	"ospreybend/internal/util/http1"
)

// Request is one request to one worker.
type Request struct {
	Address string // "ip:port"
	Method  string
	Target  string // path and query, sent unchanged
	// Header is sent without its hop-by-hop fields and without Accept-Encoding, Expect and Content-Length, which the client sets
	// itself or never sends. It must have a Host field.
	Header http1.Header
	Body   []byte
	// StreamEvents asks for an event stream with a 2xx status to be returned as Response.Stream. Any other body is read completely.
	StreamEvents bool
	// MaxBodyBytes is the limit of a body that is read completely; 0 stands for 8 MiB.
	MaxBodyBytes int
	// ForceNewConn asks for a new connection instead of an idle one.
	ForceNewConn bool
}

// Response is the response to a request.
type Response struct {
	Result Result // NotExecuted, Misdirected or Answered
	Status int
	// Header is without hop-by-hop fields and without Content-Length.
	Header http1.Header
	Body   []byte  // complete; nil with Stream, and if a NotExecuted or Misdirected response was truncated
	Stream *Stream // if not nil, the body: the caller reads it to its error with Stream.Next, or calls Stream.Close
	Load   *Load   // of the X-Server-Load field; nil if there is none
	// Close reports whether the response had "Connection: close": the worker shuts down or limits its connections.
	Close bool
	// UntilClose reports whether the body is delimited by the end of the connection. It is complete only if the worker closed the
	// connection in order; if the connection was reset the round trip fails.
	UntilClose bool
	Reused     bool // the connection had been used before

	HeadReceivedAt time.Time
}

// Load is the load that a worker reports in its X-Server-Load field: requests running and waiting, and its slots.
type Load struct{ Running, Waiting, Slots int }

// Event is one event of an event stream.
type Event struct {
	Raw          []byte // its bytes, with the blank line
	ID           string // of its "id:" line; "" if there is none
	HasID        bool
	Versions     int64 // of its "versions:" line; -1 if there is none
	Unterminated bool  // the event ended with the body and not with a blank line
}

// Batch is what one call of Stream.Next returns: one event, or several that were received together.
type Batch struct {
	Raw    []byte // the bytes of all events, unchanged; valid until the next call of Next
	Events []Event
	Last   bool // the body is complete; Events may be empty then
	ReadAt time.Time
}

// Counts are a pool's counters since its start, and two gauges.
type Counts struct {
	Dials               int64 // connections opened, with those that failed
	DialsFailed         int64
	Reused              int64 // requests sent on an idle connection
	Stale               int64 // idle connections that the worker had closed
	Unsolicited         int64 // connections closed for bytes that belong to no request
	MismatchedResponses int64 // responses with the ID of another request
	Expired             int64 // idle connections closed before the worker would close them
	Open                int64 // connections now
	Idle                int64 // idle connections now
}
