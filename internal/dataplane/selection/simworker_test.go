package selection

import (
	"container/heap"
	"time"
)

// A discrete-event simulation of engine workers. Prompts are prefilled in chunks, in order of arrival. A decode
// worker prefills at half the speed, in the steps in which it decodes its streams.

// Parameters of the engines. Times are in seconds.
const (
	simChunkTokens      = 1024.                // tokens that a prefill worker prefills in a step at most
	simTokensPerSecond  = 42600.               // prefill speed of a prefill worker
	simStepTime         = 0.00555              // of a step with decoding
	simStepPerSlot      = 0.000029             // added for each running stream
	simStepPerKiloToken = 0.0000152            // added for each 1,000 prompt tokens of the running streams
	simTransferPerToken = 327680. * 8 / 2.6e12 // bits of KV cache per token by bits per second of a link
)

// event is an action that is scheduled on a clock.
type event struct {
	at       time.Duration
	sequence int // orders events at the same instant
	action   func()
}

// clock is the simulated time, with a heap of the scheduled events.
type clock struct {
	now          time.Duration
	events       []event
	lastSequence int
}

func (c *clock) Len() int { return len(c.events) }
func (c *clock) Less(i, k int) bool {
	a, b := c.events[i], c.events[k]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (c *clock) Swap(i, k int) { c.events[i], c.events[k] = c.events[k], c.events[i] }
func (c *clock) Push(x any)    { c.events = append(c.events, x.(event)) }
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

// after schedules an action.
func (c *clock) after(seconds float64, action func()) {
	c.lastSequence++
	heap.Push(c, event{c.now + time.Duration(seconds*float64(time.Second)), c.lastSequence, action})
}

// run runs the events up to an instant.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(c).(event)
		c.now = next.at
		next.action()
	}
}

// simCall is a call at a simulated worker.
type simCall struct {
	prompt          []PromptSegment
	uncomputed      float64 // tokens that remain to be prefilled
	remainingOutput int     // tokens that remain to be decoded
	onFirstEvent    func(Load)
	onDone          func(Load)
}

// simWorker is a simulated prefill or decode worker.
type simWorker struct {
	clock             *clock
	decode            bool
	slowdown          float64 // factor on the time of each step
	cache             prefixCache
	waiting           []*simCall // to be prefilled
	running           []*simCall // being decoded
	stepping          bool       // a step is in progress
	linkFreeAt        time.Duration
	prefilledTokens   float64 // of all segments
	recomputedTokens  float64 // of shared segments alone
	transferredTokens float64 // fetched from prefill workers
}

func (w *simWorker) load() Load { return Load{len(w.running), len(w.waiting), 64} }

func promptTokens(prompt []PromptSegment) float64 {
	total := 0
	for _, segment := range prompt {
		total += segment.Tokens
	}
	return float64(total)
}

// startPrefill queues a call whose prompt is prefilled here.
func (w *simWorker) startPrefill(call *simCall) {
	call.uncomputed = max(1, promptTokens(call.prompt)-w.cache.cachedTokens(call.prompt))
	w.prefilledTokens += call.uncomputed
	w.recomputedTokens += max(0, call.uncomputed-float64(call.prompt[len(call.prompt)-1].Tokens))
	w.waiting = append(w.waiting, call)
	w.startStep()
}

// startTransfer fetches the KV cache of a call's prompt from another worker, and then queues the call.
func (w *simWorker) startTransfer(from *simWorker, crossZone bool, call *simCall) {
	tokens := max(0, promptTokens(call.prompt)-w.cache.cachedTokens(call.prompt))
	w.transferredTokens += tokens
	transferTime := 0.0025 + tokens*simTransferPerToken
	if crossZone {
		transferTime *= 2
	}
	start := max(w.clock.now, w.linkFreeAt, from.linkFreeAt)
	end := start + time.Duration(transferTime*float64(time.Second))
	w.linkFreeAt, from.linkFreeAt = end, end
	w.clock.after((end - w.clock.now).Seconds(), func() {
		call.uncomputed = 1
		w.waiting = append(w.waiting, call)
		w.startStep()
	})
}

// startStep starts a step of the batch if there is work and no step is in progress.
func (w *simWorker) startStep() {
	if w.stepping || len(w.waiting)+len(w.running) == 0 {
		return
	}
	w.stepping = true
	tokensLeft, tokensPerSecond, stepTime := simChunkTokens, simTokensPerSecond, 0.
	if w.decode {
		tokensLeft, tokensPerSecond = tokensLeft/4, tokensPerSecond/2
	}
	for _, call := range w.running {
		stepTime += simStepPerSlot + simStepPerKiloToken*promptTokens(call.prompt)/1000
	}
	if len(w.running) > 0 || w.decode {
		stepTime += simStepTime
	}
	var ready []*simCall
	for len(w.waiting) > 0 && tokensLeft > 0 {
		call := w.waiting[0]
		computed := min(tokensLeft, call.uncomputed)
		call.uncomputed, tokensLeft, stepTime = call.uncomputed-computed, tokensLeft-computed, stepTime+computed/tokensPerSecond
		if call.uncomputed > 0 {
			break
		}
		w.waiting, ready = w.waiting[1:], append(ready, call)
	}
	w.clock.after(stepTime*w.slowdown, func() { w.finishStep(ready) })
}

// finishStep ends a step, after which the prompts of the ready calls are computed, and starts the next one.
func (w *simWorker) finishStep(ready []*simCall) {
	w.stepping = false
	continuing := w.running[:0]
	var ended []*simCall
	for _, call := range w.running {
		if call.remainingOutput--; call.remainingOutput > 0 {
			continuing = append(continuing, call)
		} else {
			ended = append(ended, call)
		}
	}
	w.running = continuing
	for _, call := range ready {
		w.cache.add(call.prompt, 1, 0)
		if w.decode {
			w.running = append(w.running, call)
		}
	}
	for _, call := range ready {
		call.onFirstEvent(w.load())
	}
	for _, call := range ended {
		call.onDone(w.load())
	}
	w.startStep()
}
