package balance_test

import (
	"fmt"
	"time"

	"ospreybend/balance"
)

// A balancer sends a request to its only worker, which rejects it as full.
func ExampleNew() {
	settings := balance.Settings{
		Balancers:  1,
		Resolution: time.Millisecond,
		Classes: []balance.Class{{LatencyTarget: 200 * time.Millisecond, Timeout: time.Second, Value: 1,
			Effect: balance.NonIdempotent, Kind: -1}},
		Limits: balance.Limits{MaxAttempts: 1},
	}
	b, err := balance.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []balance.Event{
		balance.ListUpdate{Kind: balance.ListFull, Workers: []balance.WorkerListing{{Worker: 7}}},
		balance.Request{ID: 1, Slots: 1, Deadline: time.Second},
		balance.AttemptDone{Request: 1, Worker: 7, Outcome: balance.Full, Elapsed: 2 * time.Millisecond},
	}
	for i, ev := range events {
		for _, action := range b.Handle(time.Duration(i)*time.Millisecond, ev) {
			fmt.Printf("%T%+v\n", action, action)
		}
	}
	// Output:
	// balance.SetTimer{After:996ms Token:1}
	// balance.Send{Request:1 Worker:7 Until:0s}
	// balance.Reject{Request:1 RetryAfter:0s}
}
