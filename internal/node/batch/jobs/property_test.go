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

// world drives a manager with random calls and faults, and holds what it shows
// against a model: one final state for each job, never changed; no booking begun
// twice; nothing held in the core; every wait answered once.
type world struct {
	*rig
	t     *rapid.T
	taken map[string]bool        // jobs whose submission was acknowledged
	seen  map[string]drmaa.State // the last state shown
	went  map[string]int         // steps that may have begun at a prep worker, over all runs
	waits int                    // answered waits
	asked int
	keys  int

	faulted bool // the store has failed a call, so that its record may lag behind
}

func (w *world) jobs() (all []*Job) {
	for _, id := range w.m.IDs() {
		if j := w.m.jobs[id]; j.recorded {
			all = append(all, j)
		}
	}
	return all
}

// pick draws one of the jobs that are fit, or nil.
func (w *world) pick(fit func(*Job) bool) *Job {
	all := slices.DeleteFunc(w.jobs(), func(j *Job) bool { return !fit(j) })
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(w.t, "job")
}

func (w *world) template() *drmaa.JobTemplate {
	t := &drmaa.JobTemplate{RemoteCommand: rapid.SampledFrom([]string{safe, once}).Draw(w.t, "class")}
	t.SubmitAsHold = rapid.IntRange(0, 4).Draw(w.t, "held") == 0
	t.Priority = rapid.IntRange(-1, 1).Draw(w.t, "priority")
	t.MinSlots = float64(rapid.IntRange(0, 3).Draw(w.t, "slots"))
	if rapid.IntRange(0, 5).Draw(w.t, "short") == 0 {
		t.Deadline = 3
	}
	if rapid.IntRange(0, 5).Draw(w.t, "later") == 0 {
		t.StartTime = drmaa.Stamp(w.m.unixNow() + 2e6)
	}
	if rapid.IntRange(0, 2).Draw(w.t, "keyed") == 0 {
		t.ClientKey = strconv.Itoa(rapid.IntRange(0, w.keys).Draw(w.t, "key"))
		w.keys++
	}
	return t
}

func (w *world) call(what int) {
	inWork := func(j *Job) bool { return j.stage == inCore }
	switch what {
	case 0, 1:
		w.m.Submit(w.anna(), "s", w.template(), func(j *Job, e *drmaa.Error) {
			if e == nil {
				w.taken[j.ID] = true
			}
		})
	case 2:
		b := &drmaa.Bulk{Template: w.template(), Begin: 1, End: rapid.IntRange(1, 4).Draw(w.t, "end"), Step: 1,
			MaxParallel: rapid.IntRange(0, 2).Draw(w.t, "parallel")}
		w.m.SubmitBulk(w.anna(), "s", b, func(a *Array, e *drmaa.Error) {
			if e == nil {
				for i := a.Begin; i <= a.End; i++ {
					w.taken[drmaa.JobID(a.ID, i)] = true
				}
			}
		})
	case 3:
		if j := w.pick(func(*Job) bool { return true }); j != nil {
			action := rapid.SampledFrom([]string{Hold, Release, Terminate, Hold, Release, Reap}).Draw(w.t, "action")
			w.m.Act(j, action, func(*drmaa.Error) {})
		}
	case 4:
		if j := w.pick(func(*Job) bool { return true }); j != nil {
			w.asked++
			w.m.Wait([]*Job{j}, rapid.Bool().Draw(w.t, "started"), 5*time.Second, func(*Job, *drmaa.Error) { w.waits++ })
		}
	case 5, 6, 7:
		w.settleOne(works)
	case 8:
		// Inserts whose answer is lost are the next issue's; the client is told 500.
		w.faulted = true
		w.settleOne(refuses)
	case 9:
		if len(w.calls) > 0 && w.m.inserts.out == 0 {
			w.faulted = true
			w.settleOne(loseWord)
		}
	case 10:
		if j := w.pick(inWork); j != nil && w.core.of(j).out+w.core.of(j).gated == 0 {
			w.step(j, balance.WorkerID(rapid.IntRange(0, 2).Draw(w.t, "worker")))
		}
	case 11, 12:
		if j := w.pick(func(j *Job) bool { return inWork(j) && w.core.of(j).out > 0 }); j != nil {
			at := j.Steps[len(j.Steps)-1].to
			if !w.core.of(j).begun {
				w.core.begin(j, at)
			}
		}
	case 13, 14:
		if j := w.pick(func(j *Job) bool { return inWork(j) && w.core.of(j).out > 0 }); j != nil {
			w.stepEnds(j)
		}
	case 15:
		if j := w.pick(func(j *Job) bool { return inWork(j) && w.core.of(j).out+w.core.of(j).gated == 0 && !w.core.of(j).ran }); j != nil {
			w.core.answer(j, routing.Answer{Verdict: routing.Refused, RetryAfter: 300 * time.Millisecond})
		}
	case 16, 17:
		w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
		for ref, op := range w.core.ops { // the core keeps its deadlines
			if j := w.m.byOp[ref]; j != nil && w.now > op.Deadline {
				w.core.answer(j, routing.Answer{Verdict: routing.Failed})
			}
		}
	case 18:
		w.core.able = !w.core.able
	case 19:
		if rapid.IntRange(0, 3).Draw(w.t, "kill") == 0 {
			w.waits, w.asked = 0, 0
			w.start()
		}
	}
}

// step sends a job's step, which goes out once its gate opens. From then on the
// worker may begin it, whatever the node learns of that.
func (w *world) step(j *Job, to balance.WorkerID) {
	w.core.stepThen(j, to, func() {
		w.went[j.ID]++
		if r := w.store.jobs[j.ID]; !r.Sent {
			w.t.Fatalf("%s goes out and is not on record as sent", j.ID)
		}
	})
}

// stepEnds ends a job's step, and the operation as the core's rules have it.
func (w *world) stepEnds(j *Job) {
	op, at := w.core.of(j), j.Steps[len(j.Steps)-1].to
	outcomes := []balance.Outcome{balance.Served, balance.Errored, balance.Reset}
	if !op.begun {
		outcomes = []balance.Outcome{balance.Full, balance.ConnectFailed, balance.Reset}
	}
	how := rapid.SampledFrom(outcomes).Draw(w.t, "outcome")
	if how.NeverRan() {
		w.went[j.ID]--
	}
	w.core.stepDone(j, at, how)
	switch {
	case how == balance.Served:
		w.core.answer(j, routing.Answer{Verdict: routing.Served, Result: []byte("r")})
	case how.NeverRan():
		// Stays: another step or a refusal follows.
	case j.Template.RemoteCommand == once:
		w.core.answer(j, routing.Answer{Verdict: routing.Failed})
	default:
		op.begun = false // it may be repeated
	}
}

func (w *world) check() {
	used := 0.0
	for _, j := range w.jobs() {
		if j.stage == inCore {
			used += j.slots()
			if j.State.Held() {
				w.t.Fatalf("%s is held and on its way", j.ID)
			}
		}
		if was, ok := w.seen[j.ID]; ok && was != j.State && was.Final() {
			w.t.Fatalf("%s was %s and is %s", j.ID, was, j.State)
		}
		w.seen[j.ID] = j.State
		if !j.ending && j.stage != inCore && w.m.unixNow() > j.DeadlineAt {
			w.t.Fatalf("%s waits past its deadline", j.ID)
		}
		if j.State.Final() {
			if rec := w.store.jobs[j.ID]; rec.State != j.State || rec.EndedAt == 0 {
				w.t.Fatalf("%s shows %s, on record is %s", j.ID, j.State, rec.State)
			}
		}
	}
	if got := w.m.window.State().Used; got-used > 1e-6 || used-got > 1e-6 {
		w.t.Fatalf("the window has %v slots used, jobs take %v", got, used)
	}
	for _, a := range w.m.arrays {
		if a.MaxParallel > 0 && a.active > a.MaxParallel {
			w.t.Fatalf("%d of an array's jobs at once, %d at most", a.active, a.MaxParallel)
		}
		n := 0
		for _, j := range a.open {
			if j.counted {
				n++
			}
		}
		if n != a.active || len(a.open) != a.unfinished {
			w.t.Fatalf("an array counts %d active and %d unfinished, has %d and %d", a.active, a.unfinished, n, len(a.open))
		}
	}
	for id, n := range w.went {
		if r := w.store.jobs[id]; n > 1 && r.Template.RemoteCommand == once {
			w.t.Fatalf("booking %s may have begun %d times", id, n)
		}
	}
	if !w.faulted && len(w.calls) == 0 {
		for _, j := range w.jobs() {
			if r := w.store.jobs[j.ID]; !j.ending && r.EndedAt == 0 && r.Sent != j.Sent {
				w.t.Fatalf("%s is on record as sent %v, and is %v", j.ID, r.Sent, j.Sent)
			}
		}
	}
	if w.m.faults > 0 {
		w.t.Fatalf("%d changes of state against the model", w.m.faults)
	}
	if w.waits > w.asked {
		w.t.Fatalf("%d waits answered, %d asked", w.waits, w.asked)
	}
}

// finish plays without faults until all has ended.
func (w *world) finish() {
	w.core.able = true
	for range 3000 {
		w.settle()
		open := 0
		for _, j := range w.jobs() {
			if j.State.Held() {
				w.m.Act(j, Release, func(*drmaa.Error) {})
			}
			if !j.State.Final() {
				open++
			}
		}
		if open == 0 && len(w.calls) == 0 {
			break
		}
		for _, j := range w.jobs() {
			if j.stage != inCore {
				continue
			}
			op := w.core.of(j)
			if op.out+op.gated == 0 {
				w.step(j, 0)
				w.settle()
			}
			if op.out == 0 || j.op == 0 || w.core.of(j) != op {
				continue
			}
			if !op.begun {
				w.core.begin(j, j.Steps[len(j.Steps)-1].to)
			}
			w.core.stepDone(j, j.Steps[len(j.Steps)-1].to, balance.Served)
			w.core.answer(j, routing.Answer{Verdict: routing.Served})
		}
		w.advance(500 * time.Millisecond)
	}
	w.advance(10 * time.Second)
}

func TestRandomCallsAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{rig: newRig(t), t: t, taken: map[string]bool{},
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
