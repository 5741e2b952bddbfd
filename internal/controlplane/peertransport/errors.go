package peertransport

import "errors"

// Errors of a call. Both may be wrapped.
var (
	// ErrNotSent: nothing of the call left this process; it was not and will not be carried out.
	ErrNotSent = errors.New("peerlink: the call was not sent")
	// ErrOutcomeUnknown: the call was sent, at least in part, and no reply came.
	ErrOutcomeUnknown = errors.New("peerlink: the outcome of the call is unknown")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct{ Text string }

func (e RemoteError) Error() string { return "peerlink: the peer failed: " + e.Text }
