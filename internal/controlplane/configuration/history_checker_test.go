package configuration

import (
	"bytes"
	"fmt"
	"net/http"
)

// historyChecker records all answers to commands and all accepted changes. Its methods return an error for a violation.
type historyChecker struct {
	acknowledged       map[commandDigest]bool   // commands answered with 200
	rejected           map[commandDigest]bool   // commands answered with 400 or 412
	acceptedGeneration map[commandDigest]uint64 // accepted commands, with the generation that they resulted in
	acceptedByBase     map[uint64]commandDigest // accepted command by the generation that it is based on
	lastGeneration     uint64                   // generation of the last accepted command
}

func newHistoryChecker() *historyChecker {
	return &historyChecker{
		acknowledged: map[commandDigest]bool{}, rejected: map[commandDigest]bool{},
		acceptedGeneration: map[commandDigest]uint64{}, acceptedByBase: map[uint64]commandDigest{},
	}
}

// clone returns an independent checker with the same history.
func (c *historyChecker) clone() *historyChecker {
	copied := newHistoryChecker()
	copied.lastGeneration = c.lastGeneration
	for digest := range c.acknowledged {
		copied.acknowledged[digest] = true
	}
	for digest := range c.rejected {
		copied.rejected[digest] = true
	}
	for digest, generation := range c.acceptedGeneration {
		copied.acceptedGeneration[digest] = generation
	}
	for base, digest := range c.acceptedByBase {
		copied.acceptedByBase[base] = digest
	}
	return copied
}

// recordApplied records the outcome of the next log entry.
func (c *historyChecker) recordApplied(command Command, outcome Outcome) error {
	if outcome.Code != CodeAccepted {
		return nil
	}
	digest := digestOf(command)
	switch before, twice := c.acceptedByBase[command.Base]; {
	case c.rejected[digest]:
		return fmt.Errorf("a command that was rejected is accepted: %s on base %d", command.Body, command.Base)
	case c.acceptedGeneration[digest] > 0:
		return fmt.Errorf("a command is accepted twice: %s on base %d", command.Body, command.Base)
	case twice && before != digest:
		return fmt.Errorf("two changes on base %d are accepted, the second is %s", command.Base, command.Body)
	case command.Base != c.lastGeneration:
		return fmt.Errorf("a change on base %d is accepted while generation %d is in force", command.Base, c.lastGeneration)
	case outcome.Generation <= c.lastGeneration:
		return fmt.Errorf("generation %d is accepted after generation %d", outcome.Generation, c.lastGeneration)
	}
	c.acceptedByBase[command.Base] = digest
	c.acceptedGeneration[digest] = outcome.Generation
	c.lastGeneration = outcome.Generation
	return nil
}

// recordAnswer records an answer to an operator.
func (c *historyChecker) recordAnswer(command Command, status int) error {
	digest := digestOf(command)
	switch status {
	case http.StatusOK:
		c.acknowledged[digest] = true
		if c.rejected[digest] {
			return fmt.Errorf("a command that was rejected is acknowledged: %s on base %d", command.Body, command.Base)
		}
		if c.acceptedGeneration[digest] == 0 {
			return fmt.Errorf("a command that was not accepted is acknowledged: %s on base %d", command.Body, command.Base)
		}
	case http.StatusBadRequest, http.StatusPreconditionFailed:
		c.rejected[digest] = true
		if c.acknowledged[digest] || c.acceptedGeneration[digest] > 0 {
			return fmt.Errorf("a command that was accepted or acknowledged is rejected: %s on base %d", command.Body, command.Base)
		}
	case http.StatusServiceUnavailable:
	default:
		return fmt.Errorf("unexpected status %d for %s on base %d", status, command.Body, command.Base)
	}
	return nil
}

// checkRead checks that the store has the generation that was accepted last.
func (c *historyChecker) checkRead(store *Store) error {
	if store.Generation() != c.lastGeneration {
		return fmt.Errorf("generation %d is read after generation %d was accepted", store.Generation(), c.lastGeneration)
	}
	return nil
}

// restartedStore returns a new store with the same options, restored from a snapshot of the given one.
func restartedStore(store *Store) (*Store, error) {
	fresh := NewStore()
	fresh.maxRemembered, fresh.omittedRules = store.maxRemembered, store.omittedRules
	if err := fresh.Restore(store.Snapshot()); err != nil {
		return nil, err
	}
	return fresh, nil
}

// sameState reports whether two stores have the same state, and therefore give the same results.
func sameState(store, other *Store) bool { return bytes.Equal(store.Snapshot(), other.Snapshot()) }
