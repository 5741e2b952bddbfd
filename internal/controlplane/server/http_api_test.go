package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bytes"
	"ospreybend/internal/controlplane/configuration"
)

// apiFixture is the API of a server whose configuration group accepts and counts all proposals.
type apiFixture struct {
	t        *testing.T
	server   *Server
	address  string
	proposed atomic.Int64
}

func newAPIFixture(t *testing.T) *apiFixture {
	t.Helper()
	s, groups, _ := newScriptedServer(t)
	f := &apiFixture{t: t, server: s}
	groups[0].set(leaderStatus())
	groups[0].onPropose = func(context.Context, []byte) (any, error) {
		number := f.proposed.Add(1)
		return configuration.Outcome{HTTPStatus: http.StatusOK, Generation: uint64(number)}, nil
	}
	f.address = strings.TrimPrefix(serveAPI(t, s), "http://")
	return f
}

func (f *apiFixture) dial() net.Conn {
	f.t.Helper()
	connection, err := net.Dial("tcp4", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(clusterTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return connection
}

// configurationRequestHead returns the head of a configuration change with additional header lines.
func configurationRequestHead(lines ...string) string {
	return "POST /-/Config.Replace HTTP/1.1\r\nHost: control\r\nX-Base-Version: 0\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
}

// requestWithContentLength returns a configuration change whose body is sent with a Content-Length header.
func requestWithContentLength(body string) string {
	return configurationRequestHead(fmt.Sprintf("Content-Length: %d", len(body))) + body
}

// chunkedRequest returns a configuration change whose body is sent as one chunk, without the last chunk that ends the body.
func chunkedRequest(body string) string {
	return configurationRequestHead("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// A truncated request must not be executed, even if the part that has arrived would be a valid change.
func TestAPI_truncatedRequestIsNotExecuted(t *testing.T) {
	body := configurationJSON(1)
	for name, sent := range map[string]string{
		"in the request line":                    requestWithContentLength(body)[:12],
		"in the header lines":                    requestWithContentLength(body)[:40],
		"after the header":                       configurationRequestHead(fmt.Sprintf("Content-Length: %d", len(body))),
		"in the body":                            requestWithContentLength(body + " ")[:len(requestWithContentLength(body+" "))-1],
		"in the first chunk":                     chunkedRequest(body)[:len(chunkedRequest(body))-9],
		"after a complete chunk":                 chunkedRequest(body),
		"in the last chunk":                      chunkedRequest(body) + "0",
		"in a second chunk":                      chunkedRequest(body) + "5\r\n  ",
		"invalid Content-Length":                 configurationRequestHead("Content-Length: x") + body,
		"two Content-Length headers that differ": configurationRequestHead("Content-Length: 3", fmt.Sprintf("Content-Length: %d", len(body))) + body[:3],
	} {
		t.Run(name, func(t *testing.T) {
			f := newAPIFixture(t)
			connection := f.dial()
			if _, err := io.WriteString(connection, sent); err != nil {
				t.Fatal(err)
			}
			if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(connection)
			if strings.Contains(string(answer), " 200 ") || f.proposed.Load() != 0 {
				t.Fatalf("truncated request: %d changes were proposed and the response is %q, want no change and no status 200", f.proposed.Load(), answer)
			}
		})
	}
}

// Pipelined requests on one connection must be answered in their order, and the bytes of one must not end up in another.
func TestAPI_severalRequestsOnOneConnection(t *testing.T) {
	f := newAPIFixture(t)
	connection := f.dial()
	const requests = 20
	sent := ""
	for number := range requests {
		request := requestWithContentLength(configurationJSON(number + 1))
		if number%2 == 1 {
			request = chunkedRequest(configurationJSON(number+1)) + "0\r\n\r\n"
		}
		sent += request
	}
	go func() { _, _ = io.WriteString(connection, sent) }()
	reader := bufio.NewReader(connection)
	for number := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if want := string(generationBody(uint64(number + 1))); err != nil || string(body) != want {
			t.Fatalf("body of response %d is %q (error: %v), want %q", number, body, err, want)
		}
	}
	if f.proposed.Load() != requests {
		t.Fatalf("%d changes were proposed, want %d", f.proposed.Load(), requests)
	}
}

// A server that is shutting down must answer the current request and then close the connection, so that callers switch to another server.
func TestAPI_shuttingDownServerClosesConnections(t *testing.T) {
	f := newAPIFixture(t)
	f.server.lifecycle.shuttingDown.Store(true)
	connection := f.dial()
	if _, err := io.WriteString(connection, requestWithContentLength(configurationJSON(1))+requestWithContentLength(configurationJSON(2))); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Fatalf("response %+v, error %v; want status 200 and Connection: close", response, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if rest, _ := io.ReadAll(reader); len(rest) != 0 || f.proposed.Load() != 1 {
		t.Fatalf("%q follows the first response and %d changes were proposed, want no more bytes and one change", rest, f.proposed.Load())
	}
}

// A request whose body is longer than maxBodyBytes must be rejected and not executed.
func TestAPI_tooLongRequestIsRejected(t *testing.T) {
	f := newAPIFixture(t)
	connection := f.dial()
	head := configurationRequestHead(fmt.Sprintf("Content-Length: %d", maxBodyBytes+1))
	if _, err := io.WriteString(connection, head); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge || f.proposed.Load() != 0 {
		t.Fatalf("request with a body that is too long: status %s and %d proposals, want 413 and none", response.Status, f.proposed.Load())
	}
}

// serveAPI runs a server's API until the test ends, and returns its base URL.
func serveAPI(t *testing.T, server *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	api := newAPIServer(server, listener)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = api.Run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return "http://" + listener.Addr().String()
}

// Failed calls must have the documented status, and exactly those with status 503 a Retry-After header.
func TestAPI_failedCallsHaveDocumentedStatus(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return errorResponse(OutcomeUnknown), nil }
	address := serveAPI(t, s)
	cases := []struct {
		name, path, base, body string
		status                 int
	}{
		{"unknown outcome", "/-/Config.Replace", "0", configurationJSON(1), http.StatusServiceUnavailable},
		{"invalid JSON", "/-/Config.Replace", "0", "{", http.StatusBadRequest},
		{"invalid base version", "/-/Config.Replace", "x", configurationJSON(1), http.StatusBadRequest},
		{"unknown path", "/-/Config.Remove", "0", "", http.StatusNotFound},
		{"heartbeat with invalid JSON", "/-/Instances.Heartbeat/i", "0", "{", http.StatusBadRequest},
		{"heartbeat that is too large", "/-/Instances.Heartbeat/i", "0", strings.Repeat(" ", maxHeartbeatBytes+1), http.StatusRequestEntityTooLarge},
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clusterTimeout}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+test.path, bytes.NewReader([]byte(test.body)))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerBaseVersion, test.base)
			response, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != test.status {
				t.Fatalf("status %s, want %d", response.Status, test.status)
			}
			if retry := response.Header.Get("Retry-After"); (retry != "") != (test.status == http.StatusServiceUnavailable) {
				t.Fatalf("response with status %d has Retry-After %q; only status 503 must have the header", test.status, retry)
			}
		})
	}
}
