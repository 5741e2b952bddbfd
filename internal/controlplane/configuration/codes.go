package configuration

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code numbers the result of a change to the configuration. Numbers are never given anew.
type Code = resultcode.Code

const (
	CodeAccepted             Code = 1000
	CodeRepeated             Code = 1001
	CodeBaseNotCurrent       Code = 1010
	CodeBaseAhead            Code = 1011
	CodeBaseForgotten        Code = 1012
	CodeUnreadable           Code = 1020
	CodeMissingField         Code = 1021
	CodeBadField             Code = 1022
	CodeDuplicateName        Code = 1023
	CodeGenerationUnreadable Code = 1024
	CodeGenerationNotAbove   Code = 1025
	CodeUnknownService       Code = 1026
	CodeDuplicateMatch       Code = 1027
	CodeNoWeight             Code = 1028
	CodeNoTimeout            Code = 1029
	CodeBadPrefix            Code = 1030
	CodeBadCommand           Code = 1031
	CodeTooLarge             Code = 1032
)

// CodeEntry is one line of the table of codes.
type CodeEntry = resultcode.Entry

// Rejection tells why something is not taken. It is an error.
type Rejection = resultcode.Rejection

var codes = resultcode.NewTable([]CodeEntry{
	{Code: CodeAccepted, Name: "accepted", HTTPStatus: http.StatusOK, Text: "the change is in force"},
	{Code: CodeRepeated, Name: "repeated", HTTPStatus: http.StatusOK, Text: "the same change was accepted before"},
	{Code: CodeBaseNotCurrent, Name: "base_not_current", HTTPStatus: http.StatusPreconditionFailed, Text: "X-Base-Version is not the generation in force"},
	{Code: CodeBaseAhead, Name: "base_ahead", HTTPStatus: http.StatusServiceUnavailable, Text: "X-Base-Version is above the generation in force; the change may be taken once that is reached"},
	{Code: CodeBaseForgotten, Name: "base_forgotten", HTTPStatus: http.StatusServiceUnavailable, Text: "the change builds on a generation so old that it is not known any more whether it was accepted"},
	{Code: CodeUnreadable, Name: "unreadable", HTTPStatus: http.StatusBadRequest, Text: "the body is not one whole JSON object"},
	{Code: CodeMissingField, Name: "missing_field", HTTPStatus: http.StatusBadRequest, Text: "a member that is needed is missing"},
	{Code: CodeBadField, Name: "bad_field", HTTPStatus: http.StatusBadRequest, Text: "a member has a value of another kind than expected"},
	{Code: CodeDuplicateName, Name: "duplicate_name", HTTPStatus: http.StatusBadRequest, Text: "a list or an object holds a name twice"},
	{Code: CodeGenerationUnreadable, Name: "generation_unreadable", HTTPStatus: http.StatusBadRequest, Text: "generation is missing or is not a whole number above 0"},
	{Code: CodeGenerationNotAbove, Name: "generation_not_above", HTTPStatus: http.StatusBadRequest, Text: "generation is not above the one that the change builds on"},
	{Code: CodeUnknownService, Name: "unknown_service", HTTPStatus: http.StatusBadRequest, Text: "a route names a service that the configuration does not have"},
	{Code: CodeDuplicateMatch, Name: "same_place", HTTPStatus: http.StatusBadRequest, Text: "two routes have the same host and prefix"},
	{Code: CodeNoWeight, Name: "no_weight", HTTPStatus: http.StatusBadRequest, Text: "a route has no service, a negative weight, or weights whose sum is 0"},
	{Code: CodeNoTimeout, Name: "no_timeout", HTTPStatus: http.StatusBadRequest, Text: "a route's timeoutMs is missing or not above 0"},
	{Code: CodeBadPrefix, Name: "bad_prefix", HTTPStatus: http.StatusBadRequest, Text: "a route's pathPrefix does not begin and end with a slash"},
	{Code: CodeBadCommand, Name: "bad_command", HTTPStatus: http.StatusBadRequest, Text: "the entry in the log cannot be read"},
	{Code: CodeTooLarge, Name: "too_large", HTTPStatus: http.StatusRequestEntityTooLarge, Text: "the whole configuration would be larger than 8 MiB"},
}...)

// Codes returns all codes in rising order.
func Codes() []CodeEntry { return codes.Entries() }

// reject makes the refusal of a code; place tells which part of the input it concerns.
func reject(code Code, detail string) *Rejection { return codes.Reject(code, detail) }
