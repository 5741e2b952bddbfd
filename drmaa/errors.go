package drmaa

import (
	"fmt"
	"time"
)

// Name is an exception's name, GFD.194 clause 5.
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

// Error is an exception in the binding's form: the body of an answer.
type Error struct {
	Status    int    `json:"-"` // of HTTP
	Name      Name   `json:"error"`
	Message   string `json:"message"`
	Attribute string `json:"attribute,omitempty"` // the faulty attribute, or parameter

	Return time.Duration `json:"-"` // a time after which a return may do better; 0: not told
	Job    *Job          `json:"job,omitempty"`
}

func (e *Error) Error() string { return string(e.Name) + ": " + e.Message }

// Is has errors.Is match an Error by its name alone.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Name == e.Name
}

// Bad is an argument that makes no sense (400).
func Bad(attribute, format string, a ...any) *Error {
	return &Error{Status: 400, Name: InvalidArgument, Attribute: attribute,
		Message: attribute + ": " + fmt.Sprintf(format, a...)}
}

// Lacking is an attribute that the service does not have (422).
func Lacking(attribute, why string) *Error {
	return &Error{Status: 422, Name: UnsupportedAttribute, Attribute: attribute, Message: attribute + ": " + why}
}

// Unsupported is an operation that the service does not have (422).
func Unsupported(why string) *Error {
	return &Error{Status: 422, Name: UnsupportedOperation, Message: why}
}

// Later turns a call away for now (503).
func Later(after time.Duration, why string) *Error {
	return &Error{Status: 503, Name: TryLater, Message: why, Return: after}
}

// WrongState is an operation that the job's state rules out (409).
func WrongState(format string, a ...any) *Error {
	return &Error{Status: 409, Name: InvalidState, Message: fmt.Sprintf(format, a...)}
}
