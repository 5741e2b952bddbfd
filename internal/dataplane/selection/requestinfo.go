package selection

import "time"

// maxAncestors is the number of segments before the affinity key whose shares are counted.
const maxAncestors = 3

// requestInfo is what the choice derives from a request, once.
type requestInfo struct {
	request        *Request
	prompt         []PromptSegment
	sharedSegments []PromptSegment       // those that other requests have too
	affinityKey    uint64                // ID of the segment whose affinity targets the request goes to; 0: none
	promptTokens   float64               // an assumed number where the request names none
	keyShare       float64               // share of the requests that have the affinity key
	ancestorShares [maxAncestors]float64 // shares of the requests that have a segment before it
}

// infoFor returns a request's info. The first call derives it and counts the request's segments.
func (s *service) infoFor(now time.Duration, request *Request) *requestInfo {
	if request.info == nil || request.info.request != request {
		info := s.newRequestInfo(request)
		s.popularity.record(now, &info)
		request.info = &info
	}
	return request.info
}

// newRequestInfo derives a request's info but for its shares.
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
