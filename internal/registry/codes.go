package registry

import (
	"fmt"
	"net/http"
)

// Code numbers the result of a heartbeat or of a departure. Numbers are never given anew.
type Code int

const (
	Recorded     Code = 1100
	Unchanged    Code = 1101
	Late         Code = 1102
	Gone         Code = 1103
	Removed      Code = 1104
	Unreadable   Code = 1110
	MissingField Code = 1111
	BadField     Code = 1112
	TooLarge     Code = 1113
	BadCommand   Code = 1114
	NotOwner     Code = 1115
)

// CodeEntry is one line of the table of codes.
type CodeEntry struct {
	Code   Code
	Name   string
	Status int // of HTTP
	Text   string
}

var codes = []CodeEntry{
	{Recorded, "recorded", http.StatusOK, "the instance is recorded as told"},
	{Unchanged, "unchanged", http.StatusOK, "nothing has changed"},
	{Late, "late", http.StatusOK, "a later heartbeat came before; nothing is changed"},
	{Gone, "gone", http.StatusOK, "the instance is gone for good; nothing is changed"},
	{Removed, "removed", http.StatusOK, "the instance is removed"},
	{Unreadable, "unreadable", http.StatusBadRequest, "the body is not one whole JSON object"},
	{MissingField, "missing_field", http.StatusBadRequest, "a member that is needed is missing"},
	{BadField, "bad_field", http.StatusBadRequest, "a member has a value that cannot be meant"},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, "the body or a part of it is too large"},
	{BadCommand, "bad_command", http.StatusBadRequest, "the entry in the log cannot be read"},
	{NotOwner, "not_owner", http.StatusServiceUnavailable, "this process does not own the shard now"},
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

// Refusal tells why a heartbeat is not taken. It is an error.
type Refusal struct {
	Status int // of HTTP
	Code   Code
	Text   string // what the code means, and where it applies
}

// Error returns the number, the name and the text.
func (r *Refusal) Error() string { return fmt.Sprintf("%d %s: %s", int(r.Code), r.Code, r.Text) }

// refuse makes the refusal of a code; place tells which part of the call it concerns.
func refuse(code Code, place string) *Refusal {
	entry := code.entry()
	text := entry.Text
	if place != "" {
		text += ": " + place
	}
	return &Refusal{Status: entry.Status, Code: code, Text: text}
}
