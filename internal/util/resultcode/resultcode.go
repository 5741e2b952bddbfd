// Package resultcode defines the numbered result codes in responses of the control plane. Each package that produces
// results (configuration, registry and server) owns a range of numbers and a Table of them; docs/ERRORS.md lists all
// codes. The package does not write HTTP responses: callers convert an Entry or a Rejection to one.
package resultcode

import (
	"fmt"
	"net/http"
)

// Code is the number of a result. A number is never reused for another result.
type Code int

// Entry describes one code of a table.
type Entry struct {
	Code       Code
	Name       string // in snake case, as it appears in responses, logs and metrics
	HTTPStatus int
	Text       string
}

// Table lists the codes of one package in ascending order.
type Table []Entry

// names maps the codes of all tables to their names. It is written only during package initialization, so it needs no
// lock.
var names = map[Code]string{}

// NewTable returns a table of the entries and registers the names of their codes. It must be called during package
// initialization. It panics if a code is already registered, which is a programming error.
func NewTable(entries ...Entry) Table {
	for _, entry := range entries {
		if existing, exists := names[entry.Code]; exists {
			panic(fmt.Sprintf("resultcode: code %d is registered twice, as %s and as %s", int(entry.Code), existing, entry.Name))
		}
		names[entry.Code] = entry.Name
	}
	return entries
}

// Entries returns a copy of the table's entries.
func (t Table) Entries() []Entry { return append([]Entry(nil), t...) }

// Entry returns the entry of a code, or an entry with status 500 if the table does not contain the code.
func (t Table) Entry(code Code) Entry {
	for _, candidate := range t {
		if candidate.Code == code {
			return candidate
		}
	}
	return Entry{Code: code, Name: code.String(), HTTPStatus: http.StatusInternalServerError}
}

// String returns the name of the code, or "unknown" if no table contains it.
func (c Code) String() string {
	if name, exists := names[c]; exists {
		return name
	}
	return "unknown"
}

// Rejection is the error for a request, a change or a stored record that was rejected.
type Rejection struct {
	HTTPStatus int
	Code       Code
	Text       string // text of the code's entry and, after a colon, the part of the input that it applies to
}

// Error returns the number, the name and the text of the code.
func (r *Rejection) Error() string { return fmt.Sprintf("%d %s: %s", int(r.Code), r.Code, r.Text) }

// Reject returns the rejection with the given code. The detail names the part of the input that the code applies to;
// it may be empty.
func (t Table) Reject(code Code, detail string) *Rejection {
	entry := t.Entry(code)
	text := entry.Text
	if detail != "" {
		text += ": " + detail
	}
	return &Rejection{HTTPStatus: entry.HTTPStatus, Code: code, Text: text}
}
