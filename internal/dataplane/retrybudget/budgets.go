package retrybudget

import "time"

// Budgets holds the Budget of each service on one node. It is not safe for concurrent use.
type Budgets struct {
	rules     Rules
	startedAt time.Duration
	byService map[string]*Budget
}

// NewBudgets returns Budgets without any service. All its budgets follow the same rules.
func NewBudgets(rules Rules, now time.Duration) *Budgets {
	return &Budgets{rules: rules, startedAt: now, byService: make(map[string]*Budget)}
}

// SetRules changes the rules of all budgets, see Budget.SetRules.
func (b *Budgets) SetRules(now time.Duration, rules Rules) {
	if rules.Window != b.rules.Window {
		b.startedAt = now
	}
	b.rules = rules
	for _, budget := range b.byService {
		budget.SetRules(now, rules)
	}
}

// RecordRequest counts a client request to a service.
func (b *Budgets) RecordRequest(now time.Duration, service string) {
	b.budgetOf(service).RecordRequest(now)
}

// TrySpend reports whether the budget of a service allows one more call, and if so counts that call. nodes
// is the number of nodes that share the slack, including this one.
func (b *Budgets) TrySpend(now time.Duration, service string, nodes int) bool {
	return b.budgetOf(service).TrySpend(now, nodes)
}

// Retain removes the budgets of services for which retained returns false. It keeps a budget with calls
// within the last window, since the service may be added again before that window has passed.
func (b *Budgets) Retain(now time.Duration, retained func(service string) bool) {
	for service, budget := range b.byService {
		if !retained(service) && budget.Spent(now) == 0 {
			delete(b.byService, service)
		}
	}
}

// budgetOf returns the budget of a service, and creates it if there is none.
func (b *Budgets) budgetOf(service string) *Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = New(b.rules, b.startedAt)
		b.byService[service] = budget
	}
	return budget
}
