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
	maxCoalescedBody   = 64 << 10 // a body up to this size is copied behind the head, for one write
	maxPooledBuffer    = 72 << 10 // a larger buffer is not reused
	// maxSynchronousWrite is the size up to which a request is written before its response is read. So little fits into the socket's
	// buffer, whether the worker reads or not.
	maxSynchronousWrite = 8 << 10
	// writeCompletionWait is how long a complete response waits for the request's write to return. If the worker has read the
	// request to its end, the write returns at once.
	writeCompletionWait = 20 * time.Millisecond
)

// requestWrite is the progress of writing a request. The goroutine that writes owns writtenBytes and err until finished is closed.
type requestWrite struct {
	finished     chan struct{} // closed when the write has ended; nil if the request was written synchronously
	headBytes    int           // bytes of the request's head
	totalBytes   int           // bytes of the request
	writtenBytes int
	err          error
}

// await waits until the write has ended. The connection must have been closed: otherwise the write may wait for the worker.
func (s *requestWrite) await() {
	if s.finished != nil {
		<-s.finished
	}
}

// waitComplete reports whether the request was written completely. It waits for the write for up to writeCompletionWait.
func (s *requestWrite) waitComplete() bool {
	if s.finished != nil {
		timer := time.NewTimer(writeCompletionWait)
		defer timer.Stop()
		select {
		case <-s.finished:
		case <-timer.C:
			if !s.isFinished() {
				return false
			}
		}
	}
	return s.writtenBytes == s.totalBytes
}

// isFinished reports whether the write has ended. After the process was suspended, the timer and the write may both have ended.
func (s *requestWrite) isFinished() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

// startWrite writes the request; a long one in a goroutine, while the response is read: a worker may respond before it has read the
// body, and read the rest late or never.
func (rt *roundTrip) startWrite() {
	buffer := bufferPool.Get().(*[]byte)
	out := rt.appendHead((*buffer)[:0])
	write := &rt.write
	write.headBytes, write.totalBytes = len(out), len(out)+len(rt.request.Body)
	if write.totalBytes <= maxSynchronousWrite {
		rt.writeRequest(buffer, out)
		return
	}
	write.finished = make(chan struct{})
	go func() {
		defer close(write.finished)
		rt.writeRequest(buffer, out)
	}()
}

// writeRequest writes the head and the body, in one write if the body is short, and returns the head's buffer to the pool.
func (rt *roundTrip) writeRequest(buffer *[]byte, out []byte) {
	write, body := &rt.write, rt.request.Body
	if len(body) <= maxCoalescedBody {
		out = append(out, body...)
		write.writtenBytes, write.err = rt.conn.socket.Write(out)
	} else {
		var n int64
		parts := net.Buffers{out, body}
		n, write.err = parts.WriteTo(rt.conn.socket)
		write.writtenBytes = int(n)
	}
	if cap(out) <= maxPooledBuffer {
		*buffer = out[:0]
		bufferPool.Put(buffer)
	}
	if write.writtenBytes < write.headBytes { // there will be no response: end the read
		rt.conn.close()
	}
}

// managedFields are header fields that the client sets itself, or never sends.
var managedFields = [...]string{"Content-Length", "Accept-Encoding", "Expect"}

// appendHead appends the request line and the header, without fields that could split the message.
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

// hasBodySemantics reports whether a request of the method has a Content-Length even if its body is empty (RFC 9110, section 8.6).
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
