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

func newSession(t *testing.T, r *localNode, options ...client.Option) *client.Session {
	t.Helper()
	made, err := r.admin.Create(t.Context(), "anna", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New("http://"+r.batch.Listen, made.Token, options...)
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.CreateSession(t.Context(), "default")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Prep workers that die at each byte of their last message: every booking begins once and has one final state, and is
// DONE only if the complete message arrived.
func TestBatch_workerDiesBetweenTwoBytes(t *testing.T) {
	const messageBytes = len("20\r\n" + `{"state":"done","result":"cut"}` + "\n") // up to the line's end
	r := newTestNode(t, func(j fakeplatform.Job) fakeplatform.Act {
		n, err := strconv.Atoi(j.Path[strings.LastIndexByte(j.Path, '/')+1:])
		if err != nil {
			return fakeplatform.Act{Kind: fakeplatform.Reject}
		}
		return fakeplatform.Act{Kind: fakeplatform.Cut, Bytes: n - 1, Run: time.Millisecond}
	})
	s := newSession(t, r)
	a, err := s.RunBulk(t.Context(), drmaa.Bulk{Begin: 1, End: messageBytes + 10, MaxParallel: 4,
		Template: &drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", Args: []string{drmaa.IndexPlaceholder}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.WaitArray(t.Context(), a.ID); err != nil {
		t.Fatal(err)
	}
	begun := r.fleet.StartCounts()
	for j, err := range s.Jobs(t.Context(), drmaa.Filter{Array: a.ID}) {
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case begun[j.ID] != 1:
			t.Errorf("%s begun %d times", j.ID, begun[j.ID])
		case j.Index-1 < messageBytes && (j.State != drmaa.Failed || !j.MayHaveRun):
			t.Errorf("%s, cut at byte %d, is %s, may have run %v", j.ID, j.Index-1, j.State, j.MayHaveRun)
		case j.State != drmaa.Done && j.State != drmaa.Failed:
			t.Errorf("%s is %s", j.ID, j.State)
		}
	}
}

// A prep worker vanishes with bookings and idempotent jobs in flight, and returns: the idempotent jobs are retried
// elsewhere, no booking begins twice, and all jobs end.
func TestBatch_workerVanishesAndReturns(t *testing.T) {
	r := newTestNode(t, fakeplatform.FixedRunTime(50*time.Millisecond))
	s := newSession(t, r)
	var arrays []*drmaa.Array
	for _, class := range []string{"auftrag-buchen", "vorschau"} {
		a, err := s.RunBulk(t.Context(), drmaa.Bulk{Begin: 1, End: 40, Template: &drmaa.JobTemplate{RemoteCommand: class}})
		if err != nil {
			t.Fatal(err)
		}
		arrays = append(arrays, a)
	}
	gone := r.fleet.Workers[0]
	for range 3 {
		came, _, _ := gone.Totals()
		if err := fakeplatform.WaitUntil(t.Context(), time.Second, func() bool { now, _, _ := gone.Totals(); return now > came }); err != nil {
			break // the arrays have ended
		}
		gone.Crash()
		if err := gone.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for i, a := range arrays {
		over, err := s.WaitArray(t.Context(), a.ID)
		if err != nil {
			t.Fatal(err)
		}
		if i == 1 && over.States[drmaa.Done] != 40 {
			t.Errorf("checks: %v", over.States)
		}
		for j, err := range s.Jobs(t.Context(), drmaa.Filter{Array: a.ID}) {
			if err != nil {
				t.Fatal(err)
			}
			if n := r.fleet.StartCounts()[j.ID]; i == 0 && (n > 1 || j.State == drmaa.Failed && !j.MayHaveRun || j.State == drmaa.Done && n != 1) {
				t.Errorf("booking %s is %s (%s), begun %d times", j.ID, j.State, j.SubState, n)
			}
		}
	}
}

// A wait that is pending when the node shuts down is answered with TryLater; the job stays in the store of record.
func TestBatch_waitDuringShutdown(t *testing.T) {
	r := newTestNode(t, fakeplatform.FixedRunTime(time.Millisecond))
	s := newSession(t, r, client.WithMaxAttempts(1))
	j, err := s.Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() { _, err := s.Wait(t.Context(), j.ID, client.Terminated); got <- err }()
	if err := fakeplatform.WaitUntil(t.Context(), demoReadyTimeout, func() bool {
		q, err := r.admin.Queue(t.Context())
		return err == nil && q.Waits == 1
	}); err != nil {
		t.Fatal(err)
	}
	r.shutdown()
	if err := <-got; !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) {
		t.Errorf("the wait was answered %v", err)
	}
}
