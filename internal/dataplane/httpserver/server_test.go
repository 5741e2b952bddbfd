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
	if h := client.expect(200, "GET /a ").Header.Get("Keep-Alive"); h != "timeout=15" {
		t.Errorf("Keep-Alive %q", h)
	}
	client.send("\r\nPOST /b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + getRequest +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n1\r\n!\r\n0\r\nT: x\r\n\r\n" +
		"GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	client.expect(200, "POST /b?x=1 hi")
	client.expect(200, "GET /a ")
	client.expect(200, "POST /c hi!")
	if !client.expect(200, "GET /d ").Close {
		t.Error("no Connection: close")
	}
	if rest := client.readToEnd(); rest != "" {
		t.Errorf("%q after the last response", rest)
	}
}

// A request is read alike wherever the received bytes are split.
func TestServer_requestSplitAnywhere(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	const text = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
	client := server.dial()
	for at := 1; at < len(text); at++ {
		client.send(text[:at])
		client.send(text[at:])
		client.expect(200, "POST /c hi!")
	}
	for i := range text {
		client.send(text[i : i+1])
	}
	client.expect(200, "POST /c hi!")
}

const postHead = "POST /a HTTP/1.1\r\nHost: h\r\n"

// rejectedRequests are requests that are rejected, by name, with the status of the response.
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
	"two hosts":          {postHead + "Host: g\r\n\r\n", 400},
	"odd host":           {"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
	"bare LF":            {"GET /a HTTP/1.1\nHost: h\n\n", 400},
	"LF in header":       {postHead + "A: b\nContent-Length: 3\r\n\r\n", 400},
	"bare CR":            {postHead + "A: b\rC: d\r\n\r\n", 400},
	"NUL":                {postHead + "A: b\x00\r\n\r\n", 400},
	"folded":             {postHead + "A: b\r\n c\r\n\r\n", 400},
	"space before colon": {postHead + "Content-Length : 5\r\n\r\n", 400},
	"no colon":           {postHead + "Content-Length\r\n\r\n", 400},
	"two lengths":        {postHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
	"list of lengths":    {postHead + "Content-Length: 5, 5\r\n\r\n", 400},
	"signed length":      {postHead + "Content-Length: +5\r\n\r\n", 400},
	"length and chunks":  {postHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	"chunks and length":  {postHead + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400},
	"other coding":       {postHead + "Transfer-Encoding: xchunked\r\n\r\n", 400},
	"two codings":        {postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
	"coding with tab":    {postHead + "Transfer-Encoding: chunked\x0b\r\n\r\n", 400},
	"old and chunked":    {"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	"chunk size":         {postHead + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n", 400},
	"chunk size space":   {postHead + "Transfer-Encoding: chunked\r\n\r\n2 \r\nhi\r\n0\r\n\r\n", 400},
	"chunk size LF":      {postHead + "Transfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", 400},
	"chunk end":          {postHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n", 400},
	"trailer":            {postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nno trailer\r\n\r\n", 400},
	"long header":        {postHead + "A: " + strings.Repeat("a", 512) + "\r\n\r\n", 431},
	"long line":          {"GET /" + strings.Repeat("a", 512), 431},
	"long body":          {postHead + "Content-Length: 17\r\n\r\n", 413},
	"huge body":          {postHead + "Content-Length: 99999999999\r\n\r\n", 413},
	"long chunk":         {postHead + "Transfer-Encoding: chunked\r\n\r\n11\r\n", 413},
	"long chunks":        {postHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + strings.Repeat("a", 16) + "\r\n1\r\na\r\n", 413},
}

func TestServer_rejectedRequests(t *testing.T) {
	ran := make(chan string, 100)
	limits := func() configuration.Limits {
		return configuration.Limits{MaxHeaderBytes: 512, MaxBodyBytes: 16}
	}
	server := startServer(t, Options{Limits: limits, Handler: func(w *ResponseWriter, r *Request) {
		ran <- r.Target
		_ = w.WriteResponse(200, nil, nil)
	}})
	const behind = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range rejectedRequests {
		client := server.dial()
		client.send(c.text + behind)
		response, body := client.readResponse()
		if response.StatusCode != c.status || body != "" || !response.Close {
			t.Errorf("%s: %d %q", name, response.StatusCode, body)
		}
		if rest := client.readToEnd(); rest != "" {
			t.Errorf("%s: then %q", name, rest)
		}
	}
	if len(ran) > 0 {
		t.Errorf("served: %s", <-ran)
	}
	if n := server.Counts().Malformed; n != int64(len(rejectedRequests)) {
		t.Errorf("%d malformed of %d", n, len(rejectedRequests))
	}
}

func TestServer_expectContinue(t *testing.T) {
	server := startServer(t, Options{Handler: echo})
	client := server.dial()
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, _ := client.input.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q", line)
	}
	_, _ = client.input.ReadString('\n')
	client.send("hi")
	client.expect(200, "POST /a hi")
}

func TestServer_requestTimeout(t *testing.T) {
	limits := func() configuration.Limits { return configuration.Limits{HeaderTimeout: 50 * time.Millisecond} }
	server := startServer(t, Options{Handler: echo, Limits: limits})
	for _, text := range []string{"G", getRequest[:20], "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nh"} {
		client := server.dial()
		client.send(text)
		client.expect(408, "")
		if rest := client.readToEnd(); rest != "" {
			t.Errorf("then %q", rest)
		}
	}
	if n := server.Counts().TimedOut; n != 4 {
		t.Errorf("%d timed out", n)
	}
	server = startServer(t, Options{Handler: echo, Limits: func() configuration.Limits { return configuration.Limits{IdleTimeout: time.Millisecond} }})
	silent := server.dial()
	if rest := silent.readToEnd(); rest != "" {
		t.Errorf("a silent connection got %q", rest)
	}
	if n := server.Counts().TimedOut; n != 0 {
		t.Errorf("%d timed out", n)
	}
}

// streamHandler returns a handler that sends each value of the channel as a chunk, and at its end finishes the response, or aborts it
// on the path "/break".
func streamHandler(t *testing.T, next *chan string) Handler {
	return func(w *ResponseWriter, r *Request) {
		_ = w.WriteHeader(200, nil)
		for chunk := range *next {
			if err := w.WriteChunk([]byte(chunk)); err != nil {
				t.Error(err)
			}
		}
		if r.Path == "/break" {
			w.Abort()
			return
		}
		if err := w.Finish([]byte("last")); err != nil {
			t.Error(err)
		}
		if err := w.WriteResponse(200, nil, nil); !errors.Is(err, ErrAlreadyAnswered) {
			t.Errorf("a second response: %v", err)
		}
	}
}

func TestResponseWriter_stream(t *testing.T) {
	next := make(chan string)
	server := startServer(t, Options{Handler: streamHandler(t, &next)})
	client := server.dial()
	client.send(getRequest)
	next <- "one"
	response, err := http.ReadResponse(client.input, nil)
	if err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 3)
	for _, text := range []string{"one", "two"} {
		if text != "one" {
			next <- text
		}
		if _, err := io.ReadFull(response.Body, chunk); err != nil || string(chunk) != text {
			t.Fatalf("%q, %v", chunk, err)
		}
	}
	close(next)
	if rest, err := io.ReadAll(response.Body); string(rest) != "last" || err != nil {
		t.Fatalf("%q, %v", rest, err)
	}
	next = make(chan string)
	client.send("GET /break HTTP/1.1\r\nHost: h\r\n\r\n")
	next <- "one"
	close(next)
	response, err = http.ReadResponse(client.input, nil)
	if err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(response.Body); string(rest) != "one" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v", rest, err)
	}
	if counts := server.Counts(); counts.DuplicateResponses != 1 || counts.AbortedResponses != 1 {
		t.Errorf("%+v", counts)
	}
}

// A stream to an HTTP/1.0 client ends with the connection; an aborted one is reset, as an orderly end would look complete.
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
	client.expect(200, "onetwo")
	client = server.dial()
	client.send("GET /break HTTP/1.0\r\nHost: h\r\n\r\n")
	if rest, err := io.ReadAll(client.input); err == nil {
		t.Errorf("%q looks complete", rest)
	}
}
