package replica

import (
	"fmt"
	"time"

	"ospreybend/coord/consensus"
)

// never is the due time of something that is not scheduled.
const never = time.Duration(1<<63 - 1)

// eventLoop owns the consensus node and the state machine of a group. It has no goroutine of its own: Group.Run, or a test,
// calls iterate with the queued events, and no later than nextWakeUp. Only that caller may access the fields, except published.
type eventLoop struct {
	options   *Options
	node      consensusNode
	submitJob func(writeJob) // hands a job to the log writer; does not block

	now          time.Duration     // read from the clock once in each iteration
	status       consensus.Status  // the node's status at the last refreshStatus
	appliedIndex uint64            // index of the last entry that the state machine applied
	unapplied    []consensus.Entry // committed entries that the state machine has not applied yet
	knownMembers map[consensus.MemberID]consensus.Member
	fatalError   error // why the group cannot continue; nil: it can

	// Calls that wait for an answer.
	proposals pendingProposals
	reads     pendingReads
	transfers pendingTransfers

	disk         diskHealth
	compaction   compaction
	confirmation confirmation
	published    publication
	load         loadMeter
}

// newEventLoop returns an event loop that assumes the disk to be writable.
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
	l.rememberMembers(options.BootstrapMembers)
	l.published.status.Store(&Status{Shard: options.Shard, Writable: true})
	return l
}

// iterate handles the events and everything else that is due now. The node's output is processed after all events,
// so that they share one write and one message to each peer.
func (l *eventLoop) iterate(events []loopEvent) {
	defer l.endIteration(time.Now(), l.load.total)
	l.now = l.options.Clock.Now()
	for _, event := range events {
		l.handleEvent(event)
	}
	if l.now >= l.nextTick() {
		l.node.Tick(l.now)
	}
	l.updateWritability()
	l.startReads()
	l.processReady(l.node.Ready())
	l.updateProposalDeadlines()
	l.expireCalls()
	l.startCompaction()
	l.transfers.resolveIfNotLeader(l.status)
	l.publish()
}

// handleEvent dispatches an event to its handler.
func (l *eventLoop) handleEvent(received loopEvent) {
	switch event := received.(type) {
	case messageEvent:
		l.node.Step(l.now, event.message)
	case proposeEvent:
		l.propose(event)
	case changeEvent:
		l.changeMembers(event)
	case readEvent:
		l.reads.queued = append(l.reads.queued, event.done)
	case transferEvent:
		l.transfer(event)
	case callEvent:
		event.function()
		event.done <- outcome{}
	case diskReport:
		l.handleDiskReport(event)
	}
}

// nextWakeUp returns the latest time at which iterate must be called again.
func (l *eventLoop) nextWakeUp() time.Duration {
	return min(
		l.nextTick(),
		l.nextApply(),
		l.proposals.nextDeadline(),
		l.transfers.nextDeadline(),
		l.disk.nextCheck(),
		l.compaction.nextAttempt(),
		l.confirmation.nextIteration(l.options.HeartbeatInterval, l.status.Role),
	)
}

// nextTick returns when the node must be ticked. A leader is ticked only at multiples of the heartbeat interval, so that the
// heartbeats of all groups of the process are sent together, in one batch to each peer.
func (l *eventLoop) nextTick() time.Duration {
	next := l.node.NextTick()
	if l.status.Role != consensus.RoleLeader || next == consensus.NoTick {
		return next
	}
	interval := l.options.HeartbeatInterval
	return (next + interval - 1) / interval * interval
}

// processReady processes the node's output: state to persist, messages to send, a received snapshot, committed entries and read
// results. The messages may be sent before the write completes: the node returns a message that depends on durable state, such
// as a vote or an acknowledgement, only after handleDiskReport has reported that state as persisted.
func (l *eventLoop) processReady(ready consensus.Ready) {
	l.refreshStatus()
	if ready.Persist != nil {
		l.submitWrite(writeJob{persist: ready.Persist})
	}
	for _, message := range ready.Messages {
		l.options.Send(l.memberByID(message.To), message)
	}
	if ready.Restore != nil {
		l.restore(ready.Restore)
	}
	if l.fatalError == nil {
		l.applyPending(ready.Committed)
	}
	for _, result := range ready.Reads {
		l.handleReadResult(result)
	}
	l.answerReads()
}

// restore replaces the state machine's state with a received snapshot.
func (l *eventLoop) restore(snapshot *consensus.Snapshot) {
	started := time.Now()
	err := l.options.StateMachine.Restore(snapshot.Index, snapshot.Data)
	l.load.total.RestoreTime += time.Since(started)
	if err != nil {
		l.fatalError = fmt.Errorf("restore the snapshot at index %d: %w", snapshot.Index, err)
		return
	}
	l.appliedIndex = snapshot.Index
	l.unapplied = entriesAfter(l.unapplied, snapshot.Index)
	l.compaction.recordSnapshot(snapshot.Index)
	l.proposals.resolveSkipped(snapshot.Index, l.options)
	l.notifyApplied()
}

// entriesAfter returns the entries whose index is above the given one. They are in ascending order.
func entriesAfter(entries []consensus.Entry, index uint64) []consensus.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// maxApplyTime is how long the event loop applies entries before it handles the events that have arrived meanwhile. It is well
// below a heartbeat interval, so that a replica that has many entries to apply still answers its leader, or as leader its
// followers.
const maxApplyTime = 20 * time.Millisecond

// applyPending executes the pending committed commands and then the newly committed ones, and answers the calls that proposed
// them. It leaves what it does not finish within maxApplyTime to the next iteration.
func (l *eventLoop) applyPending(committed []consensus.Entry) {
	if len(l.unapplied) == 0 {
		l.unapplied = committed
	} else {
		l.unapplied = append(l.unapplied, committed...)
	}
	started := time.Now()
	until := l.options.Clock.Now() + maxApplyTime
	count := 0
	for _, entry := range l.unapplied {
		if count > 0 && l.options.Clock.Now() >= until && l.options.enforces(GuardApplyInSlices) {
			break
		}
		l.applyEntry(entry)
		count++
	}
	if count == 0 {
		return
	}
	l.unapplied = l.unapplied[count:]
	if len(l.unapplied) == 0 {
		l.unapplied = nil
	}
	l.load.total.AppliedEntries += uint64(count)
	l.load.total.ApplyTime += time.Since(started)
	l.notifyApplied()
}

// applyEntry executes one committed entry and answers the call that proposed it.
func (l *eventLoop) applyEntry(entry consensus.Entry) {
	var result any
	if entry.Kind == consensus.EntryCommand {
		result = l.options.StateMachine.Apply(entry)
	}
	l.appliedIndex = entry.Index
	l.proposals.resolveApplied(entry, result, l.leader(), l.options)
}

// nextApply returns when applyPending is due: at once if entries are pending.
func (l *eventLoop) nextApply() time.Duration {
	if len(l.unapplied) == 0 {
		return never
	}
	return l.now
}

// notifyApplied calls Options.OnApplied.
func (l *eventLoop) notifyApplied() {
	if l.options.OnApplied != nil {
		l.options.OnApplied(l.appliedIndex)
	}
}

// refreshStatus updates the cached status of the node and the addresses of its members.
func (l *eventLoop) refreshStatus() {
	l.status = l.node.Status()
	l.rememberMembers(l.status.Members)
}

// rememberMembers stores the members' addresses. Those of removed members are kept, since messages are still sent to them.
func (l *eventLoop) rememberMembers(members []consensus.Member) {
	for _, member := range members {
		if l.knownMembers[member.ID] != member {
			l.knownMembers[member.ID] = member
		}
	}
}

// memberByID returns the member with the given ID, or one without an address if the member is unknown.
func (l *eventLoop) memberByID(id consensus.MemberID) consensus.Member {
	if member, known := l.knownMembers[id]; known {
		return member
	}
	return consensus.Member{ID: id}
}

// leader returns the current leader, or the zero value if the leader is unknown.
func (l *eventLoop) leader() consensus.Member {
	if l.status.Leader == 0 {
		return consensus.Member{}
	}
	return l.memberByID(l.status.Leader)
}

// expireCalls answers the calls whose deadline has passed.
func (l *eventLoop) expireCalls() {
	l.proposals.expire(l.now)
	l.transfers.expire(l.now)
}

// stop answers all pending calls, and the calls of the given unhandled events, when the group ends.
func (l *eventLoop) stop(unhandled []loopEvent) {
	l.proposals.failAll(ErrUnknownOutcome)
	l.reads.failAll(ErrClosed)
	l.transfers.failAll(ErrClosed)
	for _, event := range unhandled {
		event.reject(ErrClosed)
	}
}
