package simulation

import (
	"time"
)

// network delivers messages between processes: delayed, lost, duplicated, reordered, and not at all over a
// blocked link. Links are one way, between zones or at single processes.
type network struct {
	simulation *simulation
	blocked    map[[2]string]bool // from and to, zones or processes
	delivered  int
	lost       int
}

func (n *network) isBlocked(from, to *process) bool {
	return n.blocked[[2]string{from.zone, to.zone}] || n.blocked[[2]string{from.name, "*"}] || n.blocked[[2]string{"*", to.name}]
}

// send calls deliver at another process when the message arrives. A message to a process that restarted
// meanwhile is lost.
func (n *network) send(from, to *process, deliver func()) {
	scenario := n.simulation.scenario
	copies := 1
	switch {
	case n.isBlocked(from, to), from != to && n.simulation.rng.Float64() < scenario.LossProbability:
		n.lost++
		return
	case n.simulation.rng.Float64() < scenario.DuplicateProbability:
		copies = 2
	}
	incarnation := to.incarnation
	lag := time.Duration(0)
	if scenario.VoterLag > 0 && n.simulation.now > startTime+5*time.Second && from.voter != nil && to.voter != nil {
		switch {
		case from.voter.id == 3:
			return
		case to.voter.id == 3:
			lag = scenario.VoterLag
		}
	}
	for range copies {
		delay := scenario.MessageDelay.draw(n.simulation.rng)
		if n.simulation.rng.Float64() < scenario.ReorderProbability {
			delay *= 20 // overtaken by many
		}
		n.delivered++
		n.simulation.after(lag+delay, func() {
			if !to.down && to.incarnation == incarnation && !n.isBlocked(from, to) {
				deliver()
			}
		})
	}
}

// block blocks a link one way. "*" stands for every process.
func (n *network) block(from, to string) { n.blocked[[2]string{from, to}] = true }

// unblock ends what block began.
func (n *network) unblock(from, to string) { delete(n.blocked, [2]string{from, to}) }

// isolate blocks all links between a zone and the others.
func (n *network) isolate(zone string) {
	for _, z := range n.simulation.zones {
		if z != zone {
			n.block(zone, z)
			n.block(z, zone)
		}
	}
}

// reconnect ends what isolate began.
func (n *network) reconnect(zone string) {
	for _, z := range n.simulation.zones {
		n.unblock(zone, z)
		n.unblock(z, zone)
	}
}

// Range is a range of durations, drawn from evenly.
type Range struct{ Min, Max time.Duration }
