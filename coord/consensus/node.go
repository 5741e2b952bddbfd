package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

// NoTick is returned by NextTick if no timeout is pending.
const NoTick = time.Duration(math.MaxInt64)

// Node is one member of a replica group. It is not safe for concurrent use.
type Node struct {
	config       Config
	omittedRules map[Rule]bool
	random       *rand.Rand
	now          time.Duration // latest time passed by the caller; never decreases
	diskWritable bool          // as last set by SetWritable

	role     Role
	term     uint64
	votedFor MemberID // in term; 0: none
	leaderID MemberID // in term; 0: unknown

	log          entryLog
	snapshot     Snapshot     // latest snapshot; sent to members that need entries no longer in the log
	memberships  []membership // the one in force at the latest snapshot, then the later ones in the log
	commitIndex  uint64
	appliedIndex uint64 // last entry returned in Ready.Committed

	election    electionState // of a follower, pre-candidate or candidate
	follower    followerState
	leader      leaderState // of a leader; zero otherwise
	persistence persistenceTracker

	// Output that the next Ready returns.
	messages            []Message
	readResults         []ReadResult
	pendingRestore      *Snapshot
	unpersistedSnapshot *Snapshot // received from the leader and not yet in a PersistRequest
}

// New returns a member that starts from the state read from its disk. The state must be durable; New panics if
// stored.Check returns an error. The first Ready returns the stored snapshot, if any, as Restore and the entries
// known to be committed.
func New(config Config, stored PersistedState, now time.Duration) *Node {
	if err := stored.Check(); err != nil {
		panic(err)
	}
	n := &Node{
		config:       config,
		omittedRules: make(map[Rule]bool, len(config.OmitRules)),
		random:       rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		now:          now,
		diskWritable: true,
		votedFor:     stored.HardState.Vote,
		snapshot:     stored.Snapshot,
	}
	for _, rule := range config.OmitRules {
		n.omittedRules[rule] = true
	}
	n.restoreLog(stored)
	n.restoreTerm(stored.HardState)
	n.setInitialElectionDeadline()
	return n
}

// restoreLog initializes the log, the membership and the indexes from the stored snapshot and entries.
func (n *Node) restoreLog(stored PersistedState) {
	snapshot := stored.Snapshot
	n.log = entryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	n.log.append(stored.Entries...)
	n.commitIndex = max(snapshot.Index, min(stored.HardState.Commit, n.log.lastIndex()))
	n.appliedIndex = snapshot.Index
	n.follower.verifiedIndex = n.commitIndex
	n.memberships = []membership{newMembership(snapshot.Index, snapshot.Members)}
	n.recordMemberships(stored.Entries)
	if snapshot.Index > 0 {
		n.pendingRestore = &n.snapshot
	}
	n.persistence.stableIndex = n.log.lastIndex()
	n.persistence.firstUnrequested = n.log.lastIndex() + 1
}

// restoreTerm initializes the term and the vote. If power was lost between the two writes, an entry may be
// durable although its term is not. The member cannot have sent a vote in that term then, so it enters the
// term without a vote.
func (n *Node) restoreTerm(hardState HardState) {
	n.term = hardState.Term
	if n.log.lastTerm() > n.term {
		n.term, n.votedFor = n.log.lastTerm(), 0
	}
	n.persistence.lastRequested = hardState
	n.persistence.durable = HardState{Term: hardState.Term, Vote: hardState.Vote}
}

// advanceClock sets the current time to the caller's monotonic time, unless that is earlier.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick handles the timeouts that have expired: for elections, heartbeats, the quorum check and leadership
// transfers.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.election.deadline {
		n.startPreVote()
	}
}

// NextTick returns the time at which Tick must be called, or NoTick. Any other call may change it.
func (n *Node) NextTick() time.Duration {
	if n.role == RoleLeader {
		return n.leader.nextTick()
	}
	if !n.canCampaign() {
		return NoTick
	}
	return n.election.deadline
}

// becomeFollower makes the member a follower without a known leader. It enters the given term if that is newer
// than the current one.
func (n *Node) becomeFollower(term uint64) {
	if n.role == RoleLeader {
		n.resetLeaderState()
	}
	n.role = RoleFollower
	n.leaderID = 0
	n.election.grantedVotes = nil
	n.election.pendingVote = 0
	n.resetElectionDeadline()
	if term > n.term {
		n.enterTerm(term, 0)
	}
}

// enterTerm sets the term and the vote in it, 0 for none. The next PersistRequest contains both.
func (n *Node) enterTerm(term uint64, vote MemberID) {
	n.term, n.votedFor = term, vote
	n.follower.verifiedIndex = n.commitIndex
	n.follower.ackedIndex = 0
}

// send queues a message for the next Ready. A message without a term is sent in the current one.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// commitTo raises the commit index to index or the end of the log, whichever is lower. It never lowers it.
func (n *Node) commitTo(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.log.lastIndex()))
}

// currentTermCommitted reports whether an entry of the current term is committed.
func (n *Node) currentTermCommitted() bool {
	return n.log.matches(n.commitIndex, n.term)
}
