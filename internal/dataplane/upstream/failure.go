package upstream

import (
	"fmt"
)

// Result is what is known of a call after it.
type Result uint8

const (
	// NotSent: less than the request's head was written. It has not run and will not.
	NotSent Result = iota + 1
	// NotExecuted: the worker answered with X-Not-Executed. It has not run and will not, also where the answer's body was cut.
	NotExecuted
	// Misdirected: the worker answered 421. It has not run and will not, also where the answer's body was cut.
	Misdirected
	// Answered: any other answer. The request counts as run.
	Answered
	// Broken: the head was written and no whole answer came. The request may have run.
	Broken
)

var resultNames = [...]string{"none", "not sent", "not executed", "misdirected", "answered", "broken"}

func (r Result) String() string { return resultNames[r] }

// Reason is why a call failed.
type Reason uint8

const (
	DialFailed    Reason = iota + 1 // refused, reset or unreachable
	DialTimeout                     // no connection within Options.DialTimeout
	PoolExhausted                   // the address has its most connections, all in use
	PoolClosed
	Canceled           // the call's context has ended
	WriteError         // with Result NotSent: less than the head was written
	ReadError          // reset or an error of the connection
	ConnClosed         // the connection ended before a whole answer
	Malformed          // bytes that are no answer, or one over a limit
	MismatchedResponse // the answer carries another request's id
)

var reasonNames = [...]string{"none", "dial failed", "dial timeout", "full", "pool closed", "cancelled", "write error",
	"read error", "ended", "malformed", "foreign"}

func (r Reason) String() string { return reasonNames[r] }

// Failure is the error of a call that has no whole answer.
type Failure struct {
	Result  Result // NotSent or Broken
	Reason  Reason
	Reused  bool   // on a kept connection
	Written int    // bytes written of Total
	Total   int    // bytes of the request; 0 where none was composed
	Partial []byte // of a stream: what came of an event that was not ended; never to be passed on as whole
	Err     error  // the cause; may be nil
}

func (f *Failure) Error() string {
	return fmt.Sprintf("exchange: %v: %v (%d of %d bytes written): %v", f.Result, f.Reason, f.Written, f.Total, f.Err)
}

func (f *Failure) Unwrap() error { return f.Err }
