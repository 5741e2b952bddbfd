package configuration

// Rule names one safety rule of the store. Tests omit rules one by one to show that they detect the resulting violation;
// in production all rules are enforced.
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
	// RuleBaseAheadUndecided requires that the result for a change based on a future generation is not final.
	RuleBaseAheadUndecided Rule = "base-ahead-open"
	// RuleBaseForgottenUndecided requires that the result is not final for a change based on a generation so old that the
	// digest of the change accepted on it may be forgotten.
	RuleBaseForgottenUndecided Rule = "forgotten-open"
	// RuleGenerationIncreases requires that the generation of a change is above the one that it replaces.
	RuleGenerationIncreases Rule = "generation-rises"
	// RuleDuplicateMatchesCommand requires that a duplicate has the same kind, base and body as the accepted change.
	RuleDuplicateMatchesCommand Rule = "repeat-is-of-order"
)

// Rules returns all rules that tests can omit.
func Rules() []Rule {
	return []Rule{
		RuleDuplicateRemembered, RuleDuplicateInSnapshot, RuleDuplicateBeforeBase, RuleBaseCurrent,
		RuleBaseAheadUndecided, RuleBaseForgottenUndecided, RuleGenerationIncreases, RuleDuplicateMatchesCommand,
	}
}

// enforces reports whether the store enforces the rule, that is, whether no test omits it.
func (s *Store) enforces(rule Rule) bool { return !s.omittedRules[rule] }
