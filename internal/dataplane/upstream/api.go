package upstream

import (
	"time"

	"ospreybend/internal/util/http1"
)

// Request is a single request to a worker.
type Request struct {
	Address string // "ip:port"
	Method  string
	Target  string // request target: path and query, sent unchanged
	// Header is sent without its hop-by-hop fields and without Accept-Encoding, Expect and Content-Length, which the client either
	// sets itself or never sends. It must contain a Host field.
	Header http1.Header
	Body   []byte
	// StreamEvents makes an event stream with a 2xx status available as Response.Stream. Any other body is read completely before
	// RoundTrip returns.
	StreamEvents bool
	// MaxBodyBytes limits the size of a response body that is read completely; 0 means 8 MiB.
	MaxBodyBytes int
	// ForceNewConn opens a new connection instead of reusing an idle one.
	ForceNewConn bool
}

// Response is a worker's response to a Request.
type Response struct {
	Result Result // NotExecuted, Misdirected or Answered
	Status int
	// Header excludes hop-by-hop fields and Content-Length.
	Header http1.Header
	Body   []byte  // complete body; nil if Stream is set or if a NotExecuted or Misdirected response was truncated
	Stream *Stream // body of an event stream; the caller must call Stream.Next until it returns an error, or Stream.Close
	Load   *Load   // value of the X-Server-Load field; nil if absent or malformed
	// Close reports whether the response had "Connection: close": the worker is shutting down or limiting its connections.
	Close bool
	// UntilClose reports whether the body is delimited by the end of the connection. Such a body is complete only if the worker
	// closed the connection normally; if the connection was reset, the round trip fails.
	UntilClose bool
	Reused     bool // whether the connection had carried an earlier request

	HeadReceivedAt time.Time
}

// Load is the load that a worker reports in the X-Server-Load field: the requests it runs, the requests it queues, and its request
// slots.
type Load struct{ Running, Waiting, Slots int }

// Event is a single event of an event stream.
type Event struct {
	Raw          []byte // bytes of the event, including the blank line that ends it
	ID           string // value of the "id" field; "" if absent
	HasID        bool   // whether the event has an "id" field, even an empty one
	Versions     int64  // value of the "versions" field; -1 if absent or malformed
	Unterminated bool   // the body ended without the blank line that ends an event
}

// Batch is the result of a call of Stream.Next: all complete events that have been received.
type Batch struct {
	Raw    []byte  // bytes of all events, unchanged; valid until the next call of Next
	Events []Event // valid until the next call of Next
	Last   bool    // the body is complete; Events may be empty in this case
	ReadAt time.Time
}

// Counts contains the counters of a pool since its creation, and the gauges Open and Idle.
type Counts struct {
	Dials               int64 // attempts to open a connection, including failed ones
	DialsFailed         int64
	Reused              int64 // requests sent on an idle connection
	Stale               int64 // idle connections that the worker had closed
	Unsolicited         int64 // connections closed because they received bytes that belong to no request
	MismatchedResponses int64 // responses that carried the ID of another request
	Expired             int64 // idle connections closed at the end of their idle time, before the worker closes them
	Open                int64 // gauge: connections that are open or being opened
	Idle                int64 // gauge: idle connections
}
