// Package members tracks which processes report to a voter.
//
// A process is identified by its name and an incarnation that grows with each of its starts, so that a
// delayed heartbeat of an earlier start is not mistaken for one of the current process. Package replica
// records the heartbeats and expires the members. The package has no clock and does no I/O.
package members

import (
	"maps"
	"slices"
	"time"
)

// Member is a process that reports to a voter.
type Member struct {
	Name          string
	Zone          string
	Incarnation   uint64
	LastHeartbeat time.Duration
	Sequence      uint64 // sequence number of its last accepted heartbeat
}

// Table is the membership table of one voter. It is not safe for concurrent use; the replica's goroutine owns it.
type Table struct {
	timeout time.Duration
	live    map[string]*Member
	expired map[string]uint64 // last incarnation of each expired process, so that earlier ones stay rejected
}

// New returns a table in which a process stays live for timeout after its last heartbeat.
func New(timeout time.Duration) *Table {
	return &Table{timeout: timeout, live: map[string]*Member{}, expired: map[string]uint64{}}
}

// HeartbeatResult tells whether and why a heartbeat was accepted.
type HeartbeatResult uint8

// The results of a heartbeat.
const (
	Accepted   HeartbeatResult = iota
	OutOfOrder                 // a later heartbeat of the same incarnation came first; it is ignored
	Superseded                 // it belongs to an earlier incarnation and is ignored
)

// Heartbeat records a heartbeat, and returns its result and the latest incarnation known for the name.
// sequence numbers the heartbeats of an incarnation from 1.
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

// Expire removes the processes whose last heartbeat is older than the timeout, and returns their names
// in sorted order.
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

// Live returns the live processes, sorted by name.
func (t *Table) Live() []Member {
	out := make([]Member, 0, len(t.live))
	for _, name := range slices.Sorted(maps.Keys(t.live)) {
		out = append(out, *t.live[name])
	}
	return out
}
