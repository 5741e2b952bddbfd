package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

const testTimeout = 5 * time.Second // limit for each event that a test waits for

// testServer is a server that listens on a loopback address.
type testServer struct {
	*Server
	t       *testing.T
	address string
}

func startServer(t *testing.T, options Options) *testServer {
	t.Helper()
	if options.Limits == nil {
		options.Limits = func() configuration.Limits { return configuration.Limits{} }
	}
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := &testServer{Server: New(options), t: t, address: listener.Addr().String()}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-serveErr; err != nil {
			t.Errorf("Serve after Close: got error %v, want nil", err)
		}
	})
	return server
}

// waitForStates waits until the condition holds for the number of connections in each state. It fails the test after testTimeout.
func (s *testServer) waitForStates(condition func(map[connState]int) bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	var states map[connState]int
	for time.Now().Before(deadline) {
		states = map[connState]int{}
		s.mu.Lock()
		for conn := range s.conns {
			states[conn.state]++
		}
		s.mu.Unlock()
		if condition(states) {
			return
		}
		runtime.Gosched()
	}
	s.t.Fatalf("connections by state after %v: got %v, which is not what the test waits for", testTimeout, states)
}

// echo responds with the request's method, target and body.
func echo(w *ResponseWriter, r *Request) {
	_ = w.WriteResponse(200, nil, fmt.Appendf(nil, "%s %s %s", r.Method, r.Target, r.Body))
}

func (s *testServer) dial() *testClient {
	s.t.Helper()
	netConn, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatalf("dial the server: %v", err)
	}
	s.t.Cleanup(func() { netConn.Close() })
	_ = netConn.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{s.t, netConn.(*net.TCPConn), bufio.NewReader(netConn)}
}

// testClient is a client whose reads and writes the test controls.
type testClient struct {
	t       *testing.T
	netConn *net.TCPConn
	input   *bufio.Reader
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := c.netConn.Write([]byte(text)); err != nil {
		c.t.Fatalf("send %.100q: %v", text, err)
	}
}

func (c *testClient) readResponse() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.input, nil)
	if err != nil {
		c.t.Fatalf("read response head: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatalf("read body of %s response: %v", response.Status, err)
	}
	return response, string(body)
}

func (c *testClient) expectResponse(status int, body string) *http.Response {
	c.t.Helper()
	response, got := c.readResponse()
	if response.StatusCode != status || got != body {
		c.t.Fatalf("response: got %d %q, want %d %q", response.StatusCode, got, status, body)
	}
	return response
}

// readUntilClose reads until the server closes the connection, and fails the test if the connection is reset.
func (c *testClient) readUntilClose() string {
	c.t.Helper()
	rest, err := io.ReadAll(c.input)
	if err != nil {
		c.t.Fatalf("read until close: got %q, then error %v", rest, err)
	}
	return string(rest)
}
