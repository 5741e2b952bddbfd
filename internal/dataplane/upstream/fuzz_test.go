package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/dataplane/upstream/upstreamtest"
	"ospreybend/internal/util/http1"
)

const (
	fuzzRequests = 6 // of one run, one after the other on one pool
	maxFuzzReads = 4 // at most, of what comes back for one request
)

// byteSource is a run that is read off drawn bytes; behind their end all are 0.
type byteSource struct{ data []byte }

func (p *byteSource) next() int {
	if len(p.data) == 0 {
		return 0
	}
	b := p.data[0]
	p.data = p.data[1:]
	return int(b)
}

func (p *byteSource) below(n int) int { return p.next() % n }

// bytes takes some bytes as they are. They begin no answer, as whatever they made of the next one could not be told from an answer.
func (p *byteSource) bytes() string {
	n := min(p.below(40), len(p.data))
	raw := p.data[:n]
	p.data = p.data[n:]
	return strings.ReplaceAll(string(raw), "HTTP/", "HTTQ/")
}

// randomWorker answers as a program says, and keeps what it has really answered.
type randomWorker struct {
	program  *byteSource
	serial   int
	complete map[string][]string // by request: the bodies of whole answers
	begun    map[string][]string // and of those that may have been cut
	rejected map[string]bool     // requests to whom it was said that they have not run
}

func newRandomWorker(data []byte) *randomWorker {
	return &randomWorker{program: &byteSource{data}, complete: map[string][]string{}, begun: map[string][]string{}, rejected: map[string]bool{}}
}

// responseDraft is one answer.
type responseDraft struct {
	id       string
	head     string
	body     string // as the client is to have it
	text     string // as it is sent, behind the head
	toEnd    bool
	rejected bool
}

// exchanges draws the turns of a connection.
func (w *randomWorker) exchanges(int) []upstreamtest.Exchange {
	var turns []upstreamtest.Exchange
	for range fuzzRequests + 1 {
		turns = append(turns, w.nextExchange())
	}
	return turns
}

// nextExchange draws how much of a request is taken. What comes back is drawn once it is asked.
func (w *randomWorker) nextExchange() upstreamtest.Exchange {
	turn := upstreamtest.Exchange{}
	if how := w.program.below(12); how <= int(upstreamtest.WriteBlocked) {
		turn.Write = upstreamtest.WriteMode(how)
	}
	for range w.program.below(8) {
		turn.ReadSizes = append(turn.ReadSizes, w.program.next())
	}
	turn.End = upstreamtest.ConnEnd(w.program.below(3))
	if turn.Write == upstreamtest.WritePartOfBody { // a connection that takes no more has ended
		turn.End = max(turn.End, upstreamtest.FIN)
	}
	end := turn.End
	if turn.Write != upstreamtest.WriteAll { // nor has one that takes no more ended in order
		end = upstreamtest.Reset
	}
	turn.Respond = func(request upstreamtest.Request) string { return w.answer(request.ID, end) }
	return turn
}

// answer draws what comes back, up to an end of which the connection knows.
func (w *randomWorker) answer(id string, end upstreamtest.ConnEnd) string {
	text := ""
	for range w.program.below(maxFuzzReads + 1) {
		switch kind := w.program.below(10); kind {
		case 0:
			text += w.program.bytes()
		case 1:
			text += "HTTP/1.1 100 Continue\r\n\r\n"
		case 2:
			d := w.draft(w.anotherID(id))
			if d.toEnd {
				return text + d.head + d.text
			}
			text += d.head + d.text
		case 3:
			return text + w.truncate(w.draft(id), end)
		default:
			d := w.draft(id)
			text += d.head + d.text
			w.recordResponse(d, end)
			if d.toEnd {
				return text
			}
		}
	}
	return text
}

// recordResponse keeps an answer that is not cut.
func (w *randomWorker) recordResponse(draft responseDraft, end upstreamtest.ConnEnd) {
	w.begun[draft.id] = append(w.begun[draft.id], draft.body)
	if !draft.toEnd || end == upstreamtest.FIN {
		w.complete[draft.id] = append(w.complete[draft.id], draft.body)
	}
	w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
}

// truncate is a part of an answer that misses its last byte at least. Behind it nothing comes.
func (w *randomWorker) truncate(draft responseDraft, end upstreamtest.ConnEnd) string {
	text := draft.head + draft.text
	if draft.toEnd {
		text += "?"
		draft.body += "?"
	}
	at := (w.program.next()<<8 + w.program.next()) % len(text)
	w.begun[draft.id] = append(w.begun[draft.id], draft.body)
	if at >= len(draft.head) {
		w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
		if draft.toEnd && end == upstreamtest.FIN { // nobody can tell it from a whole one
			w.complete[draft.id] = append(w.complete[draft.id], text[len(draft.head):at])
		}
	}
	return text[:at]
}

// anotherID draws the id of an earlier request, of none that was made, none, or two. A worker cannot know that of a later one.
func (w *randomWorker) anotherID(id string) string {
	switch other := w.program.below(fuzzRequests + 3); {
	case other == fuzzRequests:
		return ""
	case other == fuzzRequests+1:
		return id + "\r\nX-Request-Id: " + id
	case requestID(other) < id:
		return requestID(other)
	default:
		return "f"
	}
}

func requestID(number int) string { return fmt.Sprintf("9c41d07be2a35f6%d", number) }

// draft draws an answer that is sent for an id. Its body names the id and bears a number of its own.
func (w *randomWorker) draft(id string) responseDraft {
	w.serial++
	d := responseDraft{id: id, body: fmt.Sprintf("<%s/%d>", id, w.serial)}
	head := &strings.Builder{}
	head.WriteString([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Oh\r\n", "HTTP/1.1 503 Odd\r\n", "HTTP/1.0 200 OK\r\n"}[w.program.below(4)])
	switch w.program.below(8) {
	case 0:
		head.Reset()
		head.WriteString("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n")
		d.rejected = true
	case 1:
		head.Reset()
		head.WriteString("HTTP/1.1 421 No\r\n")
		d.rejected = true
	case 2, 3:
		head.WriteString("content-type: text/event-stream\r\n")
		d.body = fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", d.body, d.body)
	}
	if id != "" {
		head.WriteString("X-Request-Id: " + id + "\r\n")
	}
	if w.program.below(8) == 0 {
		head.WriteString("Connection: close\r\n")
	}
	framing, text := w.frame(d.body, strings.HasPrefix(head.String(), "HTTP/1.0"))
	d.head, d.text, d.toEnd = head.String()+framing+"\r\n", text, framing == ""
	return d
}

// frame draws how a body is delimited.
func (w *randomWorker) frame(body string, old bool) (fields, text string) {
	switch kind := w.program.below(3); {
	case kind == 0 || kind == 1 && old:
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	case kind == 1:
		at := w.program.below(len(body)-1) + 1
		return "Transfer-Encoding: chunked\r\n", upstreamtest.Chunk(body[:at]) + upstreamtest.Chunk(body[at:]) + "0\r\n\r\n"
	default:
		return "", body
	}
}

// FuzzPool_RoundTrip lets a worker send anything, cut anywhere, and end connections at any byte, while requests follow one another on
// a pool. No byte of one answer reaches another request, and no whole answer is made of one that is not.
func FuzzPool_RoundTrip(f *testing.F) {
	random := rand.New(rand.NewSource(42))
	for range 300 {
		data := make([]byte, random.Intn(400))
		_, _ = random.Read(data)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) { runRandomWorker(t, data) })
	})
}

// TestPool_RoundTrip_randomWorkers plays what FuzzExchange plays, with a fixed seed.
func TestPool_RoundTrip_randomWorkers(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for n := range 4000 {
		data := make([]byte, random.Intn(600))
		_, _ = random.Read(data)
		synctest.Test(t, func(t *testing.T) {
			runRandomWorker(t, data)
			if t.Failed() {
				t.Fatalf("run %d: %x", n, data)
			}
		})
	}
}

func runRandomWorker(t *testing.T, data []byte) {
	drawn := newRandomWorker(data)
	workers := upstreamtest.NewWorkers()
	workers.Script(workerAddress, drawn.exchanges)
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	for number := range fuzzRequests {
		drawn.request(t, pool, number)
		if drawn.program.below(6) == 0 { // while the connections rest
			for _, conn := range workers.Conns(workerAddress) {
				late := drawn.draft(requestID(number))
				conn.SendUnsolicited(drawn.truncate(late, upstreamtest.KeepOpen))
			}
		}
	}
	pool.Close()
	if open := pool.Counts().Open; open != 0 {
		t.Errorf("%d connections are left open", open)
	}
	drawn.checkArrivals(t, workers.Conns(workerAddress))
}

// request makes a request and compares its answer with those that were given.
func (w *randomWorker) request(t *testing.T, pool *upstream.Pool, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	size := 5
	if w.program.below(3) == 0 {
		size = 10 << 10 // is written while the answer is awaited
	}
	id := requestID(number)
	response, failure := pool.RoundTrip(ctx, &upstream.Request{Address: workerAddress, Method: "POST", Target: "/", StreamEvents: true,
		Body:   bytes.Repeat([]byte{byte('a' + number)}, size),
		Header: http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Request-Id", Value: id}}})
	switch {
	case failure != nil:
		return
	case response.Result != upstream.Answered:
		if !w.rejected[id] {
			t.Errorf("request %s is said not to have run: %+v", id, response)
		}
	case response.Stream == nil:
		if !slices.Contains(w.complete[id], string(response.Body)) {
			t.Errorf("request %s got %q, not of %q", id, response.Body, w.complete[id])
		}
	default:
		w.readEvents(t, id, response.Stream)
	}
}

// readEvents reads a stream: only whole events of one answer, and its end only behind all of them.
func (w *randomWorker) readEvents(t *testing.T, id string, stream *upstream.Stream) {
	defer stream.Close()
	got := ""
	var err error
	for err == nil {
		var batch *upstream.Batch
		if batch, err = stream.Next(); err == nil {
			got += string(batch.Raw)
		}
	}
	part := func(body string) bool { return strings.HasPrefix(body, got) }
	switch {
	case got != "" && !strings.HasSuffix(got, "\n\n"):
		t.Errorf("request %s got the part of an event: %q", id, got)
	case err == io.EOF && !slices.Contains(w.complete[id], got):
		t.Errorf("request %s got the stream %q, not of %q", id, got, w.complete[id])
	case err != io.EOF && !slices.ContainsFunc(w.begun[id], part):
		t.Errorf("request %s got the events %q, not of %q", id, got, w.begun[id])
	}
}

// checkArrivals looks at what came to the worker: each request once at most, and none with another's bytes.
func (w *randomWorker) checkArrivals(t *testing.T, conns []*upstreamtest.Conn) {
	count := map[string]int{}
	for _, conn := range conns {
		for _, request := range conn.Requests() {
			if request.Head == "" {
				continue
			}
			count[request.ID]++
			own := bytes.Count(request.Body, []byte{'a' + request.ID[len(request.ID)-1] - '0'})
			if own != len(request.Body) {
				t.Errorf("request %s came with %d of %d bytes of others", request.ID, len(request.Body)-own, len(request.Body))
			}
		}
	}
	for id, n := range count {
		if n > 1 {
			t.Errorf("request %s came %d times", id, n)
		}
	}
}
