// Package replica drives one replica group: it owns the group's agreement node, its state machine
// and its log on disk, and takes proposals, reads and changes of members from the process.
//
// One goroutine, the loop, owns node and machine; a second one owns the log and writes all that
// waits with one sync. Between events both sleep: the loop until the node's next timeout.
package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
)

// Group is the local replica of one group. All methods may be called by any goroutine.
type Group struct {
	loop   *eventLoop
	writer *logWriter
	queue  *eventQueue

	mutex   sync.Mutex
	started bool
	closed  bool
	stop    chan struct{} // closed by Close
	running sync.WaitGroup
}

// Open reads the group's disk, forms the group if Founders are given and the disk is empty, and
// restores the machine. Run must be called after it, and Close at the end. Errors: those of
// seglog.Open, agreement.ErrStored, the machine's and those of the file system.
func Open(options Options) (*Group, error) {
	options = options.withDefaults()
	log, stored, err := openLog(&options)
	if err != nil {
		return nil, err
	}
	group, err := newGroup(&options, log, stored)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return group, nil
}

func newGroup(options *Options, log logStorage, stored consensus.PersistedState) (*Group, error) {
	if err := stored.Check(); err != nil {
		return nil, err
	}
	group := &Group{queue: newEventQueue(), stop: make(chan struct{})}
	group.writer = newLogWriter(log, func(report diskReport) { group.queue.push(report) })
	node := newNode(options, stored, options.Clock.Now())
	group.loop = newEventLoop(options, node, group.writer.submit)
	group.loop.disk.logBytes, group.loop.disk.diskBytes = log.LogBytes(), log.DiskBytes()
	group.loop.iterate(nil)
	return group, group.loop.fatalError
}

// openLog reads the disk and writes the founding state to an empty one if it is to found the group.
func openLog(options *Options) (*seglog.Log, consensus.PersistedState, error) {
	log, stored, err := seglog.Open(seglog.Options{FileSystem: options.FileSystem, Directory: options.Directory})
	if err != nil || len(options.Founders) == 0 || !isEmpty(&stored) {
		return log, stored, err
	}
	stored = consensus.Bootstrap(options.Founders, options.StateMachine.Snapshot())
	founding := consensus.PersistRequest{HardState: &stored.HardState, Snapshot: &stored.Snapshot}
	if err := log.Save([]*consensus.PersistRequest{&founding}); err != nil {
		return nil, consensus.PersistedState{}, errors.Join(err, log.Close())
	}
	return log, stored, nil
}

func isEmpty(stored *consensus.PersistedState) bool {
	return stored.HardState == consensus.HardState{} && stored.Snapshot.Index == 0 && len(stored.Entries) == 0
}

// Run works until ctx ends or Close is called. Every waiting call then ends with ErrClosed or
// ErrUnknownOutcome. The error is the machine's if it could not take a snapshot.
func (g *Group) Run(ctx context.Context) error {
	if !g.markStarted() {
		return ErrClosed
	}
	defer g.running.Done()
	ended := make(chan struct{})
	defer close(ended)
	g.running.Go(func() { g.writer.run(ended) })
	g.runLoop(ctx)
	g.loop.stop(g.queue.close())
	return g.loop.fatalError
}

// markStarted returns false if the group is closed or runs already.
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

// waitForWork returns at the next event or timeout, and false at the end.
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

// Step takes a message of another member. It does not block; messages beyond a bound are dropped.
// The message must not be changed afterwards.
func (g *Group) Step(message consensus.Message) { g.queue.push(messageEvent{message}) }

// Propose adds a command to the log and returns the machine's result and the entry's index once it
// is committed and applied here. Errors: ErrNotLeader, ErrUnknownOutcome, ErrClosed,
// agreement.ErrBusy and agreement.ErrTransferring. All but ErrUnknownOutcome mean that the command
// is not in the log and never will be.
func (g *Group) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	done := newOutcomeChannel()
	if !g.queue.push(proposeEvent{data: data, done: done}) {
		return nil, 0, ErrClosed
	}
	received := awaitOutcome(ctx, done, ErrUnknownOutcome)
	return received.result, received.index, received.err
}

// ReadBarrier returns once the machine has applied all that was acknowledged, by any member, before
// the call. Only the leader can; errors: ErrNotLeader, ErrClosed and the context's.
func (g *Group) ReadBarrier(ctx context.Context) error {
	done := newOutcomeChannel()
	return g.call(ctx, readEvent{done}, done, nil)
}

// ChangeMembers returns once the change is committed and applied here. Errors: those of Propose and
// agreement.ErrMemberChange.
func (g *Group) ChangeMembers(ctx context.Context, change Change) error {
	done := newOutcomeChannel()
	return g.call(ctx, changeEvent{change: change, done: done}, done, ErrUnknownOutcome)
}

// PromotableLearners returns the learners that could be made voters now: they answer, and have acknowledged nearly all of the log
// as durable. Only the leader knows; others return none.
func (g *Group) PromotableLearners() []consensus.MemberID {
	var found []consensus.MemberID
	err := g.Do(func() {
		for _, member := range g.loop.node.Status().Members {
			if !member.Voter && g.loop.node.CanPromote(member.ID) {
				found = append(found, member.ID)
			}
		}
	})
	if err != nil {
		return nil
	}
	return found
}

// TransferLeadership hands leadership to the most current other voter and returns once this replica leads no
// more. Errors: ErrNotLeader, ErrTransferFailed, ErrClosed, agreement.ErrTransferring,
// agreement.ErrNoSuccessor and the context's.
func (g *Group) TransferLeadership(ctx context.Context) error {
	return g.TransferLeadershipTo(ctx, 0)
}

// TransferLeadershipTo hands leadership to a chosen voter, or to the most current other one if the ID is 0, and
// returns once this replica leads no more; another voter may have been elected then. Errors: those of Transfer;
// agreement.ErrNoSuccessor also if the member chosen is no voter, or this one.
func (g *Group) TransferLeadershipTo(ctx context.Context, to consensus.MemberID) error {
	done := newOutcomeChannel()
	return g.call(ctx, transferEvent{to: to, done: done}, done, nil)
}

// Do runs a function inside the loop, where the machine may be read, and returns after it.
// The function must not call the group. Error: ErrClosed.
func (g *Group) Do(function func()) error {
	done := newOutcomeChannel()
	return g.call(context.Background(), callEvent{function: function, done: done}, done, nil)
}

func (g *Group) call(ctx context.Context, one loopEvent, done chan outcome, timeoutError error) error {
	if !g.queue.push(one) {
		return ErrClosed
	}
	return awaitOutcome(ctx, done, timeoutError).err
}

// awaitOutcome returns the answer, or an error if the context ends first: late, or the context's if late is nil.
func awaitOutcome(ctx context.Context, done chan outcome, timeoutError error) outcome {
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

// Status returns the last published state, without waiting for the loop.
func (g *Group) Status() Status { return g.loop.currentStatus() }

// StatusWithoutAge returns the last published state without its age. It asks no clock.
func (g *Group) StatusWithoutAge() Status { return g.loop.currentStatusWithoutAge() }

// closeTimeout bounds the wait for the write in hand at the end.
const closeTimeout = 500 * time.Millisecond

// Close ends Run, waits for the write in hand and closes the files. Error ErrDiskHangs: that write does not end, and the
// files stay open until the process ends; what it was writing was never reported as durable.
func (g *Group) Close() error { return g.closeWithin(closeTimeout) }

func (g *Group) closeWithin(timeout time.Duration) error {
	if !g.markClosed() {
		return nil
	}
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		return ErrDiskStalled
	}
	g.loop.stop(g.queue.close())
	return g.writer.log.Close()
}

// markClosed returns false if the group was closed before.
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
