package peertransport

import "errors"

// Errors of a call. Both may be wrapped.
var (
	// ErrNotSent: no byte of the call was sent, so that it was not and will not be executed. It is safe to retry it.
	ErrNotSent = errors.New("peertransport: the call was not sent")
	// ErrOutcomeUnknown: the call was sent, at least in part, and no reply was received. The peer may have executed it.
	ErrOutcomeUnknown = errors.New("peertransport: the outcome of the call is unknown")
)

// RemoteError is an error that the peer's Handler.Call returned.
type RemoteError struct{ Text string }

// Error implements error.
func (e RemoteError) Error() string { return "peertransport: the peer failed: " + e.Text }
