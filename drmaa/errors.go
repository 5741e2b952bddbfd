package drmaa

import (
	"fmt"
	"time"
)

// Name is the name of an exception (GFD.194 clause 5).
type Name string

// The exceptions that the binding uses.
const (
	Denied               Name = "DeniedByDrmsException"
	Communication        Name = "DrmCommunicationException"
	TryLater             Name = "TryLaterException"
	Timeout              Name = "TimeoutException"
	Internal             Name = "InternalException"
	InvalidArgument      Name = "InvalidArgumentException"
	InvalidSession       Name = "InvalidSessionException"
	InvalidState         Name = "InvalidStateException"
	OutOfResource        Name = "OutOfResourceException"
	UnsupportedAttribute Name = "UnsupportedAttributeException"
	UnsupportedOperation Name = "UnsupportedOperationException"
)

// Error is an exception in the binding's form, the body of an answer.
type Error struct {
	Status    int    `json:"-"` // of HTTP
	Name      Name   `json:"error"`
	Message   string `json:"message"`
	Attribute string `json:"attribute,omitempty"` // the faulty attribute, or parameter

	RetryAfter time.Duration `json:"-"` // when to retry; 0: unknown
	Job        *Job          `json:"job,omitempty"`
}

// Error returns the exception's name and the message.
func (e *Error) Error() string { return string(e.Name) + ": " + e.Message }

// Is makes errors.Is match an Error by its name alone.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Name == e.Name
}

// InvalidArgumentError returns the error of an invalid argument (400).
func InvalidArgumentError(attribute, format string, args ...any) *Error {
	return &Error{Status: 400, Name: InvalidArgument, Attribute: attribute,
		Message: attribute + ": " + fmt.Sprintf(format, args...)}
}

// UnsupportedAttributeError returns the error of an attribute that the service does not support (422).
func UnsupportedAttributeError(attribute, why string) *Error {
	return &Error{Status: 422, Name: UnsupportedAttribute, Attribute: attribute, Message: attribute + ": " + why}
}

// UnsupportedOperationError returns the error of an operation that the service does not support (422).
func UnsupportedOperationError(why string) *Error {
	return &Error{Status: 422, Name: UnsupportedOperation, Message: why}
}

// TryLaterError returns the error of a call that may succeed after a time (503).
func TryLaterError(after time.Duration, why string) *Error {
	return &Error{Status: 503, Name: TryLater, Message: why, RetryAfter: after}
}

// InvalidStateError returns the error of an operation that the job's state does not allow (409).
func InvalidStateError(format string, args ...any) *Error {
	return &Error{Status: 409, Name: InvalidState, Message: fmt.Sprintf(format, args...)}
}
