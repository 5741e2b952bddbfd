// Package health counts the outcomes of route steps by zone and merges the counts of many processes.
//
// A process records its steps in a Monitor and sends the Monitor's Observations in its reports (package
// follower). A voter merges the reports of its processes into a Digest; the leader merges the voters'
// digests and assesses the zones (package failover). Merging adds counts, so that the size of a digest
// depends only on the number of zones. The package has no clock and does no I/O.
package health

import (
	"slices"
	"time"
)

const (
	bucketCount  = 12                     // number of buckets of a window
	bucketLength = 250 * time.Millisecond // 12 of them cover the last three seconds
	// A process assesses a zone by its last completed steps there: those not older than freshStepAge if
	// there are any, else those not older than maxStepAge. A process that saw a zone fail sends little
	// there, so the failures must count for longer.
	recentStepCount = 5
	freshStepAge    = 2 * time.Second
	maxStepAge      = 10 * time.Second
	failingRatio    = 0.6 // fraction of failed and timed out steps from which a process sees a zone as failing
)

// Window is the time span that the counts of a Monitor cover.
const Window = bucketCount * bucketLength

// StepCounts counts the route steps to one zone by outcome. Fractional counts are allowed.
type StepCounts struct {
	Sent      float64 `cbor:"1,keyasint,omitempty"` // steps sent
	Succeeded float64 `cbor:"2,keyasint,omitempty"` // served, or rejected by a live prep worker
	Late      float64 `cbor:"3,keyasint,omitempty"` // succeeded, but past the latency target
	Failed    float64 `cbor:"4,keyasint,omitempty"` // connection refused or reset
	TimedOut  float64 `cbor:"5,keyasint,omitempty"` // not started within the start time-out
}

// Add adds the counts of other.
func (c *StepCounts) Add(other StepCounts) {
	c.Sent += other.Sent
	c.Succeeded += other.Succeeded
	c.Late += other.Late
	c.Failed += other.Failed
	c.TimedOut += other.TimedOut
}

// Completed returns the number of steps with a known outcome.
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
	Observers        float64   `cbor:"7,keyasint,omitempty"`  // processes with steps to judge the zone by
	FailingObservers float64   `cbor:"8,keyasint,omitempty"`  // observers that see the zone failing
	RecentSteps      float64   `cbor:"12,keyasint,omitempty"` // recent steps of the processes; the observers judge by theirs
	Slots            float64   `cbor:"9,keyasint,omitempty"`  // slots of the zone's ready prep workers; the largest value of any process
	WarmupDeficit    float64   `cbor:"10,keyasint,omitempty"` // fraction of the capacity that is missing while prep workers warm up; the largest value of any process
	WorkRate         []float64 `cbor:"11,keyasint,omitempty"` // slot-seconds per second sent to the zone, by class
}

// Add merges another observation of the same zone.
func (o *Observation) Add(other Observation) {
	o.StepCounts.Add(other.StepCounts)
	o.Observers += other.Observers
	o.FailingObservers += other.FailingObservers
	o.RecentSteps += other.RecentSteps
	o.Slots = max(o.Slots, other.Slots)
	o.WarmupDeficit = max(o.WarmupDeficit, other.WarmupDeficit)
	for len(o.WorkRate) < len(other.WorkRate) {
		o.WorkRate = append(o.WorkRate, 0)
	}
	for i, rate := range other.WorkRate {
		o.WorkRate[i] += rate
	}
}

// Observations holds observations by the name of the observed zone.
type Observations map[string]Observation

// Add merges other into o. It does not modify other.
func (o Observations) Add(other Observations) {
	for zone, observed := range other {
		merged := o[zone]
		merged.WorkRate = slices.Clone(merged.WorkRate)
		merged.Add(observed)
		o[zone] = merged
	}
}

// Digest holds the merged observations of many processes by the zone in which the processes run.
type Digest map[string]ZoneReport

// ZoneReport holds the merged observations of the processes in one zone.
type ZoneReport struct {
	Processes    float64      `cbor:"1,keyasint"` // number of reporting processes
	Observations Observations `cbor:"2,keyasint"`
}

// Add merges another digest.
func (d Digest) Add(other Digest) {
	for zone, report := range other {
		d.add(zone, report.Processes, report.Observations)
	}
}

// AddProcess merges the observations of one process that runs in the given zone.
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

// bucket holds the counts of one interval of bucketLength.
type bucket struct {
	number int64 // index of the interval since time 0
	counts StepCounts
	work   []float64 // slot-seconds by class; nil: the bucket is unused
}

// zoneWindow holds the sliding window of counts of one zone.
type zoneWindow struct {
	buckets          [bucketCount]bucket
	ignoreSentBefore time.Duration // outcomes of steps sent earlier are not counted
	recent           [recentStepCount]completedStep
	nextRecent       int
	slots            float64
	warmupDeficit    float64
}

// completedStep is the outcome of one step.
type completedStep struct {
	endedAt time.Duration // 0: the entry is unused
	failed  bool
}

// assess returns the number of recent steps, and whether they show that the zone is healthy or failing. Neither is
// the case if the steps are too old to decide.
func (w *zoneWindow) assess(now time.Duration) (steps float64, healthy, failing bool) {
	for _, span := range [...]time.Duration{freshStepAge, maxStepAge} {
		failed := 0.0
		for _, ended := range w.recent {
			if ended.endedAt > 0 && now-ended.endedAt <= span {
				steps++
				if ended.failed {
					failed++
				}
			}
		}
		if steps > 0 {
			failing = failed >= failingRatio*steps
			// Old successes prove nothing about the present; old failures may be the reason why
			// nothing has been sent since.
			return steps, !failing && span == freshStepAge, failing
		}
	}
	return 0, false, false
}

// Monitor records what one process observes of all zones. The zero value is not usable; use New. A
// Monitor is not safe for concurrent use.
type Monitor struct {
	classCount int
	startedAt  time.Duration
	zones      map[string]*zoneWindow
}

// New returns the Monitor of a process started at now; classes is the number of request classes.
func New(now time.Duration, classes int) *Monitor {
	return &Monitor{classCount: classes, startedAt: now, zones: map[string]*zoneWindow{}}
}

// bucketAt returns the current bucket of a zone. It creates the zone's window if needed, and clears an outdated bucket.
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
			work = make([]float64, m.classCount)
		}
		clear(work)
		*current = bucket{number: number, work: work}
	}
	return current
}

// RecordSent records that a step was sent, with the slot-seconds that it will take as far as they are known.
func (m *Monitor) RecordSent(now time.Duration, zone string, class int, work float64) {
	current := m.bucketAt(now, zone)
	current.counts.Sent++
	if class >= 0 && class < len(current.work) {
		current.work[class] += work
	}
}

// RecordWork records the slot-seconds of a step that are known only after its end.
func (m *Monitor) RecordWork(now time.Duration, zone string, class int, work float64) {
	if current := m.bucketAt(now, zone); class >= 0 && class < len(current.work) {
		current.work[class] += work
	}
}

// RecordOutcome records the outcome of a step that was sent to a zone at sentAt. It is ignored if the
// zone was reset after the step was sent.
func (m *Monitor) RecordOutcome(now, sentAt time.Duration, zone string, counts StepCounts) {
	current := m.bucketAt(now, zone)
	window := m.zones[zone]
	if sentAt < window.ignoreSentBefore {
		return
	}
	current.counts.Add(counts)
	if counts.Completed() > 0 {
		window.recent[window.nextRecent] = completedStep{now, counts.FailureRatio() >= 0.5}
		window.nextRecent = (window.nextRecent + 1) % recentStepCount
	}
}

// Reset discards the outcomes of all steps sent to a zone so far, also of those that end later. The
// recorded work is kept.
func (m *Monitor) Reset(now time.Duration, zone string) {
	if window := m.zones[zone]; window != nil {
		window.ignoreSentBefore, window.recent = now, [recentStepCount]completedStep{}
		for i := range window.buckets {
			window.buckets[i].counts = StepCounts{}
		}
	}
}

// SetCapacity records the slots of a zone's ready prep workers, and the fraction of the capacity that is
// missing while they warm up.
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
	out.WorkRate = make([]float64, m.classCount)
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
