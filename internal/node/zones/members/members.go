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
	Name          string
	Zone          string
	Incarnation   uint64
	LastHeartbeat time.Duration
	Sequence      uint64 // of its last word
}

// Table is all of them.
type Table struct {
	timeout time.Duration
	live    map[string]*Member
	expired map[string]uint64 // incarnations of those that fell silent, so that they stay void
}

// New makes a table of processes that count as alive for some time after a word.
func New(timeout time.Duration) *Table {
	return &Table{timeout: timeout, live: map[string]*Member{}, expired: map[string]uint64{}}
}

// HeartbeatResult is what becomes of a word.
type HeartbeatResult uint8

// The verdicts.
const (
	Accepted   HeartbeatResult = iota
	OutOfOrder                 // a word overtaken by a later one of the same process: nothing changes
	Superseded                 // of an incarnation that a later start has outdone: nothing changes
)

// Heartbeat takes in a word. Words of one incarnation are numbered from 1 by Sequence.
func (t *Table) Heartbeat(now time.Duration, name, zone string, incarnation, sequence uint64) (HeartbeatResult, uint64) {
	member := t.live[name]
	if member == nil {
		if lastIncarnation := t.expired[name]; incarnation < lastIncarnation {
			return Superseded, lastIncarnation
		}
		delete(t.expired, name)
		t.live[name] = &Member{Name: name, Zone: zone, Incarnation: incarnation, LastHeartbeat: now, Sequence: sequence}
		return Accepted, incarnation
	}
	switch {
	case incarnation < member.Incarnation:
		return Superseded, member.Incarnation
	case incarnation > member.Incarnation:
		*member = Member{Name: name, Incarnation: incarnation}
	case sequence <= member.Sequence:
		return OutOfOrder, member.Incarnation
	}
	member.Zone, member.Sequence, member.LastHeartbeat = zone, sequence, now
	return Accepted, incarnation
}

// Expire forgets who has been silent for too long, and returns their names.
func (t *Table) Expire(now time.Duration) (names []string) {
	for name, member := range t.live {
		if now-member.LastHeartbeat > t.timeout {
			t.expired[name] = member.Incarnation
			delete(t.live, name)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Live are those that have been heard of, by name.
func (t *Table) Live() []Member {
	out := make([]Member, 0, len(t.live))
	for _, name := range slices.Sorted(maps.Keys(t.live)) {
		out = append(out, *t.live[name])
	}
	return out
}

// Len is their number.
func (t *Table) Len() int { return len(t.live) }
