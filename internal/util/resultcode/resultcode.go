// Package resultcode numbers the results that the control plane answers with. Each package that gives
// results has a range of numbers and a table; docs/ERRORS.md lists them all.
package resultcode

import (
	"fmt"
	"net/http"
)

// Code numbers a result. Numbers are never given anew.
type Code int

// Entry is one line of a table of codes.
type Entry struct {
	Code       Code
	Name       string
	HTTPStatus int // of HTTP
	Text       string
}

// Table is the codes of one package in rising order.
type Table []Entry

// names are those of all tables; they are filled while packages are initialised and only read after that.
var names = map[Code]string{}

// NewTable returns a table and makes its codes' names known. It is called while packages are initialised; a code that
// stands in two tables is a fault of the program.
func NewTable(entries ...Entry) Table {
	for _, entry := range entries {
		if existing, exists := names[entry.Code]; exists {
			panic(fmt.Sprintf("resultcode: %d is %s and %s", int(entry.Code), existing, entry.Name))
		}
		names[entry.Code] = entry.Name
	}
	return entries
}

// Entries returns a copy of the table's lines.
func (t Table) Entries() []Entry { return append([]Entry(nil), t...) }

// Entry returns the line of a code; of one that the table does not have, a line with status 500.
func (t Table) Entry(code Code) Entry {
	for _, candidate := range t {
		if candidate.Code == code {
			return candidate
		}
	}
	return Entry{Code: code, Name: code.String(), HTTPStatus: http.StatusInternalServerError}
}

// String returns the name of the code.
func (c Code) String() string {
	if name, exists := names[c]; exists {
		return name
	}
	return "unknown"
}

// Rejection tells why something is not taken. It is an error.
type Rejection struct {
	HTTPStatus int // of HTTP
	Code       Code
	Text       string // what the code means, and where it applies
}

// Error returns the number, the name and the text.
func (r *Rejection) Error() string { return fmt.Sprintf("%d %s: %s", int(r.Code), r.Code, r.Text) }

// Reject makes the refusal of a code; place tells which part of the input it concerns and may be empty.
func (t Table) Reject(code Code, detail string) *Rejection {
	entry := t.Entry(code)
	text := entry.Text
	if detail != "" {
		text += ": " + detail
	}
	return &Rejection{HTTPStatus: entry.HTTPStatus, Code: code, Text: text}
}
