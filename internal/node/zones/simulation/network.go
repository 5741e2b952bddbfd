package simulation

import (
	"time"
)

// network carries messages between processes: late, lost, twice, out of order, and not at
// all over a link that is cut. Links are one way, between zones and at single processes.
type network struct {
	w       *world
	cut     map[[2]string]bool // from and to, zones or processes
	carried int
	lost    int
}

func (n *network) broken(from, to *process) bool {
	return n.cut[[2]string{from.zone, to.zone}] || n.cut[[2]string{from.name, "*"}] || n.cut[[2]string{"*", to.name}]
}

// send has something happen at another process, if it arrives. A process that has been
// restarted meanwhile is another one: what was on its way to the old one is lost.
func (n *network) send(from, to *process, f func()) {
	d := n.w.day
	copies := 1
	switch {
	case n.broken(from, to), from != to && n.w.rng.Float64() < d.Loss:
		n.lost++
		return
	case n.w.rng.Float64() < d.Twice:
		copies = 2
	}
	life := to.life
	lag := time.Duration(0)
	if d.Lag > 0 && n.w.now > begins+5*time.Second && from.voter != nil && to.voter != nil {
		switch {
		case from.voter.id == 3:
			return
		case to.voter.id == 3:
			lag = d.Lag
		}
	}
	for range copies {
		delay := d.Delay.draw(n.w.rng)
		if n.w.rng.Float64() < d.Stray {
			delay *= 20 // overtaken by many
		}
		n.carried++
		n.w.after(lag+delay, func() {
			if !to.down && to.life == life && !n.broken(from, to) {
				f()
			}
		})
	}
}

// block cuts a link one way.
func (n *network) block(from, to string) { n.cut[[2]string{from, to}] = true }

// heal mends it.
func (n *network) heal(from, to string) { delete(n.cut, [2]string{from, to}) }

// isolate cuts all links between a zone and the others, and mend mends them.
func (n *network) isolate(zone string) {
	for _, z := range n.w.zones {
		if z != zone {
			n.block(zone, z)
			n.block(z, zone)
		}
	}
}

func (n *network) mend(zone string) {
	for _, z := range n.w.zones {
		n.heal(zone, z)
		n.heal(z, zone)
	}
}

// Span is drawn evenly.
type Span struct{ Least, Most time.Duration }
