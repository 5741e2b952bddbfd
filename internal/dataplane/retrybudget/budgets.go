package retrybudget

import "time"

// Budgets holds the accounts of one node for all services. It is not safe for concurrent use.
type Budgets struct {
	rules     Rules
	started   time.Duration
	byService map[string]*Budget
}

// NewBudgets returns a ledger without accounts.
func NewBudgets(rules Rules, now time.Duration) *Budgets {
	return &Budgets{rules: rules, started: now, byService: make(map[string]*Budget)}
}

// RecordRequest notes a client's request for a service.
func (b *Budgets) RecordRequest(now time.Duration, service string) {
	b.budgetOf(service).RecordRequest(now)
}

// TrySpend takes a call to a service beyond the first of its request and tells whether it may be made.
func (b *Budgets) TrySpend(now time.Duration, service string, nodes int) bool {
	return b.budgetOf(service).TrySpend(now, nodes)
}

// Retain drops the accounts of services that are not wanted any more. One with calls in the last window stays,
// since the service may come back.
func (b *Budgets) Retain(now time.Duration, retained func(service string) bool) {
	for service, budget := range b.byService {
		if !retained(service) && budget.Spent(now) == 0 {
			delete(b.byService, service)
		}
	}
}

func (b *Budgets) budgetOf(service string) *Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = New(b.rules, b.started)
		b.byService[service] = budget
	}
	return budget
}
