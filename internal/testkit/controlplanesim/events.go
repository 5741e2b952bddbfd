package controlplanesim

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Times within events.
const (
	replacementOverlap  = 300 * time.Millisecond // between the start of the successor and the SIGTERM to the old machine
	slowLinkDelay       = 400 * time.Millisecond // additional delay of a slow link
	openConnectionsTime = time.Second            // for which callers use open connections to a machine that leaves for good
)

// playEvents executes all events at their times and returns when all have ended.
func (sim *simulation) playEvents(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, sim.schedule.End()+recoveryTime-sim.recorder.now())
	defer stop() // if the core never recovers, operators would retry their orders forever
	var playing sync.WaitGroup
	for _, event := range sim.schedule.Events {
		playing.Go(func() { sim.playEvent(ctx, event) })
	}
	if remaining := sim.schedule.Length - sim.recorder.now(); remaining > 0 {
		time.Sleep(remaining)
	}
	playing.Wait()
}

func (sim *simulation) playEvent(ctx context.Context, event schedule.Event) {
	time.Sleep(event.At - sim.recorder.now())
	if event.Trigger != "" && !sim.awaitTrigger(event.Trigger, event.Servers) {
		return
	}
	time.Sleep(event.Delay)
	event = sim.targetLeader(event)
	if play := sim.eventHandlers()[event.Kind]; play != nil {
		play(ctx, event)
	}
}

func (sim *simulation) eventHandlers() map[schedule.Kind]func(context.Context, schedule.Event) {
	return map[schedule.Kind]func(context.Context, schedule.Event){
		schedule.Kill:           sim.playStop((*machine).kill),
		schedule.Power:          sim.playStop((*machine).losePower),
		schedule.Wipe:           sim.playStop((*machine).wipe),
		schedule.Freeze:         sim.playFreeze,
		schedule.Partition:      sim.playCut,
		schedule.Replace:        sim.playReplace,
		schedule.Disk:           sim.playDisk,
		schedule.Link:           sim.playLink,
		schedule.KillAll:        sim.playStopAll((*machine).kill),
		schedule.PowerAll:       sim.playStopAll((*machine).losePower),
		schedule.RestartAll:     sim.playStopAll((*machine).terminate),
		schedule.RollingRestart: sim.playRoll,
		schedule.LoseReplies:    sim.playLoseReplies,
		schedule.Race:           sim.playRace,
		schedule.Burst:          sim.playBurst,
		schedule.InvalidConfig:  sim.playBad,
		schedule.Worker:         sim.playWorkers,
		schedule.Quota:          sim.playQuota,
		schedule.Stall:          sim.playStall,
		schedule.WipeTwice:      sim.playRewipe,
		schedule.Retire:         sim.playRetire,
	}
}

// beginCoreFault records a fault of the core. The function returned records its end.
func (sim *simulation) beginCoreFault(event schedule.Event, lost []int) (endFault func()) {
	return sim.recorder.beginFault(history.Fault{Description: event.String(), Core: true, Lost: lost})
}

// playStop stops machines with the given function and starts them again after the event's duration.
func (sim *simulation) playStop(down func(*machine)) func(context.Context, schedule.Event) {
	return func(_ context.Context, event schedule.Event) {
		endFault := sim.beginCoreFault(event, event.Servers)
		targets := sim.machinesAt(event.Servers)
		for _, m := range targets {
			down(m)
		}
		time.Sleep(event.Duration)
		sim.startAll(targets)
		endFault()
	}
}

// startAll starts the given machines, except those that are running or have been replaced in their slot.
func (sim *simulation) startAll(machines []*machine) {
	for _, m := range machines {
		if !m.isRetired() {
			m.start(sim.seeds(), false)
		}
	}
}

// playStopAll stops all machines of the core; the event's servers lose their disks too.
func (sim *simulation) playStopAll(down func(*machine)) func(context.Context, schedule.Event) {
	return func(_ context.Context, event schedule.Event) {
		endFault := sim.recorder.beginFault(history.Fault{Description: event.String(), Core: true, Lasting: true, Lost: sim.allSlots()})
		all := sim.currentMachines()
		var pending sync.WaitGroup
		for _, m := range all {
			pending.Go(func() {
				down(m)
				if slices.Contains(event.Servers, m.slot) {
					m.wipe()
				}
			})
		}
		pending.Wait()
		time.Sleep(event.Duration)
		sim.startAll(all)
		endFault()
	}
}

func (sim *simulation) allSlots() []int {
	all := make([]int, sim.schedule.Servers)
	for slot := range all {
		all[slot] = slot
	}
	return all
}

func (sim *simulation) playFreeze(_ context.Context, event schedule.Event) {
	endFault := sim.recorder.beginFault(history.Fault{
		Description: event.String(), Core: len(event.Servers) > 0, Agents: event.Agents, Lost: event.Servers,
	})
	var thawAll []func()
	for _, m := range sim.machinesAt(event.Servers) {
		thawAll = append(thawAll, m.freeze())
	}
	for _, i := range event.Agents {
		for _, process := range sim.edges[i].processes {
			process.Freeze()
			thawAll = append(thawAll, process.Thaw)
		}
	}
	endSilence := sim.recorder.beginSilence(event.Workers)
	for _, i := range event.Workers {
		thawAll = append(thawAll, sim.workers[i].freeze())
	}
	time.Sleep(event.Duration)
	sim.recorder.exempt(sim.machinesAt(event.Servers))
	for _, end := range thawAll {
		end()
	}
	endSilence()
	endFault()
}

// playCut isolates machines. The event's operators and workers reach only these machines. With Restart, the machines'
// processes are restarted during the cut and have only each other as seeds.
func (sim *simulation) playCut(_ context.Context, event schedule.Event) {
	targets := sim.machinesAt(event.Servers)
	endFault := sim.recorder.beginFault(history.Fault{
		Description: event.String(), Core: true, Agents: event.Agents, Lost: event.Servers, Isolated: addressesOf(targets), Lease: cutLease(event.Variant, len(event.Servers)),
	})
	heal := sim.network.Block(sim.blockedPaths(event, targets))
	sim.restrictTo(event, targets)
	if event.Restart {
		sim.restartDuringCut(event, targets)
	} else {
		time.Sleep(event.Duration)
	}
	sim.recorder.exempt(sim.currentMachines())
	heal()
	sim.restrictTo(event, nil)
	endFault()
}

func addressesOf(machines []*machine) []string {
	addresses := make([]string, len(machines))
	for i, m := range machines {
		addresses[i] = m.ip
	}
	return addresses
}

// Times for which isolated servers may still consider their state current.
const (
	isolatedLease = 1200 * time.Millisecond
	// A follower that is isolated together with its leader stays current for isolatedLease after the leader's last heartbeat.
	// The leader sends heartbeats until it steps down.
	leaderStepDownTime = 620 * time.Millisecond // one election timeout, checked at each heartbeat
	// A follower whose messages are lost stays current until the leader's connection to it times out for lack of
	// acknowledgements.
	outwardLease = 2500 * time.Millisecond
)

// cutLease returns how long servers that are isolated together may still answer calls that change nothing.
func cutLease(variant schedule.Variant, servers int) time.Duration {
	lease := isolatedLease
	if variant == schedule.PartitionOutbound {
		lease = outwardLease
	}
	if servers > 1 {
		lease += leaderStepDownTime
	}
	return lease
}

// restrictTo limits the event's operators and workers to the given machines; nil lifts the restriction.
func (sim *simulation) restrictTo(event schedule.Event, reachable []*machine) {
	for _, i := range event.Operators {
		sim.operators[i].restrictTo(reachable)
	}
	for _, i := range event.Workers {
		sim.workers[i].restrictTo(reachable)
	}
}

// restartDuringCut restarts the isolated machines with only each other as seeds. A machine that is not yet a member of a
// group keeps the regular seeds: no server knows its address, so it could never learn of the servers outside the cut.
func (sim *simulation) restartDuringCut(event schedule.Event, targets []*machine) {
	var seeds []string
	for _, m := range targets {
		seeds = append(seeds, controlAddress(m.ip))
	}
	time.Sleep(event.Duration / 3)
	wasMember := make(map[*machine]bool)
	for _, m := range targets {
		wasMember[m] = m.isMember()
		m.kill()
	}
	time.Sleep(event.Duration / 10)
	for _, m := range targets {
		if wasMember[m] {
			m.start(seeds, false)
		} else {
			m.start(sim.seeds(), false)
		}
	}
	time.Sleep(event.Duration - event.Duration/3 - event.Duration/10)
}

// blockedPaths returns a function that reports whether a cut blocks a path.
func (sim *simulation) blockedPaths(event schedule.Event, targets []*machine) func(simnet.Path) bool {
	inside := make(map[string]bool)
	for _, m := range targets {
		inside[m.ip] = true
	}
	for _, i := range event.Agents {
		inside[sim.edges[i].ip] = true
	}
	crosses := func(p simnet.Path) bool { return inside[p.From] != inside[p.To] }
	switch event.Variant {
	case schedule.PartitionServers:
		return func(p simnet.Path) bool { return crosses(p) && isServer(p.From) && isServer(p.To) }
	case schedule.PartitionInbound:
		return func(p simnet.Path) bool { return crosses(p) && inside[p.To] && isMachine(p.From) }
	case schedule.PartitionOutbound:
		return func(p simnet.Path) bool { return crosses(p) && inside[p.From] && isMachine(p.To) }
	case schedule.PartitionAll:
		return crosses
	}
	return func(p simnet.Path) bool { return crosses(p) && isMachine(p.From) && isMachine(p.To) }
}

// playReplace replaces machines in their slots by empty ones at other addresses.
func (sim *simulation) playReplace(_ context.Context, event schedule.Event) {
	endFault := sim.beginCoreFault(event, event.Servers)
	var pending sync.WaitGroup
	for _, slot := range event.Servers {
		pending.Go(func() {
			if event.Variant == schedule.Planned {
				sim.replacePlanned(slot)
			} else {
				sim.replaceLost(slot, event.Duration)
			}
		})
	}
	pending.Wait()
	endFault()
}

// playRetire starts empty machines beside others and shuts the others down for good once the new ones have had their time to catch up.
// None of the machines counts as lost: a leaving one only ends, and its successor is established before. The event's agents are cut off
// from the start of the new machines to the end of the old ones.
func (sim *simulation) playRetire(_ context.Context, event schedule.Event) {
	var leaving []*machine
	for _, slot := range event.Servers {
		old, successor := sim.replaceMachine(slot)
		successor.start(sim.seeds(), false)
		old.keepCallers(openConnectionsTime)
		leaving = append(leaving, old)
	}
	heal := func() {}
	if len(event.Agents) > 0 {
		endCut := sim.recorder.beginFault(history.Fault{Description: event.String(), Agents: event.Agents})
		unblock := sim.network.Block(sim.blockedPaths(schedule.Event{Variant: schedule.PartitionAll, Agents: event.Agents}, nil))
		heal = func() { unblock(); endCut() }
	}
	time.Sleep(schedule.CatchUp)
	endFault := sim.beginCoreFault(event, nil)
	var pending sync.WaitGroup
	for i, old := range leaving {
		pending.Go(func() {
			time.Sleep(time.Duration(i) * event.Duration)
			old.terminate()
			old.retire()
		})
	}
	pending.Wait()
	sim.recorder.sample()
	endFault()
	heal()
}

func (sim *simulation) replacePlanned(slot int) {
	old, successor := sim.replaceMachine(slot)
	successor.start(sim.seeds(), false)
	time.Sleep(replacementOverlap)
	old.retire()
	old.terminate()
}

// replaceLost removes a machine for good, so that no concurrent event restarts it, and starts its successor later.
func (sim *simulation) replaceLost(slot int, after time.Duration) {
	lost := sim.machineAt(slot)
	lost.retire()
	lost.losePower()
	time.Sleep(after)
	old, successor := sim.replaceMachine(slot)
	old.retire() // may differ from lost if two events replace this slot
	old.losePower()
	successor.start(sim.seeds(), false)
}

func (sim *simulation) playDisk(_ context.Context, event schedule.Event) {
	endFault := sim.recorder.beginFault(history.Fault{Description: event.String(), Core: true, Lasting: true, Lost: event.Servers})
	var repairs []func()
	for _, m := range sim.machinesAt(event.Servers) {
		repairs = append(repairs, m.disk.injectFault(event.Variant))
	}
	time.Sleep(event.Duration)
	for _, end := range repairs {
		end()
	}
	endFault()
}

func (sim *simulation) playLink(_ context.Context, event schedule.Event) {
	core := len(event.Servers) > 0
	endFault := sim.recorder.beginFault(history.Fault{Description: event.String(), Core: core, Lasting: core, Agents: event.Agents, Lost: event.Servers})
	hosts := make(map[string]bool)
	for _, m := range sim.machinesAt(event.Servers) {
		hosts[m.ip] = true
	}
	for _, i := range event.Agents {
		hosts[sim.edges[i].ip] = true
	}
	for _, i := range event.Workers {
		hosts[sim.workers[i].host] = true
	}
	touches := func(p simnet.Path) bool { return p.From != p.To && (hosts[p.From] || hosts[p.To]) }
	endSilence := sim.recorder.beginSilence(event.Workers)
	defer endSilence()
	switch event.Variant {
	case schedule.LinkReset:
		sim.network.Reset(touches)
	case schedule.LinkHold:
		heal := sim.network.Block(touches)
		time.Sleep(event.Duration)
		sim.recorder.exempt(sim.currentMachines())
		heal()
	case schedule.LinkSlow:
		heal := sim.network.Slow(func(p simnet.Path) time.Duration {
			if touches(p) {
				return slowLinkDelay
			}
			return 0
		})
		time.Sleep(event.Duration)
		heal()
	}
	endFault()
}

// playRoll restarts machines one after the other.
func (sim *simulation) playRoll(_ context.Context, event schedule.Event) {
	for _, slot := range event.Servers {
		began := time.Now()
		endFault := sim.beginCoreFault(event, []int{slot})
		m := sim.machineAt(slot)
		m.terminate()
		sim.startAll([]*machine{m})
		endFault()
		time.Sleep(event.Duration - time.Since(began))
	}
}

func isServer(ip string) bool { return machineKind(ip) == '0' }

// isMachine reports whether an IP belongs to a server or an edge machine, not to an operator or worker.
func isMachine(ip string) bool { return machineKind(ip) == '0' || machineKind(ip) == '1' }

// machineKind returns the digit of the IP that encodes the kind of machine; 0 if the IP is too short.
func machineKind(ip string) byte {
	const slot = len("10.")
	if len(ip) <= slot {
		return 0
	}
	return ip[slot]
}
