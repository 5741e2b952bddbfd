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

// quotaPeriod is the period in which a process has its share of the processor.
const quotaPeriod = 100 * time.Millisecond

// targetLeader replaces the first server of an event that is meant for the leader of the configuration's group.
func (w *world) targetLeader(event schedule.Event) schedule.Event {
	if !event.Leader || len(event.Servers) == 0 {
		return event
	}
	leader, found := w.leaderSlot()
	if !found || slices.Contains(event.Servers[1:], leader) {
		return event
	}
	event.Servers = slices.Clone(event.Servers)
	event.Servers[0] = leader
	return event
}

// leaderSlot returns the slot of the leader of the configuration's group, the one of the newest term if several believe to lead.
func (w *world) leaderSlot() (slot int, found bool) {
	term := uint64(0)
	for _, m := range w.currentMachines() {
		for _, status := range m.inspect() {
			if status.Shard == shards.ConfigurationShard && status.IsLeader() && status.Term > term {
				slot, term, found = m.slot, status.Term, true
			}
		}
	}
	return slot, found
}

// playQuota lets processes run for a part of each period only. It is no fault.
func (w *world) playQuota(_ context.Context, event schedule.Event) {
	share := quotaPeriod * time.Duration(event.Count) / 100
	end := time.Now().Add(event.Duration)
	var playing sync.WaitGroup
	limit := func(index int, freeze func() (thaw func())) {
		playing.Go(func() {
			time.Sleep(quotaPeriod * time.Duration(index%7) / 7) // periods do not begin together
			for time.Now().Before(end) {
				time.Sleep(share)
				thaw := freeze()
				time.Sleep(quotaPeriod - share)
				thaw()
			}
		})
	}
	for i, slot := range event.Servers {
		limit(i, func() func() { return w.machineAt(slot).freeze() })
	}
	for i, agent := range event.Agents {
		limit(i, func() func() { return w.edges[agent].freeze() })
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

// Stalls of goroutines between reading the clock and acting on it.
const (
	stallOdds = 16 // one of so many readings
	minStall  = 5 * time.Millisecond
	maxStall  = 900 * time.Millisecond
)

// playStall has goroutines of servers stall after they have read the clock.
func (w *world) playStall(_ context.Context, event schedule.Event) {
	struck := w.machinesAt(event.Servers)
	over := w.record.beginFault(history.Fault{
		Description: event.String(), Core: true, Lasting: true, Lost: event.Servers, Stalled: addressesOf(struck), MaxStall: maxStall,
	})
	var ends []func()
	for _, m := range struck {
		ends = append(ends, m.stallClock(w.sharedRandom("stall "+m.ip, int(event.At/time.Millisecond))))
	}
	time.Sleep(event.Duration)
	for _, end := range ends {
		end()
	}
	over()
}

// stallClock has one in stallOdds readings of the clock return late, with the earlier time, until end is called.
func (m *machine) stallClock(draw func() uint64) (end func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return func() {}
	}
	return m.running.process.StallClock(func() time.Duration {
		if drawn := draw(); drawn%stallOdds == 0 {
			return minStall + time.Duration(drawn/stallOdds%uint64(maxStall-minStall))
		}
		return 0
	})
}

// playRewipe has machines lose their disks, and once more after they have come back over slow links: what the first life sent
// arrives amid the second.
func (w *world) playRewipe(_ context.Context, event schedule.Event) {
	over := w.beginCoreFault(event, event.Servers)
	struck := w.machinesAt(event.Servers)
	hosts := make(map[string]bool)
	for _, m := range struck {
		hosts[m.ip] = true
		m.wipe()
	}
	time.Sleep(event.Duration / 4)
	heal := w.network.Slow(func(p simnet.Path) time.Duration {
		if hosts[p.From] && !hosts[p.To] {
			return slowDelay
		}
		return 0
	})
	w.startAll(struck)
	time.Sleep(event.Duration)
	for _, m := range struck {
		m.wipe()
	}
	heal()
	time.Sleep(event.Duration / 8)
	w.startAll(struck)
	over()
}
