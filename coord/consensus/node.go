package consensus

import (
	"fmt"
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

// Check reports whether the state can be used: entries follow the snapshot without a gap, and terms never fall.
func (s *PersistedState) Check() error {
	index, term := s.Snapshot.Index, s.Snapshot.Term
	if index == 0 && len(s.Entries) > 0 {
		return fmt.Errorf("%w: entries without a snapshot", ErrInvalidState)
	}
	for _, entry := range s.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("%w: entry %d follows %d", ErrInvalidState, entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d follows term %d", ErrInvalidState, entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
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

// isLeaderMessage reports whether only a leader sends messages of this kind.
func isLeaderMessage(kind MessageKind) bool {
	return kind == MessageAppendEntries || kind == MessageHeartbeat || kind == MessageInstallSnapshot
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

// Status describes the member.
func (n *Node) Status() Status {
	status := Status{
		Role:         n.role,
		Term:         n.term,
		Leader:       n.leaderID,
		Members:      n.members(),
		Retired:      n.memberships[len(n.memberships)-1].retired,
		CommitIndex:  n.commitIndex,
		AppliedIndex: n.appliedIndex,
		FirstIndex:   n.log.firstIndex(),
		LastIndex:    n.log.lastIndex(),
		DurableIndex: n.persistence.stableIndex,
		ConfirmedAt:  n.confirmedAt,
	}
	if n.role == RoleLeader {
		status.ConfirmedAt = n.quorumContactAt()
	}
	return status
}
