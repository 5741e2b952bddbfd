package controlplanesim

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// quotaPeriod is the period of the simulated CPU quota.
const quotaPeriod = 100 * time.Millisecond

// targetLeader replaces an event's first server by the configuration group's leader, or the sender of the role command that the event waited
// for, if the event targets the leader.
func (sim *simulation) targetLeader(event schedule.Event) schedule.Event {
	if !event.Leader || len(event.Servers) == 0 {
		return event
	}
	leader, found := sim.leaderSlot()
	if event.Trigger == schedule.RoleCommand {
		leader, found = sim.lastCommandSender(), true
	}
	if !found || slices.Contains(event.Servers[1:], leader) {
		return event
	}
	event.Servers = slices.Clone(event.Servers)
	event.Servers[0] = leader
	return event
}

// leaderSlot returns the slot of the configuration group's leader. If several servers consider themselves leader, the one
// with the newest term is returned.
func (sim *simulation) leaderSlot() (slot int, found bool) {
	term := uint64(0)
	for _, m := range sim.currentMachines() {
		for _, status := range m.inspect() {
			if status.Shard == shards.ConfigurationShard && status.IsLeader() && status.Term > term {
				slot, term, found = m.slot, status.Term, true
			}
		}
	}
	return slot, found
}

// playQuota lets processes run only for a part of each period. It is not recorded as a fault.
func (sim *simulation) playQuota(_ context.Context, event schedule.Event) {
	share := quotaPeriod * time.Duration(event.Count) / 100
	end := time.Now().Add(event.Duration)
	var playing sync.WaitGroup
	limit := func(index int, freeze func() (thaw func())) {
		playing.Go(func() {
			time.Sleep(quotaPeriod * time.Duration(index%7) / 7) // the periods of different machines are out of phase
			for time.Now().Before(end) {
				time.Sleep(share)
				thaw := freeze()
				time.Sleep(quotaPeriod - share)
				thaw()
			}
		})
	}
	for i, slot := range event.Servers {
		limit(i, func() func() { return sim.machineAt(slot).freeze() })
	}
	for i, agent := range event.Agents {
		limit(i, func() func() { return sim.edges[agent].freeze() })
	}
	playing.Wait()
}

// freeze freezes the machine's processes until thaw is called.
func (e *edge) freeze() (thaw func()) {
	frozen := e.processes[:]
	for _, process := range frozen {
		process.Freeze()
	}
	return func() {
		for _, process := range frozen {
			process.Thaw()
		}
	}
}

// Parameters of stalls between reading the clock and acting on the result.
const (
	readingsPerStall = 16 // on average, one of this many clock readings stalls
	minStall         = 5 * time.Millisecond
	maxStall         = 900 * time.Millisecond
)

// playStall makes goroutines of servers stall after they have read the clock.
func (sim *simulation) playStall(_ context.Context, event schedule.Event) {
	targets := sim.machinesAt(event.Servers)
	endFault := sim.recorder.beginFault(history.Fault{
		Description: event.String(), Core: true, Lasting: true, Lost: event.Servers, Stalled: addressesOf(targets), MaxStall: maxStall,
	})
	var ends []func()
	for _, m := range targets {
		ends = append(ends, m.stallClock(sim.sharedRandom("stall "+m.ip, int(event.At/time.Millisecond))))
	}
	time.Sleep(event.Duration)
	for _, end := range ends {
		end()
	}
	endFault()
}

// stallClock delays one in readingsPerStall clock readings, which return the time before the delay, until end is called.
func (m *machine) stallClock(draw func() uint64) (end func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return func() {}
	}
	return m.running.process.StallClock(func() time.Duration {
		if drawn := draw(); drawn%readingsPerStall == 0 {
			return minStall + time.Duration(drawn/readingsPerStall%uint64(maxStall-minStall))
		}
		return 0
	})
}

// playRewipe wipes machines' disks, and again after the machines have restarted with slow outgoing links: messages from
// the first restart arrive during the second.
func (sim *simulation) playRewipe(_ context.Context, event schedule.Event) {
	endFault := sim.beginCoreFault(event, event.Servers)
	targets := sim.machinesAt(event.Servers)
	hosts := make(map[string]bool)
	for _, m := range targets {
		hosts[m.ip] = true
		m.wipe()
	}
	time.Sleep(event.Duration / 4)
	heal := sim.network.Slow(func(p simnet.Path) time.Duration {
		if hosts[p.From] && !hosts[p.To] {
			return slowLinkDelay
		}
		return 0
	})
	sim.startAll(targets)
	time.Sleep(event.Duration)
	for _, m := range targets {
		m.wipe()
	}
	heal()
	time.Sleep(event.Duration / 8)
	sim.startAll(targets)
	endFault()
}
