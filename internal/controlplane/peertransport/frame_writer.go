package peertransport

import (
	"encoding/binary"
	"net"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
)

// Sizes of writes.
const (
	writeChunkBytes  = 64 << 10  // the write deadline is looked at before each piece
	maxBufferedBytes = 64 << 10  // frames up to this length are gathered into one write
	maxRetainedBytes = 256 << 10 // a larger buffer is not kept for the next write
)

// frameWriter gathers frames and writes them with few calls. Not for concurrent use.
type frameWriter struct {
	connection net.Conn
	buffer     []byte
	deadline   time.Time // of writes, as it was set last
}

// append gathers a frame; one that is long is written at once, after what was gathered.
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

// flush writes what was gathered.
func (w *frameWriter) flush() error {
	err := w.write(w.buffer)
	if cap(w.buffer) > maxRetainedBytes {
		w.buffer = nil
	}
	w.buffer = w.buffer[:0]
	return err
}

// renewDeadline gives the next piece at least half of writeTimeout. A deadline that leaves so much
// stands, since setting it costs more than a small write.
func (w *frameWriter) renewDeadline() error {
	now := time.Now()
	if w.deadline.Sub(now) >= writeTimeout/2 {
		return nil
	}
	w.deadline = now.Add(writeTimeout)
	return w.connection.SetWriteDeadline(w.deadline)
}

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
