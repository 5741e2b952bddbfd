package retrybudget

import "time"

// Ledger holds the accounts of one node for all services. It is not safe for concurrent use.
type Ledger struct {
	rules    Rules
	started  time.Duration
	accounts map[string]*Budget
}

// NewLedger returns a ledger without accounts.
func NewLedger(rules Rules, now time.Duration) *Ledger {
	return &Ledger{rules: rules, started: now, accounts: make(map[string]*Budget)}
}

// Request notes a client's request for a service.
func (l *Ledger) Request(now time.Duration, service string) {
	l.account(service).Request(now)
}

// Spend takes a call to a service beyond the first of its request and tells whether it may be made.
func (l *Ledger) Spend(now time.Duration, service string, nodes int) bool {
	return l.account(service).Spend(now, nodes)
}

// Keep drops the accounts of services that are not wanted any more. One with calls in the last window stays,
// since the service may come back.
func (l *Ledger) Keep(now time.Duration, wanted func(service string) bool) {
	for service, account := range l.accounts {
		if !wanted(service) && account.Spent(now) == 0 {
			delete(l.accounts, service)
		}
	}
}

func (l *Ledger) account(service string) *Budget {
	account, ok := l.accounts[service]
	if !ok {
		account = New(l.rules, l.started)
		l.accounts[service] = account
	}
	return account
}
