package roleplanner

import "time"

// DemandTable holds the newest report of each source and adds them up. A source is a proxy, or a keeper that
// passes on the sum of its proxies. It is not safe for concurrent use.
type DemandTable struct {
	ttl     time.Duration // for which a report counts
	sources map[string]sourceReport
}

type sourceReport struct {
	at     time.Duration
	demand map[string]Demand // by service
}

// NewDemandTable returns a ledger in which a report counts for a time.
func NewDemandTable(ttl time.Duration) *DemandTable {
	return &DemandTable{ttl: ttl, sources: map[string]sourceReport{}}
}

// Put replaces what a source has reported before.
func (t *DemandTable) Put(now time.Duration, source string, report []ServiceDemand) {
	received := sourceReport{at: now, demand: make(map[string]Demand, len(report))}
	for _, entry := range report {
		received.demand[entry.Service] = entry.Demand
	}
	t.sources[source] = received
}

// Sum adds up the reports that still count, by service, and forgets the others. Sources that reported no
// demand of a service leave no entry.
func (t *DemandTable) Sum(now time.Duration) map[string]Demand {
	sum := map[string]Demand{}
	for source, report := range t.sources {
		if now-report.at > t.ttl {
			delete(t.sources, source)
			continue
		}
		for service, demand := range report.demand {
			sum[service] = sum[service].Add(demand)
		}
	}
	return sum
}
