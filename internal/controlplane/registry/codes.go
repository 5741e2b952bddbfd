package registry

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code is the result of a heartbeat or of a deregistration. A number is never reused for another meaning.
type Code = resultcode.Code

// Codes of the registry.
const (
	// Recorded means that the command changed the instance's record.
	Recorded Code = 1100
	// Unchanged means that the record already had the values of the command.
	Unchanged Code = 1101
	// Stale means that a later heartbeat was already applied; the record is unchanged.
	Stale Code = 1102
	// Gone means that the instance has no record and that the command does not create one.
	Gone Code = 1103
	// Removed means that the command removed the instance.
	Removed Code = 1104
	// Malformed rejects a body that is not exactly one JSON object.
	Malformed Code = 1110
	// MissingField rejects a heartbeat without a required member.
	MissingField Code = 1111
	// InvalidField rejects a member whose value has the wrong type or is out of range.
	InvalidField Code = 1112
	// TooLarge rejects a body, a string or a list that exceeds its limit.
	TooLarge Code = 1113
	// InvalidCommand rejects a log entry that cannot be decoded.
	InvalidCommand Code = 1114
	// NotOwner rejects a call to a server that does not own the instance's shard.
	NotOwner Code = 1115
)

// CodeEntry describes one code: its name, HTTP status and text.
type CodeEntry = resultcode.Entry

// Rejection is the error for a heartbeat, a deregistration or a command that is not applied.
type Rejection = resultcode.Rejection

var codes = resultcode.NewTable([]CodeEntry{
	{Code: Recorded, Name: "recorded", HTTPStatus: http.StatusOK, Text: "the instance is recorded as told"},
	{Code: Unchanged, Name: "unchanged", HTTPStatus: http.StatusOK, Text: "nothing has changed"},
	{Code: Stale, Name: "late", HTTPStatus: http.StatusOK, Text: "a later heartbeat came before; nothing is changed"},
	{Code: Gone, Name: "gone", HTTPStatus: http.StatusOK, Text: "the instance is gone for good; nothing is changed"},
	{Code: Removed, Name: "removed", HTTPStatus: http.StatusOK, Text: "the instance is removed"},
	{Code: Malformed, Name: "unreadable", HTTPStatus: http.StatusBadRequest, Text: "the body is not one whole JSON object"},
	{Code: MissingField, Name: "missing_field", HTTPStatus: http.StatusBadRequest, Text: "a member that is needed is missing"},
	{Code: InvalidField, Name: "bad_field", HTTPStatus: http.StatusBadRequest, Text: "a member has a value that cannot be meant"},
	{Code: TooLarge, Name: "too_large", HTTPStatus: http.StatusRequestEntityTooLarge, Text: "the body or a part of it is too large"},
	{Code: InvalidCommand, Name: "bad_command", HTTPStatus: http.StatusBadRequest, Text: "the entry in the log cannot be read"},
	{Code: NotOwner, Name: "not_owner", HTTPStatus: http.StatusServiceUnavailable, Text: "this process does not own the shard now"},
}...)

// Codes returns all codes in ascending order.
func Codes() []CodeEntry { return codes.Entries() }

// reject returns the rejection with a code; detail says what is wrong with which part of the input.
func reject(code Code, detail string) *Rejection { return codes.Reject(code, detail) }
