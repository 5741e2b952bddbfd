package jobs

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
)

// template returns a job template with a class.
func template(command string) drmaa.JobTemplate { return drmaa.JobTemplate{RemoteCommand: command} }

// targetsInCore returns the targets of the operations in the core, in launch order.
func (r *fixture) targetsInCore() (out []string) {
	for previous := range r.core.last {
		if op := r.core.ops[previous+1]; op != nil {
			out = append(out, op.Work.Target)
		}
	}
	return out
}

// fillWindow submits jobs until one has to wait in the queue, and returns them.
func (r *fixture) fillWindow() (all []*Job) {
	for r.manager.queue.Len() == 0 {
		all = append(all, r.submit(template(idempotentClass)))
	}
	return all
}

// Queued jobs are launched by priority, and in submission order within a priority.
func TestManager_queueOrder(t *testing.T) {
	r := newFixture(t)
	first := r.fillWindow()
	var queued []*Job
	for _, priority := range []int{0, 5, -5, 5} {
		job := template(nonIdempotentClass)
		job.Priority, job.Args = priority, []string{fmt.Sprint(len(queued))}
		queued = append(queued, r.submit(job))
	}
	for _, job := range first {
		r.core.serve(job)
	}
	for _, want := range []int{1, 3, 0, 2} {
		job := queued[want]
		if job.stage != inCore {
			t.Fatalf("job %d is not in the core next; in the core: %v", want, r.targetsInCore())
		}
		r.core.serve(job)
		r.checkState(job, drmaa.Done)
	}
}

func TestManager_startTimeAndDeadlineInTheQueue(t *testing.T) {
	r := newFixture(t)
	later := template(nonIdempotentClass)
	later.StartTime = drmaa.FormatTime(r.manager.unixNow() + 30e6)
	job := r.submit(later)
	if r.checkState(job, drmaa.Queued); len(r.core.ops) != 0 {
		t.Fatal("job launched before its start time")
	}
	r.advance(31 * time.Second)
	r.runStoreCalls()
	if job.stage != inCore {
		t.Fatal("job not launched after its start time")
	}
	r.core.serve(job)
	r.core.ready = false
	short := template(nonIdempotentClass)
	short.Deadline = 5
	late := r.submit(short)
	r.advance(4 * time.Second)
	r.checkState(late, drmaa.Queued)
	r.advance(2 * time.Second)
	r.runStoreCalls()
	if r.checkState(late, drmaa.Failed); late.MayHaveRun || late.Sent {
		t.Errorf("job that only waited: got MayHaveRun %v, Sent %v, want false", late.MayHaveRun, late.Sent)
	}
}

// If a job is held while it is being recorded as sent, it is not sent, and it is stored as held.
func TestManager_Act_holdWhileRecordedAsSent(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	r.core.beginSend(job, 0) // the update to sent is queued
	if len(r.calls) != 1 || r.core.operationOf(job).inFlight != 0 {
		t.Fatalf("%d store calls queued, %d steps in flight, want 1 and 0", len(r.calls), r.core.operationOf(job).inFlight)
	}
	if e := r.act(job, Hold); e != nil {
		t.Fatal(e)
	}
	if r.checkState(job, drmaa.QueuedHeld); len(r.core.ops) != 0 || r.manager.window.State().Used != 0 {
		t.Fatalf("held job: got %d operations in the core, %v slots in use, want none", len(r.core.ops), r.manager.window.State().Used)
	}
	if rec := r.store.jobs[job.ID]; rec.Sent || !rec.Held {
		t.Errorf("stored job: got Sent %v, Held %v, want false, true", rec.Sent, rec.Held)
	}
	r.start() // a restart restores it as held
	again := r.manager.jobs[job.ID]
	r.runStoreCalls()
	r.checkState(again, drmaa.QueuedHeld)
	if e := r.act(again, Hold); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("hold of a held job: got %v, want InvalidState", e)
	}
	if e := r.act(again, Release); e != nil {
		t.Fatal(e)
	}
	r.core.serve(again)
	r.checkState(again, drmaa.Done)
}

// A job in the core can be held unless one of its steps may have run.
func TestManager_Act_holdInTheCore(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	if e := r.act(job, Hold); e != nil || len(r.core.ops) != 0 {
		t.Fatalf("hold of a job in the core: error %v, %d operations left in the core", e, len(r.core.ops))
	}
	if e := r.act(job, Release); e != nil {
		t.Fatal("not released: ", e)
	}
	r.core.sendStep(job, 0)
	if e := r.act(job, Hold); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("hold while a step is in flight: got %v, want InvalidState", e)
	}
	r.core.endStep(job, 0, balance.Full)
	r.core.answer(job, routing.Answer{Verdict: routing.Refused, RetryAfter: time.Second})
	r.checkState(job, drmaa.Requeued)
	if e := r.act(job, Hold); e != nil {
		t.Fatal(e)
	}
	r.checkState(job, drmaa.RequeuedHeld)
	r.advance(10 * time.Second)
	r.runStoreCalls()
	if len(r.core.ops) != 0 {
		t.Error("a held job was launched again")
	}
	if e := r.act(job, Release); e != nil {
		t.Fatal("not released: ", e)
	}
	r.checkState(job, drmaa.Requeued)
	r.core.serve(job)
	r.checkState(job, drmaa.Done)
}

// If the store fails to record a hold or a release, the job keeps its state.
func TestManager_Act_storeFailsHoldAndRelease(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	job := r.submit(template(nonIdempotentClass))
	var got *drmaa.Error
	r.manager.Act(job, Hold, func(e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if r.checkState(job, drmaa.Queued); got != StoreFailed {
		t.Errorf("answered %v", got)
	}
	if e := r.act(job, Hold); e != nil {
		t.Fatal("not held: ", e)
	}
	r.manager.Act(job, Release, func(e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if r.checkState(job, drmaa.QueuedHeld); got != StoreFailed {
		t.Errorf("answered %v", got)
	}
}

// At most MaxParallel jobs of an array are active. The client key identifies the array.
func TestManager_SubmitBulk_maxParallel(t *testing.T) {
	r := newFixture(t)
	one := template(nonIdempotentClass)
	one.Args = []string{"teil-" + drmaa.IndexPlaceholder}
	one.ClientKey = "k"
	b := drmaa.Bulk{Template: &one, Begin: 2, End: 10, Step: 2, MaxParallel: 2}
	a := r.submitBulk(b)
	if got := r.targetsInCore(); len(got) != 2 || got[0] != "/buchen/teil-2" || got[1] != "/buchen/teil-4" {
		t.Fatalf("targets in the core: got %v, want those of jobs 2 and 4", got)
	}
	if again := r.submitBulk(b); again != a {
		t.Error("a second submission with the same client key created another array")
	}
	r.core.serve(a.unfinishedJobs[2])
	if got := r.targetsInCore(); len(got) != 2 || got[1] != "/buchen/teil-6" {
		t.Fatalf("targets in the core after the end of job 2: got %v, want those of jobs 4 and 6", got)
	}
	// Terminate after one job has started: running jobs are withdrawn, waiting ones never run.
	ends := 0
	r.manager.WaitArray(a, false, true, time.Hour, func(*Job, *drmaa.Error) { ends++ })
	r.core.sendStep(a.unfinishedJobs[4], 0)
	r.core.startStep(a.unfinishedJobs[4], 0)
	four, six := a.unfinishedJobs[4], a.unfinishedJobs[6]
	var n *drmaa.Affected
	r.manager.ActOnArray(a, Terminate, func(got *drmaa.Affected, e *drmaa.Error) { n = got })
	r.runStoreCalls()
	if n == nil || n.Applied != 4 || ends != 1 || len(r.core.ops) != 0 {
		t.Fatalf("Terminate: got %+v, %d waits answered, %d operations in the core, want 4 applied, 1 and 0", n, ends, len(r.core.ops))
	}
	if !four.MayHaveRun || six.MayHaveRun {
		t.Errorf("MayHaveRun: got %v for the started job and %v for the waiting one, want true and false", four.MayHaveRun, six.MayHaveRun)
	}
	v := r.manager.ViewArray(a)
	if !v.AllEnded || v.States[drmaa.Done] != 1 || v.States[drmaa.Failed] != 4 || v.Jobs != 5 {
		t.Errorf("array after Terminate: got %+v, want 5 ended jobs, 1 done and 4 failed", v)
	}
	r.manager.ActOnArray(a, Hold, func(_ *drmaa.Affected, e *drmaa.Error) {
		if e == nil || e.Name != drmaa.InvalidState {
			t.Errorf("hold of an ended array: got %v, want InvalidState", e)
		}
	})
	if r.anna().unfinished != 0 {
		t.Errorf("got %d unfinished jobs, want 0", r.anna().unfinished)
	}
}

// An array is accepted with all its jobs or not at all.
func TestManager_SubmitBulk_allOrNothing(t *testing.T) {
	r := newFixture(t)
	one := template(nonIdempotentClass)
	var got *drmaa.Error
	r.manager.SubmitBulk(r.manager.tenants["ben"], "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { got = e })
	if got == nil || got.Status != 429 {
		t.Fatalf("SubmitBulk over the quota: got %v, want status 429", got)
	}
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if got != StoreFailed || len(r.manager.jobs) != 0 || len(r.manager.arrays) != 0 || r.anna().unfinished != 0 || len(r.core.ops) != 0 {
		t.Fatalf("SubmitBulk with a failed store: got %v and %d jobs in memory, want StoreFailed and none", got, len(r.manager.jobs))
	}
	r.advance(2 * time.Second) // while the store is failing submissions are rejected
	// After a kill between the commit and the acknowledgement all jobs are restored.
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) {})
	_ = r.calls[0].do(t.Context(), r.store)
	r.start()
	if len(r.manager.jobs) != 3 || len(r.manager.arrays) != 1 {
		t.Fatalf("after the restart: got %d jobs, %d arrays, want 3 and 1", len(r.manager.jobs), len(r.manager.arrays))
	}
}

// Destroying a session ends its jobs, answers its waits and removes it.
func TestManager_DestroySession(t *testing.T) {
	r := newFixture(t)
	running, waiting := r.submit(template(nonIdempotentClass)), template(nonIdempotentClass)
	waiting.SubmitAsHold = true
	held := r.submit(waiting)
	r.core.sendStep(running, 0)
	r.core.startStep(running, 0)
	ends, waits := 0, 0
	r.manager.WaitSession(r.anna().sessions["s"], false, time.Hour, func(*Job, *drmaa.Error) { waits++ })
	tp := template(nonIdempotentClass)
	var late *drmaa.Error
	r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { late = e }) // still being stored when the session is destroyed
	for range 2 {
		r.manager.DestroySession(r.anna(), "s", func(e *drmaa.Error) {
			if e == nil {
				ends++
			}
		})
	}
	r.runStoreCalls()
	if ends != 2 || waits != 1 || len(r.core.ops) != 0 || len(r.manager.jobs) != 0 || late != nil {
		t.Fatalf("got %d callbacks, %d waits answered, %d operations in the core, %d jobs in memory, error %v of the late submission, want 2, 1, 0, 0, nil",
			ends, waits, len(r.core.ops), len(r.manager.jobs), late)
	}
	for _, job := range []*Job{running, held} {
		if r.checkState(job, drmaa.Failed); r.store.jobs[job.ID].State != drmaa.Failed {
			t.Errorf("job %s: got stored state %s, want FAILED", job.ID, r.store.jobs[job.ID].State)
		}
	}
	if _, e := r.manager.Session(r.anna(), "s"); e != UnknownSession {
		t.Errorf("Session after its destruction: got %v, want UnknownSession", e)
	}
}

// The second of two concurrent creations fails; a creation that the store fails to record leaves no
// session; a session that is created while an old one of the same name is being removed remains.
func TestManager_SetSession_concurrentCreates(t *testing.T) {
	r := newFixture(t)
	var got []*drmaa.Error
	record := func(_ *Session, e *drmaa.Error) { got = append(got, e) }
	r.manager.SetSession(r.anna(), "x", SessionOpen, "create", record)
	r.manager.SetSession(r.anna(), "x", SessionOpen, "create", record)
	r.runStoreCalls()
	if len(got) != 2 || got[0] != sessionExists || got[1] != nil {
		t.Errorf("errors of two concurrent creations: got %v, want sessionExists for the second call and none for the first", got)
	}
	r.manager.SetSession(r.anna(), "y", SessionOpen, "create", record)
	r.runStoreCall(callFails)
	if r.anna().sessions["y"] != nil || got[2] != StoreFailed {
		t.Errorf("creation with a failed store: got error %v, want StoreFailed and no session", got[2])
	}
	r.advance(2 * time.Second) // while the store is failing submissions are rejected
	job := r.submit(template(nonIdempotentClass))
	ended := 0
	r.manager.DestroySession(r.anna(), "s", func(*drmaa.Error) { ended++ })
	if e := r.manager.Terminate(job); e != nil { // while the session is being destroyed
		t.Fatal("not terminated: ", e)
	}
	r.runStoreCalls()
	r.manager.SetSession(r.anna(), "s", SessionOpen, "create", record)
	r.runStoreCalls()
	r.advance(3 * time.Second)
	r.runStoreCalls()
	if ended != 1 || got[3] != nil || r.store.sessions[[2]string{"anna", "s"}] != SessionOpen || r.anna().sessions["s"] == nil {
		t.Errorf("got %d callbacks of DestroySession, error %v of the creation, stored sessions %v, want 1, nil, the new session open", ended, got[3], r.store.sessions)
	}
}

// If the program is killed while it destroys a session, the next run continues the destruction.
func TestManager_DestroySession_continuesAfterRestart(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(idempotentClass))
	r.manager.DestroySession(r.anna(), "s", func(*drmaa.Error) {})
	r.runStoreCall(callSucceeds)
	r.start()
	r.runStoreCalls()
	if r.store.jobs[job.ID].State != drmaa.Failed || !r.store.reaped[job.ID] || len(r.store.sessions) != 1 {
		t.Errorf("after the restart: got job %+v, sessions %v, want the job FAILED and reaped, and one session", r.store.jobs[job.ID], r.store.sessions)
	}
}

// Wait and WaitSession are answered by the first start or end, a timeout or a cancellation.
func TestManager_Wait_any(t *testing.T) {
	r := newFixture(t)
	a, b := r.submit(template(nonIdempotentClass)), r.submit(template(nonIdempotentClass))
	var got []string
	record := func(name string) func(*Job, *drmaa.Error) {
		return func(job *Job, e *drmaa.Error) {
			if e != nil {
				got = append(got, name+" "+string(e.Name))
				return
			}
			got = append(got, name+" "+map[*Job]string{a: "a", b: "b"}[job])
		}
	}
	s := r.anna().sessions["s"]
	r.manager.Wait([]*Job{a, b}, true, time.Second, record("started"))
	r.manager.Wait([]*Job{a, b}, false, time.Hour, record("ended"))
	r.manager.WaitSession(s, false, 2*time.Second, record("session"))
	gone := r.manager.Wait([]*Job{a}, false, time.Hour, record("gone"))
	gone()
	r.runStoreCalls()
	r.core.sendStep(b, 1)
	r.core.startStep(b, 1)
	r.advance(3 * time.Second)
	r.core.endStep(b, 1, balance.Served)
	r.core.answer(b, routing.Answer{Verdict: routing.Served})
	r.runStoreCalls()
	want := "[started b session TimeoutException ended b]"
	if fmt.Sprint(got) != want || r.manager.Counts().Waits != 0 {
		t.Errorf("answers: got %v, want %s; %d open waits, want 0", got, want, r.manager.Counts().Waits)
	}
	// A job that ended before the wait satisfies it, unless it has been reaped.
	r.manager.WaitSession(s, false, time.Second, record("after"))
	r.runStoreCalls()
	if got[len(got)-1] != "after b" {
		t.Errorf("answers after the end of job b: got %v, want \"after b\" last", got)
	}
	if e := r.act(a, Reap); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("reap of a waiting job: got %v, want InvalidState", e)
	}
	if e := r.act(b, Reap); e != nil {
		t.Fatal(e)
	}
	r.manager.Find(r.anna(), "s", b.ID, func(_ *Job, e *drmaa.Error) {
		if e != UnknownJob {
			t.Errorf("Find of a reaped job: got %v, want UnknownJob", e)
		}
	})
	r.manager.WaitSession(s, false, time.Second, record("reaped"))
	r.runStoreCalls()
	r.advance(2 * time.Second)
	if got[len(got)-1] != "reaped TimeoutException" {
		t.Errorf("answers after job b was reaped: got %v, want a timeout last", got)
	}
}

// A job fails after its operation failed at every prep worker; a rerunnable job fails after three
// such operations. Refusals for lack of capacity do not count.
func TestManager_StepEnded_failsAtEveryWorker(t *testing.T) {
	r := newFixture(t)
	isTrue := true
	rerunnable := template(idempotentClass)
	rerunnable.Rerunnable = &isTrue
	for _, c := range []struct {
		t    drmaa.JobTemplate
		runs int
	}{{template(idempotentClass), 1}, {rerunnable, 3}} {
		job := r.submit(c.t)
		runs := 0
		for ; !job.State.Final() && runs < 10; runs++ {
			r.core.sendStep(job, 0)
			r.core.startStep(job, 0)
			r.core.endStep(job, 0, balance.Errored)
			r.core.answer(job, routing.Answer{Verdict: routing.Refused})
			r.advance(11 * time.Second)
			r.runStoreCalls()
		}
		if v := r.manager.View(job); runs != c.runs || v.State != drmaa.Failed || v.ExitStatus == nil || *v.ExitStatus != 1 {
			t.Errorf("job refused after failed steps: got %d runs, %+v, want %d runs and FAILED with exit status 1", runs, v, c.runs)
		}
	}
	// While the core retries steps, a job fails at its third failed step, and a job with Rerunnable
	// set to false at its first.
	isFalse := false
	notRerunnable := template(idempotentClass)
	notRerunnable.Rerunnable = &isFalse
	for _, c := range []struct {
		t    drmaa.JobTemplate
		runs int
	}{{template(idempotentClass), 3}, {notRerunnable, 1}} {
		job := r.submit(c.t)
		runs := 0
		for ; !job.State.Final() && runs < 10; runs++ {
			r.core.sendStep(job, balance.WorkerID(runs))
			r.core.startStep(job, balance.WorkerID(runs))
			r.core.endStep(job, balance.WorkerID(runs), balance.Errored)
			r.timers.Run(r.now)
			r.runStoreCalls()
		}
		if v := r.manager.View(job); runs != c.runs || v.State != drmaa.Failed || *v.ExitStatus != 1 || len(r.core.ops) != 0 {
			t.Errorf("job with failed steps: got %d runs, %+v, want %d runs and FAILED with exit status 1", runs, v, c.runs)
		}
	}
	job := r.submit(template(idempotentClass))
	for range 20 {
		r.core.answer(job, routing.Answer{Verdict: routing.Refused})
		r.advance(11 * time.Second)
		r.runStoreCalls()
		if job.State.Final() {
			t.Fatalf("job ended as %s after refusals for lack of capacity", job.State)
		}
	}
}

// If the store stalls in BeforeSend until the core's timeout, nothing has run, so the job is requeued
// and not recorded as sent. An update to sent that is stored later is undone.
func TestManager_BeforeSend_storeStalls(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	r.core.beginSend(job, 0)
	r.core.answer(job, routing.Answer{Verdict: routing.Failed})
	r.checkState(job, drmaa.Requeued)
	r.runStoreCalls() // the update to sent is stored too late, and undone
	if rec := r.store.jobs[job.ID]; len(r.core.ops) != 0 && r.core.operationOf(job).inFlight > 0 || job.MayHaveRun || rec.EndedAt != 0 || rec.Sent {
		t.Fatalf("stored job after a stall: got %+v, want it unfinished and not sent", rec)
	}
	r.advance(10 * time.Second)
	r.runStoreCalls()
	if job.stage != inCore {
		t.Fatal("job not launched again after its backoff")
	}
	// If the store fails, no step is sent either.
	r.core.beginSend(job, 0)
	r.runStoreCall(callFails)
	if r.core.operationOf(job).inFlight != 0 || job.Sent {
		t.Fatal("a step was sent although the store failed to record the job as sent")
	}
	r.core.serve(job)
	r.checkState(job, drmaa.Done)
}

// Non-idempotent jobs that may have run are listed until they are settled. They can be settled once.
func TestManager_Undecided(t *testing.T) {
	r := newFixture(t)
	var lost []*Job
	for _, class := range []string{nonIdempotentClass, nonIdempotentClass, idempotentClass, nonIdempotentClass} {
		job := r.submit(template(class))
		r.core.sendStep(job, 0)
		r.core.startStep(job, 0)
		r.core.endStep(job, 0, balance.Reset)
		r.core.answer(job, routing.Answer{Verdict: routing.Failed})
		r.runStoreCalls()
		lost = append(lost, job)
	}
	list := func(after drmaa.Cursor) (page *drmaa.Page) {
		r.manager.Undecided(after, 2, func(p *drmaa.Page, e *drmaa.Error) { page = p })
		r.runStoreCalls()
		return page
	}
	first := list(drmaa.Cursor{})
	if len(first.Jobs) != 2 || first.Jobs[0].ID != lost[0].ID || first.Next == "" {
		t.Fatalf("first page: got %+v, want 2 jobs, the oldest first, and a next page", first)
	}
	settle := func(job *Job) (e *drmaa.Error) {
		r.manager.Settle(job.ID, true, "asked the worker", func(got *drmaa.Error) { e = got })
		r.runStoreCalls()
		return e
	}
	if e := settle(lost[0]); e != nil {
		t.Fatal(e)
	}
	if e := settle(lost[0]); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("second Settle: got %v, want InvalidState", e)
	}
	if v := r.manager.View(lost[0]); v.Settled == nil || !v.Settled.Ran || v.Settled.Reason != "asked the worker" || v.State != drmaa.Failed {
		t.Errorf("settled job: got %+v, want FAILED and settled as run", v)
	}
	if left := list(drmaa.Cursor{}); len(left.Jobs) != 2 || left.Jobs[1].ID != lost[3].ID || left.Next != "" {
		t.Errorf("page after Settle: got %+v, want the other 2 jobs and no next page", left)
	}
}

// View shows a job's steps and times, and Events the transitions of a job that migrates.
func TestManager_View(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(idempotentClass))
	r.core.sendStep(job, 0)
	r.core.startStep(job, 0)
	r.advance(time.Second)
	r.core.endStep(job, 0, balance.Reset)
	r.core.sendStep(job, 1)
	r.checkState(job, drmaa.Requeued)
	r.core.startStep(job, 1)
	r.advance(2 * time.Second)
	if v := r.manager.View(job); v.State != drmaa.Running || v.WallclockTime != 2 || v.Finished != "" {
		t.Errorf("running job: got %+v, want a wallclock time of 2 and no finish time", v)
	}
	r.core.endStep(job, 1, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("x")})
	r.runStoreCalls()
	v := r.manager.View(job)
	if v.ExitStatus == nil || *v.ExitStatus != 0 || v.Machines[0].Machine != "b" || v.WallclockTime != 2 || len(v.Steps) != 2 ||
		v.Steps[0].Outcome != "lost" || v.Steps[1].Outcome != "served" || v.Dispatched == "" || *v.Result != "x" {
		t.Errorf("ended job: got %+v, want the steps lost and served, machine b, result x", v)
	}
	events, _ := r.manager.Events(r.anna(), "s", "oldest", 100)
	var kinds []string
	for _, e := range events.Events {
		kinds = append(kinds, e.Event+" "+string(e.State)+e.Machine)
	}
	want := "[NEW_STATE QUEUED NEW_STATE RUNNING MIGRATED RUNNINGb NEW_STATE REQUEUED NEW_STATE RUNNING NEW_STATE DONE]"
	if fmt.Sprint(kinds) != want {
		t.Errorf("events: got %v, want %s", kinds, want)
	}
}

// A stream retains a bounded number of events and reports how many a reader has missed.
func TestManager_Events_boundedAndMissedCounted(t *testing.T) {
	r := newFixture(t)
	first, _ := r.manager.Events(r.anna(), "s", "", 10)
	woken := 0
	leave := r.manager.Follow(r.anna(), func() { woken++ })
	r.core.ready = false
	for range 200 {
		r.submit(template(idempotentClass))
	}
	if n := len(r.manager.streams["anna"].events); n > 64 || woken != 200 {
		t.Errorf("got %d events retained, %d notifications, want at most 64 and 200", n, woken)
	}
	leave()
	got, e := r.manager.Events(r.anna(), "s", first.Cursor, 1000)
	if e != nil || got.Missed+int64(len(got.Events)) != 200 || got.Missed == 0 {
		t.Fatalf("got %d events missed, %d read, error %v, want 200 in total and some missed", got.Missed, len(got.Events), e)
	}
	if more, _ := r.manager.Events(r.anna(), "s", got.Cursor, 10); len(more.Events) != 0 || more.Missed != 0 {
		t.Errorf("events after the last cursor: got %+v, want none", more)
	}
	if _, e := r.manager.Events(r.anna(), "s", "nonsense", 10); e == nil || e.Attribute != "cursor" {
		t.Errorf("Events with an invalid cursor: got error %v, want one for attribute cursor", e)
	}
	r.start()
	if after, _ := r.manager.Events(r.anna(), "s", got.Cursor, 10); after.Missed != -1 {
		t.Errorf("Events with a cursor from before a restart: got %+v, want Missed -1", after)
	}
}

// Pages neither repeat nor omit jobs while new jobs are submitted between reads.
func TestManager_List_pages(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	hold := template(idempotentClass)
	hold.SubmitAsHold = true
	for i := range 30 {
		if i%3 == 0 {
			r.submit(hold)
		} else {
			r.submit(template(idempotentClass))
		}
	}
	seen := map[string]int{}
	f := drmaa.Filter{Limit: 7, States: []drmaa.State{drmaa.QueuedHeld}}
	for pages := 0; ; pages++ {
		var page *drmaa.Page
		r.manager.List("anna", "s", f, func(p *drmaa.Page, e *drmaa.Error) { page = p })
		r.runStoreCalls()
		for _, v := range page.Jobs {
			if seen[v.ID]++; v.State != drmaa.QueuedHeld {
				t.Errorf("listed a job in state %s, want QUEUED_HELD", v.State)
			}
		}
		if page.Next == "" {
			if pages != 1 || len(seen) != 10 {
				t.Errorf("got %d pages with %d jobs, want 2 pages with 10 jobs", pages+1, len(seen))
			}
			break
		}
		r.submit(hold) // newer than all pages
		again, e := drmaa.ReadFilter("limit=7&state=QUEUED_HELD&next=" + page.Next)
		if e != nil {
			t.Fatal(e)
		}
		f = again
	}
	for id, n := range seen {
		if n != 1 {
			t.Errorf("job %s listed %d times, want once", id, n)
		}
	}
}

// 10,000 waiting jobs are restored in their order after a restart; held jobs remain held.
func TestManager_Load_manyWaiting(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	one := template(idempotentClass)
	a := r.submitBulk(drmaa.Bulk{Template: &one, Begin: 1, End: 10_000, Step: 1})
	for _, index := range []int{1, 5000} {
		if e := r.act(a.unfinishedJobs[index], Hold); e != nil {
			t.Fatal("not held: ", e)
		}
	}
	r.start()
	if r.manager.queue.Len()+len(r.manager.jobs)-10_000 != 9996 || // 10,000 less two held and two launched jobs
		r.anna().unfinished != 10_000 {
		t.Fatalf("after the restart: got %d jobs in the queue, %d unfinished, want 9996 and 10000", r.manager.queue.Len(), r.anna().unfinished)
	}
	last := 0
	r.manager.queue.All(func(job *Job) bool {
		if job.Index <= last || job.Index == 5000 {
			t.Errorf("job %d follows job %d in the queue", job.Index, last)
			return false
		}
		last = job.Index
		return true
	})
}

// Machines and Queues count the jobs of the given tenant only.
func TestManager_MachinesAndQueues(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	r.core.sendStep(job, 1)
	r.core.startStep(job, 1)
	hold := template(idempotentClass)
	hold.SubmitAsHold = true
	r.submit(hold)
	r.manager.LoadReported(1, []float32{3, 2.5})
	got := r.manager.Machines(r.anna())
	if len(got) != 2 || got[0].Name != "a" || got[0].Available || got[1].BatchSlots != 1 || *got[1].FreeSlots != 2.5 || got[1].FailureProbability != 0.25 {
		t.Errorf("Machines: got %+v, want a draining and b with 1 slot in use, 2.5 free and failure probability 0.25", got)
	}
	if q := r.manager.Queues(r.anna()); len(q) != 2 || q[0].Running != 1 || !q[0].NonIdempotent || q[1].Held != 1 {
		t.Errorf("Queues: got %+v, want 1 running non-idempotent and 1 held idempotent job", q)
	}
	if q := r.manager.Queues(r.manager.tenants["ben"]); q[0].Running+q[1].Held != 0 {
		t.Errorf("Queues of a tenant without jobs: got %+v, want no jobs", q)
	}
}

// While the store stalls or fails, submissions are rejected immediately with Retry-After. Jobs in
// progress end, and their final state becomes visible once the store has recovered.
func TestManager_Submit_whileTheStoreStalls(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	r.core.sendStep(job, 0)
	r.core.startStep(job, 0)
	submit := func() (got *drmaa.Error) {
		tp := template(nonIdempotentClass)
		r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { got = e })
		return got
	}
	r.core.endStep(job, 0, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served})
	if e := submit(); e != nil {
		t.Fatalf("submission before the stall was detected: got %v, want no error", e)
	}
	for range 50 {
		r.advance(100 * time.Millisecond)
		if e := submit(); r.now > 1000*time.Hour+storeStallTime && (e == nil || e.Name != drmaa.TryLater || e.RetryAfter == 0) {
			t.Fatalf("submission %v after the start of the stall: got %v, want TryLater with a retry delay", r.now-1000*time.Hour, e)
		}
	}
	if c := r.manager.Counts(); c.Store != "stalled" || c.Rejected < 40 {
		t.Errorf("Counts: got %+v, want a stalled store and at least 40 rejected submissions", c)
	}
	r.runStoreCalls()
	r.checkState(job, drmaa.Done)
	if e := submit(); e != nil || r.manager.Counts().Store != "well" {
		t.Errorf("submission after the store recovered: got %v, store %s, want no error, store well", e, r.manager.Counts().Store)
	}
	r.runStoreCall(callFails)
	if e := submit(); e == nil || e.RetryAfter == 0 || r.manager.Counts().Store != "failing" {
		t.Errorf("submission after a failed call: got %v, store %s, want a retry delay, store failing", e, r.manager.Counts().Store)
	}
}

// When the store stalls, pending submissions whose insertion has not started are rejected: they are
// not stored, and their client keys can be used again. A submission whose insertion has started
// keeps waiting.
func TestManager_Submit_pendingWhenTheStoreStalls(t *testing.T) {
	r := newFixture(t)
	answers := map[string]*drmaa.Error{}
	submit := func(name string) {
		tp := template(nonIdempotentClass)
		tp.ClientKey = name
		r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { answers[name] = e })
	}
	submit("a")
	submit("b") // queued after a's call
	one := template(nonIdempotentClass)
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { answers["bulk"] = e })
	r.manager.DestroySession(r.manager.tenants["ben"], "s", func(*drmaa.Error) {}) // another queued call
	for e := range r.manager.pendingSubmissions {
		if e.jobs[0].ClientKey == "a" {
			e.progress.Store(insertBegun) // as the executor's goroutine does
		}
	}
	r.advance(2 * time.Second)
	if len(answers) != 2 || answers["b"] == nil || answers["b"].RetryAfter == 0 || answers["bulk"] == nil || len(r.manager.jobs) != 1 || r.anna().unfinished != 1 {
		t.Fatalf("during the stall: got answers %v, %d jobs in memory, want b and the array rejected and job a in memory", answers, len(r.manager.jobs))
	}
	for e := range r.manager.pendingSubmissions {
		e.progress.Store(awaitingInsert)
	}
	r.runStoreCalls()
	if e, ok := answers["a"]; !ok || e != nil || len(r.store.jobs) != 1 || len(r.store.arrays) != 0 {
		t.Fatalf("submission a after the stall: got error %v, answered %v, %d jobs stored, want no error and 1 job", e, ok, len(r.store.jobs))
	}
	submit("b")
	r.runStoreCalls()
	if answers["b"] != nil || len(r.store.jobs) != 2 {
		t.Errorf("second submission of b: got error %v, %d jobs stored, want no error and 2 jobs", answers["b"], len(r.store.jobs))
	}
}

// The store fails to record a final state while 1,000 clients wait for it: all of them are answered
// once the write succeeds, none before.
func TestManager_Wait_storeFailsToRecordTheEnd(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(nonIdempotentClass))
	answers := 0
	for range 1000 {
		r.manager.Wait([]*Job{job}, false, time.Hour, func(got *Job, e *drmaa.Error) {
			if e == nil && got.State == drmaa.Done {
				answers++
			}
		})
	}
	r.core.sendStep(job, 0)
	r.core.startStep(job, 0)
	r.core.endStep(job, 0, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("fine")})
	r.runStoreCall(callFails)
	r.advance(5 * time.Second)
	if r.checkState(job, drmaa.Running); answers != 0 {
		t.Fatalf("%d waits answered with a final state that is not stored, want none", answers)
	}
	r.runStoreCalls()
	if r.checkState(job, drmaa.Done); answers != 1000 {
		t.Errorf("got %d waits answered, want 1000", answers)
	}
}
