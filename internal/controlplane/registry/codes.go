package registry

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code numbers the result of a heartbeat or of a departure. Numbers are never given anew.
type Code = resultcode.Code

const (
	Recorded       Code = 1100
	Unchanged      Code = 1101
	Stale          Code = 1102
	Gone           Code = 1103
	Removed        Code = 1104
	Malformed      Code = 1110
	MissingField   Code = 1111
	InvalidField   Code = 1112
	TooLarge       Code = 1113
	InvalidCommand Code = 1114
	NotOwner       Code = 1115
)

// CodeEntry is one line of the table of codes.
type CodeEntry = resultcode.Entry

// Rejection tells why something is not taken. It is an error.
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

// Codes returns all codes in rising order.
func Codes() []CodeEntry { return codes.Entries() }

// reject makes the refusal of a code; place tells which part of the input it concerns.
func reject(code Code, place string) *Rejection { return codes.Reject(code, place) }
