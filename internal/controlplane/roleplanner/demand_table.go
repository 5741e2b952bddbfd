package roleplanner

import "time"

// Ledger holds the newest report of each source and adds them up. A source is a proxy, or a keeper that
// passes on the sum of its proxies. It is not safe for concurrent use.
type Ledger struct {
	life    time.Duration // for which a report counts
	sources map[string]sourceReport
}

type sourceReport struct {
	at     time.Duration
	demand map[string]Demand // by service
}

// NewLedger returns a ledger in which a report counts for a time.
func NewLedger(life time.Duration) *Ledger {
	return &Ledger{life: life, sources: map[string]sourceReport{}}
}

// Put replaces what a source has reported before.
func (l *Ledger) Put(now time.Duration, source string, report []ServiceDemand) {
	taken := sourceReport{at: now, demand: make(map[string]Demand, len(report))}
	for _, one := range report {
		taken.demand[one.Service] = one.Demand
	}
	l.sources[source] = taken
}

// Sum adds up the reports that still count, by service, and forgets the others. Sources that reported no
// demand of a service leave no entry.
func (l *Ledger) Sum(now time.Duration) map[string]Demand {
	sum := map[string]Demand{}
	for source, report := range l.sources {
		if now-report.at > l.life {
			delete(l.sources, source)
			continue
		}
		for service, demand := range report.demand {
			sum[service] = sum[service].Plus(demand)
		}
	}
	return sum
}
