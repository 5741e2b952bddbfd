package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"ospreybend/internal/util/http1"
)

const (
	statusCodeDigits = 3 // digits of a status code
	loadValueCount   = 3 // values of an X-Server-Load field
)

// readResponse reads the response to the request. It skips a limited number of responses that belong to other requests.
func (rt *roundTrip) readResponse() (*Response, *Failure) {
	for mismatched := 0; ; mismatched++ {
		if err := rt.readHead(); err != nil {
			return nil, rt.fail(err)
		}
		if rt.matchesRequest() {
			return rt.finishResponse()
		}
		rt.conn.pool.increment(&rt.conn.pool.counts.MismatchedResponses)
		rt.notReusable = true
		if mismatched == maxMismatchedResponses || rt.head.Close || rt.header.Get(headerRequestID) == "" {
			return nil, rt.fail(errMismatchedResponse)
		}
		body := rt.bodyReader()
		if body.UntilClose {
			return nil, rt.fail(errMismatchedResponse)
		}
		if err := rt.discardBody(&body); err != nil {
			return nil, rt.fail(err)
		}
	}
}

// readHead reads the head of the next final response and skips interim responses (1xx).
func (rt *roundTrip) readHead() error {
	c := rt.conn
	for {
		used, err := rt.readNextHead()
		if err != nil {
			return err
		}
		switch {
		case rt.head.Status >= http.StatusOK:
			rt.headReceivedAt = c.pool.now()
			rt.header = rt.head.Header() // a copy, because the head refers to the input buffer
			c.input.Discard(used)
			return nil
		case rt.head.Status == http.StatusSwitchingProtocols:
			return errProtocolSwitch
		}
		c.input.Discard(used)
	}
}

// readNextHead reads the head of the next response, interim or final, and returns its length in the input buffer.
func (rt *roundTrip) readNextHead() (used int, err error) {
	c := rt.conn
	reader := http1.HeadReader{Kind: http1.Response, Rules: rt.rules}
	rt.head = http1.Head{RawHeader: rt.head.RawHeader[:0]}
	for {
		used, statusErr := reader.Read(c.input.Bytes(), &rt.head)
		switch {
		case statusErr != nil:
			return 0, statusErr
		case used > 0 && containsStatusLine(c.input.Bytes()[reader.Start():used]):
			return 0, errNestedStatusLine
		case used > 0:
			return used, nil
		}
		if err := c.readMore(); err != nil {
			return 0, err
		}
	}
}

// containsStatusLine reports whether another response begins within a head. This happens if a late response to an earlier request
// was truncated within its head: the bytes that follow may be the response to the current request, which would be read with the
// status of the earlier one.
func containsStatusLine(head []byte) bool {
	const version = "HTTP/1."
	for offset := 1; offset < len(head); {
		index := bytes.Index(head[offset:], []byte(version))
		if index < 0 {
			return false
		}
		offset += index + len(version)
		if isStatusLineTail(head[offset:]) {
			return true
		}
	}
	return false
}

// isStatusLineTail reports whether text begins like the part of a status line that follows "HTTP/1.": with a digit and a status
// code.
func isStatusLineTail(text []byte) bool {
	const statusStart = len("1 ")
	const end = statusStart + statusCodeDigits
	if len(text) <= end || text[1] != ' ' || text[end] != ' ' && text[end] != '\r' {
		return false
	}
	return isDigits(text[:1]) && isDigits(text[statusStart:end])
}

func isDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// matchesRequest reports whether the response carries the ID of the request, or no ID if the request has none. A response with two
// ID fields matches no request.
func (rt *roundTrip) matchesRequest() bool {
	return rt.header.Count(headerRequestID) <= 1 && rt.header.Get(headerRequestID) == rt.request.Header.Get(headerRequestID)
}

// bodyReader returns a reader for the body that follows the head. A response to a HEAD request has no body.
func (rt *roundTrip) bodyReader() http1.BodyReader {
	if rt.request.Method == "HEAD" {
		return http1.BodyReader{BodyState: http1.BodyState{Done: true}}
	}
	return http1.NewResponseBodyReader(&rt.head, &rt.rules)
}

// discardBody reads a body to its end and discards it.
func (rt *roundTrip) discardBody(body *http1.BodyReader) error {
	_, err := rt.readBody(body)
	return err
}

// readBody reads a body to its end. It fails if the body exceeds Request.MaxBodyBytes.
func (rt *roundTrip) readBody(body *http1.BodyReader) ([]byte, error) {
	var received []byte
	c := rt.conn
	limit := rt.request.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	for !body.Done {
		data, used, statusErr := body.Next(c.input.Bytes())
		switch {
		case statusErr != nil:
			return nil, statusErr
		case len(received)+len(data) > limit:
			return nil, errTooLarge
		}
		received = append(received, data...)
		c.input.Discard(used)
		if used > 0 {
			continue
		}
		err := c.readMore()
		if errors.Is(err, io.EOF) && body.UntilClose && rt.closedCleanly() {
			body.Done = true
			return received, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return received, nil
}

// closedCleanly reports whether an end of file that was read means that the worker closed the connection normally. If the operating
// system has reported a reset to the write, the read returns an end of file as well; the two cases can be distinguished only if the
// request was written completely.
func (rt *roundTrip) closedCleanly() bool { return rt.write.waitComplete() }

// finishResponse reads the body of the response, or returns it as a Stream.
func (rt *roundTrip) finishResponse() (*Response, *Failure) {
	response := rt.newResponse()
	body := rt.bodyReader()
	response.UntilClose = body.UntilClose
	if rt.request.StreamEvents && response.Status < http.StatusMultipleChoices && isEventStream(response.Header.Get("Content-Type")) {
		response.Stream = &Stream{roundTrip: rt, body: body}
		return response, nil
	}
	content, err := rt.readBody(&body)
	switch {
	case err == nil:
		rt.releaseConn(body.UntilClose)
	case response.Result != Answered: // the head proves that the request was not executed; its body is not forwarded
		rt.abort()
		content = nil
	default:
		return nil, rt.fail(err)
	}
	response.Body = content
	return response, nil
}

// newResponse returns the response that the head describes, without its body.
func (rt *roundTrip) newResponse() *Response {
	response := &Response{Result: Answered, Status: rt.head.Status, Close: rt.head.Close && !rt.head.HTTP10, Reused: rt.conn.reused,
		HeadReceivedAt: rt.headReceivedAt}
	response.Header = http1.HopByHopOf(rt.header).Strip(rt.header).Without("Content-Length")
	response.Load = parseLoad(response.Header.Get(headerServerLoad))
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		response.Result = Misdirected
	case response.Header.Has(headerNotExecuted):
		response.Result = NotExecuted
	}
	return response
}

func isEventStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return http1.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// parseLoad parses "running,waiting,slots". It returns nil if the value is malformed.
func parseLoad(value string) *Load {
	var values [loadValueCount]int
	parts := strings.Split(value, ",")
	if len(parts) != loadValueCount {
		return nil
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		values[i] = n
	}
	return &Load{Running: values[0], Waiting: values[1], Slots: values[2]}
}
