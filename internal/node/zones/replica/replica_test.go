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

// singleReplica is a group of one voter whose writes are durable at once.
type singleReplica struct {
	t       *testing.T
	replica *Replica
	now     time.Duration
	wall    int64
}

func newSingleReplica(t *testing.T) *singleReplica {
	a := &singleReplica{t: t, wall: 1}
	var err error
	a.replica, err = New(0, Config{Fleet: "f", ID: 1, Store: "s", Starts: 1, Settings: DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 1)),
		WallClock: func() int64 { return a.wall }}, replicatedlog.Bootstrap([]uint64{1}))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *singleReplica) play(span time.Duration) {
	a.t.Helper()
	for end := a.now + span; a.now < end; a.now += 10 * time.Millisecond {
		a.replica.Tick(a.now)
		for w, ok := a.replica.NextPersist(); ok; w, ok = a.replica.NextPersist() {
			a.replica.Persisted(w)
		}
		if err := a.replica.Err(); err != nil {
			a.t.Fatal(err)
		}
	}
}

// handle passes a valid report to the replica.
func (a *singleReplica) handle(report follower.Report) {
	a.t.Helper()
	if _, err := a.replica.HandleReport(a.now, report); err != nil {
		a.t.Fatal(err)
	}
}

func report(name, zone string, sequence uint64) follower.Report {
	good := health.Observation{StepCounts: health.StepCounts{Sent: 9, Succeeded: 9}, Observers: 1, RecentSteps: 5, Slots: 8}
	return follower.Report{Fleet: "f", Name: name, Zone: zone, Incarnation: 1, Sequence: sequence,
		Observations: health.Observations{"a": good, "b": good}}
}

// A voter without a leader grants no lease; other fleets' and unnamed reports are rejected.
func TestReplica_HandleReport_leaseNeedsLeader(t *testing.T) {
	a := newSingleReplica(t)
	if got, err := a.replica.HandleReport(0, report("n", "a", 1)); err != nil || got.Lease != 0 {
		t.Errorf("without a leader: %+v, %v", got, err)
	}
	a.play(time.Second)
	if got, err := a.replica.HandleReport(a.now, report("n", "a", 2)); err != nil || got.Lease != DefaultSettings().Lease {
		t.Errorf("with one: %+v, %v", got, err)
	}
	stranger, nameless := report("n", "a", 3), report("", "a", 3)
	stranger.Fleet = "g"
	for _, r := range []follower.Report{stranger, nameless} {
		if _, err := a.replica.HandleReport(a.now, r); err == nil {
			t.Errorf("%+v is accepted", r)
		}
	}
	if err := a.replica.Receive(a.now, Message{Fleet: "g"}); err == nil {
		t.Error("a message of another fleet is accepted")
	}
	if err := a.replica.Receive(a.now, Message{Fleet: "f", From: 2, Log: [][]byte{{1, 2, 3}}}); err == nil {
		t.Error("an undecodable message is accepted")
	}
}

// A report of an earlier incarnation is ignored, also if it arrives late.
func TestReplica_HandleReport_ignoresEarlierIncarnation(t *testing.T) {
	a := newSingleReplica(t)
	a.play(time.Second)
	later := report("n", "a", 1)
	later.Incarnation = 5
	a.handle(later)
	old := report("n", "a", 9)
	old.Observations = health.Observations{"a": {StepCounts: health.StepCounts{Failed: 99}, Observers: 1, FailingObservers: 1, RecentSteps: 5}}
	if got, _ := a.replica.HandleReport(a.now, old); got.Lease != 0 || got.Incarnation != 5 {
		t.Errorf("%+v", got)
	}
	if s := a.replica.localDigest()["a"].Observations["a"]; s.Failed != 0 {
		t.Errorf("its observations count: %+v", s.StepCounts)
	}
	a.replica.config.DisabledCheck = "incarnation"
	if a.handle(old); a.replica.localDigest()["a"].Observations["a"].Failed == 0 {
		t.Error("without the check it is still ignored")
	}
}

// An override is committed, applies until its end and is then cleared; the last serving zone cannot be evacuated.
func TestReplica_ProposeOverride_appliesUntilItsEnd(t *testing.T) {
	a := newSingleReplica(t)
	a.play(time.Second)
	n := uint64(0)
	reportAll := func() {
		n++
		a.handle(report("n", "a", n))
		a.handle(report("m", "b", n))
	}
	propose := func(w commands.Override) error {
		err := errors.New("not committed")
		a.replica.ProposeOverride(a.now, w, func(e error) { err = e })
		for range 5 {
			reportAll()
			a.play(300 * time.Millisecond)
		}
		return err
	}
	reportAll()
	if err := propose(commands.Override{Zone: "b", Action: commands.OverrideEvacuate, Reason: "works", Until: 100}); err != nil || a.replica.Table().Zone("b").Phase != commands.PhaseEvacuated {
		t.Fatalf("%v, %+v", err, a.replica.Table())
	}
	if err := propose(commands.Override{Zone: "a", Action: commands.OverrideEvacuate, Reason: "works", Until: 100}); err == nil {
		t.Error("the last zone is evacuated")
	}
	if err := propose(commands.Override{Zone: "a", Action: "burn"}); err == nil {
		t.Error("an invalid override is committed")
	}
	a.wall = 101
	for range 5 {
		reportAll()
		a.play(300 * time.Millisecond)
	}
	if len(a.replica.Table().Overrides) != 0 {
		t.Errorf("after its end: %+v", a.replica.Table().Overrides)
	}
}

// A pause of the process does not count as silence of the leader.
func TestReplica_Tick_stallIsNotLeaderTimeout(t *testing.T) {
	a := newSingleReplica(t)
	a.play(time.Second)
	term := a.replica.Log().Term()
	a.now += time.Hour
	if a.play(time.Second); a.replica.Log().Term() != term || !a.replica.Log().IsLeader() {
		t.Errorf("term %d, then %d", term, a.replica.Log().Term())
	}
}
