package proxy

import (
	"context"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/roleplanner"
)

// demandInterval is the time between two reports of demand.
const demandInterval = 500 * time.Millisecond

// demandReporter converts totals of demand into rates per second. It is not safe for concurrent use.
type demandReporter struct {
	previous         map[string]roleplanner.Demand // totals at the last call of report, by service
	reportedAt       time.Time
	reportedNonEmpty bool // the last report contained a rate
}

// report returns the rates since the last call, and whether to send them. After the last non-empty report one empty report is sent,
// so that the control plane learns that demand has ended.
func (r *demandReporter) report(now time.Time, totals map[string]roleplanner.Demand) ([]roleplanner.ServiceDemand, bool) {
	elapsed := now.Sub(r.reportedAt).Seconds()
	if r.reportedAt.IsZero() || elapsed <= 0 {
		r.previous, r.reportedAt = totals, now
		return nil, false
	}
	var rates []roleplanner.ServiceDemand
	for service, total := range totals {
		rate := total.Since(r.previous[service]).Scale(1 / elapsed)
		if rate != (roleplanner.Demand{}) {
			rates = append(rates, roleplanner.ServiceDemand{Service: service, Demand: rate})
		}
	}
	shouldSend := len(rates) > 0 || r.reportedNonEmpty
	r.previous, r.reportedAt, r.reportedNonEmpty = totals, now, len(rates) > 0
	return rates, shouldSend
}

// reportDemand reports the demand of services to the control plane until ctx ends.
func (p *proxy) reportDemand(ctx context.Context, client *feedtransport.Client) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	var reporter demandReporter
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			rates, shouldSend := reporter.report(now, p.dispatcher.Demands())
			if !shouldSend {
				continue
			}
			if body, err := roleplanner.EncodeReport(rates); err == nil {
				client.Report(feedtransport.TopicDemand, body)
			}
		}
	}
}
