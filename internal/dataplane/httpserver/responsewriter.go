package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxCoalescedBodyBytes = 64 << 10 // a body up to this size is sent with the head in one write
	initialBufferBytes    = 1 << 10
	maxPooledBufferBytes  = 72 << 10 // a larger buffer is not returned to the pool

	minWriteTimeout = 250 * time.Millisecond // for a write that starts near or after the deadline of SetWriteTimeout
)

// responseState is how far a response has been written.
type responseState uint8

const (
	notStarted    responseState = iota // neither WriteHeader nor WriteResponse was called
	headerPending                      // WriteHeader was called; the head will be written with the first chunk
	streaming                          // the head was written; chunks may follow
	complete                           // the response is complete
	aborted                            // the connection was closed before the response was complete
)

// ResponseWriter writes the response to a request: at once with WriteResponse, or as a stream with WriteHeader, WriteChunk and
// Finish. Its methods may be called concurrently.
type ResponseWriter struct {
	conn               *conn
	method             string
	mu                 sync.Mutex
	state              responseState
	closeAfterResponse bool // the response is the last on its connection
	noBody             bool // the response has no body: to HEAD, or with status 204 or 304
	wroteBytes         bool // a write to the connection was started
	closeDelimited     bool // the body is delimited by the end of the connection: a stream to an HTTP/1.0 client
	http10             bool // the client speaks HTTP/1.0
	pendingHead        []byte
	writeDeadline      time.Time // current write deadline of the connection
	responseDeadline   time.Time // for the whole response, set by SetWriteTimeout; zero: none
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

// putBuffer returns a buffer to the pool. used is the slice that was appended to the buffer, possibly with a larger array.
func putBuffer(buffer *[]byte, used []byte) {
	if cap(used) > maxPooledBufferBytes {
		return
	}
	*buffer = used[:0]
	bufferPool.Put(buffer)
}

// WriteResponse sends a complete response in one write. It returns ErrResponseWritten if a response was already written, completely
// or in part; a response that was only started by WriteHeader is replaced. The server sets Content-Length, Connection, Keep-Alive
// and Transfer-Encoding itself and ignores them in header.
func (w *ResponseWriter) WriteResponse(status int, header http1.Header, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state, w.pendingHead = complete, nil
	buffer := bufferPool.Get().(*[]byte)
	out := w.appendHead((*buffer)[:0], status, header)
	if bodyAllowedForStatus(status) {
		out = http1.AppendIntField(out, "Content-Length", len(body))
	}
	out = append(out, "\r\n"...)
	var err error
	switch {
	case w.noBody:
		err = w.write(out)
	case len(body) <= maxCoalescedBodyBytes:
		out = append(out, body...)
		err = w.write(out)
	default:
		err = w.writeHeadAndBody(out, body)
	}
	putBuffer(buffer, out)
	return err
}

// checkState returns nil if the response is in one of the allowed states, and otherwise the error to return to the caller. A call
// that fails with ErrResponseWritten is counted in Counts.DuplicateResponses.
func (w *ResponseWriter) checkState(allowed ...responseState) error {
	for _, state := range allowed {
		if w.state == state {
			return nil
		}
	}
	switch w.state {
	case aborted:
		return ErrConnectionClosed
	case notStarted:
		return ErrNotStarted
	}
	w.conn.server.counts.duplicateResponses.Add(1)
	return ErrResponseWritten
}

// WriteHeader starts a streamed response. The head is written together with the first chunk, or by Flush.
func (w *ResponseWriter) WriteHeader(status int, header http1.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state = headerPending
	w.closeDelimited = w.http10
	w.closeAfterResponse = w.closeAfterResponse || w.closeDelimited
	head := w.appendHead(nil, status, header)
	if !w.closeDelimited && bodyAllowedForStatus(status) {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.pendingHead = append(head, "\r\n"...)
	return nil
}

// Flush writes the head of a started response if it has not been written yet.
func (w *ResponseWriter) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(nil, false)
}

// WriteChunk sends one chunk of a started response in one write.
func (w *ResponseWriter) WriteChunk(chunk []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(chunk, false)
}

// Finish sends the last chunk, which may be empty, and completes the response, in one write.
func (w *ResponseWriter) Finish(last []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(last, true)
}

// writeChunk writes the head if it is pending, a chunk, and the end of the body if the chunk is the last.
func (w *ResponseWriter) writeChunk(chunk []byte, last bool) error {
	buffer := bufferPool.Get().(*[]byte)
	out := append((*buffer)[:0], w.pendingHead...)
	w.pendingHead = nil
	w.state = streaming
	switch {
	case w.noBody:
	case w.closeDelimited:
		out = append(out, chunk...)
	default:
		out = http1.AppendChunk(out, chunk)
		if last {
			out = append(out, http1.LastChunk...)
		}
	}
	if last {
		w.state = complete
	}
	var err error
	if len(out) > 0 {
		err = w.write(out)
	}
	putBuffer(buffer, out)
	return err
}

// Abort closes the connection of an incomplete response in such a way that the client can detect that it is incomplete.
func (w *ResponseWriter) Abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete || w.state == aborted {
		return
	}
	w.conn.server.counts.abortedResponses.Add(1)
	w.closeConn()
}

// closeConn closes the connection. It resets it if the response is delimited by the end of the connection, as an orderly end would
// make it look complete.
func (w *ResponseWriter) closeConn() {
	w.state = aborted
	if tcp, ok := w.conn.netConn.(*net.TCPConn); ok && w.closeDelimited {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.netConn.Close()
}

// abortUnlessComplete marks the response as aborted after the client has disconnected. It returns false if the response is
// complete.
func (w *ResponseWriter) abortUnlessComplete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete {
		return false
	}
	w.state = aborted
	return true
}

// Written reports whether any byte of the response may have been written.
func (w *ResponseWriter) Written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wroteBytes
}

// finishHandler ensures after the handler has returned that the response is complete or aborted.
func (w *ResponseWriter) finishHandler() {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	switch state {
	case notStarted:
		w.conn.server.counts.missingResponses.Add(1)
		_ = w.WriteResponse(http.StatusInternalServerError, nil, nil)
	case headerPending, streaming:
		w.Abort()
	}
}

// outcome reports whether the response was aborted, and whether it is the last on the connection.
func (w *ResponseWriter) outcome() (wasAborted, closeAfterResponse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == aborted, w.closeAfterResponse
}

// bodyAllowedForStatus reports whether a final response with the status may have a body (RFC 9110, section 6.4.1).
func bodyAllowedForStatus(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// appendHead appends the status line and the header fields, without the blank line at the end. It omits fields that the server sets
// itself and those whose name or value is not valid.
func (w *ResponseWriter) appendHead(out []byte, status int, header http1.Header) []byte {
	server := w.conn.server
	w.closeAfterResponse = w.closeAfterResponse || server.draining.Load()
	w.noBody = w.method == http.MethodHead || !bodyAllowedForStatus(status)
	out = http1.AppendStatusLine(out, status)
	var hopByHop http1.HopByHop
	for i := range header {
		field := &header[i]
		if hopByHop.Contains(field.Name) || http1.EqualFold(field.Name, "Content-Length") {
			continue
		}
		if http1.IsToken(field.Name) && http1.IsFieldValue(field.Value) {
			out = http1.AppendField(out, field.Name, field.Value)
		}
	}
	if w.closeAfterResponse {
		return append(out, "Connection: close\r\n"...)
	}
	return w.appendKeepAlive(out)
}

// appendKeepAlive appends the Keep-Alive field with the idle timeout in whole seconds, and for HTTP/1.0 clients the Connection
// field.
func (w *ResponseWriter) appendKeepAlive(out []byte) []byte {
	if w.http10 {
		out = append(out, "Connection: keep-alive\r\n"...)
	}
	seconds := int(w.conn.server.limits().IdleTimeout / time.Second)
	if seconds < 1 {
		return out
	}
	out = append(out, "Keep-Alive: timeout="...)
	out = appendInt(out, seconds)
	return append(out, "\r\n"...)
}

// write sends out with a single Write call. It closes the connection on an error.
func (w *ResponseWriter) write(out []byte) error {
	w.wroteBytes = true
	w.extendWriteDeadline()
	_, err := w.conn.netConn.Write(out)
	if err != nil {
		w.closeConn()
	}
	return err
}

// writeHeadAndBody writes a head and a body without copying the body. It closes the connection on an error.
func (w *ResponseWriter) writeHeadAndBody(head, body []byte) error {
	w.wroteBytes = true
	w.extendWriteDeadline()
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(w.conn.netConn)
	if err != nil {
		w.closeConn()
	}
	return err
}

// SetWriteTimeout limits how long all writes together may take, from now on, if the client does not read. A write that starts near
// or after the end of that time still has minWriteTimeout, since a response may be due just then.
func (w *ResponseWriter) SetWriteTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responseDeadline = time.Now().Add(timeout)
	w.writeDeadline = time.Time{}
}

// extendWriteDeadline sets the write deadline of the connection. To save system calls, it does so only if less than half of the
// write timeout is left.
func (w *ResponseWriter) extendWriteDeadline() {
	limit := w.conn.server.writeTimeout
	now := time.Now()
	if w.writeDeadline.Sub(now) > limit/2 {
		return
	}
	w.writeDeadline = now.Add(limit)
	if !w.responseDeadline.IsZero() && w.writeDeadline.After(w.responseDeadline) {
		w.writeDeadline = w.responseDeadline
		if earliest := now.Add(min(minWriteTimeout, limit)); w.writeDeadline.Before(earliest) {
			w.writeDeadline = earliest
		}
	}
	_ = w.conn.netConn.SetWriteDeadline(w.writeDeadline)
}
