package http1

import "bytes"

// HeadReader reads one head as it comes in. Each time it is given all that has come of the message, and goes on from where it
// stopped, so that nobody can have the same bytes read over and over. The zero value with Kind and Rules set is ready.
type HeadReader struct {
	Kind  Kind
	Rules Rules

	at    int  // how far the lines have been read
	start int  // where the start line begins, empty lines passed over
	lined bool // the start line has been read
}

// Start returns where the start line begins.
func (r *HeadReader) Start() int { return r.start }

// At returns how far the head has been read.
func (r *HeadReader) At() int { return r.at }

// Begun tells whether a byte other than an empty line's has come.
func (r *HeadReader) Begun(in []byte) bool { return len(in) > r.start }

// Read goes on with what has come. used is 0 where more bytes are needed. A start line that makes no sense shows at once.
func (r *HeadReader) Read(in []byte, h *Head) (used int, fault *Fault) {
	ready, fault := r.passEmpty(in)
	if fault != nil || !ready {
		return 0, fault
	}
	for {
		line, n, fault := cutLine(in[r.at:], &r.Rules)
		switch {
		case fault != nil:
			return 0, fault
		case r.at+n > r.Rules.HeadBytes || n == 0 && len(in) > r.Rules.HeadBytes:
			return 0, &Fault{431, "the header is too long"}
		case n == 0:
			return 0, nil
		}
		r.at += n
		if !r.lined {
			r.lined = true
			if fault := startLine(r.Kind, line, &Head{}); fault != nil {
				return 0, fault
			}
		} else if len(line) == 0 {
			break
		}
	}
	h.Raw = h.Raw[:0]
	n, fault := ParseHead(r.Kind, in[r.start:], &r.Rules, h)
	if fault != nil {
		return 0, fault
	}
	return r.start + n, nil
}

// passEmpty passes over empty lines before the start line. ready is false where more bytes are needed first.
func (r *HeadReader) passEmpty(in []byte) (ready bool, fault *Fault) {
	if r.lined {
		return true, nil
	}
	if !r.Rules.Strict {
		for r.at < len(in) && (in[r.at] == '\r' || in[r.at] == '\n') {
			r.at++
		}
		r.start = r.at
		return true, nil
	}
	for bytes.HasPrefix(in[r.at:], []byte("\r\n")) {
		r.at += 2
	}
	r.start = r.at
	rest := in[r.at:]
	switch {
	case len(rest) == 0 || len(rest) == 1 && rest[0] == '\r':
		if len(in) > r.Rules.HeadBytes {
			return false, &Fault{431, "the header is too long"}
		}
		return false, nil
	case rest[0] == '\r' || rest[0] == '\n':
		return false, Bad("a line ends in half of its end")
	}
	return true, nil
}
