package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// Values of Head.ContentLength that are not a length.
const (
	// LengthChunked means a body with "Transfer-Encoding: chunked".
	LengthChunked = -1
	// LengthNone means a message with neither a Content-Length nor chunked coding: such a request has no body, and the body of
	// such a response is delimited by the end of the connection (RFC 9112, section 6.3).
	LengthNone = -2
)

const (
	decimal     = 10
	hexadecimal = 16
	lengthBits  = 31 // bits of the length of a body or a chunk, which must fit into a 32-bit int
	// maxLengthDigits is the number of digits up to which strict rules reject a Content-Length out of range as too large (413).
	// Otherwise it is rejected as malformed (400).
	maxLengthDigits = 18
)

const (
	statusDigits       = 3
	errorHeaderTooLong = "the header is too long"
)

// ParseRules are the size limits of a message and the strictness of its parser.
type ParseRules struct {
	MaxHeadBytes int // limit of the start line and the header, line ends included
	MaxBodyBytes int // limit of one chunk; 0 means no limit. Callers limit whole bodies
	// Strict rejects what another parser might read differently: line ends without CR, white space within chunk sizes,
	// requests without exactly one Host, and any transfer coding but chunked.
	Strict bool
}

// StatusError reports why a message was rejected, with the status code of the response that a server sends for it.
type StatusError struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *StatusError) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Reason) }

// BadMessage returns a StatusError with status 400.
func BadMessage(reason string) *StatusError { return &StatusError{http.StatusBadRequest, reason} }

// RawHeaderField is a header field whose name and value are slices of the parsed buffer.
type RawHeaderField struct{ Name, Value []byte }

// Head is the start line and the header of a message. Its slices refer to the parsed buffer.
type Head struct {
	Method, Target []byte // only in requests
	Status         int    // only in responses
	RawHeader      []RawHeaderField
	ContentLength  int  // length of the body in bytes, LengthChunked or LengthNone
	Close          bool // the sender closes the connection after this message
	HTTP10         bool // the message is HTTP/1.0
}

// MessageKind distinguishes requests from responses.
type MessageKind uint8

// Kinds of messages.
const (
	Request MessageKind = iota
	Response
)

// Get returns the value of the first header field with the given name, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.RawHeader {
		if EqualFold(h.RawHeader[i].Name, name) {
			return h.RawHeader[i].Value
		}
	}
	return nil
}

// ExpectsContinue reports whether the client waits for a 100 (Continue) response before it sends the body.
func (h *Head) ExpectsContinue() bool { return EqualFold(h.Get("Expect"), "100-continue") }

// Header returns a copy of the header fields that does not refer to the buffer.
func (h *Head) Header() Header {
	header := make(Header, len(h.RawHeader))
	for i, field := range h.RawHeader {
		header[i] = HeaderField{string(field.Name), string(field.Value)}
	}
	return header
}

// ParseHead parses the start line and the header at the beginning of in into head. used is the length of the head in bytes,
// including its blank line, or 0 if more bytes are needed.
func ParseHead(kind MessageKind, in []byte, rules *ParseRules, head *Head) (used int, statusErr *StatusError) {
	offset := 0
	for lines := 0; ; lines++ {
		line, length, statusErr := cutLine(in[offset:], rules)
		if statusErr != nil {
			return 0, statusErr
		}
		offset += length
		if offset > rules.MaxHeadBytes || length == 0 && len(in) > rules.MaxHeadBytes {
			return 0, &StatusError{http.StatusRequestHeaderFieldsTooLarge, errorHeaderTooLong}
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

// cutLine returns the first line of in without its line end. used is the length of the line with its line end, or 0 if more bytes
// are needed.
func cutLine(in []byte, rules *ParseRules) (line []byte, used int, statusErr *StatusError) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		return nil, 0, nil
	}
	line, hasCR := bytes.CutSuffix(in[:end], []byte{'\r'})
	if rules.Strict && !hasCR {
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

// IsToken reports whether b is a token, the syntax of methods and header field names (RFC 9110, section 5.6.2).
func IsToken[T ~string | ~[]byte](b T) bool {
	for i := range len(b) {
		c := b[i]
		if c <= ' ' || c >= 0x7f || isSeparator(c) {
			return false
		}
	}
	return len(b) > 0
}

// isSeparator reports whether c is a delimiter that a token must not contain.
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
	if err != nil || len(code) != statusDigits || status < http.StatusContinue {
		return BadMessage("the status line is malformed")
	}
	head.Status = status
	return head.parseVersion(version)
}

func (h *Head) parseVersion(version []byte) *StatusError {
	switch {
	case string(version) == "HTTP/1.1":
	case string(version) == "HTTP/1.0":
		h.HTTP10 = true
	case bytes.HasPrefix(version, []byte("HTTP/")):
		return &StatusError{http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is supported"}
	default:
		return BadMessage("the version is malformed")
	}
	return nil
}

// parseFraming determines how the body is delimited and whether the connection is closed after the message. It rejects a message
// with contradictory fields, since another parser could then read part of the body as the next message.
func (h *Head) parseFraming(kind MessageKind, rules *ParseRules) *StatusError {
	h.ContentLength, h.Close = LengthNone, h.HTTP10
	for i := range h.RawHeader {
		field := &h.RawHeader[i]
		var statusErr *StatusError
		switch {
		case EqualFold(field.Name, "Content-Length"):
			statusErr = h.parseContentLength(field.Value, rules)
		case EqualFold(field.Name, "Transfer-Encoding"):
			statusErr = h.parseTransferEncoding(field.Value, rules)
		case EqualFold(field.Name, "Connection"):
			h.parseConnection(field.Value)
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
	n, err := strconv.ParseUint(string(value), decimal, lengthBits)
	switch {
	case err == nil && h.ContentLength == LengthNone:
		h.ContentLength = int(n)
		return nil
	case err != nil && rules.Strict && isAllDigits(value) && len(value) <= maxLengthDigits:
		return &StatusError{http.StatusRequestEntityTooLarge, "the body is too long"}
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
		return &StatusError{http.StatusNotImplemented, "the transfer coding is unknown"}
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

// checkHost checks that there is exactly one Host field and that its value is well-formed.
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
