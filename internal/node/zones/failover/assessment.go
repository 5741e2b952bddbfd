package failover

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Condition is the condition of a zone as assessed from the observations.
type Condition uint8

// The conditions, in order of severity.
const (
	Healthy              Condition = iota
	Unknown                        // too few observations to assess it
	Overloaded                     // it works at full capacity: evacuating it would only move the overload
	Slow                           // its steps succeed, but are late more often than in the other zones
	PartiallyUnreachable           // some zones cannot reach it, others can
	Failed                         // no observing zone gets work done there
	Inconclusive                   // it looks failed, but more than MaxFailedCapacity of the fleet would be out of service
)

// conditionNames are part of the operators' interface and must not change.
var conditionNames = [...]string{"well", "unknown", "crowded", "slow", "cut", "fails", "undecided"}

// String returns the name of the condition in the operators' interface.
func (c Condition) String() string { return conditionNames[c] }

// Assessment is the condition of one zone and the observations that it is based on.
type Assessment struct {
	Condition           Condition
	Observers           []string           // zones whose observations show the condition
	ReachedFrom         []string           // zones that can reach it
	SustainableFraction float64            // of a slow zone: the fraction of its load that it can complete in time
	Total               health.Observation // merged over all observing zones
	OfferedWork         float64            // slot-seconds per second sent there, sum of all classes
}

// reachability tells whether the processes of one zone can reach another zone.
type reachability uint8

const (
	reachUnknown reachability = iota
	reachable
	unreachable
)

// String describes the condition and the observations behind it for operators.
func (a Assessment) String() string {
	total := &a.Total
	return fmt.Sprintf("%v, by %s, reached by %s: %.0f of %.0f processes see it fail; "+
		"of %.0f steps ended %.0f broken, %.0f silent, %.0f late; %.1f of %.1f slots at work",
		a.Condition, strings.Join(a.Observers, " "), strings.Join(a.ReachedFrom, " "), total.FailingObservers, total.Observers,
		total.Completed(), total.Failed, total.TimedOut, total.Late, a.OfferedWork, total.Slots)
}

// zoneViews holds what the processes of each zone observe of every zone.
type zoneViews struct {
	zones        []string                           // sorted
	reachability map[string]map[string]reachability // by observing and observed zone
	unreliable   map[string]bool                    // observing zones whose observations are ignored
}

// assessZones assesses all zones that report or are observed.
func (s Settings) assessZones(digest health.Digest, table *commands.Table) map[string]Assessment {
	views := s.collectViews(digest)
	assessments := map[string]Assessment{}
	for _, zone := range views.zones {
		assessments[zone] = s.assessZone(zone, table.Zone(zone).UnreachableFrom, views, digest)
	}
	s.markSlowZones(assessments)
	return assessments
}

// collectViews classifies what each zone observes of every zone.
func (s Settings) collectViews(digest health.Digest) zoneViews {
	var names []string
	for from, report := range digest {
		names = append(names, from)
		for to := range report.Observations {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	out := zoneViews{zones: slices.Compact(names), reachability: map[string]map[string]reachability{}, unreliable: map[string]bool{}}
	for _, from := range out.zones {
		report := digest[from]
		out.reachability[from] = map[string]reachability{}
		failing, known := 0, 0
		for _, to := range out.zones {
			reach := s.classify(report, report.Observations[to])
			out.reachability[from][to] = reach
			if reach != reachUnknown {
				known++
			}
			if reach == unreachable {
				failing++
			}
		}
		// If a zone sees most of the fleet fail, the zone itself is partitioned or the whole fleet is overloaded.
		out.unreliable[from] = failing > 0 && 2*failing > known
	}
	return out
}

// classify returns the reachability of a zone as observed by the processes of the zone from. A zone counts as
// unreachable only if it has at least two observers (one if only one process reports), more than the fraction Majority
// of them see it fail, and they saw enough steps: a single partitioned process must not decide this. If fewer see it
// fail, or none does, the zone counts as reachable, also by a single process.
func (s Settings) classify(from health.ZoneReport, observed health.Observation) reachability {
	switch {
	case observed.Observers == 0:
		return reachUnknown
	case observed.FailingObservers < s.Majority*observed.Observers || observed.FailingObservers == 0:
		return reachable
	case observed.FailingObservers > s.Majority*observed.Observers && observed.Observers >= min(2, from.Processes) &&
		observed.RecentSteps >= s.MinFailureSteps:
		return unreachable
	}
	return reachUnknown
}

// assessZone assesses one zone by the observations of the reliable zones. unreachableFrom are the zones that the table
// lists as unable to reach it: they hardly send there, and count as unable until they reach it again.
func (s Settings) assessZone(zone string, unreachableFrom []string, views zoneViews, digest health.Digest) Assessment {
	assessment := Assessment{Condition: Unknown}
	var failedFrom, reachedFrom []string
	for _, from := range views.zones {
		if observed, ok := digest[from].Observations[zone]; ok {
			assessment.Total.Add(observed)
		}
		if views.unreliable[from] {
			continue
		}
		switch reach := views.reachability[from][zone]; {
		case reach == reachable:
			reachedFrom = append(reachedFrom, from)
		case reach == unreachable, slices.Contains(unreachableFrom, from):
			failedFrom = append(failedFrom, from)
		}
	}
	for _, rate := range assessment.Total.WorkRate {
		assessment.OfferedWork += rate
	}
	assessment.ReachedFrom = reachedFrom
	switch {
	case len(failedFrom) == 0 && len(reachedFrom) == 0:
		return assessment
	case len(failedFrom) == 0:
		assessment.Condition, assessment.Observers = Healthy, reachedFrom
	case s.isOverloaded(assessment):
		assessment.Condition, assessment.Observers = Overloaded, failedFrom
	case len(reachedFrom) > 0:
		assessment.Condition, assessment.Observers = PartiallyUnreachable, failedFrom
	case len(failedFrom) >= s.MinObserverZones:
		assessment.Condition, assessment.Observers = Failed, failedFrom
	}
	return assessment
}

// isOverloaded reports whether a zone is offered at least its capacity and still serves the fraction
// OverloadSuccessRatio of its steps: its time-outs are then due to queueing.
func (s Settings) isOverloaded(assessment Assessment) bool {
	total := &assessment.Total
	return total.Slots > 0 && assessment.OfferedWork >= total.Slots && total.Succeeded >= s.OverloadSuccessRatio*total.Completed()
}

// minOnTimeRatio is the least divisor of the quotient of on-time ratios, which keeps it finite.
const minOnTimeRatio = 0.01

// markSlowZones marks as slow the healthy zones whose late ratio exceeds the median by SlowMargin. If all zones are
// late alike, none is marked.
func (s Settings) markSlowZones(assessments map[string]Assessment) {
	var lateRatios []float64
	for _, assessment := range assessments {
		if assessment.Condition == Healthy && assessment.Total.Succeeded >= s.MinSteps {
			lateRatios = append(lateRatios, assessment.Total.LateRatio())
		}
	}
	if len(lateRatios) < 2 {
		return
	}
	slices.Sort(lateRatios)
	median := lateRatios[(len(lateRatios)-1)/2]
	for name, assessment := range assessments {
		if assessment.Condition != Healthy || assessment.Total.Succeeded < s.MinSteps ||
			len(assessment.Observers) < min(s.MinObserverZones, len(lateRatios)) {
			continue
		}
		if ratio := assessment.Total.LateRatio(); ratio >= median+s.SlowMargin {
			assessment.Condition, assessment.SustainableFraction = Slow, (1-ratio)/max(1-median, minOnTimeRatio)
			assessments[name] = assessment
		}
	}
}
