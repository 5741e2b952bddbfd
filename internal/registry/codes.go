package registry

// Code numbers the result of a heartbeat or of a departure.
type Code int

// Refusal tells why a heartbeat is not taken. It is an error.
type Refusal struct {
	Status int // of HTTP
	Code   Code
	Text   string
}

// Error returns the text.
func (r *Refusal) Error() string { return r.Text }

// CodeEntry is one line of the table of codes.
type CodeEntry struct {
	Code   Code
	Name   string
	Status int // of HTTP
	Text   string
}

// Codes returns all codes in rising order.
func Codes() []CodeEntry { panic("not built yet") }
