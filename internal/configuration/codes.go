package configuration

// Code numbers the result of a change to the configuration.
type Code int

// Refusal tells why a change is not taken. It is an error.
type Refusal struct {
	Status int // of HTTP
	Code   Code
	Text   string
}

// Error returns the name of the code and the text.
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
