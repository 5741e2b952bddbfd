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
	requestsPerRun   = 6 // sent sequentially on a single pool
	maxResponseParts = 4 // parts of what the worker sends for a request
)

// byteSource derives the choices of a run from the fuzz input. When the input is exhausted, all further choices are 0.
type byteSource struct{ data []byte }

func (s *byteSource) next() int {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return int(b)
}

// below returns a number from 0 to n-1.
func (s *byteSource) below(n int) int { return s.next() % n }

// bytes returns up to 39 bytes of the input. It replaces "HTTP/", because a status line among them could form a valid response
// together with the bytes that follow.
func (s *byteSource) bytes() string {
	n := min(s.below(40), len(s.data))
	raw := s.data[:n]
	s.data = s.data[n:]
	return strings.ReplaceAll(string(raw), "HTTP/", "HTTQ/")
}

// randomWorker sends responses that the fuzz input determines, and records them.
type randomWorker struct {
	source   *byteSource
	serial   int                 // number of the last response, which makes its body unique
	complete map[string][]string // by request ID: bodies of complete responses
	partial  map[string][]string // by request ID: bodies of all responses, including truncated ones
	rejected map[string]bool     // by request ID: whether a response stated that the request was not executed
}

func newRandomWorker(data []byte) *randomWorker {
	return &randomWorker{source: &byteSource{data}, complete: map[string][]string{}, partial: map[string][]string{}, rejected: map[string]bool{}}
}

// responseDraft is a response before it is sent.
type responseDraft struct {
	id         string
	head       string
	body       string // content that the client must receive
	text       string // body as sent, including its framing
	untilClose bool
	rejected   bool
}

// exchanges generates the exchanges of a connection.
func (w *randomWorker) exchanges(int) []upstreamtest.Exchange {
	var exchanges []upstreamtest.Exchange
	for range requestsPerRun + 1 {
		exchanges = append(exchanges, w.nextExchange())
	}
	return exchanges
}

// nextExchange chooses how much of a request is accepted. The response is chosen when the request has been received.
func (w *randomWorker) nextExchange() upstreamtest.Exchange {
	exchange := upstreamtest.Exchange{}
	if mode := w.source.below(12); mode <= int(upstreamtest.WriteBlocked) {
		exchange.Write = upstreamtest.WriteMode(mode)
	}
	for range w.source.below(8) {
		exchange.ReadSizes = append(exchange.ReadSizes, w.source.next())
	}
	exchange.End = upstreamtest.ConnEnd(w.source.below(3))
	if exchange.Write == upstreamtest.WritePartOfBody { // a connection that accepts no more bytes has ended
		exchange.End = max(exchange.End, upstreamtest.FIN)
	}
	end := exchange.End
	if exchange.Write != upstreamtest.WriteAll { // and was not closed normally
		end = upstreamtest.Reset
	}
	exchange.Respond = func(request upstreamtest.Request) string { return w.nextResponse(request.ID, end) }
	return exchange
}

// nextResponse generates the bytes sent for a request before the given end of the connection.
func (w *randomWorker) nextResponse(id string, end upstreamtest.ConnEnd) string {
	text := ""
	for range w.source.below(maxResponseParts + 1) {
		switch kind := w.source.below(10); kind {
		case 0:
			text += w.source.bytes()
		case 1:
			text += "HTTP/1.1 100 Continue\r\n\r\n"
		case 2:
			draft := w.newDraft(w.anotherID(id))
			if draft.untilClose {
				return text + draft.head + draft.text
			}
			text += draft.head + draft.text
		case 3:
			return text + w.truncate(w.newDraft(id), end)
		default:
			draft := w.newDraft(id)
			text += draft.head + draft.text
			w.recordResponse(draft, end)
			if draft.untilClose {
				return text
			}
		}
	}
	return text
}

// recordResponse records a response that is sent completely.
func (w *randomWorker) recordResponse(draft responseDraft, end upstreamtest.ConnEnd) {
	w.partial[draft.id] = append(w.partial[draft.id], draft.body)
	if !draft.untilClose || end == upstreamtest.FIN {
		w.complete[draft.id] = append(w.complete[draft.id], draft.body)
	}
	w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
}

// truncate returns a prefix of a response, which lacks at least the last byte. No bytes may be sent after it.
func (w *randomWorker) truncate(draft responseDraft, end upstreamtest.ConnEnd) string {
	text := draft.head + draft.text
	if draft.untilClose {
		text += "?"
		draft.body += "?"
	}
	length := (w.source.next()<<8 + w.source.next()) % len(text)
	w.partial[draft.id] = append(w.partial[draft.id], draft.body)
	if length >= len(draft.head) {
		w.rejected[draft.id] = w.rejected[draft.id] || draft.rejected
		if draft.untilClose && end == upstreamtest.FIN { // indistinguishable from a complete response
			w.complete[draft.id] = append(w.complete[draft.id], text[len(draft.head):length])
		}
	}
	return text[:length]
}

// anotherID chooses the ID of an earlier request, an ID that no request has, no ID, or two IDs. It never chooses the ID of a later
// request, which a worker cannot know.
func (w *randomWorker) anotherID(id string) string {
	switch choice := w.source.below(requestsPerRun + 3); {
	case choice == requestsPerRun:
		return ""
	case choice == requestsPerRun+1:
		return id + "\r\nX-Request-Id: " + id
	case requestID(choice) < id:
		return requestID(choice)
	default:
		return "f"
	}
}

func requestID(number int) string { return fmt.Sprintf("9c41d07be2a35f6%d", number) }

// newDraft generates a response with the given ID. Its body contains the ID and a serial number.
func (w *randomWorker) newDraft(id string) responseDraft {
	w.serial++
	draft := responseDraft{id: id, body: fmt.Sprintf("<%s/%d>", id, w.serial)}
	head := &strings.Builder{}
	head.WriteString([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Oh\r\n", "HTTP/1.1 503 Odd\r\n", "HTTP/1.0 200 OK\r\n"}[w.source.below(4)])
	switch w.source.below(8) {
	case 0:
		head.Reset()
		head.WriteString("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n")
		draft.rejected = true
	case 1:
		head.Reset()
		head.WriteString("HTTP/1.1 421 No\r\n")
		draft.rejected = true
	case 2, 3:
		head.WriteString("content-type: text/event-stream\r\n")
		draft.body = fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", draft.body, draft.body)
	}
	if id != "" {
		head.WriteString("X-Request-Id: " + id + "\r\n")
	}
	if w.source.below(8) == 0 {
		head.WriteString("Connection: close\r\n")
	}
	framing, text := w.chooseFraming(draft.body, strings.HasPrefix(head.String(), "HTTP/1.0"))
	draft.head, draft.text, draft.untilClose = head.String()+framing+"\r\n", text, framing == ""
	return draft
}

// chooseFraming chooses how a body is delimited. It returns the header fields and the framed body.
func (w *randomWorker) chooseFraming(body string, http10 bool) (fields, text string) {
	switch kind := w.source.below(3); {
	case kind == 0 || kind == 1 && http10:
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	case kind == 1:
		at := w.source.below(len(body)-1) + 1
		return "Transfer-Encoding: chunked\r\n", upstreamtest.Chunk(body[:at]) + upstreamtest.Chunk(body[at:]) + "0\r\n\r\n"
	default:
		return "", body
	}
}

// FuzzPool_RoundTrip sends requests sequentially on a pool to a worker that sends arbitrary bytes, splits them anywhere and ends
// connections at any byte. No byte of a response may reach another request, and no incomplete response may appear complete.
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

// TestPool_RoundTrip_randomWorkers runs the check of FuzzPool_RoundTrip on random inputs with a fixed seed.
func TestPool_RoundTrip_randomWorkers(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for n := range 4000 {
		data := make([]byte, random.Intn(600))
		_, _ = random.Read(data)
		synctest.Test(t, func(t *testing.T) {
			runRandomWorker(t, data)
			if t.Failed() {
				t.Fatalf("run %d failed with input %x", n, data)
			}
		})
	}
}

func runRandomWorker(t *testing.T, data []byte) {
	worker := newRandomWorker(data)
	workers := upstreamtest.NewWorkers()
	workers.AddWorker(workerAddress, worker.exchanges)
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	for number := range requestsPerRun {
		worker.request(t, pool, number)
		if worker.source.below(6) == 0 { // while the connections are idle
			for _, conn := range workers.Conns(workerAddress) {
				draft := worker.newDraft(requestID(number))
				conn.SendUnsolicited(worker.truncate(draft, upstreamtest.KeepOpen))
			}
		}
	}
	pool.Close()
	if open := pool.Counts().Open; open != 0 {
		t.Errorf("%d connections are open after Close, want 0", open)
	}
	worker.checkReceivedRequests(t, workers.Conns(workerAddress))
}

// request sends a request and compares the response received with those that the worker has sent.
func (w *randomWorker) request(t *testing.T, pool *upstream.Pool, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	size := 5
	if w.source.below(3) == 0 {
		size = 10 << 10 // large enough to be written while the response is read
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
			t.Errorf("request %s is reported as not executed, but the worker never rejected it: %+v", id, response)
		}
	case response.Stream == nil:
		if !slices.Contains(w.complete[id], string(response.Body)) {
			t.Errorf("request %s got the body %q, want one of %q", id, response.Body, w.complete[id])
		}
	default:
		w.readEvents(t, id, response.Stream)
	}
}

// readEvents reads a stream and checks that it returns only complete events of a single response, and io.EOF only after all of them.
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
	startsWithGot := func(body string) bool { return strings.HasPrefix(body, got) }
	switch {
	case got != "" && !strings.HasSuffix(got, "\n\n"):
		t.Errorf("request %s got an incomplete event at the end of %q", id, got)
	case errors.Is(err, io.EOF) && !slices.Contains(w.complete[id], got):
		t.Errorf("request %s got the complete stream %q, want one of %q", id, got, w.complete[id])
	case !errors.Is(err, io.EOF) && !slices.ContainsFunc(w.partial[id], startsWithGot):
		t.Errorf("request %s got the events %q, want the beginning of one of %q", id, got, w.partial[id])
	}
}

// checkReceivedRequests checks that the worker received each request at most once, and none with the bytes of another request.
func (w *randomWorker) checkReceivedRequests(t *testing.T, conns []*upstreamtest.Conn) {
	count := map[string]int{}
	for _, conn := range conns {
		for _, request := range conn.Requests() {
			if request.Head == "" {
				continue
			}
			count[request.ID]++
			own := bytes.Count(request.Body, []byte{'a' + request.ID[len(request.ID)-1] - '0'})
			if own != len(request.Body) {
				t.Errorf("request %s was received with %d of %d body bytes belonging to other requests", request.ID, len(request.Body)-own, len(request.Body))
			}
		}
	}
	for id, n := range count {
		if n > 1 {
			t.Errorf("request %s was received %d times, want at most once", id, n)
		}
	}
}
