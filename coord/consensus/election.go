package consensus

import "time"

// firstElectionPart is the part of the election timeout after which a member that has just started campaigns at
// the soonest; at the latest it does so after half a timeout more.
const firstElectionPart = 5

// silent reports whether the member's disk was empty and no leader has sent it the group's state
// yet. Such a member has made no promises that it could keep.
func (n *Node) silent() bool {
	return len(n.members()) == 0 && n.holds(RuleEmptySilent)
}

// mayCampaign reports whether the member may ask for votes. One whose removal is not committed may: it may be the
// only one that holds the removal, so that no other could be elected.
func (n *Node) mayCampaign() bool {
	if !n.writable {
		return false
	}
	committed, known := findMember(n.membershipAt(n.commit).members, n.config.ID)
	return n.isVoter(n.config.ID) || (known && n.votes(committed))
}

// hearsLeader reports whether a leader was heard within the election timeout, so that votes for
// others are ignored.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != 0 && n.now-n.lastHeard < n.config.ElectionTimeout
}

// firstDeadline is sooner than the others: after a restart of the whole group nobody leads, and where
// somebody does, the members that hear from the leader refuse the pre-vote.
func (n *Node) firstDeadline() {
	least := n.config.ElectionTimeout / firstElectionPart
	spread := n.config.ElectionTimeout / 2
	if spread > 0 {
		least += time.Duration(n.random.Int64N(int64(spread)))
	}
	n.deadline = n.now + least
}

func (n *Node) resetDeadline() {
	pause := n.config.ElectionTimeout
	if pause > 0 {
		pause += time.Duration(n.random.Int64N(int64(pause)))
	}
	n.deadline = n.now + pause
}

// electionDue starts a campaign by asking who would vote for it. While the term is not durable yet
// the disk is slow, and the member waits for it.
func (n *Node) electionDue() {
	n.resetDeadline()
	if !n.mayCampaign() || n.disk.durable.Term != n.term {
		return
	}
	n.role = RolePreCandidate
	n.leader = 0
	n.grantTo = 0
	n.ballots = map[MemberID]bool{n.config.ID: true}
	if n.hasMajority(n.ballots) {
		n.campaign(false)
		return
	}
	n.askVoters(MessagePreVote, n.term+1)
}

// campaign enters a new term as a candidate. Votes are asked for once the term is durable.
func (n *Node) campaign(forced bool) {
	n.role = RoleCandidate
	n.leader = 0
	n.grantTo = 0
	n.forced = forced
	n.ballots = make(map[MemberID]bool)
	n.ballotsAsked = false
	n.enterTerm(n.term+1, n.config.ID)
	n.resetDeadline()
	n.askIfDurable()
}

// askIfDurable asks for votes once the candidate's own vote is durable, and counts it.
func (n *Node) askIfDurable() {
	if n.role != RoleCandidate || n.ballotsAsked {
		return
	}
	if !n.voteDurable(n.config.ID) && n.holds(RuleCandidateDurable) {
		return
	}
	n.ballotsAsked = true
	n.ballots[n.config.ID] = true
	n.askVoters(MessageVote, n.term)
	if n.hasMajority(n.ballots) {
		n.becomeLeader()
	}
}

// voteDurable reports whether the vote for a member in the present term is durable.
func (n *Node) voteDurable(id MemberID) bool {
	return n.disk.durable.Term == n.term && n.disk.durable.Vote == id
}

func (n *Node) askVoters(kind MessageKind, term uint64) {
	for _, member := range n.members() {
		if member.ID == n.config.ID || !member.Voter {
			continue
		}
		n.send(Message{
			Kind:     kind,
			To:       member.ID,
			Term:     term,
			LogIndex: n.log.last(),
			LogTerm:  n.log.lastTerm(),
			Forced:   kind == MessageVote && n.forced,
		})
	}
}

// upToDate reports whether a candidate's log ends at least as late as the member's own.
func (n *Node) upToDate(message Message) bool {
	if !n.holds(RuleVoteLog) {
		return true
	}
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.LogIndex >= n.log.last()
}

// onPreVote says whether the member would vote for the sender. It binds the member to nothing.
func (n *Node) onPreVote(message Message) {
	if n.hearsLeader() {
		return
	}
	free := message.Term > n.term || n.vote == message.From || (n.vote == 0 && n.leader == 0)
	if !free || !n.upToDate(message) {
		n.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
		return
	}
	n.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term})
}

func (n *Node) onPreVoteReply(message Message) {
	if n.role != RolePreCandidate || message.Reject || message.Term != n.term+1 {
		return
	}
	n.ballots[message.From] = true
	if n.hasMajority(n.ballots) {
		n.campaign(false)
	}
}

// onVote gives the vote of this term to the first candidate whose log is late enough.
func (n *Node) onVote(message Message) {
	free := n.vote == message.From || (n.vote == 0 && n.leader == 0) || !n.holds(RuleVoteOnce)
	if n.role == RoleLeader || !free || !n.upToDate(message) {
		n.send(Message{Kind: MessageVoteReply, To: message.From, Reject: true})
		return
	}
	if n.vote != message.From {
		n.becomeFollower(n.term)
	}
	n.vote = message.From
	n.grantTo = message.From
	n.resetDeadline()
	n.grantIfDurable()
}

// grantIfDurable sends a vote once it is durable.
func (n *Node) grantIfDurable() {
	if n.grantTo == 0 {
		return
	}
	if !n.voteDurable(n.grantTo) && n.holds(RuleVoteDurable) {
		return
	}
	n.send(Message{Kind: MessageVoteReply, To: n.grantTo})
	n.grantTo = 0
}

func (n *Node) onVoteReply(message Message) {
	if n.role != RoleCandidate || message.Reject {
		return
	}
	n.ballots[message.From] = true
	if n.hasMajority(n.ballots) {
		n.becomeLeader()
	}
}

// SetWritable tells whether the member's disk takes writes. One whose disk does not campaigns no more, and hands
// leadership over if another voter can take it.
func (n *Node) SetWritable(now time.Duration, writable bool) {
	n.advance(now)
	if writable && !n.writable {
		n.resetDeadline()
	}
	n.writable = writable
	if !writable && n.role == RoleLeader {
		n.handOver()
	}
}
