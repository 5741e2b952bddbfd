package upstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	initialBufferBytes = 2 << 10
	maxCoalescedBody   = 64 << 10 // a body up to this size is appended to the head and sent in one write
	maxPooledBuffer    = 72 << 10 // larger buffers are not returned to bufferPool
	// maxSynchronousWrite is the size up to which a request is written before its response is read. A request of this size fits into
	// the socket's send buffer, so that the write does not block even if the worker does not read.
	maxSynchronousWrite = 8 << 10
	// writeCompletionTimeout is how long the end of a response waits for the write of the request to return. If the worker has read
	// the complete request, the write returns immediately.
	writeCompletionTimeout = 20 * time.Millisecond
)

// requestWrite is the progress of writing a request. The writing goroutine owns writtenBytes and err until finished is closed.
type requestWrite struct {
	finished     chan struct{} // closed at the end of the write; nil if the request is written synchronously
	headBytes    int           // size of the request's head
	totalBytes   int           // size of the request
	writtenBytes int
	err          error // of the write
}

// wait waits until the write has ended. The connection must be closed before, because the write may otherwise block on the worker.
func (w *requestWrite) wait() {
	if w.finished != nil {
		<-w.finished
	}
}

// waitComplete waits up to writeCompletionTimeout for the end of the write and reports whether the complete request was written.
func (w *requestWrite) waitComplete() bool {
	if w.finished != nil {
		timer := time.NewTimer(writeCompletionTimeout)
		defer timer.Stop()
		select {
		case <-w.finished:
		case <-timer.C:
			if !w.isFinished() {
				return false
			}
		}
	}
	return w.writtenBytes == w.totalBytes
}

// isFinished reports whether the write has ended. If the process was suspended, the write may have ended although the timer has
// fired.
func (w *requestWrite) isFinished() bool {
	select {
	case <-w.finished:
		return true
	default:
		return false
	}
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

// startWrite writes the request. A request larger than maxSynchronousWrite is written in a goroutine while the response is read,
// because a worker may respond before it has read the body, and may read the rest late or never.
func (rt *roundTrip) startWrite() {
	buffer := bufferPool.Get().(*[]byte)
	head := rt.appendHead((*buffer)[:0])
	write := &rt.write
	write.headBytes, write.totalBytes = len(head), len(head)+len(rt.request.Body)
	if write.totalBytes <= maxSynchronousWrite {
		rt.writeRequest(buffer, head)
		return
	}
	write.finished = make(chan struct{})
	go func() {
		defer close(write.finished)
		rt.writeRequest(buffer, head)
	}()
}

// writeRequest writes the head, which data contains, and the body, in a single write if the body is short. It returns the head's
// buffer to bufferPool.
func (rt *roundTrip) writeRequest(buffer *[]byte, data []byte) {
	write, body := &rt.write, rt.request.Body
	if len(body) <= maxCoalescedBody {
		data = append(data, body...)
		write.writtenBytes, write.err = rt.conn.socket.Write(data)
	} else {
		var n int64
		buffers := net.Buffers{data, body}
		n, write.err = buffers.WriteTo(rt.conn.socket)
		write.writtenBytes = int(n)
	}
	if cap(data) <= maxPooledBuffer {
		*buffer = data[:0]
		bufferPool.Put(buffer)
	}
	if write.writtenBytes < write.headBytes { // the worker cannot respond: unblock the pending read
		rt.conn.close()
	}
}

// managedFields contains the header fields that the client sets itself or never sends.
var managedFields = [...]string{"Content-Length", "Accept-Encoding", "Expect"}

// appendHead appends the request line and the header. It omits invalid fields, which could split the message.
func (rt *roundTrip) appendHead(out []byte) []byte {
	request := rt.request
	out = append(out, request.Method...)
	out = append(out, ' ')
	out = append(out, request.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	hopByHop := http1.HopByHopOf(request.Header)
	for i := range request.Header {
		field := &request.Header[i]
		if hopByHop.Contains(field.Name) || isManagedField(field.Name) || !http1.IsToken(field.Name) || !http1.IsFieldValue(field.Value) {
			continue
		}
		out = http1.AppendField(out, field.Name, field.Value)
	}
	if len(request.Body) > 0 || hasBodySemantics(request.Method) {
		out = http1.AppendIntField(out, "Content-Length", len(request.Body))
	}
	return append(out, "\r\n"...)
}

// hasBodySemantics reports whether a request with this method has a Content-Length field even if its body is empty (RFC 9110,
// section 8.6).
func hasBodySemantics(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func isManagedField(name string) bool {
	for _, managed := range managedFields {
		if http1.EqualFold(name, managed) {
			return true
		}
	}
	return false
}
