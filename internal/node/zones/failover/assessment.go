package failover

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Condition is what the fleet makes of a zone.
type Condition uint8

// The kinds, the mildest first.
const (
	Healthy              Condition = iota
	Unknown                        // too little is seen of it
	Overloaded                     // it serves all it can: leaving it would only move the crowd
	Slow                           // it serves, but later than the others
	PartiallyUnreachable           // some zones do not reach it, others do
	Failed                         // nobody reaches it or gets anything done there
	Inconclusive                   // it looks failed, but so does more than half of the fleet
)

var conditionNames = [...]string{"well", "unknown", "crowded", "slow", "cut", "fails", "undecided"}

// String names the kind.
func (k Condition) String() string { return conditionNames[k] }

// Assessment is what the fleet makes of one zone, and from whose evidence.
type Assessment struct {
	Condition           Condition
	Observers           []string // the zones that say so
	ReachedFrom         []string // the zones that reach it
	SustainableFraction float64  // of a slow one: the part that it keeps up with
	Total               health.Observation
	OfferedWork         float64 // slot-seconds a second sent there, all classes
}

// reachability is what one zone's processes see of another.
type reachability uint8

const (
	reachUnknown reachability = iota
	reachable
	unreachable
)

// String tells what and why.
func (v Assessment) String() string {
	return fmt.Sprintf("%v, by %s, reached by %s: %.0f of %.0f processes see it fail; of %.0f steps ended %.0f broken, %.0f silent, %.0f late; %.1f of %.1f slots at work",
		v.Condition, strings.Join(v.Observers, " "), strings.Join(v.ReachedFrom, " "), v.Total.FailingObservers, v.Total.Observers, v.Total.Completed(), v.Total.Failed, v.Total.TimedOut, v.Total.Late,
		v.OfferedWork, v.Total.Slots)
}

// assessZones makes the verdicts on all zones that anything is known of.
func (r Settings) assessZones(digest health.Digest, table *commands.Table) map[string]Assessment {
	var names []string
	for from, at := range digest {
		names = append(names, from)
		for to := range at.Observations {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	views := map[string]map[string]reachability{}
	unreliable := map[string]bool{}
	for _, from := range names {
		at := digest[from]
		views[from] = map[string]reachability{}
		failing, known := 0, 0
		for _, to := range names {
			v := r.classify(at, at.Observations[to])
			views[from][to] = v
			if v != reachUnknown {
				known++
			}
			if v == unreachable {
				failing++
			}
		}
		// Who sees most of the fleet fail is cut off itself, or all are crowded.
		unreliable[from] = failing > 0 && 2*failing > known
	}
	out := map[string]Assessment{}
	for _, zone := range names {
		out[zone] = r.assessZone(zone, table.Zone(zone).UnreachableFrom, names, views, unreliable, digest)
	}
	r.markSlowZones(out)
	return out
}

// classify is what the processes of a zone make of another. A single one of several, cut off
// by itself, condemns nobody: more than half of them have to see it, over enough steps. That
// it is reached one can tell alone.
func (r Settings) classify(from health.ZoneReport, s health.Observation) reachability {
	switch {
	case s.Observers == 0:
		return reachUnknown
	case s.FailingObservers < r.Majority*s.Observers || s.FailingObservers == 0:
		return reachable
	case s.FailingObservers > r.Majority*s.Observers && s.Observers >= min(2, from.Processes) && s.RecentSteps >= r.MinFailureSteps:
		return unreachable
	}
	return reachUnknown
}

func (r Settings) assessZone(zone string, unreachableFrom, names []string, views map[string]map[string]reachability, unreliable map[string]bool, digest health.Digest) Assessment {
	assessment := Assessment{Condition: Unknown}
	var failedFrom, reachedFrom []string
	for _, from := range names {
		if s, ok := digest[from].Observations[zone]; ok {
			assessment.Total.Add(s)
		}
		if unreliable[from] {
			continue
		}
		switch assessment := views[from][zone]; {
		case assessment == reachable:
			reachedFrom = append(reachedFrom, from)
		case assessment == unreachable, slices.Contains(unreachableFrom, from): // who was told to send nothing there has not reached it again
			failedFrom = append(failedFrom, from)
		}
	}
	for _, w := range assessment.Total.WorkRate {
		assessment.OfferedWork += w
	}
	assessment.ReachedFrom = reachedFrom
	switch {
	case len(failedFrom) == 0 && len(reachedFrom) == 0:
		return assessment
	case len(failedFrom) == 0:
		assessment.Condition, assessment.Observers = Healthy, reachedFrom
	case r.overloaded(assessment):
		assessment.Condition, assessment.Observers = Overloaded, failedFrom
	case len(reachedFrom) > 0:
		assessment.Condition, assessment.Observers = PartiallyUnreachable, failedFrom
	case len(failedFrom) >= r.MinObserverZones:
		assessment.Condition, assessment.Observers = Failed, failedFrom
	}
	return assessment
}

// overloaded tells whether a zone is offered more than it can do and still does much: what
// stays silent there waits in queues.
func (r Settings) overloaded(assessment Assessment) bool {
	return assessment.Total.Slots > 0 && assessment.OfferedWork >= assessment.Total.Slots && assessment.Total.Succeeded >= r.OverloadSuccessRatio*assessment.Total.Completed()
}

// markSlowZones holds the zones against each other: one that is late alone is slow, and where
// all are late nobody is.
func (r Settings) markSlowZones(assessments map[string]Assessment) {
	var lateRatios []float64
	for _, v := range assessments {
		if v.Condition == Healthy && v.Total.Succeeded >= r.MinSteps {
			lateRatios = append(lateRatios, v.Total.LateRatio())
		}
	}
	if len(lateRatios) < 2 {
		return
	}
	slices.Sort(lateRatios)
	median := lateRatios[(len(lateRatios)-1)/2]
	for name, v := range assessments {
		if v.Condition != Healthy || v.Total.Succeeded < r.MinSteps || len(v.Observers) < min(r.MinObserverZones, len(lateRatios)) {
			continue
		}
		if at := v.Total.LateRatio(); at >= median+r.SlowMargin {
			v.Condition, v.SustainableFraction = Slow, (1-at)/max(1-median, 0.01)
			assessments[name] = v
		}
	}
}
