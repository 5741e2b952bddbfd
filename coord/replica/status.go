package replica

import (
	"slices"
	"sync/atomic"
	"time"

	"ospreybend/coord/consensus"
)

// publication is the state that the event loop makes visible to other goroutines. Fields that change often are kept outside
// the status, so that publishing them does not allocate.
type publication struct {
	status       atomic.Pointer[Status]
	confirmedAt  atomic.Int64  // confirmation.trustedAt
	diskBytes    atomic.Int64  // Status.DiskBytes
	durableIndex atomic.Uint64 // Status.DurableIndex

	last Status // the latest published status; used by the event loop alone
}

// publish makes the current state visible to other goroutines and calls Options.OnStatus if hasStatusChanged.
func (l *eventLoop) publish() {
	l.confirmation.observe(l.now, l.options.HeartbeatInterval, l.status, l.isApplied())
	l.published.confirmedAt.Store(int64(l.confirmation.trustedAt))
	l.published.diskBytes.Store(l.disk.diskBytes)
	l.published.durableIndex.Store(l.status.DurableIndex)
	changed := l.hasStatusChanged()
	if !changed && l.published.last.AppliedIndex == l.appliedIndex && l.published.last.CommitIndex == l.status.CommitIndex {
		return
	}
	l.published.last = l.buildStatus()
	published := l.published.last
	l.published.status.Store(&published)
	if changed && l.options.OnStatus != nil {
		l.options.OnStatus(withAge(published, l.confirmation.trustedAt, l.now))
	}
}

// isApplied reports whether the state machine has applied everything that this replica knows to be committed.
func (l *eventLoop) isApplied() bool {
	return len(l.unapplied) == 0 || !l.options.enforces(GuardCurrentMeansApplied)
}

// hasStatusChanged reports whether the role, term, leader, writability or members changed since the last publication. Progress
// of the indexes and sizes does not count.
func (l *eventLoop) hasStatusChanged() bool {
	previous := &l.published.last
	return previous.Role != l.status.Role ||
		previous.Term != l.status.Term ||
		previous.Leader != l.leader() ||
		previous.Writable != l.disk.writable ||
		!slices.Equal(previous.Members, l.status.Members)
}

// buildStatus returns the current status without ConfirmedAge and DurableIndex.
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

// currentStatus returns the last published status. Any goroutine may call it.
func (l *eventLoop) currentStatus() Status {
	return withAge(l.currentStatusWithoutAge(), time.Duration(l.published.confirmedAt.Load()), l.options.Clock.Now())
}

// currentStatusWithoutAge is like currentStatus but does not read the clock. Any goroutine may call it.
func (l *eventLoop) currentStatusWithoutAge() Status {
	status := *l.published.status.Load()
	status.DiskBytes = l.published.diskBytes.Load()
	status.DurableIndex = l.published.durableIndex.Load()
	status.Load = l.load.load()
	return status
}

// withAge returns the status with its ConfirmedAge at now. A confirmedAt of 0 means that the replica was never confirmed.
func withAge(status Status, confirmedAt, now time.Duration) Status {
	status.ConfirmedAge = NeverConfirmed
	if confirmedAt > 0 {
		status.ConfirmedAge = max(now-confirmedAt, 0)
	}
	return status
}

// IsLeader reports whether this replica is the group's leader.
func (s Status) IsLeader() bool { return s.Role == consensus.RoleLeader }
