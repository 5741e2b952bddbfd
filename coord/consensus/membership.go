package consensus

import (
	"slices"
	"time"
)

// membership is the group's membership from an index of the log on.
type membership struct {
	index    uint64
	members  []Member // without tombstones
	recorded []Member // as in the log: with the tombstones of retired IDs
	retired  []MemberID
}

// newMembership separates the recorded members from the tombstones.
func newMembership(index uint64, recorded []Member) membership {
	result := membership{index: index, recorded: recorded}
	for _, member := range recorded {
		if member.Retired {
			result.retired = append(result.retired, member.ID)
		} else {
			result.members = append(result.members, member)
		}
	}
	return result
}

// MembershipChange adds, updates or removes one member. One at a time suffices for any two majorities, of
// before and after, to share a member (dissertation 4.1).
type MembershipChange struct {
	Add    *Member  // a new learner, or a member with its new address and role
	Remove MemberID // if Add is nil
	Retire bool     // with Remove: a tombstone remains, so that the ID is never admitted again
}

// maxRetiredMembers bounds the tombstones; beyond it the oldest are dropped.
const maxRetiredMembers = 64

// maxPromotionLag is the number of entries that a learner may lack when it becomes a voter. It also bounds
// the entries that a removed member is sent at last.
const maxPromotionLag = 256

// currentMembership returns the last membership in the log.
func (n *Node) currentMembership() *membership {
	return &n.memberships[len(n.memberships)-1]
}

// members returns the current membership: the last one in the log, committed or not (dissertation 4.1).
func (n *Node) members() []Member {
	return n.currentMembership().members
}

// recorded returns the current membership with the tombstones of retired IDs.
func (n *Node) recorded() []Member {
	return n.currentMembership().recorded
}

// membershipAt returns the membership in force at an index.
func (n *Node) membershipAt(index uint64) membership {
	i := len(n.memberships) - 1
	for i > 0 && n.memberships[i].index > index {
		i--
	}
	return n.memberships[i]
}

// recordMemberships takes over the memberships among appended entries.
func (n *Node) recordMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.memberships = append(n.memberships, newMembership(entry.Index, entry.Members))
		}
	}
}

// rollBackMemberships drops the memberships from index on, after a truncation.
func (n *Node) rollBackMemberships(index uint64) {
	for len(n.memberships) > 1 && n.currentMembership().index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships before the one in force at index.
func (n *Node) compactMemberships(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

// findMember returns the member with an ID.
func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// ChangeMembers appends a change of one member to the leader's log. The change is in force at once, and the
// next one is allowed when it is committed. A member is added as a learner, and becomes a voter once its
// log is nearly complete (CanPromote). A change without effect appends nothing.
//
// A leader makes no change before an entry of its own term is committed: without this, the algorithm of the
// dissertation lets two leaders make changes whose majorities do not intersect (Ongaro's correction of 2015).
//
// Errors: ErrNotLeader, ErrTransferInProgress, ErrMembershipChange.
func (n *Node) ChangeMembers(now time.Duration, change MembershipChange) error {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return err
	}
	if n.currentMembership().index > n.commitIndex && n.enforces(RuleMembershipSingleChange) {
		return ErrMembershipChange
	}
	if !n.currentTermCommitted() && n.enforces(RuleMembershipCurrentTerm) {
		return ErrMembershipChange
	}
	recorded, changed := applyChange(n.recorded(), change)
	if !changed {
		return nil
	}
	if !n.changeAllowed(change, newMembership(0, recorded).members) {
		return ErrMembershipChange
	}
	n.appendEntry(Entry{Kind: EntryMembership, Members: recorded})
	n.syncPeers()
	n.advanceCommit()
	return nil
}

// applyChange returns the recorded members after a change, and whether they differ.
func applyChange(recorded []Member, change MembershipChange) ([]Member, bool) {
	if change.Add == nil {
		return removeMember(recorded, change)
	}
	altered := slices.Clone(recorded)
	for i, member := range altered {
		if member.ID == change.Add.ID {
			altered[i] = *change.Add
			return altered, member != *change.Add
		}
	}
	return append(altered, *change.Add), true
}

// removeMember removes a member, and leaves its tombstone if it is retired.
func removeMember(recorded []Member, change MembershipChange) ([]Member, bool) {
	member, known := findMember(recorded, change.Remove)
	if !known || member.Retired {
		return recorded, false
	}
	remaining := slices.DeleteFunc(slices.Clone(recorded), func(member Member) bool { return member.ID == change.Remove })
	if !change.Retire {
		return remaining, true
	}
	return trimRetired(append(remaining, Member{ID: change.Remove, Retired: true})), true
}

// trimRetired drops the oldest tombstones beyond the bound. They stand in the order in which they were
// added.
func trimRetired(recorded []Member) []Member {
	surplus := -maxRetiredMembers
	for _, member := range recorded {
		if member.Retired {
			surplus++
		}
	}
	return slices.DeleteFunc(recorded, func(member Member) bool {
		if !member.Retired || surplus <= 0 {
			return false
		}
		surplus--
		return true
	})
}

// changeAllowed reports whether a change of a single member is safe and leaves a group that works: a new
// voter was a learner with a nearly complete log, and a majority of the new voters answers.
func (n *Node) changeAllowed(change MembershipChange, members []Member) bool {
	if change.Add != nil && !n.addAllowed(*change.Add, change.Remove) {
		return false
	}
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	quorumContact := n.quorumValue(members, n.contactAt)
	return voters > 0 && n.now-time.Duration(quorumContact) <= n.config.ElectionTimeout
}

// addAllowed reports whether a member may be added or updated.
func (n *Node) addAllowed(added Member, removed MemberID) bool {
	if added.ID == 0 || removed != 0 || added.Retired {
		return false
	}
	if known, found := findMember(n.recorded(), added.ID); found && known.Retired && n.enforces(RuleRetiredNeverReturns) {
		return false
	}
	return !added.Voter || n.isVoter(added.ID) || n.CanPromote(added.ID)
}

// CanPromote reports whether a learner may become a voter now: it answers heartbeats, and its durable log
// is nearly complete and contains the current membership. Only the leader knows; others return false.
func (n *Node) CanPromote(id MemberID) bool {
	peer := n.peer(id)
	if n.role != RoleLeader || peer == nil || peer.removing {
		return false
	}
	caughtUp := peer.matchIndex+maxPromotionLag >= n.log.lastIndex() && peer.matchIndex >= n.currentMembership().index
	return n.responsive(peer) && caughtUp
}

// MatchIndex returns the last entry that a member is known to have made durable. It returns false on any
// member but the leader, and for an unknown member.
func (n *Node) MatchIndex(id MemberID) (index uint64, known bool) {
	if n.role != RoleLeader {
		return 0, false
	}
	if id == n.config.ID {
		return n.persistence.stableIndex, true
	}
	peer := n.peer(id)
	if peer == nil {
		return 0, false
	}
	return peer.matchIndex, true
}
