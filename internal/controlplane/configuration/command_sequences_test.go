package configuration

import (
	"fmt"
	"testing"
)

// All that an owner answers follows from the entries of the log before it, so every race, repeat, change of owner and
// truncation is one sequence of copies of the orders: what was truncated is not in it. TestEverySequenceOfOrders plays
// all of them up to a length.

const (
	// maxSequenceLength is how many copies of orders a sequence has at most.
	maxSequenceLength = 5
	// shortMaxAccepted is a bound of remembered changes that so short a sequence exceeds.
	shortMaxAccepted = 1
)

// sequenceCommands are three orders of each of two operators, with one that both send and one body on two bases.
func sequenceCommands() []Command {
	return []Command{
		replaceCommand(0, randomConfiguration(5)),
		updateCommand(5, `{"generation":7}`), // of both operators
		updateCommand(7, `{"generation":9,"upsert":{"services":[{"name":"a"}]}}`),
		replaceCommand(0, configurationOf(5, nil, []string{exampleService})), // the same number
		updateCommand(5, `{"generation":7,"upsert":{"notes":1}}`),            // the same number
		updateCommand(0, `{"generation":7}`),                                 // the same body on another base
		updateCommand(7, `{"generation":6}`),                                 // invalid
	}
}

// sequenceSearch plays all sequences.
type sequenceSearch struct {
	commands  []Command
	maxLength int // of the longest sequence
	played    int // sequences
}

// run puts each order after what a store has applied. It returns the first broken rule.
func (e *sequenceSearch) run(store *Store, history *historyChecker, depth int) error {
	if depth == e.maxLength {
		return nil
	}
	for _, command := range e.commands {
		next, err := restartedStore(store)
		if err != nil {
			return err
		}
		if !sameState(store, next) {
			return fmt.Errorf("a store is another one after a restart")
		}
		e.played++
		seen := history.clone()
		outcome, _ := next.Apply(uint64(depth), EncodeCommand(command))
		if err := firstError(seen.applied(command, outcome), seen.answered(command, outcome.HTTPStatus), seen.read(next)); err != nil {
			return err
		}
		if err := e.run(next, seen, depth+1); err != nil {
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

// searchSequences plays all sequences on stores that remember so many changes and leave rules out.
func searchSequences(maxAccepted, length int, omit ...Rule) (played int, broken error) {
	store := NewStore(omit...)
	store.maxAccepted = maxAccepted
	all := sequenceSearch{commands: sequenceCommands(), maxLength: length}
	broken = all.run(store, newHistoryChecker(), 0)
	return all.played, broken
}

func TestStore_everyCommandSequence(t *testing.T) {
	for _, maxAccepted := range []int{maxAcceptedChanges, shortMaxAccepted} {
		played, broken := searchSequences(maxAccepted, maxSequenceLength)
		if broken != nil {
			t.Errorf("%d remembered: %v", maxAccepted, broken)
		}
		t.Logf("%d remembered: %d sequences", maxAccepted, played)
	}
}

// Each rule is needed: without it some sequence breaks what an operator is promised.
func TestRules_omissionIsDetectedByCommandSequence(t *testing.T) {
	for _, rule := range Rules() {
		for _, maxAccepted := range []int{maxAcceptedChanges, shortMaxAccepted} {
			played, broken := searchSequences(maxAccepted, maxSequenceLength, rule)
			if broken != nil {
				t.Logf("without %s: %v (sequence %d)", rule, broken, played)
				break
			}
			if maxAccepted == shortMaxAccepted {
				t.Errorf("nothing breaks without %s in %d sequences", rule, played)
			}
		}
	}
}
