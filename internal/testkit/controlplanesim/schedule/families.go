package schedule

import (
	"slices"
	"time"
)

// machine takes machines down temporarily.
func (g *generator) machine(at time.Duration) {
	kind := pick(g, Kill, Kill, Power, Power, Wipe, Freeze)
	g.addLoss(Event{At: at, Kind: kind, Servers: g.pickSome(g.shape.Servers, g.shape.Tolerance), Duration: g.downtime()})
}

// downtime draws the time that a machine is down: below 1 s, 1 s to 4 s or 4 s to 15 s, with equal probability.
func (g *generator) downtime() time.Duration {
	return pick(g, g.drawDuration(100*time.Millisecond, time.Second), g.drawDuration(time.Second, 4*time.Second), g.drawDuration(4*time.Second, 15*time.Second))
}

// partition partitions servers, often for as long as operators wait for an answer, and adds events during the partition.
func (g *generator) partition(at time.Duration) {
	event := Event{At: at, Kind: Partition, Variant: pick(g, variants[Partition]...), Servers: g.pickSome(g.shape.Servers, g.shape.Tolerance),
		Duration: pick(g, g.drawDuration(500*time.Millisecond, 4*time.Second), g.drawDuration(14*time.Second, 21*time.Second))}
	if event.Variant == PartitionSide {
		event.Agents = g.pickSome(g.shape.Agents, g.shape.Agents)
	}
	event.Restart = event.Variant != PartitionServers && g.random.IntN(3) == 0
	if g.random.IntN(2) == 0 {
		event.Operators = g.pickSome(g.shape.Operators, g.shape.Operators)
		event.Workers = g.pickSome(g.shape.Workers, g.shape.Workers)
	}
	if !g.addLoss(event) {
		return
	}
	for range g.random.IntN(3) {
		during := at + g.drawDuration(0, event.Duration)
		pick(g, (*generator).race, (*generator).workers, (*generator).loseReplies)(g, during)
	}
}

// chain takes down one machine after the other, each soon after the previous one has been repaired.
func (g *generator) chain(at time.Duration) {
	for range 2 + g.random.IntN(2) {
		event := Event{At: at, Kind: pick(g, Replace, Replace, Wipe, Kill, Power), Servers: g.pickSome(g.shape.Servers, 1), Duration: g.drawDuration(50*time.Millisecond, 2*time.Second)}
		if event.Kind == Replace {
			event.Variant = pick(g, variants[Replace]...)
		}
		if !g.addLoss(event) {
			return
		}
		at = event.End() + CatchUp + g.drawDuration(500*time.Millisecond, 6*time.Second)
		if at >= g.shape.Length {
			return
		}
	}
}

// allDown takes every server down at once. Some servers, within the tolerance, may also lose their disks.
func (g *generator) allDown(at time.Duration) {
	event := Event{At: at, Kind: pick(g, KillAll, PowerAll, RestartAll), Duration: g.drawDuration(50*time.Millisecond, time.Second)}
	event.Trigger = pick(g, "", "", Acknowledgement, Sent)
	if event.Kind != RestartAll && g.random.IntN(2) == 0 {
		event.Servers = g.pickSome(g.shape.Servers, g.shape.Tolerance)
	}
	until := event.End() + CatchUp
	if !g.withinTolerance(event.Servers, event.At, until) {
		event.Servers = nil
	}
	g.loseAll(event.At, until)
	g.add(event)
}

// afterAcknowledgement takes machines down right after an order, a drain or an election.
func (g *generator) afterAcknowledgement(at time.Duration) {
	event := Event{At: at, Trigger: pick(g, Acknowledgement, Acknowledgement, Sent, Election, Drain), Kind: pick(g, Kill, Power, Wipe, Freeze), Duration: g.downtime(),
		Servers: g.pickSome(g.shape.Servers, g.shape.Tolerance), Delay: pick(g, 0, g.drawDuration(time.Millisecond, 30*time.Millisecond), g.drawDuration(30*time.Millisecond, 500*time.Millisecond))}
	g.addLoss(event)
}

// race has operators send concurrently, often with lost answers.
func (g *generator) race(at time.Duration) {
	event := Event{At: at, Kind: Race, Variant: pick(g, variants[Race]...), Operators: g.pickSome(g.shape.Operators, g.shape.Operators)}
	if len(event.Operators) == 0 {
		return
	}
	if event.Variant == RaceBodies || event.Variant == RaceSame {
		event.Operators = g.everyOperator()
	}
	g.add(event)
	if g.random.IntN(2) == 0 {
		g.add(Event{At: at, Kind: LoseReplies, Operators: slices.Clone(event.Operators), Duration: g.drawDuration(200*time.Millisecond, 2*time.Second)})
	}
}

func (g *generator) everyOperator() []int {
	all := make([]int, g.shape.Operators)
	for i := range all {
		all[i] = i
	}
	return all
}

// loseReplies drops the answers to operators for some time.
func (g *generator) loseReplies(at time.Duration) {
	if operators := g.pickSome(g.shape.Operators, g.shape.Operators); len(operators) > 0 {
		g.add(Event{At: at, Kind: LoseReplies, Operators: operators, Duration: g.drawDuration(200*time.Millisecond, 4*time.Second)})
	}
}

// burst has operators send many changes in a row.
func (g *generator) burst(at time.Duration) {
	if operators := g.pickSome(g.shape.Operators, g.shape.Operators); len(operators) > 0 {
		g.add(Event{At: at, Kind: Burst, Operators: operators, Count: pick(g, 5, 20, 60)})
	}
}

// invalidConfig has an operator send a configuration that must be rejected.
func (g *generator) invalidConfig(at time.Duration) {
	if operators := g.pickSome(g.shape.Operators, 1); len(operators) > 0 {
		g.add(Event{At: at, Kind: InvalidConfig, Variant: pick(g, variants[InvalidConfig]...), Operators: operators})
	}
}

// disk makes disks faulty.
func (g *generator) disk(at time.Duration) {
	g.addLoss(Event{At: at, Kind: Disk, Variant: pick(g, variants[Disk]...), Servers: g.pickSome(g.shape.Servers, g.shape.Tolerance), Duration: g.drawDuration(200*time.Millisecond, 6*time.Second)})
}

// link makes the links of servers or agents faulty.
func (g *generator) link(at time.Duration) {
	event := Event{At: at, Kind: Link, Variant: pick(g, variants[Link]...), Duration: g.drawDuration(100*time.Millisecond, 5*time.Second)}
	if g.random.IntN(3) == 0 {
		if event.Agents = g.pickSome(g.shape.Agents, g.shape.Agents); len(event.Agents) > 0 {
			g.add(event)
		}
		return
	}
	event.Servers = g.pickSome(g.shape.Servers, g.shape.Tolerance)
	g.addLoss(event)
}

// rollingRestart restarts all servers one after the other, each when the previous one no longer counts as lost.
func (g *generator) rollingRestart(at time.Duration) {
	event := Event{At: at, Kind: RollingRestart, Duration: CatchUp + g.drawDuration(500*time.Millisecond, 2*time.Second), Servers: g.random.Perm(g.shape.Servers)}
	spans := event.rollSpans()
	for _, span := range spans {
		if !g.withinTolerance([]int{span.slot}, span.from, span.to) {
			return
		}
	}
	g.losses = append(g.losses, spans...)
	g.add(event)
}

// rollSpans returns the time in which each server of a rolling restart counts as lost.
func (e Event) rollSpans() []loss {
	spans := make([]loss, len(e.Servers))
	for i, slot := range e.Servers {
		from := e.At + time.Duration(i)*e.Duration
		spans[i] = loss{slot: slot, from: from, to: from + e.Duration}
	}
	return spans
}

// workers has workers leave, crash or send late heartbeats, at times with a fault right after the acknowledgement of a drain or departure.
func (g *generator) workers(at time.Duration) {
	workers := g.pickSome(g.shape.Workers, 3)
	if len(workers) == 0 {
		return
	}
	event := Event{At: at, Kind: Worker, Variant: pick(g, variants[Worker]...), Workers: workers, Duration: g.drawDuration(500*time.Millisecond, 6*time.Second)}
	g.add(event)
	if event.Variant != WorkerLate && event.Variant != WorkerCrash && g.random.IntN(3) == 0 {
		g.addLoss(Event{At: at, Trigger: Drain, Kind: pick(g, Kill, Power, Wipe), Servers: g.pickSome(g.shape.Servers, g.shape.Tolerance), Duration: g.downtime()})
	}
}

// slowDisks slows all disks from time to time and has all servers lose power during these times, at an acknowledgement, a send or
// an election. Anything that was acknowledged before it was durable is then lost. Slowed machines count as lost, so only safety is
// checked in that time, not availability.
func (g *generator) slowDisks() {
	all := g.everyServer()
	for at := startupTime; at < g.shape.Length; at += g.drawDuration(4*time.Second, 8*time.Second) {
		g.add(Event{At: at, Kind: Disk, Variant: DiskSlow, Servers: all, Duration: g.drawDuration(2*time.Second, 4*time.Second)})
		g.add(Event{At: at + g.drawDuration(100*time.Millisecond, 1500*time.Millisecond), Trigger: pick(g, Acknowledgement, Acknowledgement, Sent, Election), Kind: PowerAll,
			Delay: pick(g, 0, g.drawDuration(time.Millisecond, 40*time.Millisecond)), Duration: g.drawDuration(50*time.Millisecond, 500*time.Millisecond)})
	}
}
