package jobs

import (
	"fmt"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
)

func template(command string) drmaa.JobTemplate { return drmaa.JobTemplate{RemoteCommand: command} }

// order returns the jobs in the core, in the order of their launch.
func (r *fixture) order() (out []string) {
	for ref := range r.core.last {
		if handle := r.core.ops[ref+1]; handle != nil {
			out = append(out, handle.Work.Target)
		}
	}
	return out
}

// fill fills the window, so that further jobs wait in the queue.
func (r *fixture) fill() (all []*Job) {
	for r.manager.queue.Len() == 0 {
		all = append(all, r.submit(template(safe)))
	}
	return all
}

func TestManager_queueOrder(t *testing.T) {
	r := newFixture(t)
	first := r.fill()
	var queued []*Job
	for _, priority := range []int{0, 5, -5, 5} {
		job := template(once)
		job.Priority, job.Args = priority, []string{fmt.Sprint(len(queued))}
		queued = append(queued, r.submit(job))
	}
	for _, job := range first {
		r.core.serve(job)
	}
	for _, want := range []int{1, 3, 0, 2} {
		job := queued[want]
		if job.stage != inCore {
			t.Fatalf("job %d is not next: %v", want, r.order())
		}
		r.core.serve(job)
		r.state(job, drmaa.Done)
	}
}

func TestManager_startTimeAndDeadlineInTheQueue(t *testing.T) {
	r := newFixture(t)
	later := template(once)
	later.StartTime = drmaa.FormatTime(r.manager.unixNow() + 30e6)
	job := r.submit(later)
	if r.state(job, drmaa.Queued); len(r.core.ops) != 0 {
		t.Fatal("begun before its start time")
	}
	r.advance(31 * time.Second)
	r.runStoreCalls()
	if job.stage != inCore {
		t.Fatal("not begun after its start time")
	}
	r.core.serve(job)
	r.core.ready = false
	short := template(once)
	short.Deadline = 5
	late := r.submit(short)
	r.advance(4 * time.Second)
	r.state(late, drmaa.Queued)
	r.advance(2 * time.Second)
	r.runStoreCalls()
	if r.state(late, drmaa.Failed); late.MayHaveRun || late.Sent {
		t.Error("a job that only waited may have run")
	}
}

// A hold while the job is being recorded as sent wins: nothing is sent, and the record has it as
// held.
func TestManager_Act_holdRacesTheLaunch(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	r.core.step(job, 0) // the mark is on its way
	if len(r.calls) != 1 || r.core.of(job).out != 0 {
		t.Fatal("not at the gate")
	}
	if e := r.act(job, Hold); e != nil {
		t.Fatal(e)
	}
	if r.state(job, drmaa.QueuedHeld); len(r.core.ops) != 0 || r.manager.window.State().Used != 0 {
		t.Fatal("a held job is in the core")
	}
	if rec := r.store.jobs[job.ID]; rec.Sent || !rec.Held {
		t.Errorf("recorded as sent %v, held %v", rec.Sent, rec.Held)
	}
	r.start() // and held it comes back
	again := r.manager.jobs[job.ID]
	r.runStoreCalls()
	r.state(again, drmaa.QueuedHeld)
	if e := r.act(again, Hold); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("held twice: %v", e)
	}
	if e := r.act(again, Release); e != nil {
		t.Fatal(e)
	}
	r.core.serve(again)
	r.state(again, drmaa.Done)
}

// In the core, a job can be held until a step of it may have run.
func TestManager_Act_holdInTheCore(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	if e := r.act(job, Hold); e != nil || len(r.core.ops) != 0 {
		t.Fatal("not drawn back", e)
	}
	if e := r.act(job, Release); e != nil {
		t.Fatal("not released: ", e)
	}
	r.core.sent(job, 0)
	if e := r.act(job, Hold); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("held while a step is out: %v", e)
	}
	r.core.stepDone(job, 0, balance.Full)
	r.core.answer(job, routing.Answer{Verdict: routing.Refused, RetryAfter: time.Second})
	r.state(job, drmaa.Requeued)
	if e := r.act(job, Hold); e != nil {
		t.Fatal(e)
	}
	r.state(job, drmaa.RequeuedHeld)
	r.advance(10 * time.Second)
	r.runStoreCalls()
	if len(r.core.ops) != 0 {
		t.Error("a held job came back")
	}
	if e := r.act(job, Release); e != nil {
		t.Fatal("not released: ", e)
	}
	r.state(job, drmaa.Requeued)
	r.core.serve(job)
	r.state(job, drmaa.Done)
}

func TestManager_Act_storeFailsHoldAndRelease(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	job := r.submit(template(once))
	var got *drmaa.Error
	r.manager.Act(job, Hold, func(e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if r.state(job, drmaa.Queued); got != StoreFailed {
		t.Errorf("answered %v", got)
	}
	if e := r.act(job, Hold); e != nil {
		t.Fatal("not held: ", e)
	}
	r.manager.Act(job, Release, func(e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if r.state(job, drmaa.QueuedHeld); got != StoreFailed {
		t.Errorf("answered %v", got)
	}
}

func TestManager_SubmitBulk_maxParallel(t *testing.T) {
	r := newFixture(t)
	one := template(once)
	one.Args = []string{"teil-" + drmaa.IndexPlaceholder}
	one.ClientKey = "k"
	b := drmaa.Bulk{Template: &one, Begin: 2, End: 10, Step: 2, MaxParallel: 2}
	a := r.bulk(b)
	if got := r.order(); len(got) != 2 || got[0] != "/buchen/teil-2" || got[1] != "/buchen/teil-4" {
		t.Fatalf("in the core: %v", got)
	}
	if again := r.bulk(b); again != a {
		t.Error("the same bulk made another array")
	}
	r.core.serve(a.unfinishedJobs[2])
	if got := r.order(); len(got) != 2 || got[1] != "/buchen/teil-6" {
		t.Fatalf("in the core: %v", got)
	}
	// Terminated when half of it has started: running jobs are withdrawn, waiting ones never run.
	ends := 0
	r.manager.WaitArray(a, false, true, time.Hour, func(*Job, *drmaa.Error) { ends++ })
	r.core.sent(a.unfinishedJobs[4], 0)
	r.core.begin(a.unfinishedJobs[4], 0)
	four, six := a.unfinishedJobs[4], a.unfinishedJobs[6]
	var n *drmaa.Affected
	r.manager.ActOnArray(a, Terminate, func(got *drmaa.Affected, e *drmaa.Error) { n = got })
	r.runStoreCalls()
	if n == nil || n.Applied != 4 || ends != 1 || len(r.core.ops) != 0 {
		t.Fatalf("%+v, %d ends, %d in the core", n, ends, len(r.core.ops))
	}
	if !four.MayHaveRun || six.MayHaveRun {
		t.Error("who may have run is told wrongly")
	}
	v := r.manager.ViewArray(a)
	if !v.AllEnded || v.States[drmaa.Done] != 1 || v.States[drmaa.Failed] != 4 || v.Jobs != 5 {
		t.Errorf("%+v", v)
	}
	r.manager.ActOnArray(a, Hold, func(_ *drmaa.Affected, e *drmaa.Error) {
		if e == nil || e.Name != drmaa.InvalidState {
			t.Errorf("an ended array is held: %v", e)
		}
	})
	if r.anna().unfinished != 0 {
		t.Errorf("%d unfinished", r.anna().unfinished)
	}
}

func TestManager_SubmitBulk_allOrNothing(t *testing.T) {
	r := newFixture(t)
	one := template(once)
	var got *drmaa.Error
	r.manager.SubmitBulk(r.manager.tenants["ben"], "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { got = e })
	if got == nil || got.Status != 429 {
		t.Fatalf("over the quota: %v", got)
	}
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { got = e })
	r.runStoreCall(callFails)
	if got != StoreFailed || len(r.manager.jobs) != 0 || len(r.manager.arrays) != 0 || r.anna().unfinished != 0 || len(r.core.ops) != 0 {
		t.Fatalf("%v; %d jobs left", got, len(r.manager.jobs))
	}
	r.advance(2 * time.Second) // while the store is failing submissions are rejected
	// Killed after the commit and before the acknowledgement: all of it is there.
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) {})
	_ = r.calls[0].do(t.Context(), r.store)
	r.start()
	if len(r.manager.jobs) != 3 || len(r.manager.arrays) != 1 {
		t.Fatalf("%d jobs after the restart", len(r.manager.jobs))
	}
}

func TestManager_DestroySession(t *testing.T) {
	r := newFixture(t)
	running, waiting := r.submit(template(once)), template(once)
	waiting.SubmitAsHold = true
	held := r.submit(waiting)
	r.core.sent(running, 0)
	r.core.begin(running, 0)
	ends, waits := 0, 0
	r.manager.WaitSession(r.anna().sessions["s"], false, time.Hour, func(*Job, *drmaa.Error) { waits++ })
	tp := template(once)
	var late *drmaa.Error
	r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { late = e }) // crosses the end of the session
	for range 2 {
		r.manager.DestroySession(r.anna(), "s", func(e *drmaa.Error) {
			if e == nil {
				ends++
			}
		})
	}
	r.runStoreCalls()
	if ends != 2 || waits != 1 || len(r.core.ops) != 0 || len(r.manager.jobs) != 0 || late != nil {
		t.Fatalf("%d ends, %d waits, %d jobs, late %v", ends, waits, len(r.manager.jobs), late)
	}
	for _, job := range []*Job{running, held} {
		if r.state(job, drmaa.Failed); r.store.jobs[job.ID].State != drmaa.Failed {
			t.Error("its end is not on record")
		}
	}
	if _, e := r.manager.Session(r.anna(), "s"); e != UnknownSession {
		t.Error("the session is still there")
	}
}

// Of two concurrent creations the second fails; one that the store fails leaves nothing; a session
// that is created while the old one of its name is removed stays.
func TestManager_SetSession_concurrentCreates(t *testing.T) {
	r := newFixture(t)
	var got []*drmaa.Error
	note := func(_ *Session, e *drmaa.Error) { got = append(got, e) }
	r.manager.SetSession(r.anna(), "x", SessionOpen, "create", note)
	r.manager.SetSession(r.anna(), "x", SessionOpen, "create", note)
	r.runStoreCalls()
	if len(got) != 2 || got[0] != sessionExists || got[1] != nil {
		t.Errorf("%v", got)
	}
	r.manager.SetSession(r.anna(), "y", SessionOpen, "create", note)
	r.runStoreCall(callFails)
	if r.anna().sessions["y"] != nil || got[2] != StoreFailed {
		t.Errorf("%v", got[2])
	}
	r.advance(2 * time.Second) // while the store is failing submissions are rejected
	job := r.submit(template(once))
	ended := 0
	r.manager.DestroySession(r.anna(), "s", func(*drmaa.Error) { ended++ })
	if e := r.manager.Terminate(job); e != nil { // its end and the session's cross
		t.Fatal("not terminated: ", e)
	}
	r.runStoreCalls()
	r.manager.SetSession(r.anna(), "s", SessionOpen, "create", note)
	r.runStoreCalls()
	r.advance(3 * time.Second)
	r.runStoreCalls()
	if ended != 1 || got[3] != nil || r.store.sessions[[2]string{"anna", "s"}] != SessionOpen || r.anna().sessions["s"] == nil {
		t.Errorf("%d ends, %v, %v", ended, got[3], r.store.sessions)
	}
}

// Killed while a session is being destroyed: the restart continues with it.
func TestManager_DestroySession_continuesAfterRestart(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(safe))
	r.manager.DestroySession(r.anna(), "s", func(*drmaa.Error) {})
	r.runStoreCall(callSucceeds)
	r.start()
	r.runStoreCalls()
	if r.store.jobs[job.ID].State != drmaa.Failed || !r.store.reaped[job.ID] || len(r.store.sessions) != 1 {
		t.Errorf("%+v, sessions %v", r.store.jobs[job.ID], r.store.sessions)
	}
}

func TestManager_Wait_any(t *testing.T) {
	r := newFixture(t)
	a, b := r.submit(template(once)), r.submit(template(once))
	var got []string
	note := func(name string) func(*Job, *drmaa.Error) {
		return func(job *Job, e *drmaa.Error) {
			if e != nil {
				got = append(got, name+" "+string(e.Name))
				return
			}
			got = append(got, name+" "+map[*Job]string{a: "a", b: "b"}[job])
		}
	}
	s := r.anna().sessions["s"]
	r.manager.Wait([]*Job{a, b}, true, time.Second, note("started"))
	r.manager.Wait([]*Job{a, b}, false, time.Hour, note("ended"))
	r.manager.WaitSession(s, false, 2*time.Second, note("session"))
	gone := r.manager.Wait([]*Job{a}, false, time.Hour, note("gone"))
	gone()
	r.runStoreCalls()
	r.core.sent(b, 1)
	r.core.begin(b, 1)
	r.advance(3 * time.Second)
	r.core.stepDone(b, 1, balance.Served)
	r.core.answer(b, routing.Answer{Verdict: routing.Served})
	r.runStoreCalls()
	want := "[started b session TimeoutException ended b]"
	if fmt.Sprint(got) != want || r.manager.Counts().Waits != 0 {
		t.Errorf("%v, want %s; %d waits", got, want, r.manager.Counts().Waits)
	}
	// One that has ended before the wait satisfies it, until it is reaped.
	r.manager.WaitSession(s, false, time.Second, note("after"))
	r.runStoreCalls()
	if got[len(got)-1] != "after b" {
		t.Errorf("%v", got)
	}
	if e := r.act(a, Reap); e == nil || e.Name != drmaa.InvalidState {
		t.Errorf("reaped while it waits: %v", e)
	}
	if e := r.act(b, Reap); e != nil {
		t.Fatal(e)
	}
	r.manager.Find(r.anna(), "s", b.ID, func(_ *Job, e *drmaa.Error) {
		if e != UnknownJob {
			t.Errorf("a reaped job is found: %v", e)
		}
	})
	r.manager.WaitSession(s, false, time.Second, note("reaped"))
	r.runStoreCalls()
	r.advance(2 * time.Second)
	if got[len(got)-1] != "reaped TimeoutException" {
		t.Errorf("%v", got)
	}
}

// A job that fails wherever it runs has failed; a rerunnable one is retried a few times more.
// Refusals for lack of capacity do not count.
func TestManager_StepEnded_failsAtEveryWorker(t *testing.T) {
	r := newFixture(t)
	yes := true
	again := template(safe)
	again.Rerunnable = &yes
	for _, c := range []struct {
		t    drmaa.JobTemplate
		runs int
	}{{template(safe), 1}, {again, 3}} {
		job := r.submit(c.t)
		runs := 0
		for ; !job.State.Final() && runs < 10; runs++ {
			r.core.sent(job, 0)
			r.core.begin(job, 0)
			r.core.stepDone(job, 0, balance.Errored)
			r.core.answer(job, routing.Answer{Verdict: routing.Refused})
			r.advance(11 * time.Second)
			r.runStoreCalls()
		}
		if v := r.manager.View(job); runs != c.runs || v.State != drmaa.Failed || v.ExitStatus == nil || *v.ExitStatus != 1 {
			t.Errorf("%d runs, %+v", runs, v)
		}
	}
	// While the core retries, the third failure ends a job, and the first ends one that is not
	// rerunnable.
	no := false
	single := template(safe)
	single.Rerunnable = &no
	for _, c := range []struct {
		t    drmaa.JobTemplate
		runs int
	}{{template(safe), 3}, {single, 1}} {
		job := r.submit(c.t)
		runs := 0
		for ; !job.State.Final() && runs < 10; runs++ {
			r.core.sent(job, balance.WorkerID(runs))
			r.core.begin(job, balance.WorkerID(runs))
			r.core.stepDone(job, balance.WorkerID(runs), balance.Errored)
			r.timers.Run(r.now)
			r.runStoreCalls()
		}
		if v := r.manager.View(job); runs != c.runs || v.State != drmaa.Failed || *v.ExitStatus != 1 || len(r.core.ops) != 0 {
			t.Errorf("%d runs, %+v", runs, v)
		}
	}
	job := r.submit(template(safe))
	for range 20 {
		r.core.answer(job, routing.Answer{Verdict: routing.Refused})
		r.advance(11 * time.Second)
		r.runStoreCalls()
		if job.State.Final() {
			t.Fatal("given up for want of room")
		}
	}
}

// The store stalls in BeforeSend until the core's time-out: nothing has run, so that the job is
// requeued with its record unchanged. An update that was written meanwhile is undone.
func TestManager_BeforeSend_storeStalls(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	r.core.step(job, 0)
	r.core.answer(job, routing.Answer{Verdict: routing.Failed})
	r.state(job, drmaa.Requeued)
	r.runStoreCalls() // the mark is written at last, to no purpose
	if rec := r.store.jobs[job.ID]; len(r.core.ops) != 0 && r.core.of(job).out > 0 || job.MayHaveRun || rec.EndedAt != 0 || rec.Sent {
		t.Fatalf("%+v", rec)
	}
	r.advance(10 * time.Second)
	r.runStoreCalls()
	if job.stage != inCore {
		t.Fatal("it does not come back")
	}
	// The same with a store that fails.
	r.core.step(job, 0)
	r.runStoreCall(callFails)
	if r.core.of(job).out != 0 || job.Sent {
		t.Fatal("a step went out without its record")
	}
	r.core.serve(job)
	r.state(job, drmaa.Done)
}

// Bookings that may have run are listed until a person settles them, once.
func TestManager_Undecided(t *testing.T) {
	r := newFixture(t)
	var lost []*Job
	for _, class := range []string{once, once, safe, once} {
		job := r.submit(template(class))
		r.core.sent(job, 0)
		r.core.begin(job, 0)
		r.core.stepDone(job, 0, balance.Reset)
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
		t.Fatalf("%+v", first)
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
		t.Errorf("settled twice: %v", e)
	}
	if v := r.manager.View(lost[0]); v.Settled == nil || !v.Settled.Ran || v.Settled.Reason != "asked the worker" || v.State != drmaa.Failed {
		t.Errorf("%+v", v)
	}
	if left := list(drmaa.Cursor{}); len(left.Jobs) != 2 || left.Jobs[1].ID != lost[3].ID || left.Next != "" {
		t.Errorf("%+v", left)
	}
}

// The steps of a job, its times and what its view makes of them.
func TestManager_View(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(safe))
	r.core.sent(job, 0)
	r.core.begin(job, 0)
	r.advance(time.Second)
	r.core.stepDone(job, 0, balance.Reset)
	r.core.sent(job, 1)
	r.state(job, drmaa.Requeued)
	r.core.begin(job, 1)
	r.advance(2 * time.Second)
	if v := r.manager.View(job); v.State != drmaa.Running || v.WallclockTime != 2 || v.Finished != "" {
		t.Errorf("%+v", v)
	}
	r.core.stepDone(job, 1, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("x")})
	r.runStoreCalls()
	v := r.manager.View(job)
	if v.ExitStatus == nil || *v.ExitStatus != 0 || v.Machines[0].Machine != "b" || v.WallclockTime != 2 || len(v.Steps) != 2 ||
		v.Steps[0].Outcome != "lost" || v.Steps[1].Outcome != "served" || v.Dispatched == "" || *v.Result != "x" {
		t.Errorf("%+v", v)
	}
	events, _ := r.manager.Events(r.anna(), "s", "oldest", 100)
	var kinds []string
	for _, e := range events.Events {
		kinds = append(kinds, e.Event+" "+string(e.State)+e.Machine)
	}
	want := "[NEW_STATE QUEUED NEW_STATE RUNNING MIGRATED RUNNINGb NEW_STATE REQUEUED NEW_STATE RUNNING NEW_STATE DONE]"
	if fmt.Sprint(kinds) != want {
		t.Errorf("%v", kinds)
	}
}

func TestManager_Events_boundedAndMissedCounted(t *testing.T) {
	r := newFixture(t)
	first, _ := r.manager.Events(r.anna(), "s", "", 10)
	woken := 0
	leave := r.manager.Follow(r.anna(), func() { woken++ })
	r.core.ready = false
	for range 200 {
		r.submit(template(safe))
	}
	if n := len(r.manager.streams["anna"].events); n > 64 || woken != 200 {
		t.Errorf("%d events kept, woken %d times", n, woken)
	}
	leave()
	got, e := r.manager.Events(r.anna(), "s", first.Cursor, 1000)
	if e != nil || got.Missed+int64(len(got.Events)) != 200 || got.Missed == 0 {
		t.Fatalf("%d missed, %d come, %v", got.Missed, len(got.Events), e)
	}
	if more, _ := r.manager.Events(r.anna(), "s", got.Cursor, 10); len(more.Events) != 0 || more.Missed != 0 {
		t.Errorf("%+v", more)
	}
	if _, e := r.manager.Events(r.anna(), "s", "nonsense", 10); e == nil || e.Attribute != "cursor" {
		t.Errorf("%v", e)
	}
	r.start()
	if after, _ := r.manager.Events(r.anna(), "s", got.Cursor, 10); after.Missed != -1 {
		t.Errorf("after a restart %+v", after)
	}
}

// Pages neither repeat nor omit jobs, while jobs are submitted and end between them.
func TestManager_List_pages(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	hold := template(safe)
	hold.SubmitAsHold = true
	for i := range 30 {
		if i%3 == 0 {
			r.submit(hold)
		} else {
			r.submit(template(safe))
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
				t.Errorf("%s listed", v.State)
			}
		}
		if page.Next == "" {
			if pages != 1 || len(seen) != 10 {
				t.Errorf("%d pages, %d jobs", pages+1, len(seen))
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
			t.Errorf("%s listed %d times", id, n)
		}
	}
}

// Ten thousand waiting jobs are restored in their order after a restart, held ones held.
func TestManager_Load_manyWaiting(t *testing.T) {
	r := newFixture(t)
	r.core.ready = false
	one := template(safe)
	a := r.bulk(drmaa.Bulk{Template: &one, Begin: 1, End: 10_000, Step: 1})
	for _, index := range []int{1, 5000} {
		if e := r.act(a.unfinishedJobs[index], Hold); e != nil {
			t.Fatal("not held: ", e)
		}
	}
	r.start()
	if r.manager.queue.Len()+len(r.manager.jobs)-10_000 != 9996 || // two are on their way already
		r.anna().unfinished != 10_000 {
		t.Fatalf("%d in the queue, %d unfinished", r.manager.queue.Len(), r.anna().unfinished)
	}
	last := 0
	r.manager.queue.All(func(job *Job) bool {
		if job.Index <= last || job.Index == 5000 {
			t.Errorf("%d after %d", job.Index, last)
			return false
		}
		last = job.Index
		return true
	})
}

func TestManager_MachinesAndQueues(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	r.core.sent(job, 1)
	r.core.begin(job, 1)
	hold := template(safe)
	hold.SubmitAsHold = true
	r.submit(hold)
	r.manager.LoadReported(1, []float32{3, 2.5})
	got := r.manager.Machines(r.anna())
	if len(got) != 2 || got[0].Name != "a" || got[0].Available || got[1].BatchSlots != 1 || *got[1].FreeSlots != 2.5 || got[1].FailureProbability != 0.25 {
		t.Errorf("%+v", got)
	}
	if q := r.manager.Queues(r.anna()); len(q) != 2 || q[0].Running != 1 || !q[0].NonIdempotent || q[1].Held != 1 {
		t.Errorf("%+v", q)
	}
	if q := r.manager.Queues(r.manager.tenants["ben"]); q[0].Running+q[1].Held != 0 {
		t.Errorf("another tenant's jobs show: %+v", q)
	}
}

// While the store stalls or fails, submissions are rejected at once with Retry-After; jobs in
// progress end, and their end is visible once the store is back.
func TestManager_Submit_whileTheStoreStalls(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	r.core.sent(job, 0)
	r.core.begin(job, 0)
	turned := func() (got *drmaa.Error) {
		tp := template(once)
		r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { got = e })
		return got
	}
	r.core.stepDone(job, 0, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served})
	if e := turned(); e != nil {
		t.Fatal("turned away before anything is known:", e)
	}
	for range 50 {
		r.advance(100 * time.Millisecond)
		if e := turned(); r.now > 1000*time.Hour+storeStallTime && (e == nil || e.Name != drmaa.TryLater || e.RetryAfter == 0) {
			t.Fatalf("after %v of silence: %v", r.now-1000*time.Hour, e)
		}
	}
	if c := r.manager.Counts(); c.Store != "stalled" || c.Rejected < 40 {
		t.Errorf("%+v", c)
	}
	r.runStoreCalls()
	r.state(job, drmaa.Done)
	if e := turned(); e != nil || r.manager.Counts().Store != "well" {
		t.Errorf("once it is back: %v", e)
	}
	r.runStoreCall(callFails)
	if e := turned(); e == nil || e.RetryAfter == 0 || r.manager.Counts().Store != "failing" {
		t.Errorf("after a failure: %v", e)
	}
}

// Submissions that a stalled store has not begun are rejected too: nothing of them is recorded,
// and their client keys are free. One that it has begun waits.
func TestManager_Submit_caughtInAStall(t *testing.T) {
	r := newFixture(t)
	answers := map[string]*drmaa.Error{}
	submit := func(name string) {
		tp := template(once)
		tp.ClientKey = name
		r.manager.Submit(r.anna(), "s", &tp, func(_ *Job, e *drmaa.Error) { answers[name] = e })
	}
	submit("a")
	submit("b") // behind a's call
	one := template(once)
	r.manager.SubmitBulk(r.anna(), "s", &drmaa.Bulk{Template: &one, Begin: 1, End: 3, Step: 1}, func(_ *Array, e *drmaa.Error) { answers["bulk"] = e })
	r.manager.DestroySession(r.manager.tenants["ben"], "s", func(*drmaa.Error) {}) // another call that waits
	for e := range r.manager.pendingSubmissions {
		if e.jobs[0].ClientKey == "a" {
			e.progress.Store(insertBegun) // as the executor's goroutine would
		}
	}
	r.advance(2 * time.Second)
	if len(answers) != 2 || answers["b"] == nil || answers["b"].RetryAfter == 0 || answers["bulk"] == nil || len(r.manager.jobs) != 1 || r.anna().unfinished != 1 {
		t.Fatalf("%v, %d jobs", answers, len(r.manager.jobs))
	}
	for e := range r.manager.pendingSubmissions {
		e.progress.Store(awaitingInsert)
	}
	r.runStoreCalls()
	if e, ok := answers["a"]; !ok || e != nil || len(r.store.jobs) != 1 || len(r.store.arrays) != 0 {
		t.Fatalf("a: %v; %d jobs on record", e, len(r.store.jobs))
	}
	submit("b")
	r.runStoreCalls()
	if answers["b"] != nil || len(r.store.jobs) != 2 {
		t.Errorf("b again: %v", answers["b"])
	}
}

// The store stalls while a thousand clients wait: each is answered once it is back, none before
// the end is recorded.
func TestManager_Submit_storeStallsWhileManyWait(t *testing.T) {
	r := newFixture(t)
	job := r.submit(template(once))
	answers := 0
	for range 1000 {
		r.manager.Wait([]*Job{job}, false, time.Hour, func(got *Job, e *drmaa.Error) {
			if e == nil && got.State == drmaa.Done {
				answers++
			}
		})
	}
	r.core.sent(job, 0)
	r.core.begin(job, 0)
	r.core.stepDone(job, 0, balance.Served)
	r.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("fine")})
	r.runStoreCall(callFails)
	r.advance(5 * time.Second)
	if r.state(job, drmaa.Running); answers != 0 {
		t.Fatalf("%d told of an end that is not on record", answers)
	}
	r.runStoreCalls()
	if r.state(job, drmaa.Done); answers != 1000 {
		t.Errorf("%d answers", answers)
	}
}
