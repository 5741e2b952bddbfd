// Package protocol speaks the platform's protocol: HTTP/1.1 with clients,
// destinations and the pool config, and datagrams between nodes. Its types are
// adapters round the core of package routing.
package protocol

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	maxHead = 16 << 10 // most bytes of a start line and its header
	maxBody = 64 << 10 // most bytes of a body, as the protocol has it

	mostChunked = 2*maxBody + maxHead // most bytes of a chunked body with its framing
)

// Fault is why a message cannot be read, with the status that says so.
type Fault struct {
	Status int
	Text   string
}

func (f *Fault) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Text) }

func bad(text string) *Fault { return &Fault{400, text} }

type field struct{ name, value []byte }

// Message is a request or a response as far as it has come in. Its slices are
// those of the connection's buffer, valid until the handler returns.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Body           []byte
	Close          bool // no message follows on the connection

	fields []field
	length int // of the body; -1: chunked, -2: to the connection's end
	old    bool
}

// Header returns the first value of a header field, or nil.
func (m *Message) Header(name string) []byte {
	for _, f := range m.fields {
		if equalFold(f.name, name) {
			return f.value
		}
	}
	return nil
}

// doubled returns the name of a header field with a prefix that comes more than
// once. Which of the two holds, one side may see otherwise than the next.
func (m *Message) doubled(prefix string) string {
	for i, f := range m.fields {
		if len(f.name) < len(prefix) || !equalFold(f.name[:len(prefix)], prefix) {
			continue
		}
		for _, g := range m.fields[:i] {
			if bytes.EqualFold(f.name, g.name) {
				return string(f.name)
			}
		}
	}
	return ""
}

// equalFold compares a field name without regard to case, in ASCII alone.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		x, y := b[i], s[i]
		if 'A' <= x && x <= 'Z' {
			x += 'a' - 'A'
		}
		if 'A' <= y && y <= 'Z' {
			y += 'a' - 'A'
		}
		if x != y {
			return false
		}
	}
	return true
}

// requestReader reads one request as it comes in. Each time it is given all that
// has come of the request, and goes on from where it stopped, so that no client
// can have the same bytes read over and over.
type requestReader struct {
	at      int  // how far the request has been read
	start   int  // where the request line begins, empty lines passed over
	lined   bool // the request line has been read
	head    int  // where the head ends; 0: not all there yet
	length  int  // of the body; -1: chunked
	expects bool // the client waits for word before it sends the body
	body    []byte
}

// ParseRequest reads a request. used is 0 where more bytes are needed.
func ParseRequest(in []byte) (m Message, used int, err *Fault) {
	var r requestReader
	return r.read(in)
}

// read goes on with what has come. used is 0 where more bytes are needed.
func (r *requestReader) read(in []byte) (m Message, used int, err *Fault) {
	if r.head == 0 {
		if err := r.readHead(in); err != nil || r.head == 0 {
			return m, 0, err
		}
	}
	if r.length >= 0 {
		used = r.head + r.length
		if len(in) < used {
			return m, 0, nil
		}
		r.body = in[r.head:used]
	} else if used, err = r.readChunks(in); err != nil || used == 0 {
		return m, 0, err
	}
	// Slices of the head would have gone stale since it was first read.
	if _, err := parseHead(in[r.start:], &m, requestLine); err != nil {
		return m, 0, err
	}
	m.Body = r.body
	return m, used, nil
}

// readHead looks for the end of the head, line by line, and reads it then. A
// request line that makes no sense shows at once.
func (r *requestReader) readHead(in []byte) *Fault {
	for !r.lined && r.at < len(in) && (in[r.at] == '\r' || in[r.at] == '\n') {
		r.at++ // empty lines before a request are to be passed over
		r.start = r.at
	}
	for {
		end := bytes.IndexByte(in[r.at:], '\n')
		if end < 0 && len(in) > maxHead || r.at+end >= maxHead {
			return &Fault{431, "the header is too long"}
		}
		if end < 0 {
			return nil
		}
		line := bytes.TrimSuffix(in[r.at:r.at+end], []byte{'\r'})
		r.at += end + 1
		if !r.lined {
			r.lined = true
			if err := requestLine(line, &Message{}); err != nil {
				return err
			}
		} else if len(line) == 0 {
			break
		}
	}
	var m Message
	n, err := parseHead(in[r.start:], &m, requestLine)
	if err != nil {
		return err
	}
	if m.length > maxBody {
		return &Fault{413, "the body is over 64 KiB"}
	}
	if m.length == -2 {
		m.length = 0 // a request without framing has no body
	}
	r.head, r.at, r.length, r.expects = r.start+n, r.start+n, m.length, m.Expects()
	return nil
}

// readChunks goes on with a chunked body, and returns where it ends.
func (r *requestReader) readChunks(in []byte) (int, *Fault) {
	for {
		data, n, last, err := chunk(in[r.at:])
		if err != nil {
			return 0, err
		}
		r.at += n
		r.body = append(r.body, data...)
		// Chunks may hold more framing than body.
		seen := r.at
		if n == 0 {
			seen = len(in)
		}
		switch {
		case len(r.body) > maxBody || seen-r.head > mostChunked:
			return 0, &Fault{413, "the body is over 64 KiB"}
		case last:
			return r.at, nil
		case n == 0:
			return 0, nil
		}
	}
}

// Expects tells whether a client waits for word before it sends the body.
func (m *Message) Expects() bool { return equalFold(m.Header("Expect"), "100-continue") }

// parseHead reads a start line and header fields. It returns 0 where they are
// not all there.
func parseHead(in []byte, m *Message, start func([]byte, *Message) *Fault) (int, *Fault) {
	at := 0
	for lines := 0; ; lines++ {
		end := bytes.IndexByte(in[at:], '\n')
		if end < 0 {
			if len(in) > maxHead {
				return 0, &Fault{431, "the header is too long"}
			}
			return 0, nil
		}
		line := bytes.TrimSuffix(in[at:at+end], []byte{'\r'})
		at += end + 1
		if at > maxHead {
			return 0, &Fault{431, "the header is too long"}
		}
		switch {
		case lines == 0:
			if err := start(line, m); err != nil {
				return 0, err
			}
		case len(line) == 0:
			return at, m.frame()
		default:
			name, value, ok := bytes.Cut(line, []byte{':'})
			if !ok || !token(name) || bytes.ContainsFunc(value, control) {
				return 0, bad("a header line is malformed")
			}
			m.fields = append(m.fields, field{name, bytes.Trim(value, " \t")})
		}
	}
}

func control(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func requestLine(line []byte, m *Message) *Fault {
	parts := bytes.Split(line, []byte{' '})
	if len(parts) != 3 || !token(parts[0]) {
		return bad("the request line is malformed")
	}
	m.Method, m.Target = parts[0], parts[1]
	if len(m.Target) == 0 || m.Target[0] != '/' {
		return bad("the target is no path")
	}
	for _, c := range m.Target {
		if c <= ' ' || c >= 0x7f {
			return bad("the target has a byte that no path has")
		}
	}
	return m.version(parts[2])
}

func statusLine(line []byte, m *Message) *Fault {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 {
		return bad("the status line is malformed")
	}
	m.Status = status
	return m.version(version)
}

func (m *Message) version(v []byte) *Fault {
	switch {
	case string(v) == "HTTP/1.1":
	case string(v) == "HTTP/1.0":
		m.old = true
	case bytes.HasPrefix(v, []byte("HTTP/")):
		return &Fault{505, "only HTTP/1.1 is spoken"}
	default:
		return bad("the version is malformed")
	}
	return nil
}

// frame finds out how the body is delimited. Where two fields disagree, the
// message is refused: what one side takes for a body another may take for the
// next message.
func (m *Message) frame() *Fault {
	m.length, m.Close = -2, m.old
	for _, f := range m.fields {
		switch {
		case equalFold(f.name, "Content-Length"):
			n, err := strconv.ParseUint(string(f.value), 10, 31)
			if err != nil || bytes.ContainsRune(f.value, '+') || m.length != -2 {
				return bad("the length is malformed")
			}
			m.length = int(n)
		case equalFold(f.name, "Transfer-Encoding"):
			if !equalFold(f.value, "chunked") {
				return &Fault{501, "the transfer coding is unknown"}
			}
			if m.length != -2 || m.old {
				return bad("the body is framed twice")
			}
			m.length = -1
		case equalFold(f.name, "Connection"):
			for part := range bytes.SplitSeq(f.value, []byte{','}) {
				switch part = bytes.TrimSpace(part); {
				case equalFold(part, "close"):
					m.Close = true
				case equalFold(part, "keep-alive") && m.old:
					m.Close = false
				}
			}
		}
	}
	return nil
}

// chunkSize reads the line before a chunk. used is 0 where more bytes are needed.
func chunkSize(in []byte) (size, used int, err *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		if len(in) > maxHead {
			return 0, 0, bad("a chunk's size is malformed")
		}
		return 0, 0, nil
	}
	text, _, _ := bytes.Cut(in[:end], []byte{';'})
	n, e := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 31)
	if e != nil {
		return 0, 0, bad("a chunk's size is malformed")
	}
	return int(n), end + 1, nil
}

// chunk reads one chunk. used is 0 where more bytes are needed; last tells that
// the body has ended with it, the trailer included.
func chunk(in []byte) (data []byte, used int, last bool, err *Fault) {
	n, at, err := chunkSize(in)
	switch {
	case at == 0:
		return nil, 0, false, err
	case n > maxBody:
		return nil, 0, false, &Fault{413, "a chunk is over 64 KiB"}
	case n == 0:
		return trailer(in, at)
	}
	stop := at + n
	if len(in) < stop+2 {
		return nil, 0, false, nil
	}
	if in[stop] != '\r' || in[stop+1] != '\n' {
		return nil, 0, false, bad("a chunk has no end")
	}
	return in[at:stop], stop + 2, false, nil
}

// trailer passes over the lines after the last chunk.
func trailer(in []byte, at int) (data []byte, used int, last bool, err *Fault) {
	for {
		end := bytes.IndexByte(in[at:], '\n')
		if end < 0 {
			if len(in)-at > maxHead {
				return nil, 0, false, &Fault{431, "the trailer is too long"}
			}
			return nil, 0, false, nil
		}
		line := bytes.TrimSuffix(in[at:at+end], []byte{'\r'})
		at += end + 1
		if len(line) == 0 {
			return nil, at, true, nil
		}
	}
}

// Body takes a response's body in piece by piece, as it comes.
type bodyReader struct {
	left    int // of a body of known length, or of a chunk
	chunked bool
	ending  bool // a chunk's end is to come
	toEnd   bool
	over    bool
}

// newBody starts on the body of a response whose head has been read.
func newBody(m *Message) bodyReader {
	switch {
	case m.Status == 204 || m.Status == 304 || m.length == 0:
		return bodyReader{over: true}
	case m.length == -1:
		return bodyReader{chunked: true}
	case m.length == -2:
		return bodyReader{toEnd: true}
	}
	return bodyReader{left: m.length}
}

// next returns the next piece; used is 0 where more bytes are needed.
func (b *bodyReader) next(in []byte) (data []byte, used int, err *Fault) {
	if b.over || len(in) == 0 {
		return nil, 0, nil
	}
	switch {
	case b.chunked && b.left == 0:
		used, err = b.between(in)
		return nil, used, err
	case b.toEnd:
		return in, len(in), nil
	}
	used = min(b.left, len(in))
	b.left -= used
	b.over, b.ending = b.left == 0 && !b.chunked, b.chunked
	return in[:used], used, nil
}

// between reads what stands between two chunks. What is in a chunk counts as it comes: its sender may break
// off behind a whole line.
func (b *bodyReader) between(in []byte) (used int, err *Fault) {
	if b.ending {
		if len(in) < 2 {
			return 0, nil
		}
		if in[0] != '\r' || in[1] != '\n' {
			return 0, bad("a chunk has no end")
		}
		b.ending = false
		return 2, nil
	}
	n, at, err := chunkSize(in)
	if n > 0 || at == 0 {
		b.left = n
		return at, err
	}
	_, used, b.over, err = trailer(in, at)
	return used, err
}

// statusText is for the statuses that the node sends.
var statusText = map[int]string{200: "OK", 201: "Created", 202: "Accepted", 204: "No Content",
	400: "Bad Request", 408: "Request Timeout", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// AppendResponse writes a response. extra holds further header lines, each with
// its end.
func AppendResponse(out []byte, status int, extra string, body []byte, closing bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, statusText[status]...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n"...)
	out = append(out, extra...)
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}
