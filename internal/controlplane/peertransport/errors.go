package peertransport

import "errors"

// Errors of Transport.Call. Both may be wrapped.
var (
	// ErrNotSent means that no byte of the call was sent: the peer does not execute it, and a retry is safe.
	ErrNotSent = errors.New("peertransport: the call was not sent")
	// ErrOutcomeUnknown means that at least a part of the call may have been sent, and that no reply was received. The peer may
	// have executed the call, or may still execute it.
	ErrOutcomeUnknown = errors.New("peertransport: the outcome of the call is unknown")
)

// RemoteError is an error with which the peer replied to a call: its Handler.Call failed, or it rejected the call.
type RemoteError struct{ Text string }

// Error implements the error interface.
func (e RemoteError) Error() string { return "peertransport: the peer returned an error: " + e.Text }
