package selection

import (
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

const (
	// batchSlowdown is the relative increase in the time per token of a decode worker from a single stream to all slots
	// in use. The worker's capacity is its throughput with all slots in use.
	batchSlowdown = 1.
	// maxStreamInterval limits the time that a call of recordStreamTime accounts for.
	maxStreamInterval = 2 * time.Second
)

// Demands returns the cumulative demand of each service whose workers have stages. It is the input of the
// planner of prefill and decode roles. The streams that are running now are counted for the time since the
// previous call, so it should be called several times a second.
func (s *Selector) Demands(now time.Duration) map[string]roleplanner.Demand {
	demands := make(map[string]roleplanner.Demand, len(s.services))
	for name, service := range s.services {
		service.recordStreamTime(now)
		if service.demand != (roleplanner.Demand{}) {
			demands[name] = service.demand
		}
	}
	return demands
}

// recordStreamTime adds to the demand the share of the decode workers' slots and KV cache that this node's
// streams occupied since the previous call.
func (s *service) recordStreamTime(now time.Duration) {
	interval := min(now-s.streamsRecordedAt, maxStreamInterval).Seconds()
	s.streamsRecordedAt = now
	for _, w := range s.workers {
		for _, call := range w.calls {
			if call.workerClass != classDecode || !call.started && call.source == nil {
				continue // the prompt is still being prefilled
			}
			utilization := min(1, call.forecast.load.running/s.slotsOf(w))
			s.demand.Slots += interval * (1 + batchSlowdown) / (1 + batchSlowdown*utilization) / s.slotsOf(w)
			s.demand.Memory += interval * call.reservedTokens / s.kvCapacity()
		}
	}
}

// recordOffered adds a request to the demand, with the costs it has on its best placement.
func (s *service) recordOffered(info *requestInfo, best placement) {
	prefill := best.prefill
	if prefill == nil {
		prefill = best.run
	}
	s.demand.Offered++
	s.demand.Prefill += unloadedTime(classPrefill, max(1, prefill.uncachedTokens), info.promptTokens-prefill.uncachedTokens)
	s.demand.Transfers += s.configuredTransferTime(best.run.uncachedTokens)
}

// recordPrefill adds a completed prefill call that took the given seconds to the demand.
func (s *service) recordPrefill(call *Call, seconds float64) {
	s.demand.PrefillDone += call.forecast.unloaded
	s.demand.PrefillTime += max(0, seconds-call.forecast.network)
}
