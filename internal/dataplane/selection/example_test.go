package selection_test

import (
	"fmt"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
)

// A request is sent to a pair of workers: one prefills the prompt, the other fetches the KV cache and decodes. A second
// request with the same shared prompt segment goes to the prefill worker that has the segment cached.
func ExampleSelector_Choose() {
	worker := func(id, stage string) *fleetview.Worker {
		return &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "chat", Zone: "a", Stage: stage, Slots: 64}}
	}
	selector := selection.New(selection.Options{Zone: "a", Seed: 1})
	selector.SetView(0, &fleetview.View{
		EdgeNodeCount: 1,
		Services: map[string]*configuration.Service{"chat": {Name: "chat", Engine: &configuration.Engine{
			Slots: 64, KVCapacityTokens: 300000, KVBytesPerToken: 160e3, LinkMbps: 1e5, MaxTokensPerEvent: 1,
		}}},
		Workers: map[string][]*fleetview.Worker{"chat": {
			worker("prefill-1", "prefill"), worker("prefill-2", "prefill"), worker("decode-1", "decode"), worker("decode-2", "decode"),
		}},
	})

	request := func(now time.Duration, ownSegment uint64) *selection.Request {
		return &selection.Request{
			Service: "chat", Route: "chat", Arrived: now, Objective: now + time.Second, Deadline: now + 10*time.Second,
			Prompt:       []selection.PromptSegment{{ID: 7, Tokens: 6400}, {ID: ownSegment, Tokens: 600}},
			PromptTokens: 7000, OutputTokens: 50,
		}
	}

	first := request(0, 1)
	choice, verdict := selector.Choose(0, first, nil)
	fmt.Println("admitted:", verdict.Admit, "prefill and run apart:", choice.Prefill != nil && choice.Run != nil)
	prefill := selector.Sent(0, first, selection.CallPrefill, choice)
	selector.Done(200*time.Millisecond, prefill, nil)

	again, _ := selector.Choose(time.Second, request(time.Second, 2), nil)
	fmt.Println("same prefill worker:", again.Prefill == choice.Prefill)

	elsewhere, _ := selector.Choose(time.Second, request(time.Second, 3), []string{choice.Prefill.ID})
	fmt.Println("without it:", elsewhere.Prefill != choice.Prefill)
	// Output:
	// admitted: true prefill and run apart: true
	// same prefill worker: true
	// without it: true
}
