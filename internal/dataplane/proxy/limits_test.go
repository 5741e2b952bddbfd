package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// begin sends the beginning of a request on a connection of its own and returns the status of what is answered.
func (s *system) begin(path, fields string) int {
	s.t.Helper()
	connection, err := net.Dial("tcp4", s.front)
	if err != nil {
		s.t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: 9c41d07be2a35f68\r\n%s\r\nx", path, testHost, fields)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode
}

// TestSlowBodyEndsWithTheClientsTime sends a part of a body from a client that waits for 300 ms, where a request may take 3 s to come.
func TestSlowBodyEndsWithTheClientsTime(t *testing.T) {
	s := newSystem(t)
	s.awaitReady()
	began := time.Now()
	status := s.begin("/a/x", "X-Request-Deadline: 300\r\nContent-Length: 9\r\n")
	if took := time.Since(began); status != http.StatusRequestTimeout || took < 300*time.Millisecond || took > 2*time.Second {
		t.Fatalf("%d after %v", status, took)
	}
}

// TestLongBodyIsDeniedByAConfirmedConfigurationAlone sends the head of a body over the limit.
func TestLongBodyIsDeniedByAConfirmedConfigurationAlone(t *testing.T) {
	const long = "Content-Length: 99999999\r\n"
	s := newSystemOn(t, &standInAgent{behind: true})
	s.awaitReady()
	if status := s.begin("/a/x", long); status != http.StatusServiceUnavailable {
		t.Fatal(status)
	}
	s = newSystem(t)
	s.awaitReady()
	s.await("denied", func() bool { return s.begin("/a/x", long) == http.StatusRequestEntityTooLarge })
}
