package configuration

// Rule names one check of the store. Tests leave rules out to show that their absence is noticed. A
// running system leaves out none.
type Rule string

// The rules that can be left out.
const (
	RuleRepeatKnown     Rule = "repeat-known"       // the digest of each accepted change is remembered
	RuleRepeatSnapshot  Rule = "repeat-snapshot"    // a snapshot holds the digests too
	RuleRepeatFirst     Rule = "repeat-first"       // a repeat is looked for before the base is compared
	RuleBaseCurrent     Rule = "base-current"       // a change builds on the generation in force
	RuleBaseAheadOpen   Rule = "base-ahead-open"    // a change on a generation to come gets no clear answer
	RuleForgottenOpen   Rule = "forgotten-open"     // nor does one on a base whose digest is forgotten
	RuleGenerationRises Rule = "generation-rises"   // a generation is above the one that it takes the place of
	RuleRepeatIsOfOrder Rule = "repeat-is-of-order" // kind, base and body make a change the same
)

// Rules returns all rules that can be left out.
func Rules() []Rule {
	return []Rule{
		RuleRepeatKnown, RuleRepeatSnapshot, RuleRepeatFirst, RuleBaseCurrent,
		RuleBaseAheadOpen, RuleForgottenOpen, RuleGenerationRises, RuleRepeatIsOfOrder,
	}
}

// holds tells whether a rule is in force.
func (s *Store) holds(rule Rule) bool { return !s.omitted[rule] }
