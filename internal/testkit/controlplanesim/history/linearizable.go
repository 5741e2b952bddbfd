package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// searchBudget bounds the search for one history.
const searchBudget = 20 * time.Second

// forever is the return of what may take effect at any later time.
const forever = math.MaxInt64

// input is one step of the sequential model. Attempts of an order are put together: it takes effect once, after the
// first attempt that may have been accepted and before the first proof.
type input struct {
	step       step
	base       uint64
	generation uint64
	order      string
	proven     bool // of an effect: it must take place
}

// step is the kind of an input.
type step uint8

const (
	effectStep    step = iota // the order is accepted
	readStep                  // a read
	rejectionStep             // the order is rejected, since its base is not in force
	finishStep                // after all that is proven: what is not in force by then never will be
)

// state is what the model holds.
type state struct {
	generation uint64
	order      string
	finished   bool
}

// model is a register whose writes name the generation that they replace and a higher one.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(before, given, _ any) (bool, any) { return before.(state).apply(given.(input)) },
	DescribeOperation: func(given, _ any) string {
		i := given.(input)
		return fmt.Sprintf("%d %q %d on %d", i.step, i.order, i.generation, i.base)
	},
}

// apply returns whether a step is possible, and the state after it.
func (s state) apply(given input) (bool, state) {
	applies := given.base == s.generation && given.generation > s.generation
	switch given.step {
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

// checkLinearizable searches an order in time of all effects, rejections and reads. A search that does not end in time is a violation too.
func checkLinearizable(h History) []Violation {
	operations := h.modelOperations()
	result, info := porcupine.CheckOperationsVerbose(model, operations, searchBudget)
	switch result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return []Violation{{Check: CheckLinearizable, At: h.End, Text: fmt.Sprintf("the search among %d operations did not end in %v", len(operations), searchBudget)}}
	}
	return []Violation{{Check: CheckLinearizable, At: h.End, Text: explain(operations, info)}}
}

// modelOperations returns the model's operations: reads and rejections as they were called, the effects of orders, and the end.
func (h History) modelOperations() []porcupine.Operation {
	var all []porcupine.Operation
	for _, operation := range h.Operations {
		switch {
		case operation.Kind == Read && operation.Outcome == Acknowledged:
			all = append(all, asOperation(operation, readStep))
		case operation.Kind != Read && operation.Outcome == Rejected && !operation.Invalid:
			all = append(all, asOperation(operation, rejectionStep))
		}
	}
	all = append(all, h.effects()...)
	last := int64(h.End)
	for _, operation := range all {
		if operation.Return != forever {
			last = max(last, operation.Return)
		}
	}
	return append(all, porcupine.Operation{Input: input{step: finishStep}, Call: last + 1, Return: last + 2})
}

// effects returns those of the orders that were accepted or may have been: one for each order, from its first attempt that was
// not rejected until its first proof.
func (h History) effects() []porcupine.Operation {
	proofs := h.accepted()
	needed := h.needed(proofs)
	refused := h.rejected()
	at := map[string]int{}
	var effects []porcupine.Operation
	for _, operation := range h.Operations {
		if operation.Kind == Read || operation.Outcome == Rejected || operation.Invalid {
			continue
		}
		if i, known := at[operation.Order]; known {
			effects[i].Call = min(effects[i].Call, int64(operation.Call))
			continue
		}
		proof, proven := proofs[operation.Order]
		if !proven && (refused[operation.Order] || !needed[operation.Base]) {
			continue
		}
		made := porcupine.Operation{ClientId: operation.Client, Call: int64(operation.Call), Return: forever,
			Input: input{step: effectStep, base: operation.Base, generation: operation.Generation, order: operation.Order, proven: proven}}
		if proven {
			made.Return = max(int64(proof.at), made.Call)
		}
		at[operation.Order] = len(effects)
		effects = append(effects, made)
	}
	return effects
}

// rejected returns the orders of which an attempt was rejected: none of their attempts may take effect.
func (h History) rejected() map[string]bool {
	refused := map[string]bool{}
	for _, operation := range h.Operations {
		if operation.Outcome == Rejected {
			refused[operation.Order] = true
		}
	}
	return refused
}

// needed returns the generations upon which an order without proof may explain something: a rejection of another order upon
// the same one, or the base of an order that was accepted.
func (h History) needed(proofs map[string]proof) map[uint64]bool {
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

// asOperation is a step from the operation's call to its return.
func asOperation(o Operation, kind step) porcupine.Operation {
	return porcupine.Operation{
		ClientId: o.Client,
		Input:    input{step: kind, base: o.Base, generation: o.Generation, order: o.Order},
		Call:     int64(o.Call),
		Return:   max(int64(o.Return), int64(o.Call)),
	}
}

// explain names the operation at which the longest partial linearization ends.
func explain(operations []porcupine.Operation, info porcupine.LinearizationInfo) string {
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
		return "no order of the operations explains the answers"
	}
	return fmt.Sprintf("%d of %d operations have an order, then %s from %v to %v does not fit", len(longest), len(operations),
		model.DescribeOperation(operations[first].Input, nil), time.Duration(operations[first].Call), time.Duration(operations[first].Return))
}
