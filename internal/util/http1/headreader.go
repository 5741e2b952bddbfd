package http1

import (
	"bytes"
	"net/http"
)

// HeadReader parses one message head incrementally. Each call of Read gets all bytes received so far and continues where the
// previous call stopped, so that bytes are not rescanned for every byte of a peer that sends byte by byte. Only Kind and Rules must
// be set before use.
type HeadReader struct {
	Kind  MessageKind
	Rules ParseRules

	scanned       int  // offset after the last complete line that was scanned
	lineStart     int  // offset of the start line, after any empty lines
	startLineRead bool // the start line has been read
}

// Start returns the offset of the start line.
func (r *HeadReader) Start() int { return r.lineStart }

// Scanned returns the offset up to which complete lines have been scanned.
func (r *HeadReader) Scanned() int { return r.scanned }

// Started reports whether in contains a byte after the empty lines that may precede a message.
func (r *HeadReader) Started(in []byte) bool { return len(in) > r.lineStart }

// Read parses the head from in, which holds all bytes of the message received so far. used is 0 if more bytes are needed. A
// malformed start line is reported as soon as the line is complete, before the header has been received.
func (r *HeadReader) Read(in []byte, head *Head) (used int, statusErr *StatusError) {
	ready, statusErr := r.skipEmptyLines(in)
	if statusErr != nil || !ready {
		return 0, statusErr
	}
	for {
		line, length, statusErr := cutLine(in[r.scanned:], &r.Rules)
		switch {
		case statusErr != nil:
			return 0, statusErr
		case r.scanned+length > r.Rules.MaxHeadBytes || length == 0 && len(in) > r.Rules.MaxHeadBytes:
			return 0, &StatusError{http.StatusRequestHeaderFieldsTooLarge, errorHeaderTooLong}
		case length == 0:
			return 0, nil
		}
		r.scanned += length
		if !r.startLineRead {
			r.startLineRead = true
			if statusErr := parseStartLine(r.Kind, line, &Head{}); statusErr != nil {
				return 0, statusErr
			}
		} else if len(line) == 0 {
			break
		}
	}
	head.RawHeader = head.RawHeader[:0]
	length, statusErr := ParseHead(r.Kind, in[r.lineStart:], &r.Rules, head)
	if statusErr != nil {
		return 0, statusErr
	}
	return r.lineStart + length, nil
}

// skipEmptyLines skips empty lines before the start line (RFC 9112, section 2.2). ready is false if more bytes are needed first.
func (r *HeadReader) skipEmptyLines(in []byte) (ready bool, statusErr *StatusError) {
	if r.startLineRead {
		return true, nil
	}
	if !r.Rules.Strict {
		for r.scanned < len(in) && (in[r.scanned] == '\r' || in[r.scanned] == '\n') {
			r.scanned++
		}
		r.lineStart = r.scanned
		return true, nil
	}
	for bytes.HasPrefix(in[r.scanned:], []byte("\r\n")) {
		r.scanned += 2
	}
	r.lineStart = r.scanned
	rest := in[r.scanned:]
	switch {
	case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
		if len(in) > r.Rules.MaxHeadBytes {
			return false, &StatusError{http.StatusRequestHeaderFieldsTooLarge, errorHeaderTooLong}
		}
		return false, nil
	case rest[0] == '\r' || rest[0] == '\n':
		return false, BadMessage("a line ends in half of its end")
	}
	return true, nil
}
