// Package health is what processes see of each zone: counts that merge by adding, of
// a size that does not grow with the number of processes. It has no clock and no I/O.
package health

import (
	"slices"
	"time"
)

const (
	bucketCount  = 12                     // of a window
	bucketLength = 250 * time.Millisecond // so that a window shows the last three seconds
	// A process judges a zone by its last steps there, the recent ones if there are any; else
	// by older ones, as long as it has seen nothing newer: who doubts a zone sends little
	// there, and must not forget why.
	recentStepCount = 5
	freshStepAge    = 2 * time.Second
	maxStepAge      = 10 * time.Second
	failingRatio    = 0.6 // of them that broke or stayed silent: the zone fails, seen from here
)

// Window is the time that a process's evidence covers.
const Window = bucketCount * bucketLength

// StepCounts is what became of route steps to one zone.
type StepCounts struct {
	Sent      float64 `cbor:"1,keyasint,omitempty"` // steps begun
	Succeeded float64 `cbor:"2,keyasint,omitempty"` // served, or turned away by a prep worker that lives
	Late      float64 `cbor:"3,keyasint,omitempty"` // served or begun too late for its aim
	Failed    float64 `cbor:"4,keyasint,omitempty"` // not connected, or reset
	TimedOut  float64 `cbor:"5,keyasint,omitempty"` // no sign of a start in the time for one
}

// Add merges.
func (c *StepCounts) Add(o StepCounts) {
	c.Sent += o.Sent
	c.Succeeded += o.Succeeded
	c.Late += o.Late
	c.Failed += o.Failed
	c.TimedOut += o.TimedOut
}

// Completed is how many steps say something.
func (c StepCounts) Completed() float64 { return c.Succeeded + c.Failed + c.TimedOut }

// FailureRatio is the part of them that broke or stayed silent.
func (c StepCounts) FailureRatio() float64 {
	if c.Completed() == 0 {
		return 0
	}
	return (c.Failed + c.TimedOut) / c.Completed()
}

// LateRatio is the part of the steps that went well, but too late.
func (c StepCounts) LateRatio() float64 {
	if c.Succeeded == 0 {
		return 0
	}
	return min(1, c.Late/c.Succeeded)
}

// Observation is what one or more processes see of a zone.
type Observation struct {
	StepCounts
	Observers        float64   `cbor:"7,keyasint,omitempty"`  // processes that can tell
	FailingObservers float64   `cbor:"8,keyasint,omitempty"`  // those of them to which the zone fails
	RecentSteps      float64   `cbor:"12,keyasint,omitempty"` // the steps that they judge by
	Slots            float64   `cbor:"9,keyasint,omitempty"`  // of the zone's ready prep workers, the most that one process knows of
	WarmupDeficit    float64   `cbor:"10,keyasint,omitempty"` // part of their capacity that its prep workers lack as they are cold, the most that one process knows of
	WorkRate         []float64 `cbor:"11,keyasint,omitempty"` // slot-seconds a second sent there, by class
}

// Add merges what others see.
func (s *Observation) Add(o Observation) {
	s.StepCounts.Add(o.StepCounts)
	s.Observers += o.Observers
	s.FailingObservers += o.FailingObservers
	s.RecentSteps += o.RecentSteps
	s.Slots = max(s.Slots, o.Slots)
	s.WarmupDeficit = max(s.WarmupDeficit, o.WarmupDeficit)
	for len(s.WorkRate) < len(o.WorkRate) {
		s.WorkRate = append(s.WorkRate, 0)
	}
	for i, w := range o.WorkRate {
		s.WorkRate[i] += w
	}
}

// Observations is what is seen of the zones, by their names.
type Observations map[string]Observation

// Add merges.
func (s Observations) Add(o Observations) {
	for zone, of := range o {
		at := s[zone]
		at.WorkRate = slices.Clone(at.WorkRate)
		at.Add(of)
		s[zone] = at
	}
}

// Digest is the sights of many processes by the zone that they see from.
type Digest map[string]ZoneReport

// ZoneReport is what the processes of one zone see.
type ZoneReport struct {
	Processes    float64      `cbor:"1,keyasint"` // that are heard of
	Observations Observations `cbor:"2,keyasint"`
}

// Add merges.
func (d Digest) Add(o Digest) {
	for zone, from := range o {
		d.add(zone, from.Processes, from.Observations)
	}
}

// AddProcess adds one process's sights.
func (d Digest) AddProcess(zone string, s Observations) { d.add(zone, 1, s) }

func (d Digest) add(zone string, processes float64, s Observations) {
	at := d[zone]
	if at.Observations == nil {
		at.Observations = Observations{}
	}
	at.Processes += processes
	at.Observations.Add(s)
	d[zone] = at
}

// bucket is what became of the steps in a part of the window.
type bucket struct {
	number int64
	counts StepCounts
	work   []float64
}

// zoneWindow is what one process has seen of one zone lately.
type zoneWindow struct {
	buckets          [bucketCount]bucket
	ignoreSentBefore time.Duration // steps sent earlier say nothing
	recent           [recentStepCount]completedStep
	next             int
	slots            float64
	warmupDeficit    float64
}

// completedStep is one that has ended.
type completedStep struct {
	at     time.Duration // 0: none
	failed bool
}

// assess tells how many steps it judges by, and whether the zone is well or fails by them.
func (s *zoneWindow) assess(now time.Duration) (n float64, good, bad bool) {
	for _, span := range [...]time.Duration{freshStepAge, maxStepAge} {
		failed := 0.0
		for _, l := range s.recent {
			if l.at > 0 && now-l.at <= span {
				n++
				if l.failed {
					failed++
				}
			}
		}
		if n > 0 {
			bad = failed >= failingRatio*n
			// That it went well a while ago says nothing of now; that it did not may be why
			// nothing has been sent since.
			return n, !bad && span == freshStepAge, bad
		}
	}
	return 0, false, false
}

// Monitor is what one process has seen of all zones lately. The zero value is not ready:
// see New.
type Monitor struct {
	classes   int
	startedAt time.Duration
	zones     map[string]*zoneWindow
}

// New makes the eyes of a process that has started at a time, with so many classes.
func New(now time.Duration, classes int) *Monitor {
	return &Monitor{classes: classes, startedAt: now, zones: map[string]*zoneWindow{}}
}

func (e *Monitor) bucketAt(now time.Duration, zone string) *bucket {
	s := e.zones[zone]
	if s == nil {
		s = &zoneWindow{}
		e.zones[zone] = s
	}
	n := int64(now / bucketLength)
	at := &s.buckets[n%bucketCount]
	if at.number != n || at.work == nil {
		work := at.work
		if work == nil {
			work = make([]float64, e.classes)
		}
		clear(work)
		*at = bucket{number: n, work: work}
	}
	return at
}

// RecordSent notes a step begun, and the slot-seconds that it will take.
func (e *Monitor) RecordSent(now time.Duration, zone string, class int, work float64) {
	at := e.bucketAt(now, zone)
	at.counts.Sent++
	if class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// RecordWork adds slot-seconds of work done in a zone, where they are known only at its end.
func (e *Monitor) RecordWork(now time.Duration, zone string, class int, work float64) {
	if at := e.bucketAt(now, zone); class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// RecordOutcome adds to what became of a step to a zone, sent at a time.
func (e *Monitor) RecordOutcome(now, sent time.Duration, zone string, c StepCounts) {
	at := e.bucketAt(now, zone)
	s := e.zones[zone]
	if sent < s.ignoreSentBefore {
		return
	}
	at.counts.Add(c)
	if c.Completed() > 0 {
		s.recent[s.next] = completedStep{now, c.FailureRatio() >= 0.5}
		s.next = (s.next + 1) % recentStepCount
	}
}

// Reset has nothing count that became or becomes of steps sent so far to a zone. How
// much is sent there stays known.
func (e *Monitor) Reset(now time.Duration, zone string) {
	if s := e.zones[zone]; s != nil {
		s.ignoreSentBefore, s.recent = now, [recentStepCount]completedStep{}
		for i := range s.buckets {
			s.buckets[i].counts = StepCounts{}
		}
	}
}

// SetCapacity sets what is known of a zone's prep workers: their slots, and the part of their
// capacity that they lack as they are cold.
func (e *Monitor) SetCapacity(now time.Duration, zone string, slots, warmupDeficit float64) {
	e.bucketAt(now, zone)
	s := e.zones[zone]
	s.slots, s.warmupDeficit = slots, warmupDeficit
}

// Observe sums up what is seen of a zone.
func (e *Monitor) Observe(now time.Duration, zone string) Observation {
	var out Observation
	s := e.zones[zone]
	if s == nil {
		return out
	}
	out.Slots, out.WarmupDeficit = s.slots, s.warmupDeficit
	n := int64(now / bucketLength)
	out.WorkRate = make([]float64, e.classes)
	for k := n; k > n-bucketCount && k >= 0; k-- {
		at := &s.buckets[k%bucketCount]
		if at.work == nil || at.number != k {
			continue
		}
		out.StepCounts.Add(at.counts)
		for c, w := range at.work {
			out.WorkRate[c] += w
		}
	}
	span := min(Window, max(now-e.startedAt, bucketLength)).Seconds()
	for c := range out.WorkRate {
		out.WorkRate[c] /= span
	}
	last, good, bad := s.assess(now)
	if out.RecentSteps = last; good || bad {
		out.Observers = 1
	}
	if bad {
		out.FailingObservers = 1
	}
	return out
}

// Observations sums up what is seen of all zones.
func (e *Monitor) Observations(now time.Duration) Observations {
	out := make(Observations, len(e.zones))
	for zone := range e.zones {
		out[zone] = e.Observe(now, zone)
	}
	return out
}
