package replica

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// loop owns the node and the machine of a group. It has no goroutine of its own: turn does all that
// is due and next tells when it is to be called again.
type loop struct {
	options  *Options
	node     decider
	submit   func(job) // hands a write to the log writer; does not block
	known    map[consensus.MemberID]consensus.Member
	now      time.Duration
	status   consensus.Status // of the node, as of the last turn
	applied  uint64           // by the machine
	waiting  proposals
	reads    reads
	handOver transfers
	disk     diskHealth
	compact  compaction
	failure  error // the group cannot go on

	published    Status
	shared       atomic.Pointer[Status] // for other goroutines
	sharedAge    atomic.Int64           // Status.Confirmed of the node
	sharedWeight atomic.Int64           // bytes on disk
	sharedStable atomic.Uint64          // Status.Durable of the node
}

func newLoop(options *Options, node decider, submit func(job)) *loop {
	l := &loop{
		options: options,
		node:    node,
		submit:  submit,
		known:   map[consensus.MemberID]consensus.Member{},
		waiting: proposals{byIndex: map[uint64]*proposal{}},
		reads:   reads{rounds: map[uint64][]chan outcome{}},
	}
	l.disk.writable = true
	l.know(options.Founders)
	l.shared.Store(&Status{Shard: options.Shard, Writable: true})
	return l
}

// turn handles the events and everything that is due at this moment.
func (l *loop) turn(events []event) {
	l.now = l.options.Clock.Now()
	for _, one := range events {
		l.handle(one)
	}
	if l.now >= l.nextTick() {
		l.node.Tick(l.now)
	}
	l.checkDisk()
	l.startReads()
	l.carryOut(l.node.Ready())
	l.checkLeadership()
	l.expire()
	l.startCompaction()
	l.publish()
}

func (l *loop) handle(one event) {
	switch one := one.(type) {
	case messageEvent:
		l.node.Step(l.now, one.message)
	case proposeEvent:
		l.propose(one)
	case changeEvent:
		l.changeMembers(one)
	case readEvent:
		l.reads.fresh = append(l.reads.fresh, one.done)
	case transferEvent:
		l.transfer(one)
	case callEvent:
		one.function()
		one.done <- outcome{}
	case diskEvent:
		l.onDisk(one)
	}
}

// next returns when turn must be called at the latest.
func (l *loop) next() time.Duration {
	return min(
		l.nextTick(),
		l.waiting.deadline(),
		l.handOver.next(),
		l.disk.nextCheck(),
		l.compact.nextTry(),
	)
}

// nextTick returns when the node must be told the time. A leader is told at whole multiples of the heartbeat, so that
// the heartbeats of all groups of the process go out together, and in one batch to each peer.
func (l *loop) nextTick() time.Duration {
	next := l.node.NextTick()
	if l.status.Role != consensus.RoleLeader || next == consensus.NoTick {
		return next
	}
	beat := l.options.Heartbeat
	return (next + beat - 1) / beat * beat
}

// carryOut does what the node wants done.
func (l *loop) carryOut(ready consensus.Ready) {
	l.readNode()
	if ready.Persist != nil {
		l.write(job{persist: ready.Persist})
	}
	for _, message := range ready.Messages {
		l.options.Send(l.member(message.To), message)
	}
	if ready.Restore != nil {
		l.restore(ready.Restore)
	}
	if l.failure == nil {
		l.apply(ready.Committed)
	}
	for _, result := range ready.Reads {
		l.onRead(result)
	}
	l.answerReads()
}

// restore gives the machine a snapshot's state.
func (l *loop) restore(snapshot *consensus.Snapshot) {
	if err := l.options.Machine.Restore(snapshot.Index, snapshot.Data); err != nil {
		l.failure = err
		l.options.Logger.Error("the machine cannot take the snapshot",
			zap.Uint32("shard", uint32(l.options.Shard)), zap.Uint64("index", snapshot.Index), zap.Error(err))
		return
	}
	l.applied = snapshot.Index
	l.compact.covered(snapshot.Index)
	l.waiting.skipped(snapshot.Index, l.options)
	l.notifyApplied()
}

// apply gives the machine the committed commands and answers those that wait for them.
func (l *loop) apply(entries []consensus.Entry) {
	for _, entry := range entries {
		var result any
		if entry.Kind == consensus.EntryCommand {
			result = l.options.Machine.Apply(entry)
		}
		l.applied = entry.Index
		l.waiting.applied(entry, result, l.leader(), l.options)
	}
	if len(entries) > 0 {
		l.notifyApplied()
	}
}

func (l *loop) notifyApplied() {
	if l.options.OnApplied != nil {
		l.options.OnApplied(l.applied)
	}
}

// readNode takes over the node's state.
func (l *loop) readNode() {
	l.status = l.node.Status()
	l.know(l.status.Members)
}

// know remembers members' addresses, also of those that are removed later.
func (l *loop) know(members []consensus.Member) {
	for _, member := range members {
		if l.known[member.ID] != member {
			l.known[member.ID] = member
		}
	}
}

// member returns what is known of a member, its ID at least.
func (l *loop) member(id consensus.MemberID) consensus.Member {
	if member, known := l.known[id]; known {
		return member
	}
	return consensus.Member{ID: id}
}

// leader returns the leader as of now, the zero value if none is known.
func (l *loop) leader() consensus.Member {
	if l.status.Leader == 0 {
		return consensus.Member{}
	}
	return l.member(l.status.Leader)
}

// expire ends what has waited for too long.
func (l *loop) expire() {
	l.waiting.expire(l.now)
	l.handOver.expire(l.now)
}

// stop answers all that waits.
func (l *loop) stop(unhandled []event) {
	l.waiting.fail(ErrUnknownOutcome)
	l.reads.fail(ErrClosed)
	l.handOver.fail(ErrClosed)
	for _, one := range unhandled {
		refuse(one)
	}
}

// refuse answers an event that came after the end.
func refuse(one event) {
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
