package simulation

import (
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// slowStartPollInterval is how often a trouble that waits for a rise looks for it.
const slowStartPollInterval = 10 * time.Millisecond

// scheduleWhenDue has a trouble begin at its time, or amid the rise that it waits for.
func (w *simulation) scheduleWhenDue(fault Fault) {
	if fault.DuringSlowStartOf == "" {
		w.schedule(fault)
		return
	}
	w.timers.Add(startTime+fault.At, func() { w.awaitSlowStart(fault) })
}

func (w *simulation) awaitSlowStart(fault Fault) {
	if !w.isInSlowStart(fault.DuringSlowStartOf, fault.MinShare) {
		w.after(slowStartPollInterval, func() { w.awaitSlowStart(fault) })
		return
	}
	w.result.FaultDuringSlowStart = true
	fault.At = w.now - startTime
	w.schedule(fault)
}

// isInSlowStart tells whether the leader has a zone rise with at least a share.
func (w *simulation) isInSlowStart(zone string, share float64) bool {
	p := w.leader()
	if p == nil {
		return false
	}
	z := p.voter.replica.Table().Zone(zone)
	return z.Phase == commands.PhaseSlowStart && z.Share >= share
}

// schedule plans one at its time.
func (w *simulation) schedule(fault Fault) {
	at, until := startTime+fault.At, startTime+fault.At+fault.Duration
	if w.firstFaultAt == 0 || at < w.firstFaultAt {
		w.firstFaultAt = at
	}
	w.lastFaultEnd = max(w.lastFaultEnd, until)
	between := func(on, off func()) {
		w.timers.Add(at, on)
		w.timers.Add(until, off)
	}
	zone := w.zoneStates[fault.Zone]
	recovered := func() {
		if fault.WarmsUp {
			zone.warmingSince, zone.overloaded = w.now, false
		}
		w.faultEndedAt[fault.Zone] = w.now
	}
	p := w.processNamed(fault.Process)
	processes := w.processesIn(fault.Zone)
	switch fault.Kind {
	case ZoneCrash:
		between(func() {
			zone.crashed = true
			each(processes, func(p *process) {
				if !p.down {
					p.crash()
				}
			})
		}, func() {
			zone.crashed = false
			recovered()
			each(processes, func(p *process) {
				if p.down {
					p.start()
				}
			})
		})
	case ZoneErrors:
		between(func() { zone.erroring = true }, func() { zone.erroring = false; recovered() })
	case ZoneSlow:
		between(func() { zone.isSlow = true }, func() { zone.isSlow = false; w.faultEndedAt[fault.Zone] = w.now })
	case ZoneFlaps:
		for i := time.Duration(0); i < 4; i++ {
			w.timers.Add(at+i*fault.Duration/4, func() { zone.erroring = i%2 == 0 })
		}
		w.timers.Add(until, func() { zone.erroring = false; recovered() })
	case SomeWorkersFail:
		between(func() { zone.failingFraction = 0.2 }, func() { zone.failingFraction = 0 })
	case LinkPartition:
		between(func() { w.network.block(fault.Zone, fault.Other); w.network.block(fault.Other, fault.Zone) },
			func() { w.network.unblock(fault.Zone, fault.Other); w.network.unblock(fault.Other, fault.Zone) })
	case OneWayPartition:
		between(func() { w.network.block(fault.Zone, fault.Other) }, func() { w.network.unblock(fault.Zone, fault.Other) })
	case ZoneIsolated:
		between(func() { w.network.isolate(fault.Zone) }, func() { w.network.reconnect(fault.Zone); w.faultEndedAt[fault.Zone] = w.now })
	case ProcessIsolated:
		between(func() { w.network.block(fault.Process, "*"); w.network.block("*", fault.Process) },
			func() { w.network.unblock(fault.Process, "*"); w.network.unblock("*", fault.Process) })
	case LoadBurst:
		between(func() { w.loadFactor = 2.4 }, func() { w.loadFactor = 1 })
	case ProcessCrash:
		between(func() { w.crashProcess(p) }, func() { w.startProcess(p) })
	case ProcessPause:
		between(func() {
			if !p.down {
				p.pause()
			}
		}, func() {
			if p.paused {
				p.resume()
			}
		})
	case LeaderCrash:
		w.timers.Add(at, func() {
			if p := w.leader(); p != nil {
				p.crash()
				w.timers.Add(until, func() { w.startProcess(p) })
			}
		})
	case AllRestart:
		for _, p := range append(slices.Clone(w.voters), w.nodes...) {
			down := at + time.Duration(w.rng.Int64N(int64(time.Second)))
			w.timers.Add(down, func() { w.crashProcess(p) })
			w.timers.Add(down+time.Duration(100+w.rng.IntN(900))*time.Millisecond, func() { w.startProcess(p) })
		}
	default:
		w.violate("no such trouble: %s", fault.Kind)
	}
}
