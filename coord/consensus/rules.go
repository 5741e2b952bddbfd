package consensus

// Rule is a safety check of the core. Tests disable rules to show that the scenarios and the simulation
// notice their absence; a running system disables none. The texts name the rules in test reports and design
// notes, and do not change.
type Rule string

// The rules.
const (
	RuleVoteOnce               Rule = "vote-once"           // a member votes once a term
	RuleVoteUpToDateLog        Rule = "vote-log"            // no vote for a candidate whose log is less up to date
	RuleVoteDurable            Rule = "vote-durable"        // a vote is sent once it is durable
	RuleCandidateTermDurable   Rule = "candidate-durable"   // a candidate's term is durable before it asks for votes
	RuleAppendCurrentTerm      Rule = "append-term"         // entries from a leader of a former term are rejected
	RuleAppendLogMatching      Rule = "append-match"        // entries are appended only after a matching entry
	RuleAppendDurable          Rule = "append-durable"      // entries are acknowledged once they are durable
	RuleLeaderEntriesDurable   Rule = "leader-durable"      // a leader counts itself for durable entries only
	RuleCommitMajority         Rule = "commit-majority"     // an entry is committed once it is durable at a majority
	RuleCommitCurrentTerm      Rule = "commit-own-term"     // replicas are counted for entries of the current term only
	RuleCommitVerified         Rule = "commit-verified"     // a follower commits only what matches the leader's log
	RuleReadQuorumConfirmed    Rule = "read-confirmed"      // a read waits until a majority has confirmed the leader
	RuleReadCurrentTerm        Rule = "read-own-term"       // a read waits for the first commit of the current term
	RuleMembershipSingleChange Rule = "members-one-by-one"  // a membership change waits for the commit of the one before
	RuleMembershipCurrentTerm  Rule = "members-own-term"    // a membership change waits for the first commit of the current term
	RuleMembershipRollback     Rule = "members-roll-back"   // a truncated membership change is undone
	RuleLearnerNoQuorum        Rule = "learner-no-majority" // learners count in no quorum
	RuleRetiredNeverReturns    Rule = "retired-stay-out"    // a retired ID is never admitted again
	RuleEmptyDiskNoVote        Rule = "empty-silent"        // a member that started with an empty disk gives no vote
	RuleConfirmedUpToDate      Rule = "current-held"        // a follower counts as current only with all entries that its leader has committed
	RuleCatchUpRetention       Rule = "catch-up-kept"       // a leader retains the entries that an active peer needs next
)

// Rules returns the rules that the simulation can disable. RuleConfirmedUpToDate and RuleCatchUpRetention
// protect no committed entry; they have tests of their own.
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

// enforces reports whether a rule is enforced: always, outside of tests.
func (n *Node) enforces(rule Rule) bool {
	return !n.disabledRules[rule]
}
