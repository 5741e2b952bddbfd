// Package health is what processes see of each zone: counts that merge by adding, of
// a size that does not grow with the number of processes. It has no clock and no I/O.
package health

import (
	"slices"
	"time"
)

const (
	slots      = 12                     // of a window
	slotLength = 250 * time.Millisecond // so that a window shows the last three seconds
	// A process judges a zone by its last steps there, the recent ones if there are any; else
	// by older ones, as long as it has seen nothing newer: who doubts a zone sends little
	// there, and must not forget why.
	lastSteps = 5
	recent    = 2 * time.Second
	lastFor   = 10 * time.Second
	badPart   = 0.6 // of them that broke or stayed silent: the zone fails, seen from here
)

// Window is the time that a process's evidence covers.
const Window = slots * slotLength

// Count is what became of route steps to one zone.
type Count struct {
	Sent   float64 `cbor:"1,keyasint,omitempty"` // steps begun
	Good   float64 `cbor:"2,keyasint,omitempty"` // served, or turned away by a prep worker that lives
	Late   float64 `cbor:"3,keyasint,omitempty"` // served or begun too late for its aim
	Broken float64 `cbor:"4,keyasint,omitempty"` // not connected, or reset
	Silent float64 `cbor:"5,keyasint,omitempty"` // no sign of a start in the time for one
}

// Add merges.
func (c *Count) Add(o Count) {
	c.Sent += o.Sent
	c.Good += o.Good
	c.Late += o.Late
	c.Broken += o.Broken
	c.Silent += o.Silent
}

// Ended is how many steps say something.
func (c Count) Ended() float64 { return c.Good + c.Broken + c.Silent }

// Bad is the part of them that broke or stayed silent.
func (c Count) Bad() float64 {
	if c.Ended() == 0 {
		return 0
	}
	return (c.Broken + c.Silent) / c.Ended()
}

// LatePart is the part of the steps that went well, but too late.
func (c Count) LatePart() float64 {
	if c.Good == 0 {
		return 0
	}
	return min(1, c.Late/c.Good)
}

// Sight is what one or more processes see of a zone.
type Sight struct {
	Count
	Seers float64   `cbor:"7,keyasint,omitempty"`  // processes that can tell
	Bad   float64   `cbor:"8,keyasint,omitempty"`  // those of them to which the zone fails
	Last  float64   `cbor:"12,keyasint,omitempty"` // the steps that they judge by
	Slots float64   `cbor:"9,keyasint,omitempty"`  // of the zone's ready prep workers, the most that one process knows of
	Cold  float64   `cbor:"10,keyasint,omitempty"` // part of their capacity that its prep workers lack as they are cold, the most that one process knows of
	Work  []float64 `cbor:"11,keyasint,omitempty"` // slot-seconds a second sent there, by class
}

// Add merges what others see.
func (s *Sight) Add(o Sight) {
	s.Count.Add(o.Count)
	s.Seers += o.Seers
	s.Bad += o.Bad
	s.Last += o.Last
	s.Slots = max(s.Slots, o.Slots)
	s.Cold = max(s.Cold, o.Cold)
	for len(s.Work) < len(o.Work) {
		s.Work = append(s.Work, 0)
	}
	for i, w := range o.Work {
		s.Work[i] += w
	}
}

// Sights is what is seen of the zones, by their names.
type Sights map[string]Sight

// Add merges.
func (s Sights) Add(o Sights) {
	for zone, of := range o {
		at := s[zone]
		at.Work = slices.Clone(at.Work)
		at.Add(of)
		s[zone] = at
	}
}

// Digest is the sights of many processes by the zone that they see from.
type Digest map[string]From

// From is what the processes of one zone see.
type From struct {
	Processes float64 `cbor:"1,keyasint"` // that are heard of
	Sights    Sights  `cbor:"2,keyasint"`
}

// Add merges.
func (d Digest) Add(o Digest) {
	for zone, from := range o {
		d.add(zone, from.Processes, from.Sights)
	}
}

// Put adds one process's sights.
func (d Digest) Put(zone string, s Sights) { d.add(zone, 1, s) }

func (d Digest) add(zone string, processes float64, s Sights) {
	at := d[zone]
	if at.Sights == nil {
		at.Sights = Sights{}
	}
	at.Processes += processes
	at.Sights.Add(s)
	d[zone] = at
}

// slot is what became of the steps in a part of the window.
type slot struct {
	number int64
	count  Count
	work   []float64
}

// Seen is what one process has seen of one zone lately.
type Seen struct {
	ring  [slots]slot
	since time.Duration // steps sent earlier say nothing
	last  [lastSteps]step
	next  int
	slots float64
	cold  float64
}

// step is one that has ended.
type step struct {
	at  time.Duration // 0: none
	bad bool
}

// judge tells how many steps it judges by, and whether the zone is well or fails by them.
func (s *Seen) judge(now time.Duration) (n float64, good, bad bool) {
	for _, span := range [...]time.Duration{recent, lastFor} {
		failed := 0.0
		for _, l := range s.last {
			if l.at > 0 && now-l.at <= span {
				n++
				if l.bad {
					failed++
				}
			}
		}
		if n > 0 {
			bad = failed >= badPart*n
			// That it went well a while ago says nothing of now; that it did not may be why
			// nothing has been sent since.
			return n, !bad && span == recent, bad
		}
	}
	return 0, false, false
}

// Eyes is what one process has seen of all zones lately. The zero value is not ready:
// see New.
type Eyes struct {
	classes int
	began   time.Duration
	zones   map[string]*Seen
}

// New makes the eyes of a process that has started at a time, with so many classes.
func New(now time.Duration, classes int) *Eyes {
	return &Eyes{classes: classes, began: now, zones: map[string]*Seen{}}
}

func (e *Eyes) at(now time.Duration, zone string) *slot {
	s := e.zones[zone]
	if s == nil {
		s = &Seen{}
		e.zones[zone] = s
	}
	n := int64(now / slotLength)
	at := &s.ring[n%slots]
	if at.number != n || at.work == nil {
		work := at.work
		if work == nil {
			work = make([]float64, e.classes)
		}
		clear(work)
		*at = slot{number: n, work: work}
	}
	return at
}

// Sent notes a step begun, and the slot-seconds that it will take.
func (e *Eyes) Sent(now time.Duration, zone string, class int, work float64) {
	at := e.at(now, zone)
	at.count.Sent++
	if class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// Worked adds slot-seconds of work done in a zone, where they are known only at its end.
func (e *Eyes) Worked(now time.Duration, zone string, class int, work float64) {
	if at := e.at(now, zone); class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// Note adds to what became of a step to a zone, sent at a time.
func (e *Eyes) Note(now, sent time.Duration, zone string, c Count) {
	at := e.at(now, zone)
	s := e.zones[zone]
	if sent < s.since {
		return
	}
	at.count.Add(c)
	if c.Ended() > 0 {
		s.last[s.next] = step{now, c.Bad() >= 0.5}
		s.next = (s.next + 1) % lastSteps
	}
}

// Forget has nothing count that became or becomes of steps sent so far to a zone. How
// much is sent there stays known.
func (e *Eyes) Forget(now time.Duration, zone string) {
	if s := e.zones[zone]; s != nil {
		s.since, s.last = now, [lastSteps]step{}
		for i := range s.ring {
			s.ring[i].count = Count{}
		}
	}
}

// Knows sets what is known of a zone's prep workers: their slots, and the part of their
// capacity that they lack as they are cold.
func (e *Eyes) Knows(now time.Duration, zone string, slots, cold float64) {
	e.at(now, zone)
	s := e.zones[zone]
	s.slots, s.cold = slots, cold
}

// Look sums up what is seen of a zone.
func (e *Eyes) Look(now time.Duration, zone string) Sight {
	var out Sight
	s := e.zones[zone]
	if s == nil {
		return out
	}
	out.Slots, out.Cold = s.slots, s.cold
	n := int64(now / slotLength)
	out.Work = make([]float64, e.classes)
	for k := n; k > n-slots && k >= 0; k-- {
		at := &s.ring[k%slots]
		if at.work == nil || at.number != k {
			continue
		}
		out.Count.Add(at.count)
		for c, w := range at.work {
			out.Work[c] += w
		}
	}
	span := min(Window, max(now-e.began, slotLength)).Seconds()
	for c := range out.Work {
		out.Work[c] /= span
	}
	last, good, bad := s.judge(now)
	if out.Last = last; good || bad {
		out.Seers = 1
	}
	if bad {
		out.Bad = 1
	}
	return out
}

// Sights sums up what is seen of all zones.
func (e *Eyes) Sights(now time.Duration) Sights {
	out := make(Sights, len(e.zones))
	for zone := range e.zones {
		out[zone] = e.Look(now, zone)
	}
	return out
}
