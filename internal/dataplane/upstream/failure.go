package upstream

import "fmt"

// Result is what is known of a request after its round trip, and thereby whether it may be sent again.
type Result uint8

const (
	// NotSent means that less than the request's head was written. It has not been executed and will not be.
	NotSent Result = iota + 1
	// NotExecuted means that the worker rejected the request with X-Not-Executed. It has not been executed and will not be, even
	// if the response's body was truncated.
	NotExecuted
	// Misdirected means that the worker answered 421: the request was meant for another instance. It has not been executed and
	// will not be, even if the response's body was truncated.
	Misdirected
	// Answered means any other complete response. The request counts as executed.
	Answered
	// Broken means that the request's head was written and no complete response came. The request may have been executed.
	Broken
)

var resultNames = [...]string{"none", "not sent", "not executed", "misdirected", "answered", "broken"}

// String returns the result in lower case, for logs.
func (r Result) String() string { return resultNames[r] }

// Reason is why a round trip failed.
type Reason uint8

// Reasons of failures.
const (
	DialFailed         Reason = iota + 1 // refused, reset or unreachable
	DialTimeout                          // no connection within Options.DialTimeout
	PoolExhausted                        // all connections that the address may have are in use
	PoolClosed                           // Pool.Close was called
	Canceled                             // the request's context has ended
	WriteError                           // with Result NotSent: less than the head was written
	ReadError                            // the connection was reset or failed otherwise
	ConnClosed                           // the worker closed the connection before a complete response
	Malformed                            // the bytes are not a response, or one beyond a limit
	MismatchedResponse                   // the response carries the ID of another request
)

var reasonNames = [...]string{"none", "dial failed", "dial time-out", "pool exhausted", "pool closed", "canceled", "write error",
	"read error", "connection closed", "malformed response", "mismatched response"}

// String returns the reason in lower case, for logs.
func (r Reason) String() string { return reasonNames[r] }

// Failure is the error of a round trip without a complete response.
type Failure struct {
	Result  Result // NotSent or Broken
	Reason  Reason
	Reused  bool   // the connection had been used before
	Written int    // bytes written, of Total
	Total   int    // bytes of the request; 0 if no connection was obtained
	Partial []byte // of a stream: the bytes of an event that has not ended; never to be forwarded as an event
	Err     error  // the cause; may be nil
}

// Error returns the result, the reason and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("upstream: %v: %v (%d of %d bytes written): %v", f.Result, f.Reason, f.Written, f.Total, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
