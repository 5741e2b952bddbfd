package endtoend

import (
	"bytes"
	"strings"
)

const (
	requestIDField = "req-id"
	maxFieldBytes  = 8 << 10 // of an incomplete line that is kept until its end arrives
)

// requestIDs extracts the IDs of the requests on a connection from its bytes, in whatever fragments they arrive.
type requestIDs struct {
	line []byte // beginning of a line whose end has not arrived
}

// scan returns the IDs in the header fields that the fragment completes.
func (r *requestIDs) scan(fragment []byte) (ids []string) {
	r.line = append(r.line, fragment...)
	for {
		line, rest, complete := bytes.Cut(r.line, []byte("\r\n"))
		if !complete {
			break
		}
		if name, value, found := strings.Cut(string(line), ":"); found && strings.EqualFold(name, requestIDField) {
			ids = append(ids, strings.TrimSpace(value))
		}
		r.line = rest
	}
	if len(r.line) > maxFieldBytes {
		r.line = nil // too long for a header field: part of a body
	}
	return ids
}
