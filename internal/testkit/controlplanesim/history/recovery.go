package history

import (
	"fmt"
	"slices"
	"time"
)

// checkServeAgain finds disruptions of the core after which no operation is acknowledged within Bounds.ServeAgain, although no
// other disruption occurs in that time and at least one operation was sent to a server that is not partitioned.
func checkServeAgain(history History) []Violation {
	var found []Violation
	for _, at := range history.disruptions() {
		until := at + history.Bounds.ServeAgain
		if until > history.End || !history.noDisruptionBetween(at, until) {
			continue
		}
		called, answered := false, false
		for _, operation := range history.Operations {
			called = called || operation.Call >= at && operation.Call <= until-history.Bounds.Contact && !history.partitioned(operation.Machine, operation.Call)
			answered = answered || operation.Outcome == Acknowledged && operation.Call >= at && operation.Return <= until
		}
		if called && !answered {
			found = append(found, Violation{Check: CheckServeAgain, At: until, Text: fmt.Sprintf("no operation called since the disruption at %v was acknowledged", at)})
		}
	}
	return found
}

// disruptions returns the sorted start and end times of all faults of the core.
func (h History) disruptions() []time.Duration {
	var times []time.Duration
	for _, fault := range h.Faults {
		if fault.Core {
			times = append(times, fault.From, fault.To)
		}
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// noDisruptionBetween reports whether no fault of the core starts or ends after from and up to to, and no lasting fault is active
// at from.
func (h History) noDisruptionBetween(from, to time.Duration) bool {
	for _, fault := range h.Faults {
		if !fault.Core {
			continue
		}
		if from < fault.From && fault.From <= to || from < fault.To && fault.To <= to {
			return false
		}
		if fault.Lasting && fault.From <= from && from < fault.To {
			return false
		}
	}
	return true
}
