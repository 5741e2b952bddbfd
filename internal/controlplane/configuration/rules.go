package configuration

// Rule names one check of the store. Tests leave rules out to show that their absence is noticed. A
// running system leaves out none.
type Rule string

// The rules that can be left out.
const (
	RuleDuplicateRemembered     Rule = "repeat-known"       // the digest of each accepted change is remembered
	RuleDuplicateInSnapshot     Rule = "repeat-snapshot"    // a snapshot holds the digests too
	RuleDuplicateBeforeBase     Rule = "repeat-first"       // a repeat is looked for before the base is compared
	RuleBaseCurrent             Rule = "base-current"       // a change builds on the generation in force
	RuleBaseAheadUndecided      Rule = "base-ahead-open"    // a change on a generation to come gets no clear answer
	RuleBaseForgottenUndecided  Rule = "forgotten-open"     // nor does one on a base whose digest is forgotten
	RuleGenerationIncreases     Rule = "generation-rises"   // a generation is above the one that it takes the place of
	RuleDuplicateMatchesCommand Rule = "repeat-is-of-order" // kind, base and body make a change the same
)

// Rules returns all rules that can be left out.
func Rules() []Rule {
	return []Rule{
		RuleDuplicateRemembered, RuleDuplicateInSnapshot, RuleDuplicateBeforeBase, RuleBaseCurrent,
		RuleBaseAheadUndecided, RuleBaseForgottenUndecided, RuleGenerationIncreases, RuleDuplicateMatchesCommand,
	}
}

// enforces tells whether a rule is in force.
func (s *Store) enforces(rule Rule) bool { return !s.omittedRules[rule] }
