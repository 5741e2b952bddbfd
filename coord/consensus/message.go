package consensus

import "strconv"

// MessageKind is the kind of a message. The numeric values are part of the wire format.
type MessageKind uint8

// The kinds of messages: requests and their replies.
const (
	MessagePreVote              MessageKind = iota // asks whether the receiver would vote for the sender in the next term
	MessagePreVoteReply                            // answers a PreVote; commits the sender to nothing
	MessageRequestVote                             // a candidate requests a vote in its term
	MessageRequestVoteReply                        // grants the vote once that is durable, or rejects it
	MessageAppendEntries                           // the leader replicates entries
	MessageAppendEntriesReply                      // acknowledges durable entries, or rejects the request
	MessageHeartbeat                               // the leader asserts its leadership and sends its commit index
	MessageHeartbeatReply                          // acknowledges a heartbeat round
	MessageInstallSnapshot                         // the leader replaces the receiver's log with a snapshot
	MessageInstallSnapshotReply                    // handled like MessageAppendEntriesReply, which this version sends instead
	MessageTimeoutNow                              // the leader asks the receiver to start an election immediately
)

// messageKindNames are the names that MessageKind.String returns.
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

// Message is a message between two members of a group. Which fields are set depends on the kind.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	Term     uint64

	// LogIndex depends on the kind:
	//  - AppendEntries: the index of the entry that precedes Entries (prevLogIndex);
	//  - PreVote and RequestVote: the index of the candidate's last entry (lastLogIndex);
	//  - AppendEntriesReply: the last entry that matches the leader's log and is durable;
	//    in a rejection, the LogIndex of the rejected request;
	//  - HeartbeatReply: the last entry that matches the leader's log, durable or not.
	LogIndex uint64
	// LogTerm is the term of the entry at LogIndex. Only requests set it.
	LogTerm  uint64
	Commit   uint64 // the leader's commit index
	Entries  []Entry
	Snapshot *Snapshot // of InstallSnapshot
	Reject   bool      // in replies
	// HintIndex depends on the kind:
	//  - AppendEntriesReply: the last entry that matches, durable or not; in a rejection,
	//    the highest index at which the logs may match;
	//  - HeartbeatReply: the last entry that matches and is durable.
	HintIndex uint64
	HintTerm  uint64 // in a rejection: the term of the rejecting member's entry at HintIndex

	// HeartbeatRound is the number of the round that a Heartbeat and its reply belong to. A Heartbeat
	// with round 0 only carries the commit index and requests no reply.
	HeartbeatRound uint64
	// LeadershipTransfer marks a RequestVote as part of a leadership transfer: receivers handle it
	// although the old leader's lease has not expired.
	LeadershipTransfer bool
}

// isLeaderMessage reports whether only a leader sends messages of this kind.
func isLeaderMessage(kind MessageKind) bool {
	return kind == MessageAppendEntries || kind == MessageHeartbeat || kind == MessageInstallSnapshot
}
