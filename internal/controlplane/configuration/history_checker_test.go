package configuration

import (
	"bytes"
	"fmt"
	"net/http"
)

// historyChecker follows all answers to orders and all that was taken, and tells of the first rule that they break.
type historyChecker struct {
	acknowledged map[commandDigest]bool   // orders that somebody was told 200 for
	rejected     map[commandDigest]bool   // orders that somebody was told 4xx for
	accepted     map[commandDigest]uint64 // orders in force at some time, with the generation
	bases        map[uint64]commandDigest // the order that was taken on each base
	generation   uint64                   // generation that was taken last
}

func newHistoryChecker() *historyChecker {
	return &historyChecker{
		acknowledged: map[commandDigest]bool{}, rejected: map[commandDigest]bool{},
		accepted: map[commandDigest]uint64{}, bases: map[uint64]commandDigest{},
	}
}

// clone returns a judge that has seen the same.
func (c *historyChecker) clone() *historyChecker {
	copied := newHistoryChecker()
	copied.generation = c.generation
	for digest := range c.acknowledged {
		copied.acknowledged[digest] = true
	}
	for digest := range c.rejected {
		copied.rejected[digest] = true
	}
	for digest, generation := range c.accepted {
		copied.accepted[digest] = generation
	}
	for base, digest := range c.bases {
		copied.bases[base] = digest
	}
	return copied
}

// applied notes what became of the next entry of the log.
func (c *historyChecker) applied(command Command, outcome Outcome) error {
	if outcome.Code != CodeAccepted {
		return nil
	}
	digest := digestOf(command)
	switch before, twice := c.bases[command.Base]; {
	case c.rejected[digest]:
		return fmt.Errorf("an order that was refused is in force: %s on %d", command.Body, command.Base)
	case c.accepted[digest] > 0:
		return fmt.Errorf("an order is taken a second time: %s on %d", command.Body, command.Base)
	case twice && before != digest:
		return fmt.Errorf("two changes on the same base %d are taken", command.Base)
	case command.Base != c.generation:
		return fmt.Errorf("a change on %d is taken where %d is in force", command.Base, c.generation)
	case outcome.Generation <= c.generation:
		return fmt.Errorf("generation %d is taken after %d", outcome.Generation, c.generation)
	}
	c.bases[command.Base] = digest
	c.accepted[digest] = outcome.Generation
	c.generation = outcome.Generation
	return nil
}

// answered notes what an operator is told.
func (c *historyChecker) answered(command Command, status int) error {
	digest := digestOf(command)
	switch status {
	case http.StatusOK:
		c.acknowledged[digest] = true
		if c.rejected[digest] {
			return fmt.Errorf("an order that was refused is acknowledged: %s on %d", command.Body, command.Base)
		}
		if c.accepted[digest] == 0 {
			return fmt.Errorf("an order that was not taken is acknowledged: %s on %d", command.Body, command.Base)
		}
	case http.StatusBadRequest, http.StatusPreconditionFailed:
		c.rejected[digest] = true
		if c.acknowledged[digest] || c.accepted[digest] > 0 {
			return fmt.Errorf("an order that was taken is refused: %s on %d", command.Body, command.Base)
		}
	case http.StatusServiceUnavailable:
	default:
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// read compares a configuration that is read with what was taken last.
func (c *historyChecker) read(store *Store) error {
	if store.Generation() != c.generation {
		return fmt.Errorf("generation %d is read where %d was taken last", store.Generation(), c.generation)
	}
	return nil
}

// restartedStore returns a store that has read the snapshot of another.
func restartedStore(store *Store) (*Store, error) {
	fresh := NewStore()
	fresh.maxAccepted, fresh.omittedRules = store.maxAccepted, store.omittedRules
	if err := fresh.Restore(store.Snapshot()); err != nil {
		return nil, err
	}
	return fresh, nil
}

// sameState tells whether two stores are the same and would answer alike.
func sameState(one, other *Store) bool { return bytes.Equal(one.Snapshot(), other.Snapshot()) }
