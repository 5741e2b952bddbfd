package consensus

import (
	"slices"
	"time"
)

// membership is the membership in force from an index of the log on.
type membership struct {
	index          uint64
	members        []Member // members of the group
	withTombstones []Member // the members and the tombstones of retired IDs, as in the log
	retired        []MemberID
}

// newMembership separates the members from the tombstones of a membership as recorded in the log.
func newMembership(index uint64, withTombstones []Member) membership {
	result := membership{index: index, withTombstones: withTombstones}
	for _, member := range withTombstones {
		if member.Retired {
			result.retired = append(result.retired, member.ID)
		} else {
			result.members = append(result.members, member)
		}
	}
	return result
}

// MembershipChange adds, updates or removes one member. Because only one member changes at a time, any majority
// before the change and any majority after it share a member (dissertation 4.1).
type MembershipChange struct {
	Add    *Member  // a new learner, or an existing member with its new address and voter status
	Remove MemberID // member to remove if Add is nil
	Retire bool     // with Remove: leaves a tombstone, so that the ID is never admitted again
}

// maxTombstones is the maximum number of tombstones. The oldest ones beyond it are dropped.
const maxTombstones = 64

// maxPromotionLag is the maximum number of entries that a learner may lack when it becomes a voter. It also limits
// the entries in the last message to a removed member.
const maxPromotionLag = 256

// currentMembership returns the last membership in the log.
func (n *Node) currentMembership() *membership {
	return &n.memberships[len(n.memberships)-1]
}

// members returns the members under the current membership, which is the last one in the log, committed or not
// (dissertation 4.1).
func (n *Node) members() []Member {
	return n.currentMembership().members
}

// membersWithTombstones returns the current members and the tombstones of retired IDs.
func (n *Node) membersWithTombstones() []Member {
	return n.currentMembership().withTombstones
}

// membershipAt returns the membership in force at an index.
func (n *Node) membershipAt(index uint64) membership {
	i := len(n.memberships) - 1
	for i > 0 && n.memberships[i].index > index {
		i--
	}
	return n.memberships[i]
}

// recordMemberships puts the memberships among appended entries into force.
func (n *Node) recordMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.memberships = append(n.memberships, newMembership(entry.Index, entry.Members))
		}
	}
}

// rollBackMemberships drops the memberships from index on, after the log was truncated there.
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

// findMember returns the member or tombstone with an ID, or false.
func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// ChangeMembers appends a change of one member to the leader's log. The change is in force immediately; another
// one is allowed once it is committed. A member must be added as a learner, and can become a voter once its log
// is nearly complete (CanPromote). A change without effect appends nothing.
//
// A leader rejects changes until an entry of its own term is committed. Without this rule, the dissertation's
// algorithm allows two leaders to make changes whose majorities do not intersect (Ongaro's correction of 2015).
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
	members, changed := applyMembershipChange(n.membersWithTombstones(), change)
	if !changed {
		return nil
	}
	if !n.changeAllowed(change, newMembership(0, members).members) {
		return ErrMembershipChange
	}
	n.appendEntry(Entry{Kind: EntryMembership, Members: members})
	n.syncPeers()
	n.advanceCommit()
	return nil
}

// applyMembershipChange returns the members and tombstones after a change, and whether they differ from before.
func applyMembershipChange(members []Member, change MembershipChange) ([]Member, bool) {
	if change.Add == nil {
		return removeMember(members, change)
	}
	updated := slices.Clone(members)
	for i, member := range updated {
		if member.ID == change.Add.ID {
			updated[i] = *change.Add
			return updated, member != *change.Add
		}
	}
	return append(updated, *change.Add), true
}

// removeMember removes a member and, if change.Retire is set, adds its tombstone.
func removeMember(members []Member, change MembershipChange) ([]Member, bool) {
	member, known := findMember(members, change.Remove)
	if !known || member.Retired {
		return members, false
	}
	remaining := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.ID == change.Remove })
	if !change.Retire {
		return remaining, true
	}
	return trimTombstones(append(remaining, Member{ID: change.Remove, Retired: true})), true
}

// trimTombstones drops the oldest tombstones beyond maxTombstones. Tombstones are in the order in which they were
// added.
func trimTombstones(members []Member) []Member {
	surplus := -maxTombstones
	for _, member := range members {
		if member.Retired {
			surplus++
		}
	}
	return slices.DeleteFunc(members, func(member Member) bool {
		if !member.Retired || surplus <= 0 {
			return false
		}
		surplus--
		return true
	})
}

// changeAllowed reports whether a change is safe and leaves a group that can commit entries: a new voter must have
// been a learner with a nearly complete log, and a majority of the voters after the change must be responsive.
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
	if member, found := findMember(n.membersWithTombstones(), added.ID); found && member.Retired && n.enforces(RuleRetiredNeverReturns) {
		return false
	}
	return !added.Voter || n.isVoter(added.ID) || n.CanPromote(added.ID)
}

// CanPromote reports whether a learner may become a voter now: it answers heartbeats, and its durable log is nearly
// complete and contains the current membership. It returns false on a member that does not lead.
func (n *Node) CanPromote(id MemberID) bool {
	peer := n.peer(id)
	if n.role != RoleLeader || peer == nil || peer.removalPending {
		return false
	}
	caughtUp := peer.matchIndex+maxPromotionLag >= n.log.lastIndex() && peer.matchIndex >= n.currentMembership().index
	return n.isResponsive(peer) && caughtUp
}

// MatchIndex returns the last entry known to be durable at a member. It returns false if this member does not lead
// or the given one is unknown.
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
