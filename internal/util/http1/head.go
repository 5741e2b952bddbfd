package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Values of Head.Length that are no length.
const (
	LengthChunked = -1 // the body comes in chunks
	LengthNone    = -2 // neither length nor chunks: a request has no body, a response one up to the connection's end
)

const maxLengthDigits = 18 // of a Content-Length that still fits

// Rules bound a message and say how strictly it is read.
type Rules struct {
	HeadBytes int // most bytes of the start line and the header, line ends included
	BodyBytes int // most bytes of a body and of one chunk
	// Strict refuses what another reader may take otherwise: line ends without CR, white space within chunk sizes,
	// requests without exactly one Host, any transfer coding but chunked.
	Strict bool
}

// Fault is why a message cannot be read, with the status that says so.
type Fault struct {
	Status int
	Text   string
}

func (f *Fault) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Text) }

// Bad is a fault with status 400.
func Bad(text string) *Fault { return &Fault{400, text} }

// RawField is a header field within the buffer that was read.
type RawField struct{ Name, Value []byte }

// Head is a start line with its header. Its slices are those of the buffer that was read.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Raw            []RawField
	Length         int  // of the body, or LengthChunked, or LengthNone
	Close          bool // no message follows on the connection
	Old            bool // HTTP/1.0
}

// Kind tells requests from responses.
type Kind uint8

// Kinds of messages.
const (
	Request Kind = iota
	Response
)

// Get returns the first value of a header field, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.Raw {
		if EqualFold(h.Raw[i].Name, name) {
			return h.Raw[i].Value
		}
	}
	return nil
}

// Expects tells whether a client waits for word before it sends the body.
func (h *Head) Expects() bool { return EqualFold(h.Get("Expect"), "100-continue") }

// Fields copies the header fields.
func (h *Head) Fields() Fields {
	fields := make(Fields, len(h.Raw))
	for i, f := range h.Raw {
		fields[i] = Field{string(f.Name), string(f.Value)}
	}
	return fields
}

// ParseHead reads a start line and header fields from the beginning of in. used is 0 where they are not all there.
func ParseHead(kind Kind, in []byte, rules *Rules, h *Head) (used int, fault *Fault) {
	at := 0
	for lines := 0; ; lines++ {
		line, n, fault := cutLine(in[at:], rules)
		if fault != nil {
			return 0, fault
		}
		at += n
		if at > rules.HeadBytes || n == 0 && len(in) > rules.HeadBytes {
			return 0, &Fault{431, "the header is too long"}
		}
		switch {
		case n == 0:
			return 0, nil
		case lines == 0:
			if fault := startLine(kind, line, h); fault != nil {
				return 0, fault
			}
		case len(line) == 0:
			return at, h.finish(kind, rules)
		default:
			field, fault := fieldLine(line)
			if fault != nil {
				return 0, fault
			}
			h.Raw = append(h.Raw, field)
		}
	}
}

// cutLine returns the first line of in without its end; used is 0 where it is not all there.
func cutLine(in []byte, rules *Rules) (line []byte, used int, fault *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		return nil, 0, nil
	}
	line, returned := bytes.CutSuffix(in[:end], []byte{'\r'})
	if rules.Strict && !returned {
		return nil, 0, Bad("a line ends without a carriage return")
	}
	return line, end + 1, nil
}

func fieldLine(line []byte) (RawField, *Fault) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !IsToken(name) || bytes.ContainsFunc(value, isControl) {
		return RawField{}, Bad("a header line is malformed")
	}
	return RawField{name, bytes.Trim(value, " \t")}, nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// IsToken tells whether b may be a field's name or a method.
func IsToken[T ~string | ~[]byte](b T) bool {
	for i := range len(b) {
		c := b[i]
		if c <= ' ' || c >= 0x7f || isSeparator(c) {
			return false
		}
	}
	return len(b) > 0
}

func isSeparator(c byte) bool {
	switch c {
	case '"', '(', ')', ',', '/', ':', ';', '<', '=', '>', '?', '@', '[', '\\', ']', '{', '}':
		return true
	}
	return false
}

func startLine(kind Kind, line []byte, h *Head) *Fault {
	if kind == Request {
		return requestLine(line, h)
	}
	return statusLine(line, h)
}

func requestLine(line []byte, h *Head) *Fault {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, ok := bytes.Cut(rest, []byte{' '})
	if !ok || !IsToken(method) || bytes.IndexByte(version, ' ') >= 0 {
		return Bad("the request line is malformed")
	}
	h.Method, h.Target = method, target
	if len(target) == 0 || target[0] != '/' {
		return Bad("the target is no path")
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return Bad("the target has a byte that no path has")
		}
	}
	return h.version(version)
}

func statusLine(line []byte, h *Head) *Fault {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 {
		return Bad("the status line is malformed")
	}
	h.Status = status
	return h.version(version)
}

func (h *Head) version(v []byte) *Fault {
	switch {
	case string(v) == "HTTP/1.1":
	case string(v) == "HTTP/1.0":
		h.Old = true
	case bytes.HasPrefix(v, []byte("HTTP/")):
		return &Fault{505, "only HTTP/1.1 is spoken"}
	default:
		return Bad("the version is malformed")
	}
	return nil
}

// finish finds out how the body is delimited. Where two fields disagree, the message is refused: what one side
// takes for a body another may take for the next message.
func (h *Head) finish(kind Kind, rules *Rules) *Fault {
	h.Length, h.Close = LengthNone, h.Old
	for i := range h.Raw {
		f := &h.Raw[i]
		var fault *Fault
		switch {
		case EqualFold(f.Name, "Content-Length"):
			fault = h.contentLength(f.Value, rules)
		case EqualFold(f.Name, "Transfer-Encoding"):
			fault = h.transferEncoding(f.Value, rules)
		case EqualFold(f.Name, "Connection"):
			h.connection(f.Value)
		}
		if fault != nil {
			return fault
		}
	}
	if kind == Request && rules.Strict {
		return h.host()
	}
	return nil
}

func (h *Head) contentLength(value []byte, rules *Rules) *Fault {
	n, err := strconv.ParseUint(string(value), 10, 31)
	switch {
	case err == nil && h.Length == LengthNone:
		h.Length = int(n)
		return nil
	case err != nil && rules.Strict && areDigits(value) && len(value) <= maxLengthDigits:
		return &Fault{413, "the body is too long"}
	}
	return Bad("the length is malformed")
}

func areDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

func (h *Head) transferEncoding(value []byte, rules *Rules) *Fault {
	if !EqualFold(value, "chunked") {
		if rules.Strict {
			return Bad("the transfer coding is unknown")
		}
		return &Fault{501, "the transfer coding is unknown"}
	}
	if h.Length != LengthNone || h.Old {
		return Bad("the body is framed twice")
	}
	h.Length = LengthChunked
	return nil
}

func (h *Head) connection(value []byte) {
	for part := range bytes.SplitSeq(value, []byte{','}) {
		switch part = bytes.TrimSpace(part); {
		case EqualFold(part, "close"):
			h.Close = true
		case EqualFold(part, "keep-alive") && h.Old:
			h.Close = false
		}
	}
}

// host checks that there is one Host and that it may be one.
func (h *Head) host() *Fault {
	count := 0
	for i := range h.Raw {
		if !EqualFold(h.Raw[i].Name, "Host") {
			continue
		}
		count++
		if !isHost(h.Raw[i].Value) {
			return Bad("the host is malformed")
		}
	}
	if count != 1 {
		return Bad("the host is missing or comes twice")
	}
	return nil
}

func isHost(value []byte) bool {
	for _, c := range value {
		if c <= ' ' || c >= 0x7f || c != ':' && c != '[' && c != ']' && isSeparator(c) {
			return false
		}
	}
	return len(value) > 0
}
