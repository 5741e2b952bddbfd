// Package protocol speaks the platform's protocol: HTTP/1.1 with clients,
// destinations and the pool config, and datagrams between nodes. Its types are
// adapters round the core of package routing.
package protocol

import (
	"bytes"

	"ospreybend/internal/util/http1"
)

const (
	maxHeadBytes = 16 << 10 // most bytes of a start line and its header
	maxBodyBytes = 64 << 10 // most bytes of a body, as the protocol has it

	maxChunkedBytes = 2*maxBodyBytes + maxHeadBytes // most bytes of a chunked body with its framing
)

// parseRules are those of every message.
var parseRules = http1.ParseRules{MaxHeadBytes: maxHeadBytes}

// Fault is why a message cannot be read, with the status that says so.
type Fault = http1.StatusError

func malformed(text string) *Fault { return http1.BadMessage(text) }

// Message is a request or a response as far as it has come in. Its slices are
// those of the connection's buffer, valid until the handler returns.
type Message struct {
	http1.Head
	Body []byte
}

// Header returns the first value of a header field, or nil.
func (m *Message) Header(name string) []byte { return m.Get(name) }

// duplicated returns the name of a header field with a prefix that comes more than
// once. Which of the two holds, one side may see otherwise than the next.
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

// requestReader reads one request as it comes in. Each time it is given all that
// has come of the request, and goes on from where it stopped, so that no client
// can have the same bytes read over and over.
type requestReader struct {
	position        int // how far the request has been read
	headReader      http1.HeadReader
	headEnd         int // where the head ends; 0: not all there yet
	bodyReader      http1.BodyReader
	bodyLength      int  // of the body; httpwire.LengthChunked: in chunks
	expectsContinue bool // the client waits for word before it sends the body
	body            []byte
}

// ParseRequest reads a request. used is 0 where more bytes are needed.
func ParseRequest(in []byte) (m Message, used int, err *Fault) {
	var r requestReader
	return r.read(in)
}

// read goes on with what has come. used is 0 where more bytes are needed.
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
	// Slices of the head would have gone stale since it was first read.
	if _, err := http1.ParseHead(http1.Request, in[r.headReader.Start():], &parseRules, &m.Head); err != nil {
		return m, 0, err
	}
	m.Body = r.body
	return m, used, nil
}

// readHead looks for the end of the head, and reads it then.
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

// readChunks goes on with a chunked body, and returns where it ends.
func (r *requestReader) readChunks(in []byte) (int, *Fault) {
	for {
		data, n, err := r.bodyReader.Next(in[r.position:])
		if err != nil {
			return 0, err
		}
		r.position += n
		r.body = append(r.body, data...)
		// Chunks may hold more framing than body.
		seen := r.position
		if n == 0 {
			seen = len(in)
		}
		switch {
		case r.bodyReader.Remaining > maxBodyBytes:
			return 0, &Fault{Status: 413, Reason: "a chunk is over 64 KiB"}
		case len(r.body) > maxBodyBytes || seen-r.headEnd > maxChunkedBytes:
			return 0, &Fault{Status: 413, Reason: "the body is over 64 KiB"}
		case r.bodyReader.Done:
			return r.position, nil
		case n == 0:
			return 0, nil
		}
	}
}

// parseResponse reads the head of a response. It returns 0 where it is not all there.
func parseResponse(in []byte, m *Message) (int, *Fault) {
	return http1.ParseHead(http1.Response, in, &parseRules, &m.Head)
}

// newBodyReader starts on the body of a response whose head has been read.
func newBodyReader(m *Message) http1.BodyReader {
	return http1.NewResponseBodyReader(&m.Head, &parseRules)
}

// AppendResponse writes a response. extra holds further header lines, each with
// its end.
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
