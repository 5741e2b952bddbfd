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
	config  Config
	omitted map[Rule]bool
	random  *rand.Rand
	now     time.Duration

	role   Role
	term   uint64
	vote   MemberID
	leader MemberID

	log         entryLog
	snapshot    Snapshot
	memberships []membership // the one at the snapshot or before, then those in the log
	commit      uint64
	applied     uint64

	writable  bool
	deadline  time.Duration // of a follower or candidate: when it campaigns
	lastHeard time.Duration // when the leader was last heard
	current   time.Duration // of a follower: Status.Confirmed
	verified  uint64        // up to where the log is the same as the leader's
	acked     uint64        // highest index acknowledged to the leader of this term
	grantTo   MemberID      // whom a vote was given that is not durable yet

	ballots       map[MemberID]bool
	forced        bool // the campaign is part of a planned transfer
	ballotsAsked  bool
	leading       leadership
	disk          durability
	outgoing      []Message
	readResults   []ReadResult
	restorePoint  *Snapshot // the state machine has not taken it yet
	pendingInsert *Snapshot // received and not yet handed out to be made durable
}

// New makes a member from what it found on its disk, which must be durable and pass
// stored.Check: New panics otherwise. The first Take returns a stored snapshot as Restore.
func New(config Config, stored Stored, now time.Duration) *Node {
	if err := stored.Check(); err != nil {
		panic(err)
	}
	n := &Node{
		config:   config,
		omitted:  make(map[Rule]bool, len(config.Omit)),
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		now:      now,
		writable: true,
		vote:     stored.HardState.Vote,
		snapshot: stored.Snapshot,
	}
	for _, rule := range config.Omit {
		n.omitted[rule] = true
	}
	n.loadLog(stored)
	n.loadTerm(stored.HardState)
	n.firstDeadline()
	return n
}

// Check reports whether the state can be used: entries follow the snapshot without a gap, and terms never fall.
func (s *Stored) Check() error {
	index, term := s.Snapshot.Index, s.Snapshot.Term
	if index == 0 && len(s.Entries) > 0 {
		return fmt.Errorf("%w: entries without a snapshot", ErrStored)
	}
	for _, entry := range s.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("%w: entry %d follows %d", ErrStored, entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d follows term %d", ErrStored, entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

func (n *Node) loadLog(stored Stored) {
	base := stored.Snapshot
	n.log = entryLog{base: base.Index, baseTerm: base.Term}
	n.log.append(stored.Entries...)
	n.commit = max(base.Index, min(stored.HardState.Commit, n.log.last()))
	n.applied = base.Index
	n.verified = n.commit
	n.memberships = []membership{newMembership(base.Index, base.Members)}
	n.noteMembers(stored.Entries)
	if base.Index > 0 {
		n.restorePoint = &n.snapshot
	}
	n.disk.stable = n.log.last()
	n.disk.unsaved = n.log.last() + 1
}

// loadTerm sets the term. An entry may have become durable without the term it belongs to,
// if power was lost in between: no vote of that term has left this machine then.
func (n *Node) loadTerm(hard HardState) {
	n.term = hard.Term
	if n.log.lastTerm() > n.term {
		n.term, n.vote = n.log.lastTerm(), 0
	}
	n.disk.saved = hard
	n.disk.durable = HardState{Term: hard.Term, Vote: hard.Vote}
}

// advance takes over the caller's time, which never runs backwards.
func (n *Node) advance(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick acts on timeouts that have passed.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.deadline {
		n.electionDue()
	}
}

// NextTick returns when Tick must be called at the latest, or NoTick.
func (n *Node) NextTick() time.Duration {
	if n.role == RoleLeader {
		return n.leading.nextTick()
	}
	if !n.mayCampaign() {
		return NoTick
	}
	return n.deadline
}

// Step takes a message from another member. Messages may be lost, repeated, late and out of order.
func (n *Node) Step(now time.Duration, message Message) {
	n.advance(now)
	if message.To != n.config.ID || message.From == n.config.ID {
		return
	}
	n.checkQuorum()
	if n.silent() && !fromLeader(message.Kind) {
		return
	}
	if message.Term < n.term && !n.acceptsOld(message) {
		n.answerOld(message)
		return
	}
	if message.Term > n.term && !n.admitTerm(message) {
		return
	}
	n.dispatch(message)
}

func (n *Node) dispatch(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.onPreVote(message)
	case MessagePreVoteReply:
		n.onPreVoteReply(message)
	case MessageVote:
		n.onVote(message)
	case MessageVoteReply:
		n.onVoteReply(message)
	case MessageAppend:
		n.onAppend(message)
	case MessageHeartbeat:
		n.onHeartbeat(message)
	case MessageSnapshot:
		n.onSnapshot(message)
	case MessageAppendReply, MessageSnapshotReply:
		n.onAppendReply(message)
	case MessageHeartbeatReply:
		n.onHeartbeatReply(message)
	case MessageTransferNow:
		n.onTransferNow(message)
	}
}

// fromLeader reports whether only a leader sends messages of this kind.
func fromLeader(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageHeartbeat || kind == MessageSnapshot
}

// acceptsOld reports whether a message of a former term is taken all the same.
func (n *Node) acceptsOld(message Message) bool {
	return message.Kind == MessageAppend && !n.holds(RuleAppendTerm)
}

// answerOld tells the sender of a former term's message the present term.
func (n *Node) answerOld(message Message) {
	reply := Message{To: message.From, Term: n.term, LogIndex: message.LogIndex, Reject: true}
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		reply.Kind = MessageAppendReply
	case MessagePreVote:
		reply.Kind = MessagePreVoteReply
	case MessageVote:
		reply.Kind = MessageVoteReply
	default:
		return
	}
	n.send(reply)
}

// admitTerm takes over the term of a message from a later one. It returns false if the message is to be ignored.
func (n *Node) admitTerm(message Message) bool {
	switch {
	case message.Kind == MessagePreVote:
		return true
	case message.Kind == MessagePreVoteReply && !message.Reject:
		return true
	case message.Kind == MessageVote && n.hearsLeader() && !message.Forced:
		return false
	}
	n.becomeFollower(message.Term)
	return true
}

// becomeFollower enters a term, or leaves the candidate's or leader's role in the present one.
func (n *Node) becomeFollower(term uint64) {
	if n.role == RoleLeader {
		n.stopLeading()
	}
	n.role = RoleFollower
	n.leader = 0
	n.ballots = nil
	n.grantTo = 0
	n.resetDeadline()
	if term > n.term {
		n.enterTerm(term, 0)
	}
}

func (n *Node) enterTerm(term uint64, vote MemberID) {
	n.term, n.vote = term, vote
	n.verified = n.commit
	n.acked = 0
}

// send queues a message of the present term unless it carries one.
func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.outgoing = append(n.outgoing, message)
}

// setCommit raises the commit index.
func (n *Node) setCommit(index uint64) {
	n.commit = max(n.commit, min(index, n.log.last()))
}

// ownTermCommitted reports whether an entry of the present term is committed.
func (n *Node) ownTermCommitted() bool {
	return n.log.matches(n.commit, n.term)
}

// Status describes the member.
func (n *Node) Status() Status {
	status := Status{
		Role:      n.role,
		Term:      n.term,
		Leader:    n.leader,
		Members:   n.members(),
		Retired:   n.memberships[len(n.memberships)-1].retired,
		Commit:    n.commit,
		Applied:   n.applied,
		First:     n.log.first(),
		Last:      n.log.last(),
		Durable:   n.disk.stable,
		Confirmed: n.current,
	}
	if n.role == RoleLeader {
		status.Confirmed = n.quorumAnswered()
	}
	return status
}
