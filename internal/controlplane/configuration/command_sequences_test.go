package configuration

import (
	"errors"
	"testing"
)

// Each answer follows from the entries of the log before it, so that every race, duplicate, change of leader and truncation is
// one sequence of copies of the commands; truncated entries are not in it. TestStore_everyCommandSequence runs all sequences up
// to a length.

const (
	// maxSequenceLength is the greatest number of commands in a sequence.
	maxSequenceLength = 5
	// shortMaxAccepted is a bound of remembered changes that so short a sequence exceeds.
	smallMaxRemembered = 1
)

// sequenceCommands are three commands of each of two operators, with one that both send and one body on two bases.
func sequenceCommands() []Command {
	return []Command{
		replaceCommand(0, randomConfiguration(5)),
		updateCommand(5, `{"generation":7}`), // sent by both operators
		updateCommand(7, `{"generation":9,"upsert":{"services":[{"name":"a"}]}}`),
		replaceCommand(0, configurationOf(5, nil, []string{exampleService})), // the same number
		updateCommand(5, `{"generation":7,"upsert":{"notes":1}}`),            // the same number
		updateCommand(0, `{"generation":7}`),                                 // the same body on another base
		updateCommand(7, `{"generation":6}`),                                 // invalid
	}
}

// errRestartDiffers reports that a snapshot does not contain the whole state.
var errRestartDiffers = errors.New("a store differs after a restart")

// sequenceSearch runs all sequences of its commands.
type sequenceSearch struct {
	commands  []Command
	maxLength int // of the longest sequence
	count     int // sequences
}

// run applies each command after those that the store has applied, and recurses. It returns the first violation.
func (s *sequenceSearch) run(store *Store, history *historyChecker, depth int) error {
	if depth == s.maxLength {
		return nil
	}
	for _, command := range s.commands {
		next, err := restartedStore(store)
		if err != nil {
			return err
		}
		if !sameState(store, next) {
			return errRestartDiffers
		}
		s.count++
		extended := history.clone()
		outcome, _ := next.Apply(uint64(depth), EncodeCommand(command))
		if err := firstError(extended.recordApplied(command, outcome), extended.recordAnswer(command, outcome.HTTPStatus), extended.checkRead(next)); err != nil {
			return err
		}
		if err := s.run(next, extended, depth+1); err != nil {
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

// searchSequences runs all sequences on stores that remember maxAccepted changes and omit the rules.
func searchSequences(maxRemembered, length int, omit ...Rule) (count int, violation error) {
	store := NewStore(omit...)
	store.maxRemembered = maxRemembered
	search := sequenceSearch{commands: sequenceCommands(), maxLength: length}
	violation = search.run(store, newHistoryChecker(), 0)
	return search.count, violation
}

func TestStore_everyCommandSequence(t *testing.T) {
	for _, maxRemembered := range []int{maxRememberedChanges, smallMaxRemembered} {
		count, violation := searchSequences(maxRemembered, maxSequenceLength)
		if violation != nil {
			t.Errorf("%d remembered: %v", maxRemembered, violation)
		}
		t.Logf("%d remembered: %d sequences", maxRemembered, count)
	}
}

// TestRules_omissionIsDetectedByCommandSequence checks that each rule is needed: without it some sequence violates a promise.
func TestRules_omissionIsDetectedByCommandSequence(t *testing.T) {
	for _, rule := range Rules() {
		for _, maxRemembered := range []int{maxRememberedChanges, smallMaxRemembered} {
			count, violation := searchSequences(maxRemembered, maxSequenceLength, rule)
			if violation != nil {
				t.Logf("without %s: %v (sequence %d)", rule, violation, count)
				break
			}
			if maxRemembered == smallMaxRemembered {
				t.Errorf("no violation without %s in %d sequences", rule, count)
			}
		}
	}
}
