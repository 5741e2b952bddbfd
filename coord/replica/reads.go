package replica

import "ospreybend/coord/consensus"

// reads are the read barriers that wait.
type reads struct {
	fresh  []chan outcome            // not asked of the node yet
	lastID uint64                    // of a round
	rounds map[uint64][]chan outcome // asked, by the round's ID
	behind []confirmedRead           // confirmed, but the machine is not there yet
}

type confirmedRead struct {
	index uint64
	done  []chan outcome
}

// startReads asks once for all barriers that came since the last turn.
func (l *loop) startReads() {
	if len(l.reads.fresh) == 0 {
		return
	}
	fresh := l.reads.fresh
	l.reads.fresh = nil
	l.reads.lastID++
	if err := l.node.ReadIndex(l.now, l.reads.lastID); err != nil {
		answer(fresh, l.refusal(err))
		return
	}
	l.reads.rounds[l.reads.lastID] = fresh
}

// onRead takes the node's answer to a round.
func (l *loop) onRead(result consensus.ReadResult) {
	done := l.reads.rounds[result.ID]
	delete(l.reads.rounds, result.ID)
	if !result.OK {
		answer(done, ErrNotLeader{Leader: l.leader()})
		return
	}
	l.reads.behind = append(l.reads.behind, confirmedRead{index: result.Index, done: done})
}

// answerReads answers the barriers that the machine has reached.
func (l *loop) answerReads() {
	var behind []confirmedRead
	for _, read := range l.reads.behind {
		if read.index <= l.applied || !l.options.holds(GuardReadApplied) {
			answer(read.done, nil)
		} else {
			behind = append(behind, read)
		}
	}
	l.reads.behind = behind
}

func (r *reads) fail(err error) {
	answer(r.fresh, err)
	for _, done := range r.rounds {
		answer(done, err)
	}
	for _, read := range r.behind {
		answer(read.done, err)
	}
	*r = reads{rounds: map[uint64][]chan outcome{}}
}

func answer(all []chan outcome, err error) {
	for _, done := range all {
		done <- outcome{err: err}
	}
}
