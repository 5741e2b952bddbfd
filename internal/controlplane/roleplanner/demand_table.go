package roleplanner

import "time"

// DemandTable holds the latest report of each source and sums them. A source is a proxy, or a server that forwards the sum
// of its proxies' reports. A DemandTable is not safe for concurrent use.
type DemandTable struct {
	ttl     time.Duration // age up to which a report counts
	sources map[string]sourceReport
}

// sourceReport is the latest report of one source.
type sourceReport struct {
	receivedAt time.Duration
	demand     map[string]Demand // by service
}

// NewDemandTable returns an empty table in which a report expires after ttl.
func NewDemandTable(ttl time.Duration) *DemandTable {
	return &DemandTable{ttl: ttl, sources: map[string]sourceReport{}}
}

// Put stores the report of a source and replaces its previous one.
func (t *DemandTable) Put(now time.Duration, source string, report []ServiceDemand) {
	received := sourceReport{receivedAt: now, demand: make(map[string]Demand, len(report))}
	for _, entry := range report {
		received.demand[entry.Service] = entry.Demand
	}
	t.sources[source] = received
}

// Sum returns the demand of each service, summed over the reports that are not older than the TTL, and drops the older
// reports. Services without reported demand have no entry.
func (t *DemandTable) Sum(now time.Duration) map[string]Demand {
	sum := map[string]Demand{}
	for source, report := range t.sources {
		if now-report.receivedAt > t.ttl {
			delete(t.sources, source)
			continue
		}
		for service, demand := range report.demand {
			sum[service] = sum[service].Add(demand)
		}
	}
	return sum
}
