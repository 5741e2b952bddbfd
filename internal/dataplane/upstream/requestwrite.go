package upstream

import (
	"net"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	wholeWrite = 64 << 10 // bytes of a body that are copied behind the head
	keepPooled = 72 << 10 // bytes of a buffer that is kept for the next request
	// quietWrite is how long a request may be to be written before its answer is looked for: no system holds a write up that is
	// so short, whether the worker reads or not.
	quietWrite = 8 << 10
	// writerSlack is for how long a whole answer waits to learn that the request was written: a worker that has read it to its end
	// has also made its write return.
	writerSlack = 20 * time.Millisecond
)

// sending is how far a request has been written. The other fields may be read once over is closed.
type sending struct {
	over    chan struct{} // closed once nothing more is written; nil: the request was written at once
	head    int           // bytes of the request's head
	total   int           // bytes of the request
	written int
	err     error
}

// await waits until nothing more is written. The connection must have been closed, or the writing ends only as the worker reads on.
func (s *sending) await() {
	if s.over != nil {
		<-s.over
	}
}

// settle tells whether the whole request has been written, and waits a little to learn it.
func (s *sending) settle() bool {
	if s.over != nil {
		slack := time.NewTimer(writerSlack)
		defer slack.Stop()
		select {
		case <-s.over:
		case <-slack.C:
			if !s.isOver() {
				return false
			}
		}
	}
	return s.written == s.total
}

// isOver tells whether nothing more is written. After a pause of the whole process both the slack and the writing may be over.
func (s *sending) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}

// send writes the request, a long one while its answer is awaited: a worker may answer before it has read the body, and read on
// late or never.
func (t *trip) send() {
	buffer := buffers.Get().(*[]byte)
	out := t.appendHead((*buffer)[:0])
	s := &t.sending
	s.head, s.total = len(out), len(out)+len(t.call.Body)
	if s.total <= quietWrite {
		t.write(buffer, out)
		return
	}
	s.over = make(chan struct{})
	go func() {
		defer close(s.over)
		t.write(buffer, out)
	}()
}

// write writes the head and the body, in one write where they are short, and gives the head's buffer back.
func (t *trip) write(buffer *[]byte, out []byte) {
	s, body := &t.sending, t.call.Body
	if len(body) <= wholeWrite {
		out = append(out, body...)
		s.written, s.err = t.conn.socket.Write(out)
	} else {
		var n int64
		parts := net.Buffers{out, body}
		n, s.err = parts.WriteTo(t.conn.socket)
		s.written = int(n)
	}
	if cap(out) <= keepPooled {
		*buffer = out[:0]
		buffers.Put(buffer)
	}
	if s.written < s.head { // no answer is to come
		t.conn.drop()
	}
}

// setHere are fields that the exchange sets itself or never asks for.
var setHere = [...]string{"Content-Length", "Accept-Encoding", "Expect"}

func (t *trip) appendHead(out []byte) []byte {
	call := t.call
	out = append(out, call.Method...)
	out = append(out, ' ')
	out = append(out, call.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	hops := http1.HopByHopOf(call.Fields)
	for i := range call.Fields {
		f := &call.Fields[i]
		if hops.Contains(f.Name) || isSetHere(f.Name) || !http1.IsToken(f.Name) || !http1.IsFieldValue(f.Value) {
			continue
		}
		out = http1.AppendField(out, f.Name, f.Value)
	}
	if len(call.Body) > 0 || call.Method == "POST" || call.Method == "PUT" || call.Method == "PATCH" {
		out = http1.AppendIntField(out, "Content-Length", len(call.Body))
	}
	return append(out, "\r\n"...)
}

func isSetHere(name string) bool {
	for _, own := range setHere {
		if http1.EqualFold(name, own) {
			return true
		}
	}
	return false
}
