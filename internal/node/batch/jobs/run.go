package jobs

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
)

const (
	keptSteps    = 16 // of one job; the oldest go first
	mostFailures = 3  // runs that failed of a job; of a rerunnable one, operations in which all did
)

// pump sends on whose turn it is, as far as the window reaches.
func (m *Manager) pump() {
	if m.stopping || m.line.Len() == 0 || m.looking || m.pumping {
		return
	}
	m.pumping = true
	defer func() { m.pumping = false }()
	now := m.clock.Now()
	again, shut := m.window.Shut(now)
	if !shut && !m.core.AnyReady() {
		again, shut = now+ableAgain, true
	}
	if shut {
		m.looking = true
		m.due.Add(again, func() {
			m.looking = false
			m.pump()
		})
		return
	}
	for {
		j, ok := m.line.First()
		if !ok || !m.window.Take(now, j.slots()) {
			return
		}
		m.line.Drop(j.place())
		m.launch(j)
	}
}

// BeforeSend has a job's first step wait until the store knows that it may be sent:
// after a restart only what the store does not have so never ran for certain.
func (m *Manager) BeforeSend(op slottable.Handle, open func(bool)) {
	j := m.byOp[op]
	switch {
	case j == nil || j.ending:
		open(false)
	case j.Sent:
		open(true)
	case m.stopping:
		open(false) // the next run of the program may send it
	default:
		j.marked = true
		m.marks.add(&change{Mark: Mark{ID: j.ID, Sent: true}, job: j, done: func(err error) {
			j.Sent = j.Sent || err == nil && j.op == op
			open(err == nil)
		}})
	}
}

// unsend takes the mark back from a job that is in no prep worker's hands and has
// been in none's.
func (m *Manager) unsend(j *Job) {
	if j.marked && !j.MayHaveRun {
		j.Sent, j.marked = false, false
		m.marks.add(&change{Mark: Mark{ID: j.ID, Held: j.Held}, job: j})
	}
}

// change is a change to a job's record on its way to the store.
type change struct {
	Mark
	job  *Job
	done func(error) // nil: nobody waits for it
}

func (m *Manager) writeMarks(ctx context.Context, store Store, marks []*change) error {
	rows := make([]Mark, len(marks))
	for i, k := range marks {
		rows[i] = k.Mark
	}
	return store.Mark(ctx, rows)
}

func (m *Manager) marked(marks []*change, err error) {
	for _, k := range marks {
		switch {
		case k.done != nil:
			k.done(err)
		case err != nil:
			// The record says more than is so, which does no harm but after a crash.
			m.due.Add(m.within(storeAgain), func() { m.remark(k.job) })
		}
	}
	m.pump()
}

// remark writes what an unfinished job is now.
func (m *Manager) remark(j *Job) {
	if !j.ending {
		m.marks.add(&change{Mark: Mark{ID: j.ID, Sent: j.Sent || j.stage == inCore, Held: j.Held}, job: j})
	}
}

// launch makes an operation of a job whose turn it is.
func (m *Manager) launch(j *Job) {
	now := m.clock.Now()
	deadline := time.Duration(j.DeadlineAt) * time.Microsecond
	if now >= deadline {
		m.window.Give(now, j.slots())
		m.end(j, drmaa.Failed, m.lateReason(j), j.MayHaveRun)
		return
	}
	j.tries++
	j.failedNow, j.failedSteps = false, 0
	j.stage = inCore
	t := j.Template
	class := m.classes[t.RemoteCommand].Number
	op := routing.Operation{Class: class, Slots: j.slots(),
		Deadline: min(deadline, now+m.config.Settings.Classes[class].Timeout), Cost: time.Duration(t.CostHint*1e6) * time.Microsecond,
		HasCost: t.CostHint > 0, Repeat: j.tries > 1, Owner: m,
		Work: routing.Work{ID: j.ID + "-" + strconv.Itoa(j.tries), Target: t.Target(indexText(&j.Record)),
			Body: []byte(t.Body(indexText(&j.Record)))}}
	j.op = m.core.Accept(op)
	m.byOp[j.op] = j
	m.core.Route(j.op)
}

// leave takes a job out of the window, where it is in it.
func (m *Manager) leave(j *Job) {
	if j.stage == inCore {
		m.window.Give(m.clock.Now(), j.slots())
		j.stage = parked
	}
	if j.op != 0 {
		delete(m.byOp, j.op)
		j.op = 0
	}
}

// StepSent is the core's word that a route step goes out.
func (m *Manager) StepSent(op slottable.Handle, to balance.WorkerID) {
	j := m.byOp[op]
	if j == nil {
		return
	}
	name := m.config.Name(to)
	if n := len(j.Steps); n > 0 && j.Steps[n-1].Machine != name {
		m.tell(j, drmaa.Migrated, name)
	}
	if j.State == drmaa.Running && !slices.ContainsFunc(j.Steps, func(s Step) bool { return s.StartedAt > 0 && s.EndedAt == 0 }) {
		m.turn(j, drmaa.Requeued) // the destination that ran it is lost
	}
	if len(j.Steps) >= keptSteps {
		j.Steps = slices.Delete(j.Steps, 0, 1)
	}
	j.Steps = append(j.Steps, Step{Machine: name, SentAt: m.unixNow(), to: to})
	if j.DispatchedAt == 0 {
		j.DispatchedAt = m.unixNow()
	}
}

// out finds the step that is out at a destination, or nil.
func (m *Manager) out(j *Job, to balance.WorkerID) *Step {
	for i := len(j.Steps) - 1; i >= 0; i-- {
		if s := &j.Steps[i]; s.to == to && s.EndedAt == 0 {
			return s
		}
	}
	return nil
}

// Started is the core's word that a prep worker has begun to run the job.
func (m *Manager) Started(op slottable.Handle, to balance.WorkerID) {
	j := m.byOp[op]
	if j == nil {
		return
	}
	j.StartedAt = m.unixNow()
	if s := m.out(j, to); s != nil {
		s.StartedAt = j.StartedAt
	}
	m.turn(j, drmaa.Running)
	m.fire(j)
}

// StepEnded is the core's word of how a route step ended.
func (m *Manager) StepEnded(op slottable.Handle, to balance.WorkerID, how balance.Outcome) {
	j := m.byOp[op]
	if j == nil {
		return
	}
	if s := m.out(j, to); s != nil {
		s.EndedAt, s.Outcome = m.unixNow(), outcomes[how]
	}
	if how != balance.Errored {
		return
	}
	j.failedNow = true
	j.failedSteps++
	if j.failedSteps < j.mostFailedSteps() {
		return
	}
	// After the core's turn, which has more to tell of the step.
	m.due.Add(m.clock.Now(), func() {
		if j.op == op && !j.ending {
			m.leave(j)
			m.core.Withdraw(op)
			j.ExitStatus = 1
			m.end(j, drmaa.Failed, "the job failed at "+strconv.Itoa(j.failedSteps)+" prep workers that ran it", true)
			m.pump()
		}
	})
}

// mostFailedSteps is how often prep workers may run the job and say that it
// failed, while the core tries it anew, before it has FAILED.
func (j *Job) mostFailedSteps() int {
	switch again := j.Template.Rerunnable; {
	case again == nil:
		return mostFailures
	case *again:
		return math.MaxInt
	}
	return 1
}

// outcomes is the steps' outcomes in words for clients.
var outcomes = [...]string{balance.Served: "served", balance.Errored: "failed", balance.Full: "returned",
	balance.TimedOut: "timed out", balance.ConnectFailed: "not connected", balance.Reset: "lost",
	balance.Cancelled: "cancelled", balance.NotSent: "not sent"}

// Answered is the core's final answer on an operation.
func (m *Manager) Answered(op slottable.Handle, a routing.Answer) {
	j := m.byOp[op]
	if j == nil {
		return
	}
	m.leave(j)
	j.MayHaveRun = j.MayHaveRun || a.MayHaveRun
	defer m.pump()
	faultinjection.Hit(faultinjection.OutcomeHeard)
	switch {
	case a.Verdict == routing.Served:
		j.Result, j.ExitStatus = a.Result, 0
		m.end(j, drmaa.Done, "", true)
	case a.Verdict == routing.Refused, a.Verdict == routing.Failed && !j.MayHaveRun:
		// Where nothing has run a failure is as harmless: the core ran out of the
		// class's time, as it does when the store stalls before a gate.
		m.refused(j, a.RetryAfter)
	case a.Verdict == routing.Rejected:
		m.end(j, drmaa.Failed, "the prep workers can make nothing of the job", j.MayHaveRun)
	default:
		reason := "the job failed"
		if n := len(j.Steps); n > 0 && j.Steps[n-1].Outcome == outcomes[balance.Errored] {
			j.ExitStatus = 1
		} else if a.MayHaveRun {
			reason = "the job failed or its prep worker was lost; it may have run and is not run again"
		}
		m.end(j, drmaa.Failed, reason, j.MayHaveRun)
	}
}

// refused has a job wait anew. To try again is harmless, and a batch job has
// until its deadline; where the time to come back lies past that, it has ended.
func (m *Manager) refused(j *Job, advice time.Duration) {
	if j.failedNow {
		// Not for want of room: prep workers ran it and it failed there.
		j.failures++
		if again := j.Template.Rerunnable != nil && *j.Template.Rerunnable; !again || j.failures >= mostFailures {
			j.ExitStatus = 1
			m.end(j, drmaa.Failed, "the job failed at every prep worker that ran it", true)
			return
		}
	}
	m.window.Refused(m.clock.Now(), advice)
	own := min(leastReturn<<min(j.refusals, 10), mostReturn)
	j.refusals++
	j.after = max(advice, own)
	j.notBefore = m.within(j.after)
	if j.notBefore >= time.Duration(j.DeadlineAt)*time.Microsecond {
		m.end(j, drmaa.Failed, m.lateReason(j), j.MayHaveRun)
		return
	}
	m.turn(j, drmaa.Requeued)
	m.unsend(j)
	m.settle(j)
}

// end decides a job's final state, once. It shows only when the store has it:
// what a client has seen must stand after a restart too.
func (m *Manager) end(j *Job, state drmaa.State, reason string, ran bool) {
	if j.ending {
		return
	}
	m.leave(j)
	m.park(j)
	j.ending, j.stage = true, over
	m.due.Cancel(j.deadline)
	j.deadline = nil
	final := j.Record
	final.State, final.Reason, final.MayHaveRun, final.EndedAt = state, reason, ran, m.unixNow()
	final.Steps = slices.Clone(j.Steps)
	for i := range final.Steps {
		if s := &final.Steps[i]; s.EndedAt == 0 {
			s.EndedAt, s.Outcome = final.EndedAt, outcomes[balance.Cancelled]
		}
	}
	j.next = &final
	m.finals.add(j)
}

func (m *Manager) writeFinals(ctx context.Context, store Store, jobs []*Job) error {
	records := make([]*Record, len(jobs))
	for i, j := range jobs {
		records[i] = j.next
	}
	return store.Finish(ctx, records)
}

// finished shows final states. Those that the store failed to write are written
// again: they must not be lost.
func (m *Manager) finished(jobs []*Job, err error) {
	if err != nil {
		m.unshown += len(jobs)
		m.due.Add(m.within(storeAgain), func() {
			m.unshown -= len(jobs)
			m.finals.add(jobs...)
		})
		return
	}
	for _, j := range jobs {
		m.show(j)
	}
}

func (m *Manager) show(j *Job) {
	faultinjection.Hit(faultinjection.ShownBefore)
	was := j.State
	state := j.next.State
	j.Record, j.next = *j.next, nil
	j.State = was
	m.turn(j, state)
	level := slog.LevelDebug
	if state == drmaa.Failed {
		level = slog.LevelInfo
	}
	slog.Log(context.Background(), level, "batch job ended", "id", j.ID, "tenant", j.Tenant, "state", j.State, "reason", j.Reason,
		"may_have_run", j.MayHaveRun)
	m.release(j)
	m.fire(j)
	m.ended = append(m.ended, j.ID)
	if len(m.ended) > m.config.Kept {
		if old := m.jobs[m.ended[0]]; old != nil {
			m.drop(old)
		}
		m.ended = m.ended[1:]
	}
	a := j.array
	if a == nil || a.unfinished > 0 {
		return
	}
	m.satisfyAll(a.finishers, j)
	m.past = append(m.past, a.ID)
	if len(m.past) > keptArrays {
		if old := m.arrays[m.past[0]]; old != nil {
			m.dropArray(old)
		}
		m.past = m.past[1:]
	}
}

// StartDelay is the core's word of how long an operation of either front waited for
// its start.
func (m *Manager) StartDelay(owner routing.Owner, wait time.Duration) {
	m.window.Started(m.clock.Now(), wait, owner == routing.Owner(m))
	m.pump()
}

// OperationConcluded is the core's word of a final answer to either front.
func (m *Manager) OperationConcluded(_ routing.Owner, v routing.Verdict) {
	if v == routing.Refused || v == routing.Failed {
		m.window.Lost(m.clock.Now())
	}
}
