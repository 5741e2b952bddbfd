package agreement

import (
	"slices"
	"time"
)

// membership is the group's members from an index on.
type membership struct {
	index   uint64
	members []Member
}

// Change adds, alters or removes one member.
type Change struct {
	Add    *Member  // a new learner, or a member as it shall be from now on
	Remove MemberID // if Add is nil
}

// promotionLag is how many entries a learner may lack when it becomes a voter.
const promotionLag = 256

// members returns the membership in force: the last one in the log, committed or not.
func (n *Node) members() []Member {
	return n.memberships[len(n.memberships)-1].members
}

// membersAt returns the membership at an index.
func (n *Node) membersAt(index uint64) []Member {
	at := len(n.memberships) - 1
	for at > 0 && n.memberships[at].index > index {
		at--
	}
	return n.memberships[at].members
}

// noteMembers takes over the memberships in appended entries.
func (n *Node) noteMembers(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind == EntryMembers {
			n.memberships = append(n.memberships, membership{index: entry.Index, members: entry.Members})
		}
	}
}

// rollBackMembers undoes the memberships from index on.
func (n *Node) rollBackMembers(index uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// forgetMembers drops the memberships before the one at index.
func (n *Node) forgetMembers(index uint64) {
	first := 0
	for first+1 < len(n.memberships) && n.memberships[first+1].index <= index {
		first++
	}
	n.memberships = slices.Clone(n.memberships[first:])
}

func (n *Node) isVoter(id MemberID) bool {
	member, known := findMember(n.members(), id)
	return known && n.votes(member)
}

// votes reports whether a member counts in majorities.
func (n *Node) votes(member Member) bool {
	return member.Voter || !n.holds(RuleLearnerNoMajority)
}

func findMember(members []Member, id MemberID) (Member, bool) {
	for _, member := range members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// hasMajority reports whether a majority of the voters is in a set.
func (n *Node) hasMajority(set map[MemberID]bool) bool {
	voters, held := 0, 0
	for _, member := range n.members() {
		if !n.votes(member) {
			continue
		}
		voters++
		if set[member.ID] {
			held++
		}
	}
	return held > voters/2
}

// maxVotersInline is the group size up to which a majority is found without allocating.
const maxVotersInline = 16

// reachedByMajority returns the highest value that a majority of voters has reached, 0 without voters.
func reachedByMajority(n *Node, members []Member, value func(MemberID) uint64) uint64 {
	var space [maxVotersInline]uint64
	values := space[:0]
	for _, member := range members {
		if n.votes(member) {
			values = append(values, value(member.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// ChangeMembers appends a change of one member. The change is in force at once; another one is
// taken when it is committed. A member enters as a learner and becomes a voter once it holds
// nearly all of the log. A change that changes nothing costs no entry.
// Errors: ErrNotLeader, ErrTransferring, ErrMemberChange.
func (n *Node) ChangeMembers(now time.Duration, change Change) error {
	n.advance(now)
	n.checkQuorum()
	if err := n.mayPropose(); err != nil {
		return err
	}
	if n.memberships[len(n.memberships)-1].index > n.commit && n.holds(RuleMembersOneByOne) {
		return ErrMemberChange
	}
	if !n.ownTermCommitted() && n.holds(RuleMembersOwnTerm) {
		return ErrMemberChange
	}
	members, changed := changedMembers(n.members(), change)
	if !changed {
		return nil
	}
	if !n.allowsMembers(change, members) {
		return ErrMemberChange
	}
	n.appendOwn(Entry{Kind: EntryMembers, Members: members})
	n.matchPeers()
	n.advanceCommit()
	return nil
}

// changedMembers returns the members after a change, and whether they differ.
func changedMembers(members []Member, change Change) ([]Member, bool) {
	if change.Add == nil {
		kept := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.ID == change.Remove })
		return kept, len(kept) != len(members)
	}
	altered := slices.Clone(members)
	for at, member := range altered {
		if member.ID == change.Add.ID {
			altered[at] = *change.Add
			return altered, member != *change.Add
		}
	}
	return append(altered, *change.Add), true
}

// allowsMembers reports whether a change is a single, sound one: a voter was a current learner before, and a
// majority of the new voters is reachable.
func (n *Node) allowsMembers(change Change, members []Member) bool {
	if change.Add != nil && !n.allowsAdd(*change.Add, change.Remove) {
		return false
	}
	voters := 0
	for _, member := range members {
		if member.Voter {
			voters++
		}
	}
	answered := reachedByMajority(n, members, n.answeredBy)
	return voters > 0 && n.now-time.Duration(answered) <= n.config.ElectionTimeout
}

func (n *Node) allowsAdd(added Member, removed MemberID) bool {
	if added.ID == 0 || removed != 0 {
		return false
	}
	if !added.Voter || n.isVoter(added.ID) {
		return true
	}
	peer := n.peer(added.ID)
	return peer != nil && peer.match+promotionLag >= n.log.last() && peer.match >= n.memberships[len(n.memberships)-1].index
}

// Matched returns the last entry that a member is known to hold durably. It returns false on any member but the
// leader, and for an unknown member.
func (n *Node) Matched(id MemberID) (index uint64, known bool) {
	if n.role != RoleLeader {
		return 0, false
	}
	if id == n.config.ID {
		return n.disk.stable, true
	}
	peer := n.peer(id)
	if peer == nil {
		return 0, false
	}
	return peer.match, true
}
