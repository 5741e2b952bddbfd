package configuration

import (
	"errors"
	"testing"
)

// The answer to a command depends only on the log entries before it. Every race, duplicate, change of leader and truncation
// therefore corresponds to one sequence of commands, which does not contain the truncated entries.
// TestStore_everyCommandSequence runs all sequences up to maxSequenceLength.

const (
	// maxSequenceLength is the maximum number of commands in a sequence.
	maxSequenceLength = 5
	// smallMaxRemembered is a bound of remembered changes so small that sequences of this length exceed it.
	smallMaxRemembered = 1
)

// sequenceCommands returns the commands of two competing operators: some of the same generation, one that both send, one
// body on two bases, and an invalid one.
func sequenceCommands() []Command {
	return []Command{
		replaceCommand(0, randomConfiguration(5)),
		updateCommand(5, `{"generation":7}`), // sent by both operators
		updateCommand(7, `{"generation":9,"upsert":{"services":[{"name":"a"}]}}`),
		replaceCommand(0, configurationOf(5, nil, []string{exampleService})), // the generation of the first command
		updateCommand(5, `{"generation":7,"upsert":{"notes":1}}`),            // the generation of the second command
		updateCommand(0, `{"generation":7}`),                                 // the body of the second command on another base
		updateCommand(7, `{"generation":6}`),                                 // invalid: not above the base
	}
}

// errRestartDiffers is the violation that a snapshot does not contain the whole state.
var errRestartDiffers = errors.New("the state of a store differs after it is restored from its snapshot")

// sequenceSearch runs all sequences of its commands up to a length.
type sequenceSearch struct {
	commands  []Command
	maxLength int // of the longest sequence
	count     int // sequences run so far
}

// run applies each command to a copy of the store, which has applied depth commands, and continues with that copy. It
// returns the first violation.
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

// searchSequences runs all sequences up to the length on stores that remember maxRemembered changes and omit the given
// rules. It returns the number of sequences run, and the first violation.
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
			t.Errorf("stores that remember %d changes: violation in sequence %d: %v", maxRemembered, count, violation)
		}
		t.Logf("stores that remember %d changes: ran %d sequences", maxRemembered, count)
	}
}

// TestRules_omissionIsDetectedByCommandSequence checks that each rule is needed: without it, some sequence of commands causes
// a violation.
func TestRules_omissionIsDetectedByCommandSequence(t *testing.T) {
	for _, rule := range Rules() {
		for _, maxRemembered := range []int{maxRememberedChanges, smallMaxRemembered} {
			count, violation := searchSequences(maxRemembered, maxSequenceLength, rule)
			if violation != nil {
				t.Logf("without rule %s: violation in sequence %d: %v", rule, count, violation)
				break
			}
			if maxRemembered == smallMaxRemembered {
				t.Errorf("without rule %s: no violation in %d sequences, want one", rule, count)
			}
		}
	}
}
