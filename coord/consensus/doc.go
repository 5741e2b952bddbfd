// Package consensus is the Raft consensus core of one replica group: it elects a leader, replicates
// a log of entries to a majority of voters and changes the group's membership one member at a time.
//
// The core is a pure state machine. It has no goroutine, no socket, no file and no clock of its own,
// so that a test or a simulation can drive it through any order of events. Its caller, one goroutine
// a Node, does all input and output:
//
//   - it passes the monotonic time and each event (Tick, Step, Propose, ReadIndex, ChangeMembers);
//   - it calls Ready, writes Ready.Persist to disk, sends Ready.Messages, hands Ready.Restore and
//     Ready.Committed to the replicated state machine and answers Ready.Reads;
//   - it calls Persisted once a write is durable. Messages that assert something durable, such as
//     votes and acknowledgements, are made only then.
//
// Package replica is that caller in the control plane, package simulation in the tests. The example
// in this package drives a group of three members in memory.
//
// The names are those of the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) and of Ongaro's dissertation (2014): AppendEntries, RequestVote,
// InstallSnapshot and TimeoutNow messages, pre-vote (dissertation 9.6), learners (4.2.1, "non-voting
// members"), membership changes of a single member (4.1), leadership transfer (3.10), linearizable
// reads by a ReadIndex (6.4) and the leader's check of its quorum (6.2).
//
// Differences from the paper that a reader should know:
//
//   - Writes to disk are asynchronous. A leader replicates an entry while its own disk still writes
//     it, and counts itself for the entry only once it is durable (persistence.go).
//   - A member that starts with an empty disk gives no vote until a leader has sent it the group's
//     state; its machine returns under a new MemberID. IDs that were replaced are remembered in the
//     membership and never admitted again.
//   - A leader whose disk takes no writes transfers leadership away (SetWritable).
//
// Where to look: elections in election.go, the leader's heartbeats and its check of the quorum in
// heartbeat.go, replication in replication.go and progress.go, the commit index in commit.go, what
// must be durable before what in ready.go and persistence.go, membership changes in membership.go,
// compaction of the log in compaction.go.
package consensus
