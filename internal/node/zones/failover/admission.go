package failover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// minAdmittedFraction bounds the fraction by which offeredDemand divides the observed work, so that the result stays finite.
const minAdmittedFraction = 0.01

// decideAdmission returns the fraction of each class to admit while a zone does not take its full share, and whether
// it is to be committed. nextTable is the table with the zone changes of the same decision. Classes absent from the
// result are fully admitted.
func (d *Decider) decideAdmission(
	now time.Duration, assessments map[string]Assessment, table, nextTable *commands.Table,
) (map[string]float64, bool) {
	capacity, degraded := availableCapacity(assessments, nextTable)
	wanted := map[string]float64{}
	if degraded && capacity > 0 {
		wanted = d.allotCapacity(capacity, d.offeredDemand(assessments, table))
	}
	// A burst, for instance of clients that resume after a pause, is left to the queues for OverloadGraceTime:
	// rejecting it would lose more than the queueing.
	if len(wanted) == 0 {
		d.overloadedSince = 0
	} else if d.overloadedSince == 0 {
		d.overloadedSince = now
	}
	if len(wanted) > 0 && len(table.Admission) == 0 && now-d.overloadedSince < d.settings.OverloadGraceTime {
		return nil, false
	}
	if !d.admissionDiffers(table.Admission, wanted) ||
		len(wanted) > 0 && len(table.Admission) > 0 && now-d.admissionChangedAt < d.settings.MinStepTime {
		return nil, false
	}
	d.admissionChangedAt = now
	return wanted, true
}

// availableCapacity returns the slots of the serving zones, weighted by their shares, and whether any zone takes less
// than its full share.
func availableCapacity(assessments map[string]Assessment, nextTable *commands.Table) (capacity float64, degraded bool) {
	for name, assessment := range assessments {
		state := nextTable.Zone(name)
		switch {
		case !state.Phase.Serves():
			degraded = true
		case state.Phase == commands.PhaseActive:
			capacity += assessment.Total.Slots
		default:
			degraded = true
			capacity += assessment.Total.Slots * state.Share
		}
	}
	return capacity, degraded
}

// offeredDemand estimates the demand of the clients by class, in slot-seconds per second: the observed work divided by
// the fraction that the current table admits.
func (d *Decider) offeredDemand(assessments map[string]Assessment, table *commands.Table) []float64 {
	demand := make([]float64, len(d.classes))
	for _, assessment := range assessments {
		for i, rate := range assessment.Total.WorkRate {
			if i < len(demand) {
				demand[i] += rate
			}
		}
	}
	for i, class := range d.classes {
		if fraction, ok := table.Admission[class.Name]; ok {
			demand[i] /= max(fraction, minAdmittedFraction)
		}
	}
	return demand
}

// allotCapacity returns the admitted fractions of the classes whose demand does not fit into the capacity.
// Non-idempotent classes are served first, each group by descending value per slot-second.
func (d *Decider) allotCapacity(capacity float64, demand []float64) map[string]float64 {
	order := make([]int, len(d.classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := d.classes[a], d.classes[b]
		switch {
		case x.NonIdempotent && !y.NonIdempotent:
			return -1
		case y.NonIdempotent && !x.NonIdempotent:
			return 1
		}
		return cmp.Compare(y.Value, x.Value)
	})
	wanted := map[string]float64{}
	remaining := d.settings.MaxUtilization * capacity
	for _, i := range order {
		fraction := 1.0
		if demand[i] > remaining {
			fraction = remaining / demand[i]
		}
		remaining = max(0, remaining-demand[i])
		if fraction < 1 {
			wanted[d.classes[i].Name] = math.Round(fraction*100) / 100
		}
	}
	return wanted
}

// admissionDiffers reports whether the fraction of any class changes by at least MinAdmissionChange, or wanted ends
// all rejections.
func (d *Decider) admissionDiffers(current, wanted map[string]float64) bool {
	for _, class := range d.classes {
		before, after := admittedFraction(current, class.Name), admittedFraction(wanted, class.Name)
		if math.Abs(before-after) >= d.settings.MinAdmissionChange || before != after && len(wanted) == 0 {
			return true
		}
	}
	return false
}

func admittedFraction(admission map[string]float64, class string) float64 {
	if fraction, ok := admission[class]; ok {
		return fraction
	}
	return 1
}
