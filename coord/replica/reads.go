package replica

import "ospreybend/coord/consensus"

// pendingReads are the read barriers that wait.
type pendingReads struct {
	queued      []chan outcome            // not asked of the node yet
	lastRoundID uint64                    // of a round
	confirming  map[uint64][]chan outcome // asked, by the round's ID
	confirmed   []confirmedRead           // confirmed, but the machine is not there yet
}

type confirmedRead struct {
	index uint64
	done  []chan outcome
}

// startReads asks once for all barriers that came since the last turn.
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

// handleReadResult takes the node's answer to a round.
func (l *eventLoop) handleReadResult(result consensus.ReadResult) {
	done := l.reads.confirming[result.ID]
	delete(l.reads.confirming, result.ID)
	if !result.OK {
		answerAll(done, NotLeaderError{Leader: l.leader()})
		return
	}
	l.reads.confirmed = append(l.reads.confirmed, confirmedRead{index: result.Index, done: done})
}

// answerReads answers the barriers that the machine has reached.
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

func answerAll(all []chan outcome, err error) {
	for _, done := range all {
		done <- outcome{err: err}
	}
}
