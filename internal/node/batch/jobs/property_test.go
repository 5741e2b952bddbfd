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

// The cases drawn are the same in each run; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// randomTest drives a manager with random calls and faults, and checks invariants: each job has one
// final state, which never changes; no booking starts twice; no held job is in the core; every wait
// is answered once.
type randomTest struct {
	*fixture
	t     *rapid.T
	taken map[string]bool        // jobs whose submission was acknowledged
	seen  map[string]drmaa.State // the last state shown
	went  map[string]int         // steps that may have begun at a prep worker, over all runs
	waits int                    // answered waits
	asked int
	keys  int

	faulted bool // the store has failed a call, so that its record may lag behind
}

func (w *randomTest) jobs() (all []*Job) {
	for _, id := range w.manager.IDs() {
		if job := w.manager.jobs[id]; job.recorded {
			all = append(all, job)
		}
	}
	return all
}

// pick draws one of the jobs that fit, or nil.
func (w *randomTest) pick(fit func(*Job) bool) *Job {
	all := slices.DeleteFunc(w.jobs(), func(job *Job) bool { return !fit(job) })
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(w.t, "job")
}

func (w *randomTest) template() *drmaa.JobTemplate {
	t := &drmaa.JobTemplate{RemoteCommand: rapid.SampledFrom([]string{safe, once}).Draw(w.t, "class")}
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
		t.ClientKey = strconv.Itoa(rapid.IntRange(0, w.keys).Draw(w.t, "key"))
		w.keys++
	}
	return t
}

func (w *randomTest) call(what int) {
	inWork := func(job *Job) bool { return job.stage == inCore }
	switch what {
	case 0, 1:
		w.manager.Submit(w.anna(), "s", w.template(), func(job *Job, e *drmaa.Error) {
			if e == nil {
				w.taken[job.ID] = true
			}
		})
	case 2:
		b := &drmaa.Bulk{Template: w.template(), Begin: 1, End: rapid.IntRange(1, 4).Draw(w.t, "end"), Step: 1,
			MaxParallel: rapid.IntRange(0, 2).Draw(w.t, "parallel")}
		w.manager.SubmitBulk(w.anna(), "s", b, func(a *Array, e *drmaa.Error) {
			if e == nil {
				for i := a.Begin; i <= a.End; i++ {
					w.taken[drmaa.JobID(a.ID, i)] = true
				}
			}
		})
	case 3:
		if job := w.pick(func(*Job) bool { return true }); job != nil {
			action := rapid.SampledFrom([]string{Hold, Release, Terminate, Hold, Release, Reap}).Draw(w.t, "action")
			w.manager.Act(job, action, func(*drmaa.Error) {})
		}
	case 4:
		if job := w.pick(func(*Job) bool { return true }); job != nil {
			w.asked++
			w.manager.Wait([]*Job{job}, rapid.Bool().Draw(w.t, "started"), 5*time.Second, func(*Job, *drmaa.Error) { w.waits++ })
		}
	case 5, 6, 7:
		w.runStoreCall(callSucceeds)
	case 8:
		// Inserts whose answer is lost are not covered here; the client gets 500.
		w.faulted = true
		w.runStoreCall(callFails)
	case 9:
		if len(w.calls) > 0 && w.manager.inserts.inFlight == 0 {
			w.faulted = true
			w.runStoreCall(callSucceedsAnswerLost)
		}
	case 10:
		if job := w.pick(inWork); job != nil && w.core.of(job).out+w.core.of(job).gated == 0 {
			w.step(job, balance.WorkerID(rapid.IntRange(0, 2).Draw(w.t, "worker")))
		}
	case 11, 12:
		if job := w.pick(func(job *Job) bool { return inWork(job) && w.core.of(job).out > 0 }); job != nil {
			at := job.Steps[len(job.Steps)-1].worker
			if !w.core.of(job).begun {
				w.core.begin(job, at)
			}
		}
	case 13, 14:
		if job := w.pick(func(job *Job) bool { return inWork(job) && w.core.of(job).out > 0 }); job != nil {
			w.stepEnds(job)
		}
	case 15:
		if job := w.pick(func(job *Job) bool {
			return inWork(job) && w.core.of(job).out+w.core.of(job).gated == 0 && !w.core.of(job).ran
		}); job != nil {
			w.core.answer(job, routing.Answer{Verdict: routing.Refused, RetryAfter: 300 * time.Millisecond})
		}
	case 16, 17:
		w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
		for ref, handle := range w.core.ops { // the core keeps its deadlines
			if job := w.manager.byOperation[ref]; job != nil && w.now > handle.Deadline {
				w.core.answer(job, routing.Answer{Verdict: routing.Failed})
			}
		}
	case 18:
		w.core.ready = !w.core.ready
	case 19:
		if rapid.IntRange(0, 3).Draw(w.t, "kill") == 0 {
			w.waits, w.asked = 0, 0
			w.start()
		}
	}
}

// step sends a job's step once its gate opens. From then on the worker may start it, whether or
// not the node learns of that.
func (w *randomTest) step(job *Job, to balance.WorkerID) {
	w.core.stepThen(job, to, func() {
		w.went[job.ID]++
		if r := w.store.jobs[job.ID]; !r.Sent {
			w.t.Fatalf("%s goes out and is not on record as sent", job.ID)
		}
	})
}

// stepEnds ends a job's step, and its operation by the core's rules.
func (w *randomTest) stepEnds(job *Job) {
	handle, at := w.core.of(job), job.Steps[len(job.Steps)-1].worker
	outcomes := []balance.Outcome{balance.Served, balance.Errored, balance.Reset}
	if !handle.begun {
		outcomes = []balance.Outcome{balance.Full, balance.ConnectFailed, balance.Reset}
	}
	how := rapid.SampledFrom(outcomes).Draw(w.t, "outcome")
	if how.NeverRan() {
		w.went[job.ID]--
	}
	w.core.stepDone(job, at, how)
	switch {
	case how == balance.Served:
		w.core.answer(job, routing.Answer{Verdict: routing.Served, Result: []byte("r")})
	case how.NeverRan():
		// The operation continues: another step or a refusal follows.
	case job.Template.RemoteCommand == once:
		w.core.answer(job, routing.Answer{Verdict: routing.Failed})
	default:
		handle.begun = false // it may be repeated
	}
}

func (w *randomTest) check() {
	used := 0.0
	for _, job := range w.jobs() {
		if job.stage == inCore {
			used += job.slots()
			if job.State.Held() {
				w.t.Fatalf("%s is held and on its way", job.ID)
			}
		}
		if was, ok := w.seen[job.ID]; ok && was != job.State && was.Final() {
			w.t.Fatalf("%s was %s and is %s", job.ID, was, job.State)
		}
		w.seen[job.ID] = job.State
		if !job.ending && job.stage != inCore && w.manager.unixNow() > job.DeadlineAt {
			w.t.Fatalf("%s waits past its deadline", job.ID)
		}
		if job.State.Final() {
			if rec := w.store.jobs[job.ID]; rec.State != job.State || rec.EndedAt == 0 {
				w.t.Fatalf("%s shows %s, on record is %s", job.ID, job.State, rec.State)
			}
		}
	}
	if got := w.manager.window.State().Used; got-used > 1e-6 || used-got > 1e-6 {
		w.t.Fatalf("the window has %v slots used, jobs take %v", got, used)
	}
	for _, a := range w.manager.arrays {
		if a.MaxParallel > 0 && a.active > a.MaxParallel {
			w.t.Fatalf("%d of an array's jobs at once, %d at most", a.active, a.MaxParallel)
		}
		n := 0
		for _, job := range a.unfinishedJobs {
			if job.countedActive {
				n++
			}
		}
		if n != a.active || len(a.unfinishedJobs) != a.unfinished {
			w.t.Fatalf("an array counts %d active and %d unfinished, has %d and %d", a.active, a.unfinished, n, len(a.unfinishedJobs))
		}
	}
	for id, n := range w.went {
		if r := w.store.jobs[id]; n > 1 && r.Template.RemoteCommand == once {
			w.t.Fatalf("booking %s may have begun %d times", id, n)
		}
	}
	if !w.faulted && len(w.calls) == 0 {
		for _, job := range w.jobs() {
			if r := w.store.jobs[job.ID]; !job.ending && r.EndedAt == 0 && r.Sent != job.Sent {
				w.t.Fatalf("%s is on record as sent %v, and is %v", job.ID, r.Sent, job.Sent)
			}
		}
	}
	if w.manager.modelViolations > 0 {
		w.t.Fatalf("%d changes of state against the model", w.manager.modelViolations)
	}
	if w.waits > w.asked {
		w.t.Fatalf("%d waits answered, %d asked", w.waits, w.asked)
	}
}

// finish continues without faults until all jobs have ended.
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
			handle := w.core.of(job)
			if handle.out+handle.gated == 0 {
				w.step(job, 0)
				w.runStoreCalls()
			}
			if handle.out == 0 || job.operation == 0 || w.core.of(job) != handle {
				continue
			}
			if !handle.begun {
				w.core.begin(job, job.Steps[len(job.Steps)-1].worker)
			}
			w.core.stepDone(job, job.Steps[len(job.Steps)-1].worker, balance.Served)
			w.core.answer(job, routing.Answer{Verdict: routing.Served})
		}
		w.advance(500 * time.Millisecond)
	}
	w.advance(10 * time.Second)
}

func TestManager_randomCallsAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomTest{fixture: newFixture(t), t: t, taken: map[string]bool{},
			seen: map[string]drmaa.State{}, went: map[string]int{}}
		for range rapid.IntRange(5, 120).Draw(t, "calls") {
			w.call(rapid.IntRange(0, 19).Draw(t, "call"))
			w.check()
		}
		w.finish()
		w.check()
		for id := range w.taken {
			if r := w.store.jobs[id]; r == nil || r.EndedAt == 0 {
				t.Fatalf("job %s was taken and has no end: %+v", id, r)
			}
		}
		if w.waits != w.asked {
			t.Fatalf("%d of %d waits answered", w.waits, w.asked)
		}
		if n := len(w.core.ops); n != 0 {
			t.Fatalf("%d operations left in the core", n)
		}
	})
}
