package consensus

import "time"

// Step handles a message from another member. Messages may be lost, duplicated, delayed and reordered. Step
// panics with an error that wraps ErrCommittedConflict if the group's logs have diverged.
func (n *Node) Step(now time.Duration, message Message) {
	n.advanceClock(now)
	if message.To != n.config.ID || message.From == n.config.ID {
		return
	}
	n.checkQuorum()
	if n.lacksGroupState() && !isLeaderMessage(message.Kind) {
		return
	}
	if message.Term < n.term && !n.acceptsStaleTerm(message) {
		n.rejectStaleTerm(message)
		return
	}
	if message.Term > n.term && !n.acceptNewerTerm(message) {
		return
	}
	n.handleMessage(message)
}

// handleMessage handles a message of the current term, or one that is valid in any term.
func (n *Node) handleMessage(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessagePreVoteReply:
		n.handlePreVoteReply(message)
	case MessageRequestVote:
		n.handleRequestVote(message)
	case MessageRequestVoteReply:
		n.handleRequestVoteReply(message)
	case MessageAppendEntries:
		n.handleAppendEntries(message)
	case MessageHeartbeat:
		n.handleHeartbeat(message)
	case MessageInstallSnapshot:
		n.handleInstallSnapshot(message)
	case MessageAppendEntriesReply, MessageInstallSnapshotReply:
		n.handleAppendEntriesReply(message)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(message)
	case MessageTimeoutNow:
		n.handleTimeoutNow(message)
	}
}

// acceptsStaleTerm reports whether a message of a former term is handled nevertheless. It returns false unless a
// test omits RuleAppendCurrentTerm.
func (n *Node) acceptsStaleTerm(message Message) bool {
	return message.Kind == MessageAppendEntries && !n.enforces(RuleAppendCurrentTerm)
}

// rejectStaleTerm replies to a request of a former term with the current term, so that the sender steps down.
func (n *Node) rejectStaleTerm(message Message) {
	reply := Message{To: message.From, Term: n.term, LogIndex: message.LogIndex, Reject: true}
	switch message.Kind {
	case MessageAppendEntries, MessageHeartbeat, MessageInstallSnapshot:
		reply.Kind = MessageAppendEntriesReply
	case MessagePreVote:
		reply.Kind = MessagePreVoteReply
	case MessageRequestVote:
		reply.Kind = MessageRequestVoteReply
	default:
		return
	}
	n.send(reply)
}

// acceptNewerTerm enters the term of a message from a later term. It returns false if the message must be
// ignored. PreVote messages and granted pre-votes do not change the term.
func (n *Node) acceptNewerTerm(message Message) bool {
	switch {
	case message.Kind == MessagePreVote:
		return true
	case message.Kind == MessagePreVoteReply && !message.Reject:
		return true
	case message.Kind == MessageRequestVote && n.inLeaderLease() && !message.LeadershipTransfer:
		return false
	}
	n.becomeFollower(message.Term)
	return true
}
