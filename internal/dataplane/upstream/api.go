// Package upstream is the client side of HTTP/1.1 towards workers: it keeps connections by address,
// sends a request on one of them, and says to the byte what was sent and what came back.
package upstream

import (
	"time"

	"ospreybend/internal/util/http1"
)

// Request is one request to one worker.
type Request struct {
	Address string // "ip:port"
	Method  string
	Target  string // path and query, sent as they are
	// Header are the header fields, Host with them. Those that concern one connection only are left out when they
	// are sent, as are Accept-Encoding, Expect and Content-Length, which the exchange sets itself.
	Header http1.Header
	Body   []byte
	// StreamEvents tells that an answer that is an event stream with a 2xx status is to be read event by event. Any other is read whole.
	StreamEvents bool
	// MaxBodyBytes is the most bytes of an answer that is read whole; 0 stands for DefaultBodyLimit.
	MaxBodyBytes int
	// ForceNewConn asks for a new connection.
	ForceNewConn bool
}

// Response is an answer.
type Response struct {
	Result Result // NotExecuted, Misdirected or Answered
	Status int
	// Header are the header fields without those that concern one connection only and without Content-Length.
	Header http1.Header
	Body   []byte  // whole; nil with Stream, and where a NotExecuted or Misdirected answer was cut
	Stream *Stream // not nil: the body is to be read by Stream.Next until its error, or Stream.Close called
	Load   *Load   // of X-Server-Load; nil where there is none
	// Close tells that the answer had "Connection: close".
	Close bool
	// UntilClose tells that the body has neither length nor chunks and ends with the connection. It is whole if the worker ended the
	// connection in order; one that is reset, or otherwise breaks, is a Failure.
	UntilClose bool
	Reused     bool // on a kept connection

	HeadReceivedAt time.Time // when the answer's head had come
}

// Load is a worker's X-Server-Load.
type Load struct{ Running, Waiting, Slots int }

// Event is one event of a stream.
type Event struct {
	Raw          []byte // its bytes, the blank line with them
	ID           string // of its "id:" line; "" where there is none
	HasID        bool
	Versions     int64 // of its "versions:" line; -1 where there is none
	Unterminated bool  // no blank line ended it: only as the last of a whole body
}

// Batch is what came of a stream: one event, or several that were there together.
type Batch struct {
	Raw    []byte // the bytes of all its events, unchanged; valid until the next call of Next
	Events []Event
	Last   bool // the body ended whole behind them; Events may be empty
	ReadAt time.Time
}

// Counts tells what a pool has done since its start.
type Counts struct {
	Dials               int64
	DialsFailed         int64
	Reused              int64
	Stale               int64 // kept connections found closed before use
	Unsolicited         int64 // connections closed for bytes that belong to no request
	MismatchedResponses int64 // answers of other requests
	Expired             int64 // kept connections closed before the worker would
	Open                int64 // connections now
	Idle                int64
}
