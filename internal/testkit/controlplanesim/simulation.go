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

// Ports and times of the simulated deployment.
const (
	peerPort         = 7000
	controlPort      = 8000
	startSpread      = 300 * time.Millisecond // within which all machines start
	listingLag       = time.Second            // delay after which callers see a change of the server list
	terminationGrace = 8 * time.Second        // between SIGTERM and SIGKILL
	sampleInterval   = 250 * time.Millisecond
	recoveryTime     = 8 * time.Second // after the last event
	seedCount        = 3
	leaseTime        = 3 * time.Second // the default of the setting leaseMs
	formationTime    = 4 * time.Second // within which all groups of the core must be formed
)

// bounds are the time limits that the control plane guarantees.
var bounds = history.Bounds{
	Contact: 3 * time.Second, ConfigApply: 2 * time.Second, Drain: drainTime, Registration: 2 * time.Second, ServeAgain: 6 * time.Second, Lease: leaseTime,
}

// simulation is the state of one run.
type simulation struct {
	schedule   schedule.Schedule
	filler     string        // JSON of the schedule's routes, see fillerRoutes
	applyCost  time.Duration // processor time of applying a change of the configuration
	omissions  omissions
	log        *zap.Logger // of the servers
	network    *simnet.Network
	recorder   *recorder
	goroutines sync.WaitGroup // all started goroutines
	scripts    context.Context

	edges     []*edge
	operators []*operator
	reader    *operator // only reads; its responses are never lost
	workers   []*worker

	mutex           sync.Mutex
	commandSender   int               // slot of the machine that last wrote a role command
	workerProcesses []*simnet.Process // of all incarnations of workers
	machines        []*machine        // including replaced ones
	listings        []listing         // the core machines as callers see them
	current         []*machine        // by slot
	lostReplies     map[string]int
	triggers        map[schedule.Trigger]chan struct{}
	syncs           []syncWait
}

// syncWait is an event that waits until a machine in one of the slots begins to sync its disk; without slots, any machine.
type syncWait struct {
	slots     []int
	triggered chan struct{}
}

// listing is the time during which a machine is listed as part of the core.
type listing struct {
	machine     *machine
	from, until time.Time // until is zero while the machine is listed
}

func newSimulation(played schedule.Schedule, log *zap.Logger) (*simulation, error) {
	omit, err := parseOmissions(played.Omit)
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		schedule: played, omissions: omit, log: log, network: simnet.New(played.Seed), lostReplies: make(map[string]int),
		triggers: make(map[schedule.Trigger]chan struct{}),
	}
	sim.filler = fillerRoutes(played.Routes)
	sim.applyCost = applyCostOf(played.Routes)
	sim.recorder = newRecorder(sim)
	for slot := range played.Servers {
		m := sim.newMachine(slot)
		sim.current = append(sim.current, m)
		sim.listings = append(sim.listings, listing{machine: m, from: time.Now().Add(-listingLag)})
	}
	for i := range played.Agents {
		sim.edges = append(sim.edges, &edge{simulation: sim, index: i, ip: address(1, i)})
	}
	for i := range played.Operators {
		sim.operators = append(sim.operators, sim.newOperator(i))
	}
	sim.reader = sim.newOperator(played.Operators)
	for i := range played.Workers {
		sim.workers = append(sim.workers, &worker{caller: caller{simulation: sim, host: address(2, i), random: sim.random("worker", i)}, index: i})
	}
	return sim, nil
}

func (sim *simulation) newOperator(index int) *operator {
	return &operator{caller: caller{simulation: sim, host: address(9, index), random: sim.random("operator", index)}, index: index}
}

// address returns the IP of a machine; kind is 0 for servers, 1 for edges, 2 for workers and 9 for operators.
func address(kind, number int) string { return fmt.Sprintf("10.%d.0.%d", kind, number+1) }

func controlAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(controlPort)) }

// random returns the random source of one part of the simulation, which depends only on the schedule's seed and the part.
// It is not safe for concurrent use.
func (sim *simulation) random(part string, number int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", part, number)
	return rand.New(rand.NewPCG(sim.schedule.Seed, h.Sum64()))
}

// sharedRandom is like random, but safe for concurrent use.
func (sim *simulation) sharedRandom(part string, number int) func() uint64 {
	random := sim.random(part, number)
	var mutex sync.Mutex
	return func() uint64 {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Uint64()
	}
}

func (sim *simulation) newMachine(slot int) *machine {
	m := &machine{simulation: sim, slot: slot, ip: address(0, len(sim.machines)), disk: newMachineDisk()}
	sim.machines = append(sim.machines, m)
	return m
}

// allMachines returns all machines of the core, including replaced ones.
func (sim *simulation) allMachines() []*machine {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return slices.Clone(sim.machines)
}

// machineAt returns the machine that currently has the slot.
func (sim *simulation) machineAt(slot int) *machine {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.current[slot]
}

func (sim *simulation) machinesAt(machines []int) []*machine {
	var found []*machine
	for _, slot := range machines {
		found = append(found, sim.machineAt(slot))
	}
	return found
}

func (sim *simulation) currentMachines() []*machine {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return slices.Clone(sim.current)
}

// replaceMachine puts a new machine in a slot. Callers continue to see the old one for listingLag.
func (sim *simulation) replaceMachine(slot int) (old, successor *machine) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	old = sim.current[slot]
	successor = sim.newMachine(slot)
	sim.current[slot] = successor
	now := time.Now()
	for i := range sim.listings {
		if sim.listings[i].machine == old {
			sim.listings[i].until = now
		}
	}
	sim.listings = append(sim.listings, listing{machine: successor, from: now})
	sim.goroutines.Go(sim.changeSeedsLater)
	return old, successor
}

// changeSeedsLater writes the seeds to the settings of all processes once the change of the list of servers is seen.
func (sim *simulation) changeSeedsLater() {
	time.Sleep(listingLag + time.Millisecond)
	seeds := sim.seeds()
	for _, m := range sim.allMachines() {
		m.changeSeeds(seeds)
	}
	for _, e := range sim.edges {
		replaceSettings(e.changes, e.settings())
	}
}

// listedMachines returns the core machines as callers see them, which is the state of listingLag ago.
func (sim *simulation) listedMachines() []*machine {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	asOf := time.Now().Add(-listingLag)
	var listed []*machine
	for _, one := range sim.listings {
		if !one.from.After(asOf) && (one.until.IsZero() || one.until.After(asOf)) {
			listed = append(listed, one.machine)
		}
	}
	return listed
}

// seeds returns the seed addresses for a settings file written at this time.
func (sim *simulation) seeds() []string {
	var seeds []string
	for _, m := range sim.listedMachines() {
		if len(seeds) < seedCount {
			seeds = append(seeds, controlAddress(m.ip))
		}
	}
	return seeds
}

// trigger releases the events that wait for the trigger.
func (sim *simulation) trigger(trigger schedule.Trigger) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	if waiting := sim.triggers[trigger]; waiting != nil {
		close(waiting)
		delete(sim.triggers, trigger)
	}
}

// notifySync releases the events that wait for a disk sync of the machine.
func (sim *simulation) notifySync(m *machine) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.syncs = slices.DeleteFunc(sim.syncs, func(wait syncWait) bool {
		matches := len(wait.slots) == 0 || slices.Contains(wait.slots, m.slot)
		if matches {
			close(wait.triggered)
		}
		return matches
	})
}

// triggerChannel returns a channel that is closed when the trigger occurs. For schedule.Sync, only syncs in the given slots
// count.
func (sim *simulation) triggerChannel(trigger schedule.Trigger, slots []int) <-chan struct{} {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	if trigger == schedule.Sync {
		wait := syncWait{slots: slots, triggered: make(chan struct{})}
		sim.syncs = append(sim.syncs, wait)
		return wait.triggered
	}
	if sim.triggers[trigger] == nil {
		sim.triggers[trigger] = make(chan struct{})
	}
	return sim.triggers[trigger]
}

// awaitTrigger waits for a trigger. It returns false if the trigger does not occur within schedule.TriggerWindow.
func (sim *simulation) awaitTrigger(trigger schedule.Trigger, slots []int) bool {
	raised := sim.triggerChannel(trigger, slots)
	timer := time.NewTimer(schedule.TriggerWindow)
	defer timer.Stop()
	select {
	case <-raised:
		return true
	case <-timer.C:
		return false
	}
}

// dropsReplies reports whether responses to a caller are currently lost.
func (sim *simulation) dropsReplies(host string) bool {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.lostReplies[host] > 0
}

// dropReplies drops the responses to callers until end is called.
func (sim *simulation) dropReplies(hosts []string) (end func()) {
	add := func(count int) {
		sim.mutex.Lock()
		defer sim.mutex.Unlock()
		for _, host := range hosts {
			sim.lostReplies[host] += count
		}
	}
	add(1)
	return func() { add(-1) }
}

// run starts all processes, executes a script, usually the schedule's events, and stops everything.
func (sim *simulation) run(script func(ctx context.Context)) {
	scripts, stopScripts := context.WithCancel(context.Background())
	defer stopScripts()
	sim.scripts = scripts
	edges, stopEdges := context.WithCancel(context.Background())
	defer stopEdges()
	sim.startCore()
	for _, e := range sim.edges {
		e.run(edges)
	}
	sim.startScripts(scripts)
	script(scripts)
	time.Sleep(recoveryTime)
	sim.recorder.end()
	stopScripts()
	sim.stopAll(stopEdges)
}

// startCore starts all servers in random order within startSpread.
func (sim *simulation) startCore() {
	random := sim.random("start", 0)
	seeds := sim.seeds()
	for _, m := range sim.current {
		delay := randomDurationBelow(random, startSpread)
		sim.goroutines.Go(func() {
			time.Sleep(delay)
			m.start(seeds, true)
		})
	}
}

func (sim *simulation) startScripts(ctx context.Context) {
	for _, o := range sim.operators {
		sim.goroutines.Go(func() { o.run(ctx) })
	}
	sim.goroutines.Go(func() { sim.reader.readForever(ctx) })
	for _, one := range sim.workers {
		one.start(ctx)
	}
	sim.goroutines.Go(func() {
		for simnet.Sleep(ctx, sampleInterval) {
			sim.recorder.sample()
		}
	})
}

// stopAll stops all processes and waits for their goroutines.
func (sim *simulation) stopAll(stopEdges context.CancelFunc) {
	stopEdges()
	for _, e := range sim.edges {
		for _, process := range e.processes {
			process.Kill()
		}
	}
	for _, m := range sim.allMachines() {
		m.kill()
	}
	sim.mutex.Lock()
	processes := slices.Clone(sim.workerProcesses)
	sim.mutex.Unlock()
	for _, process := range processes {
		process.Kill()
	}
	sim.goroutines.Wait()
}
