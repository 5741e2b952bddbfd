package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"ospreybend/coord/consensus"
)

// Times of a schedule.
const (
	heartbeatShare = 5                // heartbeats in an election timeout
	recovery       = 20 * time.Second // after the faults
)

// event is something that happens at a time.
type event struct {
	at     time.Duration
	order  uint64
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// world is all machines, what is between them and what happens to them in one schedule.
type world struct {
	options Options
	random  *rand.Rand
	profile profile
	now     time.Duration
	events  eventQueue
	order   uint64
	hosts   []*host
	cuts    [][]time.Duration // until when nothing passes, by sender and receiver
	mutes   [][]time.Duration // until when no entries of the sender's own term pass
	rivals  *rivalry          // the last one, nil: none yet
	checks  checks
	count   Count
	calm    bool // the faults are over

	lastWipe      time.Duration
	lastRemoval   time.Duration
	mayStandStill bool // more was lost at a time than the group stands

	lastCommand uint64
	lastRead    uint64
}

func newWorld(seed uint64, options Options) *world {
	w := &world{options: options, random: rand.New(rand.NewPCG(seed, seed^seedStep))}
	w.checks = newChecks(seed)
	w.profile = drawProfile(w.random)
	var founders []consensus.Member
	for index := range options.Members {
		host := newHost(w, index)
		w.hosts = append(w.hosts, host)
		w.cuts = append(w.cuts, make([]time.Duration, options.Members))
		w.mutes = append(w.mutes, make([]time.Duration, options.Members))
		founders = append(founders, consensus.Member{ID: host.id, Address: host.address(), Voter: true})
	}
	for _, host := range w.hosts {
		host.disk.durable = consensus.Bootstrap(founders, encodeChain(foundingChain))
	}
	return w
}

// play runs the schedule: faults strike for a while, then the group must recover.
func (w *world) play() {
	defer w.noticePanic()
	for _, host := range w.hosts {
		host.start()
	}
	w.after(0, w.clientWorks)
	w.after(0, w.operatorWorks)
	w.after(0, w.faultStrikes)
	trouble := w.options.Trouble
	if trouble == 0 {
		trouble = defaultTrouble
	}
	if !w.runUntil(trouble, nil) {
		return
	}
	w.calmDown()
	recovered := func() bool { return w.now > trouble+time.Second && w.allCurrent() }
	if w.runUntil(trouble+recovery, recovered) {
		w.checkRecovery()
	}
}

// noticePanic records that the core found an impossible state.
func (w *world) noticePanic() {
	if cause := recover(); cause != nil {
		w.checks.fail(CheckPanic, fmt.Sprint(cause))
	}
}

// runUntil plays events until a time, or until done says so. It returns false after a violation.
func (w *world) runUntil(end time.Duration, done func() bool) bool {
	for len(w.events) > 0 && w.events[0].at <= end {
		if len(w.checks.violations) > 0 {
			return false
		}
		if done != nil && done() {
			return true
		}
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.action()
	}
	w.now = end
	return len(w.checks.violations) == 0
}

// after has something happen after a pause.
func (w *world) after(pause time.Duration, action func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + pause, order: w.order, action: action})
}

// draw returns a time from least up to most.
func (w *world) draw(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) chance(probability float64) bool {
	return w.random.Float64() < probability
}

func (w *world) anyHost() *host {
	return w.hosts[w.random.IntN(len(w.hosts))]
}

// send delivers a message after a delay, several times or never.
func (w *world) send(message consensus.Message) {
	w.count.Messages++
	if message.Kind == consensus.MessageInstallSnapshot {
		w.count.Snapshots++
	}
	w.checks.claim(message)
	copies := 1
	if !w.calm && w.chance(w.profile.repeat) {
		copies = 2
	}
	for range copies {
		w.sendOnce(message)
	}
}

func (w *world) sendOnce(message consensus.Message) {
	from, to := hostOf(message.From), hostOf(message.To)
	if to < 0 || to >= len(w.hosts) {
		return
	}
	delay := w.draw(time.Millisecond, w.profile.delay)
	if !w.calm {
		if w.now < w.cuts[from][to] || w.muted(message, from, to) || w.chance(w.profile.loss) {
			return
		}
		if w.chance(w.profile.late) {
			delay += w.draw(0, 2*time.Second)
		}
	}
	receiver := w.hosts[to]
	w.after(delay, func() { receiver.receive(message) })
}
