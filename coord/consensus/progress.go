package consensus

import "time"

// progressState determines how a leader sends entries to a peer, as in etcd's raft.
type progressState uint8

const (
	stateProbe     progressState = iota // one AppendEntries at a time, until the matching index is known
	stateReplicate                      // pipelined: up to MaxInflight AppendEntries in flight
	stateSnapshot                       // a snapshot was sent; no entries until the peer has it or the retry pause has passed
)

// progress is a leader's view of a peer's log and of the messages sent to the peer.
type progress struct {
	id             MemberID
	removalPending bool   // removed by a membership change that is not committed
	matchIndex     uint64 // last entry that matches the leader's log and is durable at the peer
	nextIndex      uint64 // next entry to send
	sentCommit     uint64 // commit index in the latest message

	state     progressState
	probeSent bool         // stateProbe: no further AppendEntries until the peer answers
	inflight  []sentAppend // stateReplicate: unacknowledged messages, oldest first

	contactAt  time.Duration // when the latest heartbeat that the peer has answered was sent
	ackedRound uint64        // round of that heartbeat; 0: none

	// stateReplicate: if the reply to heartbeat round lossCheckRound does not cover the entries up to
	// lossCheckIndex, messages were lost. Round 0: no check is in progress.
	lossCheckIndex uint64
	lossCheckRound uint64

	snapshotRetryAt time.Duration // earliest time of the next snapshot
	snapshotBackoff time.Duration // minimum pause after the next snapshot; 0: one election timeout
}

// sentAppend describes an unacknowledged AppendEntries.
type sentAppend struct {
	lastIndex uint64 // index of its last entry
	bytes     int    // estimated size of its entries
}

// inflightBytes returns the estimated size of the unacknowledged entries. The peer may have to write all of them
// in one batch.
func (p *progress) inflightBytes() (sum int) {
	for _, message := range p.inflight {
		sum += message.bytes
	}
	return sum
}

// maxSnapshotBackoff is the maximum pause between two snapshots to a peer, in election timeouts. The pause starts
// at one election timeout and doubles with each snapshot.
const maxSnapshotBackoff = 8

// becomeProbe resumes replication at entry next with one message at a time.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.nextIndex = next
	p.probeSent = false
	p.inflight = nil
	p.lossCheckRound = 0
}

// startLossCheck records the last entry sent before a heartbeat round, so that the reply to the round shows
// whether entries were lost. It does nothing while a check is in progress.
func (p *progress) startLossCheck(round uint64) {
	if p.state == stateReplicate && p.lossCheckRound == 0 {
		p.lossCheckIndex, p.lossCheckRound = p.nextIndex-1, round
	}
}

// expectedMatchIndex returns the last entry known to be durable at the peer, or that of the snapshot being sent
// to it.
func (p *progress) expectedMatchIndex() uint64 {
	if p.state == stateSnapshot {
		return p.nextIndex - 1
	}
	return p.matchIndex
}

// isResponsive reports whether a peer has answered a heartbeat sent within the last election timeout.
func (n *Node) isResponsive(peer *progress) bool {
	return peer.ackedRound > 0 && n.now-peer.contactAt <= n.config.ElectionTimeout
}
