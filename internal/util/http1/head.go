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

// ParseRules bound a message and say how strictly it is read.
type ParseRules struct {
	MaxHeadBytes int // most bytes of the start line and the header, line ends included
	MaxBodyBytes int // most bytes of a body and of one chunk
	// Strict refuses what another reader may take otherwise: line ends without CR, white space within chunk sizes,
	// requests without exactly one Host, any transfer coding but chunked.
	Strict bool
}

// StatusError is why a message cannot be read, with the status that says so.
type StatusError struct {
	Status int
	Reason string
}

func (f *StatusError) Error() string { return fmt.Sprintf("%d %s", f.Status, f.Reason) }

// BadMessage is a fault with status 400.
func BadMessage(text string) *StatusError { return &StatusError{400, text} }

// RawHeaderField is a header field within the buffer that was read.
type RawHeaderField struct{ Name, Value []byte }

// Head is a start line with its header. Its slices are those of the buffer that was read.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	RawHeader      []RawHeaderField
	ContentLength  int  // of the body, or LengthChunked, or LengthNone
	Close          bool // no message follows on the connection
	HTTP10         bool // HTTP/1.0
}

// MessageKind tells requests from responses.
type MessageKind uint8

// Kinds of messages.
const (
	Request MessageKind = iota
	Response
)

// Get returns the first value of a header field, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.RawHeader {
		if EqualFold(h.RawHeader[i].Name, name) {
			return h.RawHeader[i].Value
		}
	}
	return nil
}

// ExpectsContinue tells whether a client waits for word before it sends the body.
func (h *Head) ExpectsContinue() bool { return EqualFold(h.Get("Expect"), "100-continue") }

// Header copies the header fields.
func (h *Head) Header() Header {
	fields := make(Header, len(h.RawHeader))
	for i, f := range h.RawHeader {
		fields[i] = HeaderField{string(f.Name), string(f.Value)}
	}
	return fields
}

// ParseHead reads a start line and header fields from the beginning of in. used is 0 where they are not all there.
func ParseHead(kind MessageKind, in []byte, rules *ParseRules, head *Head) (used int, statusErr *StatusError) {
	offset := 0
	for lines := 0; ; lines++ {
		line, length, statusErr := cutLine(in[offset:], rules)
		if statusErr != nil {
			return 0, statusErr
		}
		offset += length
		if offset > rules.MaxHeadBytes || length == 0 && len(in) > rules.MaxHeadBytes {
			return 0, &StatusError{431, "the header is too long"}
		}
		switch {
		case length == 0:
			return 0, nil
		case lines == 0:
			if statusErr := parseStartLine(kind, line, head); statusErr != nil {
				return 0, statusErr
			}
		case len(line) == 0:
			return offset, head.parseFraming(kind, rules)
		default:
			field, statusErr := parseFieldLine(line)
			if statusErr != nil {
				return 0, statusErr
			}
			head.RawHeader = append(head.RawHeader, field)
		}
	}
}

// cutLine returns the first line of in without its end; used is 0 where it is not all there.
func cutLine(in []byte, rules *ParseRules) (line []byte, used int, statusErr *StatusError) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		return nil, 0, nil
	}
	line, returned := bytes.CutSuffix(in[:end], []byte{'\r'})
	if rules.Strict && !returned {
		return nil, 0, BadMessage("a line ends without a carriage return")
	}
	return line, end + 1, nil
}

func parseFieldLine(line []byte) (RawHeaderField, *StatusError) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !IsToken(name) || bytes.ContainsFunc(value, isControl) {
		return RawHeaderField{}, BadMessage("a header line is malformed")
	}
	return RawHeaderField{name, bytes.Trim(value, " \t")}, nil
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

func parseStartLine(kind MessageKind, line []byte, head *Head) *StatusError {
	if kind == Request {
		return parseRequestLine(line, head)
	}
	return parseStatusLine(line, head)
}

func parseRequestLine(line []byte, head *Head) *StatusError {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, ok := bytes.Cut(rest, []byte{' '})
	if !ok || !IsToken(method) || bytes.IndexByte(version, ' ') >= 0 {
		return BadMessage("the request line is malformed")
	}
	head.Method, head.Target = method, target
	if len(target) == 0 || target[0] != '/' {
		return BadMessage("the target is no path")
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return BadMessage("the target has a byte that no path has")
		}
	}
	return head.parseVersion(version)
}

func parseStatusLine(line []byte, head *Head) *StatusError {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 {
		return BadMessage("the status line is malformed")
	}
	head.Status = status
	return head.parseVersion(version)
}

func (h *Head) parseVersion(v []byte) *StatusError {
	switch {
	case string(v) == "HTTP/1.1":
	case string(v) == "HTTP/1.0":
		h.HTTP10 = true
	case bytes.HasPrefix(v, []byte("HTTP/")):
		return &StatusError{505, "only HTTP/1.1 is spoken"}
	default:
		return BadMessage("the version is malformed")
	}
	return nil
}

// parseFraming finds out how the body is delimited. Where two fields disagree, the message is refused: what one side
// takes for a body another may take for the next message.
func (h *Head) parseFraming(kind MessageKind, rules *ParseRules) *StatusError {
	h.ContentLength, h.Close = LengthNone, h.HTTP10
	for i := range h.RawHeader {
		f := &h.RawHeader[i]
		var statusErr *StatusError
		switch {
		case EqualFold(f.Name, "Content-Length"):
			statusErr = h.parseContentLength(f.Value, rules)
		case EqualFold(f.Name, "Transfer-Encoding"):
			statusErr = h.parseTransferEncoding(f.Value, rules)
		case EqualFold(f.Name, "Connection"):
			h.parseConnection(f.Value)
		}
		if statusErr != nil {
			return statusErr
		}
	}
	if kind == Request && rules.Strict {
		return h.checkHost()
	}
	return nil
}

func (h *Head) parseContentLength(value []byte, rules *ParseRules) *StatusError {
	n, err := strconv.ParseUint(string(value), 10, 31)
	switch {
	case err == nil && h.ContentLength == LengthNone:
		h.ContentLength = int(n)
		return nil
	case err != nil && rules.Strict && isAllDigits(value) && len(value) <= maxLengthDigits:
		return &StatusError{413, "the body is too long"}
	}
	return BadMessage("the length is malformed")
}

func isAllDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

func (h *Head) parseTransferEncoding(value []byte, rules *ParseRules) *StatusError {
	if !EqualFold(value, "chunked") {
		if rules.Strict {
			return BadMessage("the transfer coding is unknown")
		}
		return &StatusError{501, "the transfer coding is unknown"}
	}
	if h.ContentLength != LengthNone || h.HTTP10 {
		return BadMessage("the body is framed twice")
	}
	h.ContentLength = LengthChunked
	return nil
}

func (h *Head) parseConnection(value []byte) {
	for part := range bytes.SplitSeq(value, []byte{','}) {
		switch part = bytes.TrimSpace(part); {
		case EqualFold(part, "close"):
			h.Close = true
		case EqualFold(part, "keep-alive") && h.HTTP10:
			h.Close = false
		}
	}
}

// checkHost checks that there is one Host and that it may be one.
func (h *Head) checkHost() *StatusError {
	count := 0
	for i := range h.RawHeader {
		if !EqualFold(h.RawHeader[i].Name, "Host") {
			continue
		}
		count++
		if !isHostValue(h.RawHeader[i].Value) {
			return BadMessage("the host is malformed")
		}
	}
	if count != 1 {
		return BadMessage("the host is missing or comes twice")
	}
	return nil
}

func isHostValue(value []byte) bool {
	for _, c := range value {
		if c <= ' ' || c >= 0x7f || c != ':' && c != '[' && c != ']' && isSeparator(c) {
			return false
		}
	}
	return len(value) > 0
}
