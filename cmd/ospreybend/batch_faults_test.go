package main

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/testkit/fakeplatform"
)

func newSession(t *testing.T, node *localNode, options ...client.Option) *client.Session {
	t.Helper()
	tenant, err := node.admin.CreateTenant(t.Context(), "anna", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New("http://"+node.batch.Listen, tenant.Token, options...)
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.CreateSession(t.Context(), "default")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A worker's connection breaks inside its last message, after each byte in turn. Every booking must begin exactly once and
// reach one final state, which may be DONE only if the complete message arrived.
func TestBatch_workerDiesBetweenTwoBytes(t *testing.T) {
	const messageBytes = len("20\r\n" + `{"state":"done","result":"cut"}` + "\n") // up to the end of the line
	node := newTestNode(t, func(j fakeplatform.Job) fakeplatform.Act {
		n, err := strconv.Atoi(j.Path[strings.LastIndexByte(j.Path, '/')+1:])
		if err != nil {
			return fakeplatform.Act{Kind: fakeplatform.Reject}
		}
		return fakeplatform.Act{Kind: fakeplatform.Cut, Bytes: n - 1, Run: time.Millisecond}
	})
	s := newSession(t, node)
	a, err := s.RunBulk(t.Context(), drmaa.Bulk{Begin: 1, End: messageBytes + 10, MaxParallel: 4,
		Template: &drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", Args: []string{drmaa.IndexPlaceholder}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.WaitArray(t.Context(), a.ID); err != nil {
		t.Fatal(err)
	}
	begun := node.fleet.StartCounts()
	for j, err := range s.Jobs(t.Context(), drmaa.Filter{Array: a.ID}) {
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case begun[j.ID] != 1:
			t.Errorf("job %s began %d times, want 1", j.ID, begun[j.ID])
		case j.Index-1 < messageBytes && (j.State != drmaa.Failed || !j.MayHaveRun):
			t.Errorf("job %s, message cut after %d of %d bytes: state %s, may have run %v; want FAILED, true", j.ID, j.Index-1, messageBytes, j.State, j.MayHaveRun)
		case j.State != drmaa.Done && j.State != drmaa.Failed:
			t.Errorf("job %s: state %s, want DONE or FAILED", j.ID, j.State)
		}
	}
}

// A worker stops abruptly with bookings and idempotent jobs in flight, and restarts. The idempotent jobs must be retried
// on another worker, no booking may begin twice, and all jobs must reach a final state.
func TestBatch_workerVanishesAndReturns(t *testing.T) {
	node := newTestNode(t, fakeplatform.FixedRunTime(50*time.Millisecond))
	s := newSession(t, node)
	var arrays []*drmaa.Array
	for _, class := range []string{"auftrag-buchen", "vorschau"} {
		a, err := s.RunBulk(t.Context(), drmaa.Bulk{Begin: 1, End: 40, Template: &drmaa.JobTemplate{RemoteCommand: class}})
		if err != nil {
			t.Fatal(err)
		}
		arrays = append(arrays, a)
	}
	worker := node.fleet.Workers[0]
	for range 3 {
		before, _, _ := worker.Totals()
		if err := fakeplatform.WaitUntil(t.Context(), time.Second, func() bool { now, _, _ := worker.Totals(); return now > before }); err != nil {
			break // the arrays have ended
		}
		worker.Crash()
		if err := worker.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for i, a := range arrays {
		ended, err := s.WaitArray(t.Context(), a.ID)
		if err != nil {
			t.Fatal(err)
		}
		if i == 1 && ended.States[drmaa.Done] != 40 {
			t.Errorf("idempotent jobs after the worker's restarts: states %v, want 40 DONE", ended.States)
		}
		for j, err := range s.Jobs(t.Context(), drmaa.Filter{Array: a.ID}) {
			if err != nil {
				t.Fatal(err)
			}
			if n := node.fleet.StartCounts()[j.ID]; i == 0 && (n > 1 || j.State == drmaa.Failed && !j.MayHaveRun || j.State == drmaa.Done && n != 1) {
				t.Errorf("booking %s: state %s (%s), may have run %v, began %d times; want at most one start, exactly one if DONE, and FAILED only if it may have run",
					j.ID, j.State, j.SubState, j.MayHaveRun, n)
			}
		}
	}
}

// A wait that is pending when the node shuts down is answered with TryLater; the job stays in the store of record.
func TestBatch_waitDuringShutdown(t *testing.T) {
	node := newTestNode(t, fakeplatform.FixedRunTime(time.Millisecond))
	s := newSession(t, node, client.WithMaxAttempts(1))
	j, err := s.Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true})
	if err != nil {
		t.Fatal(err)
	}
	waitErr := make(chan error, 1)
	go func() { _, err := s.Wait(t.Context(), j.ID, client.Terminated); waitErr <- err }()
	if err := fakeplatform.WaitUntil(t.Context(), demoReadyTimeout, func() bool {
		q, err := node.admin.Queue(t.Context())
		return err == nil && q.Waits == 1
	}); err != nil {
		t.Fatal(err)
	}
	node.shutdown()
	if err := <-waitErr; !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) {
		t.Errorf("wait pending at shutdown: error %v, want TryLater", err)
	}
}
