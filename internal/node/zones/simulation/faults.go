package simulation

import (
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// lookEvery is how often a trouble that waits for a rise looks for it.
const lookEvery = 10 * time.Millisecond

// plan has a trouble begin at its time, or amid the rise that it waits for.
func (w *world) plan(t Trouble) {
	if t.Amid == "" {
		w.trouble(t)
		return
	}
	w.line.Add(begins+t.At, func() { w.await(t) })
}

func (w *world) await(t Trouble) {
	if !w.rises(t.Amid, t.Share) {
		w.after(lookEvery, func() { w.await(t) })
		return
	}
	w.result.Rising = true
	t.At = w.now - begins
	w.trouble(t)
}

// rises tells whether the leader has a zone rise with at least a share.
func (w *world) rises(zone string, share float64) bool {
	p := w.leader()
	if p == nil {
		return false
	}
	z := p.voter.v.Table().Of(zone)
	return z.Phase == commands.Rising && z.Share >= share
}

// trouble plans one at its time.
func (w *world) trouble(t Trouble) {
	at, until := begins+t.At, begins+t.At+t.For
	if w.first == 0 || at < w.first {
		w.first = at
	}
	w.last = max(w.last, until)
	plan := func(on, off func()) {
		w.line.Add(at, on)
		w.line.Add(until, off)
	}
	z := w.state[t.Zone]
	cold := func() {
		if t.ColdBack {
			z.cold, z.fell = w.now, false
		}
		w.ended[t.Zone] = w.now
	}
	p := w.find(t.Process)
	there := w.in(t.Zone)
	switch t.Kind {
	case ZoneDies:
		plan(func() {
			z.dead = true
			each(there, func(p *process) {
				if !p.down {
					p.crash()
				}
			})
		}, func() {
			z.dead = false
			cold()
			each(there, func(p *process) {
				if p.down {
					p.start()
				}
			})
		})
	case ZoneBreaks:
		plan(func() { z.broken = true }, func() { z.broken = false; cold() })
	case ZoneSlow:
		plan(func() { z.slow = true }, func() { z.slow = false; w.ended[t.Zone] = w.now })
	case ZoneFlaps:
		for i := time.Duration(0); i < 4; i++ {
			w.line.Add(at+i*t.For/4, func() { z.broken = i%2 == 0 })
		}
		w.line.Add(until, func() { z.broken = false; cold() })
	case SomeBad:
		plan(func() { z.partBad = 0.2 }, func() { z.partBad = 0 })
	case LinkCut:
		plan(func() { w.net.block(t.Zone, t.Other); w.net.block(t.Other, t.Zone) },
			func() { w.net.heal(t.Zone, t.Other); w.net.heal(t.Other, t.Zone) })
	case OneWay:
		plan(func() { w.net.block(t.Zone, t.Other) }, func() { w.net.heal(t.Zone, t.Other) })
	case ZoneCutOff:
		plan(func() { w.net.isolate(t.Zone) }, func() { w.net.mend(t.Zone); w.ended[t.Zone] = w.now })
	case OneCut:
		plan(func() { w.net.block(t.Process, "*"); w.net.block("*", t.Process) },
			func() { w.net.heal(t.Process, "*"); w.net.heal("*", t.Process) })
	case Crowd:
		plan(func() { w.crowd = 2.4 }, func() { w.crowd = 1 })
	case Crash:
		plan(func() { w.stop(p) }, func() { w.up(p) })
	case Frozen:
		plan(func() {
			if !p.down {
				p.freeze()
			}
		}, func() {
			if p.frozen {
				p.thaw()
			}
		})
	case LeaderDies:
		w.line.Add(at, func() {
			if p := w.leader(); p != nil {
				p.crash()
				w.line.Add(until, func() { w.up(p) })
			}
		})
	case AllRestart:
		for _, p := range append(slices.Clone(w.voters), w.nodes...) {
			down := at + time.Duration(w.rng.Int64N(int64(time.Second)))
			w.line.Add(down, func() { w.stop(p) })
			w.line.Add(down+time.Duration(100+w.rng.IntN(900))*time.Millisecond, func() { w.up(p) })
		}
	default:
		w.violate("no such trouble: %s", t.Kind)
	}
}
