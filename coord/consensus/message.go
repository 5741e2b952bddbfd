package consensus

// MessageKind tells what a message asks or answers.
type MessageKind uint8

const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageRequestVote
	MessageRequestVoteReply
	MessageAppendEntries
	MessageAppendEntriesReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageInstallSnapshot
	MessageInstallSnapshotReply
	MessageTimeoutNow // the leader asks the receiver to campaign at once
)

// Message is what two members of a group say to each other.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	Term     uint64
	LogIndex uint64 // Append: entry before the first one sent. Vote: last entry of the candidate. AppendReply: last matching entry
	// that is durable; rejected: LogIndex of the Append. HeartbeatReply: last matching entry
	LogTerm            uint64
	Commit             uint64
	Entries            []Entry
	Snapshot           *Snapshot
	Reject             bool
	HintIndex          uint64 // AppendReply: last matching entry; rejected: where to go on. HeartbeatReply: last matching entry that is durable
	HintTerm           uint64
	HeartbeatRound     uint64 // Heartbeat and its reply: the read round that it confirms; 0: tells the commit index and wants no reply
	LeadershipTransfer bool   // Vote: part of a planned transfer, so leases do not hold it back
}

// isLeaderMessage reports whether only a leader sends messages of this kind.
func isLeaderMessage(kind MessageKind) bool {
	return kind == MessageAppendEntries || kind == MessageHeartbeat || kind == MessageInstallSnapshot
}
