// Package follower is what each process of the fleet does with the orders: what share of
// its work it gives each zone while it hears the voters, and what it does by itself while
// it hears nobody. It has no clock and no I/O.
package follower

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Rules are the figures that a process goes by.
type Rules struct {
	Every   time.Duration // from one report to the next, on average
	Jitter  float64       // part by which that differs at random
	Fresh   time.Duration // a new process waits for its first orders for so long
	First   float64       // share of a zone that a process begins with by itself
	Quiet   time.Duration // without an answer, after which it looks after itself
	Step    time.Duration // by itself, it raises a zone's share no more often, and lowers it twice as often
	Rest    time.Duration // by itself, it sends nothing for so long to a zone that it has left
	Least   float64       // steps that must have ended to judge by
	Fine    float64       // part of them that may go wrong where the share is to grow
	TryLeft float64       // share at which a zone that keeps failing is left
}

// Usual are the figures that the program uses.
func Usual() Rules {
	return Rules{Every: 200 * time.Millisecond, Jitter: 0.25, Fresh: 2 * time.Second, Quiet: 600 * time.Millisecond, First: 1. / 16, Step: time.Second,
		Rest: 4 * time.Second, Least: 4, Fine: 0.2, TryLeft: 1. / 64}
}

// Report is what a process tells a voter.
type Report struct {
	Fleet       string        `cbor:"1,keyasint"`
	Name        string        `cbor:"2,keyasint"`
	Zone        string        `cbor:"3,keyasint"`
	Incarnation uint64        `cbor:"4,keyasint"`
	Sequence    uint64        `cbor:"5,keyasint"`
	Epoch       uint64        `cbor:"6,keyasint"` // of the orders that it holds
	Sights      health.Sights `cbor:"7,keyasint,omitempty"`
}

// Answer is what the voter answers.
type Answer struct {
	Incarnation uint64          `cbor:"1,keyasint"`           // that the voter knows of; above the process's own: it must take a higher one
	Epoch       uint64          `cbor:"2,keyasint"`           // that holds, as far as the voter knows
	Table       *commands.Table `cbor:"3,keyasint,omitempty"` // where the process's is older
	Lease       time.Duration   `cbor:"4,keyasint"`           // for which the orders hold, from the report's sending on; 0: the voter has no leader
}

// own is what a process makes of a zone by itself.
type own struct {
	share float64
	at    time.Duration // of the last change
	rest  time.Duration // drawn when the zone was left
}

// Follower is one process's part.
type Follower struct {
	rules       Rules
	fleet       string
	name, zone  string
	rng         *rand.Rand
	incarnation uint64
	sequence    uint64
	began       time.Duration
	table       commands.Table
	heard       bool
	lease       time.Duration // until when the orders hold
	heardAt     time.Duration // the last answer that granted one
	alone       bool
	own         map[string]*own
	eyes        *health.Eyes
	classes     int
	refused     uint64 // answers with orders older than the ones held
	Without     string // a check left out, for the tests that show what it is for
}

// New makes a process's part. incarnation has to be above that of its last start; the
// time of day in microseconds will do, and the voters raise it where a clock went back.
func New(now time.Duration, rules Rules, fleet, name, zone string, incarnation uint64, classes int, rng *rand.Rand) *Follower {
	return &Follower{rules: rules, fleet: fleet, name: name, zone: zone, rng: rng, incarnation: incarnation, began: now,
		classes: classes, own: map[string]*own{}, eyes: health.New(now, classes)}
}

// Eyes is where the process notes what it sees.
func (f *Follower) Eyes() *health.Eyes { return f.eyes }

// Report makes the next report, and tells when to make the one after.
func (f *Follower) Report(now time.Duration) (r Report, next time.Duration) {
	f.sequence++
	wait := float64(f.rules.Every) * (1 + f.rules.Jitter*(2*f.rng.Float64()-1))
	return Report{Fleet: f.fleet, Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Sequence: f.sequence, Epoch: f.table.Epoch,
		Sights: f.eyes.Sights(now)}, time.Duration(wait)
}

// Heard takes in a voter's answer to the report sent at a time. Orders older than those
// held are refused, and with them the lease. It tells whether anything has changed.
func (f *Follower) Heard(now, sent time.Duration, a Answer) bool {
	if a.Incarnation > f.incarnation {
		f.incarnation, f.sequence = a.Incarnation+1, 0
	}
	if a.Epoch < f.table.Epoch && f.Without != "epoch" {
		f.refused++
		return false
	}
	if a.Lease <= 0 {
		return false
	}
	if a.Table != nil && a.Table.Epoch != f.table.Epoch {
		f.adopt(now, a.Table.Clone())
	} else if a.Epoch > f.table.Epoch {
		return false // it knows of newer orders and has not sent them: nothing to hold to
	}
	until := sent + a.Lease
	if until <= now {
		return false
	}
	f.lease, f.heard, f.alone, f.heardAt = max(f.lease, until), true, false, now
	return true
}

// adopt takes up new orders. What was seen of a zone under another share says nothing of the
// new one; where the share here stays, it does.
func (f *Follower) adopt(now time.Duration, t commands.Table) {
	before := map[string]float64{}
	for zone := range t.Zones {
		before[zone] = f.ordered(zone)
	}
	f.table = t
	for zone, was := range before {
		if f.ordered(zone) != was {
			f.eyes.Forget(now, zone)
		}
	}
}

// StoodStill forgets all that was seen: a process that was frozen saw nothing end, and knows
// nothing of what has become of the others meanwhile.
func (f *Follower) StoodStill(now time.Duration) { f.eyes = health.New(now, f.classes) }

// Ready tells whether the process may take work: it knows what holds, or has waited for
// that long enough.
func (f *Follower) Ready(now time.Duration) bool { return f.heard || now-f.began >= f.rules.Fresh }

// Led tells whether the orders hold; else the process goes by itself.
func (f *Follower) Led(now time.Duration) bool { return f.heard && now < f.lease }

// Epoch is that of the orders held.
func (f *Follower) Epoch() uint64 { return f.table.Epoch }

// Table is the orders held; it is not to be changed.
func (f *Follower) Table() *commands.Table { return &f.table }

// Refused counts answers with older orders.
func (f *Follower) Refused() uint64 { return f.refused }

// Admit is the part of a class that is let in. A process by itself lets all in.
func (f *Follower) Admit(now time.Duration, class string) float64 {
	if v, ok := f.table.Admit[class]; ok && f.Led(now) {
		return v
	}
	return 1
}

// Shares gives each zone's part, by the zones' names: 1 for at least one of them, so that
// where all are doubted alike none is.
func (f *Follower) Shares(now time.Duration, zones []string) map[string]float64 {
	out := make(map[string]float64, len(zones))
	led, quiet := f.Led(now), !f.heard || now-f.heardAt > f.rules.Quiet
	if quiet {
		f.byItself(now, zones)
	}
	for _, zone := range zones {
		switch {
		case !led:
			out[zone] = f.own[zone].share
		case quiet:
			// The orders still hold, but it may be this process that is cut off.
			out[zone] = min(f.ordered(zone), f.own[zone].share)
		default:
			out[zone] = f.ordered(zone)
		}
	}
	most := 0.0
	for _, v := range out {
		most = max(most, v)
	}
	for zone, v := range out {
		if most > 0 {
			out[zone] = v / most
		} else {
			out[zone] = 1
		}
	}
	return out
}

// ordered is a zone's share by the orders.
func (f *Follower) ordered(zone string) float64 {
	z := f.table.Of(zone)
	if slices.Contains(z.Cut, f.zone) {
		if f.chosen(zone, z) {
			return f.rules.First
		}
		return 0
	}
	switch z.Phase {
	case commands.Left:
		return 0
	case commands.Trying:
		if !f.chosen(zone, z) {
			return 0
		}
	}
	return z.Share
}

// chosen tells whether this process is one of the few that try a zone: each can tell by
// itself, and at each order others are.
func (f *Follower) chosen(zone string, z commands.Zone) bool {
	h := fnv.New64a()
	for _, s := range []string{f.name, "\x00", zone, "\x00"} {
		_, _ = h.Write([]byte(s))
	}
	x := mix(h.Sum64() ^ mix(z.Since))
	return float64(x>>11)/(1<<53) < z.Chosen
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// byItself is the rule for a process that hears nobody: it goes on from the shares that
// it last had, cuts that of a zone where most goes wrong to a quarter, doubles that of one where it
// goes well, and tries one that it has left after a rest. Never does a share grow more
// than twofold at a time, whatever the zone's order was.
func (f *Follower) byItself(now time.Duration, zones []string) {
	began := !f.alone
	f.alone = true
	for _, zone := range zones {
		o := f.own[zone]
		if o == nil {
			o = &own{at: now}
			f.own[zone] = o
			o.share = f.rules.First
			if f.heard {
				o.share = f.ordered(zone)
			}
			o.rest = f.spread(f.rules.Rest)
			continue
		}
		if began {
			o.share, o.at, o.rest = f.ordered(zone), now, f.spread(f.rules.Rest)
			continue
		}
		f.adapt(now, zone, o)
	}
}

func (f *Follower) adapt(now time.Duration, zone string, o *own) {
	if o.share == 0 {
		if now-o.at >= o.rest {
			o.share, o.at = f.rules.First, now
			f.eyes.Forget(now, zone)
		}
		return
	}
	s := f.eyes.Look(now, zone)
	if now-o.at < f.rules.Step/2 || s.Ended() < f.rules.Least {
		return
	}
	switch bad := s.Count.Bad(); {
	case s.Bad > 0:
		if o.share /= 4; o.share < f.rules.TryLeft {
			o.share, o.rest = 0, f.spread(f.rules.Rest)
		}
	case bad <= f.rules.Fine && o.share < 1 && now-o.at >= f.rules.Step:
		o.share = min(1, 2*o.share)
	default:
		return
	}
	o.at = now
	f.eyes.Forget(now, zone)
}

// spread varies a span at random, so that processes do not act in step.
func (f *Follower) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + f.rules.Jitter*(2*f.rng.Float64()-1)))
}
