package httpserver

import (
	"bytes"
	"net/http"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/util/http1"
)

const (
	initialBodyBytes = 64 << 10 // initial allocation for a body; it grows as bytes are received
	// maxChunkFramingBytes is by how many bytes the framing of a chunked body may exceed the length of its data. Without this limit, a
	// client could cost unlimited time by sending tiny chunks with long extensions.
	maxChunkFramingBytes = 64 << 10
)

var (
	errOverloaded     = &http1.StatusError{Status: http.StatusServiceUnavailable, Reason: "the server is overloaded: too many connections or buffered bodies"}
	errRequestTimeout = &http1.StatusError{Status: http.StatusRequestTimeout, Reason: "the request was not received in time"}
	// errLimitsUnconfirmed replaces an error about a limit that may be out of date.
	errLimitsUnconfirmed = &http1.StatusError{Status: http.StatusServiceUnavailable, Reason: "the request exceeds a limit that is not confirmed"}
	errBodyTooLarge      = &http1.StatusError{Status: http.StatusRequestEntityTooLarge, Reason: "the body or its chunk framing is too long"}
)

// requestReader reads one request from a connection.
type requestReader struct {
	conn        *conn
	limits      configuration.Limits
	rules       http1.ParseRules
	startedAt   time.Time // when the first byte was read, by time.Now, as deadlines are (not by Options.Now)
	deadlineSet bool
	headRead    bool
	request     *Request
	head        http1.Head

	expectsContinue bool // the client waits for a 100 response before it sends the body
}

// readRequest reads the next request. Its error is either a *http1.StatusError, to be sent to the client as a response, or an I/O
// error of the connection.
func (c *conn) readRequest() (*requestReader, error) {
	for c.input.Len() == 0 {
		if err := c.readMore(); err != nil {
			return nil, err
		}
	}
	c.setState(reading)
	reader := &requestReader{conn: c, limits: c.server.limits(), startedAt: time.Now(), request: &Request{FirstByteAt: c.server.now()}}
	reader.rules = http1.ParseRules{MaxHeadBytes: reader.limits.MaxHeaderBytes, MaxBodyBytes: reader.limits.MaxBodyBytes, Strict: true}
	err := reader.readHead()
	if err == nil {
		err = reader.readBody()
	}
	if err != nil {
		c.server.bodyBytes.Add(-int64(cap(reader.request.Body)))
		return nil, err
	}
	reader.request.ReadAt = c.server.now()
	return reader, nil
}

// readMore reads further bytes of the request into the input buffer, subject to the deadline of the request.
func (r *requestReader) readMore() error {
	r.setDeadline()
	return r.mapTimeout(r.conn.readMore())
}

// setDeadline sets the read deadline when more of the head must be read, and again when more of the body must be, since the head
// determines how long the request may take. A request that is already in the input buffer needs none.
func (r *requestReader) setDeadline() {
	if r.deadlineSet {
		return
	}
	r.deadlineSet = true
	c := r.conn
	timeout := r.limits.HeaderTimeout
	if requestTimeout := c.server.options.RequestTimeout; requestTimeout != nil && r.headRead {
		timeout = min(timeout, positiveOr(requestTimeout(r.request), timeout))
	}
	c.server.mu.Lock()
	c.setReadDeadlineLocked(timeout - time.Since(r.startedAt))
	c.server.mu.Unlock()
}

// mapTimeout replaces a read timeout by errRequestTimeout, which is sent to the client.
func (r *requestReader) mapTimeout(err error) error {
	if err != nil && isTimeout(err) {
		return errRequestTimeout
	}
	return err
}

// readHead reads the request line and the header and copies them into the request.
func (r *requestReader) readHead() error {
	c := r.conn
	reader := http1.HeadReader{Kind: http1.Request, Rules: r.rules}
	for {
		used, statusErr := reader.Read(c.input.Bytes(), &r.head)
		switch {
		case statusErr != nil:
			return statusErr
		case used > 0:
			r.copyHead()
			c.input.Discard(used)
			return nil
		}
		if err := r.readMore(); err != nil {
			return err
		}
	}
}

// copyHead copies the head into the request, since its slices refer to the input buffer, which is reused.
func (r *requestReader) copyHead() {
	request := r.request
	request.Method = string(r.head.Method)
	request.Target = string(r.head.Target)
	path, _, _ := bytes.Cut(r.head.Target, []byte{'?'})
	request.Path = request.Target[:len(path)]
	header := r.head.Header()
	request.Host = header.Get("Host")
	request.Header = http1.HopByHopOf(header).Strip(header)
	r.expectsContinue = r.head.ExpectsContinue()
	r.headRead, r.deadlineSet = true, false
	r.head.Method, r.head.Target, r.head.RawHeader = nil, nil, nil
}

// readBody reads the body if the request has one.
func (r *requestReader) readBody() error {
	if r.head.ContentLength > r.limits.MaxBodyBytes {
		return errBodyTooLarge
	}
	body := http1.NewRequestBodyReader(&r.head, &r.rules)
	if body.Done {
		return nil
	}
	if err := r.sendContinue(); err != nil {
		return err
	}
	if body.Chunked {
		return r.readChunkedBody(&body)
	}
	return r.readFixedBody(r.head.ContentLength)
}

// sendContinue sends the interim response 100 to a client that waits for it before it sends the body.
func (r *requestReader) sendContinue() error {
	if !r.expectsContinue || r.head.HTTP10 || r.conn.input.Len() > 0 {
		return nil
	}
	_ = r.conn.netConn.SetWriteDeadline(time.Now().Add(r.conn.server.writeTimeout))
	_, err := r.conn.netConn.Write([]byte(http1.ContinueLine))
	return err
}

// readFixedBody reads a body of known length. Memory is allocated as bytes are received, not by Content-Length alone: announcing a
// long body costs a client nothing.
func (r *requestReader) readFixedBody(length int) error {
	c, request := r.conn, r.request
	for len(request.Body) < length {
		if !r.growBody(length) {
			return errOverloaded
		}
		space := request.Body[len(request.Body):min(length, cap(request.Body))]
		if c.input.Len() > 0 {
			n := copy(space, c.input.Bytes())
			c.input.Discard(n)
			request.Body = request.Body[:len(request.Body)+n]
			continue
		}
		r.setDeadline()
		n, err := c.read(space)
		request.Body = request.Body[:len(request.Body)+n]
		if err != nil {
			return r.mapTimeout(err)
		}
	}
	return nil
}

// growBody ensures that the body has free capacity, up to the given length. It returns false if Options.MaxBufferedBodyBytes
// would be exceeded.
func (r *requestReader) growBody(length int) bool {
	request := r.request
	if len(request.Body) < cap(request.Body) {
		return true
	}
	size := min(length, max(2*cap(request.Body), initialBodyBytes))
	server := r.conn.server
	buffered := server.bodyBytes.Add(int64(size - cap(request.Body)))
	if maxBuffered := server.maxBodyBytes.Load(); maxBuffered > 0 && buffered > maxBuffered {
		server.bodyBytes.Add(-int64(size - cap(request.Body)))
		return false
	}
	grown := make([]byte, len(request.Body), size)
	copy(grown, request.Body)
	request.Body = grown
	return true
}

// readChunkedBody reads a body with the chunked transfer coding.
func (r *requestReader) readChunkedBody(body *http1.BodyReader) error {
	c, request := r.conn, r.request
	framingBytes := 0
	for !body.Done {
		data, used, statusErr := body.Next(c.input.Bytes())
		switch {
		case statusErr != nil:
			return statusErr
		case len(request.Body)+len(data) > r.limits.MaxBodyBytes:
			return errBodyTooLarge
		}
		if err := r.appendBody(data); err != nil {
			return err
		}
		c.input.Discard(used)
		if framingBytes += used - len(data); framingBytes > maxChunkFramingBytes+len(request.Body) {
			return errBodyTooLarge
		}
		if used > 0 {
			continue
		}
		if err := r.readMore(); err != nil {
			return err
		}
	}
	return nil
}

// appendBody appends the data of a chunk to the body.
func (r *requestReader) appendBody(data []byte) error {
	request := r.request
	for len(data) > 0 {
		if !r.growBody(r.limits.MaxBodyBytes) {
			return errOverloaded
		}
		n := min(len(data), cap(request.Body)-len(request.Body))
		request.Body = append(request.Body, data[:n]...)
		data = data[n:]
	}
	return nil
}
