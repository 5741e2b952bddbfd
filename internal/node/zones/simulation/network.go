package simulation

import (
	"time"
)

// network delivers messages between processes. It delays, loses, duplicates and reorders them, and delivers none over a
// blocked link. A link has one direction; it connects two zones, or one process with all others.
type network struct {
	simulation *simulation
	blocked    map[[2]string]bool // blocked links by sender and receiver: two zones, or a process and "*"
	delivered  int
	lost       int
}

func (n *network) isBlocked(from, to *process) bool {
	return n.blocked[[2]string{from.zone, to.zone}] || n.blocked[[2]string{from.name, "*"}] || n.blocked[[2]string{"*", to.name}]
}

// send calls deliver when a message arrives at the receiving process. The message is lost if that process
// crashes or restarts before.
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
			delay *= 20 // many later messages arrive before it
		}
		n.delivered++
		n.simulation.after(lag+delay, func() {
			if !to.down && to.incarnation == incarnation && !n.isBlocked(from, to) {
				deliver()
			}
		})
	}
}

// block blocks a link in one direction. "*" stands for every process.
func (n *network) block(from, to string) { n.blocked[[2]string{from, to}] = true }

// unblock reverts block.
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

// reconnect reverts isolate.
func (n *network) reconnect(zone string) {
	for _, z := range n.simulation.zones {
		n.unblock(zone, z)
		n.unblock(z, zone)
	}
}

// Range is a range of durations for uniformly distributed random values.
type Range struct{ Min, Max time.Duration }
