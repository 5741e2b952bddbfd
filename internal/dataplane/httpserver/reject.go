package httpserver

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"ospreybend/internal/util/http1"
)

const discardBufferBytes = 4 << 10

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// RetryAfter returns the value of a Retry-After field: seconds with three decimals.
func RetryAfter(after time.Duration) string { return strconv.FormatFloat(after.Seconds(), 'f', 3, 64) }

func appendInt(out []byte, value int) []byte { return strconv.AppendInt(out, int64(value), 10) }

// appendErrorResponse appends the last response on a connection whose request cannot be read.
func (s *Server) appendErrorResponse(out []byte, statusErr *http1.StatusError) []byte {
	out = http1.AppendStatusLine(out, statusErr.Status)
	if statusErr.Status == http.StatusServiceUnavailable {
		out = http1.AppendField(out, "Retry-After", s.retryAfter)
	}
	return append(out, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
}

// closeAfterLinger closes the sending side and reads until the client closes its own, up to lingerTimeout. Closing a socket with
// unread bytes resets the connection, and the client could lose the response by that.
func closeAfterLinger(socket net.Conn) {
	if closer, ok := socket.(halfCloser); ok && closer.CloseWrite() != nil {
		return
	}
	_ = socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	discardInput(socket)
}

// discardInput reads until the client closes, the read deadline passes, or maxLingerBytes were read.
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
