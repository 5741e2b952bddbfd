package history

import (
	"fmt"
	"slices"
	"time"
)

// checkServeAgain finds disruptions of the core after which nothing is answered within ServeAgain, though no other
// disruption falls into that time and somebody asked.
func checkServeAgain(h History) []Violation {
	var found []Violation
	for _, at := range h.disruptions() {
		until := at + h.Bounds.ServeAgain
		if until > h.End || !h.calm(at, until) {
			continue
		}
		asked, answered := false, false
		for _, operation := range h.Operations {
			asked = asked || operation.Call >= at && operation.Call <= until-h.Bounds.Contact
			answered = answered || operation.Outcome == Acknowledged && operation.Call >= at && operation.Return <= until
		}
		if asked && !answered {
			found = append(found, Violation{Check: CheckServeAgain, At: until, Text: fmt.Sprintf("nothing that was asked since the disruption at %v is answered", at)})
		}
	}
	return found
}

// disruptions are the instants at which something was done to the core, in order.
func (h History) disruptions() []time.Duration {
	var instants []time.Duration
	for _, trouble := range h.Troubles {
		if trouble.Core {
			instants = append(instants, trouble.From, trouble.To)
		}
	}
	slices.Sort(instants)
	return slices.Compact(instants)
}

// calm reports whether nothing is done to the core after the first instant up to the second, and no trouble lasts.
func (h History) calm(from, to time.Duration) bool {
	for _, trouble := range h.Troubles {
		if !trouble.Core {
			continue
		}
		if from < trouble.From && trouble.From <= to || from < trouble.To && trouble.To <= to {
			return false
		}
		if trouble.Lasting && trouble.From <= from && from < trouble.To {
			return false
		}
	}
	return true
}
