package failover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// minAdmittedFraction bounds the fraction by which observed demand is divided to estimate the demand before rejections.
const minAdmittedFraction = 0.01

// decideAdmission returns the fraction of each class to admit while zones are out of service, and whether that
// differs enough from the table to be committed. Classes absent from the result are fully admitted.
func (d *Decider) decideAdmission(
	now time.Duration, assessments map[string]Assessment, table, after *commands.Table,
) (map[string]float64, bool) {
	capacity, degraded := availableCapacity(assessments, after)
	wanted := map[string]float64{}
	if degraded && capacity > 0 {
		wanted = d.allotCapacity(capacity, d.offeredDemand(assessments, table))
	}
	// A burst, as of clients whose process was paused, is queued for a moment; rejecting it would lose more.
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

// availableCapacity returns the slots of the zones in service by their shares, and whether any zone takes less than
// its full share.
func availableCapacity(assessments map[string]Assessment, after *commands.Table) (capacity float64, degraded bool) {
	for name, assessment := range assessments {
		state := after.Zone(name)
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

// offeredDemand estimates the slot-seconds per second that clients ask for, by class: the work sent, corrected for
// what the present admission rejects.
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

// allotCapacity returns the fractions of the classes that do not fit. Non-idempotent classes are served first, then
// the classes of the highest value per slot-second.
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

// admissionDiffers reports whether any class's fraction changes by MinAdmissionChange, or rejections end.
func (d *Decider) admissionDiffers(present, wanted map[string]float64) bool {
	for _, class := range d.classes {
		before, after := admittedFraction(present, class.Name), admittedFraction(wanted, class.Name)
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
