package consensus

// Rule names a safety rule of the core. Tests omit one rule at a time to verify that the scenarios and the
// simulation detect the resulting violation; a running system enforces all rules. The string values must not
// change: command lines and design notes refer to them.
type Rule string

// Rules that tests can omit.
const (
	RuleVoteOnce               Rule = "vote-once"           // a member votes for at most one candidate per term
	RuleVoteUpToDateLog        Rule = "vote-log"            // a member does not vote for a candidate whose log is less up to date than its own
	RuleVoteDurable            Rule = "vote-durable"        // a vote is sent only once it is durable
	RuleCandidateTermDurable   Rule = "candidate-durable"   // a candidate requests votes only once its term is durable
	RuleAppendCurrentTerm      Rule = "append-term"         // entries from the leader of a former term are rejected
	RuleAppendLogMatching      Rule = "append-match"        // entries are appended only if the entry that precedes them matches
	RuleAppendDurable          Rule = "append-durable"      // entries are acknowledged only once they are durable
	RuleLeaderEntriesDurable   Rule = "leader-durable"      // a leader counts itself only for entries that are durable on its disk
	RuleCommitMajority         Rule = "commit-majority"     // an entry is committed only once it is durable at a majority
	RuleCommitCurrentTerm      Rule = "commit-own-term"     // a leader commits by counting replicas only for entries of its own term
	RuleCommitVerified         Rule = "commit-verified"     // a follower commits only entries known to match the leader's log
	RuleReadQuorumConfirmed    Rule = "read-confirmed"      // a read waits until a majority has confirmed the leadership
	RuleReadCurrentTerm        Rule = "read-own-term"       // a read waits until an entry of the current term is committed
	RuleMembershipSingleChange Rule = "members-one-by-one"  // a membership change waits until the previous one is committed
	RuleMembershipCurrentTerm  Rule = "members-own-term"    // a membership change waits until an entry of the current term is committed
	RuleMembershipRollback     Rule = "members-roll-back"   // truncating a membership entry restores the previous membership
	RuleLearnerNoQuorum        Rule = "learner-no-majority" // learners are not counted in quorums
	RuleRetiredNeverReturns    Rule = "retired-stay-out"    // a retired ID is never admitted again
	RuleEmptyDiskNoVote        Rule = "empty-silent"        // a member that started with an empty disk does not vote
	RuleConfirmedUpToDate      Rule = "current-held"        // a follower counts as current only if it has all entries that its leader has committed
	RuleCatchUpRetention       Rule = "catch-up-kept"       // compaction retains the entries that an active peer needs next
)

// Rules returns the rules that the simulation can omit. RuleConfirmedUpToDate and RuleCatchUpRetention are not
// among them, because they do not protect committed entries; unit tests cover them.
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

// enforces reports whether a rule is enforced. Outside of tests, every rule is.
func (n *Node) enforces(rule Rule) bool {
	return !n.omittedRules[rule]
}
