package httpserver

import (
	"net"
	"strconv"
	"time"

	"ospreybend/internal/util/http1"
)

const discardBufferBytes = 4 << 10 // bytes read at a time where they are dropped

// halfCloser is a connection whose sending side can be ended alone.
type halfCloser interface{ CloseWrite() error }

// RetryAfter gives the value of a Retry-After field: seconds with three decimals.
func RetryAfter(after time.Duration) string { return strconv.FormatFloat(after.Seconds(), 'f', 3, 64) }

func appendInt(out []byte, value int) []byte { return strconv.AppendInt(out, int64(value), 10) }

// appendErrorResponse appends the last answer of a connection whose request cannot be read.
func (s *Server) appendErrorResponse(out []byte, statusErr *http1.StatusError) []byte {
	out = http1.AppendStatusLine(out, statusErr.Status)
	if statusErr.Status == statusUnavailable {
		out = http1.AppendField(out, "Retry-After", s.retryAfter)
	}
	return append(out, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
}

// closeAfterLinger ends the sending side and reads until the client ends its own: closing over unread bytes would reset the connection,
// and the answer could be lost with that.
func closeAfterLinger(socket net.Conn) {
	if closer, ok := socket.(halfCloser); ok && closer.CloseWrite() != nil {
		return
	}
	_ = socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	discardInput(socket)
}

func discardInput(socket net.Conn) {
	buffer := make([]byte, discardBufferBytes)
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := socket.Read(buffer)
		if err != nil {
			return
		}
		dropped += n
	}
}
