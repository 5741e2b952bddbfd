package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// After a prefill, the decode worker fetches the KV cache of the prompt from the prefill worker. This
// file predicts the duration of such transfers, assigns them a cost, and tracks their failures.

const (
	transferSetupTime        = 0.003 // seconds of a transfer without tokens
	defaultLinkBits          = 1e11  // bits per second of a worker's link, if not configured
	defaultKVBytesPerToken   = 160e3 // bytes of KV cache per token, if not configured
	crossZoneTransferFactor  = 2.    // duration of a transfer between zones, relative to one within a zone
	configuredTransferWeight = 0.05  // weight of the configured speed, in seconds of transfers
	maxTransferSlowdown      = 100.  // upper bound on a sample, as a multiple of the configured time

	transferCostPerGB   = 0.006 // cost in seconds of a gigabyte transferred within a zone
	crossZoneCostFactor = 3.    // cost of a transfer between zones, relative to one within a zone
	crossZoneSendCost   = 1e-6  // cost in seconds of each prompt token that is sent to another zone

	pairFailureDecay           = 4 * time.Second // time constant in which a pair's failures decay by a factor of e
	pairFailurePenalty         = 0.25            // seconds added to the score of a pair for each of its failures
	maxTrackedPairs            = 4096            // pairs with failures; at this number all are dropped, to bound the map
	transferFailureDecay       = 5 * time.Second // time constant in which the outcomes of all transfers decay by a factor of e
	transferFailurePrior       = 0.01            // failure probability before any outcome is observed
	transferFailurePriorWeight = 4.              // weight of transferFailurePrior, in outcomes
	maxTransferFailure         = 0.95            // upper bound on the probability p, as scorePair divides by 1-p
)

// workerPair identifies a pair of workers by the hashes of their IDs.
type workerPair struct{ prefill, decode uint64 }

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

// valueAt returns the count at an instant. It decays by a factor of e in the time constant.
func (c decayingCount) valueAt(now, timeConstant time.Duration) float64 {
	return c.value * math.Exp(-max(0, now-c.updatedAt).Seconds()/timeConstant.Seconds())
}

// transferOutcomes tracks the successes and failures of KV cache transfers.
type transferOutcomes struct {
	overall        stats.FailureRate
	failuresByPair map[workerPair]decayingCount
}

// kvBytesPerToken returns the bytes of KV cache per token.
func (s *service) kvBytesPerToken() float64 {
	if s.engine == nil || s.engine.KVBytesPerToken <= 0 {
		return defaultKVBytesPerToken
	}
	return s.engine.KVBytesPerToken
}

// configuredTransferPerToken returns the seconds of transferring a token at the configured link speed.
func (s *service) configuredTransferPerToken() float64 {
	bits := defaultLinkBits
	if s.engine != nil && s.engine.LinkMbps > 0 {
		bits = s.engine.LinkMbps * 1e6
	}
	return s.kvBytesPerToken() * 8 / bits
}

// configuredTransferTime returns the seconds of a transfer at the configured link speed.
func (s *service) configuredTransferTime(size float64) float64 {
	return transferSetupTime + size*s.configuredTransferPerToken()
}

// transferSlowdown returns the recent transfer time over all workers as a multiple of
// configuredTransferTime.
func (s *service) transferSlowdown(now time.Duration) float64 {
	all := s.transferTimes.Fit(now, sampleTTL, 0)
	return (all.SumY + configuredTransferWeight) / (all.SumX + configuredTransferWeight)
}

// transferSize returns the size of a transfer between two workers: the tokens, multiplied by
// crossZoneTransferFactor between zones.
func transferSize(prefill, decode *worker, tokens float64) float64 {
	if prefill.zone != decode.zone {
		return tokens * crossZoneTransferFactor
	}
	return tokens
}

// transferTime predicts the seconds of a transfer between two workers. The slower one determines it.
func (s *service) transferTime(now time.Duration, prefill, decode *worker, size float64) float64 {
	return max(s.transferTimeAt(now, prefill, size), s.transferTimeAt(now, decode, size))
}

// transferTimeAt predicts the seconds of a transfer that is limited by the given worker.
func (s *service) transferTimeAt(now time.Duration, w *worker, size float64) float64 {
	line := w.transferTimes.Fit(now, sampleTTL, 1)
	prior := s.configuredTransferTime(size) * s.transferSlowdown(now)
	return estimate.Blend(line.At(size), line.N, prior, estimate.PriorSamples)
}

// learnTransferTime records the duration of a call's transfer for both of its workers.
func (s *service) learnTransferTime(now time.Duration, call *Call, seconds float64) {
	configured := s.configuredTransferTime(call.forecast.size)
	s.transferTimes.Add(now, configured, min(seconds, configured*maxTransferSlowdown), estimate.WindowLength)
	for _, w := range []*worker{call.worker, call.source} {
		w.transferTimes.Add(now, call.forecast.size, seconds, estimate.WindowLength)
	}
}

// recordTransferOutcome records whether a call's transfer failed.
func (s *service) recordTransferOutcome(now time.Duration, call *Call, failed bool) {
	outcomes := &s.transferOutcomes
	outcomes.overall.Add(now, transferFailureDecay, failed)
	if !failed {
		return
	}
	if outcomes.failuresByPair == nil || len(outcomes.failuresByPair) >= maxTrackedPairs {
		outcomes.failuresByPair = map[workerPair]decayingCount{}
	}
	pair := workerPair{call.source.hash, call.worker.hash}
	failures := outcomes.failuresByPair[pair].valueAt(now, pairFailureDecay)
	outcomes.failuresByPair[pair] = decayingCount{failures + 1, now}
}

// pairPenalty returns the seconds that recent failed transfers between two workers add to their score.
func (s *service) pairPenalty(now time.Duration, prefill, decode *worker) float64 {
	failures := s.transferOutcomes.failuresByPair
	if len(failures) == 0 {
		return 0
	}
	return pairFailurePenalty * failures[workerPair{prefill.hash, decode.hash}].valueAt(now, pairFailureDecay)
}

// transferFailureProbability returns the probability that a transfer fails, over all pairs.
func (s *service) transferFailureProbability(now time.Duration) float64 {
	outcomes := &s.transferOutcomes.overall
	return min(maxTransferFailure,
		outcomes.Probability(now, transferFailureDecay, transferFailurePrior, transferFailurePriorWeight))
}

// transferCost returns the cost of a transfer in seconds, by its bytes and whether it crosses zones. It
// keeps traffic between zones low if the predicted times hardly differ.
func (s *service) transferCost(prefill, decode *worker, tokens float64) float64 {
	cost := tokens * s.kvBytesPerToken() / 1e9 * transferCostPerGB
	if prefill.zone != decode.zone {
		cost *= crossZoneCostFactor
	}
	return cost
}

// sendCost returns the cost in seconds of sending a prompt to a worker.
func sendCost(w *worker, tokens float64) float64 {
	if w.sameZone {
		return 0
	}
	return tokens * crossZoneSendCost
}
