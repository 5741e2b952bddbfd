package replica

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// eventLoop owns the node and the machine of a group. It has no goroutine of its own: turn does all that
// is due and next tells when it is to be called again.
type eventLoop struct {
	options      *Options
	node         consensusNode
	submitJob    func(writeJob) // hands a write to the log writer; does not block
	knownMembers map[consensus.MemberID]consensus.Member
	now          time.Duration
	status       consensus.Status // of the node, as of the last turn
	appliedIndex uint64           // by the machine
	proposals    pendingProposals
	reads        pendingReads
	transfers    pendingTransfers
	disk         diskHealth
	compaction   compaction
	fatalError   error // the group cannot go on

	lastPublished         Status
	publishedStatus       atomic.Pointer[Status] // for other goroutines
	publishedConfirmed    atomic.Int64           // Status.Confirmed of the node
	publishedDiskBytes    atomic.Int64           // bytes on disk
	publishedDurableIndex atomic.Uint64          // Status.Durable of the node
}

func newEventLoop(options *Options, node consensusNode, submit func(writeJob)) *eventLoop {
	l := &eventLoop{
		options:      options,
		node:         node,
		submitJob:    submit,
		knownMembers: map[consensus.MemberID]consensus.Member{},
		proposals:    pendingProposals{byIndex: map[uint64]*pendingProposal{}},
		reads:        pendingReads{confirming: map[uint64][]chan outcome{}},
	}
	l.disk.writable = true
	l.rememberMembers(options.Founders)
	l.publishedStatus.Store(&Status{Shard: options.Shard, Writable: true})
	return l
}

// iterate handles the events and everything that is due at this moment.
func (l *eventLoop) iterate(events []loopEvent) {
	l.now = l.options.Clock.Now()
	for _, one := range events {
		l.handleEvent(one)
	}
	if l.now >= l.nextTick() {
		l.node.Tick(l.now)
	}
	l.updateWritability()
	l.startReads()
	l.processReady(l.node.Ready())
	l.updateProposalDeadlines()
	l.expirePending()
	l.startCompaction()
	l.publish()
}

func (l *eventLoop) handleEvent(one loopEvent) {
	switch one := one.(type) {
	case messageEvent:
		l.node.Step(l.now, one.message)
	case proposeEvent:
		l.propose(one)
	case changeEvent:
		l.changeMembers(one)
	case readEvent:
		l.reads.queued = append(l.reads.queued, one.done)
	case transferEvent:
		l.transfer(one)
	case callEvent:
		one.function()
		one.done <- outcome{}
	case diskReport:
		l.handleDiskReport(one)
	}
}

// nextWakeUp returns when turn must be called at the latest.
func (l *eventLoop) nextWakeUp() time.Duration {
	return min(
		l.nextTick(),
		l.proposals.deadline(),
		l.transfers.nextDeadline(),
		l.disk.nextCheck(),
		l.compaction.nextAttempt(),
	)
}

// nextTick returns when the node must be told the time. A leader is told at whole multiples of the heartbeat, so that
// the heartbeats of all groups of the process go out together, and in one batch to each peer.
func (l *eventLoop) nextTick() time.Duration {
	next := l.node.NextTick()
	if l.status.Role != consensus.RoleLeader || next == consensus.NoTick {
		return next
	}
	interval := l.options.HeartbeatInterval
	return (next + interval - 1) / interval * interval
}

// processReady does what the node wants done.
func (l *eventLoop) processReady(ready consensus.Ready) {
	l.refreshStatus()
	if ready.Persist != nil {
		l.submitWrite(writeJob{persist: ready.Persist})
	}
	for _, message := range ready.Messages {
		l.options.Send(l.member(message.To), message)
	}
	if ready.Restore != nil {
		l.restore(ready.Restore)
	}
	if l.fatalError == nil {
		l.apply(ready.Committed)
	}
	for _, result := range ready.Reads {
		l.handleReadResult(result)
	}
	l.answerReads()
}

// restore gives the machine a snapshot's state.
func (l *eventLoop) restore(snapshot *consensus.Snapshot) {
	if err := l.options.StateMachine.Restore(snapshot.Index, snapshot.Data); err != nil {
		l.fatalError = err
		l.options.Logger.Error("the machine cannot take the snapshot",
			zap.Uint32("shard", uint32(l.options.Shard)), zap.Uint64("index", snapshot.Index), zap.Error(err))
		return
	}
	l.appliedIndex = snapshot.Index
	l.compaction.advance(snapshot.Index)
	l.proposals.resolveSkipped(snapshot.Index, l.options)
	l.notifyApplied()
}

// apply gives the machine the committed commands and answers those that wait for them.
func (l *eventLoop) apply(entries []consensus.Entry) {
	for _, entry := range entries {
		var result any
		if entry.Kind == consensus.EntryCommand {
			result = l.options.StateMachine.Apply(entry)
		}
		l.appliedIndex = entry.Index
		l.proposals.resolveApplied(entry, result, l.leader(), l.options)
	}
	if len(entries) > 0 {
		l.notifyApplied()
	}
}

func (l *eventLoop) notifyApplied() {
	if l.options.OnApplied != nil {
		l.options.OnApplied(l.appliedIndex)
	}
}

// refreshStatus takes over the node's state.
func (l *eventLoop) refreshStatus() {
	l.status = l.node.Status()
	l.rememberMembers(l.status.Members)
}

// rememberMembers remembers members' addresses, also of those that are removed later.
func (l *eventLoop) rememberMembers(members []consensus.Member) {
	for _, member := range members {
		if l.knownMembers[member.ID] != member {
			l.knownMembers[member.ID] = member
		}
	}
}

// member returns what is known of a member, its ID at least.
func (l *eventLoop) member(id consensus.MemberID) consensus.Member {
	if member, known := l.knownMembers[id]; known {
		return member
	}
	return consensus.Member{ID: id}
}

// leader returns the leader as of now, the zero value if none is known.
func (l *eventLoop) leader() consensus.Member {
	if l.status.Leader == 0 {
		return consensus.Member{}
	}
	return l.member(l.status.Leader)
}

// expirePending ends what has waited for too long.
func (l *eventLoop) expirePending() {
	l.proposals.expire(l.now)
	l.transfers.expire(l.now)
}

// stop answers all that waits.
func (l *eventLoop) stop(unhandled []loopEvent) {
	l.proposals.failAll(ErrUnknownOutcome)
	l.reads.failAll(ErrClosed)
	l.transfers.failAll(ErrClosed)
	for _, one := range unhandled {
		rejectClosed(one)
	}
}

// rejectClosed answers an event that came after the end.
func rejectClosed(one loopEvent) {
	closed := outcome{err: ErrClosed}
	switch one := one.(type) {
	case proposeEvent:
		one.done <- closed
	case changeEvent:
		one.done <- closed
	case readEvent:
		one.done <- closed
	case transferEvent:
		one.done <- closed
	case callEvent:
		one.done <- closed
	}
}
