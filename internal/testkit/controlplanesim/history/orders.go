package history

import (
	"fmt"
	"time"
)

// proof is the earliest evidence that an order was accepted.
type proof struct {
	at     time.Duration
	source string
}

// acceptedOrders returns the orders that are known to have been accepted, with the earliest proof of each.
func (h History) acceptedOrders() map[string]proof {
	accepted := map[string]proof{}
	record := func(order string, at time.Duration, source string) {
		if earlier, known := accepted[order]; order != "" && (!known || at < earlier.at) {
			accepted[order] = proof{at: at, source: source}
		}
	}
	for _, operation := range h.Operations {
		if operation.Outcome == Acknowledged {
			record(operation.Order, operation.Return, operation.String())
		}
	}
	for _, view := range h.Views {
		record(view.Order, view.At, fmt.Sprintf("agent %d showed the order at %v", view.Agent, view.At))
	}
	return accepted
}

// checkOrders finds orders that were both accepted and rejected, and accepted orders that are invalid or were never sent.
func checkOrders(history History) []Violation {
	var found []Violation
	accepted := history.acceptedOrders()
	sent := map[string]bool{}
	for _, operation := range history.Operations {
		if operation.Kind == Read {
			continue
		}
		sent[operation.Order] = true
		proof, known := accepted[operation.Order]
		switch {
		case known && operation.Invalid:
			found = append(found, Violation{Check: CheckOrders, At: proof.at, Text: "an invalid order was accepted: " + proof.source})
		case known && operation.Outcome == Rejected:
			found = append(found, Violation{Check: CheckOrders, At: operation.Return, Text: fmt.Sprintf("%v, but the order was accepted: %s", operation, proof.source)})
		}
	}
	for order, proof := range accepted {
		if !sent[order] {
			found = append(found, Violation{Check: CheckOrders, At: proof.at, Text: fmt.Sprintf("order %q was accepted but never sent: %s", order, proof.source)})
		}
	}
	return found
}

// checkOneBody finds generations for which two different orders were acknowledged or shown.
func checkOneBody(history History) []Violation {
	var found []Violation
	first := map[uint64]string{}
	record := func(generation uint64, order string, at time.Duration) {
		if generation == 0 || order == "" {
			return
		}
		other, known := first[generation]
		if !known {
			first[generation] = order
			return
		}
		if other != order {
			found = append(found, Violation{Check: CheckOneBody, At: at, Text: fmt.Sprintf("generation %d was created by two orders, %q and %q", generation, other, order)})
		}
	}
	for _, operation := range history.Operations {
		if operation.Outcome == Acknowledged {
			record(operation.Generation, operation.Order, operation.Return)
		}
	}
	for _, view := range history.Views {
		record(view.Generation, view.Order, view.At)
	}
	return found
}
