package consensus

import (
	"time"
)

// Step takes a message from another member. Messages may be lost, repeated, late and out of order.
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

// acceptsStaleTerm reports whether a message of a former term is taken all the same.
func (n *Node) acceptsStaleTerm(message Message) bool {
	return message.Kind == MessageAppendEntries && !n.enforces(RuleAppendCurrentTerm)
}

// rejectStaleTerm tells the sender of a former term's message the present term.
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

// acceptNewerTerm takes over the term of a message from a later one. It returns false if the message is to be ignored.
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
