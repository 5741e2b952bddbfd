package failover

import (
	"math"
	"slices"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// decideAdmission decides what part of each class is let in while a part of the fleet is out:
// bookings first, then what is worth most a slot-second, as far as the rest can take it.
func (d *Decider) decideAdmission(now time.Duration, assessments map[string]Assessment, table, after *commands.Table) (map[string]float64, bool) {
	capacity, degraded := 0.0, false
	demand := make([]float64, len(d.classes))
	for name, assessment := range assessments {
		state := after.Zone(name)
		switch state.Phase {
		case commands.PhaseEvacuated, commands.PhaseProbing:
			degraded = true
		case commands.PhaseActive:
			capacity += assessment.Total.Slots
		default:
			degraded = true
			capacity += assessment.Total.Slots * state.Share
		}
		for i, w := range assessment.Total.WorkRate {
			if i < len(demand) {
				demand[i] += w
			}
		}
	}
	wanted := map[string]float64{}
	if degraded && capacity > 0 {
		for i, c := range d.classes {
			if fraction, ok := table.Admission[c.Name]; ok {
				demand[i] /= max(fraction, 0.01) // what was refused was asked for, too
			}
		}
		order := make([]int, len(d.classes))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := d.classes[a], d.classes[b]
			if x.NonIdempotent != y.NonIdempotent {
				return map[bool]int{true: -1, false: 1}[x.NonIdempotent]
			}
			return compareDescending(x.Value, y.Value)
		})
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
	}
	// A burst, as of clients whose process stood still, is queued for a moment; refusing it
	// would lose more.
	if len(wanted) == 0 {
		d.overloadedSince = 0
	} else if d.overloadedSince == 0 {
		d.overloadedSince = now
	}
	if len(wanted) > 0 && len(table.Admission) == 0 && now-d.overloadedSince < d.settings.OverloadGraceTime {
		return nil, false
	}
	significant := false
	for _, c := range d.classes {
		was, desired := admittedFraction(table.Admission, c.Name), admittedFraction(wanted, c.Name)
		significant = significant || math.Abs(was-desired) >= d.settings.MinAdmissionChange || was != desired && len(wanted) == 0
	}
	if !significant || len(wanted) > 0 && len(table.Admission) > 0 && now-d.admissionChangedAt < d.settings.MinStepTime {
		return nil, false
	}
	d.admissionChangedAt = now
	return wanted, true
}

func compareDescending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

func admittedFraction(m map[string]float64, class string) float64 {
	if v, ok := m[class]; ok {
		return v
	}
	return 1
}
