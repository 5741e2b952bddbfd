package selection

import (
	"math"
	"time"

	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

const (
	windowLength               = estimate.WindowLength
	transferSetup              = 0.003           // seconds that a hand-over takes besides moving
	defaultLinkBits            = 1e11            // bits a second of a worker's link, where nobody tells
	defaultKVTokenBytes        = 160e3           // bytes of a token's memory, where nobody tells
	crossZoneTransferFactor    = 2.              // times as long between zones
	pairFailureDecay           = 4 * time.Second // in which a pair's failures fall by e
	pairFailurePenalty         = 0.25            // seconds that each failure of a pair counts as
	maxTrackedPairs            = 4096            // pairs whose failures are remembered
	transferFailureDecay       = 5 * time.Second // in which the outcomes of hand-overs fall by e
	transferFailurePrior       = 0.01            // of a failure, until shown
	transferFailurePriorWeight = 4.              // outcomes that this counts as
	maxTransferFailure         = 0.95            // that a hand-over is taken to fail with
	configuredTransferWeight   = 0.05            // seconds of moving that the configuration's word counts as
	maxTransferSlowdown        = 100.            // times longer than told that a hand-over counts as taking at most
	transferPricePerGB         = 0.006           // seconds that moving a gigabyte within a zone counts as
	crossZonePriceFactor       = 3.              // times as dear between zones
	crossZoneSendPrice         = 1e-6            // seconds that sending a token to another zone counts as
)

// workerPair names a pair of workers.
type workerPair struct{ prefill, decode uint64 }

// decayingCount are failures that fall by e in a life.
type decayingCount struct {
	value float64
	at    time.Duration
}

func (s decayingCount) valueAt(now, life time.Duration) float64 {
	return s.value * math.Exp(-max(0, now-s.at).Seconds()/life.Seconds())
}

// transferOutcomes is what became of hand-overs.
type transferOutcomes struct {
	overall        stats.FailureRate
	failuresByPair map[workerPair]decayingCount
}

// transferPerToken is the seconds that moving a token takes by the configuration.
func (s *service) transferPerToken() float64 {
	bits, bytes := defaultLinkBits, defaultKVTokenBytes
	if s.engine != nil && s.engine.LinkMbps > 0 {
		bits = s.engine.LinkMbps * 1e6
	}
	if s.engine != nil && s.engine.KVBytesPerToken > 0 {
		bytes = s.engine.KVBytesPerToken
	}
	return bytes * 8 / bits
}

// configuredTransfer is what moving takes by the configuration, in seconds.
func (s *service) configuredTransfer(size float64) float64 {
	return transferSetup + size*s.transferPerToken()
}

// transferSlowdown is how many times longer hand-overs take than that, over all workers.
func (s *service) transferSlowdown(now time.Duration) float64 {
	all := s.transferTimes.Fit(now, sampleTTL, 0)
	return (all.SumY + configuredTransferWeight) / (all.SumX + configuredTransferWeight)
}

// transferSize is the tokens to be moved between two workers, weighed by distance.
func transferSize(prefill, decode *worker, tokens float64) float64 {
	if prefill.zone != decode.zone {
		return tokens * crossZoneTransferFactor
	}
	return tokens
}

// transferTimeAt predicts what a worker's part of a hand-over takes, in seconds.
func (s *service) transferTimeAt(now time.Duration, w *worker, size float64) float64 {
	line := w.transferTimes.Fit(now, sampleTTL, 1)
	prior := s.configuredTransfer(size) * s.transferSlowdown(now)
	return estimate.Blend(line.At(size), line.N, prior, estimate.PriorSamples)
}

// learnTransferTime takes in how long a hand-over took, at both of its ends.
func (s *service) learnTransferTime(now time.Duration, call *Call, seconds float64) {
	configured := s.configuredTransfer(call.forecast.size)
	s.transferTimes.Add(now, configured, min(seconds, configured*maxTransferSlowdown), windowLength)
	for _, w := range []*worker{call.worker, call.source} {
		w.transferTimes.Add(now, call.forecast.size, seconds, windowLength)
	}
}

// recordTransfer takes in whether a hand-over worked.
func (s *service) recordTransfer(now time.Duration, call *Call, failed bool) {
	s.transferOutcomes.overall.Add(now, transferFailureDecay, failed)
	if !failed {
		return
	}
	if s.transferOutcomes.failuresByPair == nil || len(s.transferOutcomes.failuresByPair) >= maxTrackedPairs {
		s.transferOutcomes.failuresByPair = map[workerPair]decayingCount{}
	}
	key := workerPair{call.source.hash, call.worker.hash}
	s.transferOutcomes.failuresByPair[key] = decayingCount{s.transferOutcomes.failuresByPair[key].valueAt(now, pairFailureDecay) + 1, now}
}

// pairPenalty is what a pair's failures add to its estimate, in seconds.
func (s *service) pairPenalty(now time.Duration, prefill, decode *worker) float64 {
	if len(s.transferOutcomes.failuresByPair) == 0 {
		return 0
	}
	return pairFailurePenalty * s.transferOutcomes.failuresByPair[workerPair{prefill.hash, decode.hash}].valueAt(now, pairFailureDecay)
}

// transferFailureProbability is the chance that a hand-over fails.
func (s *service) transferFailureProbability(now time.Duration) float64 {
	return min(maxTransferFailure, s.transferOutcomes.overall.Probability(now, transferFailureDecay, transferFailurePrior, transferFailurePriorWeight))
}

// transferPrice is what moving memory counts as, in seconds, by its amount and distance.
func (s *service) transferPrice(prefill, decode *worker, tokens float64) float64 {
	bytes := defaultKVTokenBytes
	if s.engine != nil && s.engine.KVBytesPerToken > 0 {
		bytes = s.engine.KVBytesPerToken
	}
	price := tokens * bytes / 1e9 * transferPricePerGB
	if prefill.zone != decode.zone {
		price *= crossZonePriceFactor
	}
	return price
}

// sendPrice is what sending a prompt counts as, in seconds.
func sendPrice(w *worker, tokens float64) float64 {
	if w.sameZone {
		return 0
	}
	return tokens * crossZoneSendPrice
}

// transferTime predicts a hand-over by the slower of its two ends, in seconds.
func (s *service) transferTime(now time.Duration, prefill, decode *worker, size float64) float64 {
	return max(s.transferTimeAt(now, prefill, size), s.transferTimeAt(now, decode, size))
}
