package configuration

import (
	"fmt"
	"net/http"
)

// Code numbers the result of a change to the configuration. Numbers are never given anew.
type Code int

const (
	Accepted             Code = 1000
	Repeated             Code = 1001
	BaseNotCurrent       Code = 1010
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
)

// CodeEntry is one line of the table of codes.
type CodeEntry struct {
	Code   Code
	Name   string
	Status int // of HTTP
	Text   string
}

var codes = []CodeEntry{
	{Accepted, "accepted", http.StatusOK, "the change is in force"},
	{Repeated, "repeated", http.StatusOK, "the same change was accepted before"},
	{BaseNotCurrent, "base_not_current", http.StatusPreconditionFailed, "X-Base-Version is not the generation in force"},
	{Unreadable, "unreadable", http.StatusBadRequest, "the body is not one whole JSON object"},
	{MissingField, "missing_field", http.StatusBadRequest, "a member that is needed is missing"},
	{BadField, "bad_field", http.StatusBadRequest, "a member has a value of another kind than expected"},
	{DuplicateName, "duplicate_name", http.StatusBadRequest, "a list or an object holds a name twice"},
	{GenerationUnreadable, "generation_unreadable", http.StatusBadRequest, "generation is missing or is not a whole number above 0"},
	{GenerationNotAbove, "generation_not_above", http.StatusBadRequest, "generation is not above the one that the change builds on"},
	{UnknownService, "unknown_service", http.StatusBadRequest, "a route names a service that the configuration does not have"},
	{SamePlace, "same_place", http.StatusBadRequest, "two routes have the same host and prefix"},
	{NoWeight, "no_weight", http.StatusBadRequest, "a route has no service, a negative weight, or weights whose sum is 0"},
	{NoTimeout, "no_timeout", http.StatusBadRequest, "a route's timeoutMs is missing or not above 0"},
	{BadPrefix, "bad_prefix", http.StatusBadRequest, "a route's pathPrefix does not begin and end with a slash"},
	{BadCommand, "bad_command", http.StatusBadRequest, "the entry in the log cannot be read"},
}

// Codes returns all codes in rising order.
func Codes() []CodeEntry { return append([]CodeEntry(nil), codes...) }

// entry returns the line of a code.
func (c Code) entry() CodeEntry {
	for _, candidate := range codes {
		if candidate.Code == c {
			return candidate
		}
	}
	return CodeEntry{Code: c, Name: "unknown", Status: http.StatusInternalServerError}
}

// String returns the name of the code.
func (c Code) String() string { return c.entry().Name }

// Refusal tells why a change is not taken. It is an error.
type Refusal struct {
	Status int // of HTTP
	Code   Code
	Text   string // what the code means, and where it applies
}

// Error returns the number, the name and the text.
func (r *Refusal) Error() string { return fmt.Sprintf("%d %s: %s", int(r.Code), r.Code, r.Text) }

// refuse makes the refusal of a code; place tells which part of the change it concerns.
func refuse(code Code, place string) *Refusal {
	entry := code.entry()
	text := entry.Text
	if place != "" {
		text += ": " + place
	}
	return &Refusal{Status: entry.Status, Code: code, Text: text}
}
