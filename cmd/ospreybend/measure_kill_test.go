package main

import (
	"context"
	"os"
	"testing"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/testkit/fakeplatform"
)

// TestMain runs the test binary as the program where childEnv is set, for tests that need processes of it.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		if os.Getenv(refuseEnv) != "" {
			refuseSystemCalls()
		}
		os.Exit(runCommand(catchSignals(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startChild starts the program as a node among fake workers that take the given time for a job.
func startChild(t *testing.T, workers, slots int, run time.Duration) (*fakeplatform.Fleet, *child) {
	t.Helper()
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, workers, slots, fakeplatform.FixedRunTime(run))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	n, err := newChild(t.TempDir(), fleet.Discovery.Address(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.kill() })
	if err := n.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return fleet, n
}

// A node killed during a bulk submission has all of its jobs in the store or none, and the same submission, repeated, is
// one array whose bookings begin once.
func TestNode_killedDuringBulkSubmission(t *testing.T) {
	fleet, n := startChild(t, 2, 16, time.Millisecond)
	made, err := n.admin.Create(t.Context(), "anna", 100_000)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New(n.batch, made.Token)
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.CreateSession(t.Context(), "default")
	if err != nil {
		t.Fatal(err)
	}
	const jobs = 3000
	recorded := 0
	for round := range 6 {
		b := drmaa.Bulk{Begin: 1, End: jobs, Template: &drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", SubmitAsHold: true,
			ClientKey: "bulk " + string(rune('a'+round))}}
		ctx, stop := context.WithCancel(t.Context())
		answered := make(chan error, 1)
		go func() { _, err := s.RunBulk(ctx, b); answered <- err }()
		time.Sleep(time.Duration(5+round*12) * time.Millisecond)
		if err := n.kill(); err != nil {
			t.Fatal(err)
		}
		stop()
		if err := <-answered; err != nil {
			t.Log("the bulk call during the kill: ", err)
		}
		if err := n.start(t.Context()); err != nil {
			t.Fatal(err)
		}
		got := 0
		for _, err := range s.Jobs(t.Context(), drmaa.Filter{States: []drmaa.State{drmaa.QueuedHeld}}) {
			if err != nil {
				t.Fatal(err)
			}
			got++
		}
		if got != recorded && got != recorded+jobs {
			t.Fatalf("round %d: %d jobs of a bulk of %d are in the store", round, got-recorded, jobs)
		}
		t.Logf("round %d: killed with %d of the bulk in the store", round, got-recorded)
		a, err := s.RunBulk(t.Context(), b)
		if err != nil || a.Jobs != jobs {
			t.Fatal(a, err)
		}
		recorded += jobs
	}
	// One booking of the last bulk, released, begins once.
	if err := s.Act(t.Context(), firstID(t, s), "release"); err != nil {
		t.Fatal(err)
	}
	j, err := s.WaitAny(t.Context(), client.Terminated, "")
	if err != nil || j.State != drmaa.Done || fleet.StartCounts()[j.ID] != 1 {
		t.Errorf("%+v, begun %d times, %v", j, fleet.StartCounts()[j.ID], err)
	}
}

// firstID returns the identifier of the session's first job.
func firstID(t *testing.T, s *client.Session) string {
	t.Helper()
	for j, err := range s.Jobs(t.Context(), drmaa.Filter{}) {
		if err != nil {
			t.Fatal(err)
		}
		return j.ID
	}
	t.Fatal("no job")
	return ""
}

// A node killed during bookings: after its restart none is lost, none begins twice, and only the few in flight to a worker
// are undecided.
func TestMeasureKill_duringBookings(t *testing.T) {
	c := measureKill{Clients: 8, For: 300 * time.Millisecond, JobRun: 20 * time.Millisecond}
	a, err := c.runRound(t.Context(), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", a)
	if a.Acknowledged == 0 || a.Twice+a.Forgotten+a.OtherFailed > 0 || a.Done+a.Undecided != a.Acknowledged || a.Undecided > 64 {
		t.Errorf("%+v", a)
	}
}

// A node that dies at any fault point of a booking: none is lost or begins twice, and undecided are only those that may
// have reached a worker.
func TestMeasureKill_atEachFaultPoint(t *testing.T) {
	c := measureKill{Clients: 4, JobRun: 10 * time.Millisecond}
	for _, point := range faultinjection.Points() {
		a, err := c.runRound(t.Context(), point, 9)
		if err != nil {
			t.Fatal(point, err)
		}
		t.Logf("%+v", a)
		if a.Twice+a.Forgotten+a.OtherFailed > 0 || a.Done+a.Undecided != a.Acknowledged {
			t.Errorf("%+v", a)
		}
	}
}
