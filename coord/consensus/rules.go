package consensus

// Rule names one safety rule of the core. Tests omit rules one by one to show that the scenarios and the
// simulation detect a violation then; a running system enforces all of them. The texts name the rules on
// command lines and in design notes, and stay as they are.
type Rule string

// The rules that tests can omit.
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

// Rules returns the rules that the simulation can omit. RuleConfirmedUpToDate and RuleCatchUpRetention
// protect no committed entry and are not among them; the scenarios of the tests cover them.
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
	return !n.omittedRules[rule]
}
