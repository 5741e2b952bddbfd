package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/dataplane/upstream/upstreamtest"
	"ospreybend/internal/util/http1"
)

const workerAddress = "w:80"

// outcome is one cell of the table: how much is sent of a request, on which connection, and what comes back.
type outcome struct {
	row    upstreamtest.Row
	sent   upstreamtest.Sent
	reused bool // a kept connection
	long   bool // the body is written while the answer is awaited
}

func (o *outcome) name() string {
	return fmt.Sprintf("%s, %s, reused %v, long %v", o.sent, o.row.Name, o.reused, o.long)
}

// allOutcomes are the cells of the table. A short request is never held up while it is written.
func allOutcomes() []outcome {
	var all []outcome
	for _, row := range upstreamtest.Rows() {
		for sent := upstreamtest.Whole; sent <= upstreamtest.Blocked; sent++ {
			for _, reused := range []bool{false, true} {
				for _, long := range []bool{false, true} {
					if sent != upstreamtest.Blocked || long {
						all = append(all, outcome{row, sent, reused, long})
					}
				}
			}
		}
	}
	return all
}

func numbered(id string, size int) *upstream.Call {
	return &upstream.Call{Address: workerAddress, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("b"), size), Events: true,
		Fields: http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Request-Id", Value: id}}}
}

// play is the script of the worker's connections: those behind the first are well.
func (o *outcome) play(number int) []upstreamtest.Turn {
	well := upstreamtest.Works(false)
	if number > 0 {
		return []upstreamtest.Turn{well, well, well}
	}
	turns := []upstreamtest.Turn{o.row.Turn(o.sent), well, well}
	if o.reused {
		turns = append([]upstreamtest.Turn{well}, turns...)
	}
	return turns
}

// wanted is what the exchange says after a call.
func (o *outcome) wanted() upstream.Result {
	if o.sent == upstreamtest.Nothing || o.sent == upstreamtest.HeadInPart {
		if o.reused { // it is sent on a new connection, to a worker that is well
			return upstream.Answered
		}
		return upstream.NotSent
	}
	switch {
	case o.row.MeaningOf(o.sent) == upstreamtest.Lost:
		return upstream.Broken
	case o.row.MeaningOf(o.sent) == upstreamtest.NotRun && o.row.Status() == 421:
		return upstream.Misdirected
	case o.row.MeaningOf(o.sent) == upstreamtest.NotRun:
		return upstream.NotExecuted
	default:
		return upstream.Answered
	}
}

// kept tells whether the first connection carries the request behind this one. A stream that cannot be used is read to its end
// here, though no dispatcher would.
func (o *outcome) kept() bool {
	unusable := o.row.Stream && o.row.MeaningOf(o.sent) == upstreamtest.Useless
	return (o.row.Kept || unusable) && o.sent == upstreamtest.Whole
}

// TestOutcomes plays every cell: what the exchange says, whether the connection carries the next request, and that this one gets
// its own answer.
func TestOutcomes(t *testing.T) {
	for _, o := range allOutcomes() {
		synctest.Test(t, func(t *testing.T) {
			playOutcome(t, &o)
			if t.Failed() {
				t.Log(o.name())
			}
		})
	}
}

func playOutcome(t *testing.T, o *outcome) {
	workers := upstreamtest.NewWorkers()
	workers.Play(workerAddress, o.play)
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	defer pool.Close()
	if o.reused {
		mustGetOwn(t, pool, "earlier", 10)
	}
	size := 10
	if o.long {
		size = 100 << 10
	}
	result, body := do(pool, "tested", size)
	if result != o.wanted() {
		t.Errorf("%v, not %v", result, o.wanted())
	}
	if want := o.body(); result == upstream.Answered && body != want {
		t.Errorf("body %q, not %q", body, want)
	}
	before := len(workers.Conns(workerAddress))
	mustGetOwn(t, pool, "next", size)
	if kept := len(workers.Conns(workerAddress)) == before && before == 1; kept != o.kept() {
		t.Errorf("kept %v, not %v", kept, o.kept())
	}
	o.check(t, workers.Conns(workerAddress))
}

// body is that of a whole answer.
func (o *outcome) body() string {
	switch {
	case o.sent == upstreamtest.Nothing || o.sent == upstreamtest.HeadInPart:
		return upstreamtest.Body
	case o.row.Stream:
		return upstreamtest.Events(1, upstreamtest.LastEvent)
	case o.row.MeaningOf(o.sent) == upstreamtest.Failed && o.row.Status() == 504:
		return "late"
	case o.row.MeaningOf(o.sent) == upstreamtest.Denied && o.row.Signed():
		return "what"
	case (o.row.MeaningOf(o.sent) == upstreamtest.Failed || o.row.MeaningOf(o.sent) == upstreamtest.Promise) && o.row.Signed():
		return "oops"
	case o.row.Status() != 200:
		return ""
	default:
		return upstreamtest.Body
	}
}

// check looks at what came to the worker: the tested request once, and bodies of no other request's bytes.
func (o *outcome) check(t *testing.T, conns []*upstreamtest.Conn) {
	arrived := 0
	for _, conn := range conns {
		for _, request := range conn.Requests() {
			if request.ID == "tested" {
				arrived++
			}
			if len(bytes.Trim(request.Body, "b")) > 0 {
				t.Errorf("request %s has foreign bytes: %q", request.ID, request.Body)
			}
		}
	}
	want := 1
	if !o.reused && (o.sent == upstreamtest.Nothing || o.sent == upstreamtest.HeadInPart) {
		want = 0
	}
	if arrived != want {
		t.Errorf("the request came %d times, not %d", arrived, want)
	}
}

// do makes a call, for a minute of the fake clock at most, and reads its answer to the end.
func do(pool *upstream.Pool, id string, size int) (upstream.Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, failure := pool.Do(ctx, numbered(id, size))
	switch {
	case failure != nil:
		return failure.Result, ""
	case response.Stream == nil:
		return response.Result, string(response.Body)
	}
	defer response.Stream.Close()
	body := ""
	for {
		batch, err := response.Stream.Next()
		switch {
		case err == io.EOF:
			return response.Result, body
		case err != nil:
			return upstream.Broken, body
		}
		body += string(batch.Raw)
	}
}

func mustGetOwn(t *testing.T, pool *upstream.Pool, id string, size int) {
	t.Helper()
	if result, body := do(pool, id, size); result != upstream.Answered || body != upstreamtest.Body {
		t.Errorf("request %s: %v, %q", id, result, body)
	}
}
