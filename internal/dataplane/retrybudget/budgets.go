package retrybudget

import "time"

// Budgets holds the budgets of one node, by service. It is not safe for concurrent use.
type Budgets struct {
	rules     Rules
	started   time.Duration
	byService map[string]*Budget
}

// NewBudgets returns Budgets without any service.
func NewBudgets(rules Rules, now time.Duration) *Budgets {
	return &Budgets{rules: rules, started: now, byService: make(map[string]*Budget)}
}

// RecordRequest counts a client request for a service.
func (b *Budgets) RecordRequest(now time.Duration, service string) {
	b.budgetOf(service).RecordRequest(now)
}

// TrySpend takes one call from the budget of a service, and reports whether it was there. Nodes is the
// number of nodes that share the slack, this one included.
func (b *Budgets) TrySpend(now time.Duration, service string, nodes int) bool {
	return b.budgetOf(service).TrySpend(now, nodes)
}

// Retain drops the budgets of services for which retained reports false. A budget with calls in the last
// window stays, since the service may come back within it.
func (b *Budgets) Retain(now time.Duration, retained func(service string) bool) {
	for service, budget := range b.byService {
		if !retained(service) && budget.Spent(now) == 0 {
			delete(b.byService, service)
		}
	}
}

// budgetOf returns the budget of a service, which it creates if there is none.
func (b *Budgets) budgetOf(service string) *Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = New(b.rules, b.started)
		b.byService[service] = budget
	}
	return budget
}
