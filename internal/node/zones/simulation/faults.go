package simulation

import (
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// slowStartPollInterval is how often a fault that waits for a slow start checks whether it has begun.
const slowStartPollInterval = 10 * time.Millisecond

// scheduleWhenDue schedules a fault at its time or, if the fault waits for a slow start, during that.
func (s *simulation) scheduleWhenDue(fault Fault) {
	if fault.DuringSlowStartOf == "" {
		s.schedule(fault)
		return
	}
	s.timers.Add(startTime+fault.At, func() { s.awaitSlowStart(fault) })
}

// awaitSlowStart polls until the zone is in the slow start that the fault waits for, then schedules the fault.
func (s *simulation) awaitSlowStart(fault Fault) {
	if !s.isInSlowStart(fault.DuringSlowStartOf, fault.MinShare) {
		s.after(slowStartPollInterval, func() { s.awaitSlowStart(fault) })
		return
	}
	s.result.FaultDuringSlowStart = true
	fault.At = s.now - startTime
	s.schedule(fault)
}

// isInSlowStart reports whether the leader's table has a zone in slow start with at least the given share.
func (s *simulation) isInSlowStart(zone string, share float64) bool {
	p := s.leader()
	if p == nil {
		return false
	}
	z := p.voter.replica.Table().Zone(zone)
	return z.Phase == commands.PhaseSlowStart && z.Share >= share
}

const (
	flapPhases         = 4   // phases of ZoneFlaps: erroring, recovered, erroring, recovered
	someWorkersFailing = 0.2 // fraction of failing steps under SomeWorkersFail
	burstLoadFactor    = 2.4 // load under LoadBurst, as a multiple of the normal load
)

// schedule adds timers for the start and end of a fault.
func (s *simulation) schedule(fault Fault) {
	at, until := startTime+fault.At, startTime+fault.At+fault.Duration
	if s.firstFaultAt == 0 || at < s.firstFaultAt {
		s.firstFaultAt = at
	}
	s.lastFaultEnd = max(s.lastFaultEnd, until)
	switch fault.Kind {
	case ZoneCrash, ZoneErrors, ZoneSlow, ZoneFlaps, SomeWorkersFail, LoadBurst:
		s.scheduleZoneFault(fault, at, until)
	case LinkPartition, OneWayPartition, ZoneIsolated, ProcessIsolated:
		s.schedulePartition(fault, at, until)
	case ProcessCrash, ProcessPause, LeaderCrash, AllRestart:
		s.scheduleProcessFault(fault, at, until)
	default:
		s.addViolation("unknown fault kind %q", fault.Kind)
	}
}

// between adds timers that run begin at the start and end at the end of a fault.
func (s *simulation) between(at, until time.Duration, begin, end func()) {
	s.timers.Add(at, begin)
	s.timers.Add(until, end)
}

// scheduleZoneFault schedules a fault of a zone's workers, or a load burst on all zones.
func (s *simulation) scheduleZoneFault(fault Fault, at, until time.Duration) {
	zone := s.zoneStates[fault.Zone]
	recovered := func() {
		if fault.WarmsUp {
			zone.warmingSince, zone.overloaded = s.now, false
		}
		s.faultEndedAt[fault.Zone] = s.now
	}
	switch fault.Kind {
	case ZoneCrash:
		processes := s.processesIn(fault.Zone)
		s.between(at, until, func() {
			zone.crashed = true
			forEach(processes, s.crashProcess)
		}, func() {
			zone.crashed = false
			recovered()
			forEach(processes, s.startProcess)
		})
	case ZoneErrors:
		s.between(at, until, func() { zone.erroring = true }, func() { zone.erroring = false; recovered() })
	case ZoneSlow:
		s.between(at, until, func() { zone.isSlow = true }, func() { zone.isSlow = false; s.faultEndedAt[fault.Zone] = s.now })
	case ZoneFlaps:
		for i := time.Duration(0); i < flapPhases; i++ {
			s.timers.Add(at+i*fault.Duration/flapPhases, func() { zone.erroring = i%2 == 0 })
		}
		s.timers.Add(until, func() { zone.erroring = false; recovered() })
	case SomeWorkersFail:
		s.between(at, until, func() { zone.failingFraction = someWorkersFailing }, func() { zone.failingFraction = 0 })
	case LoadBurst:
		s.between(at, until, func() { s.loadFactor = burstLoadFactor }, func() { s.loadFactor = 1 })
	}
}

// schedulePartition schedules a network partition.
func (s *simulation) schedulePartition(fault Fault, at, until time.Duration) {
	network := s.network
	switch fault.Kind {
	case LinkPartition:
		s.between(at, until, func() { network.block(fault.Zone, fault.OtherZone); network.block(fault.OtherZone, fault.Zone) },
			func() { network.unblock(fault.Zone, fault.OtherZone); network.unblock(fault.OtherZone, fault.Zone) })
	case OneWayPartition:
		s.between(at, until, func() { network.block(fault.Zone, fault.OtherZone) }, func() { network.unblock(fault.Zone, fault.OtherZone) })
	case ZoneIsolated:
		s.between(at, until, func() { network.isolate(fault.Zone) },
			func() { network.reconnect(fault.Zone); s.faultEndedAt[fault.Zone] = s.now })
	case ProcessIsolated:
		s.between(at, until, func() { network.block(fault.Process, "*"); network.block("*", fault.Process) },
			func() { network.unblock(fault.Process, "*"); network.unblock("*", fault.Process) })
	}
}

// scheduleProcessFault schedules crashes, restarts or a pause of processes.
func (s *simulation) scheduleProcessFault(fault Fault, at, until time.Duration) {
	switch fault.Kind {
	case ProcessCrash:
		p := s.processNamed(fault.Process)
		s.between(at, until, func() { s.crashProcess(p) }, func() { s.startProcess(p) })
	case ProcessPause:
		p := s.processNamed(fault.Process)
		s.between(at, until, func() {
			if !p.down {
				p.pause()
			}
		}, func() {
			if p.paused {
				p.resume()
			}
		})
	case LeaderCrash:
		s.timers.Add(at, func() {
			if p := s.leader(); p != nil {
				p.crash()
				s.timers.Add(until, func() { s.startProcess(p) })
			}
		})
	case AllRestart:
		for _, p := range append(slices.Clone(s.voters), s.nodes...) {
			down := at + time.Duration(s.rng.Int64N(int64(time.Second)))
			s.timers.Add(down, func() { s.crashProcess(p) })
			s.timers.Add(down+time.Duration(100+s.rng.IntN(900))*time.Millisecond, func() { s.startProcess(p) })
		}
	}
}
