package upstream_test

import (
	"bytes"
	"context"
	"errors"
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

// outcomeCase is one cell of the table: how much of a request is written, on which connection, and how the worker responds.
type outcomeCase struct {
	responseCase upstreamtest.ResponseCase
	mode         upstreamtest.WriteMode
	reused       bool // on an idle connection
	long         bool // the body is written while the response is awaited
}

func (o *outcomeCase) name() string {
	return fmt.Sprintf("%s, %s, reused %v, long %v", o.mode, o.responseCase.Name, o.reused, o.long)
}

// allOutcomeCases returns the cells of the table. The write of a short request never blocks.
func allOutcomeCases() []outcomeCase {
	var all []outcomeCase
	for _, responseCase := range upstreamtest.ResponseCases() {
		for mode := upstreamtest.WriteAll; mode <= upstreamtest.WriteBlocked; mode++ {
			for _, reused := range []bool{false, true} {
				for _, long := range []bool{false, true} {
					if mode != upstreamtest.WriteBlocked || long {
						all = append(all, outcomeCase{responseCase, mode, reused, long})
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

// exchanges is the script of the worker's connections: those after the first are healthy.
func (o *outcomeCase) exchanges(number int) []upstreamtest.Exchange {
	well := upstreamtest.HealthyExchange(false)
	if number > 0 {
		return []upstreamtest.Exchange{well, well, well}
	}
	exchanges := []upstreamtest.Exchange{o.responseCase.Exchange(o.mode), well, well}
	if o.reused {
		exchanges = append([]upstreamtest.Exchange{well}, exchanges...)
	}
	return exchanges
}

// wantResult is the expected result of the round trip.
func (o *outcomeCase) wantResult() upstream.Result {
	if o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead {
		if o.reused { // it is sent again on a new connection, to a healthy worker
			return upstream.Answered
		}
		return upstream.NotSent
	}
	switch {
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.Indeterminate:
		return upstream.Broken
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.NotExecuted && o.responseCase.Status() == 421:
		return upstream.Misdirected
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.NotExecuted:
		return upstream.NotExecuted
	default:
		return upstream.Answered
	}
}

// wantReusable reports whether the first connection carries the next request. An unusable stream is read to its end
// here, though no dispatcher would.
func (o *outcomeCase) wantReusable() bool {
	unusable := o.responseCase.Stream && o.responseCase.OutcomeOf(o.mode) == upstreamtest.Unusable
	return (o.responseCase.Reusable || unusable) && o.mode == upstreamtest.WriteAll
}

// TestPool_RoundTrip_outcomes plays every cell: the result, whether the connection carries the next request, and that the next request gets
// its own response.
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
	if reused := len(workers.Conns(workerAddress)) == before && before == 1; reused != outcome.wantReusable() {
		t.Errorf("reused %v, not %v", reused, outcome.wantReusable())
	}
	outcome.check(t, workers.Conns(workerAddress))
}

// body is the body of a complete response.
func (o *outcomeCase) body() string {
	switch {
	case o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead:
		return upstreamtest.Body
	case o.responseCase.Stream:
		return upstreamtest.Events(1, upstreamtest.LastEvent)
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.Failed && o.responseCase.Status() == 504:
		return "late"
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.Denied && o.responseCase.IsSigned():
		return "what"
	case (o.responseCase.OutcomeOf(o.mode) == upstreamtest.Failed || o.responseCase.OutcomeOf(o.mode) == upstreamtest.MisleadingStatus) && o.responseCase.IsSigned():
		return "oops"
	case o.responseCase.Status() != 200:
		return ""
	default:
		return upstreamtest.Body
	}
}

// check checks what the worker received: the tested request once, and no body with another request's bytes.
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
	if !o.reused && (o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead) {
		want = 0
	}
	if arrived != want {
		t.Errorf("the request was received %d times, not %d", arrived, want)
	}
}

// roundTrip sends a request, with a minute of the fake clock, and reads its response to the end.
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
		case errors.Is(err, io.EOF):
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
