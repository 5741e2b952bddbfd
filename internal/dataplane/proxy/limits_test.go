package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"ospreybend/internal/util/bootconfig"
)

// sendRequestHead sends the head of a request and one byte of its body on a new connection, and returns the status of the response.
func (s *testSystem) sendRequestHead(path, headerLines string) int {
	s.t.Helper()
	connection, err := net.Dial("tcp4", s.clientAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 9c41d07be2a35f68\r\n%s\r\nx", path, testHost, headerLines)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode
}

// TestProxy_slowBodyEndsAtClientDeadline sends only a part of a request body, with a client deadline of 300 ms. The request must end
// at that deadline and not at the header timeout of 3 s.
func TestProxy_slowBodyEndsAtClientDeadline(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	startedAt := time.Now()
	status := s.sendRequestHead("/a/x", "X-Request-Deadline: 300\r\nContent-Length: 9\r\n")
	if elapsed := time.Since(startedAt); status != http.StatusRequestTimeout || elapsed < 300*time.Millisecond || elapsed > 2*time.Second {
		t.Fatalf("got status %d after %v, want %d after 300 ms to 2 s", status, elapsed, http.StatusRequestTimeout)
	}
}

// TestProxy_longBody_rejectedOnlyWhenConfirmed sends the head of a request whose body exceeds the limit of the configuration. The proxy
// must answer with 413 only if that configuration is confirmed, and with 503 otherwise.
func TestProxy_longBody_rejectedOnlyWhenConfirmed(t *testing.T) {
	const longBody = "Content-Length: 99999999\r\n"
	s := newTestSystemWithAgent(t, &fakeAgent{unconfirmed: true})
	s.waitUntilReady()
	if status := s.sendRequestHead("/a/x", longBody); status != http.StatusServiceUnavailable {
		t.Fatalf("body above an unconfirmed limit: got status %d, want %d", status, http.StatusServiceUnavailable)
	}
	s = newTestSystem(t)
	s.waitUntilReady()
	s.waitFor("a body above the limit to be answered with 413", func() bool { return s.sendRequestHead("/a/x", longBody) == http.StatusRequestEntityTooLarge })
}

func TestClientConnectionLimit(t *testing.T) {
	for fds, want := range map[int]int{4100: 1950, 100: 1, 100000: maxClientConnections} {
		if got := clientConnectionLimit(bootconfig.Limits{MaxFds: fds}); got != want {
			t.Errorf("%d file descriptors: got a limit of %d client connections, want %d", fds, got, want)
		}
	}
}
