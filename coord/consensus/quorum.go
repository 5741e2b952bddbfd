package consensus

import "slices"

// isVoter reports whether the member with an ID is counted in quorums under the current membership.
func (n *Node) isVoter(id MemberID) bool {
	member, known := findMember(n.members(), id)
	return known && n.countsInQuorum(member)
}

// countsInQuorum reports whether a member is counted in quorums. Only voters are, unless a test omits the rule.
func (n *Node) countsInQuorum(member Member) bool {
	return member.Voter || !n.enforces(RuleLearnerNoQuorum)
}

// hasQuorum reports whether a set contains a majority of the voters.
func (n *Node) hasQuorum(set map[MemberID]bool) bool {
	voters, inSet := 0, 0
	for _, member := range n.members() {
		if !n.countsInQuorum(member) {
			continue
		}
		voters++
		if set[member.ID] {
			inSet++
		}
	}
	return inSet > voters/2
}

// maxVotersInline is the maximum number of voters for which quorumValue does not allocate.
const maxVotersInline = 16

// quorumValue returns the highest value that a majority of the voters among members has reached, for example of
// their match indexes. It returns 0 if there are no voters.
func (n *Node) quorumValue(members []Member, value func(MemberID) uint64) uint64 {
	var inline [maxVotersInline]uint64
	values := inline[:0]
	for _, member := range members {
		if n.countsInQuorum(member) {
			values = append(values, value(member.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
