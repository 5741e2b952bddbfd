package consensus

import "strconv"

// MessageKind is the kind of a message. Its numbers are sent.
type MessageKind uint8

// The kinds of messages: requests and their replies.
const (
	MessagePreVote              MessageKind = iota // asks whether the receiver would vote for the sender in the next term
	MessagePreVoteReply                            // the answer; it binds the sender to nothing
	MessageRequestVote                             // a candidate asks for a vote in its term
	MessageRequestVoteReply                        // sent once the vote is durable
	MessageAppendEntries                           // the leader replicates entries
	MessageAppendEntriesReply                      // acknowledges durable entries, or rejects the request
	MessageHeartbeat                               // the leader asserts its term and passes its commit index
	MessageHeartbeatReply                          // answers a heartbeat round
	MessageInstallSnapshot                         // the leader replaces the receiver's log by a snapshot
	MessageInstallSnapshotReply                    // handled as MessageAppendEntriesReply, which this version sends instead
	MessageTimeoutNow                              // the leader asks the receiver to start an election at once
)

// messageKindNames are the names of the kinds, by number.
var messageKindNames = [...]string{
	MessagePreVote:              "PreVote",
	MessagePreVoteReply:         "PreVoteReply",
	MessageRequestVote:          "RequestVote",
	MessageRequestVoteReply:     "RequestVoteReply",
	MessageAppendEntries:        "AppendEntries",
	MessageAppendEntriesReply:   "AppendEntriesReply",
	MessageHeartbeat:            "Heartbeat",
	MessageHeartbeatReply:       "HeartbeatReply",
	MessageInstallSnapshot:      "InstallSnapshot",
	MessageInstallSnapshotReply: "InstallSnapshotReply",
	MessageTimeoutNow:           "TimeoutNow",
}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return "message kind " + strconv.Itoa(int(k))
}

// Message is a message between two members of a group. Not all kinds use all fields.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	Term     uint64

	// LogIndex is, of
	//  - AppendEntries: the index of the entry before the first one sent (prevLogIndex);
	//  - PreVote and RequestVote: the index of the candidate's last entry (lastLogIndex);
	//  - AppendEntriesReply: the last entry that matches the leader's log and is durable;
	//    of a rejection, the LogIndex of the rejected request;
	//  - HeartbeatReply: the last entry that matches the leader's log.
	LogIndex uint64
	// LogTerm is the term of the entry at LogIndex, in requests.
	LogTerm  uint64
	Commit   uint64 // the leader's commit index
	Entries  []Entry
	Snapshot *Snapshot // of InstallSnapshot
	Reject   bool      // in replies
	// HintIndex is, of
	//  - AppendEntriesReply: the last entry that matches, durable or not; of a rejection,
	//    the highest index at which the logs may match;
	//  - HeartbeatReply: the last entry that matches and is durable.
	HintIndex uint64
	HintTerm  uint64 // of a rejection: the term of the rejecting member's entry at HintIndex

	// HeartbeatRound numbers the round of heartbeats that a Heartbeat and its reply belong to.
	// 0: the message passes the commit index alone and wants no reply.
	HeartbeatRound uint64
	// LeadershipTransfer marks a RequestVote as part of a leadership transfer, so that the
	// receivers' leases on the old leader do not hold it back.
	LeadershipTransfer bool
}

// isLeaderMessage reports whether only a leader sends messages of this kind.
func isLeaderMessage(kind MessageKind) bool {
	return kind == MessageAppendEntries || kind == MessageHeartbeat || kind == MessageInstallSnapshot
}
