// Package consensus is the Raft consensus core of one replica group: it elects a leader, replicates
// a log of entries to a majority of voters and changes the group's membership one member at a time.
//
// The core is a deterministic state machine. It has no goroutine, socket, file or clock of its own, so that a
// test or a simulation can drive it through any order of events. The caller uses each Node from a single
// goroutine and does all input and output:
//
//   - it passes events, each with the monotonic time (Tick, Step, Propose, ReadIndex, ChangeMembers);
//   - it calls Ready, writes Ready.Persist to disk, sends Ready.Messages, hands Ready.Restore and
//     Ready.Committed to the replicated state machine and answers Ready.Reads;
//   - it calls Persisted once a write is durable. Messages that assert something durable, such as
//     votes and acknowledgements, are released only then.
//
// Package replica is the caller in the control plane, package simulation the one in simulated tests. The
// example in this package drives a group of three members in memory.
//
// Names follow the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) and of Ongaro's dissertation (2014): AppendEntries, RequestVote,
// InstallSnapshot and TimeoutNow messages, pre-vote (dissertation 9.6), learners (4.2.1, "non-voting
// members"), single-server membership changes (4.1), leadership transfer (3.10), linearizable reads by
// ReadIndex (6.4) and the leader's quorum check (6.2).
//
// The implementation differs from the paper as follows:
//
//   - Writes to disk are asynchronous. A leader replicates an entry while the write to its own disk
//     is in progress, and counts itself towards the majority only once the entry is durable there
//     (persistence.go).
//   - A member that starts with an empty disk does not vote until a leader has sent it the group's state,
//     and its machine rejoins under a new MemberID. The membership keeps replaced IDs as tombstones, so that
//     they are never admitted again.
//   - A leader whose disk rejects or stalls writes transfers leadership to another voter (SetWritable).
//
// Source files: election.go has elections; heartbeat.go the leader's heartbeats and quorum check;
// replication.go and progress.go log replication; commit.go the commit index; ready.go and persistence.go the
// order in which state must become durable; membership.go membership changes; compaction.go log compaction.
package consensus
