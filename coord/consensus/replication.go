package consensus

import (
	"slices"
	"time"
)

// flow is how a leader sends entries to a peer.
type flow uint8

const (
	flowProbe     flow = iota // one message at a time, until it is known where the logs agree
	flowReplicate             // many messages without waiting for answers
	flowSnapshot              // a snapshot is under way
)

// progress is what a leader knows of a peer.
type progress struct {
	id       MemberID
	leaving  bool   // removed by a change that is not committed yet
	match    uint64 // last entry that it holds durably
	next     uint64 // first entry to send
	flow     flow
	probed   bool     // flowProbe: the message is sent
	inflight []uint64 // flowReplicate: the last entry of each unanswered message
	told     uint64   // commit index as last sent

	answered time.Duration // when the heartbeat was sent that it answered last
	round    uint64        // that heartbeat's round
	mark     uint64        // last entry sent before the heartbeat of markRound
	marked   uint64        // markRound, 0: none

	snapshotAgain time.Duration // flowSnapshot: when it may be sent again
	snapshotPause time.Duration
}

// maxSnapshotPause bounds the doubling of the pause between two snapshots, in election timeouts.
const maxSnapshotPause = 8

func (n *Node) peer(id MemberID) *progress {
	for _, peer := range n.leading.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// matchPeers makes the peers those of the membership in force. Removed ones stay until the change is committed.
func (n *Node) matchPeers() {
	for _, member := range n.members() {
		if member.ID == n.config.ID {
			continue
		}
		if peer := n.peer(member.ID); peer != nil {
			peer.leaving = false
			continue
		}
		n.leading.peers = append(n.leading.peers, &progress{id: member.ID, next: n.log.last() + 1})
	}
	for _, peer := range n.leading.peers {
		_, known := findMember(n.members(), peer.id)
		peer.leaving = !known
	}
}

// dismissPeers tells removed peers that their removal is committed, and forgets them.
func (n *Node) dismissPeers() {
	n.leading.peers = slices.DeleteFunc(n.leading.peers, func(peer *progress) bool {
		if peer.leaving {
			n.sendLast(peer)
		}
		return peer.leaving
	})
}

// sendLast sends a removed peer what it lacks up to the commit index, in one message.
func (n *Node) sendLast(peer *progress) {
	prior := peer.match
	term, held := n.log.term(prior)
	if !held || n.commit-prior > promotionLag {
		return
	}
	n.send(Message{
		Kind:     MessageAppend,
		To:       peer.id,
		LogIndex: prior,
		LogTerm:  term,
		Commit:   n.commit,
		Entries:  n.log.span(prior+1, n.commit),
	})
}

// lead sends what peers lack. It is called once for all that came in between two Takes.
func (n *Node) lead() {
	n.startReads()
	for _, peer := range n.leading.peers {
		n.replicate(peer)
	}
	n.finishTransfer()
}

// replicate sends a peer the entries that it lacks, as far as its flow allows, and the commit index.
func (n *Node) replicate(peer *progress) {
	for peer.next <= n.log.last() && n.maySend(peer) {
		n.sendEntries(peer)
	}
	if peer.flow == flowReplicate && peer.told < n.commit {
		n.tellCommit(peer)
	}
}

func (n *Node) maySend(peer *progress) bool {
	switch peer.flow {
	case flowProbe:
		return !peer.probed
	case flowReplicate:
		return len(peer.inflight) < max(1, n.config.MaxInflight)
	default:
		return false
	}
}

// sendEntries sends one message of entries, none if the peer has all, or a snapshot if they are not held any more.
func (n *Node) sendEntries(peer *progress) {
	prior := peer.next - 1
	term, held := n.log.term(prior)
	if !held {
		n.sendSnapshot(peer)
		return
	}
	entries := n.log.limited(peer.next, n.config.MaxAppendBytes)
	n.send(Message{
		Kind:     MessageAppend,
		To:       peer.id,
		LogIndex: prior,
		LogTerm:  term,
		Commit:   n.commit,
		Entries:  entries,
	})
	peer.told = n.commit
	if peer.flow == flowProbe {
		peer.probed = true
		return
	}
	peer.next += uint64(len(entries))
	peer.inflight = append(peer.inflight, peer.next-1)
}

// sendSnapshot sends the last snapshot to a peer that is reachable.
func (n *Node) sendSnapshot(peer *progress) {
	peer.probe(peer.next)
	peer.probed = true
	if peer.round == 0 || n.now < peer.snapshotAgain {
		return
	}
	pause := max(n.config.ElectionTimeout, peer.snapshotPause)
	peer.snapshotAgain = n.now + pause
	peer.snapshotPause = min(2*pause, maxSnapshotPause*n.config.ElectionTimeout)
	peer.flow = flowSnapshot
	peer.next = n.snapshot.Index + 1
	snapshot := n.snapshot
	n.send(Message{Kind: MessageSnapshot, To: peer.id, Commit: n.commit, Snapshot: &snapshot})
}

// tellCommit sends the commit index alone.
func (n *Node) tellCommit(peer *progress) {
	peer.told = n.commit
	n.send(Message{Kind: MessageHeartbeat, To: peer.id, Commit: n.commit})
}

// onAppendReply takes what a peer says it holds, or where to go on.
func (n *Node) onAppendReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if message.Reject {
		n.goBack(peer, message)
		return
	}
	n.noteHeld(peer, message.LogIndex, message.HintIndex)
}

// goBack lowers a peer's next entry to where the logs may agree. A peer that refuses what it acknowledged lost its
// disk without a new ID: it gets no more than the probes with heartbeats.
func (n *Node) goBack(peer *progress, message Message) {
	stale := message.LogIndex <= peer.match || message.LogIndex >= peer.next
	if peer.flow == flowProbe {
		stale = message.LogIndex != peer.next-1 || message.LogIndex <= peer.match
	}
	if stale || peer.flow == flowSnapshot {
		return
	}
	peer.probe(max(peer.match, n.agreedAtMost(message.HintIndex, message.HintTerm)) + 1)
}

// agreedAtMost returns the highest index at which a log may agree whose entry at index is of the given term. It is
// before the leader's first entries if only a snapshot helps.
func (n *Node) agreedAtMost(index, term uint64) uint64 {
	if index < n.log.base {
		return index
	}
	found, own := n.log.findAtMost(index, term)
	if own > term {
		return found - 1
	}
	return found
}

// probe sends one message at a time from next on.
func (p *progress) probe(next uint64) {
	p.flow = flowProbe
	p.next = next
	p.probed = false
	p.inflight = nil
	p.marked = 0
}

// noteHeld takes note that a peer holds entries durably up to one index and shares the log up to another.
func (n *Node) noteHeld(peer *progress, durable, shared uint64) {
	shared = min(max(shared, durable), n.log.last())
	peer.match = max(peer.match, min(durable, n.log.last()))
	for len(peer.inflight) > 0 && peer.inflight[0] <= peer.match {
		peer.inflight = peer.inflight[1:]
	}
	if peer.flow != flowReplicate && shared >= peer.next-1 {
		peer.flow = flowReplicate
		peer.next = shared + 1
		peer.inflight = nil
		peer.marked = 0
		peer.snapshotAgain, peer.snapshotPause = 0, 0
	}
	n.advanceCommit()
}

// heartbeatSent notes what was sent before a heartbeat, so that its answer shows a loss.
func (p *progress) heartbeatSent(number uint64) {
	if p.flow == flowReplicate && p.marked == 0 {
		p.mark, p.marked = p.next-1, number
	}
}

// onHeartbeatReply confirms the leader's term and shows what was lost on the way.
func (n *Node) onHeartbeatReply(message Message) {
	peer := n.peer(message.From)
	if n.role != RoleLeader || peer == nil {
		return
	}
	if sent, known := n.roundSent(message.Context); known {
		peer.round = max(peer.round, message.Context)
		peer.answered = max(peer.answered, sent)
	}
	n.confirmReads()
	n.noteHeld(peer, message.HintIndex, message.LogIndex)
	if n.role == RoleLeader {
		n.sendLost(peer, message)
	}
}

// sendLost goes back to what a peer lacks although it was sent before the heartbeat that it answers.
func (n *Node) sendLost(peer *progress, message Message) {
	switch peer.flow {
	case flowProbe:
		peer.probed = false
		if peer.next > n.log.last() && message.LogIndex < n.log.last() {
			n.sendEntries(peer)
		}
	case flowSnapshot:
		if n.now >= peer.snapshotAgain {
			peer.probe(peer.match + 1)
		}
	case flowReplicate:
		if peer.marked == 0 || message.Context < peer.marked {
			return
		}
		lost := message.LogIndex < peer.mark
		peer.marked = 0
		if lost {
			peer.probe(max(peer.match, min(message.LogIndex, n.log.last())) + 1)
		}
	}
}
