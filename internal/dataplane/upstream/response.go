package upstream

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"ospreybend/internal/util/http1"
)

// readResponse reads the answer, and passes over those that belong to other requests.
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
		if mismatched == maxMismatchedResponses || rt.head.Close || rt.header.Get(requestID) == "" {
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

// readHead reads the next head that is not of an interim answer.
func (rt *roundTrip) readHead() error {
	c := rt.conn
	for {
		reader := http1.HeadReader{Kind: http1.Response, Rules: rt.rules}
		rt.head = http1.Head{RawHeader: rt.head.RawHeader[:0]}
		used := 0
		for used == 0 {
			var statusErr *http1.StatusError
			if used, statusErr = reader.Read(c.input.Bytes(), &rt.head); statusErr != nil {
				return statusErr
			}
			if used > 0 && containsStatusLine(c.input.Bytes()[reader.Start():used]) {
				return errNestedStatusLine
			}
			if used > 0 {
				break
			}
			if err := c.readMore(); err != nil {
				return err
			}
		}
		switch {
		case rt.head.Status >= 200:
			rt.headReceivedAt = c.pool.now()
			rt.header = rt.head.Header() // the input goes on to be used
			c.input.Discard(used)
			return nil
		case rt.head.Status == 101:
			return errProtocolSwitch
		}
		c.input.Discard(used)
	}
}

// containsStatusLine tells whether another answer begins within a head: a late one was cut there, and what follows may be the
// answer to this request, under the other one's status.
func containsStatusLine(head []byte) bool {
	const version = "HTTP/1."
	for at := 1; at < len(head); {
		found := bytes.Index(head[at:], []byte(version))
		if found < 0 {
			return false
		}
		at += found + len(version)
		if isStatusLineTail(head[at:]) {
			return true
		}
	}
	return false
}

// isStatusLineTail tells whether a text begins as a status line does behind "HTTP/1.": with a digit and a status.
func isStatusLineTail(text []byte) bool {
	const end = len("1 200")
	if len(text) <= end || text[1] != ' ' || text[end] != ' ' && text[end] != '\r' {
		return false
	}
	return isNumber(text[:1]) && isNumber(text[2:end])
}

func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// isMatching tells whether the answer carries the id of the request, or as the request none. One with two ids is nobody's.
func (rt *roundTrip) isMatching() bool {
	return rt.header.Count(requestID) <= 1 && rt.header.Get(requestID) == rt.request.Header.Get(requestID)
}

func (rt *roundTrip) bodyReader() http1.BodyReader {
	if rt.request.Method == "HEAD" {
		return http1.BodyReader{BodyState: http1.BodyState{Done: true}}
	}
	return http1.NewResponseBodyReader(&rt.head, &rt.rules)
}

// discardBody reads a body that nobody is to have.
func (rt *roundTrip) discardBody(body *http1.BodyReader) error {
	_, err := rt.readBody(body, nil)
	return err
}

// readBody appends a body to what is given.
func (rt *roundTrip) readBody(body *http1.BodyReader, received []byte) ([]byte, error) {
	c := rt.conn
	limit := rt.request.MaxBodyBytes
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
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
		if err == io.EOF && body.UntilClose && rt.endedCleanly() {
			body.Done = true
			return received, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return received, nil
}

// endedCleanly tells whether an end that was read is the worker's own. A write takes the error of a reset from the read, which then
// finds an end: only behind a request that was written whole can the two be told apart.
func (rt *roundTrip) endedCleanly() bool { return rt.write.waitComplete() }

// finishResponse reads the answer's body, or hands it on to be read event by event.
func (rt *roundTrip) finishResponse() (*Response, *Failure) {
	response := rt.newResponse()
	body := rt.bodyReader()
	response.UntilClose = body.UntilClose
	if rt.request.StreamEvents && response.Status < 300 && isEventStream(response.Header.Get("Content-Type")) {
		response.Stream = &Stream{roundTrip: rt, body: body}
		return response, nil
	}
	received, err := rt.readBody(&body, nil)
	switch {
	case err == nil:
		rt.releaseConn(body.UntilClose)
	case response.Result != Answered: // the head alone says that the request has not run; nobody is to have the body
		rt.abort()
		received = nil
	default:
		return nil, rt.fail(err)
	}
	response.Body = received
	return response, nil
}

func (rt *roundTrip) newResponse() *Response {
	response := &Response{Result: Answered, Status: rt.head.Status, Close: rt.head.Close && !rt.head.HTTP10, Reused: rt.conn.reused,
		HeadReceivedAt: rt.headReceivedAt}
	response.Header = http1.HopByHopOf(rt.header).Strip(rt.header).Without("Content-Length")
	response.Load = parseLoad(response.Header.Get(headerServerLoad))
	switch {
	case response.Status == statusMisdirected:
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

func parseLoad(value string) *Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &Load{numbers[0], numbers[1], numbers[2]}
}
