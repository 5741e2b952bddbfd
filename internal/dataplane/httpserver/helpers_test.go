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

const testTimeout = 5 * time.Second // for what a test waits for

// testServer is a server on loopback with one handler.
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
		t.Fatal(err)
	}
	server := &testServer{Server: New(options), t: t, address: listener.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return server
}

// await waits until the condition holds for the numbers of connections by state.
func (s *testServer) await(holds func(map[connState]int) bool) {
	s.t.Helper()
	until := time.Now().Add(testTimeout)
	for time.Now().Before(until) {
		states := map[connState]int{}
		s.mu.Lock()
		for conn := range s.conns {
			states[conn.state]++
		}
		s.mu.Unlock()
		if holds(states) {
			return
		}
		runtime.Gosched()
	}
	s.t.Fatal("the connections are not in the states that the test waits for")
}

func echo(w *ResponseWriter, r *Request) {
	_ = w.WriteResponse(200, nil, fmt.Appendf(nil, "%s %s %s", r.Method, r.Target, r.Body))
}

func (s *testServer) dial() *testClient {
	s.t.Helper()
	socket, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { socket.Close() })
	_ = socket.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{s.t, socket.(*net.TCPConn), bufio.NewReader(socket)}
}

// testClient is a client that a test scripts.
type testClient struct {
	t      *testing.T
	socket *net.TCPConn
	input  *bufio.Reader
}

func (p *testClient) send(text string) {
	p.t.Helper()
	if _, err := p.socket.Write([]byte(text)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testClient) readResponse() (*http.Response, string) {
	p.t.Helper()
	response, err := http.ReadResponse(p.input, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return response, string(body)
}

func (p *testClient) expect(status int, body string) *http.Response {
	p.t.Helper()
	response, got := p.readResponse()
	if response.StatusCode != status || got != body {
		p.t.Fatalf("%d %q, not %d %q", response.StatusCode, got, status, body)
	}
	return response
}

// readToEnd reads to the connection's end.
func (p *testClient) readToEnd() string {
	p.t.Helper()
	rest, err := io.ReadAll(p.input)
	if err != nil {
		p.t.Fatalf("%q, then %v", rest, err)
	}
	return string(rest)
}
