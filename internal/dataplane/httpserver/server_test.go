package httpserver

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
)

const getRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func TestServer_pipelinedRequests(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	client := server.dial()
	client.send(getRequest)
	if h := client.expectResponse(200, "GET /a ").Header.Get("Keep-Alive"); h != "timeout=15" {
		t.Errorf("Keep-Alive field: got %q, want %q", h, "timeout=15")
	}
	client.send("\r\nPOST /b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + getRequest +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n1\r\n!\r\n0\r\nT: x\r\n\r\n" +
		"GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	client.expectResponse(200, "POST /b?x=1 hi")
	client.expectResponse(200, "GET /a ")
	client.expectResponse(200, "POST /c hi!")
	if !client.expectResponse(200, "GET /d ").Close {
		t.Error("response to a request with Connection: close: no Connection: close")
	}
	if rest := client.readUntilClose(); rest != "" {
		t.Errorf("input after the last response: got %q, want none", rest)
	}
}

// A request is read correctly however its bytes are split into writes.
func TestServer_requestSplitAnywhere(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	const text = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
	client := server.dial()
	for split := 1; split < len(text); split++ {
		client.send(text[:split])
		client.send(text[split:])
		client.expectResponse(200, "POST /c hi!")
	}
	for i := range text {
		client.send(text[i : i+1])
	}
	client.expectResponse(200, "POST /c hi!")
}

const postRequestStart = "POST /a HTTP/1.1\r\nHost: h\r\n"

// rejectedRequests are requests that the server rejects, by test case name, with the expected status.
var rejectedRequests = map[string]struct {
	text   string
	status int
}{
	"garbage":            {"\x16\x03\x01\x02\r\n", 400},
	"no version":         {"GET /a\r\nHost: h\r\n\r\n", 400},
	"two spaces":         {"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"other version":      {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
	"no path":            {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	"no host":            {"GET /a HTTP/1.1\r\n\r\n", 400},
	"two hosts":          {postRequestStart + "Host: g\r\n\r\n", 400},
	"odd host":           {"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
	"bare LF":            {"GET /a HTTP/1.1\nHost: h\n\n", 400},
	"LF in header":       {postRequestStart + "A: b\nContent-Length: 3\r\n\r\n", 400},
	"bare CR":            {postRequestStart + "A: b\rC: d\r\n\r\n", 400},
	"NUL":                {postRequestStart + "A: b\x00\r\n\r\n", 400},
	"folded":             {postRequestStart + "A: b\r\n c\r\n\r\n", 400},
	"space before colon": {postRequestStart + "Content-Length : 5\r\n\r\n", 400},
	"no colon":           {postRequestStart + "Content-Length\r\n\r\n", 400},
	"two lengths":        {postRequestStart + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
	"list of lengths":    {postRequestStart + "Content-Length: 5, 5\r\n\r\n", 400},
	"signed length":      {postRequestStart + "Content-Length: +5\r\n\r\n", 400},
	"length and chunks":  {postRequestStart + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	"chunks and length":  {postRequestStart + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400},
	"other coding":       {postRequestStart + "Transfer-Encoding: xchunked\r\n\r\n", 400},
	"two codings":        {postRequestStart + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
	"coding with tab":    {postRequestStart + "Transfer-Encoding: chunked\x0b\r\n\r\n", 400},
	"old and chunked":    {"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	"chunk size":         {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n", 400},
	"chunk size space":   {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n2 \r\nhi\r\n0\r\n\r\n", 400},
	"chunk size LF":      {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", 400},
	"chunk end":          {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n", 400},
	"trailer":            {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n0\r\nno trailer\r\n\r\n", 400},
	"long header":        {postRequestStart + "A: " + strings.Repeat("a", 512) + "\r\n\r\n", 431},
	"long line":          {"GET /" + strings.Repeat("a", 512), 431},
	"long body":          {postRequestStart + "Content-Length: 17\r\n\r\n", 413},
	"huge body":          {postRequestStart + "Content-Length: 99999999999\r\n\r\n", 413},
	"long chunk":         {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n11\r\n", 413},
	"long chunks":        {postRequestStart + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + strings.Repeat("a", 16) + "\r\n1\r\na\r\n", 413},
}

func TestServer_rejectedRequests(t *testing.T) {
	served := make(chan string, 100)
	limits := func() configuration.Limits {
		return configuration.Limits{MaxHeaderBytes: 512, MaxBodyBytes: 16}
	}
	server := startServer(t, Options{Limits: limits, Handler: func(w *ResponseWriter, r *Request) {
		served <- r.Target
		_ = w.WriteResponse(200, nil, nil)
	}})
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, request := range rejectedRequests {
		client := server.dial()
		client.send(request.text + smuggled)
		response, body := client.readResponse()
		if response.StatusCode != request.status || body != "" || !response.Close {
			t.Errorf("%s: got status %d, body %q, Close %v, want status %d without body and Connection: close",
				name, response.StatusCode, body, response.Close, request.status)
		}
		if rest := client.readUntilClose(); rest != "" {
			t.Errorf("%s: input after the response: got %q, want none", name, rest)
		}
	}
	if len(served) > 0 {
		t.Errorf("the handler was called for %q, want no call", <-served)
	}
	if n := server.Counts().Malformed; n != int64(len(rejectedRequests)) {
		t.Errorf("Malformed: got %d, want %d", n, len(rejectedRequests))
	}
}

func TestServer_expectContinue(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	client := server.dial()
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, _ := client.input.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("response to Expect: 100-continue: got %q, want a 100 response", line)
	}
	_, _ = client.input.ReadString('\n')
	client.send("hi")
	client.expectResponse(200, "POST /a hi")
}

func TestServer_requestTimeout(t *testing.T) {
	limits := func() configuration.Limits { return configuration.Limits{HeaderTimeout: 50 * time.Millisecond} }
	server := startServer(t, Options{Handler: echo, Limits: limits})
	for _, text := range []string{"G", getRequest[:20], "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nh"} {
		client := server.dial()
		client.send(text)
		client.expectResponse(408, "")
		if rest := client.readUntilClose(); rest != "" {
			t.Errorf("input after the 408 response to %q: got %q, want none", text, rest)
		}
	}
	if n := server.Counts().TimedOut; n != 4 {
		t.Errorf("TimedOut after incomplete requests: got %d, want 4", n)
	}
	server = startServer(t, Options{Handler: echo, Limits: func() configuration.Limits { return configuration.Limits{IdleTimeout: time.Millisecond} }})
	client := server.dial()
	if rest := client.readUntilClose(); rest != "" {
		t.Errorf("input on an idle connection at its timeout: got %q, want none", rest)
	}
	if n := server.Counts().TimedOut; n != 0 {
		t.Errorf("TimedOut after the idle timeout: got %d, want 0", n)
	}
}

// streamHandler returns a handler that sends each value of the channel as a chunk. When the channel is closed, the handler
// completes the response, or aborts it if the request's path is "/break".
func streamHandler(t *testing.T, chunks *chan string) Handler {
	return func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		for chunk := range *chunks {
			if err := w.WriteChunk([]byte(chunk)); err != nil {
				t.Errorf("WriteChunk(%q): %v", chunk, err)
			}
		}
		if r.Path == "/break" {
			w.Abort()
			return
		}
		if err := w.Finish([]byte("last")); err != nil {
			t.Errorf("Finish: %v", err)
		}
		if err := w.WriteResponse(200, nil, nil); !errors.Is(err, ErrResponseWritten) {
			t.Errorf("WriteResponse after Finish: got error %v, want %v", err, ErrResponseWritten)
		}
	}
}

func TestResponseWriter_stream(t *testing.T) {
	chunks := make(chan string)
	server := startServer(t, Options{Handler: streamHandler(t, &chunks)})
	client := server.dial()
	client.send(getRequest)
	chunks <- "one"
	response, err := http.ReadResponse(client.input, nil)
	if err != nil {
		t.Fatalf("read the head of the completed stream: %v", err)
	}
	chunk := make([]byte, 3)
	for _, text := range []string{"one", "two"} {
		if text != "one" {
			chunks <- text
		}
		if _, err := io.ReadFull(response.Body, chunk); err != nil || string(chunk) != text {
			t.Fatalf("streamed chunk: got %q, error %v, want %q", chunk, err, text)
		}
	}
	close(chunks)
	if rest, err := io.ReadAll(response.Body); string(rest) != "last" || err != nil {
		t.Fatalf("rest of the stream: got %q, error %v, want %q", rest, err, "last")
	}
	chunks = make(chan string)
	client.send("GET /break HTTP/1.1\r\nHost: h\r\n\r\n")
	chunks <- "one"
	close(chunks)
	response, err = http.ReadResponse(client.input, nil)
	if err != nil {
		t.Fatalf("read the head of the aborted stream: %v", err)
	}
	if rest, err := io.ReadAll(response.Body); string(rest) != "one" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body of an aborted stream: got %q, error %v, want %q and %v", rest, err, "one", io.ErrUnexpectedEOF)
	}
	if counts := server.Counts(); counts.DuplicateResponses != 1 || counts.AbortedResponses != 1 {
		t.Errorf("counts: got %+v, want DuplicateResponses 1 and AbortedResponses 1", counts)
	}
}

// A stream to an HTTP/1.0 client is delimited by the end of the connection. When it is aborted the connection is reset, since an
// orderly close would make the response look complete.
func TestResponseWriter_streamToHTTP10Client(t *testing.T) {
	server := startServer(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		_ = w.WriteChunk([]byte("one"))
		if r.Path == "/break" {
			w.Abort()
		} else {
			_ = w.Finish([]byte("two"))
		}
	}})
	client := server.dial()
	client.send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
	client.expectResponse(200, "onetwo")
	client = server.dial()
	client.send("GET /break HTTP/1.0\r\nHost: h\r\n\r\n")
	if rest, err := io.ReadAll(client.input); err == nil {
		t.Errorf("aborted stream to an HTTP/1.0 client: got %q and an orderly close, want a reset", rest)
	}
}
