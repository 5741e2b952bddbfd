package simulation

import (
	"time"
)

// network carries messages between processes: late, lost, twice, out of order, and not at
// all over a link that is cut. Links are one way, between zones and at single processes.
type network struct {
	simulation *simulation
	blocked    map[[2]string]bool // from and to, zones or processes
	delivered  int
	lost       int
}

func (n *network) isBlocked(from, to *process) bool {
	return n.blocked[[2]string{from.zone, to.zone}] || n.blocked[[2]string{from.name, "*"}] || n.blocked[[2]string{"*", to.name}]
}

// send has something happen at another process, if it arrives. A process that has been
// restarted meanwhile is another one: what was on its way to the old one is lost.
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

// block cuts a link one way.
func (n *network) block(from, to string) { n.blocked[[2]string{from, to}] = true }

// unblock mends it.
func (n *network) unblock(from, to string) { delete(n.blocked, [2]string{from, to}) }

// isolate cuts all links between a zone and the others, and mend mends them.
func (n *network) isolate(zone string) {
	for _, z := range n.simulation.zones {
		if z != zone {
			n.block(zone, z)
			n.block(z, zone)
		}
	}
}

func (n *network) reconnect(zone string) {
	for _, z := range n.simulation.zones {
		n.unblock(zone, z)
		n.unblock(z, zone)
	}
}

// Range is drawn evenly.
type Range struct{ Min, Max time.Duration }
