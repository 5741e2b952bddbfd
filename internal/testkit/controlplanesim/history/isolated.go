package history

import (
	"fmt"
	"slices"
	"time"
)

// checkIsolated finds acknowledgements by servers that were partitioned from the majority for longer than their lease. Such
// servers must not acknowledge any change, read or heartbeat.
func checkIsolated(history History) []Violation {
	var found []Violation
	for _, operation := range history.Operations {
		if operation.Outcome == Acknowledged && history.isolated(operation.Machine, operation.Call, operation.Return) {
			found = append(found, Violation{Check: CheckIsolated, At: operation.Return, Text: "isolated server acknowledged " + operation.String()})
		}
	}
	for _, heartbeat := range history.Heartbeats {
		if history.isolated(heartbeat.Machine, heartbeat.Call, heartbeat.At) {
			found = append(found, Violation{Check: CheckIsolated, At: heartbeat.At,
				Text: fmt.Sprintf("isolated server %s acknowledged a heartbeat of %s", heartbeat.Machine, heartbeat.Instance)})
		}
	}
	return found
}

// isolated reports whether the machine was isolated between from and to, and its lease had already expired at from. A goroutine
// that stalls between checking the lease and sending the answer extends the lease by the time of the stall.
func (h History) isolated(machine string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Faults, func(fault Fault) bool {
		lease := fault.Lease + h.stallAt(machine, from)
		return slices.Contains(fault.Isolated, machine) && len(fault.Isolated) <= h.Tolerance && fault.From+lease <= from && to < fault.To
	})
}

// partitioned reports whether the machine is partitioned from the other servers at the given time.
func (h History) partitioned(machine string, at time.Duration) bool {
	return slices.ContainsFunc(h.Faults, func(fault Fault) bool {
		return slices.Contains(fault.Isolated, machine) && fault.From <= at && at < fault.To
	})
}

// stallAt returns the longest delay that goroutine stalls on the machine may cause at the given time. A stall still counts
// shortly after its fault has ended.
func (h History) stallAt(machine string, at time.Duration) (longest time.Duration) {
	for _, fault := range h.Faults {
		if slices.Contains(fault.Stalled, machine) && fault.From <= at && at < fault.To+2*fault.MaxStall {
			longest = max(longest, 2*fault.MaxStall) // one stall in the loop that publishes the contact and one in the loop that checks it
		}
	}
	return longest
}
