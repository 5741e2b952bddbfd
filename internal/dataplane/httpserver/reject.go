package httpserver

import (
	"net"
	"strconv"
	"time"

	"ospreybend/internal/util/http1"
)

const dropBuffer = 4 << 10 // bytes read at a time where they are dropped

// halfCloser is a connection whose sending side can be ended alone.
type halfCloser interface{ CloseWrite() error }

// RetryAfter gives the value of a Retry-After field: seconds with three decimals.
func RetryAfter(after time.Duration) string { return strconv.FormatFloat(after.Seconds(), 'f', 3, 64) }

func appendInt(out []byte, value int) []byte { return strconv.AppendInt(out, int64(value), 10) }

// appendFault appends the last answer of a connection whose request cannot be read.
func (s *Server) appendFault(out []byte, fault *http1.StatusError) []byte {
	out = http1.AppendStatusLine(out, fault.Status)
	if fault.Status == statusUnavailable {
		out = http1.AppendField(out, "Retry-After", s.retryAfter)
	}
	return append(out, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
}

// discard ends the sending side and reads until the client ends its own: closing over unread bytes would reset the connection,
// and the answer could be lost with that.
func discard(socket net.Conn) {
	if half, ok := socket.(halfCloser); ok && half.CloseWrite() != nil {
		return
	}
	_ = socket.SetReadDeadline(time.Now().Add(lingerTime))
	dropInput(socket)
}

func dropInput(socket net.Conn) {
	buffer := make([]byte, dropBuffer)
	for dropped := 0; dropped < lingerBytes; {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		dropped += n
	}
}
