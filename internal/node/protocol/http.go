package protocol

import (
	"bytes"

	"ospreybend/internal/util/http1"
)

const (
	maxHeadBytes = 16 << 10 // limit of a start line and its header
	maxBodyBytes = 64 << 10 // limit of a body, set by the platform's protocol

	maxChunkedBytes = 2*maxBodyBytes + maxHeadBytes // limit of a chunked body with its framing
)

// parseRules are the parser's limits for all messages.
var parseRules = http1.ParseRules{MaxHeadBytes: maxHeadBytes}

// Fault is the reason why a message was rejected, with the HTTP status of the answer.
type Fault = http1.StatusError

// malformed returns the Fault of a message that cannot be parsed (status 400).
func malformed(text string) *Fault { return http1.BadMessage(text) }

// Message is a parsed request or response. Its slices refer to the connection's buffer and
// are valid until the handler returns.
type Message struct {
	http1.Head
	Body []byte
}

// Header returns the first value of a header field, or nil.
func (m *Message) Header(name string) []byte { return m.Get(name) }

// duplicated returns the name of a header field that starts with prefix and occurs more than
// once, or "". Such a message is ambiguous, since the next hop might use the other value.
func (m *Message) duplicated(prefix string) string {
	for i, f := range m.RawHeader {
		if len(f.Name) < len(prefix) || !http1.EqualFold(f.Name[:len(prefix)], prefix) {
			continue
		}
		for _, g := range m.RawHeader[:i] {
			if bytes.EqualFold(f.Name, g.Name) {
				return string(f.Name)
			}
		}
	}
	return ""
}

// requestReader parses one request incrementally. Each call of read gets all bytes received so
// far and resumes where the last one stopped, so that a client that sends byte by byte cannot
// make the node parse the same bytes repeatedly.
type requestReader struct {
	position        int // bytes parsed so far
	headReader      http1.HeadReader
	headEnd         int // length of the head; 0: incomplete
	bodyReader      http1.BodyReader
	bodyLength      int  // http1.LengthChunked: the body is chunked
	expectsContinue bool // the client waits for 100 Continue before it sends the body
	body            []byte
}

// ParseRequest parses one request. used is the number of bytes parsed, or 0 if the request is incomplete.
func ParseRequest(in []byte) (m Message, used int, err *Fault) {
	var r requestReader
	return r.read(in)
}

// read resumes with all bytes received so far. used is 0 if the request is incomplete.
func (r *requestReader) read(in []byte) (m Message, used int, err *Fault) {
	if r.headEnd == 0 {
		if err := r.readHead(in); err != nil || r.headEnd == 0 {
			return m, 0, err
		}
	}
	if r.bodyLength >= 0 {
		used = r.headEnd + r.bodyLength
		if len(in) < used {
			return m, 0, nil
		}
		r.body = in[r.headEnd:used]
	} else if used, err = r.readChunks(in); err != nil || used == 0 {
		return m, 0, err
	}
	// The head is parsed again: the buffer may have moved, which invalidates its slices.
	if _, err := http1.ParseHead(http1.Request, in[r.headReader.Start():], &parseRules, &m.Head); err != nil {
		return m, 0, err
	}
	m.Body = r.body
	return m, used, nil
}

// readHead parses the head once it has been received completely.
func (r *requestReader) readHead(in []byte) *Fault {
	var h http1.Head
	r.headReader.Rules = parseRules
	end, err := r.headReader.Read(in, &h)
	r.position = r.headReader.Scanned()
	switch {
	case err != nil || end == 0:
		return err
	case h.ContentLength > maxBodyBytes:
		return &Fault{Status: 413, Reason: "the body is over 64 KiB"}
	}
	r.headEnd, r.bodyLength, r.expectsContinue = end, h.ContentLength, h.ExpectsContinue()
	if h.ContentLength == http1.LengthNone {
		r.bodyLength = 0 // a request without framing has no body
	}
	r.bodyReader = http1.NewRequestBodyReader(&h, &parseRules)
	return nil
}

// readChunks resumes a chunked body. It returns the offset of the body's end, or 0 if the body is
// incomplete.
func (r *requestReader) readChunks(in []byte) (int, *Fault) {
	for {
		data, n, err := r.bodyReader.Next(in[r.position:])
		if err != nil {
			return 0, err
		}
		r.position += n
		r.body = append(r.body, data...)
		// The framing is limited too, since chunks may have more framing than data.
		received := r.position
		if n == 0 {
			received = len(in)
		}
		switch {
		case r.bodyReader.Remaining > maxBodyBytes:
			return 0, &Fault{Status: 413, Reason: "a chunk is over 64 KiB"}
		case len(r.body) > maxBodyBytes || received-r.headEnd > maxChunkedBytes:
			return 0, &Fault{Status: 413, Reason: "the body is over 64 KiB"}
		case r.bodyReader.Done:
			return r.position, nil
		case n == 0:
			return 0, nil
		}
	}
}

// parseResponse parses the head of a response. It returns the length of the head, or 0 if it is incomplete.
func parseResponse(in []byte, m *Message) (int, *Fault) {
	return http1.ParseHead(http1.Response, in, &parseRules, &m.Head)
}

// newBodyReader returns a reader for the body of a response whose head has been parsed.
func newBodyReader(m *Message) http1.BodyReader {
	return http1.NewResponseBodyReader(&m.Head, &parseRules)
}

// AppendResponse appends a response to out. extra holds additional header lines, each with its
// CRLF. If closing is set, the response has "Connection: close".
func AppendResponse(out []byte, status int, extra string, body []byte, closing bool) []byte {
	out = http1.AppendStatusLine(out, status)
	out = http1.AppendIntField(out, "Content-Length", len(body))
	out = append(out, extra...)
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}
