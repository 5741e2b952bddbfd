package selection

import "time"

const maxAncestors = 3 // shared parts before the last whose shares are counted

// requestInfo is a request as the choice sees it.
type requestInfo struct {
	request        *Request
	prompt         []PromptSegment
	sharedSegments []PromptSegment // the parts that other requests carry too
	affinityKey    uint64          // the part whose homes it goes to; 0: none
	promptTokens   float64
	keyShare       float64               // of the requests that have the key
	ancestorShares [maxAncestors]float64 // of those that have a part before it
}

// infoFor returns what a choice needs to know of a request, worked out and counted once.
func (s *service) infoFor(now time.Duration, request *Request) *requestInfo {
	if request.info == nil || request.info.request != request {
		info := s.newRequestInfo(request)
		s.popularity.record(now, &info)
		request.info = &info
	}
	return request.info
}

// newRequestInfo works out what a choice needs to know of a request.
func (s *service) newRequestInfo(request *Request) requestInfo {
	info := requestInfo{request: request, prompt: request.Prompt, promptTokens: float64(request.PromptTokens)}
	if request.PromptTokens <= 0 {
		total := 0
		for _, segment := range request.Prompt {
			total += segment.Tokens
		}
		info.promptTokens = float64(total)
	}
	if info.promptTokens <= 0 && s.engine != nil {
		info.promptTokens = defaultPromptTokens
	}
	if count := len(request.Prompt); count > 1 {
		info.sharedSegments = request.Prompt[:count-1]
		info.affinityKey = request.Prompt[count-2].ID
	} else if count == 1 {
		info.affinityKey = request.Prompt[0].ID
	}
	return info
}
