package selection

import (
	"time"

	"ospreybend/internal/staging"
)

// Demands returns the demand of each service whose workers have stages, since the start.
func (s *Selector) Demands() map[string]staging.Demand {
	demands := make(map[string]staging.Demand, len(s.services))
	for name, service := range s.services {
		if service.demand != (staging.Demand{}) {
			demands[name] = service.demand
		}
	}
	return demands
}

// demandOf estimates the work of a request by the best way to serve it.
func (s *service) demandOf(now time.Duration, j *job, best option) staging.Demand {
	reader := best.from
	if reader == nil {
		reader = best.run
	}
	writer := best.run.worker
	read := soloOf(classPrefill, max(1, reader.missing), j.tokens-reader.missing)
	stream := writer.tokenPace(now, best.run.f.load) * float64(j.request.OutputTokens)
	return staging.Demand{
		Read:   read * s.pools[classPrefill].ratio.Or(1, poolPrior),
		Slots:  stream / s.slotsOf(writer),
		Memory: stream * (j.tokens + float64(j.request.OutputTokens)) / s.memory(),
		Moves:  s.moveTold(best.run.missing) * s.moveRatio(now),
	}
}
