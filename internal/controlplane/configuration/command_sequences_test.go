package configuration

import (
	"fmt"
	"testing"
)

// All that an owner answers follows from the entries of the log before it, so every race, repeat, change of owner and
// truncation is one sequence of copies of the orders: what was truncated is not in it. TestEverySequenceOfOrders plays
// all of them up to a length.

const (
	// longestSequence is how many copies of orders a sequence has at most.
	longestSequence = 5
	// shortMemory is a bound of remembered changes that so short a sequence exceeds.
	shortMemory = 1
)

// exhaustedOrders are three orders of each of two operators, with one that both send and one body on two bases.
func exhaustedOrders() []Command {
	return []Command{
		replaceCommand(0, drawnWhole(5)),
		updateCommand(5, `{"generation":7}`), // of both operators
		updateCommand(7, `{"generation":9,"upsert":{"services":[{"name":"a"}]}}`),
		replaceCommand(0, wholeOf(5, nil, []string{exampleService})), // the same number
		updateCommand(5, `{"generation":7,"upsert":{"notes":1}}`),    // the same number
		updateCommand(0, `{"generation":7}`),                         // the same body on another base
		updateCommand(7, `{"generation":6}`),                         // invalid
	}
}

// exhaustion plays all sequences.
type exhaustion struct {
	orders []Command
	length int // of the longest sequence
	played int // sequences
}

// play puts each order after what a store has applied. It returns the first broken rule.
func (e *exhaustion) play(store *Store, history *judge, depth int) error {
	if depth == e.length {
		return nil
	}
	for _, command := range e.orders {
		next, err := restarted(store)
		if err != nil {
			return err
		}
		if !sameState(store, next) {
			return fmt.Errorf("a store is another one after a restart")
		}
		e.played++
		seen := history.clone()
		outcome, _ := next.Apply(uint64(depth), EncodeCommand(command))
		if err := firstError(seen.applied(command, outcome), seen.answered(command, outcome.Status), seen.read(next)); err != nil {
			return err
		}
		if err := e.play(next, seen, depth+1); err != nil {
			return err
		}
	}
	return nil
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// exhaust plays all sequences on stores that remember so many changes and leave rules out.
func exhaust(kept, length int, omit ...Rule) (played int, broken error) {
	store := NewStore(omit...)
	store.kept = kept
	all := exhaustion{orders: exhaustedOrders(), length: length}
	broken = all.play(store, newJudge(), 0)
	return all.played, broken
}

func TestEverySequenceOfOrders(t *testing.T) {
	for _, kept := range []int{acceptedKept, shortMemory} {
		played, broken := exhaust(kept, longestSequence)
		if broken != nil {
			t.Errorf("%d remembered: %v", kept, broken)
		}
		t.Logf("%d remembered: %d sequences", kept, played)
	}
}

// Each rule is needed: without it some sequence breaks what an operator is promised.
func TestEveryRuleIsMissedBySomeSequence(t *testing.T) {
	for _, rule := range Rules() {
		for _, kept := range []int{acceptedKept, shortMemory} {
			played, broken := exhaust(kept, longestSequence, rule)
			if broken != nil {
				t.Logf("without %s: %v (sequence %d)", rule, broken, played)
				break
			}
			if kept == shortMemory {
				t.Errorf("nothing breaks without %s in %d sequences", rule, played)
			}
		}
	}
}
