package consensus

import "time"

// initialElectionDivisor divides the election timeout for the first election after a start: the time is
// drawn from the quotient up to half a timeout more.
const initialElectionDivisor = 5

// electionState is what a member knows of elections, its own and those of others.
type electionState struct {
	deadline       time.Duration     // when the member starts an election unless it hears from a leader before
	grantedVotes   map[MemberID]bool // of a candidate or pre-candidate: the members that voted for it
	votesRequested bool              // of a candidate: its vote requests are sent
	forTransfer    bool              // of a candidate: the election is part of a leadership transfer
	pendingVote    MemberID          // the candidate that this member's vote goes to once it is durable; 0: none
}

// lacksGroupState reports whether the member started with an empty disk and no leader has sent it the
// group's state yet. It must not vote then: it cannot know which votes and acknowledgements it gave before
// it lost its disk.
func (n *Node) lacksGroupState() bool {
	return len(n.members()) == 0 && n.enforces(RuleEmptyDiskNoVote)
}

// canCampaign reports whether the member may start an election. A member whose removal is not committed
// may: it may be the only one whose log contains the removal, so that no other could be elected.
func (n *Node) canCampaign() bool {
	if !n.diskWritable {
		return false
	}
	committed, known := findMember(n.membershipAt(n.commitIndex).members, n.config.ID)
	return n.isVoter(n.config.ID) || (known && n.countsInQuorum(committed))
}

// inLeaderLease reports whether the member heard from a leader within the election timeout. Vote requests
// of others are ignored then, so that a member that was partitioned off cannot depose a leader that works
// (dissertation 4.2.3).
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leaderID != 0 && n.now-n.follower.leaderContactAt < n.config.ElectionTimeout
}

// setInitialElectionDeadline sets the deadline after a start. It is earlier than later ones: after a
// restart of the whole group there is no leader to wait for, and if there is one, the members that hear
// from it reject the pre-vote.
func (n *Node) setInitialElectionDeadline() {
	timeout := n.config.ElectionTimeout / initialElectionDivisor
	spread := n.config.ElectionTimeout / 2
	if spread > 0 {
		timeout += time.Duration(n.random.Int64N(int64(spread)))
	}
	n.election.deadline = n.now + timeout
}

// resetElectionDeadline draws a new election deadline, between one and two election timeouts from now.
func (n *Node) resetElectionDeadline() {
	timeout := n.config.ElectionTimeout
	if timeout > 0 {
		timeout += time.Duration(n.random.Int64N(int64(timeout)))
	}
	n.election.deadline = n.now + timeout
}

// startPreVote asks the voters whether they would vote for this member in the next term, which disturbs
// nobody if they would not. While the current term is not durable, the disk is slow: the member waits.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.canCampaign() || n.persistence.durable.Term != n.term {
		return
	}
	n.role = RolePreCandidate
	n.leaderID = 0
	n.election.pendingVote = 0
	n.election.grantedVotes = map[MemberID]bool{n.config.ID: true}
	if n.hasQuorum(n.election.grantedVotes) {
		n.startElection(false)
		return
	}
	n.broadcastVoteRequest(MessagePreVote, n.term+1)
}

// startElection enters a new term as a candidate. Votes are requested once the term and the vote for itself
// are durable. ForTransfer marks the election as part of a leadership transfer.
func (n *Node) startElection(forTransfer bool) {
	n.role = RoleCandidate
	n.leaderID = 0
	n.election.pendingVote = 0
	n.election.forTransfer = forTransfer
	n.election.grantedVotes = make(map[MemberID]bool)
	n.election.votesRequested = false
	n.enterTerm(n.term+1, n.config.ID)
	n.resetElectionDeadline()
	n.requestVotesIfDurable()
}

// requestVotesIfDurable requests votes once the candidate's vote for itself is durable, and counts that
// vote.
func (n *Node) requestVotesIfDurable() {
	if n.role != RoleCandidate || n.election.votesRequested {
		return
	}
	if !n.voteDurable(n.config.ID) && n.enforces(RuleCandidateTermDurable) {
		return
	}
	n.election.votesRequested = true
	n.election.grantedVotes[n.config.ID] = true
	n.broadcastVoteRequest(MessageRequestVote, n.term)
	if n.hasQuorum(n.election.grantedVotes) {
		n.becomeLeader()
	}
}

// voteDurable reports whether the vote for a member in the current term is durable.
func (n *Node) voteDurable(id MemberID) bool {
	return n.persistence.durable.Term == n.term && n.persistence.durable.Vote == id
}

// broadcastVoteRequest sends a PreVote or RequestVote of a term to all other voters.
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
			LeadershipTransfer: kind == MessageRequestVote && n.election.forTransfer,
		})
	}
}

// candidateUpToDate reports whether a candidate's log is at least as up to date as the member's own (paper
// 5.4.1): no other candidate may have all committed entries.
func (n *Node) candidateUpToDate(message Message) bool {
	if !n.enforces(RuleVoteUpToDateLog) {
		return true
	}
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.LogIndex >= n.log.lastIndex()
}

// handlePreVote answers whether the member would vote for the sender. The answer binds the member to
// nothing.
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

// handlePreVoteReply starts the election once a quorum would vote for the member.
func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate || message.Reject || message.Term != n.term+1 {
		return
	}
	n.election.grantedVotes[message.From] = true
	if n.hasQuorum(n.election.grantedVotes) {
		n.startElection(false)
	}
}

// handleRequestVote votes for the first candidate of the term whose log is up to date. The vote is sent
// once it is durable.
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
	n.election.pendingVote = message.From
	n.resetElectionDeadline()
	n.grantVoteIfDurable()
}

// grantVoteIfDurable sends the pending vote once it is durable: a vote that a restart forgets could be
// given twice.
func (n *Node) grantVoteIfDurable() {
	if n.election.pendingVote == 0 {
		return
	}
	if !n.voteDurable(n.election.pendingVote) && n.enforces(RuleVoteDurable) {
		return
	}
	n.send(Message{Kind: MessageRequestVoteReply, To: n.election.pendingVote})
	n.election.pendingVote = 0
}

// handleRequestVoteReply counts a vote and takes over leadership with a quorum of them.
func (n *Node) handleRequestVoteReply(message Message) {
	if n.role != RoleCandidate || message.Reject {
		return
	}
	n.election.grantedVotes[message.From] = true
	if n.hasQuorum(n.election.grantedVotes) {
		n.becomeLeader()
	}
}

// SetWritable tells the member whether its disk takes writes. A member whose disk does not starts no
// election and, if it leads, transfers leadership to another voter as long as one can take it.
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
