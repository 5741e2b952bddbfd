package history

import (
	"fmt"
	"time"
)

// proof is the earliest evidence that an order was accepted.
type proof struct {
	at  time.Duration
	how string
}

// accepted returns the orders that are known to have been accepted, with the earliest proof of each.
func (h History) accepted() map[string]proof {
	taken := map[string]proof{}
	note := func(order string, at time.Duration, how string) {
		if earlier, known := taken[order]; order != "" && (!known || at < earlier.at) {
			taken[order] = proof{at: at, how: how}
		}
	}
	for _, operation := range h.Operations {
		if operation.Outcome == Acknowledged {
			note(operation.Order, operation.Return, operation.String())
		}
	}
	for _, view := range h.Views {
		note(view.Order, view.At, fmt.Sprintf("agent %d showed it at %v", view.Agent, view.At))
	}
	return taken
}

// checkOrders finds orders that were both accepted and rejected, and accepted ones that are invalid or were never sent.
func checkOrders(history History) []Violation {
	var found []Violation
	taken := history.accepted()
	sent := map[string]bool{}
	for _, operation := range history.Operations {
		if operation.Kind == Read {
			continue
		}
		sent[operation.Order] = true
		proof, known := taken[operation.Order]
		switch {
		case known && operation.Invalid:
			found = append(found, Violation{Check: CheckOrders, At: proof.at, Text: "an invalid order was taken: " + proof.how})
		case known && operation.Outcome == Rejected:
			found = append(found, Violation{Check: CheckOrders, At: operation.Return, Text: fmt.Sprintf("%v; but it was taken: %s", operation, proof.how)})
		}
	}
	for order, proof := range taken {
		if !sent[order] {
			found = append(found, Violation{Check: CheckOrders, At: proof.at, Text: fmt.Sprintf("order %q was never sent, but taken: %s", order, proof.how)})
		}
	}
	return found
}

// checkOneBody finds generations under which two orders were confirmed or shown.
func checkOneBody(history History) []Violation {
	var found []Violation
	first := map[uint64]string{}
	note := func(generation uint64, order string, at time.Duration) {
		if generation == 0 || order == "" {
			return
		}
		other, known := first[generation]
		if !known {
			first[generation] = order
			return
		}
		if other != order {
			found = append(found, Violation{Check: CheckOneBody, At: at, Text: fmt.Sprintf("generation %d has the orders %q and %q", generation, other, order)})
		}
	}
	for _, operation := range history.Operations {
		if operation.Outcome == Acknowledged {
			note(operation.Generation, operation.Order, operation.Return)
		}
	}
	for _, view := range history.Views {
		note(view.Generation, view.Order, view.At)
	}
	return found
}
