package consensus

import "time"

// initialElectionDivisor is the part of the election timeout after which a member that has just started campaigns at
// the soonest; at the latest it does so after half a timeout more.
const initialElectionDivisor = 5

// lacksGroupState reports whether the member's disk was empty and no leader has sent it the group's state
// yet. Such a member has made no promises that it could keep.
func (n *Node) lacksGroupState() bool {
	return len(n.members()) == 0 && n.enforces(RuleEmptyDiskNoVote)
}

// canCampaign reports whether the member may ask for votes. One whose removal is not committed may: it may be the
// only one that holds the removal, so that no other could be elected.
func (n *Node) canCampaign() bool {
	if !n.diskWritable {
		return false
	}
	committed, known := findMember(n.membershipAt(n.commitIndex).members, n.config.ID)
	return n.isVoter(n.config.ID) || (known && n.countsInQuorum(committed))
}

// inLeaderLease reports whether a leader was heard within the election timeout, so that votes for
// others are ignored.
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leaderID != 0 && n.now-n.leaderContactAt < n.config.ElectionTimeout
}

// setInitialElectionDeadline is sooner than the others: after a restart of the whole group nobody leads, and where
// somebody does, the members that hear from the leader refuse the pre-vote.
func (n *Node) setInitialElectionDeadline() {
	timeout := n.config.ElectionTimeout / initialElectionDivisor
	spread := n.config.ElectionTimeout / 2
	if spread > 0 {
		timeout += time.Duration(n.random.Int64N(int64(spread)))
	}
	n.electionDeadline = n.now + timeout
}

func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	if timeout > 0 {
		timeout += time.Duration(n.random.Int64N(int64(timeout)))
	}
	n.electionDeadline = n.now + timeout
}

// startPreVote starts a campaign by asking who would vote for it. While the term is not durable yet
// the disk is slow, and the member waits for it.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.canCampaign() || n.persistence.durable.Term != n.term {
		return
	}
	n.role = RolePreCandidate
	n.leaderID = 0
	n.pendingVote = 0
	n.grantedVotes = map[MemberID]bool{n.config.ID: true}
	if n.hasQuorum(n.grantedVotes) {
		n.startElection(false)
		return
	}
	n.broadcastVoteRequest(MessagePreVote, n.term+1)
}

// startElection enters a new term as a candidate. Votes are asked for once the term is durable.
func (n *Node) startElection(forced bool) {
	n.role = RoleCandidate
	n.leaderID = 0
	n.pendingVote = 0
	n.transferElection = forced
	n.grantedVotes = make(map[MemberID]bool)
	n.votesRequested = false
	n.enterTerm(n.term+1, n.config.ID)
	n.resetElectionDeadline()
	n.requestVotesIfDurable()
}

// requestVotesIfDurable asks for votes once the candidate's own vote is durable, and counts it.
func (n *Node) requestVotesIfDurable() {
	if n.role != RoleCandidate || n.votesRequested {
		return
	}
	if !n.voteDurable(n.config.ID) && n.enforces(RuleCandidateTermDurable) {
		return
	}
	n.votesRequested = true
	n.grantedVotes[n.config.ID] = true
	n.broadcastVoteRequest(MessageRequestVote, n.term)
	if n.hasQuorum(n.grantedVotes) {
		n.becomeLeader()
	}
}

// voteDurable reports whether the vote for a member in the present term is durable.
func (n *Node) voteDurable(id MemberID) bool {
	return n.persistence.durable.Term == n.term && n.persistence.durable.Vote == id
}

func (n *Node) broadcastVoteRequest(kind MessageKind, term uint64) {
	for _, member := range n.members() {
		if member.ID == n.config.ID || !member.Voter {
			continue
		}
		n.send(Message{
			Kind:               kind,
			To:                 member.ID,
			Term:               term,
			LogIndex:           n.log.lastIndex(),
			LogTerm:            n.log.lastTerm(),
			LeadershipTransfer: kind == MessageRequestVote && n.transferElection,
		})
	}
}

// candidateUpToDate reports whether a candidate's log ends at least as late as the member's own.
func (n *Node) candidateUpToDate(message Message) bool {
	if !n.enforces(RuleVoteUpToDateLog) {
		return true
	}
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.LogIndex >= n.log.lastIndex()
}

// handlePreVote says whether the member would vote for the sender. It binds the member to nothing.
func (n *Node) handlePreVote(message Message) {
	if n.inLeaderLease() {
		return
	}
	mayVote := message.Term > n.term || n.votedFor == message.From || (n.votedFor == 0 && n.leaderID == 0)
	if !mayVote || !n.candidateUpToDate(message) {
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
		return
	}
	n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term})
}

func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate || message.Reject || message.Term != n.term+1 {
		return
	}
	n.grantedVotes[message.From] = true
	if n.hasQuorum(n.grantedVotes) {
		n.startElection(false)
	}
}

// handleRequestVote gives the vote of this term to the first candidate whose log is late enough.
func (n *Node) handleRequestVote(message Message) {
	mayVote := n.votedFor == message.From || (n.votedFor == 0 && n.leaderID == 0) || !n.enforces(RuleVoteOnce)
	if n.role == RoleLeader || !mayVote || !n.candidateUpToDate(message) {
		n.send(Message{Kind: MessageRequestVoteReply, To: message.From, Reject: true})
		return
	}
	if n.votedFor != message.From {
		n.becomeFollower(n.term)
	}
	n.votedFor = message.From
	n.pendingVote = message.From
	n.resetElectionDeadline()
	n.grantVoteIfDurable()
}

// grantVoteIfDurable sends a vote once it is durable.
func (n *Node) grantVoteIfDurable() {
	if n.pendingVote == 0 {
		return
	}
	if !n.voteDurable(n.pendingVote) && n.enforces(RuleVoteDurable) {
		return
	}
	n.send(Message{Kind: MessageRequestVoteReply, To: n.pendingVote})
	n.pendingVote = 0
}

func (n *Node) handleRequestVoteReply(message Message) {
	if n.role != RoleCandidate || message.Reject {
		return
	}
	n.grantedVotes[message.From] = true
	if n.hasQuorum(n.grantedVotes) {
		n.becomeLeader()
	}
}

// SetWritable tells whether the member's disk takes writes. One whose disk does not campaigns no more, and hands
// leadership over if another voter can take it.
func (n *Node) SetWritable(now time.Duration, writable bool) {
	n.advanceClock(now)
	if writable && !n.diskWritable {
		n.resetElectionDeadline()
	}
	n.diskWritable = writable
	if !writable && n.role == RoleLeader {
		n.startTransferToBestPeer()
	}
}
