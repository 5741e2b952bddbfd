package upstream

import "fmt"

// Result states whether a request was executed, as far as its round trip shows. It decides whether the request may be sent again.
type Result uint8

const (
	// NotSent means that less than the request's head was written. The request has not been executed and will not be.
	NotSent Result = iota + 1
	// NotExecuted means that the worker rejected the request with X-Not-Executed. The request has not been executed and will not
	// be, even if the body of the response was truncated.
	NotExecuted
	// Misdirected means that the worker responded with status 421: the request was meant for another instance. The request has not
	// been executed and will not be, even if the body of the response was truncated.
	Misdirected
	// Answered means that any other complete response was received. The request counts as executed.
	Answered
	// Broken means that the request's head was written but no complete response was received. The request may have been executed.
	Broken
)

var resultNames = [...]string{"none", "not sent", "not executed", "misdirected", "answered", "broken"}

// String returns the name of the result in lower case, for logs.
func (r Result) String() string { return resultNames[r] }

// Reason is the cause of a failed round trip.
type Reason uint8

// Reasons for a failed round trip.
const (
	DialFailed         Reason = iota + 1 // connection refused or reset, or address unreachable
	DialTimeout                          // connection not established within Options.DialTimeout
	PoolExhausted                        // a connection limit is reached and no idle connection can be closed
	PoolClosed                           // Pool.Close was called
	Canceled                             // the context of the request has ended
	WriteError                           // less than the head was written; the Result is NotSent
	ReadError                            // the connection was reset or failed in another way
	ConnClosed                           // the worker closed the connection before a complete response
	Malformed                            // the bytes received are not a valid response or exceed a limit
	MismatchedResponse                   // the response carries the ID of another request
)

var reasonNames = [...]string{"none", "dial failed", "dial time-out", "pool exhausted", "pool closed", "canceled", "write error",
	"read error", "connection closed", "malformed response", "mismatched response"}

// String returns the name of the reason in lower case, for logs.
func (r Reason) String() string { return reasonNames[r] }

// Failure is the error of a round trip that ended without a complete response.
type Failure struct {
	Result  Result // NotSent or Broken
	Reason  Reason
	Reused  bool   // whether the connection had carried an earlier request
	Written int    // bytes of the request that were written
	Total   int    // size of the request in bytes; 0 if no connection was obtained
	Partial []byte // bytes of a stream's unfinished event; must not be forwarded as an event
	Err     error  // underlying error; may be nil
}

// Error returns the result, the reason, the bytes written and the underlying error as text.
func (f *Failure) Error() string {
	return fmt.Sprintf("upstream: %v: %v (%d of %d bytes written): %v", f.Result, f.Reason, f.Written, f.Total, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }
