package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// searchBudget limits the linearizability search of one history.
const searchBudget = 20 * time.Second

// noReturn is the return time of an operation that may take effect at any later time.
const noReturn = math.MaxInt64

// input is one step of the sequential model. All attempts of an order form a single step: the order takes effect once, after
// the start of the first attempt that may have been accepted and before the first evidence of acceptance.
type input struct {
	kind       stepKind
	base       uint64
	generation uint64
	order      string
	proven     bool // the order is known to have been accepted, so its effect is mandatory
}

// stepKind is the type of a model step.
type stepKind uint8

const (
	effectStep    stepKind = iota // the order is accepted
	readStep                      // a read returned the given order and generation
	rejectionStep                 // the order is rejected because its base is not the current generation
	finishStep                    // after all proven effects; orders without evidence that have not taken effect by then never do
)

// state is the state of the model.
type state struct {
	generation uint64
	order      string
	finished   bool
}

// model is a compare-and-set register: each write names the generation that it replaces and a higher one that it creates.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(current, given, _ any) (bool, any) { return current.(state).apply(given.(input)) },
	DescribeOperation: func(given, _ any) string {
		i := given.(input)
		return fmt.Sprintf("%d %q %d on %d", i.kind, i.order, i.generation, i.base)
	},
}

// apply returns whether the step is legal in state s, and the state after it.
func (s state) apply(given input) (bool, state) {
	applies := given.base == s.generation && given.generation > s.generation
	switch given.kind {
	case readStep:
		return s.generation == given.generation && s.order == given.order, s
	case rejectionStep:
		return !applies, s
	case finishStep:
		s.finished = true
		return true, s
	}
	if s.finished && !given.proven {
		return true, s
	}
	return applies && !s.finished, state{generation: given.generation, order: given.order}
}

// checkLinearizable searches for a linearization of all effects, rejections and reads. A search that exceeds searchBudget is
// also reported as a violation.
func checkLinearizable(h History) []Violation {
	operations := h.modelOperations()
	result, info := porcupine.CheckOperationsVerbose(model, operations, searchBudget)
	switch result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Violation{{Check: CheckLinearizable, At: h.End, Text: fmt.Sprintf("linearizability search over %d operations did not finish within %v", len(operations), searchBudget)}}
	}
	return []Violation{{Check: CheckLinearizable, At: h.End, Text: describeFailure(operations, info)}}
}

// modelOperations returns the input of the search: reads and rejections with their call times, effects of orders, and the final
// step.
func (h History) modelOperations() []porcupine.Operation {
	var all []porcupine.Operation
	for _, operation := range h.Operations {
		switch {
		case operation.Kind == Read && operation.Outcome == Acknowledged:
			all = append(all, newModelOperation(operation, readStep))
		case operation.Kind != Read && operation.Outcome == Rejected && !operation.Invalid:
			all = append(all, newModelOperation(operation, rejectionStep))
		}
	}
	all = append(all, h.effects()...)
	last := int64(h.End)
	for _, operation := range all {
		if operation.Return != noReturn {
			last = max(last, operation.Return)
		}
	}
	return append(all, porcupine.Operation{Input: input{kind: finishStep}, Call: last + 1, Return: last + 2})
}

// effects returns one model operation per order that was or may have been accepted. It lasts from the order's first attempt that
// was not rejected until the earliest evidence that the order was accepted.
func (h History) effects() []porcupine.Operation {
	proofs := h.acceptedOrders()
	bases := h.neededBases(proofs)
	rejected := h.rejectedOrders()
	indexes := map[string]int{}
	var effects []porcupine.Operation
	for _, operation := range h.Operations {
		if operation.Kind == Read || operation.Outcome == Rejected || operation.Invalid {
			continue
		}
		if i, known := indexes[operation.Order]; known {
			effects[i].Call = min(effects[i].Call, int64(operation.Call))
			continue
		}
		proof, proven := proofs[operation.Order]
		if !proven && (rejected[operation.Order] || !bases[operation.Base]) {
			continue
		}
		effect := porcupine.Operation{ClientId: operation.Client, Call: int64(operation.Call), Return: noReturn,
			Input: input{kind: effectStep, base: operation.Base, generation: operation.Generation, order: operation.Order, proven: proven}}
		if proven {
			effect.Return = max(int64(proof.at), effect.Call)
		}
		indexes[operation.Order] = len(effects)
		effects = append(effects, effect)
	}
	return effects
}

// rejectedOrders returns the orders with a rejected attempt. No attempt of such an order may take effect.
func (h History) rejectedOrders() map[string]bool {
	rejected := map[string]bool{}
	for _, operation := range h.Operations {
		if operation.Outcome == Rejected {
			rejected[operation.Order] = true
		}
	}
	return rejected
}

// neededBases returns the base generations for which the search must consider orders without evidence of acceptance: such an
// order may explain the rejection of another order with the same base, or may have created the base of an accepted order.
// Leaving out all other orders keeps the search small.
func (h History) neededBases(proofs map[string]proof) map[uint64]bool {
	needed := map[uint64]bool{}
	bases := map[uint64]bool{}
	for _, operation := range h.Operations {
		if operation.Kind == Read {
			continue
		}
		if operation.Outcome == Rejected {
			needed[operation.Base] = true
			bases[operation.Base] = true
		}
		if _, proven := proofs[operation.Order]; proven {
			bases[operation.Base] = true
		}
	}
	for changed := true; changed; {
		changed = false
		for _, operation := range h.Operations {
			if operation.Kind != Read && operation.Outcome != Rejected && bases[operation.Generation] && !needed[operation.Base] {
				needed[operation.Base], bases[operation.Base], changed = true, true, true
			}
		}
	}
	return needed
}

// newModelOperation returns a model step that spans the operation's call and return.
func newModelOperation(o Operation, kind stepKind) porcupine.Operation {
	return porcupine.Operation{
		ClientId: o.Client,
		Input:    input{kind: kind, base: o.Base, generation: o.Generation, order: o.Order},
		Call:     int64(o.Call),
		Return:   max(int64(o.Return), int64(o.Call)),
	}
}

// describeFailure names the first operation that does not fit into the longest partial linearization.
func describeFailure(operations []porcupine.Operation, info porcupine.LinearizationInfo) string {
	var longest []int
	for _, partition := range info.PartialLinearizations() {
		for _, candidate := range partition {
			if len(candidate) > len(longest) {
				longest = candidate
			}
		}
	}
	placed := map[int]bool{}
	for _, index := range longest {
		placed[index] = true
	}
	first := -1
	for i, operation := range operations {
		if !placed[i] && (first < 0 || operation.Return < operations[first].Return) {
			first = i
		}
	}
	if first < 0 {
		return "no linearization of the operations explains the answers"
	}
	return fmt.Sprintf("longest partial linearization has %d of %d operations; %s, called at %v and returned at %v, does not fit", len(longest), len(operations),
		model.DescribeOperation(operations[first].Input, nil), time.Duration(operations[first].Call), time.Duration(operations[first].Return))
}
