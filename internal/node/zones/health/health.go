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
func (c *StepCounts) Add(other StepCounts) {
	c.Sent += other.Sent
	c.Succeeded += other.Succeeded
	c.Late += other.Late
	c.Failed += other.Failed
	c.TimedOut += other.TimedOut
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
func (s *Observation) Add(other Observation) {
	s.StepCounts.Add(other.StepCounts)
	s.Observers += other.Observers
	s.FailingObservers += other.FailingObservers
	s.RecentSteps += other.RecentSteps
	s.Slots = max(s.Slots, other.Slots)
	s.WarmupDeficit = max(s.WarmupDeficit, other.WarmupDeficit)
	for len(s.WorkRate) < len(other.WorkRate) {
		s.WorkRate = append(s.WorkRate, 0)
	}
	for i, rate := range other.WorkRate {
		s.WorkRate[i] += rate
	}
}

// Observations are observations by zone name.
type Observations map[string]Observation

// Add merges other observations.
func (s Observations) Add(other Observations) {
	for zone, observed := range other {
		merged := s[zone]
		merged.WorkRate = slices.Clone(merged.WorkRate)
		merged.Add(observed)
		s[zone] = merged
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
func (d Digest) Add(other Digest) {
	for zone, from := range other {
		d.add(zone, from.Processes, from.Observations)
	}
}

// AddProcess merges the observations of one process that runs in a zone.
func (d Digest) AddProcess(zone string, observations Observations) { d.add(zone, 1, observations) }

func (d Digest) add(zone string, processes float64, observations Observations) {
	merged := d[zone]
	if merged.Observations == nil {
		merged.Observations = Observations{}
	}
	merged.Processes += processes
	merged.Observations.Add(observations)
	d[zone] = merged
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
func (w *zoneWindow) assess(now time.Duration) (steps float64, healthy, failing bool) {
	for _, span := range [...]time.Duration{freshStepAge, maxStepAge} {
		failed := 0.0
		for _, ended := range w.recent {
			if ended.at > 0 && now-ended.at <= span {
				steps++
				if ended.failed {
					failed++
				}
			}
		}
		if steps > 0 {
			failing = failed >= failingRatio*steps
			// Old successes prove nothing about now; old failures may be the reason that nothing
			// has been sent since.
			return steps, !failing && span == freshStepAge, failing
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

func (m *Monitor) bucketAt(now time.Duration, zone string) *bucket {
	window := m.zones[zone]
	if window == nil {
		window = &zoneWindow{}
		m.zones[zone] = window
	}
	number := int64(now / bucketLength)
	current := &window.buckets[number%bucketCount]
	if current.number != number || current.work == nil {
		work := current.work
		if work == nil {
			work = make([]float64, m.classes)
		}
		clear(work)
		*current = bucket{number: number, work: work}
	}
	return current
}

// RecordSent records a step sent, and the slot-seconds that it will take.
func (m *Monitor) RecordSent(now time.Duration, zone string, class int, work float64) {
	current := m.bucketAt(now, zone)
	current.counts.Sent++
	if class >= 0 && class < len(current.work) {
		current.work[class] += work
	}
}

// RecordWork adds slot-seconds of work that are known only when a step has ended.
func (m *Monitor) RecordWork(now time.Duration, zone string, class int, work float64) {
	if current := m.bucketAt(now, zone); class >= 0 && class < len(current.work) {
		current.work[class] += work
	}
}

// RecordOutcome records the end of a step that was sent to a zone at the given time. It is ignored if
// the zone was reset after the step was sent.
func (m *Monitor) RecordOutcome(now, sent time.Duration, zone string, counts StepCounts) {
	current := m.bucketAt(now, zone)
	window := m.zones[zone]
	if sent < window.ignoreSentBefore {
		return
	}
	current.counts.Add(counts)
	if counts.Completed() > 0 {
		window.recent[window.next] = completedStep{now, counts.FailureRatio() >= 0.5}
		window.next = (window.next + 1) % recentStepCount
	}
}

// Reset discards the outcomes of all steps sent to a zone so far, also those that end later. The work
// sent there is kept.
func (m *Monitor) Reset(now time.Duration, zone string) {
	if window := m.zones[zone]; window != nil {
		window.ignoreSentBefore, window.recent = now, [recentStepCount]completedStep{}
		for i := range window.buckets {
			window.buckets[i].counts = StepCounts{}
		}
	}
}

// SetCapacity records the slots of a zone's ready prep workers, and the capacity fraction lacking as
// they warm up.
func (m *Monitor) SetCapacity(now time.Duration, zone string, slots, warmupDeficit float64) {
	m.bucketAt(now, zone)
	window := m.zones[zone]
	window.slots, window.warmupDeficit = slots, warmupDeficit
}

// Observe returns the observation of a zone over the window.
func (m *Monitor) Observe(now time.Duration, zone string) Observation {
	var out Observation
	window := m.zones[zone]
	if window == nil {
		return out
	}
	out.Slots, out.WarmupDeficit = window.slots, window.warmupDeficit
	newest := int64(now / bucketLength)
	out.WorkRate = make([]float64, m.classes)
	for number := newest; number > newest-bucketCount && number >= 0; number-- {
		recorded := &window.buckets[number%bucketCount]
		if recorded.work == nil || recorded.number != number {
			continue
		}
		out.StepCounts.Add(recorded.counts)
		for class, work := range recorded.work {
			out.WorkRate[class] += work
		}
	}
	span := min(Window, max(now-m.startedAt, bucketLength)).Seconds()
	for class := range out.WorkRate {
		out.WorkRate[class] /= span
	}
	steps, healthy, failing := window.assess(now)
	if out.RecentSteps = steps; healthy || failing {
		out.Observers = 1
	}
	if failing {
		out.FailingObservers = 1
	}
	return out
}

// Observations returns the observations of all zones over the window.
func (m *Monitor) Observations(now time.Duration) Observations {
	out := make(Observations, len(m.zones))
	for zone := range m.zones {
		out[zone] = m.Observe(now, zone)
	}
	return out
}
