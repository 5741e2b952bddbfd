package jobs

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/routing"
)

// The seed is fixed, so that each run draws the same cases; -rapid.seed=0 draws random ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// randomTest drives a manager with random calls and faults and checks invariants: each job has one
// final state that never changes, no non-idempotent job starts twice, no held job is in the core, and
// every wait is answered exactly once.
type randomTest struct {
	*fixture
	t              *rapid.T
	acknowledged   map[string]bool        // IDs of jobs whose submission was acknowledged
	lastStates     map[string]drmaa.State // last visible state by job ID
	possibleStarts map[string]int         // number of steps that a prep worker may have started, by job ID, over all restarts
	waitsAnswered  int
	waitsBegun     int
	keyCount       int

	storeFailed bool // a call of the store has failed, so that its records may be out of date
}

// jobs returns the stored jobs in memory, in submission order.
func (w *randomTest) jobs() (all []*Job) {
	for _, id := range w.manager.IDs() {
		if job := w.manager.jobs[id]; job.recorded {
			all = append(all, job)
		}
	}
	return all
}

// drawJob draws one of the jobs for which fit returns true, or returns nil if there is none.
func (w *randomTest) drawJob(fit func(*Job) bool) *Job {
	all := slices.DeleteFunc(w.jobs(), func(job *Job) bool { return !fit(job) })
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(w.t, "job")
}

// template draws a job template.
func (w *randomTest) template() *drmaa.JobTemplate {
	t := &drmaa.JobTemplate{RemoteCommand: rapid.SampledFrom([]string{idempotentClass, nonIdempotentClass}).Draw(w.t, "class")}
	t.SubmitAsHold = rapid.IntRange(0, 4).Draw(w.t, "held") == 0
	t.Priority = rapid.IntRange(-1, 1).Draw(w.t, "priority")
	t.MinSlots = float64(rapid.IntRange(0, 3).Draw(w.t, "slots"))
	if rapid.IntRange(0, 5).Draw(w.t, "short") == 0 {
		t.Deadline = 3
	}
	if rapid.IntRange(0, 5).Draw(w.t, "later") == 0 {
		t.StartTime = drmaa.FormatTime(w.manager.unixNow() + 2e6)
	}
	if rapid.IntRange(0, 2).Draw(w.t, "keyed") == 0 {
		t.ClientKey = strconv.Itoa(rapid.IntRange(0, w.keyCount).Draw(w.t, "key"))
		w.keyCount++
	}
	return t
}

// randomCall makes one of 20 kinds of calls, faults or events.
func (w *randomTest) randomCall(what int) {
	inWork := func(job *Job) bool { return job.stage == inCore }
	switch what {
	case 0, 1:
		w.manager.Submit(w.anna(), "s", w.template(), func(job *Job, e *drmaa.Error) {
			if e == nil {
				w.acknowledged[job.ID] = true
			}
		})
	case 2:
		b := &drmaa.Bulk{Template: w.template(), Begin: 1, End: rapid.IntRange(1, 4).Draw(w.t, "end"), Step: 1,
			MaxParallel: rapid.IntRange(0, 2).Draw(w.t, "parallel")}
		w.manager.SubmitBulk(w.anna(), "s", b, func(a *Array, e *drmaa.Error) {
			if e == nil {
				for i := a.Begin; i <= a.End; i++ {
					w.acknowledged[drmaa.JobID(a.ID, i)] = true
				}
			}
		})
	case 3:
		if job := w.drawJob(func(*Job) bool { return true }); job != nil {
			action := rapid.SampledFrom([]string{Hold, Release, Terminate, Hold, Release, Reap}).Draw(w.t, "action")
			w.manager.Act(job, action, func(*drmaa.Error) {})
		}
	case 4:
		if job := w.drawJob(func(*Job) bool { return true }); job != nil {
			w.waitsBegun++
			w.manager.Wait([]*Job{job}, rapid.Bool().Draw(w.t, "started"), 5*time.Second, func(*Job, *drmaa.Error) { w.waitsAnswered++ })
		}
	case 5, 6, 7:
		w.runStoreCall(callSucceeds)
	case 8:
		// A lost reply to an insert, for which the client gets status 500, is not covered.
		w.storeFailed = true
		w.runStoreCall(callFails)
	case 9:
		if len(w.calls) > 0 && w.manager.inserts.inFlight == 0 {
			w.storeFailed = true
			w.runStoreCall(callSucceedsReplyLost)
		}
	case 10:
		if job := w.drawJob(inWork); job != nil && w.core.operationOf(job).inFlight+w.core.operationOf(job).awaitingGate == 0 {
			w.sendStep(job, balance.WorkerID(rapid.IntRange(0, 2).Draw(w.t, "worker")))
		}
	case 11, 12:
		if job := w.drawJob(func(job *Job) bool { return inWork(job) && w.core.operationOf(job).inFlight > 0 }); job != nil {
			at := job.Steps[len(job.Steps)-1].worker
			if !w.core.operationOf(job).started {
				w.core.startStep(job, at)
			}
		}
	case 13, 14:
		if job := w.drawJob(func(job *Job) bool { return inWork(job) && w.core.operationOf(job).inFlight > 0 }); job != nil {
			w.endStep(job)
		}
	case 15:
		if job := w.drawJob(func(job *Job) bool {
			return inWork(job) && w.core.operationOf(job).inFlight+w.core.operationOf(job).awaitingGate == 0 && !w.core.operationOf(job).mayHaveRun
		}); job != nil {
			w.core.answer(job, routing.Answer{Verdict: routing.Refused, RetryAfter: 300 * time.Millisecond})
		}
	case 16, 17:
		w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
		for handle, op := range w.core.ops { // the core enforces the deadlines of operations
			if job := w.manager.byOperation[handle]; job != nil && w.now > op.Deadline {
				w.core.answer(job, routing.Answer{Verdict: routing.Failed})
			}
		}
	case 18:
		w.core.ready = !w.core.ready
	case 19:
		if rapid.IntRange(0, 3).Draw(w.t, "kill") == 0 {
			w.waitsAnswered, w.waitsBegun = 0, 0
			w.start()
		}
	}
}

// sendStep sends a step of a job once BeforeSend permits it. From then on a worker may start the
// step, whether or not the node learns of it.
func (w *randomTest) sendStep(job *Job, to balance.WorkerID) {
	w.core.beginSendThen(job, to, func() {
		w.possibleStarts[job.ID]++
		if r := w.store.jobs[job.ID]; !r.Sent {
			w.t.Fatalf("a step of job %s was sent before the store recorded the job as sent", job.ID)
		}
	})
}

// endStep ends a step of a job with a random outcome, and its operation if the core would end it.
func (w *randomTest) endStep(job *Job) {
	op, at := w.core.operationOf(job), job.Steps[len(job.Steps)-1].worker
	outcomes := []balance.Outcome{balance.Served, balance.Errored, balance.Reset}
	if !op.started {
		outcomes = []balance.Outcome{balance.Full, balance.ConnectFailed, balance.Reset}
	}
	outcome := rapid.SampledFrom(outcomes).Draw(w.t, "outcome")
	if outcome.NeverRan() {
		w.possibleStarts[job.ID]--
	}
	w.core.endStep(job, at, outcome)
	switch {
	case outcome == balance.Served:
		w.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("r")})
	case outcome.NeverRan():
		// The operation continues: another step or a refusal follows.
	case job.Template.RemoteCommand == nonIdempotentClass:
		w.core.answer(job, routing.Answer{Verdict: routing.Failed})
	default:
		op.started = false // the core may retry it
	}
}

// checkInvariants fails the test if an invariant is violated.
func (w *randomTest) checkInvariants() {
	used := 0.0
	for _, job := range w.jobs() {
		if job.stage == inCore {
			used += job.slots()
			if job.State.Held() {
				w.t.Fatalf("job %s is held, but in the core", job.ID)
			}
		}
		if was, ok := w.lastStates[job.ID]; ok && was != job.State && was.Final() {
			w.t.Fatalf("job %s changed from final state %s to %s", job.ID, was, job.State)
		}
		w.lastStates[job.ID] = job.State
		if !job.ending && job.stage != inCore && w.manager.unixNow() > job.DeadlineAt {
			w.t.Fatalf("job %s is unfinished after its deadline", job.ID)
		}
		if job.State.Final() {
			if rec := w.store.jobs[job.ID]; rec.State != job.State || rec.EndedAt == 0 {
				w.t.Fatalf("job %s is visible as %s, but stored as %s", job.ID, job.State, rec.State)
			}
		}
	}
	if got := w.manager.window.State().Used; got-used > 1e-6 || used-got > 1e-6 {
		w.t.Fatalf("the window has %v slots in use, the jobs in the core take %v", got, used)
	}
	for _, a := range w.manager.arrays {
		if a.MaxParallel > 0 && a.active > a.MaxParallel {
			w.t.Fatalf("an array has %d active jobs, MaxParallel is %d", a.active, a.MaxParallel)
		}
		n := 0
		for _, job := range a.unfinishedJobs {
			if job.countedActive {
				n++
			}
		}
		if n != a.active || len(a.unfinishedJobs) != a.unfinished {
			w.t.Fatalf("an array counts %d active and %d unfinished jobs, but has %d and %d", a.active, a.unfinished, n, len(a.unfinishedJobs))
		}
	}
	for id, n := range w.possibleStarts {
		if r := w.store.jobs[id]; n > 1 && r.Template.RemoteCommand == nonIdempotentClass {
			w.t.Fatalf("non-idempotent job %s may have started %d times, want at most once", id, n)
		}
	}
	if !w.storeFailed && len(w.calls) == 0 {
		for _, job := range w.jobs() {
			if r := w.store.jobs[job.ID]; !job.ending && r.EndedAt == 0 && r.Sent != job.Sent {
				w.t.Fatalf("job %s: stored Sent is %v, in memory %v", job.ID, r.Sent, job.Sent)
			}
		}
	}
	if w.manager.modelViolations > 0 {
		w.t.Fatalf("%d state transitions that the state model does not allow", w.manager.modelViolations)
	}
	if w.waitsAnswered > w.waitsBegun {
		w.t.Fatalf("%d waits answered, but only %d begun", w.waitsAnswered, w.waitsBegun)
	}
}

// finish runs the manager without faults until all jobs have ended.
func (w *randomTest) finish() {
	w.core.ready = true
	for range 3000 {
		w.runStoreCalls()
		open := 0
		for _, job := range w.jobs() {
			if job.State.Held() {
				w.manager.Act(job, Release, func(*drmaa.Error) {})
			}
			if !job.State.Final() {
				open++
			}
		}
		if open == 0 && len(w.calls) == 0 {
			break
		}
		for _, job := range w.jobs() {
			if job.stage != inCore {
				continue
			}
			op := w.core.operationOf(job)
			if op.inFlight+op.awaitingGate == 0 {
				w.sendStep(job, 0)
				w.runStoreCalls()
			}
			if op.inFlight == 0 || job.operation == 0 || w.core.operationOf(job) != op {
				continue
			}
			if !op.started {
				w.core.startStep(job, job.Steps[len(job.Steps)-1].worker)
			}
			w.core.endStep(job, job.Steps[len(job.Steps)-1].worker, balance.Served)
			w.core.answer(job, routing.Answer{Verdict: routing.Served})
		}
		w.advance(500 * time.Millisecond)
	}
	w.advance(10 * time.Second)
}

func TestManager_randomCallsAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomTest{fixture: newFixture(t), t: t, acknowledged: map[string]bool{},
			lastStates: map[string]drmaa.State{}, possibleStarts: map[string]int{}}
		for range rapid.IntRange(5, 120).Draw(t, "calls") {
			w.randomCall(rapid.IntRange(0, 19).Draw(t, "call"))
			w.checkInvariants()
		}
		w.finish()
		w.checkInvariants()
		for id := range w.acknowledged {
			if r := w.store.jobs[id]; r == nil || r.EndedAt == 0 {
				t.Fatalf("job %s was acknowledged, but has no final state: %+v", id, r)
			}
		}
		if w.waitsAnswered != w.waitsBegun {
			t.Fatalf("%d of %d waits were answered, want all", w.waitsAnswered, w.waitsBegun)
		}
		if n := len(w.core.ops); n != 0 {
			t.Fatalf("%d operations left in the core, want none", n)
		}
	})
}
