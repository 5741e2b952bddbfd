package consensus

import "time"

// initialElectionDivisor sets the minimum timeout of the first election after a start, as a fraction of the
// election timeout. The actual timeout is up to half an election timeout longer.
const initialElectionDivisor = 5

// electionState is a member's state in its own elections and in those of other members.
type electionState struct {
	deadline       time.Duration     // when the member starts an election unless it receives a message from a leader first
	grantedVotes   map[MemberID]bool // candidate or pre-candidate: the members that granted it their vote
	votesRequested bool              // candidate: its vote requests have been sent
	forTransfer    bool              // candidate: the election is part of a leadership transfer
	pendingVote    MemberID          // the candidate that is sent this member's vote once it is durable; 0: none
}

// lacksGroupState reports whether the member started with an empty disk and has not received the group's state
// from a leader. Such a member must not vote, because it does not know which votes and acknowledgements it sent
// before it lost its disk.
func (n *Node) lacksGroupState() bool {
	return len(n.members()) == 0 && n.enforces(RuleEmptyDiskNoVote)
}

// canCampaign reports whether the member may start an election: its disk takes writes and it is a voter. A member
// whose removal is not committed may, too: if only its log contains the removal, no other member may be electable.
func (n *Node) canCampaign() bool {
	if !n.diskWritable {
		return false
	}
	committed, known := findMember(n.membershipAt(n.commitIndex).members, n.config.ID)
	return n.isVoter(n.config.ID) || (known && n.countsInQuorum(committed))
}

// inLeaderLease reports whether the member leads or has received a message from its leader within the election
// timeout. It ignores vote requests then, so that a member returning from a partition does not depose a working
// leader (dissertation 4.2.3).
func (n *Node) inLeaderLease() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leaderID != 0 && n.now-n.follower.leaderContactAt < n.config.ElectionTimeout
}

// setInitialElectionDeadline sets the election deadline after a start. The timeout is shorter than later ones,
// because after a restart of the whole group there is no leader to wait for. If there is a leader, the members
// within its lease ignore the pre-vote.
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

// startPreVote asks the voters whether they would vote for this member in the next term. A pre-vote that fails
// changes no member's term. The member does not start one while its current term is not durable, because its disk
// is slow then.
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

// startElection makes the member a candidate in a new term. It requests votes once the term and its vote for
// itself are durable. If forTransfer is set, the election is part of a leadership transfer.
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

// requestVotesIfDurable counts the candidate's vote for itself and requests the votes of others, once that vote is
// durable.
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

// broadcastVoteRequest sends a PreVote or RequestVote for a term to all other voters.
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

// candidateUpToDate reports whether a candidate's log is at least as up to date as the member's own (paper 5.4.1).
// Otherwise the candidate's log may lack committed entries.
func (n *Node) candidateUpToDate(message Message) bool {
	if !n.enforces(RuleVoteUpToDateLog) {
		return true
	}
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.LogIndex >= n.log.lastIndex()
}

// handlePreVote answers whether the member would vote for the sender. The answer does not commit it to that vote.
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

// handlePreVoteReply counts a pre-vote and starts the election once a quorum would vote for the member.
func (n *Node) handlePreVoteReply(message Message) {
	if n.role != RolePreCandidate || message.Reject || message.Term != n.term+1 {
		return
	}
	n.election.grantedVotes[message.From] = true
	if n.hasQuorum(n.election.grantedVotes) {
		n.startElection(false)
	}
}

// handleRequestVote votes for the first candidate of the term whose log is up to date. The vote is sent once it is
// durable.
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

// grantVoteIfDurable sends the pending vote once it is durable. After a restart, a member that lost a vote it had
// sent could vote again in the same term.
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

// handleRequestVoteReply counts a vote and makes the member leader once it has a quorum of votes.
func (n *Node) handleRequestVoteReply(message Message) {
	if n.role != RoleCandidate || message.Reject {
		return
	}
	n.election.grantedVotes[message.From] = true
	if n.hasQuorum(n.election.grantedVotes) {
		n.becomeLeader()
	}
}

// SetWritable tells the member whether its disk takes writes. While it does not, the member starts no election
// and, if it leads, tries to transfer leadership to a responsive voter.
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
