package consensus

import (
	"math"
	"math/rand/v2"
	"time"
)

// NoTick is what NextTick returns if no timeout is running.
const NoTick = time.Duration(math.MaxInt64)

// Node is one member of a replica group. It is not safe for concurrent use.
type Node struct {
	config        Config
	disabledRules map[Rule]bool
	random        *rand.Rand
	now           time.Duration

	role     Role
	term     uint64
	votedFor MemberID
	leaderID MemberID

	log          entryLog
	snapshot     Snapshot
	memberships  []membership // the one at the snapshot or before, then those in the log
	commitIndex  uint64
	appliedIndex uint64

	diskWritable     bool
	electionDeadline time.Duration // of a follower or candidate: when it campaigns
	leaderContactAt  time.Duration // when the leader was last heard
	confirmedAt      time.Duration // of a follower: Status.Confirmed
	verifiedIndex    uint64        // up to where the log is the same as the leader's
	ackedIndex       uint64        // highest index acknowledged to the leader of this term
	pendingVote      MemberID      // whom a vote was given that is not durable yet

	grantedVotes        map[MemberID]bool
	transferElection    bool // the campaign is part of a planned transfer
	votesRequested      bool
	leaderState         leaderState
	persistence         persistenceTracker
	messages            []Message
	readResults         []ReadResult
	pendingRestore      *Snapshot // the state machine has not taken it yet
	unpersistedSnapshot *Snapshot // received and not yet handed out to be made durable
}

// New makes a member from what it found on its disk, which must be durable and pass
// stored.Check: New panics otherwise. The first Take returns a stored snapshot as Restore.
func New(config Config, stored PersistedState, now time.Duration) *Node {
	if err := stored.Check(); err != nil {
		panic(err)
	}
	n := &Node{
		config:        config,
		disabledRules: make(map[Rule]bool, len(config.DisabledRules)),
		random:        rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		now:           now,
		diskWritable:  true,
		votedFor:      stored.HardState.Vote,
		snapshot:      stored.Snapshot,
	}
	for _, rule := range config.DisabledRules {
		n.disabledRules[rule] = true
	}
	n.restoreLog(stored)
	n.restoreTerm(stored.HardState)
	n.setInitialElectionDeadline()
	return n
}

func (n *Node) restoreLog(stored PersistedState) {
	base := stored.Snapshot
	n.log = entryLog{baseIndex: base.Index, baseTerm: base.Term}
	n.log.append(stored.Entries...)
	n.commitIndex = max(base.Index, min(stored.HardState.Commit, n.log.lastIndex()))
	n.appliedIndex = base.Index
	n.verifiedIndex = n.commitIndex
	n.memberships = []membership{newMembership(base.Index, base.Members)}
	n.recordMemberships(stored.Entries)
	if base.Index > 0 {
		n.pendingRestore = &n.snapshot
	}
	n.persistence.stableIndex = n.log.lastIndex()
	n.persistence.firstUnsaved = n.log.lastIndex() + 1
}

// restoreTerm sets the term. An entry may have become durable without the term it belongs to,
// if power was lost in between: no vote of that term has left this machine then.
func (n *Node) restoreTerm(hardState HardState) {
	n.term = hardState.Term
	if n.log.lastTerm() > n.term {
		n.term, n.votedFor = n.log.lastTerm(), 0
	}
	n.persistence.handedOut = hardState
	n.persistence.durable = HardState{Term: hardState.Term, Vote: hardState.Vote}
}

// advanceClock takes over the caller's time, which never runs backwards.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick acts on timeouts that have passed.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.startPreVote()
	}
}

// NextTick returns when Tick must be called at the latest, or NoTick.
func (n *Node) NextTick() time.Duration {
	if n.role == RoleLeader {
		return n.leaderState.nextTick()
	}
	if !n.canCampaign() {
		return NoTick
	}
	return n.electionDeadline
}

// becomeFollower enters a term, or leaves the candidate's or leader's role in the present one.
func (n *Node) becomeFollower(term uint64) {
	if n.role == RoleLeader {
		n.resetLeaderState()
	}
	n.role = RoleFollower
	n.leaderID = 0
	n.grantedVotes = nil
	n.pendingVote = 0
	n.resetElectionDeadline()
	if term > n.term {
		n.enterTerm(term, 0)
	}
}

func (n *Node) enterTerm(term uint64, vote MemberID) {
	n.term, n.votedFor = term, vote
	n.verifiedIndex = n.commitIndex
	n.ackedIndex = 0
}

// send queues a message of the present term unless it carries one.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// commitTo raises the commit index.
func (n *Node) commitTo(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.log.lastIndex()))
}

// currentTermCommitted reports whether an entry of the present term is committed.
func (n *Node) currentTermCommitted() bool {
	return n.log.matches(n.commitIndex, n.term)
}
