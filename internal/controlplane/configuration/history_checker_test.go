package configuration

import (
	"bytes"
	"fmt"
	"net/http"
)

// judge follows all answers to orders and all that was taken, and tells of the first rule that they break.
type judge struct {
	acknowledged map[digest]bool   // orders that somebody was told 200 for
	refused      map[digest]bool   // orders that somebody was told 4xx for
	taken        map[digest]uint64 // orders in force at some time, with the generation
	bases        map[uint64]digest // the order that was taken on each base
	newest       uint64            // generation that was taken last
}

func newJudge() *judge {
	return &judge{
		acknowledged: map[digest]bool{}, refused: map[digest]bool{},
		taken: map[digest]uint64{}, bases: map[uint64]digest{},
	}
}

// clone returns a judge that has seen the same.
func (j *judge) clone() *judge {
	copied := newJudge()
	copied.newest = j.newest
	for mark := range j.acknowledged {
		copied.acknowledged[mark] = true
	}
	for mark := range j.refused {
		copied.refused[mark] = true
	}
	for mark, generation := range j.taken {
		copied.taken[mark] = generation
	}
	for base, mark := range j.bases {
		copied.bases[base] = mark
	}
	return copied
}

// applied notes what became of the next entry of the log.
func (j *judge) applied(command Command, outcome Outcome) error {
	if outcome.Code != Accepted {
		return nil
	}
	mark := digestOf(command)
	switch before, twice := j.bases[command.Base]; {
	case j.refused[mark]:
		return fmt.Errorf("an order that was refused is in force: %s on %d", command.Body, command.Base)
	case j.taken[mark] > 0:
		return fmt.Errorf("an order is taken a second time: %s on %d", command.Body, command.Base)
	case twice && before != mark:
		return fmt.Errorf("two changes on the same base %d are taken", command.Base)
	case command.Base != j.newest:
		return fmt.Errorf("a change on %d is taken where %d is in force", command.Base, j.newest)
	case outcome.Generation <= j.newest:
		return fmt.Errorf("generation %d is taken after %d", outcome.Generation, j.newest)
	}
	j.bases[command.Base] = mark
	j.taken[mark] = outcome.Generation
	j.newest = outcome.Generation
	return nil
}

// answered notes what an operator is told.
func (j *judge) answered(command Command, status int) error {
	mark := digestOf(command)
	switch status {
	case http.StatusOK:
		j.acknowledged[mark] = true
		if j.refused[mark] {
			return fmt.Errorf("an order that was refused is acknowledged: %s on %d", command.Body, command.Base)
		}
		if j.taken[mark] == 0 {
			return fmt.Errorf("an order that was not taken is acknowledged: %s on %d", command.Body, command.Base)
		}
	case http.StatusBadRequest, http.StatusPreconditionFailed:
		j.refused[mark] = true
		if j.acknowledged[mark] || j.taken[mark] > 0 {
			return fmt.Errorf("an order that was taken is refused: %s on %d", command.Body, command.Base)
		}
	case http.StatusServiceUnavailable:
	default:
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// read compares a configuration that is read with what was taken last.
func (j *judge) read(store *Store) error {
	if store.Generation() != j.newest {
		return fmt.Errorf("generation %d is read where %d was taken last", store.Generation(), j.newest)
	}
	return nil
}

// restarted returns a store that has read the snapshot of another.
func restarted(store *Store) (*Store, error) {
	fresh := NewStore()
	fresh.kept, fresh.omitted = store.kept, store.omitted
	if err := fresh.Restore(store.Snapshot()); err != nil {
		return nil, err
	}
	return fresh, nil
}

// sameState tells whether two stores are the same and would answer alike.
func sameState(one, other *Store) bool { return bytes.Equal(one.Snapshot(), other.Snapshot()) }
