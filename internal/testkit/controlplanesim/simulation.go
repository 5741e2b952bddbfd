package controlplanesim

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Ports and times of the simulated site.
const (
	peerPort         = 7000
	controlPort      = 8000
	startSpread      = 300 * time.Millisecond // within which all machines start
	listLag          = time.Second            // of the list that callers choose servers from
	terminationGrace = 8 * time.Second        // between SIGTERM and SIGKILL
	sampleInterval   = 250 * time.Millisecond
	recoveryTime     = 8 * time.Second // after the last event
	seedCount        = 3
	formationTime    = 4 * time.Second // in which the core has to be formed completely
)

// bounds are the times that the control plane guarantees to callers.
var bounds = history.Bounds{
	Contact: 3 * time.Second, ConfigApply: 2 * time.Second, Drain: drainTime, Registration: 2 * time.Second, ServeAgain: 6 * time.Second,
}

// world is everything of one run.
type world struct {
	schedule  schedule.Schedule
	omissions omissions
	log       *zap.Logger // of the servers
	network   *simnet.Network
	record    *recorder
	running   sync.WaitGroup // everything that was started
	scripts   context.Context

	edges     []*edge
	operators []*operator
	reader    *operator // only reads, and no answers to it are lost
	workers   []*worker

	mutex       sync.Mutex
	machines    []*machine // all that there ever were
	listings    []listing  // the core as callers list it
	current     []*machine // by slot
	lostReplies map[string]int
	triggers    map[schedule.Trigger]chan struct{}
	syncs       []syncWait
}

// syncWait waits until a machine of some slots begins to sync its disk; no slots: any machine.
type syncWait struct {
	slots  []int
	raised chan struct{}
}

// listing is the time for which a machine is on the list of the core.
type listing struct {
	machine    *machine
	from, till time.Time // till is zero while it is on it
}

func newWorld(played schedule.Schedule, log *zap.Logger) (*world, error) {
	omit, err := parseOmissions(played.Omit)
	if err != nil {
		return nil, err
	}
	w := &world{
		schedule: played, omissions: omit, log: log, network: simnet.New(played.Seed), lostReplies: make(map[string]int),
		triggers: make(map[schedule.Trigger]chan struct{}),
	}
	w.record = newRecorder(w)
	for slot := range played.Servers {
		m := w.newMachine(slot)
		w.current = append(w.current, m)
		w.listings = append(w.listings, listing{machine: m, from: time.Now().Add(-listLag)})
	}
	for i := range played.Agents {
		w.edges = append(w.edges, &edge{world: w, index: i, ip: address(1, i)})
	}
	for i := range played.Operators {
		w.operators = append(w.operators, w.newOperator(i))
	}
	w.reader = w.newOperator(played.Operators)
	for i := range played.Workers {
		w.workers = append(w.workers, &worker{caller: caller{world: w, host: address(2, i), random: w.random("worker", i)}, index: i})
	}
	return w, nil
}

func (w *world) newOperator(index int) *operator {
	return &operator{caller: caller{world: w, host: address(9, index), random: w.random("operator", index)}, index: index}
}

// address is the IP of one machine of a kind.
func address(kind, number int) string { return fmt.Sprintf("10.%d.0.%d", kind, number+1) }

func controlAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(controlPort)) }

// random returns the draws of one part of the world, which depend on the seed alone. They may be used by one goroutine.
func (w *world) random(part string, number int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", part, number)
	return rand.New(rand.NewPCG(w.schedule.Seed, h.Sum64()))
}

// sharedRandom is random for several goroutines.
func (w *world) sharedRandom(part string, number int) func() uint64 {
	random := w.random(part, number)
	var mutex sync.Mutex
	return func() uint64 {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Uint64()
	}
}

func (w *world) newMachine(slot int) *machine {
	m := &machine{world: w, slot: slot, ip: address(0, len(w.machines)), disk: newMachineDisk()}
	w.machines = append(w.machines, m)
	return m
}

// allMachines returns all machines that there ever were.
func (w *world) allMachines() []*machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.machines)
}

// machineAt returns the machine that occupies a slot now.
func (w *world) machineAt(slot int) *machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.current[slot]
}

func (w *world) machinesAt(machines []int) []*machine {
	var found []*machine
	for _, slot := range machines {
		found = append(found, w.machineAt(slot))
	}
	return found
}

func (w *world) currentMachines() []*machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.current)
}

// replaceMachine has a new machine take a slot. The old one stays on the list of callers for a while.
func (w *world) replaceMachine(slot int) (old, successor *machine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	old = w.current[slot]
	successor = w.newMachine(slot)
	w.current[slot] = successor
	now := time.Now()
	for i := range w.listings {
		if w.listings[i].machine == old {
			w.listings[i].till = now
		}
	}
	w.listings = append(w.listings, listing{machine: successor, from: now})
	return old, successor
}

// listedMachines returns the core as callers know it, which lags.
func (w *world) listedMachines() []*machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	as := time.Now().Add(-listLag)
	var listed []*machine
	for _, one := range w.listings {
		if !one.from.After(as) && (one.till.IsZero() || one.till.After(as)) {
			listed = append(listed, one.machine)
		}
	}
	return listed
}

// seeds returns the seeds of a settings file that is written now.
func (w *world) seeds() []string {
	var seeds []string
	for _, m := range w.listedMachines() {
		if len(seeds) < seedCount {
			seeds = append(seeds, controlAddress(m.ip))
		}
	}
	return seeds
}

// trigger wakes the events that wait for a trigger.
func (w *world) trigger(trigger schedule.Trigger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiting := w.triggers[trigger]; waiting != nil {
		close(waiting)
		delete(w.triggers, trigger)
	}
}

// diskSyncs wakes the events that wait for a machine's sync.
func (w *world) diskSyncs(m *machine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.syncs = slices.DeleteFunc(w.syncs, func(wait syncWait) bool {
		matches := len(wait.slots) == 0 || slices.Contains(wait.slots, m.slot)
		if matches {
			close(wait.raised)
		}
		return matches
	})
}

// triggerChannel returns the channel that is closed at a trigger; that of a sync concerns the slots alone.
func (w *world) triggerChannel(trigger schedule.Trigger, slots []int) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if trigger == schedule.Sync {
		wait := syncWait{slots: slots, raised: make(chan struct{})}
		w.syncs = append(w.syncs, wait)
		return wait.raised
	}
	if w.triggers[trigger] == nil {
		w.triggers[trigger] = make(chan struct{})
	}
	return w.triggers[trigger]
}

// awaitTrigger waits for a trigger. It returns false if the trigger does not occur in time.
func (w *world) awaitTrigger(trigger schedule.Trigger, slots []int) bool {
	raised := w.triggerChannel(trigger, slots)
	timer := time.NewTimer(schedule.TriggerWindow)
	defer timer.Stop()
	select {
	case <-raised:
		return true
	case <-timer.C:
		return false
	}
}

// losesReplies reports whether answers to a caller are lost now.
func (w *world) losesReplies(host string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lostReplies[host] > 0
}

// loseReplies loses the answers to callers until the function returned is called.
func (w *world) loseReplies(hosts []string) (end func()) {
	add := func(count int) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, host := range hosts {
			w.lostReplies[host] += count
		}
	}
	add(1)
	return func() { add(-1) }
}

// run plays a script, usually the schedule's events, and stops everything.
func (w *world) run(script func(ctx context.Context)) {
	scripts, stopScripts := context.WithCancel(context.Background())
	defer stopScripts()
	w.scripts = scripts
	edges, stopEdges := context.WithCancel(context.Background())
	defer stopEdges()
	w.startCore()
	for _, e := range w.edges {
		e.run(edges)
	}
	w.startScripts(scripts)
	script(scripts)
	time.Sleep(recoveryTime)
	w.record.end()
	stopScripts()
	w.stopAll(stopEdges)
}

// startCore starts all servers in a drawn order.
func (w *world) startCore() {
	random := w.random("start", 0)
	seeds := w.seeds()
	for _, m := range w.current {
		delay := rand64(random, startSpread)
		w.running.Go(func() {
			time.Sleep(delay)
			m.start(seeds, true)
		})
	}
}

func (w *world) startScripts(ctx context.Context) {
	for _, o := range w.operators {
		w.running.Go(func() { o.run(ctx) })
	}
	w.running.Go(func() { w.reader.readForever(ctx) })
	for _, one := range w.workers {
		one.start(ctx)
	}
	w.running.Go(func() {
		for simnet.Sleep(ctx, sampleInterval) {
			w.record.sample()
		}
	})
}

// stopAll stops all processes and waits for their goroutines.
func (w *world) stopAll(stopEdges context.CancelFunc) {
	stopEdges()
	for _, e := range w.edges {
		for _, process := range e.processes {
			process.Kill()
		}
	}
	for _, m := range w.allMachines() {
		m.kill()
	}
	w.running.Wait()
}
