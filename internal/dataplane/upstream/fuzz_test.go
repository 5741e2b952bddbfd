package upstream_test

import (
	"bytes"
	"context"
	"errors"
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
	requestsPerRun = 6 // one after the other on one pool
	maxFuzzReads   = 4 // parts of a response to one request
)

// byteSource derives a run's choices from random bytes; after their end all are 0.
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

// bytes returns some bytes unchanged. They contain no status line: together with the next response they could be a valid one.
func (p *byteSource) bytes() string {
	n := min(p.below(40), len(p.data))
	raw := p.data[:n]
	p.data = p.data[n:]
	return strings.ReplaceAll(string(raw), "HTTP/", "HTTQ/")
}

// randomWorker responds at random, and records its responses.
type randomWorker struct {
	source   *byteSource
	serial   int
	complete map[string][]string // by request: the bodies of complete responses
	partial  map[string][]string // and of those that may have been truncated
	rejected map[string]bool     // requests that were answered as not executed
}

func newRandomWorker(data []byte) *randomWorker {
	return &randomWorker{source: &byteSource{data}, complete: map[string][]string{}, partial: map[string][]string{}, rejected: map[string]bool{}}
}

// responseDraft is one response.
type responseDraft struct {
	id         string
	head       string
	body       string // as the client must get it
	text       string // as sent, with its framing
	untilClose bool
	rejected   bool
}

// exchanges chooses the exchanges of a connection.
func (w *randomWorker) exchanges(int) []upstreamtest.Exchange {
	var exchanges []upstreamtest.Exchange
	for range requestsPerRun + 1 {
		exchanges = append(exchanges, w.nextExchange())
	}
	return exchanges
}

// nextExchange chooses how much of a request is accepted. The response is chosen when the request has come.
func (w *randomWorker) nextExchange() upstreamtest.Exchange {
	exchange := upstreamtest.Exchange{}
	if how := w.source.below(12); how <= int(upstreamtest.WriteBlocked) {
		exchange.Write = upstreamtest.WriteMode(how)
	}
	for range w.source.below(8) {
		exchange.ReadSizes = append(exchange.ReadSizes, w.source.next())
	}
	exchange.End = upstreamtest.ConnEnd(w.source.below(3))
	if exchange.Write == upstreamtest.WritePartOfBody { // a connection that accepts no more has ended
		exchange.End = max(exchange.End, upstreamtest.FIN)
	}
	end := exchange.End
	if exchange.Write != upstreamtest.WriteAll { // and not in order
		end = upstreamtest.Reset
	}
	exchange.Respond = func(request upstreamtest.Request) string { return w.nextResponse(request.ID, end) }
	return exchange
}

// nextResponse chooses the response, up to the given end of the connection.
func (w *randomWorker) nextResponse(id string, end upstreamtest.ConnEnd) string {
	text := ""
	for range w.source.below(maxFuzzReads + 1) {
		switch kind := w.source.below(10); kind {
		case 0:
			text += w.source.bytes()
		case 1:
			text += "HTTP/1.1 100 Continue\r\n\r\n"
		case 2:
			d := w.newDraft(w.anotherID(id))
			if d.untilClose {
				return text + d.head + d.text
			}
			text += d.head + d.text
		case 3:
			return text + w.truncate(w.newDraft(id), end)
		default:
			d := w.newDraft(id)
			text += d.head + d.text
			w.recordResponse(d, end)
			if d.untilClose {
				return text
			}
		}
	}
	return text
}

// recordResponse records a response that is not truncated.
func (w *randomWorker) recordResponse(draft responseDraft, end upstreamtest.ConnEnd) {
	w.partial[draft.id] = append(w.partial[draft.id], draft.body)
	if !draft.untilClose || end == upstreamtest.FIN {
		w.complete[draft.id] = append(w.complete[draft.id], draft.body)
	}
	w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
}

// truncate returns a part of a response, without its last byte at least. Nothing must follow it.
func (w *randomWorker) truncate(draft responseDraft, end upstreamtest.ConnEnd) string {
	text := draft.head + draft.text
	if draft.untilClose {
		text += "?"
		draft.body += "?"
	}
	at := (w.source.next()<<8 + w.source.next()) % len(text)
	w.partial[draft.id] = append(w.partial[draft.id], draft.body)
	if at >= len(draft.head) {
		w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
		if draft.untilClose && end == upstreamtest.FIN { // it cannot be told from a complete one
			w.complete[draft.id] = append(w.complete[draft.id], text[len(draft.head):at])
		}
	}
	return text[:at]
}

// anotherID chooses the ID of an earlier request, of none that was sent, none, or two. A worker cannot know that of a later one.
func (w *randomWorker) anotherID(id string) string {
	switch other := w.source.below(requestsPerRun + 3); {
	case other == requestsPerRun:
		return ""
	case other == requestsPerRun+1:
		return id + "\r\nX-Request-Id: " + id
	case requestID(other) < id:
		return requestID(other)
	default:
		return "f"
	}
}

func requestID(number int) string { return fmt.Sprintf("9c41d07be2a35f6%d", number) }

// newDraft chooses a response for an ID. Its body has the ID and a serial number.
func (w *randomWorker) newDraft(id string) responseDraft {
	w.serial++
	d := responseDraft{id: id, body: fmt.Sprintf("<%s/%d>", id, w.serial)}
	head := &strings.Builder{}
	head.WriteString([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Oh\r\n", "HTTP/1.1 503 Odd\r\n", "HTTP/1.0 200 OK\r\n"}[w.source.below(4)])
	switch w.source.below(8) {
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
	if w.source.below(8) == 0 {
		head.WriteString("Connection: close\r\n")
	}
	framing, text := w.chooseFraming(d.body, strings.HasPrefix(head.String(), "HTTP/1.0"))
	d.head, d.text, d.untilClose = head.String()+framing+"\r\n", text, framing == ""
	return d
}

// chooseFraming chooses how a body is delimited.
func (w *randomWorker) chooseFraming(body string, old bool) (fields, text string) {
	switch kind := w.source.below(3); {
	case kind == 0 || kind == 1 && old:
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	case kind == 1:
		at := w.source.below(len(body)-1) + 1
		return "Transfer-Encoding: chunked\r\n", upstreamtest.Chunk(body[:at]) + upstreamtest.Chunk(body[at:]) + "0\r\n\r\n"
	default:
		return "", body
	}
}

// FuzzPool_RoundTrip has a worker send anything, split anywhere, and end connections at any byte, while requests follow one another on
// a pool. No byte of one response must reach another request, and no incomplete response must look complete.
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

// TestPool_RoundTrip_randomWorkers runs FuzzPool_RoundTrip on random inputs with a fixed seed.
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
	worker := newRandomWorker(data)
	workers := upstreamtest.NewWorkers()
	workers.Script(workerAddress, worker.exchanges)
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	for number := range requestsPerRun {
		worker.request(t, pool, number)
		if worker.source.below(6) == 0 { // while the connections are idle
			for _, conn := range workers.Conns(workerAddress) {
				late := worker.newDraft(requestID(number))
				conn.SendUnsolicited(worker.truncate(late, upstreamtest.KeepOpen))
			}
		}
	}
	pool.Close()
	if open := pool.Counts().Open; open != 0 {
		t.Errorf("%d connections are still open", open)
	}
	worker.checkArrivals(t, workers.Conns(workerAddress))
}

// request sends a request and compares its response with those that were sent.
func (w *randomWorker) request(t *testing.T, pool *upstream.Pool, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	size := 5
	if w.source.below(3) == 0 {
		size = 10 << 10 // written while the response is awaited
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
			t.Errorf("request %s is reported as not executed: %+v", id, response)
		}
	case response.Stream == nil:
		if !slices.Contains(w.complete[id], string(response.Body)) {
			t.Errorf("request %s got %q, not of %q", id, response.Body, w.complete[id])
		}
	default:
		w.readEvents(t, id, response.Stream)
	}
}

// readEvents reads a stream and checks that it gets only complete events of one response, and the end only after all of them.
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
		t.Errorf("request %s got a part of an event: %q", id, got)
	case errors.Is(err, io.EOF) && !slices.Contains(w.complete[id], got):
		t.Errorf("request %s got the stream %q, not of %q", id, got, w.complete[id])
	case !errors.Is(err, io.EOF) && !slices.ContainsFunc(w.partial[id], part):
		t.Errorf("request %s got the events %q, not of %q", id, got, w.partial[id])
	}
}

// checkArrivals checks what the worker received: each request once at most, and none with another's bytes.
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
				t.Errorf("request %s was received with %d of %d bytes of others", request.ID, len(request.Body)-own, len(request.Body))
			}
		}
	}
	for id, n := range count {
		if n > 1 {
			t.Errorf("request %s was received %d times", id, n)
		}
	}
}
