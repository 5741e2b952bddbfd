package main

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/testkit/fakeplatform"
)

// TestMain runs the test binary as the program itself if childEnv is set, for tests that start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		if os.Getenv(denySystemCallsEnv) != "" {
			denySystemCalls()
		}
		os.Exit(runCommand(catchSignals(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startChild starts the program as a node with fake workers that take the given time for each job.
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

// killTestTimeout ends TestNode_killedDuringBulkSubmission at the call that does not return, before the package's tests are ended as a whole.
const killTestTimeout = 3 * time.Minute

// A node is killed at different times during a bulk submission. Its store must contain all jobs of the bulk or none, and
// repeating the submission must yield one array whose bookings begin once.
func TestNode_killedDuringBulkSubmission(t *testing.T) {
	fleet, n := startChild(t, 2, 16, time.Millisecond)
	testCtx, cancel := context.WithTimeout(t.Context(), killTestTimeout)
	defer cancel()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("end of the node's log:\n%s", n.logTail())
		}
	})
	tenant, err := n.admin.CreateTenant(testCtx, "anna", 100_000)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New(n.batch, tenant.Token)
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.CreateSession(testCtx, "default")
	if err != nil {
		t.Fatal(err)
	}
	const jobs = 3000
	recorded := 0
	for round := range 6 {
		b := drmaa.Bulk{Begin: 1, End: jobs, Template: &drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", SubmitAsHold: true,
			ClientKey: "bulk " + string(rune('a'+round))}}
		ctx, stop := context.WithCancel(testCtx)
		bulkErr := make(chan error, 1)
		go func() { _, err := s.RunBulk(ctx, b); bulkErr <- err }()
		time.Sleep(time.Duration(5+round*12) * time.Millisecond)
		if err := n.kill(); err != nil {
			t.Fatal(err)
		}
		stop()
		if err := <-bulkErr; err != nil {
			t.Log("bulk submission during the kill: ", err)
		}
		if err := n.start(testCtx); err != nil {
			t.Fatal(err)
		}
		got := 0
		for _, err := range s.Jobs(testCtx, drmaa.Filter{States: []drmaa.State{drmaa.QueuedHeld}}) {
			if err != nil {
				t.Fatal(err)
			}
			got++
		}
		if got != recorded && got != recorded+jobs {
			t.Fatalf("round %d: store has %d jobs of a bulk of %d after the kill, want all or none", round, got-recorded, jobs)
		}
		t.Logf("round %d: killed with %d of the bulk in the store", round, got-recorded)
		a, err := s.RunBulk(testCtx, b)
		if err != nil || a.Jobs != jobs {
			t.Fatalf("round %d: repeated bulk submission: array %+v, error %v; want %d jobs", round, a, err, jobs)
		}
		recorded += jobs
	}
	// A released booking begins once.
	if err := s.Act(testCtx, firstID(t, s), "release"); err != nil {
		t.Fatal(err)
	}
	j, err := s.WaitAny(testCtx, client.Terminated, "")
	if err != nil || j.State != drmaa.Done || fleet.StartCounts()[j.ID] != 1 {
		t.Errorf("released booking: %+v, began %d times, error %v; want DONE and begun once", j, fleet.StartCounts()[j.ID], err)
	}
}

// TestChild_serves_silentListener guards against waiting for ever for a node at whose address another process listens that never answers, as
// when that process took the port of a killed node.
func TestChild_serves_silentListener(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ended := make(chan bool, 1)
	go func() { ended <- (&child{platform: "http://" + silent.Addr().String()}).serves(t.Context()) }()
	select {
	case served := <-ended:
		if served {
			t.Fatal("a listener that never answers counts as a node that serves")
		}
	case <-time.After(10 * serveCheckTimeout):
		t.Fatal("the check of a listener that never answers does not end")
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
	t.Fatal("the session has no job")
	return ""
}

// A node is killed during bookings. After its restart none must be lost or begin twice, and only the few that were in
// flight to a worker may be undecided.
func TestMeasureKill_duringBookings(t *testing.T) {
	c := measureKill{Clients: 8, For: 300 * time.Millisecond, JobRun: 20 * time.Millisecond}
	a, err := c.runRound(t.Context(), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", a)
	if a.Acknowledged == 0 || a.BegunTwice+a.Lost+a.OtherFailed > 0 || a.Done+a.Undecided != a.Acknowledged || a.Undecided > 64 {
		t.Errorf("audit after the restart: %+v; want acknowledged bookings, each done or undecided, at most 64 undecided, none lost or begun twice", a)
	}
}

// A node kills itself at each fault point of a booking in turn. No booking must be lost or begin twice, and only those
// that may have reached a worker may be undecided.
func TestMeasureKill_atEachFaultPoint(t *testing.T) {
	c := measureKill{Clients: 4, JobRun: 10 * time.Millisecond}
	for _, point := range faultinjection.Points() {
		a, err := c.runRound(t.Context(), point, 9)
		if err != nil {
			t.Fatalf("fault point %s: %v", point, err)
		}
		t.Logf("%+v", a)
		if a.BegunTwice+a.Lost+a.OtherFailed > 0 || a.Done+a.Undecided != a.Acknowledged {
			t.Errorf("fault point %s: audit %+v; want each acknowledged booking done or undecided, none lost or begun twice", point, a)
		}
	}
}
