package drmaa

import (
	"fmt"
	"time"
)

// ErrorName is the name of a DRMAA exception (GFD.194 clause 5).
type ErrorName string

// The exceptions that the HTTP binding uses.
const (
	Denied               ErrorName = "DeniedByDrmsException"
	Communication        ErrorName = "DrmCommunicationException"
	TryLater             ErrorName = "TryLaterException"
	Timeout              ErrorName = "TimeoutException"
	Internal             ErrorName = "InternalException"
	InvalidArgument      ErrorName = "InvalidArgumentException"
	InvalidSession       ErrorName = "InvalidSessionException"
	InvalidState         ErrorName = "InvalidStateException"
	OutOfResource        ErrorName = "OutOfResourceException"
	UnsupportedAttribute ErrorName = "UnsupportedAttributeException"
	UnsupportedOperation ErrorName = "UnsupportedOperationException"
)

// Error is a DRMAA exception, as the body of an HTTP response has it.
type Error struct {
	Status    int       `json:"-"` // HTTP status code
	Name      ErrorName `json:"error"`
	Message   string    `json:"message"`
	Attribute string    `json:"attribute,omitempty"` // the attribute or parameter at fault

	RetryAfter time.Duration `json:"-"` // time to wait before a retry; 0: unknown
	Job        *Job          `json:"job,omitempty"`
}

// Error implements the error interface: the exception's name and the message.
func (e *Error) Error() string { return string(e.Name) + ": " + e.Message }

// Is makes errors.Is match an Error by its exception name only.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Name == e.Name
}

// InvalidArgumentError returns the error for an attribute or parameter with an invalid value (status 400).
func InvalidArgumentError(attribute, format string, args ...any) *Error {
	return &Error{Status: 400, Name: InvalidArgument, Attribute: attribute,
		Message: attribute + ": " + fmt.Sprintf(format, args...)}
}

// UnsupportedAttributeError returns the error for an attribute that the service does not support (status 422).
func UnsupportedAttributeError(attribute, reason string) *Error {
	return &Error{Status: 422, Name: UnsupportedAttribute, Attribute: attribute, Message: attribute + ": " + reason}
}

// UnsupportedOperationError returns the error for an operation that the service does not support (status 422).
func UnsupportedOperationError(reason string) *Error {
	return &Error{Status: 422, Name: UnsupportedOperation, Message: reason}
}

// TryLaterError returns the error for a temporary failure: the call may succeed after the given time
// (status 503).
func TryLaterError(after time.Duration, reason string) *Error {
	return &Error{Status: 503, Name: TryLater, Message: reason, RetryAfter: after}
}

// InvalidStateError returns the error for an operation that the current state does not allow (status 409).
func InvalidStateError(format string, args ...any) *Error {
	return &Error{Status: 409, Name: InvalidState, Message: fmt.Sprintf(format, args...)}
}
