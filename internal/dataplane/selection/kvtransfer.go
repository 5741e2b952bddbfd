package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// After a prefill, the decode worker fetches the KV cache of the prompt from the prefill worker. This
// file predicts how long such a transfer takes, prices it, and counts those that fail.

const (
	transferSetup            = 0.003 // seconds of a transfer of no tokens
	defaultLinkBits          = 1e11  // bits per second of a worker's link, where none are configured
	defaultKVTokenBytes      = 160e3 // bytes of KV cache per token, where none are configured
	crossZoneTransferFactor  = 2.    // time of a transfer between zones, against one within a zone
	configuredTransferWeight = 0.05  // seconds of transfers that the configured pace counts as
	maxTransferSlowdown      = 100.  // bound on a sample, as a multiple of the configured time

	transferPricePerGB   = 0.006 // seconds that a gigabyte costs within a zone
	crossZonePriceFactor = 3.    // price between zones, against within a zone
	crossZoneSendPrice   = 1e-6  // seconds that a token of the prompt costs when sent to another zone

	pairFailureDecay           = 4 * time.Second // in which a pair's failures fall by e
	pairFailurePenalty         = 0.25            // seconds that each failure of a pair costs
	maxTrackedPairs            = 4096            // pairs with failures; beyond it all are forgotten
	transferFailureDecay       = 5 * time.Second // in which the outcomes of all transfers fall by e
	transferFailurePrior       = 0.01            // probability of a failure before any outcome
	transferFailurePriorWeight = 4.              // outcomes that transferFailurePrior counts as
	maxTransferFailure         = 0.95            // bound on the probability, as it divides by its complement
)

// workerPair is a pair of workers by the hashes of their IDs.
type workerPair struct{ prefill, decode uint64 }

// decayingCount is a count that falls by e in a time constant.
type decayingCount struct {
	value float64
	at    time.Duration
}

// valueAt returns what is left of the count at an instant.
func (c decayingCount) valueAt(now, timeConstant time.Duration) float64 {
	return c.value * math.Exp(-max(0, now-c.at).Seconds()/timeConstant.Seconds())
}

// transferOutcomes counts KV cache transfers that succeeded and that failed.
type transferOutcomes struct {
	overall        stats.FailureRate
	failuresByPair map[workerPair]decayingCount
}

// kvBytesPerToken returns the bytes of KV cache per token.
func (s *service) kvBytesPerToken() float64 {
	if s.engine == nil || s.engine.KVBytesPerToken <= 0 {
		return defaultKVTokenBytes
	}
	return s.engine.KVBytesPerToken
}

// transferPerToken returns the seconds that transferring a token takes by the configuration.
func (s *service) transferPerToken() float64 {
	bits := defaultLinkBits
	if s.engine != nil && s.engine.LinkMbps > 0 {
		bits = s.engine.LinkMbps * 1e6
	}
	return s.kvBytesPerToken() * 8 / bits
}

// configuredTransfer returns the seconds that a transfer takes by the configuration.
func (s *service) configuredTransfer(size float64) float64 {
	return transferSetup + size*s.transferPerToken()
}

// transferSlowdown returns how many times longer transfers take than that, over all workers.
func (s *service) transferSlowdown(now time.Duration) float64 {
	all := s.transferTimes.Fit(now, sampleTTL, 0)
	return (all.SumY + configuredTransferWeight) / (all.SumX + configuredTransferWeight)
}

// transferSize returns the tokens to be transferred between two workers, weighed by distance.
func transferSize(prefill, decode *worker, tokens float64) float64 {
	if prefill.zone != decode.zone {
		return tokens * crossZoneTransferFactor
	}
	return tokens
}

// transferTime predicts the seconds of a transfer between two workers: the slower end determines it.
func (s *service) transferTime(now time.Duration, prefill, decode *worker, size float64) float64 {
	return max(s.transferTimeAt(now, prefill, size), s.transferTimeAt(now, decode, size))
}

// transferTimeAt predicts the seconds of a transfer that is bounded by one worker.
func (s *service) transferTimeAt(now time.Duration, w *worker, size float64) float64 {
	line := w.transferTimes.Fit(now, sampleTTL, 1)
	prior := s.configuredTransfer(size) * s.transferSlowdown(now)
	return estimate.Blend(line.At(size), line.N, prior, estimate.PriorSamples)
}

// learnTransferTime records how many seconds the transfer of a call took, for both of its workers.
func (s *service) learnTransferTime(now time.Duration, call *Call, seconds float64) {
	configured := s.configuredTransfer(call.forecast.size)
	s.transferTimes.Add(now, configured, min(seconds, configured*maxTransferSlowdown), estimate.WindowLength)
	for _, w := range []*worker{call.worker, call.source} {
		w.transferTimes.Add(now, call.forecast.size, seconds, estimate.WindowLength)
	}
}

// recordTransfer counts the outcome of a call's transfer.
func (s *service) recordTransfer(now time.Duration, call *Call, failed bool) {
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

// pairPenalty returns the seconds that recent failures between two workers add to their score.
func (s *service) pairPenalty(now time.Duration, prefill, decode *worker) float64 {
	failures := s.transferOutcomes.failuresByPair
	if len(failures) == 0 {
		return 0
	}
	return pairFailurePenalty * failures[workerPair{prefill.hash, decode.hash}].valueAt(now, pairFailureDecay)
}

// transferFailureProbability returns the probability that a transfer fails.
func (s *service) transferFailureProbability(now time.Duration) float64 {
	outcomes := &s.transferOutcomes.overall
	return min(maxTransferFailure,
		outcomes.Probability(now, transferFailureDecay, transferFailurePrior, transferFailurePriorWeight))
}

// transferPrice returns the price of a transfer in seconds, by its bytes and distance. It keeps traffic
// between zones low where the predicted times hardly differ.
func (s *service) transferPrice(prefill, decode *worker, tokens float64) float64 {
	price := tokens * s.kvBytesPerToken() / 1e9 * transferPricePerGB
	if prefill.zone != decode.zone {
		price *= crossZonePriceFactor
	}
	return price
}

// sendPrice returns the price in seconds of sending a prompt to a worker.
func sendPrice(w *worker, tokens float64) float64 {
	if w.sameZone {
		return 0
	}
	return tokens * crossZoneSendPrice
}
