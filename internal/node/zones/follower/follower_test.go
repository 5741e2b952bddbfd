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

// newFollower returns the follower of a process in zone a.
func newFollower(name string) *Follower {
	return New(start, DefaultSettings(), "f", name, "a", 5, 1, rand.New(rand.NewPCG(1, 1)))
}

// tableWithZoneB returns a table in which zone b has the state, set at the table's epoch.
func tableWithZoneB(epoch uint64, state commands.ZoneState) *commands.Table {
	state.SinceEpoch = epoch
	return &commands.Table{Epoch: epoch, Zones: map[string]commands.ZoneState{"b": state}}
}

// grantLease returns a response with the table and a lease.
func grantLease(table *commands.Table) Response {
	return Response{Incarnation: 5, Epoch: table.Epoch, Table: table, Lease: 2 * time.Second}
}

// A table applies during its lease, which counts from the sending of the report. Older tables are rejected.
func TestFollower_HandleResponse_orderAndLease(t *testing.T) {
	f := newFollower("n")
	if f.Ready(start) || !f.Ready(start+2*time.Second) {
		t.Errorf("ready without a table: %v at the start, %v after 2 s; want false, true", f.Ready(start), f.Ready(start+2*time.Second))
	}
	if !f.HandleResponse(start+time.Second, start, grantLease(tableWithZoneB(3, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.25}))) || !f.Ready(start+time.Second) {
		t.Fatal("the first response grants no lease, or the process is not ready after it")
	}
	if got := f.Shares(start+1100*time.Millisecond, zones); got["a"] != 1 || got["b"] != 0.25 {
		t.Errorf("shares by the table: %v, want 1 for a and 0.25 for b", got)
	}
	if f.HandleResponse(start+1100*time.Millisecond, start+time.Second, grantLease(tableWithZoneB(2, commands.ZoneState{Phase: commands.PhaseActive, Share: 1}))) || f.Epoch() != 3 || f.StaleResponses() != 1 {
		t.Errorf("after a response with epoch 2: epoch %d, %d stale responses; want no lease, epoch 3 and 1 stale response", f.Epoch(), f.StaleResponses())
	}
	if f.HasLease(start + 2*time.Second) {
		t.Error("the process holds the lease of 2 s from the report at its end, want it counted from the sending of the report")
	}
	if f.HandleResponse(start+9*time.Second, start+time.Second, grantLease(tableWithZoneB(4, commands.ZoneState{Phase: commands.PhaseActive, Share: 1}))); f.HasLease(start + 9*time.Second) {
		t.Error("a response that arrives after its lease has ended grants a lease")
	}
	if f.HandleResponse(start+9*time.Second, start+9*time.Second, Response{Epoch: 9}); f.HasLease(start + 9*time.Second) {
		t.Error("a response with lease 0 grants a lease")
	}
}

// A process that gets no responses continues from its last share, which grows at most twofold at a time, and stops
// sending to a failing zone.
func TestFollower_Shares_autonomous(t *testing.T) {
	f := newFollower("n")
	f.HandleResponse(start, start, grantLease(tableWithZoneB(3, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.125})))
	f.Shares(start, zones)
	last := 0.125
	for now := start + 2*time.Second; now < start+12*time.Second; now += 100 * time.Millisecond {
		for _, z := range zones {
			f.Monitor().RecordOutcome(now, now, z, health.StepCounts{Succeeded: 1})
		}
		got := f.Shares(now, zones)["b"]
		if got > 2*last {
			t.Fatalf("the share rose from %v to %v at once, want at most twofold", last, got)
		}
		last = got
	}
	if last != 1 {
		t.Errorf("after ten healthy seconds the share is %v, want 1", last)
	}
	for now := start + 12*time.Second; now < start+16*time.Second; now += 100 * time.Millisecond {
		f.Monitor().RecordOutcome(now, now, "b", health.StepCounts{Failed: 1})
		last = f.Shares(now, zones)["b"]
	}
	if last != 0 {
		t.Errorf("after four failing seconds the share is %v, want 0", last)
	}
	// If all zones fail alike, scaling keeps the largest share at 1.
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
			t.Fatalf("the largest share is %v with all zones failing, want 1: %v", largest, f.Shares(now, zones))
		}
	}
}

// About the fraction ProbeFraction of the processes probe a zone, and the others send nothing. A new state of the zone
// selects other processes.
func TestFollower_Shares_fewProbe(t *testing.T) {
	count := func(epoch uint64) (selected int, names string) {
		for i := range 300 {
			f := newFollower(string(rune('A'+i%26)) + string(rune('a'+i/26)))
			f.HandleResponse(start, start, grantLease(tableWithZoneB(epoch, commands.ZoneState{Phase: commands.PhaseProbing, Share: 1, ProbeFraction: 0.05})))
			if f.Shares(start, zones)["b"] > 0 {
				selected++
				names += f.name
			}
		}
		return selected, names
	}
	n, names := count(3)
	if countAfter, namesAfter := count(4); n < 5 || n > 30 || countAfter < 5 || countAfter > 30 || names == namesAfter {
		t.Errorf("%d, then %d of 300 processes probe, the same ones: %v; want 5 to 30 each and not the same ones",
			n, countAfter, names == namesAfter)
	}
}

// A response with a later incarnation makes the process take one above it and restart the sequence.
func TestFollower_HandleResponse_raisesIncarnation(t *testing.T) {
	f := newFollower("n")
	f.HandleResponse(start, start, Response{Incarnation: 9})
	if r, _ := f.Report(start); r.Incarnation != 10 || r.Sequence != 1 {
		t.Errorf("after a response with incarnation 9: %+v, want incarnation 10 and sequence 1", r)
	}
}

// The outcome of a step that was sent under an earlier share is not counted.
func TestFollower_HandleResponse_resetsObservationsOnChange(t *testing.T) {
	f := newFollower("n")
	f.Monitor().RecordOutcome(start, start, "b", health.StepCounts{Failed: 1})
	f.HandleResponse(start+time.Second, start+time.Second, grantLease(tableWithZoneB(3, commands.ZoneState{Phase: commands.PhaseProbing, Share: 0.5, ProbeFraction: 1})))
	// A table that leaves the share as it is keeps the observations.
	f.HandleResponse(start+time.Second, start+time.Second, grantLease(tableWithZoneB(4, commands.ZoneState{Phase: commands.PhaseSlowStart, Share: 0.5})))
	f.Monitor().RecordOutcome(start+2*time.Second, start, "b", health.StepCounts{Failed: 1})
	f.Monitor().RecordOutcome(start+2*time.Second, start+1500*time.Millisecond, "b", health.StepCounts{Succeeded: 1})
	if s := f.Monitor().Observe(start+2*time.Second, "b"); s.Failed != 0 || s.Succeeded != 1 {
		t.Errorf("after a change of the share: %+v, want none failed and 1 succeeded", s.StepCounts)
	}
}
