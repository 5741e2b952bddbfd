package configuration

// Rule names one safety rule of the store. Tests omit rules one by one to show that a violation is then detected; a
// running system enforces all of them.
type Rule string

// The rules that tests can omit.
const (
	// RuleDuplicateRemembered requires that the digest of each accepted change is remembered.
	RuleDuplicateRemembered Rule = "repeat-known"
	// RuleDuplicateInSnapshot requires that a snapshot contains the digests.
	RuleDuplicateInSnapshot Rule = "repeat-snapshot"
	// RuleDuplicateBeforeBase requires that a duplicate is detected before the base is compared.
	RuleDuplicateBeforeBase Rule = "repeat-first"
	// RuleBaseCurrent requires that a change is accepted only if it is based on the generation in force.
	RuleBaseCurrent Rule = "base-current"
	// RuleBaseAheadUndecided requires that a change based on a future generation gets an answer that is not final.
	RuleBaseAheadUndecided Rule = "base-ahead-open"
	// RuleBaseForgottenUndecided requires that a change based on a generation whose digest is forgotten gets an answer that is
	// not final.
	RuleBaseForgottenUndecided Rule = "forgotten-open"
	// RuleGenerationIncreases requires that a generation is above the one that it replaces.
	RuleGenerationIncreases Rule = "generation-rises"
	// RuleDuplicateMatchesCommand requires that a duplicate has the kind, base and body of the accepted change.
	RuleDuplicateMatchesCommand Rule = "repeat-is-of-order"
)

// Rules returns all rules that tests can omit.
func Rules() []Rule {
	return []Rule{
		RuleDuplicateRemembered, RuleDuplicateInSnapshot, RuleDuplicateBeforeBase, RuleBaseCurrent,
		RuleBaseAheadUndecided, RuleBaseForgottenUndecided, RuleGenerationIncreases, RuleDuplicateMatchesCommand,
	}
}

// enforces reports whether the store enforces a rule.
func (s *Store) enforces(rule Rule) bool { return !s.omittedRules[rule] }
