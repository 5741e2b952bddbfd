package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/internal/configuration"
)

const patience = 5 * time.Second // of a test for what must come

// world is a server on loopback with one handler.
type world struct {
	t       *testing.T
	server  *Server
	address string
}

func start(t *testing.T, options Options) *world {
	t.Helper()
	if options.Limits == nil {
		options.Limits = func() configuration.Limits { return configuration.Limits{} }
	}
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t, New(options), listener.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- w.server.Serve(listener) }()
	t.Cleanup(func() {
		_ = w.server.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return w
}

// await returns when the connections are in states that hold.
func (w *world) await(holds func(map[connState]int) bool) {
	w.t.Helper()
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		states := map[connState]int{}
		w.server.mu.Lock()
		for c := range w.server.conns {
			states[c.state]++
		}
		w.server.mu.Unlock()
		if holds(states) {
			return
		}
		runtime.Gosched()
	}
	w.t.Fatal("the connections are not in the states that the test waits for")
}

func echo(w *ResponseWriter, r *Request) {
	_ = w.Answer(200, nil, fmt.Appendf(nil, "%s %s %s", r.Method, r.Target, r.Body))
}

func (w *world) dial() *peer {
	w.t.Helper()
	socket, err := net.Dial("tcp4", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { socket.Close() })
	_ = socket.SetDeadline(time.Now().Add(patience))
	return &peer{w.t, socket.(*net.TCPConn), bufio.NewReader(socket)}
}

// peer is a client that a test scripts.
type peer struct {
	t      *testing.T
	socket *net.TCPConn
	in     *bufio.Reader
}

func (p *peer) send(text string) {
	p.t.Helper()
	if _, err := p.socket.Write([]byte(text)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) answer() (*http.Response, string) {
	p.t.Helper()
	response, err := http.ReadResponse(p.in, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return response, string(body)
}

func (p *peer) expect(status int, body string) *http.Response {
	p.t.Helper()
	response, got := p.answer()
	if response.StatusCode != status || got != body {
		p.t.Fatalf("%d %q, not %d %q", response.StatusCode, got, status, body)
	}
	return response
}

// rest reads what comes up to the connection's end.
func (p *peer) rest() string {
	p.t.Helper()
	rest, err := io.ReadAll(p.in)
	if err != nil {
		p.t.Fatalf("%q, then %v", rest, err)
	}
	return string(rest)
}

const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func TestRequestsOnOneConnection(t *testing.T) {
	w := start(t, Options{Handler: echo})
	p := w.dial()
	p.send(get)
	if h := p.expect(200, "GET /a ").Header.Get("Keep-Alive"); h != "timeout=15" {
		t.Errorf("Keep-Alive %q", h)
	}
	p.send("\r\nPOST /b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + get +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n1\r\n!\r\n0\r\nT: x\r\n\r\n" +
		"GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	p.expect(200, "POST /b?x=1 hi")
	p.expect(200, "GET /a ")
	p.expect(200, "POST /c hi!")
	if !p.expect(200, "GET /d ").Close {
		t.Error("no Connection: close")
	}
	if rest := p.rest(); rest != "" {
		t.Errorf("%q behind the last answer", rest)
	}
}

// A request is the same wherever what comes is cut.
func TestEveryCut(t *testing.T) {
	w := start(t, Options{Handler: echo})
	const text = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
	p := w.dial()
	for at := 1; at < len(text); at++ {
		p.send(text[:at])
		p.send(text[at:])
		p.expect(200, "POST /c hi!")
	}
	for i := range text {
		p.send(text[i : i+1])
	}
	p.expect(200, "POST /c hi!")
}

func TestRefusedRequests(t *testing.T) {
	ran := make(chan string, 100)
	limits := func() configuration.Limits {
		return configuration.Limits{MaxHeaderBytes: 512, MaxBodyBytes: 16}
	}
	w := start(t, Options{Limits: limits, Handler: func(w *ResponseWriter, r *Request) {
		ran <- r.Target
		_ = w.Answer(200, nil, nil)
	}})
	const head = "POST /a HTTP/1.1\r\nHost: h\r\n"
	const behind = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]struct {
		text   string
		status int
	}{
		"garbage":            {"\x16\x03\x01\x02\r\n", 400},
		"no version":         {"GET /a\r\nHost: h\r\n\r\n", 400},
		"two spaces":         {"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"other version":      {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		"no path":            {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"no host":            {"GET /a HTTP/1.1\r\n\r\n", 400},
		"two hosts":          {head + "Host: g\r\n\r\n", 400},
		"odd host":           {"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		"bare LF":            {"GET /a HTTP/1.1\nHost: h\n\n", 400},
		"LF in header":       {head + "A: b\nContent-Length: 3\r\n\r\n", 400},
		"bare CR":            {head + "A: b\rC: d\r\n\r\n", 400},
		"NUL":                {head + "A: b\x00\r\n\r\n", 400},
		"folded":             {head + "A: b\r\n c\r\n\r\n", 400},
		"space before colon": {head + "Content-Length : 5\r\n\r\n", 400},
		"no colon":           {head + "Content-Length\r\n\r\n", 400},
		"two lengths":        {head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
		"list of lengths":    {head + "Content-Length: 5, 5\r\n\r\n", 400},
		"signed length":      {head + "Content-Length: +5\r\n\r\n", 400},
		"length and chunks":  {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunks and length":  {head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400},
		"other coding":       {head + "Transfer-Encoding: xchunked\r\n\r\n", 400},
		"two codings":        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
		"coding with tab":    {head + "Transfer-Encoding: chunked\x0b\r\n\r\n", 400},
		"old and chunked":    {"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunk size":         {head + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n", 400},
		"chunk size space":   {head + "Transfer-Encoding: chunked\r\n\r\n2 \r\nhi\r\n0\r\n\r\n", 400},
		"chunk size LF":      {head + "Transfer-Encoding: chunked\r\n\r\n2\nhi\r\n0\r\n\r\n", 400},
		"chunk end":          {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n0\r\n\r\n", 400},
		"trailer":            {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nno trailer\r\n\r\n", 400},
		"long header":        {head + "A: " + strings.Repeat("a", 512) + "\r\n\r\n", 431},
		"long line":          {"GET /" + strings.Repeat("a", 512), 431},
		"long body":          {head + "Content-Length: 17\r\n\r\n", 413},
		"huge body":          {head + "Content-Length: 99999999999\r\n\r\n", 413},
		"long chunk":         {head + "Transfer-Encoding: chunked\r\n\r\n11\r\n", 413},
		"long chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + strings.Repeat("a", 16) + "\r\n1\r\na\r\n", 413},
	}
	for name, c := range cases {
		p := w.dial()
		p.send(c.text + behind)
		response, body := p.answer()
		if response.StatusCode != c.status || body != "" || !response.Close {
			t.Errorf("%s: %d %q", name, response.StatusCode, body)
		}
		if rest := p.rest(); rest != "" {
			t.Errorf("%s: then %q", name, rest)
		}
	}
	if len(ran) > 0 {
		t.Errorf("served: %s", <-ran)
	}
	if n := w.server.Counts().Malformed; n != int64(len(cases)) {
		t.Errorf("%d malformed of %d", n, len(cases))
	}
}

func TestExpectContinue(t *testing.T) {
	w := start(t, Options{Handler: echo})
	p := w.dial()
	p.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, _ := p.in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q", line)
	}
	_, _ = p.in.ReadString('\n')
	p.send("hi")
	p.expect(200, "POST /a hi")
}

func TestLateRequests(t *testing.T) {
	limits := func() configuration.Limits {
		return configuration.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Millisecond}
	}
	w := start(t, Options{Handler: echo, Limits: limits})
	for _, text := range []string{"G", get[:20], "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nh"} {
		p := w.dial()
		p.send(text)
		p.expect(408, "")
		if rest := p.rest(); rest != "" {
			t.Errorf("then %q", rest)
		}
	}
	silent := w.dial()
	if rest := silent.rest(); rest != "" {
		t.Errorf("a silent connection is told %q", rest)
	}
	if n := w.server.Counts().TimedOut; n != 4 {
		t.Errorf("%d timed out", n)
	}
}

func TestStream(t *testing.T) {
	next := make(chan string)
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		_ = w.Begin(200, nil)
		for piece := range next {
			if err := w.Event([]byte(piece)); err != nil {
				t.Error(err)
			}
		}
		if r.Path == "/break" {
			w.Break()
			return
		}
		if err := w.Finish([]byte("last")); err != nil {
			t.Error(err)
		}
		if err := w.Answer(200, nil, nil); err != ErrAnswered {
			t.Errorf("a second answer: %v", err)
		}
	}})
	p := w.dial()
	p.send(get)
	next <- "one"
	response, err := http.ReadResponse(p.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	piece := make([]byte, 3)
	for _, text := range []string{"one", "two"} {
		if text != "one" {
			next <- text
		}
		if _, err := io.ReadFull(response.Body, piece); err != nil || string(piece) != text {
			t.Fatalf("%q, %v", piece, err)
		}
	}
	close(next)
	if rest, err := io.ReadAll(response.Body); string(rest) != "last" || err != nil {
		t.Fatalf("%q, %v", rest, err)
	}
	next = make(chan string)
	p.send("GET /break HTTP/1.1\r\nHost: h\r\n\r\n")
	next <- "one"
	close(next)
	response, err = http.ReadResponse(p.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(response.Body); string(rest) != "one" || err != io.ErrUnexpectedEOF {
		t.Errorf("%q, %v", rest, err)
	}
	if n := w.server.Counts(); n.SecondAnswers != 1 || n.Broken != 1 {
		t.Errorf("%+v", n)
	}
}

// A stream to a client of HTTP/1.0 ends with the connection; one broken off is reset, as its end would look whole.
func TestOldClient(t *testing.T) {
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		_ = w.Begin(200, nil)
		_ = w.Event([]byte("one"))
		if r.Path == "/break" {
			w.Break()
		} else {
			_ = w.Finish([]byte("two"))
		}
	}})
	p := w.dial()
	p.send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
	p.expect(200, "onetwo")
	p = w.dial()
	p.send("GET /break HTTP/1.0\r\nHost: h\r\n\r\n")
	if rest, err := io.ReadAll(p.in); err == nil {
		t.Errorf("%q looks complete", rest)
	}
}

func TestClientLeaves(t *testing.T) {
	for _, reset := range []bool{false, true} {
		began, ended := make(chan bool), make(chan error)
		w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
			began <- true
			<-r.Context.Done()
			ended <- w.Answer(200, nil, nil)
		}})
		p := w.dial()
		p.send(get + "GET /early") // what comes early must not hide the end
		<-began
		if reset {
			_ = p.socket.SetLinger(0)
		}
		p.socket.Close()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("the handler does not hear of it")
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if err := w.server.Wait(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		if n := w.server.Counts(); n.Unanswered != 0 {
			t.Errorf("%+v", n)
		}
	}
}

func TestHandlerWithoutAnswer(t *testing.T) {
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/panic" {
			panic("as the test wants")
		}
	}})
	p := w.dial()
	p.send(get)
	p.expect(500, "")
	p.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(500, "")
	if n := w.server.Counts().Unanswered; n != 2 {
		t.Errorf("%d unanswered", n)
	}
}

func TestFull(t *testing.T) {
	hold := make(chan bool)
	var ahead atomic.Int64 // of the clock
	clock := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	w := start(t, Options{MaxConnections: 2, Now: clock, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			<-hold
		}
		_ = w.Answer(200, nil, nil)
	}})
	defer close(hold)
	first, second := w.dial(), w.dial()
	first.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	second.send(get)
	second.expect(200, "")
	w.await(func(states map[connState]int) bool { return states[idle] == 1 })
	ahead.Store(int64(time.Second))
	third := w.dial() // takes the place of the idle second
	third.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	if rest := second.rest(); rest != "" {
		t.Errorf("the evicted one is told %q", rest)
	}
	w.await(func(states map[connState]int) bool { return states[working] == 2 })
	fourth := w.dial()
	if r := fourth.expect(503, ""); r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("%v", r.Header)
	}
	if n := w.server.Counts(); n.Refused != 1 || n.Evicted != 1 {
		t.Errorf("%+v", n)
	}
}

func TestDrain(t *testing.T) {
	began, hold := make(chan bool), make(chan bool)
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if r.Path == "/hold" {
			began <- true
			<-hold
		}
		_ = w.Answer(200, nil, nil)
	}})
	resting, busy := w.dial(), w.dial()
	resting.send(get)
	resting.expect(200, "")
	busy.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	w.server.Drain(100 * time.Millisecond)
	fresh := w.dial()
	fresh.send(get)
	if !fresh.expect(200, "").Close {
		t.Error("the connection is kept")
	}
	if rest := resting.rest(); rest != "" {
		t.Errorf("%q", rest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.server.Wait(ctx); err != context.Canceled {
		t.Errorf("Wait: %v", err)
	}
	close(hold)
	if !busy.expect(200, "").Close {
		t.Error("the connection is kept")
	}
	busy.socket.Close()
	fresh.socket.Close()
	ctx, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := w.server.Wait(ctx); err != nil {
		t.Errorf("Wait: %v", err)
	}
}

// A client that does not read holds its own answer only.
func TestClientThatDoesNotRead(t *testing.T) {
	failed := make(chan error, 1)
	big := bytes.Repeat([]byte("x"), 1<<20)
	w := start(t, Options{WriteTimeout: 100 * time.Millisecond, Handler: func(w *ResponseWriter, r *Request) {
		if r.Path != "/stream" {
			_ = w.Answer(200, nil, nil)
			return
		}
		_ = w.Begin(200, nil)
		for {
			if err := w.Event(big); err != nil {
				failed <- err
				return
			}
		}
	}})
	stuck, other := w.dial(), w.dial()
	stuck.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	other.send(get)
	other.expect(200, "")
	select {
	case <-failed:
	case <-time.After(patience):
		t.Fatal("the write does not end")
	}
}

func TestLargeAnswer(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 1<<20)
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		if !bytes.Equal(r.Body, big) {
			t.Errorf("%d bytes", len(r.Body))
		}
		_ = w.Answer(200, nil, big)
	}})
	p := w.dial()
	p.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(big), big))
	p.expect(200, string(big))
}

func TestBodyBudget(t *testing.T) {
	w := start(t, Options{Handler: echo, BodyBudget: firstBody})
	p := w.dial()
	p.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*firstBody, strings.Repeat("x", 2*firstBody)))
	p.expect(503, "")
	p = w.dial()
	p.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	p.expect(200, "POST /a hi")
	p.send(get)
	p.expect(200, "GET /a ")
	if held := w.server.bodyBytes.Load(); held != 0 {
		t.Errorf("%d bytes held", held)
	}
}

func TestFieldsOfOneConnection(t *testing.T) {
	w := start(t, Options{Handler: func(w *ResponseWriter, r *Request) {
		var names []string
		for _, f := range r.Fields {
			names = append(names, f.Name)
		}
		_ = w.Answer(200, append(r.Fields, r.Fields...), []byte(strings.Join(names, " ")))
	}})
	p := w.dial()
	p.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Own, host\r\nX-Own: 1\r\nTE: x\r\nProxy-A: b\r\nX-Id: 7\r\n\r\n")
	p.expect(200, "Host X-Id")
}

func TestReadiness(t *testing.T) {
	ready := false
	w := start(t, Options{Handler: Readiness(func() bool { return ready })})
	p := w.dial()
	p.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(503, "")
	ready = true
	p.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	p.expect(200, "")
	p.send(get)
	p.expect(404, "")
}
