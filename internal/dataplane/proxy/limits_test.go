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

// requestHead sends the head of a request on a connection of its own and returns the response's status.
func (s *testSystem) requestHead(path, fields string) int {
	s.t.Helper()
	connection, err := net.Dial("tcp4", s.clientAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 9c41d07be2a35f68\r\n%s\r\nx", path, testHost, fields)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode
}

// TestProxy_slowBodyEndsAtClientDeadline sends a part of a body from a client with a deadline of 300 ms, under a header
// time-out of 3 s.
func TestProxy_slowBodyEndsAtClientDeadline(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	began := time.Now()
	status := s.requestHead("/a/x", "X-Request-Deadline: 300\r\nContent-Length: 9\r\n")
	if took := time.Since(began); status != http.StatusRequestTimeout || took < 300*time.Millisecond || took > 2*time.Second {
		t.Fatalf("%d after %v", status, took)
	}
}

// TestProxy_longBody_rejectedOnlyWhenConfirmed sends the head of a body over the limit.
func TestProxy_longBody_rejectedOnlyWhenConfirmed(t *testing.T) {
	const long = "Content-Length: 99999999\r\n"
	s := newTestSystemWithAgent(t, &fakeAgent{behind: true})
	s.waitUntilReady()
	if status := s.requestHead("/a/x", long); status != http.StatusServiceUnavailable {
		t.Fatal(status)
	}
	s = newTestSystem(t)
	s.waitUntilReady()
	s.waitFor("denied", func() bool { return s.requestHead("/a/x", long) == http.StatusRequestEntityTooLarge })
}

func TestClientConnectionLimit(t *testing.T) {
	for fds, want := range map[int]int{4100: 1950, 100: 1, 100000: maxClientConnections} {
		if got := clientConnectionLimit(bootconfig.Limits{MaxFds: fds}); got != want {
			t.Errorf("%d: %d", fds, got)
		}
	}
}
