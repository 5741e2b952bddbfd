package selection

import "time"

const innerParts = 3 // shared parts before the last whose shares are counted

// job is a request as the choice sees it.
type job struct {
	request *Request
	prompt  []Part
	shared  []Part // the parts that other requests carry too
	key     uint64 // the part whose homes it goes to; 0: none
	tokens  float64
	share   float64             // of the requests that have the key
	inner   [innerParts]float64 // of those that have a part before it
}

// jobFor returns what a choice needs to know of a request, worked out and counted once.
func (s *service) jobFor(now time.Duration, r *Request) *job {
	if r.job == nil || r.job.request != r {
		j := s.jobOf(r)
		s.shared.count(now, &j)
		r.job = &j
	}
	return r.job
}

// jobOf works out what a choice needs to know of a request.
func (s *service) jobOf(r *Request) job {
	j := job{request: r, prompt: r.Prompt, tokens: float64(r.PromptTokens)}
	if r.PromptTokens <= 0 {
		total := 0
		for _, part := range r.Prompt {
			total += part.Tokens
		}
		j.tokens = float64(total)
	}
	if j.tokens <= 0 && s.engine != nil {
		j.tokens = usualPrompt
	}
	if n := len(r.Prompt); n > 1 {
		j.shared = r.Prompt[:n-1]
		j.key = r.Prompt[n-2].ID
	} else if n == 1 {
		j.key = r.Prompt[0].ID
	}
	return j
}
