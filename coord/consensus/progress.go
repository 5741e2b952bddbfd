package consensus

import (
	"time"
)

// progressState is how a leader sends entries to a peer.
type progressState uint8

const (
	stateProbe     progressState = iota // one message at a time, until it is known where the logs agree
	stateReplicate                      // many messages without waiting for answers
	stateSnapshot                       // a snapshot is under way
)

// progress is what a leader knows of a peer.
type progress struct {
	id         MemberID
	removing   bool   // removed by a change that is not committed yet
	matchIndex uint64 // last entry that it holds durably
	nextIndex  uint64 // first entry to send
	state      progressState
	probeSent  bool     // flowProbe: the message is sent
	inflight   []uint64 // flowReplicate: the last entry of each unanswered message
	sentCommit uint64   // commit index as last sent

	contactAt      time.Duration // when the heartbeat was sent that it answered last
	answeredRound  uint64        // that heartbeat's round
	lossCheckIndex uint64        // last entry sent before the heartbeat of markRound
	lossCheckRound uint64        // markRound, 0: none

	snapshotRetryAt time.Duration // flowSnapshot: when it may be sent again
	snapshotBackoff time.Duration
}

// maxSnapshotBackoff bounds the doubling of the pause between two snapshots, in election timeouts.
const maxSnapshotBackoff = 8

// becomeProbe sends one message at a time from next on.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.nextIndex = next
	p.probeSent = false
	p.inflight = nil
	p.lossCheckRound = 0
}

// startLossCheck notes what was sent before a heartbeat, so that its answer shows a loss.
func (p *progress) startLossCheck(number uint64) {
	if p.state == stateReplicate && p.lossCheckRound == 0 {
		p.lossCheckIndex, p.lossCheckRound = p.nextIndex-1, number
	}
}

// expectedMatchIndex returns the last entry that the peer holds, or will hold with the snapshot that it is being sent.
func (p *progress) expectedMatchIndex() uint64 {
	if p.state == stateSnapshot {
		return p.nextIndex - 1
	}
	return p.matchIndex
}
