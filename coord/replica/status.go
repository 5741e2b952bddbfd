package replica

import (
	"slices"
	"time"

	"ospreybend/coord/consensus"
)

// publish makes the state visible to other goroutines and reports what has changed.
func (l *eventLoop) publish() {
	l.publishedConfirmed.Store(int64(l.status.ConfirmedAt))
	l.publishedDiskBytes.Store(l.disk.diskBytes)
	l.publishedDurableIndex.Store(l.status.DurableIndex)
	l.transfers.resolveIfNotLeader(l.status)
	changed := l.hasStatusChanged()
	if !changed && l.lastPublished.AppliedIndex == l.appliedIndex && l.lastPublished.CommitIndex == l.status.CommitIndex {
		return
	}
	l.lastPublished = l.buildStatus()
	copied := l.lastPublished
	l.publishedStatus.Store(&copied)
	if changed && l.options.OnStatus != nil {
		l.options.OnStatus(withAge(copied, l.status.ConfirmedAt, l.now))
	}
}

// hasStatusChanged tells whether anything but progress has changed.
func (l *eventLoop) hasStatusChanged() bool {
	previous := &l.lastPublished
	return previous.Role != l.status.Role ||
		previous.Term != l.status.Term ||
		previous.Leader != l.leader() ||
		previous.Writable != l.disk.writable ||
		!slices.Equal(previous.Members, l.status.Members)
}

func (l *eventLoop) buildStatus() Status {
	return Status{
		Shard:        l.options.Shard,
		Role:         l.status.Role,
		Term:         l.status.Term,
		Leader:       l.leader(),
		Members:      slices.Clone(l.status.Members),
		Retired:      slices.Clone(l.status.Retired),
		AppliedIndex: l.appliedIndex,
		CommitIndex:  l.status.CommitIndex,
		Writable:     l.disk.writable,
		DiskBytes:    l.disk.diskBytes,
	}
}

// currentStatus returns the last published state. Any goroutine may call it.
func (l *eventLoop) currentStatus() Status {
	return withAge(l.currentStatusWithoutAge(), time.Duration(l.publishedConfirmed.Load()), l.options.Clock.Now())
}

// currentStatusWithoutAge is read without the age, and asks no clock.
func (l *eventLoop) currentStatusWithoutAge() Status {
	status := *l.publishedStatus.Load()
	status.DiskBytes = l.publishedDiskBytes.Load()
	status.DurableIndex = l.publishedDurableIndex.Load()
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
