package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replicatedlog"
)

// singleVoter is a group of one voter. Its writes are durable at once.
type singleVoter struct {
	t       *testing.T
	replica *Replica
	now     time.Duration
	wall    int64
}

func newSingleVoter(t *testing.T) *singleVoter {
	v := &singleVoter{t: t, wall: 1}
	var err error
	v.replica, err = New(0, Config{Fleet: "f", ID: 1, Store: "s", Starts: 1, Settings: DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 1)),
		WallClock: func() int64 { return v.wall }}, replicatedlog.Bootstrap([]uint64{1}))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// run ticks the replica every 10 ms for the given time.
func (v *singleVoter) run(span time.Duration) {
	v.t.Helper()
	for end := v.now + span; v.now < end; v.now += 10 * time.Millisecond {
		v.replica.Tick(v.now)
		for persist, ok := v.replica.NextPersist(); ok; persist, ok = v.replica.NextPersist() {
			v.replica.Persisted(persist)
		}
		if err := v.replica.Err(); err != nil {
			v.t.Fatal(err)
		}
	}
}

// handle passes a valid report to the replica.
func (v *singleVoter) handle(report follower.Report) {
	v.t.Helper()
	if _, err := v.replica.HandleReport(v.now, report); err != nil {
		v.t.Fatal(err)
	}
}

func report(name, zone string, sequence uint64) follower.Report {
	healthy := health.Observation{StepCounts: health.StepCounts{Sent: 9, Succeeded: 9}, Observers: 1, RecentSteps: 5, Slots: 8}
	return follower.Report{Fleet: "f", Name: name, Zone: zone, Incarnation: 1, Sequence: sequence,
		Observations: health.Observations{"a": healthy, "b": healthy}}
}

// A voter grants no lease until it has a leader. It rejects reports of other fleets and without a process name, and
// messages of other fleets or with undecodable log messages.
func TestReplica_HandleReport_leaseNeedsLeader(t *testing.T) {
	v := newSingleVoter(t)
	if got, err := v.replica.HandleReport(0, report("n", "a", 1)); err != nil || got.Lease != 0 {
		t.Errorf("report without a leader: got %+v, error %v, want no lease", got, err)
	}
	v.run(time.Second)
	if got, err := v.replica.HandleReport(v.now, report("n", "a", 2)); err != nil || got.Lease != DefaultSettings().Lease {
		t.Errorf("report with a leader: got %+v, error %v, want a lease of %v", got, err, DefaultSettings().Lease)
	}
	foreign, unnamed := report("n", "a", 3), report("", "a", 3)
	foreign.Fleet = "g"
	for _, r := range []follower.Report{foreign, unnamed} {
		if _, err := v.replica.HandleReport(v.now, r); err == nil {
			t.Errorf("report %+v was accepted, want an error", r)
		}
	}
	if err := v.replica.Receive(v.now, Message{Fleet: "g"}); err == nil {
		t.Error("a message of another fleet was accepted, want an error")
	}
	if err := v.replica.Receive(v.now, Message{Fleet: "f", From: 2, Log: [][]byte{{1, 2, 3}}}); err == nil {
		t.Error("a message with an undecodable log message was accepted, want an error")
	}
}

// A report of an earlier incarnation is ignored, even with a higher sequence number. With the check disabled it counts.
func TestReplica_HandleReport_ignoresEarlierIncarnation(t *testing.T) {
	v := newSingleVoter(t)
	v.run(time.Second)
	newer := report("n", "a", 1)
	newer.Incarnation = 5
	v.handle(newer)
	older := report("n", "a", 9)
	older.Observations = health.Observations{"a": {StepCounts: health.StepCounts{Failed: 99}, Observers: 1, FailingObservers: 1, RecentSteps: 5}}
	if got, _ := v.replica.HandleReport(v.now, older); got.Lease != 0 || got.Incarnation != 5 {
		t.Errorf("report of an earlier incarnation: got %+v, want no lease and incarnation 5", got)
	}
	if s := v.replica.localDigest()["a"].Observations["a"]; s.Failed != 0 {
		t.Errorf("the digest has the observations of an earlier incarnation: %+v, want 0 failed steps", s.StepCounts)
	}
	v.replica.config.DisabledCheck = "incarnation"
	if v.handle(older); v.replica.localDigest()["a"].Observations["a"].Failed == 0 {
		t.Error("with the incarnation check disabled, a report of an earlier incarnation is still ignored")
	}
}

// An override is committed, applies until it expires and is then cleared; the last serving zone cannot be evacuated.
func TestReplica_ProposeOverride_appliesUntilExpiry(t *testing.T) {
	v := newSingleVoter(t)
	v.run(time.Second)
	sequence := uint64(0)
	reportAll := func() {
		sequence++
		v.handle(report("n", "a", sequence))
		v.handle(report("m", "b", sequence))
	}
	propose := func(override commands.Override) error {
		err := errors.New("not committed")
		v.replica.ProposeOverride(v.now, override, func(e error) { err = e })
		for range 5 {
			reportAll()
			v.run(300 * time.Millisecond)
		}
		return err
	}
	reportAll()
	if err := propose(commands.Override{Zone: "b", Action: commands.OverrideEvacuate, Reason: "works", Until: 100}); err != nil || v.replica.Table().Zone("b").Phase != commands.PhaseEvacuated {
		t.Fatalf("evacuation of zone b: error %v, table %+v, want zone b evacuated", err, v.replica.Table())
	}
	if err := propose(commands.Override{Zone: "a", Action: commands.OverrideEvacuate, Reason: "works", Until: 100}); err == nil {
		t.Error("an evacuation of the last serving zone was accepted, want an error")
	}
	if err := propose(commands.Override{Zone: "a", Action: "burn"}); err == nil {
		t.Error("an override with an unknown action was accepted, want an error")
	}
	v.wall = 101
	for range 5 {
		reportAll()
		v.run(300 * time.Millisecond)
	}
	if len(v.replica.Table().Overrides) != 0 {
		t.Errorf("overrides after their expiry: got %+v, want none", v.replica.Table().Overrides)
	}
}

// A pause of the process does not count as time without messages, so the leader keeps its term.
func TestReplica_Tick_pauseIsNotLeaderTimeout(t *testing.T) {
	v := newSingleVoter(t)
	v.run(time.Second)
	term := v.replica.Log().Term()
	v.now += time.Hour
	if v.run(time.Second); v.replica.Log().Term() != term || !v.replica.Log().IsLeader() {
		t.Errorf("after a pause of an hour: term %d, leader %t, want still leader in term %d", v.replica.Log().Term(), v.replica.Log().IsLeader(), term)
	}
}
