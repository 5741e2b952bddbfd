package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
)

// Group is the local replica of one replica group. Its methods may be called by any goroutine.
type Group struct {
	loop   *eventLoop // accessed only by Run's goroutine while Run runs
	writer *logWriter
	queue  *eventQueue

	mutex   sync.Mutex // guards started and closed
	started bool
	closed  bool

	stop    chan struct{}  // closed by Close
	running sync.WaitGroup // counts Run and the log writer
}

// Open recovers the group from its directory, or bootstraps it if BootstrapMembers are given and the directory is empty, and
// restores the state machine. The caller must then call Run, and finally Close. Errors: those of seglog.Open,
// consensus.ErrInvalidState, and those of the state machine and the file system.
func Open(options Options) (*Group, error) {
	options = options.withDefaults()
	started := time.Now()
	log, stored, err := openLog(&options)
	if err != nil {
		return nil, err
	}
	group, err := newGroup(&options, log, stored)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	fields := []zap.Field{
		zap.Uint32("shard", uint32(options.Shard)), zap.Duration("took", time.Since(started)),
		zap.Uint64("snapshot", stored.Snapshot.Index), zap.Int("logEntries", len(stored.Entries)), zap.Uint64("commit", stored.HardState.Commit),
	}
	options.Logger.Info("replica opened", append(fields, group.loop.load.total.logFields()...)...)
	return group, nil
}

// newGroup returns a group with the state that was recovered from its log.
func newGroup(options *Options, log logStorage, stored consensus.PersistedState) (*Group, error) {
	if err := stored.Check(); err != nil {
		return nil, err
	}
	group := &Group{queue: newEventQueue(), stop: make(chan struct{})}
	group.writer = newLogWriter(log, func(report diskReport) { group.queue.push(report) })
	node := newConsensusNode(options, stored, options.Clock.Now())
	group.loop = newEventLoop(options, node, group.writer.submit)
	group.loop.disk.logBytes, group.loop.disk.diskBytes = log.LogBytes(), log.DiskBytes()
	group.loop.iterate(nil)
	return group, group.loop.fatalError
}

// openLog recovers the log. If BootstrapMembers are given and the log is empty, it makes the initial state durable first.
func openLog(options *Options) (*seglog.Log, consensus.PersistedState, error) {
	log, stored, err := seglog.Open(seglog.Options{FileSystem: options.FileSystem, Directory: options.Directory})
	if err != nil || len(options.BootstrapMembers) == 0 || !isEmpty(&stored) {
		return log, stored, err
	}
	stored = consensus.Bootstrap(options.BootstrapMembers, options.StateMachine.Snapshot())
	bootstrap := consensus.PersistRequest{HardState: &stored.HardState, Snapshot: &stored.Snapshot}
	if err := log.Save([]*consensus.PersistRequest{&bootstrap}); err != nil {
		return nil, consensus.PersistedState{}, errors.Join(err, log.Close())
	}
	return log, stored, nil
}

// isEmpty reports whether the log has never stored anything.
func isEmpty(stored *consensus.PersistedState) bool {
	return stored.HardState == consensus.HardState{} && stored.Snapshot.Index == 0 && len(stored.Entries) == 0
}

// Run serves the group until ctx ends or Close is called. Pending calls then return ErrClosed or ErrUnknownOutcome. Run returns
// the state machine's error if a snapshot could not be restored, and ErrClosed if the group is closed or has been run before.
func (g *Group) Run(ctx context.Context) error {
	if !g.markStarted() {
		return ErrClosed
	}
	defer g.running.Done()
	stopWriter := make(chan struct{})
	defer close(stopWriter)
	g.running.Go(func() { g.writer.run(stopWriter) })
	g.runLoop(ctx)
	g.loop.stop(g.queue.close())
	return g.loop.fatalError
}

// markStarted marks the group as started. It returns false if the group is closed or was started before.
func (g *Group) markStarted() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.started {
		return false
	}
	g.started = true
	g.running.Add(1)
	return true
}

// runLoop iterates the event loop until the group is stopped or cannot continue.
func (g *Group) runLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.loop.fatalError == nil {
		if !g.waitForWork(ctx, timer) {
			return
		}
		g.loop.iterate(g.queue.drain())
	}
}

// waitForWork waits for the next event or timeout. It returns false if the group is stopped instead.
func (g *Group) waitForWork(ctx context.Context, timer *time.Timer) bool {
	var timeout <-chan time.Time
	if next := g.loop.nextWakeUp(); next != never {
		timer.Reset(next - g.loop.options.Clock.Now())
		timeout = timer.C
	}
	select {
	case <-g.queue.signal:
		return true
	case <-timeout:
		return true
	case <-ctx.Done():
		return false
	case <-g.stop:
		return false
	}
}

// Step passes a message from another member to the node. It does not block: the message is dropped if maxQueuedMessages are
// queued. The message must not be modified afterwards.
func (g *Group) Step(message consensus.Message) { g.queue.push(messageEvent{message}) }

// Propose appends a command to the log and returns the state machine's result and the entry's index once the entry is
// committed and applied here. Errors: NotLeaderError, ErrUnknownOutcome, ErrClosed, consensus.ErrTooManyUncommitted and
// consensus.ErrTransferInProgress. All errors but ErrUnknownOutcome mean that the command is not in the log and never will
// be, so that the caller may retry it.
func (g *Group) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	done := newOutcomeChannel()
	if !g.queue.push(proposeEvent{data: data, done: done}) {
		return nil, 0, ErrClosed
	}
	received := awaitOutcome(ctx, done, ErrUnknownOutcome)
	return received.result, received.index, received.err
}

// ReadBarrier returns once the state machine has applied everything that any member acknowledged before the call, so that
// a subsequent read is linearizable. Only the leader can confirm this. Errors: NotLeaderError, ErrClosed and the context's.
func (g *Group) ReadBarrier(ctx context.Context) error {
	done := newOutcomeChannel()
	return g.call(ctx, readEvent{done}, done, nil)
}

// ChangeMembers applies a membership change and returns once the change is committed and applied here. Errors: those of Propose,
// and consensus.ErrMembershipChange if the change is not possible at present.
func (g *Group) ChangeMembers(ctx context.Context, change MembershipChange) error {
	done := newOutcomeChannel()
	return g.call(ctx, changeEvent{change: change, done: done}, done, ErrUnknownOutcome)
}

// PromotableLearners returns the learners that could become voters now: they respond, and nearly all of the log is durable on
// them. Only the leader knows this; other members return none.
func (g *Group) PromotableLearners() []consensus.MemberID {
	var promotable []consensus.MemberID
	err := g.Do(func() {
		for _, member := range g.loop.node.Status().Members {
			if !member.Voter && g.loop.node.CanPromote(member.ID) {
				promotable = append(promotable, member.ID)
			}
		}
	})
	if err != nil {
		return nil
	}
	return promotable
}

// TransferLeadership transfers leadership to the most up-to-date other voter that is not excluded, and returns once this replica
// is no longer the leader. Errors: NotLeaderError, ErrTransferFailed, ErrClosed, consensus.ErrTransferInProgress, consensus.ErrNoTransferTarget
// and the context's.
func (g *Group) TransferLeadership(ctx context.Context, excluded ...consensus.MemberID) error {
	done := newOutcomeChannel()
	return g.call(ctx, transferEvent{excluded: excluded, done: done}, done, nil)
}

// TransferLeadershipTo transfers leadership to the given voter, or to the most up-to-date other one if the ID is 0, and
// returns once this replica is no longer the leader; a different voter may have been elected by then. Errors: those of
// TransferLeadership, with consensus.ErrNoTransferTarget also if the given member is not a voter or is this one.
func (g *Group) TransferLeadershipTo(ctx context.Context, to consensus.MemberID) error {
	done := newOutcomeChannel()
	return g.call(ctx, transferEvent{to: to, done: done}, done, nil)
}

// Do runs a function in the event loop, where it may read the state machine, and waits for it to return. The function must not
// call the group. Error: ErrClosed.
func (g *Group) Do(function func()) error {
	done := newOutcomeChannel()
	return g.call(context.Background(), callEvent{function: function, done: done}, done, nil)
}

// call queues an event that carries a call and waits for the answer. See awaitOutcome for timeoutError.
func (g *Group) call(ctx context.Context, event loopEvent, done chan outcome, timeoutError error) error {
	if !g.queue.push(event) {
		return ErrClosed
	}
	return awaitOutcome(ctx, done, timeoutError).err
}

// awaitOutcome returns the answer to a call. If the context ends first, the error is timeoutError, or that of the context if
// timeoutError is nil.
func awaitOutcome(ctx context.Context, done <-chan outcome, timeoutError error) outcome {
	select {
	case received := <-done:
		return received
	case <-ctx.Done():
	}
	if timeoutError == nil {
		timeoutError = ctx.Err()
	}
	return outcome{err: timeoutError}
}

// Status returns the last published status. It does not wait for the event loop.
func (g *Group) Status() Status { return g.loop.currentStatus() }

// StatusWithoutAge is like Status with a ConfirmedAge of 0. It does not read the clock.
func (g *Group) StatusWithoutAge() Status { return g.loop.currentStatusWithoutAge() }

// closeTimeout is how long Close waits for Run and the log writer to end.
const closeTimeout = 500 * time.Millisecond

// Close ends Run, waits for a write in progress and closes the files. ErrDiskStalled means that the write did not complete in
// time: the files then stay open until the process exits, and the data being written has not been reported as durable.
func (g *Group) Close() error { return g.closeWithin(closeTimeout) }

// closeWithin implements Close with the given timeout.
func (g *Group) closeWithin(timeout time.Duration) error {
	if !g.markClosed() {
		return nil
	}
	stopped := make(chan struct{})
	go func() {
		g.running.Wait()
		close(stopped)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		return ErrDiskStalled
	}
	g.loop.stop(g.queue.close())
	return g.writer.log.Close()
}

// markClosed marks the group as closed and stops Run. It returns false if the group was closed before.
func (g *Group) markClosed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return false
	}
	g.closed = true
	close(g.stop)
	return true
}
