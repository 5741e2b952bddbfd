package http1

import "bytes"

// HeadReader reads one head as it comes in. Each time it is given all that has come of the message, and goes on from where it
// stopped, so that nobody can have the same bytes read over and over. The zero value with Kind and Rules set is ready.
type HeadReader struct {
	Kind  MessageKind
	Rules ParseRules

	scanned       int  // how far the lines have been read
	lineStart     int  // where the start line begins, empty lines passed over
	startLineRead bool // the start line has been read
}

// Start returns where the start line begins.
func (r *HeadReader) Start() int { return r.lineStart }

// Scanned returns how far the head has been read.
func (r *HeadReader) Scanned() int { return r.scanned }

// Started tells whether a byte other than an empty line's has come.
func (r *HeadReader) Started(in []byte) bool { return len(in) > r.lineStart }

// Read goes on with what has come. used is 0 where more bytes are needed. A start line that makes no sense shows at once.
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
			return 0, &StatusError{431, "the header is too long"}
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

// skipEmptyLines passes over empty lines before the start line. ready is false where more bytes are needed first.
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
			return false, &StatusError{431, "the header is too long"}
		}
		return false, nil
	case rest[0] == '\r' || rest[0] == '\n':
		return false, BadMessage("a line ends in half of its end")
	}
	return true, nil
}
