package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/due"
	"ospreybend/internal/routing"
	"ospreybend/internal/slot"
)

const (
	keptJobs    = 1000                   // ended jobs kept at hand; older ones are looked up
	storeAgain  = time.Second            // a failed write is tried again after this
	busyReturn  = time.Second            // advice where nothing better is known
	leastReturn = 100 * time.Millisecond // a refused job returns to the core no sooner
)

// Core is what the service needs of package routing's core.
type Core interface {
	Take(routing.Operation) slot.Ref
	Route(slot.Ref)
	Withdraw(slot.Ref)
	MayHaveRun(slot.Ref) bool
	Able() bool
}

// Config is what the service is told.
type Config struct {
	Classes  map[string]int
	Settings balance.Settings
}

// Service is the jobs, sessions and tenants of the batch front.
type Service struct {
	config   Config
	core     Core
	keeper   *Keeper
	clock    routing.Clock
	due      *due.Line
	tenants  map[string]*tenant // by name
	byToken  map[string]*tenant // by the token's hash
	jobs     map[string]*job
	byKey    map[string]*job // by tenant and client key
	byOp     map[slot.Ref]*job
	ended    []string // jobs at hand that have ended, oldest first
	stopping bool
}

type tenant struct {
	Tenant
	sessions   map[string]bool
	unfinished int
}

// job is a job at hand.
type job struct {
	Record
	owner     *tenant
	recorded  bool // in the store
	ending    bool // its final state is decided, and being recorded
	terminate bool // asked for before it was recorded
	op        slot.Ref
	tries     int // operations made of it
	retry     *due.Deadline
	after     time.Duration // the last refusal's advice
	waiters   []*waiter
	askers    []func(*job, *Problem) // that submitted it and wait for the record
	next      *Record                // the final state, until it is recorded
}

// waiter is a client that waits for a job.
type waiter struct {
	started bool // the start is enough
	timeout *due.Deadline
	done    func(*Problem)
}

// NewService makes a service. Load must follow.
func NewService(config Config, core Core, keeper *Keeper, clock routing.Clock, line *due.Line) *Service {
	return &Service{config: config, core: core, keeper: keeper, clock: clock, due: line,
		tenants: map[string]*tenant{}, byToken: map[string]*tenant{}, jobs: map[string]*job{}, byKey: map[string]*job{},
		byOp: map[slot.Ref]*job{}}
}

// Load takes up where the last run of the program ended: what may have run and
// must not run twice has failed, the rest goes on while its deadline lasts.
func (s *Service) Load(tenants []Tenant, sessions [][2]string, unfinished []*Record) {
	for _, t := range tenants {
		s.putTenant(t)
	}
	for _, row := range sessions {
		if t := s.tenants[row[0]]; t != nil {
			t.sessions[row[1]] = true
		}
	}
	for _, r := range unfinished {
		owner := s.tenants[r.Tenant]
		if owner == nil {
			slog.Error("batch job of no tenant", "id", r.ID, "tenant", r.Tenant)
			continue
		}
		j := &job{Record: *r, owner: owner, recorded: true}
		s.hold(j)
		class, known := s.config.Classes[r.Template.RemoteCommand]
		switch {
		case !known:
			s.end(j, Failed, "the class is gone", r.Sent)
		case r.Sent && s.config.Settings.Classes[class].Effect != balance.Safe:
			s.end(j, Failed, "the node restarted; the job may have run and is not run again", true)
		default:
			s.launch(j)
		}
	}
	slog.Info("batch jobs taken up", "tenants", len(tenants), "jobs", len(unfinished))
}

func (s *Service) putTenant(in Tenant) {
	t := s.tenants[in.Name]
	if t == nil {
		t = &tenant{sessions: map[string]bool{}}
		s.tenants[in.Name] = t
	}
	delete(s.byToken, t.TokenHash)
	t.Tenant = in
	s.byToken[in.TokenHash] = t
}

// unixNow is the loop's clock, which counts from the Unix epoch.
func (s *Service) unixNow() int64 { return s.clock.Now().Microseconds() }

func keyOf(tenant, clientKey string) string { return tenant + "\x00" + clientKey }

// Submit takes a job in. answer is called once the job is recorded; same tells
// that it was there before.
func (s *Service) Submit(t *tenant, session string, template Template, answer func(j *job, p *Problem)) {
	if !t.sessions[session] {
		answer(nil, unknownSession)
		return
	}
	digest := template.digest()
	if template.ClientKey != "" {
		if j := s.byKey[keyOf(t.Name, template.ClientKey)]; j != nil {
			s.join(j, digest, answer)
			return
		}
	}
	switch {
	case s.stopping:
		answer(nil, tryLater(busyReturn, "the node is stopping"))
		return
	case t.unfinished >= t.Quota:
		answer(nil, &Problem{Status: 429, Name: "TryLaterException", Return: busyReturn,
			Text: "the tenant has " + strconv.Itoa(t.unfinished) + " unfinished jobs, as many as its quota"})
		return
	case !s.core.Able():
		answer(nil, tryLater(busyReturn, "no prep worker is ready"))
		return
	}
	now := s.unixNow()
	span := s.config.Settings.Classes[s.config.Classes[template.RemoteCommand]].GiveUp
	if template.Deadline > 0 {
		span = time.Duration(template.Deadline * float64(time.Second))
	}
	j := &job{owner: t, Record: Record{ID: newID(), Tenant: t.Name, Session: session, ClientKey: template.ClientKey,
		Digest: digest, Template: template, SubmittedAt: now, DeadlineAt: now + span.Microseconds(), State: Queued}}
	j.askers = append(j.askers, answer)
	var stored *Record
	record := j.Record // the keeper must not read what the loop changes
	if !s.keeper.Call(func(ctx context.Context, store Store) (err error) {
		stored, err = store.Insert(ctx, &record)
		return err
	}, func(err error) { s.recorded(j, stored, err) }) {
		answer(nil, tryLater(busyReturn, "the store of record is behind"))
		return
	}
	s.hold(j)
}

// join answers a submission whose client key stands for a job already.
func (s *Service) join(j *job, digest string, answer func(*job, *Problem)) {
	switch {
	case j.Digest != digest:
		answer(nil, keyReused)
	case !j.recorded:
		j.askers = append(j.askers, answer)
	default:
		answer(j, nil)
	}
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as of Go 1.24
	return hex.EncodeToString(b[:])
}

// hold keeps a job at hand.
func (s *Service) hold(j *job) {
	s.jobs[j.ID] = j
	j.owner.unfinished++
	if j.ClientKey != "" {
		s.byKey[keyOf(j.Tenant, j.ClientKey)] = j
	}
}

// drop forgets a job that has ended. The store has it.
func (s *Service) drop(j *job) {
	delete(s.jobs, j.ID)
	if key := keyOf(j.Tenant, j.ClientKey); s.byKey[key] == j {
		delete(s.byKey, key)
	}
}

// recorded takes up a submission that the store has, or has refused.
func (s *Service) recorded(j *job, stored *Record, err error) {
	askers := j.askers
	j.askers = nil
	tell := func(with *job, p *Problem) {
		for _, answer := range askers {
			answer(with, p)
		}
	}
	if err != nil || stored == nil {
		s.drop(j)
		j.owner.unfinished--
		tell(nil, broken)
		return
	}
	if stored.ID != j.ID {
		// The key was taken by a job that is no longer at hand.
		s.drop(j)
		j.owner.unfinished--
		if stored.Digest != j.Digest {
			tell(nil, keyReused)
			return
		}
		tell(&job{Record: *stored, owner: j.owner, recorded: true}, nil)
		return
	}
	j.recorded = true
	tell(j, nil)
	if j.terminate {
		s.end(j, Failed, "terminated before it was sent", false)
		return
	}
	s.launch(j)
}

// launch gets a recorded job into the core. The store first learns that it may
// be sent: after a restart only what it does not have so never ran for certain.
func (s *Service) launch(j *job) {
	if j.Sent {
		s.route(j)
		return
	}
	j.Sent = true
	id := j.ID
	handed := s.keeper.Call(func(ctx context.Context, store Store) error { return store.MarkSent(ctx, id) },
		func(err error) {
			switch {
			case j.ending:
			case err != nil:
				s.end(j, Failed, "the store of record failed before the job was sent", false)
			default:
				s.route(j)
			}
		})
	if !handed {
		j.Sent = false
		s.again(j, storeAgain, s.launch)
	}
}

// again does something with a job that has not ended, later.
func (s *Service) again(j *job, after time.Duration, do func(*job)) {
	j.retry = s.due.Add(s.clock.Now()+after, func() {
		j.retry = nil
		if !j.ending {
			do(j)
		}
	})
}

// route makes an operation of a job.
func (s *Service) route(j *job) {
	now := s.clock.Now()
	deadline := time.Duration(j.DeadlineAt) * time.Microsecond
	if now >= deadline {
		s.end(j, Failed, s.lateReason(j), j.MayHaveRun)
		return
	}
	j.tries++
	t := &j.Template
	op := routing.Operation{Class: s.config.Classes[t.RemoteCommand], Slots: max(t.MinSlots, 1), Deadline: deadline,
		Cost: time.Duration(t.CostHint*1e6) * time.Microsecond, HasCost: t.CostHint > 0, Repeat: j.tries > 1, Owner: s,
		Work: routing.Work{ID: j.ID + "-" + strconv.Itoa(j.tries), Target: t.target(), Body: []byte(t.Input)}}
	j.op = s.core.Take(op)
	s.byOp[j.op] = j
	s.core.Route(j.op)
}

func (s *Service) lateReason(j *job) string {
	if j.after > 0 && !j.MayHaveRun {
		return "refused until its deadline; it never ran; a new one may be taken after " + j.after.String()
	}
	return "its deadline passed"
}

// Stepped is the core's word that a route step goes out.
func (s *Service) Stepped(op slot.Ref) {
	if j := s.byOp[op]; j != nil && j.State == Running {
		j.State = Requeued // the destination that ran it failed
	}
}

// Started is the core's word that a prep worker has begun to run the job.
func (s *Service) Started(op slot.Ref) {
	j := s.byOp[op]
	if j == nil {
		return
	}
	j.State = Running
	var ready, rest []*waiter
	for _, w := range j.waiters {
		if w.started {
			ready = append(ready, w)
		} else {
			rest = append(rest, w)
		}
	}
	j.waiters = rest
	s.release(ready)
}

// release tells waiters that what they wait for has come.
func (s *Service) release(waiters []*waiter) {
	for _, w := range waiters {
		s.due.Drop(w.timeout)
		w.done(nil)
	}
}

// View is a job as its client sees it now.
func (s *Service) View(j *job) *View {
	v := j.view()
	v.MayHaveRun = v.MayHaveRun || j.op != 0 && s.core.MayHaveRun(j.op)
	return v
}

// Answered is the core's final answer on an operation.
func (s *Service) Answered(op slot.Ref, a routing.Answer) {
	j := s.byOp[op]
	if j == nil {
		return
	}
	delete(s.byOp, op)
	j.op = 0
	j.MayHaveRun = j.MayHaveRun || a.MayHaveRun
	switch a.Verdict {
	case routing.Served:
		j.Result = a.Result
		s.end(j, Done, "", true)
	case routing.Refused:
		// Harmless to try again, and a batch job has until its deadline.
		j.after = max(a.RetryAfter, leastReturn)
		if s.clock.Now()+j.after < time.Duration(j.DeadlineAt)*time.Microsecond {
			j.State = Requeued
			s.again(j, j.after, s.route)
			return
		}
		s.end(j, Failed, s.lateReason(j), j.MayHaveRun)
	case routing.Rejected:
		s.end(j, Failed, "the prep workers can make nothing of the job", j.MayHaveRun)
	default:
		reason := "the job failed"
		if a.MayHaveRun {
			reason = "the job failed or its prep worker was lost; it may have run and is not run again"
		}
		s.end(j, Failed, reason, j.MayHaveRun)
	}
}

// Terminate ends a job at its owner's wish.
func (s *Service) Terminate(j *job) *Problem {
	switch {
	case j.ending || j.State.Final():
		return &Problem{Status: 409, Name: "InvalidStateException", Text: "the job has ended"}
	case !j.recorded:
		j.terminate = true
		return nil
	}
	ran := j.MayHaveRun
	if j.op != 0 {
		op := j.op
		j.op = 0
		delete(s.byOp, op)
		ran = ran || s.core.MayHaveRun(op)
		s.core.Withdraw(op)
	}
	s.end(j, Failed, "terminated", ran)
	return nil
}

// end decides a job's final state, once. It shows only when the store has it:
// what a client has seen must stand after a restart too.
func (s *Service) end(j *job, state State, reason string, ran bool) {
	if j.ending {
		return
	}
	j.ending = true
	s.due.Drop(j.retry)
	final := j.Record
	final.State, final.Reason, final.MayHaveRun, final.EndedAt = state, reason, ran, s.unixNow()
	j.next = &final
	s.finish(j)
}

func (s *Service) finish(j *job) {
	record := *j.next
	if !s.keeper.Call(func(ctx context.Context, store Store) error { return store.Finish(ctx, &record) },
		func(err error) {
			if err != nil {
				s.due.Add(s.clock.Now()+storeAgain, func() { s.finish(j) })
				return
			}
			s.finished(j)
		}) {
		s.due.Add(s.clock.Now()+storeAgain, func() { s.finish(j) })
	}
}

// finished shows the final state.
func (s *Service) finished(j *job) {
	j.Record, j.next = *j.next, nil
	j.owner.unfinished--
	slog.Info("batch job ended", "id", j.ID, "tenant", j.Tenant, "state", j.State, "reason", j.Reason,
		"may_have_run", j.MayHaveRun)
	waiters := j.waiters
	j.waiters = nil
	s.release(waiters)
	s.ended = append(s.ended, j.ID)
	if len(s.ended) > keptJobs {
		if old := s.jobs[s.ended[0]]; old != nil {
			s.drop(old)
		}
		s.ended = s.ended[1:]
	}
}

// Wait calls done when the job has ended, or has started where that is enough,
// or with a problem after the timeout. The returned function gives the wait up.
func (s *Service) Wait(j *job, started bool, timeout time.Duration, done func(*Problem)) (leave func()) {
	if j.State.Final() || started && j.State == Running {
		done(nil)
		return func() {}
	}
	w := &waiter{started: started, done: done}
	j.waiters = append(j.waiters, w)
	leave = func() {
		s.due.Drop(w.timeout)
		for i, other := range j.waiters {
			if other == w {
				j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
				return
			}
		}
	}
	w.timeout = s.due.Add(s.clock.Now()+timeout, func() {
		leave()
		done(&Problem{Status: 504, Name: "TimeoutException", Text: "the wait's own timeout has passed", Waiting: s.View(j)})
	})
	return leave
}

// Find gives a tenant's job to got, from what is at hand or from the store. A
// job of another tenant looks unknown.
func (s *Service) Find(t *tenant, session, id string, got func(*job, *Problem)) {
	if !t.sessions[session] {
		got(nil, unknownSession)
		return
	}
	check := func(j *job) {
		if j == nil || j.Tenant != t.Name || j.Session != session {
			got(nil, unknownJob)
			return
		}
		got(j, nil)
	}
	if j := s.jobs[id]; j != nil {
		check(j)
		return
	}
	var r *Record
	name := t.Name
	if !s.keeper.Call(func(ctx context.Context, store Store) (err error) {
		r, err = store.Job(ctx, name, id)
		return err
	}, func(err error) {
		switch {
		case err != nil:
			got(nil, broken)
		case r == nil:
			check(nil)
		default:
			check(&job{Record: *r, owner: t, recorded: true, ending: true})
		}
	}) {
		got(nil, tryLater(busyReturn, "the store of record is behind"))
	}
}

// Stop has no new jobs taken in.
func (s *Service) Stop() { s.stopping = true }

// Busy returns the number of operations and final states still on their way.
func (s *Service) Busy() int {
	n := len(s.byOp)
	for _, j := range s.jobs {
		if j.next != nil {
			n++
		}
	}
	return n
}
