package selection

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
)

// trafficKind is a kind of simulated requests. A prompt has a root segment, a document segment and one of the request's
// own.
type trafficKind struct {
	name                    string
	requestsPerSecond       float64
	sharedTokens, ownTokens float64 // mean tokens of the shared segments and of the request's own
	documents               int     // number of distinct document segments
	outputTokens            int
	priority                int
	objective               time.Duration
	deadline                time.Duration
	ownSpread               float64 // share of the own segment's tokens that varies
	roots                   int     // number of distinct root segments
}

var trafficKinds = []trafficKind{
	{"long", 10.9, 6300, 2890, 144, 7, 1, 500 * time.Millisecond, 4 * time.Second, 1, 4},
	{"short", 13.3, 568, 1800, 78, 3, 0, 400 * time.Millisecond, 2500 * time.Millisecond, 1, 20},
	{"chat", 9.39, 172, 543, 124, 40, 2, 250 * time.Millisecond, 10 * time.Second, 0.8, 8},
}

// policy chooses the workers of a request, or returns false to reject it.
type policy func(f *simFleet, node int, r *Request) (Choice, bool)

// simFleet is a simulated fleet of nodes and engine workers.
type simFleet struct {
	clock     clock
	random    *rand.Rand
	workers   map[string]*simWorker
	entries   []*fleetview.Worker
	selectors []*Selector
	inFlight  []map[string]int // calls in flight, by node and worker ID
	policy    policy

	unresponsive             func(id string) bool // reports whether a worker does not respond now; nil: all respond
	lostCalls                int
	firstEventTimes          []float64 // seconds from arrival to first event
	sent, onTime             int
	rejected, withoutPrefill int
	sentByKind, onTimeByKind map[string]int
	sizes                    map[string][]servedSize
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func newSimFleet(nodes, workers, zones int, seed uint64, policy policy) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*simWorker{}, policy: policy,
		sentByKind: map[string]int{}, onTimeByKind: map[string]int{}, sizes: map[string][]servedSize{}}
	speeds := []float64{1, 1, 1.3}
	for i := range workers {
		stage := "decode"
		if i%5 < 2 {
			stage = "prefill"
		}
		id := fmt.Sprintf("i-%03d", i)
		f.workers[id] = &simWorker{clock: &f.clock, decode: stage == "decode", slowdown: speeds[i%3],
			cache: prefixCache{capacity: 342882}}
		f.entries = append(f.entries, &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "m",
			Zone: zoneName(i % zones), Slots: 64, Stage: stage}})
	}
	view := &fleetview.View{Workers: map[string][]*fleetview.Worker{"m": f.entries}, EdgeNodeCount: nodes,
		Services: map[string]*configuration.Service{"m": {Name: "m", Engine: &configuration.Engine{
			Slots: 64, KVCapacityTokens: 342882, KVBytesPerToken: 327680, LinkMbps: 2.6e6, MaxTokensPerEvent: 7}}}}
	for i := range nodes {
		s := New(Options{Zone: zoneName(i % zones), Seed: seed + uint64(i)})
		s.SetView(0, view)
		f.selectors = append(f.selectors, s)
		f.inFlight = append(f.inFlight, map[string]int{})
	}
	return f
}

// randomTokens draws an exponentially distributed number of tokens, at least 1. Spread is the share of the mean that
// varies.
func (f *simFleet) randomTokens(mean, spread float64) int {
	x := f.random.ExpFloat64()*spread + (1 - spread)
	return 1 + int(mean*min(x, 8))
}

// request draws a request of a kind.
func (f *simFleet) request(kind trafficKind) *Request {
	document := f.random.IntN(kind.documents)
	root := document % kind.roots
	hash := func(x int) int { return int(mixHash(uint64(x)+uint64(kind.documents)<<20) % 1000) }
	rootTokens := int(kind.sharedTokens * 0.4 * (0.6 + 0.0008*float64(hash(root))))
	documentTokens := int(kind.sharedTokens * 0.6 * (0.5 + 0.001*float64(hash(1000+document))))
	own := f.randomTokens(kind.ownTokens, kind.ownSpread)
	prompt := []PromptSegment{
		{mixHash(uint64(kind.documents)<<32 + uint64(root)), rootTokens},
		{mixHash(uint64(kind.documents)<<32 + 1<<20 + uint64(document)), documentTokens},
		{f.random.Uint64(), own},
	}
	return &Request{Service: "m", Route: kind.name, Model: "m", Priority: kind.priority, Prompt: prompt,
		PromptTokens: rootTokens + documentTokens + own, OutputTokens: kind.outputTokens,
		Arrived: f.clock.now, Objective: f.clock.now + kind.objective, Deadline: f.clock.now + kind.deadline}
}

// startTraffic starts the arrivals of a kind of requests, as a Poisson process.
func (f *simFleet) startTraffic(kind trafficKind, scale float64) {
	f.clock.after(f.random.ExpFloat64()/(kind.requestsPerSecond*scale), func() {
		f.handleArrival(kind, f.request(kind))
		f.startTraffic(kind, scale)
	})
}

// handleArrival sends a request to a random node, whose policy rejects it or chooses its workers.
func (f *simFleet) handleArrival(kind trafficKind, request *Request) {
	node := f.random.IntN(len(f.selectors))
	c, ok := f.policy(f, node, request)
	f.sent++
	f.sentByKind[kind.name]++
	f.sizes[kind.name] = append(f.sizes[kind.name], servedSize{request.PromptTokens, ok})
	if !ok {
		f.rejected++
		return
	}
	if c.Prefill == nil {
		f.withoutPrefill++
		f.run(kind, node, request, c)
		return
	}
	f.prefill(kind, node, request, c)
}

const (
	simNetworkDelay = 0.001 // seconds
	simCallTimeout  = 0.8   // seconds after which a call to an unresponsive worker fails
)

// prefill simulates a request's prefill call, and then its run.
func (f *simFleet) prefill(kind trafficKind, node int, request *Request, choice Choice) {
	s, w := f.selectors[node], f.workers[choice.Prefill.ID]
	call := s.Sent(f.clock.now, request, CallPrefill, choice)
	f.inFlight[node][choice.Prefill.ID]++
	if f.dropCall(choice.Prefill.ID, node, call) {
		return
	}
	simulated := &simCall{prompt: request.Prompt}
	simulated.onFirstEvent = func(l Load) {
		f.clock.after(simNetworkDelay, func() {
			f.inFlight[node][choice.Prefill.ID]--
			s.Done(f.clock.now, call, &l)
			f.run(kind, node, request, choice)
		})
	}
	f.clock.after(simNetworkDelay, func() { w.startPrefill(simulated) })
}

// run simulates a request's run.
func (f *simFleet) run(kind trafficKind, node int, request *Request, choice Choice) {
	s, w := f.selectors[node], f.workers[choice.Run.ID]
	call := s.Sent(f.clock.now, request, CallRun, choice)
	f.inFlight[node][choice.Run.ID]++
	if f.dropCall(choice.Run.ID, node, call) {
		return
	}
	simulated := &simCall{prompt: request.Prompt, remainingOutput: request.OutputTokens}
	var reported Load
	simulated.onFirstEvent = func(l Load) {
		reported = l
		f.clock.after(simNetworkDelay, func() {
			f.recordFirstEvent(kind, request)
			s.FirstEvent(f.clock.now, call)
		})
	}
	simulated.onDone = func(Load) {
		f.clock.after(simNetworkDelay, func() {
			f.inFlight[node][choice.Run.ID]--
			s.Done(f.clock.now, call, &reported)
		})
	}
	f.clock.after(simNetworkDelay, func() {
		if choice.Prefill != nil {
			w.startTransfer(f.workers[choice.Prefill.ID], choice.Prefill.Zone != choice.Run.Zone, simulated)
			return
		}
		w.startPrefill(simulated)
	})
}

// dropCall reports whether a worker is unresponsive. If so, the call to it fails after simCallTimeout.
func (f *simFleet) dropCall(id string, node int, call *Call) bool {
	if f.unresponsive == nil || !f.unresponsive(id) {
		return false
	}
	f.lostCalls++
	f.clock.after(simCallTimeout, func() {
		f.inFlight[node][id]--
		f.selectors[node].Failed(f.clock.now, call, FailureTimeout)
	})
	return true
}

func (f *simFleet) recordFirstEvent(kind trafficKind, r *Request) {
	f.firstEventTimes = append(f.firstEventTimes, (f.clock.now - r.Arrived).Seconds())
	if f.clock.now <= r.Objective {
		f.onTime++
		f.onTimeByKind[kind.name]++
	}
}

// fleetResults are the results of a simulation.
type fleetResults struct {
	Mean, P95                          float64 // seconds to the first event
	OnTime, Rejected, WithoutPrefill   float64 // shares of the requests
	Prefilled, Recomputed, Transferred float64 // thousands of tokens
	OnTimeByKind                       string  // share of each kind, as text
	LargestServed                      float64 // lowest servedShareOfLargest of the kinds
}

func (f *simFleet) results() fleetResults {
	sort.Float64s(f.firstEventTimes)
	var total float64
	for _, x := range f.firstEventTimes {
		total += x
	}
	n := float64(len(f.firstEventTimes))
	results := fleetResults{Mean: total / n, P95: f.firstEventTimes[int(n*0.95)], OnTime: float64(f.onTime) / float64(f.sent),
		Rejected: float64(f.rejected) / float64(f.sent), WithoutPrefill: float64(f.withoutPrefill) / n}
	for _, entry := range f.entries {
		w := f.workers[entry.ID]
		results.Prefilled += w.prefilledTokens / 1000
		results.Recomputed += w.recomputedTokens / 1000
		results.Transferred += w.transferredTokens / 1000
	}
	results.LargestServed = 1
	for _, k := range trafficKinds {
		results.LargestServed = min(results.LargestServed, servedShareOfLargest(f.sizes[k.name]))
		results.OnTimeByKind += fmt.Sprintf("%s %.3f ", k.name, float64(f.onTimeByKind[k.name])/float64(max(1, f.sentByKind[k.name])))
	}
	return results
}

// simulateFleet runs a simulated fleet for a duration. Scale multiplies the rates of all kinds.
func simulateFleet(nodes, workers, zones int, scale float64, duration time.Duration, seed uint64, p policy) fleetResults {
	f := newSimFleet(nodes, workers, zones, seed, p)
	for _, k := range trafficKinds {
		f.startTraffic(k, scale)
	}
	f.clock.run(duration)
	return f.results()
}

// selectorPolicy is the policy of the node's Selector.
func selectorPolicy(f *simFleet, node int, r *Request) (Choice, bool) {
	c, v := f.selectors[node].Choose(f.clock.now, r, nil)
	return c, v.Admit
}

// workersOfStage returns the workers of a stage.
func (f *simFleet) workersOfStage(stage string) []*fleetview.Worker {
	var workers []*fleetview.Worker
	for _, w := range f.entries {
		if w.Stage == stage {
			workers = append(workers, w)
		}
	}
	return workers
}

// randomPolicy chooses a random pair.
func randomPolicy(f *simFleet, node int, r *Request) (Choice, bool) {
	from, to := f.workersOfStage("prefill"), f.workersOfStage("decode")
	return Choice{Prefill: from[f.random.IntN(len(from))], Run: to[f.random.IntN(len(to))]}, true
}

// leastOutstandingPolicy chooses the prefill and the decode worker with the fewest calls in flight from the node.
func leastOutstandingPolicy(fleet *simFleet, node int, request *Request) (Choice, bool) {
	leastLoaded := func(list []*fleetview.Worker) *fleetview.Worker {
		best, ties := list[0], 0
		for _, w := range list {
			switch a, b := fleet.inFlight[node][w.ID], fleet.inFlight[node][best.ID]; {
			case a < b:
				best, ties = w, 1
			case a == b:
				if ties++; fleet.random.IntN(ties) == 0 {
					best = w
				}
			}
		}
		return best
	}
	return Choice{Prefill: leastLoaded(fleet.workersOfStage("prefill")), Run: leastLoaded(fleet.workersOfStage("decode"))}, true
}

// servedSize is the size of a request's prompt, and whether the request was admitted.
type servedSize struct {
	tokens int
	served bool
}

// servedShareOfLargest returns the admitted share of the largest tenth of requests, divided by that of all
// requests.
func servedShareOfLargest(requests []servedSize) float64 {
	sort.Slice(requests, func(i, k int) bool { return requests[i].tokens > requests[k].tokens })
	share := func(group []servedSize) float64 {
		n := 0.
		for _, request := range group {
			if request.served {
				n++
			}
		}
		return n / float64(len(group))
	}
	return share(requests[:max(1, len(requests)/10)]) / share(requests)
}
