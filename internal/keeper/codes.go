package keeper

import "net/http"

// Code numbers an error of the API that neither the configuration nor the registry gives. Numbers
// are never given anew.
type Code int

// Codes of the API.
const (
	NoOwner         Code = 1200
	OutcomeUnknown  Code = 1201
	Busy            Code = 1202
	UnknownPath     Code = 1203
	BadBaseVersion  Code = 1204
	BodyTooLarge    Code = 1205
	MissingInstance Code = 1206
	Leaving         Code = 1207
	InternalFault   Code = 1208
)

// CodeEntry is one line of the table of codes.
type CodeEntry struct {
	Code   Code
	Name   string
	Status int // of HTTP
	Text   string
}

var codes = []CodeEntry{
	{NoOwner, "no_owner", http.StatusServiceUnavailable, "no owner of the shard could be reached in time"},
	{OutcomeUnknown, "outcome_unknown", http.StatusServiceUnavailable, "the change may or may not be taken; send it again"},
	{Busy, "busy", http.StatusServiceUnavailable, "too many calls are under way"},
	{UnknownPath, "unknown_path", http.StatusNotFound, "there is no such call"},
	{BadBaseVersion, "bad_base_version", http.StatusBadRequest, "X-Base-Version is not a whole number"},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, "the body is too large"},
	{MissingInstance, "missing_instance", http.StatusBadRequest, "the path names no instance"},
	{Leaving, "leaving", http.StatusServiceUnavailable, "this keeper is about to end"},
	{InternalFault, "internal_fault", http.StatusServiceUnavailable, "the call failed within this keeper"},
}

// Codes returns all codes in rising order.
func Codes() []CodeEntry { return append([]CodeEntry(nil), codes...) }

func (c Code) entry() CodeEntry {
	for _, candidate := range codes {
		if candidate.Code == c {
			return candidate
		}
	}
	return CodeEntry{Code: c, Name: "unknown", Status: http.StatusServiceUnavailable}
}

// String returns the name of the code.
func (c Code) String() string { return c.entry().Name }
