package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
)

// scriptedChooser is a Chooser that returns predefined choices, skipping those with an excluded worker, and records how calls end.
type scriptedChooser struct {
	choices     []selection.Choice
	retryAfter  time.Duration
	requests    []selection.Request
	results     map[*selection.Call][]string
	calls       []*selection.Call
	firstEvents int
	chooseFunc  func(excluded []string) (selection.Choice, bool) // if set, used instead of choices

	admitsFunc func(excluded []string) bool // if set, used instead of chooseFunc by Admits
	full       []string                     // IDs of workers without room

	urgency   int
	peerNodes []uint64
	peerLoads [][]selection.Outstanding
}

// addChoices adds choices: "p1>d1" for a prefill worker and a decode worker, "d1" for a worker alone.
func (c *scriptedChooser) addChoices(texts ...string) {
	for _, text := range texts {
		var choice selection.Choice
		choice.TimeToFirstEvent = 100 * time.Millisecond
		choice.Urgency = c.urgency
		if len(text) > 2 {
			choice.Prefill = testWorker(text[:2])
			text = text[3:]
		}
		choice.Run = testWorker(text)
		c.choices = append(c.choices, choice)
	}
}

func (c *scriptedChooser) SetView(time.Duration, *fleetview.View) {}

func (c *scriptedChooser) SetRecomputeWindow(time.Duration) {}

// Admits implements Chooser: it reports what Choose would return, and records nothing.
func (c *scriptedChooser) Admits(_ time.Duration, _ *selection.Request, excluded []string, lastAttempt bool) bool {
	if lastAttempt {
		excluded = slices.Concat(excluded, c.full)
	}
	if c.admitsFunc != nil {
		return c.admitsFunc(excluded)
	}
	if c.chooseFunc != nil {
		_, send := c.chooseFunc(excluded)
		return send
	}
	return slices.ContainsFunc(c.choices, func(choice selection.Choice) bool {
		prefillExcluded := choice.Prefill != nil && slices.Contains(excluded, choice.Prefill.ID)
		return !prefillExcluded && !slices.Contains(excluded, choice.Run.ID)
	})
}

func (c *scriptedChooser) Choose(_ time.Duration, request *selection.Request, excluded []string) (selection.Choice, selection.AdmissionDecision) {
	c.requests = append(c.requests, *request)
	if c.chooseFunc != nil {
		choice, send := c.chooseFunc(excluded)
		return choice, selection.AdmissionDecision{Admit: send, RetryAfter: c.retryAfter}
	}
	for _, choice := range c.choices {
		if slices.Contains(excluded, choice.Run.ID) {
			continue
		}
		if choice.Prefill != nil && slices.Contains(excluded, choice.Prefill.ID) {
			continue
		}
		return choice, selection.AdmissionDecision{Admit: true}
	}
	return selection.Choice{}, selection.AdmissionDecision{RetryAfter: c.retryAfter}
}

func (c *scriptedChooser) Sent(_ time.Duration, _ *selection.Request, _ selection.CallKind, _ selection.Choice) *selection.Call {
	call := new(selection.Call)
	c.calls = append(c.calls, call)
	return call
}

func (c *scriptedChooser) FirstEvent(time.Duration, *selection.Call) { c.firstEvents++ }

func (c *scriptedChooser) Done(_ time.Duration, call *selection.Call, load *selection.Load) {
	c.recordResult(call, "done")
}

func (c *scriptedChooser) Rejected(_ time.Duration, call *selection.Call, _ *selection.Load) {
	c.recordResult(call, "rejected")
}

func (c *scriptedChooser) Failed(_ time.Duration, call *selection.Call, cause selection.Failure) {
	c.recordResult(call, fmt.Sprintf("failed %d", cause))
}

func (c *scriptedChooser) Abandoned(_ time.Duration, call *selection.Call) {
	c.recordResult(call, "abandoned")
}

func (c *scriptedChooser) Outstanding(time.Duration) []selection.Outstanding {
	return []selection.Outstanding{{WorkerHash: uint64(len(c.calls))}}
}

func (c *scriptedChooser) Demands(time.Duration) map[string]roleplanner.Demand { return nil }

func (c *scriptedChooser) SetPeerLoad(_ time.Duration, node uint64, list []selection.Outstanding) {
	c.peerNodes = append(c.peerNodes, node)
	c.peerLoads = append(c.peerLoads, list)
}

func (c *scriptedChooser) recordResult(call *selection.Call, how string) {
	c.results[call] = append(c.results[call], how)
}

// callResults returns how each call ended, in the order sent, and checks that each ended exactly once.
func (c *scriptedChooser) callResults(t *testing.T) []string {
	t.Helper()
	var all []string
	for _, call := range c.calls {
		if len(c.results[call]) != 1 {
			t.Fatalf("a call ended %d times: %v, want once", len(c.results[call]), c.results[call])
		}
		all = append(all, c.results[call][0])
	}
	return all
}

func (c *scriptedChooser) requireResults(t *testing.T, want ...string) {
	t.Helper()
	if got := c.callResults(t); !slices.Equal(got, want) {
		t.Fatalf("the calls ended as %q, want %q", got, want)
	}
}

func failedWith(cause selection.Failure) string { return fmt.Sprintf("failed %d", cause) }
