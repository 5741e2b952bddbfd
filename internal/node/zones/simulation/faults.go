package simulation

import (
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// slowStartPollInterval is how often a fault that waits for a slow start checks for it.
const slowStartPollInterval = 10 * time.Millisecond

// scheduleWhenDue schedules a fault at its time, or during the slow start that it waits for.
func (w *simulation) scheduleWhenDue(fault Fault) {
	if fault.DuringSlowStartOf == "" {
		w.schedule(fault)
		return
	}
	w.timers.Add(startTime+fault.At, func() { w.awaitSlowStart(fault) })
}

// awaitSlowStart polls until the slow start that the fault waits for.
func (w *simulation) awaitSlowStart(fault Fault) {
	if !w.isInSlowStart(fault.DuringSlowStartOf, fault.MinShare) {
		w.after(slowStartPollInterval, func() { w.awaitSlowStart(fault) })
		return
	}
	w.result.FaultDuringSlowStart = true
	fault.At = w.now - startTime
	w.schedule(fault)
}

// isInSlowStart reports whether the leader's table has a zone in slow start with at least the given share.
func (w *simulation) isInSlowStart(zone string, share float64) bool {
	p := w.leader()
	if p == nil {
		return false
	}
	z := p.voter.replica.Table().Zone(zone)
	return z.Phase == commands.PhaseSlowStart && z.Share >= share
}

const (
	flapPhases         = 4   // of a flapping zone: erroring, recovered, erroring, recovered
	someWorkersFailing = 0.2 // fraction of failing steps under SomeWorkersFail
	burstLoadFactor    = 2.4 // of LoadBurst
)

// schedule adds a fault's begin and end to the timers.
func (w *simulation) schedule(fault Fault) {
	at, until := startTime+fault.At, startTime+fault.At+fault.Duration
	if w.firstFaultAt == 0 || at < w.firstFaultAt {
		w.firstFaultAt = at
	}
	w.lastFaultEnd = max(w.lastFaultEnd, until)
	switch fault.Kind {
	case ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LoadBurst:
		w.scheduleZoneFault(fault, at, until)
	case LinkPartition, OneWayPartition, ZoneIsolated, ProcessIsolated:
		w.schedulePartition(fault, at, until)
	case ProcessCrash, ProcessPause, LeaderCrash, AllRestart:
		w.scheduleProcessFault(fault, at, until)
	default:
		w.violate("unknown kind of fault: %s", fault.Kind)
	}
}

// between schedules the begin and the end of a fault.
func (w *simulation) between(at, until time.Duration, begin, end func()) {
	w.timers.Add(at, begin)
	w.timers.Add(until, end)
}

// scheduleZoneFault schedules a fault of a zone's workers, or of the load on all zones.
func (w *simulation) scheduleZoneFault(fault Fault, at, until time.Duration) {
	zone := w.zoneStates[fault.Zone]
	recovered := func() {
		if fault.WarmsUp {
			zone.warmingSince, zone.overloaded = w.now, false
		}
		w.faultEndedAt[fault.Zone] = w.now
	}
	switch fault.Kind {
	case ZoneCrash:
		processes := w.processesIn(fault.Zone)
		w.between(at, until, func() {
			zone.crashed = true
			each(processes, w.crashProcess)
		}, func() {
			zone.crashed = false
			recovered()
			each(processes, w.startProcess)
		})
	case ZoneErrors:
		w.between(at, until, func() { zone.erroring = true }, func() { zone.erroring = false; recovered() })
	case ZoneSlow:
		w.between(at, until, func() { zone.isSlow = true }, func() { zone.isSlow = false; w.faultEndedAt[fault.Zone] = w.now })
	case ZoneFlaps:
		for i := time.Duration(0); i < flapPhases; i++ {
			w.timers.Add(at+i*fault.Duration/flapPhases, func() { zone.erroring = i%2 == 0 })
		}
		w.timers.Add(until, func() { zone.erroring = false; recovered() })
	case SomeWorkersFail:
		w.between(at, until, func() { zone.failingFraction = someWorkersFailing }, func() { zone.failingFraction = 0 })
	case LoadBurst:
		w.between(at, until, func() { w.loadFactor = burstLoadFactor }, func() { w.loadFactor = 1 })
	}
}

// schedulePartition schedules a fault of the network.
func (w *simulation) schedulePartition(fault Fault, at, until time.Duration) {
	network := w.network
	switch fault.Kind {
	case LinkPartition:
		w.between(at, until, func() { network.block(fault.Zone, fault.Other); network.block(fault.Other, fault.Zone) },
			func() { network.unblock(fault.Zone, fault.Other); network.unblock(fault.Other, fault.Zone) })
	case OneWayPartition:
		w.between(at, until, func() { network.block(fault.Zone, fault.Other) }, func() { network.unblock(fault.Zone, fault.Other) })
	case ZoneIsolated:
		w.between(at, until, func() { network.isolate(fault.Zone) },
			func() { network.reconnect(fault.Zone); w.faultEndedAt[fault.Zone] = w.now })
	case ProcessIsolated:
		w.between(at, until, func() { network.block(fault.Process, "*"); network.block("*", fault.Process) },
			func() { network.unblock(fault.Process, "*"); network.unblock("*", fault.Process) })
	}
}

// scheduleProcessFault schedules a crash or pause of processes.
func (w *simulation) scheduleProcessFault(fault Fault, at, until time.Duration) {
	switch fault.Kind {
	case ProcessCrash:
		p := w.processNamed(fault.Process)
		w.between(at, until, func() { w.crashProcess(p) }, func() { w.startProcess(p) })
	case ProcessPause:
		p := w.processNamed(fault.Process)
		w.between(at, until, func() {
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
	}
}
