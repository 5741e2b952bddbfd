package configuration

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code numbers the result of a change to the configuration. Numbers are never given anew.
type Code = resultcode.Code

const (
	Accepted             Code = 1000
	Repeated             Code = 1001
	BaseNotCurrent       Code = 1010
	BaseAhead            Code = 1011
	BaseForgotten        Code = 1012
	Unreadable           Code = 1020
	MissingField         Code = 1021
	BadField             Code = 1022
	DuplicateName        Code = 1023
	GenerationUnreadable Code = 1024
	GenerationNotAbove   Code = 1025
	UnknownService       Code = 1026
	SamePlace            Code = 1027
	NoWeight             Code = 1028
	NoTimeout            Code = 1029
	BadPrefix            Code = 1030
	BadCommand           Code = 1031
	TooLarge             Code = 1032
)

// CodeEntry is one line of the table of codes.
type CodeEntry = resultcode.Entry

// Refusal tells why something is not taken. It is an error.
type Refusal = resultcode.Refusal

var codes = resultcode.NewTable([]CodeEntry{
	{Code: Accepted, Name: "accepted", Status: http.StatusOK, Text: "the change is in force"},
	{Code: Repeated, Name: "repeated", Status: http.StatusOK, Text: "the same change was accepted before"},
	{Code: BaseNotCurrent, Name: "base_not_current", Status: http.StatusPreconditionFailed, Text: "X-Base-Version is not the generation in force"},
	{Code: BaseAhead, Name: "base_ahead", Status: http.StatusServiceUnavailable, Text: "X-Base-Version is above the generation in force; the change may be taken once that is reached"},
	{Code: BaseForgotten, Name: "base_forgotten", Status: http.StatusServiceUnavailable, Text: "the change builds on a generation so old that it is not known any more whether it was accepted"},
	{Code: Unreadable, Name: "unreadable", Status: http.StatusBadRequest, Text: "the body is not one whole JSON object"},
	{Code: MissingField, Name: "missing_field", Status: http.StatusBadRequest, Text: "a member that is needed is missing"},
	{Code: BadField, Name: "bad_field", Status: http.StatusBadRequest, Text: "a member has a value of another kind than expected"},
	{Code: DuplicateName, Name: "duplicate_name", Status: http.StatusBadRequest, Text: "a list or an object holds a name twice"},
	{Code: GenerationUnreadable, Name: "generation_unreadable", Status: http.StatusBadRequest, Text: "generation is missing or is not a whole number above 0"},
	{Code: GenerationNotAbove, Name: "generation_not_above", Status: http.StatusBadRequest, Text: "generation is not above the one that the change builds on"},
	{Code: UnknownService, Name: "unknown_service", Status: http.StatusBadRequest, Text: "a route names a service that the configuration does not have"},
	{Code: SamePlace, Name: "same_place", Status: http.StatusBadRequest, Text: "two routes have the same host and prefix"},
	{Code: NoWeight, Name: "no_weight", Status: http.StatusBadRequest, Text: "a route has no service, a negative weight, or weights whose sum is 0"},
	{Code: NoTimeout, Name: "no_timeout", Status: http.StatusBadRequest, Text: "a route's timeoutMs is missing or not above 0"},
	{Code: BadPrefix, Name: "bad_prefix", Status: http.StatusBadRequest, Text: "a route's pathPrefix does not begin and end with a slash"},
	{Code: BadCommand, Name: "bad_command", Status: http.StatusBadRequest, Text: "the entry in the log cannot be read"},
	{Code: TooLarge, Name: "too_large", Status: http.StatusRequestEntityTooLarge, Text: "the whole configuration would be larger than 8 MiB"},
}...)

// Codes returns all codes in rising order.
func Codes() []CodeEntry { return codes.Entries() }

// refuse makes the refusal of a code; place tells which part of the input it concerns.
func refuse(code Code, place string) *Refusal { return codes.Refuse(code, place) }
