package peertransport

import (
	"encoding/binary"
	"net"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
)

// Sizes of writes and of the write buffer.
const (
	writeChunkBytes  = 64 << 10  // the write deadline is checked and renewed before each chunk
	maxBufferedBytes = 64 << 10  // frames with a body up to this length are collected into one write
	maxRetainedBytes = 256 << 10 // a larger buffer is not reused for the next write
)

// frameWriter buffers small frames, so that several are written by one system call. It is not safe for concurrent use.
type frameWriter struct {
	connection net.Conn
	buffer     []byte
	deadline   time.Time // write deadline of the connection; zero: not set yet
}

// append buffers a frame, and flushes the buffer once it holds maxBufferedBytes. A frame with a longer body is written at once,
// after the buffered frames.
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

// appendHeader appends the header of a frame whose body is written separately.
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

// renewDeadline ensures that the next chunk has at least half of writeTimeout. It leaves a deadline that is far enough ahead
// as it is, because setting a deadline costs more than a small write.
func (w *frameWriter) renewDeadline() error {
	now := time.Now()
	if w.deadline.Sub(now) >= writeTimeout/2 {
		return nil
	}
	w.deadline = now.Add(writeTimeout)
	return w.connection.SetWriteDeadline(w.deadline)
}

// write writes data in chunks of up to writeChunkBytes, each with a renewed write deadline.
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
