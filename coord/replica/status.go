package replica

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
)

// publish makes the state visible to other goroutines and reports what has changed.
func (l *loop) publish() {
	l.sharedAge.Store(int64(l.status.ConfirmedAt))
	l.sharedWeight.Store(l.disk.diskBytes)
	l.sharedStable.Store(l.status.DurableIndex)
	l.handOver.ended(l.status)
	changed := l.hasChanged()
	if !changed && l.published.Applied == l.applied && l.published.Commit == l.status.CommitIndex {
		return
	}
	l.published = l.describe()
	copied := l.published
	l.shared.Store(&copied)
	if changed && l.options.OnStatus != nil {
		l.options.OnStatus(withAge(copied, l.status.ConfirmedAt, l.now))
	}
}

// hasChanged tells whether anything but progress has changed.
func (l *loop) hasChanged() bool {
	before := &l.published
	return before.Role != l.status.Role ||
		before.Term != l.status.Term ||
		before.Leader != l.leader() ||
		before.Writable != l.disk.writable ||
		!slices.Equal(before.Members, l.status.Members)
}

func (l *loop) describe() Status {
	return Status{
		Shard:     l.options.Shard,
		Role:      l.status.Role,
		Term:      l.status.Term,
		Leader:    l.leader(),
		Members:   slices.Clone(l.status.Members),
		Retired:   slices.Clone(l.status.Retired),
		Applied:   l.applied,
		Commit:    l.status.CommitIndex,
		Writable:  l.disk.writable,
		DiskBytes: l.disk.diskBytes,
	}
}

// read returns the last published state. Any goroutine may call it.
func (l *loop) read() Status {
	return withAge(l.readTimeless(), time.Duration(l.sharedAge.Load()), l.options.Clock.Now())
}

// readTimeless is read without the age, and asks no clock.
func (l *loop) readTimeless() Status {
	status := *l.shared.Load()
	status.DiskBytes = l.sharedWeight.Load()
	status.Durable = l.sharedStable.Load()
	return status
}

func withAge(status Status, confirmed, now time.Duration) Status {
	status.ConfirmedAge = NeverConfirmed
	if confirmed > 0 {
		status.ConfirmedAge = max(now-confirmed, 0)
	}
	return status
}

// IsLeader tells whether this replica leads the group.
func (s Status) IsLeader() bool { return s.Role == consensus.RoleLeader }
