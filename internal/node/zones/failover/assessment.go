package failover

import (
	"fmt"
	"slices"
	"strings"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/health"
)

// Condition is the assessed condition of a zone.
type Condition uint8

// The conditions, the mildest first.
const (
	Healthy              Condition = iota
	Unknown                        // too few steps were observed
	Overloaded                     // it serves all it can: evacuating it would only move the overload
	Slow                           // it serves, but later than the other zones
	PartiallyUnreachable           // some zones cannot reach it, others can
	Failed                         // no zone reaches it or gets work done there
	Inconclusive                   // it looks failed, but so does more than MaxFailedCapacity of the fleet
)

// conditionNames are part of the operators' interface.
var conditionNames = [...]string{"well", "unknown", "crowded", "slow", "cut", "fails", "undecided"}

// String returns the condition's name as operators see it.
func (c Condition) String() string { return conditionNames[c] }

// Assessment is the condition of one zone and the observations that it rests on.
type Assessment struct {
	Condition           Condition
	Observers           []string           // the zones whose observations show the condition
	ReachedFrom         []string           // the zones that reach it
	SustainableFraction float64            // of a slow zone: the fraction of its load that it keeps up with
	Total               health.Observation // merged over all observing zones
	OfferedWork         float64            // slot-seconds per second sent there, all classes
}

// reachability is what one zone's processes observe of another zone.
type reachability uint8

const (
	reachUnknown reachability = iota
	reachable
	unreachable
)

// String describes the condition and its reasons for operators.
func (a Assessment) String() string {
	total := &a.Total
	return fmt.Sprintf("%v, by %s, reached by %s: %.0f of %.0f processes see it fail; "+
		"of %.0f steps ended %.0f broken, %.0f silent, %.0f late; %.1f of %.1f slots at work",
		a.Condition, strings.Join(a.Observers, " "), strings.Join(a.ReachedFrom, " "), total.FailingObservers, total.Observers,
		total.Completed(), total.Failed, total.TimedOut, total.Late, a.OfferedWork, total.Slots)
}

// views holds what each zone observes of the others.
type views struct {
	zones        []string // sorted
	reachability map[string]map[string]reachability
	unreliable   map[string]bool // zones whose observations do not count
}

// assessZones assesses all zones that report or are reported on.
func (s Settings) assessZones(digest health.Digest, table *commands.Table) map[string]Assessment {
	views := s.viewsOf(digest)
	assessments := map[string]Assessment{}
	for _, zone := range views.zones {
		assessments[zone] = s.assessZone(zone, table.Zone(zone).UnreachableFrom, views, digest)
	}
	s.markSlowZones(assessments)
	return assessments
}

func (s Settings) viewsOf(digest health.Digest) views {
	var names []string
	for from, report := range digest {
		names = append(names, from)
		for to := range report.Observations {
			names = append(names, to)
		}
	}
	slices.Sort(names)
	out := views{zones: slices.Compact(names), reachability: map[string]map[string]reachability{}, unreliable: map[string]bool{}}
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
		// A zone that sees most of the fleet fail is partitioned itself, or the whole fleet is overloaded.
		out.unreliable[from] = failing > 0 && 2*failing > known
	}
	return out
}

// classify returns what the processes of a zone observe of another. A zone counts as unreachable only if more than
// half of the observing processes, at least two where there are two, see it fail over enough steps: a single
// partitioned process decides nothing. That the zone is reachable a single process can show.
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

// assessZone assesses one zone by what the reliable zones observe of it. unreachableFrom are the zones that must
// send it nothing: until they reach it again they count as failing to.
func (s Settings) assessZone(zone string, unreachableFrom []string, views views, digest health.Digest) Assessment {
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
	case s.overloaded(assessment):
		assessment.Condition, assessment.Observers = Overloaded, failedFrom
	case len(reachedFrom) > 0:
		assessment.Condition, assessment.Observers = PartiallyUnreachable, failedFrom
	case len(failedFrom) >= s.MinObserverZones:
		assessment.Condition, assessment.Observers = Failed, failedFrom
	}
	return assessment
}

// overloaded reports whether a zone is offered more than its capacity and still completes many steps: its time-outs
// are then waits in queues.
func (s Settings) overloaded(assessment Assessment) bool {
	total := &assessment.Total
	return total.Slots > 0 && assessment.OfferedWork >= total.Slots && total.Succeeded >= s.OverloadSuccessRatio*total.Completed()
}

// minOnTimeRatio keeps the quotient of on-time ratios finite.
const minOnTimeRatio = 0.01

// markSlowZones compares the late ratios of the healthy zones: one far above the median is slow. Where all are late,
// none is.
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
