package selection

import (
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

const (
	// batchSlowdown is by how much longer a decode worker takes for a token when all its slots are in use, against a
	// single request. Its capacity is what it decodes then.
	batchSlowdown = 1.
	// maxSampleSpan bounds the time for which one look at the running streams counts.
	maxSampleSpan = 2 * time.Second
)

// Demands returns the demand since the start of each service whose workers have stages; the planner of
// prefill and decode roles works from it. Running streams count for the time since the previous call, so
// it is to be called several times a second.
func (s *Selector) Demands(now time.Duration) map[string]roleplanner.Demand {
	demands := make(map[string]roleplanner.Demand, len(s.services))
	for name, service := range s.services {
		service.countStreams(now)
		if service.demand != (roleplanner.Demand{}) {
			demands[name] = service.demand
		}
	}
	return demands
}

// countStreams adds the time for which this node's streams have occupied slots and KV cache of decode
// workers.
func (s *service) countStreams(now time.Duration) {
	span := min(now-s.streamsCountedAt, maxSampleSpan).Seconds()
	s.streamsCountedAt = now
	for _, w := range s.workers {
		for _, call := range w.calls {
			if call.workerClass != classDecode || !call.started && call.source == nil {
				continue // it is still in prefill
			}
			busy := min(1, call.forecast.load.running/s.slotsOf(w))
			s.demand.Slots += span * (1 + batchSlowdown) / (1 + batchSlowdown*busy) / s.slotsOf(w)
			s.demand.Memory += span * call.reservedTokens / s.kvCapacity()
		}
	}
}

// recordOffered adds a request to the demand, as the best placement would serve it.
func (s *service) recordOffered(info *requestInfo, best placement) {
	prefill := best.prefill
	if prefill == nil {
		prefill = best.run
	}
	s.demand.Offered++
	s.demand.Prefill += unloadedTime(classPrefill, max(1, prefill.uncachedTokens), info.promptTokens-prefill.uncachedTokens)
	s.demand.Transfers += s.configuredTransfer(best.run.uncachedTokens)
}

// recordPrefill adds a prefill that is done.
func (s *service) recordPrefill(call *Call, seconds float64) {
	s.demand.PrefillDone += call.forecast.unloaded
	s.demand.PrefillTime += max(0, seconds-call.forecast.network)
}
