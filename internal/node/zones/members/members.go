// Package members is who lives among the fleet's processes: a table of those that one
// voter hears of. A process is known by its name and an incarnation that each of its
// starts raises, so that a word of a process that is gone is never taken for a living
// one's. It has no clock and no I/O.
package members

import (
	"maps"
	"slices"
	"time"
)

// Member is a process as one voter knows it.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64
	HeardAt     time.Duration
	Sequence    uint64 // of its last word
}

// Table is all of them.
type Table struct {
	life time.Duration
	all  map[string]*Member
	past map[string]uint64 // incarnations of those that fell silent, so that they stay void
}

// New makes a table of processes that count as alive for some time after a word.
func New(life time.Duration) *Table {
	return &Table{life: life, all: map[string]*Member{}, past: map[string]uint64{}}
}

// Verdict is what becomes of a word.
type Verdict uint8

// The verdicts.
const (
	Taken   Verdict = iota
	Late            // a word overtaken by a later one of the same process: nothing changes
	Outdone         // of an incarnation that a later start has outdone: nothing changes
)

// Hear takes in a word. Words of one incarnation are numbered from 1 by Sequence.
func (t *Table) Hear(now time.Duration, name, zone string, incarnation, sequence uint64) (Verdict, uint64) {
	m := t.all[name]
	if m == nil {
		if past := t.past[name]; incarnation < past {
			return Outdone, past
		}
		delete(t.past, name)
		t.all[name] = &Member{Name: name, Zone: zone, Incarnation: incarnation, HeardAt: now, Sequence: sequence}
		return Taken, incarnation
	}
	switch {
	case incarnation < m.Incarnation:
		return Outdone, m.Incarnation
	case incarnation > m.Incarnation:
		*m = Member{Name: name, Incarnation: incarnation}
	case sequence <= m.Sequence:
		return Late, m.Incarnation
	}
	m.Zone, m.Sequence, m.HeardAt = zone, sequence, now
	return Taken, incarnation
}

// Sweep forgets who has been silent for too long, and returns their names.
func (t *Table) Sweep(now time.Duration) (gone []string) {
	for name, m := range t.all {
		if now-m.HeardAt > t.life {
			t.past[name] = m.Incarnation
			delete(t.all, name)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// Alive are those that have been heard of, by name.
func (t *Table) Alive() []Member {
	out := make([]Member, 0, len(t.all))
	for _, name := range slices.Sorted(maps.Keys(t.all)) {
		out = append(out, *t.all[name])
	}
	return out
}

// Len is their number.
func (t *Table) Len() int { return len(t.all) }
