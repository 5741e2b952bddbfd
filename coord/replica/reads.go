package replica

import "ospreybend/coord/consensus"

// pendingReads holds the pending read barriers. The barriers that arrive before an iteration of the event loop form one round,
// which the node confirms as a whole (ReadIndex, section 6.4 of the Raft dissertation).
type pendingReads struct {
	queued      []chan outcome            // not yet passed to the node
	lastRoundID uint64                    // ID of the latest round
	confirming  map[uint64][]chan outcome // passed to the node, by round ID
	confirmed   []confirmedRead           // confirmed by a majority; the state machine has not yet reached the index
}

// confirmedRead is a round that may be answered once the state machine has reached the index.
type confirmedRead struct {
	index uint64
	done  []chan outcome
}

// startReads passes the barriers that arrived since the last iteration to the node as one round.
func (l *eventLoop) startReads() {
	if len(l.reads.queued) == 0 {
		return
	}
	queued := l.reads.queued
	l.reads.queued = nil
	l.reads.lastRoundID++
	if err := l.node.ReadIndex(l.now, l.reads.lastRoundID); err != nil {
		answerAll(queued, l.callerError(err))
		return
	}
	l.reads.confirming[l.reads.lastRoundID] = queued
}

// handleReadResult processes the node's result for a round.
func (l *eventLoop) handleReadResult(result consensus.ReadResult) {
	done := l.reads.confirming[result.ID]
	delete(l.reads.confirming, result.ID)
	if !result.OK {
		answerAll(done, NotLeaderError{Leader: l.leader()})
		return
	}
	l.reads.confirmed = append(l.reads.confirmed, confirmedRead{index: result.Index, done: done})
}

// answerReads answers the rounds whose index the state machine has reached.
func (l *eventLoop) answerReads() {
	var waiting []confirmedRead
	for _, read := range l.reads.confirmed {
		if read.index <= l.appliedIndex || !l.options.enforces(GuardReadWaitsForApply) {
			answerAll(read.done, nil)
		} else {
			waiting = append(waiting, read)
		}
	}
	l.reads.confirmed = waiting
}

// failAll answers all barriers with an error.
func (r *pendingReads) failAll(err error) {
	answerAll(r.queued, err)
	for _, done := range r.confirming {
		answerAll(done, err)
	}
	for _, read := range r.confirmed {
		answerAll(read.done, err)
	}
	*r = pendingReads{confirming: map[uint64][]chan outcome{}}
}

// answerAll sends the same answer, without a result, to several calls.
func answerAll(waiting []chan outcome, err error) {
	for _, done := range waiting {
		done <- outcome{err: err}
	}
}
