package proxy

import (
	"context"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/roleplanner"
)

// demandInterval is the time between two reports of demand.
const demandInterval = 500 * time.Millisecond

// demandReporter turns the demand since the start into rates. It is used by one goroutine.
type demandReporter struct {
	before map[string]roleplanner.Demand
	at     time.Time
	told   bool // the report before was not empty
}

// report returns the rates since the call before, and whether they are to be told: one empty report follows the last one
// that was not.
func (r *demandReporter) report(now time.Time, total map[string]roleplanner.Demand) ([]roleplanner.ServiceDemand, bool) {
	span := now.Sub(r.at).Seconds()
	if r.at.IsZero() || span <= 0 {
		r.before, r.at = total, now
		return nil, false
	}
	var list []roleplanner.ServiceDemand
	for service, sum := range total {
		rate := sum.Since(r.before[service]).Scale(1 / span)
		if rate != (roleplanner.Demand{}) {
			list = append(list, roleplanner.ServiceDemand{Service: service, Demand: rate})
		}
	}
	tell := len(list) > 0 || r.told
	r.before, r.at, r.told = total, now, len(list) > 0
	return list, tell
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
			list, tell := reporter.report(now, p.dispatcher.Demands())
			if !tell {
				continue
			}
			if body, err := roleplanner.EncodeReport(list); err == nil {
				client.Report(feedtransport.TopicDemand, body)
			}
		}
	}
}
