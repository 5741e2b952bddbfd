package selection

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

// newTestSelector returns a selector, and its view, for service "m" with the given numbers of prefill and decode
// workers in two zones.
func newTestSelector(prefill, decode int, seed uint64) (*Selector, *fleetview.View) {
	view := &fleetview.View{EdgeNodeCount: 4, Workers: map[string][]*fleetview.Worker{},
		Services: map[string]*configuration.Service{"m": {Name: "m", Engine: &configuration.Engine{
			Slots: 64, KVCapacityTokens: 300000, KVBytesPerToken: 327680, LinkMbps: 2.6e6, MaxTokensPerEvent: 7}}}}
	for i := range prefill + decode {
		stage := "prefill"
		if i >= prefill {
			stage = "decode"
		}
		view.Workers["m"] = append(view.Workers["m"], testWorker(i, stage))
	}
	s := New(Options{Zone: zoneName(0), Seed: seed})
	s.SetView(0, view)
	return s, view
}

// testWorker returns worker number i: "wa", "wb" and so on, alternately in two zones.
func testWorker(i int, stage string) *fleetview.Worker {
	return &fleetview.Worker{Instance: registry.Instance{ID: "w" + string(rune('a'+i)), Service: "m",
		Zone: zoneName(i % 2), Slots: 64, Stage: stage}}
}

// newTestRequest returns a request whose prompt has a shared segment with ID key and one of its own, with the given
// numbers of tokens.
func newTestRequest(now time.Duration, key uint64, shared, own int) *Request {
	return &Request{Service: "m", Route: "r", Prompt: []PromptSegment{{key, shared}, {key<<32 + uint64(now), own}},
		PromptTokens: shared + own, OutputTokens: 20, Arrived: now,
		Objective: now + 500*time.Millisecond, Deadline: now + 4*time.Second}
}

func newProperties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 60
	return gopter.NewProperties(parameters)
}

// runRandomCalls starts or ends a call in each step, as chosen by the step's number, and passes each choice to check.
// At last it abandons the calls in flight.
func runRandomCalls(selector *Selector, view *fleetview.View, steps []int, check func(now time.Duration, c Choice, v AdmissionDecision)) {
	var open []*Call
	now := time.Duration(0)
	random := rand.New(rand.NewPCG(uint64(len(steps)), 5))
	for _, step := range steps {
		now += time.Duration(step%97) * time.Millisecond
		if step%3 != 0 || len(open) == 0 {
			r := newTestRequest(now, uint64(1+step%7), 16*(step%400), step%5000)
			c, v := selector.Choose(now, r, nil)
			check(now, c, v)
			if c.Prefill != nil {
				open = append(open, selector.Sent(now, r, CallPrefill, c))
			}
			if c.Run != nil {
				open = append(open, selector.Sent(now, r, CallRun, c))
			}
			continue
		}
		index := random.IntN(len(open))
		endCall(selector, now, open[index], step)
		endCall(selector, now, open[index], step+1) // ending a call twice has no effect
		open = append(open[:index], open[index+1:]...)
		if step%41 == 0 {
			selector.SetView(now, view)
		}
	}
	for _, call := range open {
		selector.Abandoned(now, call)
	}
}

// endCall ends a call in one of six ways, chosen by variant.
func endCall(s *Selector, now time.Duration, call *Call, variant int) {
	switch variant % 6 {
	case 0, 1:
		s.FirstEvent(now, call)
		s.Done(now+time.Second/10, call, &Load{variant % 5, variant % 3, 64})
	case 2:
		s.Done(now, call, nil)
	case 3:
		s.Rejected(now, call, &Load{64, variant % 9, 64})
	case 4:
		s.Failed(now, call, Failure(variant/6%6))
	case 5:
		s.Abandoned(now, call)
	}
}

func TestSelector_Calls_properties(t *testing.T) {
	p := newProperties()
	steps := gen.SliceOfN(300, gen.IntRange(0, 100000))
	p.Property("no calls in flight and no reserved tokens once all calls have ended", prop.ForAll(func(steps []int) bool {
		s, view := newTestSelector(3, 4, 1)
		runRandomCalls(s, view, steps, func(time.Duration, Choice, AdmissionDecision) {})
		for _, w := range s.services["m"].workers {
			if len(w.calls) != 0 || w.reservedTokens != 0 {
				return false
			}
		}
		return true
	}, steps))
	p.Property("scores and predictions are finite and not negative", prop.ForAll(func(steps []int) bool {
		s, view := newTestSelector(3, 4, 1)
		valid := true
		runRandomCalls(s, view, steps, func(_ time.Duration, c Choice, v AdmissionDecision) {
			valid = valid && c.TimeToFirstEvent >= 0 && c.TimeToFirstEvent < time.Hour && (v.Admit || v.RetryAfter >= minRetryAfter)
			for _, scored := range s.services["m"].scratch.placements {
				valid = valid && scored.score >= 0 && scored.firstEvent >= 0 && scored.queueWait >= 0
				valid = valid && !math.IsInf(scored.score, 0) && !math.IsNaN(scored.score)
			}
		})
		return valid
	}, steps))
	p.Property("the same seed gives the same choices", prop.ForAll(func(steps []int) bool {
		choose := func() (choices []Choice) {
			s, view := newTestSelector(3, 4, 9)
			runRandomCalls(s, view, steps, func(_ time.Duration, c Choice, _ AdmissionDecision) { choices = append(choices, c) })
			return choices
		}
		first, second := choose(), choose()
		for i := range first {
			if idOf(first[i].Run) != idOf(second[i].Run) || idOf(first[i].Prefill) != idOf(second[i].Prefill) {
				return false
			}
		}
		return true
	}, steps))
	p.TestingRun(t)
}

func idOf(w *fleetview.Worker) string {
	if w == nil {
		return ""
	}
	return w.ID
}

func TestSelector_Choose_skipsExcludedWorkers(t *testing.T) {
	p := newProperties()
	p.Property("excluded workers are not chosen", prop.ForAll(func(mask int, key uint64) bool {
		s, view := newTestSelector(3, 4, 1)
		var excluded []string
		eligible := 0
		for i, w := range view.Workers["m"] {
			if mask>>i&1 == 1 {
				excluded = append(excluded, w.ID)
			} else if w.Stage == "decode" {
				eligible++
			}
		}
		c, v := s.Choose(0, newTestRequest(0, key, 3200, 900), excluded)
		if eligible == 0 {
			return c.Run == nil && !v.Admit && v.RetryAfter > 0
		}
		for _, id := range excluded {
			if idOf(c.Run) == id || idOf(c.Prefill) == id {
				return false
			}
		}
		return c.Run != nil && v.Admit
	}, gen.IntRange(0, 127), gen.UInt64()))
	p.TestingRun(t)
}

func TestSelector_Sent_unknownWorker(t *testing.T) {
	s, view := newTestSelector(1, 1, 1)
	r := newTestRequest(0, 1, 160, 100)
	c, _ := s.Choose(0, r, nil)
	s.SetView(0, &fleetview.View{Services: view.Services, Workers: map[string][]*fleetview.Worker{}})
	call := s.Sent(0, r, CallRun, c)
	s.FirstEvent(1, call)
	s.Done(2, call, nil)
	if _, v := s.Choose(3, r, nil); v.Admit || v.RetryAfter <= 0 {
		t.Errorf("Choose without workers: %+v, want a rejection with RetryAfter above 0", v)
	}
}
