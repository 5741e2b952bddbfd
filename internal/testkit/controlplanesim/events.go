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
	handOverPause = 300 * time.Millisecond // between the start of a successor and the SIGTERM of the old machine
	slowDelay     = 400 * time.Millisecond // of a slow link
)

// playEvents carries all events out, each at its time, and returns when all are over.
func (w *world) playEvents(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, w.schedule.End()+recoveryTime-w.record.now())
	defer stop() // orders of a core that is lost for good would be sent for ever
	var playing sync.WaitGroup
	for _, event := range w.schedule.Events {
		playing.Go(func() { w.playEvent(ctx, event) })
	}
	if left := w.schedule.Length - w.record.now(); left > 0 {
		time.Sleep(left)
	}
	playing.Wait()
}

func (w *world) playEvent(ctx context.Context, event schedule.Event) {
	time.Sleep(event.At - w.record.now())
	if event.Trigger != "" && !w.awaitTrigger(event.Trigger, event.Servers) {
		return
	}
	time.Sleep(event.Delay)
	event = w.targetLeader(event)
	if play := w.players()[event.Kind]; play != nil {
		play(ctx, event)
	}
}

func (w *world) players() map[schedule.Kind]func(context.Context, schedule.Event) {
	return map[schedule.Kind]func(context.Context, schedule.Event){
		schedule.Kill:           w.playDown((*machine).kill),
		schedule.Power:          w.playDown((*machine).losePower),
		schedule.Wipe:           w.playDown((*machine).wipe),
		schedule.Freeze:         w.playFreeze,
		schedule.Partition:      w.playCut,
		schedule.Replace:        w.playReplace,
		schedule.Disk:           w.playDisk,
		schedule.Link:           w.playLink,
		schedule.KillAll:        w.playAllDown((*machine).kill),
		schedule.PowerAll:       w.playAllDown((*machine).losePower),
		schedule.RestartAll:     w.playAllDown((*machine).terminate),
		schedule.RollingRestart: w.playRoll,
		schedule.LoseReplies:    w.playLoseReplies,
		schedule.Race:           w.playRace,
		schedule.Burst:          w.playBurst,
		schedule.InvalidConfig:  w.playBad,
		schedule.Worker:         w.playWorkers,
		schedule.Quota:          w.playQuota,
		schedule.Stall:          w.playStall,
		schedule.WipeTwice:      w.playRewipe,
	}
}

// beginCoreFault records a fault of the core; over records its end.
func (w *world) beginCoreFault(event schedule.Event, lost []int) (over func()) {
	return w.record.beginFault(history.Fault{Description: event.String(), Core: true, Lost: lost})
}

// playDown takes machines down in a way, and starts them again.
func (w *world) playDown(down func(*machine)) func(context.Context, schedule.Event) {
	return func(_ context.Context, event schedule.Event) {
		over := w.beginCoreFault(event, event.Servers)
		struck := w.machinesAt(event.Servers)
		for _, m := range struck {
			down(m)
		}
		time.Sleep(event.Duration)
		w.startAll(struck)
		over()
	}
}

// startAll starts those of the machines that are down and still have their slot.
func (w *world) startAll(machines []*machine) {
	for _, m := range machines {
		if !m.isRetired() {
			m.start(w.seeds(), false)
		}
	}
}

// playAllDown takes all of the core down; the event's servers lose their disks too.
func (w *world) playAllDown(down func(*machine)) func(context.Context, schedule.Event) {
	return func(_ context.Context, event schedule.Event) {
		over := w.record.beginFault(history.Fault{Description: event.String(), Core: true, Lasting: true, Lost: w.allSlots()})
		all := w.currentMachines()
		var going sync.WaitGroup
		for _, m := range all {
			going.Go(func() {
				down(m)
				if slices.Contains(event.Servers, m.slot) {
					m.wipe()
				}
			})
		}
		going.Wait()
		time.Sleep(event.Duration)
		w.startAll(all)
		over()
	}
}

func (w *world) allSlots() []int {
	all := make([]int, w.schedule.Servers)
	for slot := range all {
		all[slot] = slot
	}
	return all
}

func (w *world) playFreeze(_ context.Context, event schedule.Event) {
	over := w.record.beginFault(history.Fault{
		Description: event.String(), Core: len(event.Servers) > 0, Agents: event.Agents, Lost: event.Servers,
	})
	var thaw []func()
	for _, m := range w.machinesAt(event.Servers) {
		thaw = append(thaw, m.freeze())
	}
	for _, i := range event.Agents {
		for _, process := range w.edges[i].processes {
			process.Freeze()
			thaw = append(thaw, process.Thaw)
		}
	}
	time.Sleep(event.Duration)
	for _, end := range thaw {
		end()
	}
	over()
}

// playCut cuts machines off; the operators and workers that it names reach these alone. With Restart their processes are restarted meanwhile, and know only each other.
func (w *world) playCut(_ context.Context, event schedule.Event) {
	struck := w.machinesAt(event.Servers)
	over := w.record.beginFault(history.Fault{
		Description: event.String(), Core: true, Agents: event.Agents, Lost: event.Servers, Isolated: addressesOf(struck), Lease: cutLease(event.Variant, len(event.Servers)),
	})
	heal := w.network.Block(w.blockedPaths(event, struck))
	w.restrictTo(event, struck)
	if event.Restart {
		w.restartBehind(event, struck)
	} else {
		time.Sleep(event.Duration)
	}
	heal()
	w.restrictTo(event, nil)
	over()
}

func addressesOf(machines []*machine) []string {
	addresses := make([]string, len(machines))
	for i, m := range machines {
		addresses[i] = m.ip
	}
	return addresses
}

// Times for which servers that are partitioned off may know that they are current.
const (
	isolatedLease = 1200 * time.Millisecond
	// A follower that is partitioned off together with its leader is current for as long after that one's last heartbeat, which
	// it sends until it steps down.
	leaderStepDownTime = 620 * time.Millisecond // of an election time-out, noticed at a heartbeat
	// A follower whose messages are lost is current for as long as the leader's connection to it lasts, which is not acknowledged.
	outwardLease = 2500 * time.Millisecond
)

// cutLease returns for how long servers that are cut off together may still acknowledge what changes nothing.
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

// restrictTo lets the event's operators and workers reach the given machines alone; nil lifts the restriction.
func (w *world) restrictTo(event schedule.Event, reachable []*machine) {
	for _, i := range event.Operators {
		w.operators[i].restrictTo(reachable)
	}
	for _, i := range event.Workers {
		w.workers[i].restrictTo(reachable)
	}
}

// restartBehind kills and starts the machines behind a cut whose seeds are just these. One that is no member of a group
// yet keeps its seeds: it would learn of no other server, and none knows it.
func (w *world) restartBehind(event schedule.Event, struck []*machine) {
	var seeds []string
	for _, m := range struck {
		seeds = append(seeds, controlAddress(m.ip))
	}
	time.Sleep(event.Duration / 3)
	taken := make(map[*machine]bool)
	for _, m := range struck {
		taken[m] = m.isMember()
		m.kill()
	}
	time.Sleep(event.Duration / 10)
	for _, m := range struck {
		if taken[m] {
			m.start(seeds, false)
		} else {
			m.start(w.seeds(), false)
		}
	}
	time.Sleep(event.Duration - event.Duration/3 - event.Duration/10)
}

// blockedPaths returns which paths a cut blocks.
func (w *world) blockedPaths(event schedule.Event, struck []*machine) func(simnet.Path) bool {
	inside := make(map[string]bool)
	for _, m := range struck {
		inside[m.ip] = true
	}
	for _, i := range event.Agents {
		inside[w.edges[i].ip] = true
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

// playReplace has an empty machine at another address take a machine's slot.
func (w *world) playReplace(_ context.Context, event schedule.Event) {
	over := w.beginCoreFault(event, event.Servers)
	var going sync.WaitGroup
	for _, slot := range event.Servers {
		going.Go(func() {
			if event.Variant == schedule.Planned {
				w.replacePlanned(slot)
			} else {
				w.replaceLost(slot, event.Duration)
			}
		})
	}
	going.Wait()
	over()
}

func (w *world) replacePlanned(slot int) {
	old, successor := w.replaceMachine(slot)
	successor.start(w.seeds(), false)
	time.Sleep(handOverPause)
	old.retire()
	old.terminate()
}

// replaceLost has a machine go for good, whatever else would start it again, and its successor come later.
func (w *world) replaceLost(slot int, after time.Duration) {
	lost := w.machineAt(slot)
	lost.retire()
	lost.losePower()
	time.Sleep(after)
	old, successor := w.replaceMachine(slot)
	old.retire() // another machine by now, if two events replace this slot
	old.losePower()
	successor.start(w.seeds(), false)
}

func (w *world) playDisk(_ context.Context, event schedule.Event) {
	over := w.record.beginFault(history.Fault{Description: event.String(), Core: true, Lasting: true, Lost: event.Servers})
	var repairs []func()
	for _, m := range w.machinesAt(event.Servers) {
		repairs = append(repairs, m.disk.injectFault(event.Variant))
	}
	time.Sleep(event.Duration)
	for _, end := range repairs {
		end()
	}
	over()
}

func (w *world) playLink(_ context.Context, event schedule.Event) {
	core := len(event.Servers) > 0
	over := w.record.beginFault(history.Fault{Description: event.String(), Core: core, Lasting: core, Agents: event.Agents, Lost: event.Servers})
	hosts := make(map[string]bool)
	for _, m := range w.machinesAt(event.Servers) {
		hosts[m.ip] = true
	}
	for _, i := range event.Agents {
		hosts[w.edges[i].ip] = true
	}
	touches := func(p simnet.Path) bool { return p.From != p.To && (hosts[p.From] || hosts[p.To]) }
	switch event.Variant {
	case schedule.LinkReset:
		w.network.Reset(touches)
	case schedule.LinkHold:
		heal := w.network.Block(touches)
		time.Sleep(event.Duration)
		heal()
	case schedule.LinkSlow:
		heal := w.network.Slow(func(p simnet.Path) time.Duration {
			if touches(p) {
				return slowDelay
			}
			return 0
		})
		time.Sleep(event.Duration)
		heal()
	}
	over()
}

// playRoll ends and starts machines one after the other.
func (w *world) playRoll(_ context.Context, event schedule.Event) {
	for _, slot := range event.Servers {
		began := time.Now()
		over := w.beginCoreFault(event, []int{slot})
		m := w.machineAt(slot)
		m.terminate()
		w.startAll([]*machine{m})
		over()
		time.Sleep(event.Duration - time.Since(began))
	}
}

func isServer(ip string) bool { return kindOf(ip) == '0' }

// isMachine reports whether an IP is one of the system's own machines.
func isMachine(ip string) bool { return kindOf(ip) == '0' || kindOf(ip) == '1' }

// kindOf returns the digit of an address that encodes the kind of its machine.
func kindOf(ip string) byte {
	const slot = len("10.")
	if len(ip) <= slot {
		return 0
	}
	return ip[slot]
}
