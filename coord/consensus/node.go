package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

// NoTick is what NextTick returns if no timeout is running.
const NoTick = time.Duration(math.MaxInt64)

// Node is one member of a replica group. It is not safe for concurrent use: its caller owns it with one
// goroutine.
type Node struct {
	config       Config
	omittedRules map[Rule]bool
	random       *rand.Rand
	now          time.Duration // of the latest call; never decreases
	diskWritable bool          // SetWritable

	role     Role
	term     uint64
	votedFor MemberID // in term; 0: nobody
	leaderID MemberID // in term; 0: unknown

	log          entryLog
	snapshot     Snapshot     // the latest one: sent to members that lack entries no longer in the log
	memberships  []membership // the one at or before the first entry of the log, then those in the log
	commitIndex  uint64
	appliedIndex uint64 // last entry handed out as Ready.Committed

	election    electionState // of a follower or candidate
	follower    followerState
	leader      leaderState // of a leader; zero otherwise
	persistence persistenceTracker

	// What the next Ready hands out.
	messages            []Message
	readResults         []ReadResult
	pendingRestore      *Snapshot
	unpersistedSnapshot *Snapshot // received from the leader
}

// New returns a member that starts from what it found on its disk, which must be durable and pass
// stored.Check: New panics otherwise. The first Ready returns a stored snapshot as Restore, and the
// entries known to be committed.
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

// restoreLog takes over the stored snapshot and entries.
func (n *Node) restoreLog(stored PersistedState) {
	base := stored.Snapshot
	n.log = entryLog{baseIndex: base.Index, baseTerm: base.Term}
	n.log.append(stored.Entries...)
	n.commitIndex = max(base.Index, min(stored.HardState.Commit, n.log.lastIndex()))
	n.appliedIndex = base.Index
	n.follower.verifiedIndex = n.commitIndex
	n.memberships = []membership{newMembership(base.Index, base.Members)}
	n.recordMemberships(stored.Entries)
	if base.Index > 0 {
		n.pendingRestore = &n.snapshot
	}
	n.persistence.stableIndex = n.log.lastIndex()
	n.persistence.firstUnsaved = n.log.lastIndex() + 1
}

// restoreTerm takes over the stored term and vote. An entry may have become durable without the term
// that it belongs to, if power was lost between the two writes: the member has sent no vote in that
// term then, so that it starts the term with its vote free.
func (n *Node) restoreTerm(hardState HardState) {
	n.term = hardState.Term
	if n.log.lastTerm() > n.term {
		n.term, n.votedFor = n.log.lastTerm(), 0
	}
	n.persistence.lastRequested = hardState
	n.persistence.durable = HardState{Term: hardState.Term, Vote: hardState.Vote}
}

// advanceClock takes over the caller's monotonic time. An earlier time than the latest one is ignored.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick acts on the time-outs that have passed: of an election, of heartbeats, of a leadership transfer.
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

// NextTick returns the time by which Tick must be called, or NoTick. It may change with every other call.
func (n *Node) NextTick() time.Duration {
	if n.role == RoleLeader {
		return n.leader.nextTick()
	}
	if !n.canCampaign() {
		return NoTick
	}
	return n.election.deadline
}

// becomeFollower enters a newer term, or gives up the candidate's or leader's role in the current one.
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

// enterTerm starts a term with a vote, 0 for none. It becomes durable with the next PersistRequest.
func (n *Node) enterTerm(term uint64, vote MemberID) {
	n.term, n.votedFor = term, vote
	n.follower.verifiedIndex = n.commitIndex
	n.follower.ackedIndex = 0
}

// send queues a message for the next Ready. It is of the current term unless it carries another.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// commitTo raises the commit index to an index, at most to the end of the log. It never decreases.
func (n *Node) commitTo(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.log.lastIndex()))
}

// currentTermCommitted reports whether an entry of the current term is committed.
func (n *Node) currentTermCommitted() bool {
	return n.log.matches(n.commitIndex, n.term)
}
