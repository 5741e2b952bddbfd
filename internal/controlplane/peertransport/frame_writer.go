package peertransport

import (
	"encoding/binary"
	"net"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
)

// Sizes of writes.
const (
	writeChunkBytes  = 64 << 10  // the write deadline is checked before each chunk
	maxBufferedBytes = 64 << 10  // frames up to this length are collected into one write
	maxRetainedBytes = 256 << 10 // a larger buffer is not reused for the next write
)

// frameWriter collects frames and writes them with few system calls. It is not safe for concurrent use.
type frameWriter struct {
	connection net.Conn
	buffer     []byte
	deadline   time.Time // write deadline that was last set
}

// append buffers a frame. A frame longer than maxBufferedBytes is written at once, after what was buffered.
func (w *frameWriter) append(next frame) error {
	if len(next.body) <= maxBufferedBytes {
		w.buffer = feedtransport.AppendFrame(w.buffer, next.kind, next.body)
		if len(w.buffer) < maxBufferedBytes {
			return nil
		}
		return w.flush()
	}
	w.buffer = appendHeader(w.buffer, next.kind, len(next.body))
	if err := w.flush(); err != nil {
		return err
	}
	return w.write(next.body)
}

// appendHeader appends the header of a frame whose body is written after it.
func appendHeader(buffer []byte, kind feedtransport.Kind, length int) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(length))
	return append(buffer, byte(kind))
}

// flush writes the buffered frames.
func (w *frameWriter) flush() error {
	err := w.write(w.buffer)
	if cap(w.buffer) > maxRetainedBytes {
		w.buffer = nil
	}
	w.buffer = w.buffer[:0]
	return err
}

// renewDeadline gives the next chunk at least half of writeTimeout. A deadline that leaves as much is not set anew, since
// that costs more than a small write.
func (w *frameWriter) renewDeadline() error {
	now := time.Now()
	if w.deadline.Sub(now) >= writeTimeout/2 {
		return nil
	}
	w.deadline = now.Add(writeTimeout)
	return w.connection.SetWriteDeadline(w.deadline)
}

// write writes data in chunks of writeChunkBytes.
func (w *frameWriter) write(data []byte) error {
	for len(data) > 0 {
		chunk := data[:min(len(data), writeChunkBytes)]
		if err := w.renewDeadline(); err != nil {
			return err
		}
		if _, err := w.connection.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}
