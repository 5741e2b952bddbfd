package selection

import "time"

// maxAncestors limits the segments before the affinity key whose shares of the requests are tracked. The
// first segments of the prompt count.
const maxAncestors = 3

// requestInfo holds the values that are derived from a request once, by its first choice.
type requestInfo struct {
	request        *Request
	prompt         []PromptSegment
	sharedSegments []PromptSegment       // those that other requests may have too: all but the last
	affinityKey    uint64                // ID of the segment whose affinity targets are preferred; 0: none
	promptTokens   float64               // an assumed number if the request does not state it
	keyShare       float64               // share of this node's requests that have the affinity key
	ancestorShares [maxAncestors]float64 // shares of this node's requests that have each of the first segments before it
}

// infoFor returns a request's info. The first call for a request derives it and counts the request's
// segments in the popularity statistics.
func (s *service) infoFor(now time.Duration, request *Request) *requestInfo {
	if request.info == nil || request.info.request != request {
		info := s.newRequestInfo(request)
		s.popularity.record(now, &info)
		request.info = &info
	}
	return request.info
}

// newRequestInfo derives a request's info, without its shares.
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
