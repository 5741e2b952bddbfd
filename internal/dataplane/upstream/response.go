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
	statusDigits = 3 // of a status code
	loadNumbers  = 3 // of an X-Server-Load field
)

// readResponse reads the response, and skips those that belong to other requests.
func (rt *roundTrip) readResponse() (*Response, *Failure) {
	for mismatched := 0; ; mismatched++ {
		if err := rt.readHead(); err != nil {
			return nil, rt.fail(err)
		}
		if rt.isMatching() {
			return rt.finishResponse()
		}
		rt.conn.pool.increment(&rt.conn.pool.counts.MismatchedResponses)
		rt.poisoned = true
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

// readHead reads the head of the final response; it skips interim responses (1xx).
func (rt *roundTrip) readHead() error {
	c := rt.conn
	for {
		used, err := rt.readAnyHead()
		if err != nil {
			return err
		}
		switch {
		case rt.head.Status >= http.StatusOK:
			rt.headReceivedAt = c.pool.now()
			rt.header = rt.head.Header() // a copy: the head refers to the input buffer
			c.input.Discard(used)
			return nil
		case rt.head.Status == http.StatusSwitchingProtocols:
			return errProtocolSwitch
		}
		c.input.Discard(used)
	}
}

// readAnyHead reads the next head, interim or final, and returns its length in the input buffer.
func (rt *roundTrip) readAnyHead() (used int, err error) {
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

// containsStatusLine reports whether another response begins within a head. That happens if a late response to an earlier request
// was truncated in its head: the bytes behind it may be the response to this request, under the other one's status.
func containsStatusLine(head []byte) bool {
	const version = "HTTP/1."
	for offset := 1; offset < len(head); {
		found := bytes.Index(head[offset:], []byte(version))
		if found < 0 {
			return false
		}
		offset += found + len(version)
		if isStatusLineTail(head[offset:]) {
			return true
		}
	}
	return false
}

// isStatusLineTail reports whether text begins like a status line does behind "HTTP/1.": with a digit and a status code.
func isStatusLineTail(text []byte) bool {
	const statusStart = len("1 ")
	const end = statusStart + statusDigits
	if len(text) <= end || text[1] != ' ' || text[end] != ' ' && text[end] != '\r' {
		return false
	}
	return isNumber(text[:1]) && isNumber(text[statusStart:end])
}

func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// isMatching reports whether the response carries the ID of the request, or none if the request has none. A response with two IDs
// matches no request.
func (rt *roundTrip) isMatching() bool {
	return rt.header.Count(headerRequestID) <= 1 && rt.header.Get(headerRequestID) == rt.request.Header.Get(headerRequestID)
}

// bodyReader returns a reader for the body that follows the head; a response to HEAD has none.
func (rt *roundTrip) bodyReader() http1.BodyReader {
	if rt.request.Method == "HEAD" {
		return http1.BodyReader{BodyState: http1.BodyState{Done: true}}
	}
	return http1.NewResponseBodyReader(&rt.head, &rt.rules)
}

// discardBody reads a body to its end and drops it.
func (rt *roundTrip) discardBody(body *http1.BodyReader) error {
	_, err := rt.readBody(body)
	return err
}

// readBody reads a body to its end. It fails beyond the request's limit.
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
			return nil, errTooLong
		}
		received = append(received, data...)
		c.input.Discard(used)
		if used > 0 {
			continue
		}
		err := c.readMore()
		if errors.Is(err, io.EOF) && body.UntilClose && rt.endedCleanly() {
			body.Done = true
			return received, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return received, nil
}

// endedCleanly reports whether an end of the connection that was read is the worker's own. If a reset is reported to the write, the
// read finds an orderly end: the two can be told apart only if the request was written completely.
func (rt *roundTrip) endedCleanly() bool { return rt.write.waitComplete() }

// finishResponse reads the response's body, or returns it as a Stream.
func (rt *roundTrip) finishResponse() (*Response, *Failure) {
	response := rt.newResponse()
	body := rt.bodyReader()
	response.UntilClose = body.UntilClose
	if rt.request.StreamEvents && response.Status < http.StatusMultipleChoices && isEventStream(response.Header.Get("Content-Type")) {
		response.Stream = &Stream{roundTrip: rt, body: body}
		return response, nil
	}
	received, err := rt.readBody(&body)
	switch {
	case err == nil:
		rt.releaseConn(body.UntilClose)
	case response.Result != Answered: // the head suffices: the request was not executed, and its body is not forwarded
		rt.abort()
		received = nil
	default:
		return nil, rt.fail(err)
	}
	response.Body = received
	return response, nil
}

// newResponse returns the response without its body, by the head.
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
	kind, _, _ := strings.Cut(contentType, ";")
	return http1.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// parseLoad parses "running,waiting,slots", or returns nil if the value is malformed.
func parseLoad(value string) *Load {
	var numbers [loadNumbers]int
	parts := strings.Split(value, ",")
	if len(parts) != loadNumbers {
		return nil
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}
