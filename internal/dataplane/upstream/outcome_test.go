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

// outcomeCase is a combination of how much of a request is written, on which connection, and how the worker responds.
type outcomeCase struct {
	responseCase upstreamtest.ResponseCase
	mode         upstreamtest.WriteMode
	reused       bool // the request is sent on an idle connection
	long         bool // the body is large enough to be written while the response is read
}

func (o *outcomeCase) name() string {
	return fmt.Sprintf("%s, %s, reused %v, long %v", o.mode, o.responseCase.Name, o.reused, o.long)
}

// allOutcomeCases returns all combinations except blocked writes of short requests, which never block.
func allOutcomeCases() []outcomeCase {
	var cases []outcomeCase
	for _, responseCase := range upstreamtest.ResponseCases() {
		for mode := upstreamtest.WriteAll; mode <= upstreamtest.WriteBlocked; mode++ {
			for _, reused := range []bool{false, true} {
				for _, long := range []bool{false, true} {
					if mode != upstreamtest.WriteBlocked || long {
						cases = append(cases, outcomeCase{responseCase, mode, reused, long})
					}
				}
			}
		}
	}
	return cases
}

func newNumberedRequest(id string, size int) *upstream.Request {
	return &upstream.Request{Address: workerAddress, Method: "POST", Target: "/", Body: bytes.Repeat([]byte("b"), size), StreamEvents: true,
		Header: http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Request-Id", Value: id}}}
}

// exchanges returns the exchanges of the worker's connections. Only the first connection has the tested exchange; later connections
// are healthy.
func (o *outcomeCase) exchanges(number int) []upstreamtest.Exchange {
	healthy := upstreamtest.HealthyExchange(false)
	if number > 0 {
		return []upstreamtest.Exchange{healthy, healthy, healthy}
	}
	exchanges := []upstreamtest.Exchange{o.responseCase.Exchange(o.mode), healthy, healthy}
	if o.reused {
		exchanges = append([]upstreamtest.Exchange{healthy}, exchanges...)
	}
	return exchanges
}

// wantResult returns the expected result of the round trip.
func (o *outcomeCase) wantResult() upstream.Result {
	if o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead {
		if o.reused { // the request is sent again on a new, healthy connection
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

// wantReusable reports whether the first connection is expected to carry the next request. This test reads an unusable stream to its
// end, unlike the dispatcher, so that its connection can be reused.
func (o *outcomeCase) wantReusable() bool {
	unusable := o.responseCase.Stream && o.responseCase.OutcomeOf(o.mode) == upstreamtest.Unusable
	return (o.responseCase.Reusable || unusable) && o.mode == upstreamtest.WriteAll
}

// TestPool_RoundTrip_outcomes checks for every combination the result, whether the connection carries the next request, and that the
// next request receives its own response.
func TestPool_RoundTrip_outcomes(t *testing.T) {
	for _, o := range allOutcomeCases() {
		synctest.Test(t, func(t *testing.T) {
			runOutcomeCase(t, &o)
			if t.Failed() {
				t.Logf("failed case: %s", o.name())
			}
		})
	}
}

func runOutcomeCase(t *testing.T, outcome *outcomeCase) {
	workers := upstreamtest.NewWorkers()
	workers.AddWorker(workerAddress, outcome.exchanges)
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
		t.Errorf("result = %v, want %v", result, outcome.wantResult())
	}
	if want := outcome.wantBody(); result == upstream.Answered && body != want {
		t.Errorf("body = %q, want %q", body, want)
	}
	connsBefore := len(workers.Conns(workerAddress))
	requireOwnResponse(t, pool, "next", size)
	if reused := len(workers.Conns(workerAddress)) == connsBefore && connsBefore == 1; reused != outcome.wantReusable() {
		t.Errorf("connection reused for the next request: %v, want %v", reused, outcome.wantReusable())
	}
	outcome.checkReceivedRequests(t, workers.Conns(workerAddress))
}

// wantBody returns the expected body of a complete response.
func (o *outcomeCase) wantBody() string {
	switch {
	case o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead:
		return upstreamtest.SuccessBody
	case o.responseCase.Stream:
		return upstreamtest.Events(1, upstreamtest.LastEventNumber)
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.ServerError && o.responseCase.Status() == 504:
		return "late"
	case o.responseCase.OutcomeOf(o.mode) == upstreamtest.ClientError && o.responseCase.IsSigned():
		return "what"
	case (o.responseCase.OutcomeOf(o.mode) == upstreamtest.ServerError || o.responseCase.OutcomeOf(o.mode) == upstreamtest.MisleadingStatus) && o.responseCase.IsSigned():
		return "oops"
	case o.responseCase.Status() != 200:
		return ""
	default:
		return upstreamtest.SuccessBody
	}
}

// checkReceivedRequests checks that the worker received the tested request once, or not at all if it is never sent, and no body with
// the bytes of another request.
func (o *outcomeCase) checkReceivedRequests(t *testing.T, conns []*upstreamtest.Conn) {
	received := 0
	for _, conn := range conns {
		for _, request := range conn.Requests() {
			if request.ID == "tested" {
				received++
			}
			if len(bytes.Trim(request.Body, "b")) > 0 {
				t.Errorf("request %s was received with bytes that do not belong to its body: %q", request.ID, request.Body)
			}
		}
	}
	want := 1
	if !o.reused && (o.mode == upstreamtest.WriteNothing || o.mode == upstreamtest.WritePartOfHead) {
		want = 0
	}
	if received != want {
		t.Errorf("worker received the tested request %d times, want %d", received, want)
	}
}

// roundTrip sends a request with a timeout of one minute of the fake clock, and reads its response to the end.
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
	if result, body := roundTrip(pool, id, size); result != upstream.Answered || body != upstreamtest.SuccessBody {
		t.Errorf("request %s: result = %v, body = %q, want Answered with body %q", id, result, body, upstreamtest.SuccessBody)
	}
}
