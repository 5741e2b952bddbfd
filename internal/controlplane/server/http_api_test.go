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

// httpHost is the API of a server whose group accepts everything, and counts it.
type httpHost struct {
	t        *testing.T
	server   *Server
	address  string
	proposed atomic.Int64
}

func newHTTPHost(t *testing.T) *httpHost {
	t.Helper()
	s, groups, _ := newScriptedServer(t)
	h := &httpHost{t: t, server: s}
	groups[0].set(leaderStatus())
	groups[0].submit = func(context.Context, []byte) (any, error) {
		number := h.proposed.Add(1)
		return configuration.Outcome{HTTPStatus: http.StatusOK, Generation: uint64(number)}, nil
	}
	h.address = strings.TrimPrefix(serveAPI(t, s), "http://")
	return h
}

func (h *httpHost) dial() net.Conn {
	h.t.Helper()
	connection, err := net.Dial("tcp4", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(clusterTimeout)); err != nil {
		h.t.Fatal(err)
	}
	return connection
}

// configurationRequestHead is the head of a configuration change with further header lines.
func configurationRequestHead(lines ...string) string {
	return "POST /-/Config.Replace HTTP/1.1\r\nHost: control\r\nX-Base-Version: 0\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
}

func withContentLength(body string) string {
	return configurationRequestHead(fmt.Sprintf("Content-Length: %d", len(body))) + body
}

func chunkedBody(body string) string {
	return configurationRequestHead("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// A truncated change is not executed, even if what has arrived would be a valid one.
func TestAPI_truncatedRequestIsNotExecuted(t *testing.T) {
	body := configurationJSON(1)
	for name, sent := range map[string]string{
		"in its first line":            withContentLength(body)[:12],
		"in its head":                  withContentLength(body)[:40],
		"after its head":               configurationRequestHead(fmt.Sprintf("Content-Length: %d", len(body))),
		"in its body":                  withContentLength(body + " ")[:len(withContentLength(body+" "))-1],
		"in its first chunk":           chunkedBody(body)[:len(chunkedBody(body))-9],
		"after a chunk that is whole":  chunkedBody(body),
		"in the last chunk":            chunkedBody(body) + "0",
		"in a further chunk":           chunkedBody(body) + "5\r\n  ",
		"with a length that is false":  configurationRequestHead("Content-Length: x") + body,
		"with two lengths that differ": configurationRequestHead("Content-Length: 3", fmt.Sprintf("Content-Length: %d", len(body))) + body[:3],
	} {
		t.Run(name, func(t *testing.T) {
			h := newHTTPHost(t)
			connection := h.dial()
			if _, err := io.WriteString(connection, sent); err != nil {
				t.Fatal(err)
			}
			if err := connection.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(connection)
			if strings.Contains(string(answer), " 200 ") || h.proposed.Load() != 0 {
				t.Fatalf("%d changes are executed, the answer is %q", h.proposed.Load(), answer)
			}
		})
	}
}

// Changes that follow one another on a connection are answered in the same order and share no bytes.
func TestAPI_severalRequestsOnOneConnection(t *testing.T) {
	h := newHTTPHost(t)
	connection := h.dial()
	const orders = 20
	sent := ""
	for number := range orders {
		order := withContentLength(configurationJSON(number + 1))
		if number%2 == 1 {
			order = chunkedBody(configurationJSON(number+1)) + "0\r\n\r\n"
		}
		sent += order
	}
	go func() { _, _ = io.WriteString(connection, sent) }()
	reader := bufio.NewReader(connection)
	for number := range orders {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if want := string(generationBody(uint64(number + 1))); err != nil || string(body) != want {
			t.Fatalf("answer %d is %q, %v", number, body, err)
		}
	}
	if h.proposed.Load() != orders {
		t.Fatalf("%d changes are executed", h.proposed.Load())
	}
}

// A server that shuts down answers, and closes the connection so that callers switch to others.
func TestAPI_shuttingDownServerClosesConnections(t *testing.T) {
	h := newHTTPHost(t)
	h.server.lifecycle.shuttingDown.Store(true)
	connection := h.dial()
	if _, err := io.WriteString(connection, withContentLength(configurationJSON(1))+withContentLength(configurationJSON(2))); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Fatal(response, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if rest, _ := io.ReadAll(reader); len(rest) != 0 || h.proposed.Load() != 1 {
		t.Fatalf("%q follows, %d changes are executed", rest, h.proposed.Load())
	}
}

// A change that is too long is rejected in every state, and not executed.
func TestAPI_tooLongRequestIsRejected(t *testing.T) {
	h := newHTTPHost(t)
	connection := h.dial()
	head := configurationRequestHead(fmt.Sprintf("Content-Length: %d", maxBodyBytes+1))
	if _, err := io.WriteString(connection, head); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge || h.proposed.Load() != 0 {
		t.Fatal(response.Status, h.proposed.Load())
	}
}

// serveAPI runs the API of a scripted server.
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

func TestAPI_rejectsByTheRulesOnly(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return errorResponse(OutcomeUnknown), nil }
	address := serveAPI(t, s)
	cases := []struct {
		name, path, base, body string
		status                 int
	}{
		{"unknown outcome", "/-/Config.Replace", "0", configurationJSON(1), http.StatusServiceUnavailable},
		{"no JSON", "/-/Config.Replace", "0", "{", http.StatusBadRequest},
		{"bad base", "/-/Config.Replace", "x", configurationJSON(1), http.StatusBadRequest},
		{"no such call", "/-/Config.Remove", "0", "", http.StatusNotFound},
		{"no JSON in a heartbeat", "/-/Instances.Heartbeat/i", "0", "{", http.StatusBadRequest},
		{"a heartbeat that is too large", "/-/Instances.Heartbeat/i", "0", strings.Repeat(" ", maxHeartbeatBytes+1), http.StatusRequestEntityTooLarge},
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
				t.Fatal(response.Status)
			}
			if retry := response.Header.Get("Retry-After"); (retry != "") != (test.status == http.StatusServiceUnavailable) {
				t.Fatalf("Retry-After %q", retry)
			}
		})
	}
}
