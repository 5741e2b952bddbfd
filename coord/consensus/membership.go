package consensus

import (
	"slices"
	"time"
)

// membership is the group's members from an index on.
type membership struct {
	index    uint64
	members  []Member // those in force
	recorded []Member // as in the log: with the marks of retired IDs
	retired  []MemberID
}

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

// MembershipChange adds, alters or removes one member.
type MembershipChange struct {
	Add    *Member  // a new learner, or a member as it shall be from now on
	Remove MemberID // if Add is nil
	Retire bool     // with Remove: the group remembers the ID, which is never a member again
}

// maxRetiredMembers bounds the remembered IDs; beyond it the oldest are forgotten.
const maxRetiredMembers = 64

// maxPromotionLag is how many entries a learner may lack when it becomes a voter.
const maxPromotionLag = 256

// members returns the membership in force: the last one in the log, committed or not.
func (n *Node) members() []Member {
	return n.memberships[len(n.memberships)-1].members
}

// recorded returns the membership in force with the marks of retired IDs.
func (n *Node) recorded() []Member {
	return n.memberships[len(n.memberships)-1].recorded
}

// membershipAt returns the membership at an index.
func (n *Node) membershipAt(index uint64) membership {
	i := len(n.memberships) - 1
	for i > 0 && n.memberships[i].index > index {
		i--
	}
	return n.memberships[i]
}

// recordMemberships takes over the memberships in appended entries.
func (n *Node) recordMemberships(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.memberships = append(n.memberships, newMembership(entry.Index, entry.Members))
		}
	}
}

// rollBackMemberships undoes the memberships from index on.
func (n *Node) rollBackMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// compactMemberships drops the memberships before the one at index.
func (n *Node) compactMemberships(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// ChangeMembers appends a change of one member. The change is in force at once; another one is
// taken when it is committed. A member enters as a learner and becomes a voter once it holds
// nearly all of the log. A change that changes nothing costs no entry.
// Errors: ErrNotLeader, ErrTransferring, ErrMemberChange.
func (n *Node) ChangeMembers(now time.Duration, change MembershipChange) error {
	n.advanceClock(now)
	n.checkQuorum()
	if err := n.checkProposable(); err != nil {
		return err
	}
	if n.memberships[len(n.memberships)-1].index > n.commitIndex && n.enforces(RuleMembershipSingleChange) {
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

// removeMember removes a member and leaves its mark if it is retired.
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

// trimRetired drops the marks beyond the bound. Marks stand in the order in which they were made.
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

// changeAllowed reports whether a change is a single, sound one: a voter was a current learner before, and a
// majority of the new voters is reachable.
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
	quorumContact := quorumValue(n, members, n.contactAt)
	return voters > 0 && n.now-time.Duration(quorumContact) <= n.config.ElectionTimeout
}

func (n *Node) addAllowed(added Member, removed MemberID) bool {
	if added.ID == 0 || removed != 0 || added.Retired {
		return false
	}
	if known, found := findMember(n.recorded(), added.ID); found && known.Retired && n.enforces(RuleRetiredNeverReturns) {
		return false
	}
	return !added.Voter || n.isVoter(added.ID) || n.CanPromote(added.ID)
}

// CanPromote reports whether a learner could be made a voter now: it answers, and what it has acknowledged as durable is
// nearly all of the log. Only the leader knows.
func (n *Node) CanPromote(id MemberID) bool {
	peer := n.peer(id)
	if n.role != RoleLeader || peer == nil || peer.removing {
		return false
	}
	responsive := peer.answeredRound > 0 && n.now-peer.contactAt <= n.config.ElectionTimeout
	caughtUp := peer.matchIndex+maxPromotionLag >= n.log.lastIndex() && peer.matchIndex >= n.memberships[len(n.memberships)-1].index
	return responsive && caughtUp
}

// MatchIndex returns the last entry that a member is known to hold durably. It returns false on any member but the
// leader, and for an unknown member.
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
