package consensus

// Rule names one check of the core. Tests leave rules out to show that the
// simulation notices their absence. A running system leaves out none.
type Rule string

// The rules that can be left out.
const (
	RuleVoteOnce               Rule = "vote-once"           // one vote a term
	RuleVoteUpToDateLog        Rule = "vote-log"            // no vote for a candidate with an older log
	RuleVoteDurable            Rule = "vote-durable"        // a vote is sent after it is durable
	RuleCandidateTermDurable   Rule = "candidate-durable"   // a candidate's term is durable before it asks for votes
	RuleAppendCurrentTerm      Rule = "append-term"         // entries of a former term's leader are refused
	RuleAppendLogMatching      Rule = "append-match"        // entries are taken only behind a matching entry
	RuleAppendDurable          Rule = "append-durable"      // entries are acknowledged after they are durable
	RuleLeaderEntriesDurable   Rule = "leader-durable"      // a leader counts itself for entries that are durable
	RuleCommitMajority         Rule = "commit-majority"     // a majority must hold an entry
	RuleCommitCurrentTerm      Rule = "commit-own-term"     // copies are counted for entries of the own term alone
	RuleCommitVerified         Rule = "commit-verified"     // a follower commits only what it shares with the leader
	RuleReadQuorumConfirmed    Rule = "read-confirmed"      // a read waits for a majority's answer
	RuleReadCurrentTerm        Rule = "read-own-term"       // a read waits for the first commit of the own term
	RuleMembershipSingleChange Rule = "members-one-by-one"  // a change waits until the one before it is committed
	RuleMembershipCurrentTerm  Rule = "members-own-term"    // a change waits for the first commit of the own term
	RuleMembershipRollback     Rule = "members-roll-back"   // a truncated change of members is undone
	RuleLearnerNoQuorum        Rule = "learner-no-majority" // learners count in no majority
	RuleRetiredNeverReturns    Rule = "retired-stay-out"    // an ID that was replaced is never a member again
	RuleEmptyDiskNoVote        Rule = "empty-silent"        // a member with an empty disk gives no vote
	RuleConfirmedUpToDate      Rule = "current-held"        // a follower is confirmed only if it holds all that its leader has committed
	RuleCatchUpRetention       Rule = "catch-up-kept"       // a leader keeps the entries that a member in touch asks for next
)

// Rules returns all rules that can be left out.
func Rules() []Rule {
	return []Rule{
		RuleVoteOnce, RuleVoteUpToDateLog, RuleVoteDurable, RuleCandidateTermDurable,
		RuleAppendCurrentTerm, RuleAppendLogMatching, RuleAppendDurable, RuleLeaderEntriesDurable,
		RuleCommitMajority, RuleCommitCurrentTerm, RuleCommitVerified,
		RuleReadQuorumConfirmed, RuleReadCurrentTerm,
		RuleMembershipSingleChange, RuleMembershipCurrentTerm, RuleMembershipRollback,
		RuleLearnerNoQuorum, RuleRetiredNeverReturns, RuleEmptyDiskNoVote,
	}
}

// enforces reports whether a rule is in force.
func (n *Node) enforces(rule Rule) bool {
	return !n.disabledRules[rule]
}
