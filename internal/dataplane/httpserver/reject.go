package httpserver

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"ospreybend/internal/util/http1"
)

const discardBufferBytes = 4 << 10

// halfCloser is a connection whose sending side can be closed separately, such as *net.TCPConn.
type halfCloser interface{ CloseWrite() error }

// formatRetryAfter returns the value of a Retry-After field, in seconds with three decimals.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

func appendInt(out []byte, value int) []byte { return strconv.AppendInt(out, int64(value), 10) }

// appendErrorResponse appends the response to a connection or request that is rejected. It is the last response on the connection.
func (s *Server) appendErrorResponse(out []byte, statusErr *http1.StatusError) []byte {
	out = http1.AppendStatusLine(out, statusErr.Status)
	if statusErr.Status == http.StatusServiceUnavailable {
		out = http1.AppendField(out, "Retry-After", s.retryAfter)
	}
	return append(out, "Connection: close\r\nContent-Length: 0\r\n\r\n"...)
}

// closeWriteAndLinger closes the sending side and discards input until the client closes its side or lingerTimeout has passed; the
// caller then closes the connection. Closing a socket with unread input resets the connection, which could make the client lose the
// response.
func closeWriteAndLinger(netConn net.Conn) {
	if closer, ok := netConn.(halfCloser); ok && closer.CloseWrite() != nil {
		return
	}
	_ = netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	discardInput(netConn)
}

// discardInput reads and discards input until the client closes its side, the read deadline passes, or maxLingerBytes were read.
func discardInput(netConn net.Conn) {
	buffer := make([]byte, discardBufferBytes)
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := netConn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}
