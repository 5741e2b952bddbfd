package configuration

import (
	"bytes"
	"fmt"
	"net/http"
)

// historyChecker follows all answers to commands and all accepted changes, and returns the first violation.
type historyChecker struct {
	acknowledged       map[commandDigest]bool   // commands that were answered with 200
	rejected           map[commandDigest]bool   // commands that were answered with 4xx
	acceptedGeneration map[commandDigest]uint64 // commands that were accepted, with the generation
	acceptedByBase     map[uint64]commandDigest // the command that was accepted on each base
	lastGeneration     uint64                   // accepted last
}

func newHistoryChecker() *historyChecker {
	return &historyChecker{
		acknowledged: map[commandDigest]bool{}, rejected: map[commandDigest]bool{},
		acceptedGeneration: map[commandDigest]uint64{}, acceptedByBase: map[uint64]commandDigest{},
	}
}

// clone returns a checker that has seen the same history.
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

// applied records the outcome of the next entry of the log.
func (c *historyChecker) recordApplied(command Command, outcome Outcome) error {
	if outcome.Code != CodeAccepted {
		return nil
	}
	digest := digestOf(command)
	switch before, twice := c.acceptedByBase[command.Base]; {
	case c.rejected[digest]:
		return fmt.Errorf("a rejected command is in force: %s on %d", command.Body, command.Base)
	case c.acceptedGeneration[digest] > 0:
		return fmt.Errorf("a command is accepted a second time: %s on %d", command.Body, command.Base)
	case twice && before != digest:
		return fmt.Errorf("two changes on the same base %d are accepted", command.Base)
	case command.Base != c.lastGeneration:
		return fmt.Errorf("a change on %d is accepted where %d is in force", command.Base, c.lastGeneration)
	case outcome.Generation <= c.lastGeneration:
		return fmt.Errorf("generation %d is accepted after %d", outcome.Generation, c.lastGeneration)
	}
	c.acceptedByBase[command.Base] = digest
	c.acceptedGeneration[digest] = outcome.Generation
	c.lastGeneration = outcome.Generation
	return nil
}

// answered records an answer to an operator.
func (c *historyChecker) recordAnswer(command Command, status int) error {
	digest := digestOf(command)
	switch status {
	case http.StatusOK:
		c.acknowledged[digest] = true
		if c.rejected[digest] {
			return fmt.Errorf("a rejected command is acknowledged: %s on %d", command.Body, command.Base)
		}
		if c.acceptedGeneration[digest] == 0 {
			return fmt.Errorf("a command that was not accepted is acknowledged: %s on %d", command.Body, command.Base)
		}
	case http.StatusBadRequest, http.StatusPreconditionFailed:
		c.rejected[digest] = true
		if c.acknowledged[digest] || c.acceptedGeneration[digest] > 0 {
			return fmt.Errorf("an accepted command is rejected: %s on %d", command.Body, command.Base)
		}
	case http.StatusServiceUnavailable:
	default:
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// read compares a configuration that was read with the one accepted last.
func (c *historyChecker) checkRead(store *Store) error {
	if store.Generation() != c.lastGeneration {
		return fmt.Errorf("generation %d is read where %d was accepted last", store.Generation(), c.lastGeneration)
	}
	return nil
}

// restartedStore returns a store restored from the snapshot of another.
func restartedStore(store *Store) (*Store, error) {
	fresh := NewStore()
	fresh.maxRemembered, fresh.omittedRules = store.maxRemembered, store.omittedRules
	if err := fresh.Restore(store.Snapshot()); err != nil {
		return nil, err
	}
	return fresh, nil
}

// sameState reports whether two stores have the same state, and so would answer alike.
func sameState(store, other *Store) bool { return bytes.Equal(store.Snapshot(), other.Snapshot()) }
