package server

import (
	"net/http"

	"ospreybend/internal/util/resultcode"
)

// Code identifies an API error that comes neither from package configuration nor from package registry. Numbers are never reused.
type Code = resultcode.Code

// Error codes of the API. See docs/ERRORS.md.
const (
	NoOwner         Code = 1200
	OutcomeUnknown  Code = 1201
	Busy            Code = 1202
	UnknownPath     Code = 1203
	BadBaseVersion  Code = 1204
	BodyTooLarge    Code = 1205
	MissingInstance Code = 1206
	ShuttingDown    Code = 1207
	InternalFault   Code = 1208
)

// CodeEntry is one row of the table of error codes.
type CodeEntry = resultcode.Entry

var codes = resultcode.NewTable([]CodeEntry{
	{Code: NoOwner, Name: "no_owner", HTTPStatus: http.StatusServiceUnavailable, Text: "no owner of the shard could be reached in time"},
	{Code: OutcomeUnknown, Name: "outcome_unknown", HTTPStatus: http.StatusServiceUnavailable, Text: "the change may or may not be taken; send it again"},
	{Code: Busy, Name: "busy", HTTPStatus: http.StatusServiceUnavailable, Text: "too many calls are under way"},
	{Code: UnknownPath, Name: "unknown_path", HTTPStatus: http.StatusNotFound, Text: "there is no such call"},
	{Code: BadBaseVersion, Name: "bad_base_version", HTTPStatus: http.StatusBadRequest, Text: "X-Base-Version is not a whole number"},
	{Code: BodyTooLarge, Name: "body_too_large", HTTPStatus: http.StatusRequestEntityTooLarge, Text: "the body is too large"},
	{Code: MissingInstance, Name: "missing_instance", HTTPStatus: http.StatusBadRequest, Text: "the path names no instance"},
	{Code: ShuttingDown, Name: "leaving", HTTPStatus: http.StatusServiceUnavailable, Text: "this keeper is about to end"},
	{Code: InternalFault, Name: "internal_fault", HTTPStatus: http.StatusServiceUnavailable, Text: "the call failed within this keeper"},
}...)

// Codes returns all error codes of this package in ascending order.
func Codes() []CodeEntry { return codes.Entries() }
