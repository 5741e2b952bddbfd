package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

var zones = []string{"a", "b", "c"}

const start = time.Hour

func newFollower(name string) *Follower {
	return New(start, DefaultSettings(), "f", name, "a", 5, 1, rand.New(rand.NewPCG(1, 1)))
}

func tableWithZone(epoch uint64, z commands.ZoneState) *commands.Table {
	z.SinceEpoch = epoch
	return &commands.Table{Epoch: epoch, Zones: map[string]commands.ZoneState{"b": z}}
}

func responseWith(t *commands.Table) Response {
	return Response{Incarnation: 5, Epoch: t.Epoch, Table: t, Lease: 2 * time.Second}
}

// A table is obeyed during its lease, which counts from the sending of the report; older tables are rejected.
func TestFollower_HandleResponse_orderAndLease(t *testing.T) {
	f := newFollower("n")
	if f.Ready(start) || !f.Ready(start+2*time.Second) {
		t.Error("a new process is ready before its first table, or never")
	}
	if !f.HandleResponse(start+time.Second, start, responseWith(tableWithZone(3, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.25}))) || !f.Ready(start+time.Second) {
		t.Fatal("the response grants no lease")
	}
	if got := f.Shares(start+1100*time.Millisecond, zones); got["a"] != 1 || got["b"] != 0.25 {
		t.Errorf("%v", got)
	}
	if f.HandleResponse(start+1100*time.Millisecond, start+time.Second, responseWith(tableWithZone(2, commands.ZoneState{Phase: commands.PhaseActive, Share: 1}))) || f.Epoch() != 3 || f.StaleResponses() != 1 {
		t.Error("an older table is applied")
	}
	if f.HasLease(start + 2*time.Second) {
		t.Error("the lease counts from the response")
	}
	if f.HandleResponse(start+9*time.Second, start+time.Second, responseWith(tableWithZone(4, commands.ZoneState{Phase: commands.PhaseActive, Share: 1}))); f.HasLease(start + 9*time.Second) {
		t.Error("a response that took longer than the lease grants one")
	}
	if f.HandleResponse(start+9*time.Second, start+9*time.Second, Response{Epoch: 9}); f.HasLease(start + 9*time.Second) {
		t.Error("a voter without a leader grants a lease")
	}
}

// A process without voters continues from its last share and never jumps to the full share.
func TestFollower_Shares_autonomous(t *testing.T) {
	f := newFollower("n")
	f.HandleResponse(start, start, responseWith(tableWithZone(3, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.125})))
	f.Shares(start, zones)
	last := 0.125
	for now := start + 2*time.Second; now < start+12*time.Second; now += 100 * time.Millisecond {
		for _, z := range zones {
			f.Monitor().RecordOutcome(now, now, z, health.StepCounts{Succeeded: 1})
		}
		got := f.Shares(now, zones)["b"]
		if got > 2*last {
			t.Fatalf("from %v to %v", last, got)
		}
		last = got
	}
	if last != 1 {
		t.Errorf("after ten healthy seconds the share is %v", last)
	}
	for now := start + 12*time.Second; now < start+16*time.Second; now += 100 * time.Millisecond {
		f.Monitor().RecordOutcome(now, now, "b", health.StepCounts{Failed: 1})
		last = f.Shares(now, zones)["b"]
	}
	if last != 0 {
		t.Errorf("after four failing seconds the share is %v", last)
	}
	// Where all zones fail alike none is at 0: shares are scaled.
	f = newFollower("m")
	for now := start; now < start+10*time.Second; now += 100 * time.Millisecond {
		for _, z := range zones {
			f.Monitor().RecordOutcome(now, now, z, health.StepCounts{Failed: 1})
		}
		largest := 0.0
		for _, v := range f.Shares(now, zones) {
			largest = max(largest, v)
		}
		if largest != 1 {
			t.Fatalf("all shares are 0: %v", f.Shares(now, zones))
		}
	}
}

// About the probe fraction of many processes probes, others at each new state; the rest sends nothing.
func TestFollower_Shares_fewProbe(t *testing.T) {
	count := func(epoch uint64) (n int, names string) {
		for i := range 300 {
			f := newFollower(string(rune('A'+i%26)) + string(rune('a'+i/26)))
			f.HandleResponse(start, start, responseWith(tableWithZone(epoch, commands.ZoneState{Phase: commands.PhaseProbing, Share: 1, ProbeFraction: 0.05})))
			if f.Shares(start, zones)["b"] > 0 {
				n++
				names += f.name
			}
		}
		return n, names
	}
	n, names := count(3)
	if m, others := count(4); n < 5 || n > 30 || m < 5 || m > 30 || names == others {
		t.Errorf("%d and %d of 300 probe", n, m)
	}
}

// A voter that knows a later incarnation makes the process take a higher one.
func TestFollower_HandleResponse_raisesIncarnation(t *testing.T) {
	f := newFollower("n")
	f.HandleResponse(start, start, Response{Incarnation: 9})
	if r, _ := f.Report(start); r.Incarnation != 10 || r.Sequence != 1 {
		t.Errorf("%+v", r)
	}
}

// The outcome of a step that was sent before a new share is not counted.
func TestFollower_HandleResponse_resetsObservationsOnChange(t *testing.T) {
	f := newFollower("n")
	f.Monitor().RecordOutcome(start, start, "b", health.StepCounts{Failed: 1})
	f.HandleResponse(start+time.Second, start+time.Second, responseWith(tableWithZone(3, commands.ZoneState{Phase: commands.PhaseProbing, Share: 0.5, ProbeFraction: 1})))
	// A table that leaves the share as it is keeps the observations.
	f.HandleResponse(start+time.Second, start+time.Second, responseWith(tableWithZone(4, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.5})))
	f.Monitor().RecordOutcome(start+2*time.Second, start, "b", health.StepCounts{Failed: 1})
	f.Monitor().RecordOutcome(start+2*time.Second, start+1500*time.Millisecond, "b", health.StepCounts{Succeeded: 1})
	if s := f.Monitor().Observe(start+2*time.Second, "b"); s.Failed != 0 || s.Succeeded != 1 {
		t.Errorf("%+v", s.StepCounts)
	}
}
