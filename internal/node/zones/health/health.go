// Package health records how route steps to each zone end, and merges the records of many
// processes.
//
// A process feeds a Monitor; the Monitor's Observations travel in its reports (package follower).
// A voter merges the reports of its processes into a Digest, and the leader merges the voters'
// digests and assesses the zones (package failover). Merging adds counts, so that a digest's size
// depends on the number of zones alone. The package has no clock and does no I/O.
package health

import (
	"slices"
	"time"
)

const (
	bucketCount  = 12                     // buckets of a window
	bucketLength = 250 * time.Millisecond // a window covers the last three seconds
	// A process assesses a zone by its last steps there: the fresh ones if there are any, else
	// older ones. A process that doubts a zone sends little there and must not forget why.
	recentStepCount = 5
	freshStepAge    = 2 * time.Second
	maxStepAge      = 10 * time.Second
	failingRatio    = 0.6 // failed or timed out fraction from which the zone counts as failing here
)

// Window is the time span that a process's counts cover.
const Window = bucketCount * bucketLength

// StepCounts counts route steps to one zone by how they ended. Fractional counts are allowed.
type StepCounts struct {
	Sent      float64 `cbor:"1,keyasint,omitempty"` // steps sent
	Succeeded float64 `cbor:"2,keyasint,omitempty"` // served, or rejected by a live prep worker
	Late      float64 `cbor:"3,keyasint,omitempty"` // succeeded, but past the latency target
	Failed    float64 `cbor:"4,keyasint,omitempty"` // connection refused or reset
	TimedOut  float64 `cbor:"5,keyasint,omitempty"` // not started within the start time-out
}

// Add adds other's counts.
func (c *StepCounts) Add(o StepCounts) {
	c.Sent += o.Sent
	c.Succeeded += o.Succeeded
	c.Late += o.Late
	c.Failed += o.Failed
	c.TimedOut += o.TimedOut
}

// Completed returns the number of steps with a known end.
func (c StepCounts) Completed() float64 { return c.Succeeded + c.Failed + c.TimedOut }

// FailureRatio returns the fraction of completed steps that failed or timed out; 0 if none completed.
func (c StepCounts) FailureRatio() float64 {
	if c.Completed() == 0 {
		return 0
	}
	return (c.Failed + c.TimedOut) / c.Completed()
}

// LateRatio returns the fraction of succeeded steps that were late; 0 if none succeeded.
func (c StepCounts) LateRatio() float64 {
	if c.Succeeded == 0 {
		return 0
	}
	return min(1, c.Late/c.Succeeded)
}

// Observation is what one or more processes observed of a zone.
type Observation struct {
	StepCounts
	Observers        float64   `cbor:"7,keyasint,omitempty"`  // processes with enough steps to judge
	FailingObservers float64   `cbor:"8,keyasint,omitempty"`  // those of them that see the zone failing
	RecentSteps      float64   `cbor:"12,keyasint,omitempty"` // the steps that the observers judge by
	Slots            float64   `cbor:"9,keyasint,omitempty"`  // of the zone's ready prep workers; the largest value that one process knows
	WarmupDeficit    float64   `cbor:"10,keyasint,omitempty"` // capacity fraction lacking as prep workers warm up; the largest value that one process knows
	WorkRate         []float64 `cbor:"11,keyasint,omitempty"` // slot-seconds per second sent there, by class
}

// Add merges another observation of the same zone.
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

// Observations are observations by zone name.
type Observations map[string]Observation

// Add merges other observations.
func (s Observations) Add(o Observations) {
	for zone, of := range o {
		at := s[zone]
		at.WorkRate = slices.Clone(at.WorkRate)
		at.Add(of)
		s[zone] = at
	}
}

// Digest is the merged observations of many processes, by the zone that the processes run in.
type Digest map[string]ZoneReport

// ZoneReport is the merged observations of the processes of one zone.
type ZoneReport struct {
	Processes    float64      `cbor:"1,keyasint"` // that report
	Observations Observations `cbor:"2,keyasint"`
}

// Add merges another digest.
func (d Digest) Add(o Digest) {
	for zone, from := range o {
		d.add(zone, from.Processes, from.Observations)
	}
}

// AddProcess merges the observations of one process that runs in a zone.
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

// bucket holds the counts of one bucketLength of the window.
type bucket struct {
	number int64
	counts StepCounts
	work   []float64
}

// zoneWindow is one process's sliding window over one zone.
type zoneWindow struct {
	buckets          [bucketCount]bucket
	ignoreSentBefore time.Duration // steps sent earlier are not counted
	recent           [recentStepCount]completedStep
	next             int
	slots            float64
	warmupDeficit    float64
}

// completedStep is the end of one step.
type completedStep struct {
	at     time.Duration // 0: the entry is unused
	failed bool
}

// assess returns the number of recent steps judged by, and whether they show the zone healthy or failing.
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
			// Old successes prove nothing about now; old failures may be the reason that nothing
			// has been sent since.
			return n, !bad && span == freshStepAge, bad
		}
	}
	return 0, false, false
}

// Monitor records what one process observes of all zones. Use New; the zero value is not ready. It
// belongs to one goroutine.
type Monitor struct {
	classes   int
	startedAt time.Duration
	zones     map[string]*zoneWindow
}

// New returns a monitor of a process started at now that serves the given number of classes.
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

// RecordSent records a step sent, and the slot-seconds that it will take.
func (e *Monitor) RecordSent(now time.Duration, zone string, class int, work float64) {
	at := e.bucketAt(now, zone)
	at.counts.Sent++
	if class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// RecordWork adds slot-seconds of work that are known only when a step has ended.
func (e *Monitor) RecordWork(now time.Duration, zone string, class int, work float64) {
	if at := e.bucketAt(now, zone); class >= 0 && class < len(at.work) {
		at.work[class] += work
	}
}

// RecordOutcome records the end of a step that was sent to a zone at the given time. It is ignored if
// the zone was reset after the step was sent.
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

// Reset discards the outcomes of all steps sent to a zone so far, also those that end later. The work
// sent there is kept.
func (e *Monitor) Reset(now time.Duration, zone string) {
	if s := e.zones[zone]; s != nil {
		s.ignoreSentBefore, s.recent = now, [recentStepCount]completedStep{}
		for i := range s.buckets {
			s.buckets[i].counts = StepCounts{}
		}
	}
}

// SetCapacity records the slots of a zone's ready prep workers, and the capacity fraction lacking as
// they warm up.
func (e *Monitor) SetCapacity(now time.Duration, zone string, slots, warmupDeficit float64) {
	e.bucketAt(now, zone)
	s := e.zones[zone]
	s.slots, s.warmupDeficit = slots, warmupDeficit
}

// Observe returns the observation of a zone over the window.
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

// Observations returns the observations of all zones over the window.
func (e *Monitor) Observations(now time.Duration) Observations {
	out := make(Observations, len(e.zones))
	for zone := range e.zones {
		out[zone] = e.Observe(now, zone)
	}
	return out
}
