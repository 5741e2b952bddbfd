package upstream

import (
	"net"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxCoalescedBody = 64 << 10 // bytes of a body that are copied behind the head
	maxPooledBuffer  = 72 << 10 // bytes of a buffer that is kept for the next request
	// maxSynchronousWrite is how long a request may be to be written before its answer is looked for: no system holds a write up that is
	// so short, whether the worker reads or not.
	maxSynchronousWrite = 8 << 10
	// writeCompletionWait is for how long a whole answer waits to learn that the request was written: a worker that has read it to its end
	// has also made its write return.
	writeCompletionWait = 20 * time.Millisecond
)

// requestWrite is how far a request has been written. The other fields may be read once over is closed.
type requestWrite struct {
	finished     chan struct{} // closed once nothing more is written; nil: the request was written at once
	headBytes    int           // bytes of the request's head
	totalBytes   int           // bytes of the request
	writtenBytes int
	err          error
}

// await waits until nothing more is written. The connection must have been closed, or the writing ends only as the worker reads on.
func (s *requestWrite) await() {
	if s.finished != nil {
		<-s.finished
	}
}

// waitComplete tells whether the whole request has been written, and waits a little to learn it.
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

// isFinished tells whether nothing more is written. After a pause of the whole process both the slack and the writing may be over.
func (s *requestWrite) isFinished() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// startWrite writes the request, a long one while its answer is awaited: a worker may answer before it has read the body, and read on
// late or never.
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

// writeRequest writes the head and the body, in one write where they are short, and gives the head's buffer back.
func (rt *roundTrip) writeRequest(buffer *[]byte, out []byte) {
	s, body := &rt.write, rt.request.Body
	if len(body) <= maxCoalescedBody {
		out = append(out, body...)
		s.writtenBytes, s.err = rt.conn.socket.Write(out)
	} else {
		var n int64
		parts := net.Buffers{out, body}
		n, s.err = parts.WriteTo(rt.conn.socket)
		s.writtenBytes = int(n)
	}
	if cap(out) <= maxPooledBuffer {
		*buffer = out[:0]
		bufferPool.Put(buffer)
	}
	if s.writtenBytes < s.headBytes { // no answer is to come
		rt.conn.close()
	}
}

// managedFields are fields that the exchange sets itself or never asks for.
var managedFields = [...]string{"Content-Length", "Accept-Encoding", "Expect"}

func (rt *roundTrip) appendHead(out []byte) []byte {
	request := rt.request
	out = append(out, request.Method...)
	out = append(out, ' ')
	out = append(out, request.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	hopByHop := http1.HopByHopOf(request.Header)
	for i := range request.Header {
		f := &request.Header[i]
		if hopByHop.Contains(f.Name) || isManagedField(f.Name) || !http1.IsToken(f.Name) || !http1.IsFieldValue(f.Value) {
			continue
		}
		out = http1.AppendField(out, f.Name, f.Value)
	}
	if len(request.Body) > 0 || request.Method == "POST" || request.Method == "PUT" || request.Method == "PATCH" {
		out = http1.AppendIntField(out, "Content-Length", len(request.Body))
	}
	return append(out, "\r\n"...)
}

func isManagedField(name string) bool {
	for _, managed := range managedFields {
		if http1.EqualFold(name, managed) {
			return true
		}
	}
	return false
}
