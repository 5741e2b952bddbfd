package configuration

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code identifies the result of a change to the configuration. The number of a code is never reused.
type Code = resultcode.Code

// The results of a change. The table below contains their names and texts, which are part of the response.
const (
	// CodeAccepted means that the change was accepted and is in force.
	CodeAccepted Code = 1000
	// CodeRepeated means that the same change was accepted before; it is acknowledged again.
	CodeRepeated Code = 1001
	// CodeBaseNotCurrent means that the change is based on a generation that is no longer in force.
	CodeBaseNotCurrent Code = 1010
	// CodeBaseAhead means that the change is based on a generation that may still come into force. The result is not final:
	// the change may be accepted if it is sent again.
	CodeBaseAhead Code = 1011
	// CodeBaseForgotten means that the change is based on a generation so old that the store no longer remembers whether the
	// change was accepted. The result is not final: it does not say that the change was rejected.
	CodeBaseForgotten Code = 1012
	// CodeMalformed means that the body is not one complete JSON object in UTF-8.
	CodeMalformed Code = 1020
	// CodeMissingField means that a required member is missing.
	CodeMissingField Code = 1021
	// CodeBadField means that a member has a value of the wrong type.
	CodeBadField Code = 1022
	// CodeDuplicateName means that a list or an object contains a name twice.
	CodeDuplicateName Code = 1023
	// CodeInvalidGeneration means that the generation is missing or is not a positive integer.
	CodeInvalidGeneration Code = 1024
	// CodeGenerationNotAbove means that the generation is not above the one that the change is based on.
	CodeGenerationNotAbove Code = 1025
	// CodeUnknownService means that a route names a service that the configuration does not contain.
	CodeUnknownService Code = 1026
	// CodeDuplicateMatch means that two routes match the same hostname and path prefix.
	CodeDuplicateMatch Code = 1027
	// CodeInvalidWeights means that a route has no target, a negative weight, or weights that sum to 0.
	CodeInvalidWeights Code = 1028
	// CodeInvalidTimeout means that the timeout of a route is missing or not positive.
	CodeInvalidTimeout Code = 1029
	// CodeBadPrefix means that the path prefix of a route does not begin and end with a slash.
	CodeBadPrefix Code = 1030
	// CodeBadCommand means that the entry of the replicated log cannot be decoded.
	CodeBadCommand Code = 1031
	// CodeTooLarge means that an update would make the configuration larger than maxDocumentBytes.
	CodeTooLarge Code = 1032
)

// CodeEntry describes one code: its name, HTTP status and text.
type CodeEntry = resultcode.Entry

// Rejection is the error for a change, a command or an item that is invalid or conflicts with the state.
type Rejection = resultcode.Rejection

var codes = resultcode.NewTable([]CodeEntry{
	{Code: CodeAccepted, Name: "accepted", HTTPStatus: http.StatusOK, Text: "the change is in force"},
	{Code: CodeRepeated, Name: "repeated", HTTPStatus: http.StatusOK, Text: "the same change was accepted before"},
	{Code: CodeBaseNotCurrent, Name: "base_not_current", HTTPStatus: http.StatusPreconditionFailed, Text: "X-Base-Version is not the generation in force"},
	{Code: CodeBaseAhead, Name: "base_ahead", HTTPStatus: http.StatusServiceUnavailable, Text: "X-Base-Version is above the generation in force; the change may be taken once that is reached"},
	{Code: CodeBaseForgotten, Name: "base_forgotten", HTTPStatus: http.StatusServiceUnavailable, Text: "the change builds on a generation so old that it is not known any more whether it was accepted"},
	{Code: CodeMalformed, Name: "unreadable", HTTPStatus: http.StatusBadRequest, Text: "the body is not one whole JSON object"},
	{Code: CodeMissingField, Name: "missing_field", HTTPStatus: http.StatusBadRequest, Text: "a member that is needed is missing"},
	{Code: CodeBadField, Name: "bad_field", HTTPStatus: http.StatusBadRequest, Text: "a member has a value of another kind than expected"},
	{Code: CodeDuplicateName, Name: "duplicate_name", HTTPStatus: http.StatusBadRequest, Text: "a list or an object holds a name twice"},
	{Code: CodeInvalidGeneration, Name: "generation_unreadable", HTTPStatus: http.StatusBadRequest, Text: "generation is missing or is not a whole number above 0"},
	{Code: CodeGenerationNotAbove, Name: "generation_not_above", HTTPStatus: http.StatusBadRequest, Text: "generation is not above the one that the change builds on"},
	{Code: CodeUnknownService, Name: "unknown_service", HTTPStatus: http.StatusBadRequest, Text: "a route names a service that the configuration does not have"},
	{Code: CodeDuplicateMatch, Name: "same_place", HTTPStatus: http.StatusBadRequest, Text: "two routes have the same host and prefix"},
	{Code: CodeInvalidWeights, Name: "no_weight", HTTPStatus: http.StatusBadRequest, Text: "a route has no service, a negative weight, or weights whose sum is 0"},
	{Code: CodeInvalidTimeout, Name: "no_timeout", HTTPStatus: http.StatusBadRequest, Text: "a route's timeoutMs is missing or not above 0"},
	{Code: CodeBadPrefix, Name: "bad_prefix", HTTPStatus: http.StatusBadRequest, Text: "a route's pathPrefix does not begin and end with a slash"},
	{Code: CodeBadCommand, Name: "bad_command", HTTPStatus: http.StatusBadRequest, Text: "the entry in the log cannot be read"},
	{Code: CodeTooLarge, Name: "too_large", HTTPStatus: http.StatusRequestEntityTooLarge, Text: "the whole configuration would be larger than 8 MiB"},
}...)

// Codes returns the entries of all codes in ascending order.
func Codes() []CodeEntry { return codes.Entries() }

// reject returns the rejection with the given code; detail describes the invalid part of the input and may be
// empty.
func reject(code Code, detail string) *Rejection { return codes.Reject(code, detail) }
