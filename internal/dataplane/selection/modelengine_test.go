package selection

import (
	"container/heap"
	"time"
)

// A small model of engine workers on one clock, for tests: prompts are prefilled in chunks, first come first
// served; a decode worker prefills between the tokens of its streams at half the pace.

const (
	modelChunkTokens      = 1024.
	modelTokensPerSecond  = 42600. // tokens per second
	modelStepTime         = 0.00555
	modelStepPerSlot      = 0.000029
	modelStepPerKiloToken = 0.0000152 // for each 1,000 tokens of KV cache
	modelTransferPerToken = 327680. * 8 / 2.6e12
)

type event struct {
	at time.Duration
	n  int
	do func()
}

type clock struct {
	now    time.Duration
	events []event
	n      int
}

func (c *clock) Len() int { return len(c.events) }
func (c *clock) Less(i, k int) bool {
	a, b := c.events[i], c.events[k]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (c *clock) Swap(i, k int) { c.events[i], c.events[k] = c.events[k], c.events[i] }
func (c *clock) Push(x any)    { c.events = append(c.events, x.(event)) }
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

func (c *clock) after(seconds float64, do func()) {
	c.n++
	heap.Push(c, event{c.now + time.Duration(seconds*float64(time.Second)), c.n, do})
}

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(c).(event)
		c.now = next.at
		next.do()
	}
}

// modelJob is one call at a modelled worker.
type modelJob struct {
	prompt []PromptSegment
	left   float64 // tokens to prefill
	output int
	first  func(Load)
	done   func(Load)
}

type modelWorker struct {
	clock    *clock
	decode   bool
	slowdown float64
	cache    prefixCache
	waiting  []*modelJob
	running  []*modelJob
	stepping bool
	linkFree time.Duration
	read     float64 // prefilled tokens
	reread   float64 // of shared segments
	moved    float64
}

func (w *modelWorker) load() Load { return Load{len(w.running), len(w.waiting), 64} }

func promptTokens(prompt []PromptSegment) float64 {
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	return float64(total)
}

// startPrefill queues a call with its prompt.
func (w *modelWorker) startPrefill(j *modelJob) {
	j.left = max(1, promptTokens(j.prompt)-w.cache.cachedTokens(j.prompt))
	w.read += j.left
	w.reread += max(0, j.left-float64(j.prompt[len(j.prompt)-1].Tokens))
	w.waiting = append(w.waiting, j)
	w.step()
}

// startTransfer transfers a prompt's KV cache here, and then queues the call.
func (w *modelWorker) startTransfer(from *modelWorker, far bool, job *modelJob) {
	tokens := max(0, promptTokens(job.prompt)-w.cache.cachedTokens(job.prompt))
	w.moved += tokens
	span := 0.0025 + tokens*modelTransferPerToken
	if far {
		span *= 2
	}
	start := max(w.clock.now, w.linkFree, from.linkFree)
	end := start + time.Duration(span*float64(time.Second))
	w.linkFree, from.linkFree = end, end
	w.clock.after((end - w.clock.now).Seconds(), func() {
		job.left = 1
		w.waiting = append(w.waiting, job)
		w.step()
	})
}

// step runs one step of the batch, if there is work.
func (w *modelWorker) step() {
	if w.stepping || len(w.waiting)+len(w.running) == 0 {
		return
	}
	w.stepping = true
	chunk, tokensPerSecond, span := modelChunkTokens, modelTokensPerSecond, 0.
	if w.decode {
		chunk, tokensPerSecond = chunk/4, tokensPerSecond/2
	}
	for _, j := range w.running {
		span += modelStepPerSlot + modelStepPerKiloToken*promptTokens(j.prompt)/1000
	}
	if len(w.running) > 0 || w.decode {
		span += modelStepTime
	}
	var ready []*modelJob
	for len(w.waiting) > 0 && chunk > 0 {
		j := w.waiting[0]
		take := min(chunk, j.left)
		j.left, chunk, span = j.left-take, chunk-take, span+take/tokensPerSecond
		if j.left > 0 {
			break
		}
		w.waiting, ready = w.waiting[1:], append(ready, j)
	}
	w.clock.after(span*w.slowdown, func() { w.stepped(ready) })
}

// stepped ends a step.
func (w *modelWorker) stepped(ready []*modelJob) {
	w.stepping = false
	still := w.running[:0]
	var ended []*modelJob
	for _, j := range w.running {
		if j.output--; j.output > 0 {
			still = append(still, j)
		} else {
			ended = append(ended, j)
		}
	}
	w.running = still
	for _, j := range ready {
		w.cache.add(j.prompt, 1, 0)
		if w.decode {
			w.running = append(w.running, j)
		}
	}
	for _, j := range ready {
		j.first(w.load())
	}
	for _, j := range ended {
		j.done(w.load())
	}
	w.step()
}
