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

// outcomeCase is one cell of the table: how much is sent of a request, on which connection, and what comes back.
type outcomeCase struct {
	row    upstreamtest.ResponseCase
	sent   upstreamtest.WriteMode
	reused bool // a kept connection
	long   bool // the body is written while the answer is awaited
}

func (o *outcomeCase) name() string {
	return fmt.Sprintf("%s, %s, reused %v, long %v", o.sent, o.row.Name, o.reused, o.long)
}

// allOutcomeCases are the cells of the table. A short request is never held up while it is written.
func allOutcomeCases() []outcomeCase {
	var all []outcomeCase
	for _, row := range upstreamtest.ResponseCases() {
		for sent := upstreamtest.WriteAll; sent <= upstreamtest.WriteBlocked; sent++ {
			for _, reused := range []bool{false, true} {
				for _, long := range []bool{false, true} {
					if sent != upstreamtest.WriteBlocked || long {
						all = append(all, outcomeCase{row, sent, reused, long})
					}
				}
			}
		}
	}
	return all
}

func newNumberedRequest(id string, size int) *upstream.Request {
	return &upstream.Request{Address: workerAddress, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("b"), size), StreamEvents: true,
		Header: http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Request-Id", Value: id}}}
}

// exchanges is the script of the worker's connections: those behind the first are well.
func (o *outcomeCase) exchanges(number int) []upstreamtest.Exchange {
	well := upstreamtest.HealthyExchange(false)
	if number > 0 {
		return []upstreamtest.Exchange{well, well, well}
	}
	turns := []upstreamtest.Exchange{o.row.Exchange(o.sent), well, well}
	if o.reused {
		turns = append([]upstreamtest.Exchange{well}, turns...)
	}
	return turns
}

// wantResult is what the exchange says after a call.
func (o *outcomeCase) wantResult() upstream.Result {
	if o.sent == upstreamtest.WriteNothing || o.sent == upstreamtest.WritePartOfHead {
		if o.reused { // it is sent on a new connection, to a worker that is well
			return upstream.Answered
		}
		return upstream.NotSent
	}
	switch {
	case o.row.OutcomeOf(o.sent) == upstreamtest.Indeterminate:
		return upstream.Broken
	case o.row.OutcomeOf(o.sent) == upstreamtest.NotExecuted && o.row.Status() == 421:
		return upstream.Misdirected
	case o.row.OutcomeOf(o.sent) == upstreamtest.NotExecuted:
		return upstream.NotExecuted
	default:
		return upstream.Answered
	}
}

// wantReusable tells whether the first connection carries the request behind this one. A stream that cannot be used is read to its end
// here, though no dispatcher would.
func (o *outcomeCase) wantReusable() bool {
	unusable := o.row.Stream && o.row.OutcomeOf(o.sent) == upstreamtest.Unusable
	return (o.row.Reusable || unusable) && o.sent == upstreamtest.WriteAll
}

// TestPool_RoundTrip_outcomes plays every cell: what the exchange says, whether the connection carries the next request, and that this one gets
// its own answer.
func TestPool_RoundTrip_outcomes(t *testing.T) {
	for _, o := range allOutcomeCases() {
		synctest.Test(t, func(t *testing.T) {
			runOutcomeCase(t, &o)
			if t.Failed() {
				t.Log(o.name())
			}
		})
	}
}

func runOutcomeCase(t *testing.T, outcome *outcomeCase) {
	workers := upstreamtest.NewWorkers()
	workers.Script(workerAddress, outcome.exchanges)
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	defer pool.Close()
	if outcome.reused {
		requireOwnResponse(t, pool, "earlier", 10)
	}
	size := 10
	if outcome.long {
		size = 100 << 10
	}
	result, body := roundTrip(pool, "tested", size)
	if result != outcome.wantResult() {
		t.Errorf("%v, not %v", result, outcome.wantResult())
	}
	if want := outcome.body(); result == upstream.Answered && body != want {
		t.Errorf("body %q, not %q", body, want)
	}
	before := len(workers.Conns(workerAddress))
	requireOwnResponse(t, pool, "next", size)
	if kept := len(workers.Conns(workerAddress)) == before && before == 1; kept != outcome.wantReusable() {
		t.Errorf("kept %v, not %v", kept, outcome.wantReusable())
	}
	outcome.check(t, workers.Conns(workerAddress))
}

// body is that of a whole answer.
func (o *outcomeCase) body() string {
	switch {
	case o.sent == upstreamtest.WriteNothing || o.sent == upstreamtest.WritePartOfHead:
		return upstreamtest.Body
	case o.row.Stream:
		return upstreamtest.Events(1, upstreamtest.LastEvent)
	case o.row.OutcomeOf(o.sent) == upstreamtest.Failed && o.row.Status() == 504:
		return "late"
	case o.row.OutcomeOf(o.sent) == upstreamtest.Denied && o.row.IsSigned():
		return "what"
	case (o.row.OutcomeOf(o.sent) == upstreamtest.Failed || o.row.OutcomeOf(o.sent) == upstreamtest.MisleadingStatus) && o.row.IsSigned():
		return "oops"
	case o.row.Status() != 200:
		return ""
	default:
		return upstreamtest.Body
	}
}

// check looks at what came to the worker: the tested request once, and bodies of no other request's bytes.
func (o *outcomeCase) check(t *testing.T, conns []*upstreamtest.Conn) {
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
	if !o.reused && (o.sent == upstreamtest.WriteNothing || o.sent == upstreamtest.WritePartOfHead) {
		want = 0
	}
	if arrived != want {
		t.Errorf("the request came %d times, not %d", arrived, want)
	}
}

// roundTrip makes a call, for a minute of the fake clock at most, and reads its answer to the end.
func roundTrip(pool *upstream.Pool, id string, size int) (upstream.Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, failure := pool.RoundTrip(ctx, newNumberedRequest(id, size))
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

func requireOwnResponse(t *testing.T, pool *upstream.Pool, id string, size int) {
	t.Helper()
	if result, body := roundTrip(pool, id, size); result != upstream.Answered || body != upstreamtest.Body {
		t.Errorf("request %s: %v, %q", id, result, body)
	}
}
