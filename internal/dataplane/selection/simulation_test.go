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

// trafficKind is a kind of request of the simulation.
type trafficKind struct {
	name                    string
	rate                    float64
	sharedTokens, ownTokens float64 // mean tokens of the shared segments and of the request's own
	documents               int
	output                  int
	priority                int
	objective               time.Duration
	deadline                time.Duration
	ownSpread               float64
	documentsPerRoot        int
}

var trafficKinds = []trafficKind{
	{"long", 10.9, 6300, 2890, 144, 7, 1, 500 * time.Millisecond, 4 * time.Second, 1, 4},
	{"short", 13.3, 568, 1800, 78, 3, 0, 400 * time.Millisecond, 2500 * time.Millisecond, 1, 20},
	{"chat", 9.39, 172, 543, 124, 40, 2, 250 * time.Millisecond, 10 * time.Second, 0.8, 8},
}

// policy is a way to choose workers; it returns false to reject the request.
type policy func(f *modelFleet, node int, r *Request) (Choice, bool)

// modelFleet is a simulated fleet of nodes and engine workers.
type modelFleet struct {
	clock     clock
	random    *rand.Rand
	workers   map[string]*modelWorker
	list      []*fleetview.Worker
	selectors []*Selector
	counts    []map[string]int // by node: calls in flight, by worker
	policy    policy

	unresponsive             func(id string) bool // reports whether a worker does not respond now; nil: none
	lostCalls                int
	firsts                   []float64
	sent, onTime             int
	rejected, withoutPrefill int
	sentByKind, onTimeByKind map[string]int
	sizes                    map[string][]servedSize
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func newModelFleet(nodes, workers, zones int, seed uint64, policy policy) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*modelWorker{}, policy: policy,
		sentByKind: map[string]int{}, onTimeByKind: map[string]int{}, sizes: map[string][]servedSize{}}
	speeds := []float64{1, 1, 1.3}
	for i := range workers {
		stage := "decode"
		if i%5 < 2 {
			stage = "prefill"
		}
		id := fmt.Sprintf("i-%03d", i)
		f.workers[id] = &modelWorker{clock: &f.clock, decode: stage == "decode", slowdown: speeds[i%3],
			cache: prefixCache{capacity: 342882}}
		f.list = append(f.list, &fleetview.Worker{Instance: registry.Instance{ID: id, Service: "m",
			Zone: zoneName(i % zones), Slots: 64, Stage: stage}})
	}
	view := &fleetview.View{Workers: map[string][]*fleetview.Worker{"m": f.list}, EdgeNodeCount: nodes,
		Services: map[string]*configuration.Service{"m": {Name: "m", Engine: &configuration.Engine{
			Slots: 64, KVCapacityTokens: 342882, KVBytesPerToken: 327680, LinkMbps: 2.6e6, MaxTokensPerEvent: 7}}}}
	for i := range nodes {
		s := New(Options{Zone: zoneName(i % zones), Seed: seed + uint64(i)})
		s.SetView(0, view)
		f.selectors = append(f.selectors, s)
		f.counts = append(f.counts, map[string]int{})
	}
	return f
}

// spread draws around a mean, at least 1.
func (f *modelFleet) spread(mean, by float64) int {
	x := f.random.ExpFloat64()*by + (1 - by)
	return 1 + int(mean*min(x, 8))
}

func (f *modelFleet) request(kind trafficKind) *Request {
	thing := f.random.IntN(kind.documents)
	root := thing % kind.documentsPerRoot
	hash := func(x int) int { return int(mixHash(uint64(x)+uint64(kind.documents)<<20) % 1000) }
	rootTokens := int(kind.sharedTokens * 0.4 * (0.6 + 0.0008*float64(hash(root))))
	thingTokens := int(kind.sharedTokens * 0.6 * (0.5 + 0.001*float64(hash(1000+thing))))
	own := f.spread(kind.ownTokens, kind.ownSpread)
	prompt := []PromptSegment{
		{mixHash(uint64(kind.documents)<<32 + uint64(root)), rootTokens},
		{mixHash(uint64(kind.documents)<<32 + 1<<20 + uint64(thing)), thingTokens},
		{f.random.Uint64(), own},
	}
	return &Request{Service: "m", Route: kind.name, Model: "m", Priority: kind.priority, Prompt: prompt,
		PromptTokens: rootTokens + thingTokens + own, OutputTokens: kind.output,
		Arrived: f.clock.now, Objective: f.clock.now + kind.objective, Deadline: f.clock.now + kind.deadline}
}

// traffic starts a kind's arrivals.
func (f *modelFleet) traffic(k trafficKind, scale float64) {
	f.clock.after(f.random.ExpFloat64()/(k.rate*scale), func() {
		f.arrive(k, f.request(k))
		f.traffic(k, scale)
	})
}

func (f *modelFleet) arrive(kind trafficKind, request *Request) {
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
	modelNetworkDelay = 0.001 // seconds
	modelCallTimeout  = 0.8   // seconds until a node cancels a call
)

func (f *modelFleet) prefill(kind trafficKind, node int, request *Request, choice Choice) {
	s, w := f.selectors[node], f.workers[choice.Prefill.ID]
	call := s.Sent(f.clock.now, request, CallPrefill, choice)
	f.counts[node][choice.Prefill.ID]++
	if f.dropCall(choice.Prefill.ID, node, call) {
		return
	}
	job := &modelJob{prompt: request.Prompt}
	job.first = func(l Load) {
		f.clock.after(modelNetworkDelay, func() {
			f.counts[node][choice.Prefill.ID]--
			s.Done(f.clock.now, call, &l)
			f.run(kind, node, request, choice)
		})
	}
	f.clock.after(modelNetworkDelay, func() { w.startPrefill(job) })
}

func (f *modelFleet) run(kind trafficKind, node int, request *Request, choice Choice) {
	s, w := f.selectors[node], f.workers[choice.Run.ID]
	call := s.Sent(f.clock.now, request, CallRun, choice)
	f.counts[node][choice.Run.ID]++
	if f.dropCall(choice.Run.ID, node, call) {
		return
	}
	job := &modelJob{prompt: request.Prompt, output: request.OutputTokens}
	var reported Load
	job.first = func(l Load) {
		reported = l
		f.clock.after(modelNetworkDelay, func() {
			f.recordFirstEvent(kind, request)
			s.FirstEvent(f.clock.now, call)
		})
	}
	job.done = func(Load) {
		f.clock.after(modelNetworkDelay, func() {
			f.counts[node][choice.Run.ID]--
			s.Done(f.clock.now, call, &reported)
		})
	}
	f.clock.after(modelNetworkDelay, func() {
		if choice.Prefill != nil {
			w.startTransfer(f.workers[choice.Prefill.ID], choice.Prefill.Zone != choice.Run.Zone, job)
			return
		}
		w.startPrefill(job)
	})
}

// dropCall plays a call to an unresponsive worker, and reports whether the worker is one.
func (f *modelFleet) dropCall(id string, node int, call *Call) bool {
	if f.unresponsive == nil || !f.unresponsive(id) {
		return false
	}
	f.lostCalls++
	f.clock.after(modelCallTimeout, func() {
		f.counts[node][id]--
		f.selectors[node].Failed(f.clock.now, call, FailureTimeout)
	})
	return true
}

func (f *modelFleet) recordFirstEvent(k trafficKind, r *Request) {
	f.firsts = append(f.firsts, (f.clock.now - r.Arrived).Seconds())
	if f.clock.now <= r.Objective {
		f.onTime++
		f.onTimeByKind[k.name]++
	}
}

// fleetResults are the results of a simulation.
type fleetResults struct {
	Mean, P95, OnTime, Rejected, WithoutPrefill float64
	Read, Reread, Moved                         float64 // thousands of tokens
	Kinds                                       string
	Largest                                     float64 // servedShareOfLargest, lowest over the kinds
}

func (f *modelFleet) results() fleetResults {
	sort.Float64s(f.firsts)
	var total float64
	for _, x := range f.firsts {
		total += x
	}
	n := float64(len(f.firsts))
	out := fleetResults{Mean: total / n, P95: f.firsts[int(n*0.95)], OnTime: float64(f.onTime) / float64(f.sent),
		Rejected: float64(f.rejected) / float64(f.sent), WithoutPrefill: float64(f.withoutPrefill) / n}
	for _, c := range f.list {
		w := f.workers[c.ID]
		out.Read, out.Reread, out.Moved = out.Read+w.read/1000, out.Reread+w.reread/1000, out.Moved+w.moved/1000
	}
	out.Largest = 1
	for _, k := range trafficKinds {
		out.Largest = min(out.Largest, servedShareOfLargest(f.sizes[k.name]))
		out.Kinds += fmt.Sprintf("%s %.3f ", k.name, float64(f.onTimeByKind[k.name])/float64(max(1, f.sentByKind[k.name])))
	}
	return out
}

func simulateFleet(nodes, workers, zones int, scale float64, span time.Duration, seed uint64, p policy) fleetResults {
	f := newModelFleet(nodes, workers, zones, seed, p)
	for _, k := range trafficKinds {
		f.traffic(k, scale)
	}
	f.clock.run(span)
	return f.results()
}

func selectorPolicy(f *modelFleet, node int, r *Request) (Choice, bool) {
	c, v := f.selectors[node].Choose(f.clock.now, r, nil)
	return c, v.Admit
}

// workersOfStage lists the workers of a stage.
func (f *modelFleet) workersOfStage(stage string) []*fleetview.Worker {
	var out []*fleetview.Worker
	for _, w := range f.list {
		if w.Stage == stage {
			out = append(out, w)
		}
	}
	return out
}

func randomPolicy(f *modelFleet, node int, r *Request) (Choice, bool) {
	from, to := f.workersOfStage("prefill"), f.workersOfStage("decode")
	return Choice{Prefill: from[f.random.IntN(len(from))], Run: to[f.random.IntN(len(to))]}, true
}

func leastOutstandingPolicy(fleet *modelFleet, node int, request *Request) (Choice, bool) {
	pick := func(list []*fleetview.Worker) *fleetview.Worker {
		best, ties := list[0], 0
		for _, w := range list {
			switch a, b := fleet.counts[node][w.ID], fleet.counts[node][best.ID]; {
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
	return Choice{Prefill: pick(fleet.workersOfStage("prefill")), Run: pick(fleet.workersOfStage("decode"))}, true
}

// servedSize is a request's size and whether it was admitted.
type servedSize struct {
	tokens int
	served bool
}

// servedShareOfLargest returns the admitted share of the largest tenth, divided by that of all.
func servedShareOfLargest(all []servedSize) float64 {
	sort.Slice(all, func(i, k int) bool { return all[i].tokens > all[k].tokens })
	share := func(some []servedSize) float64 {
		n := 0.
		for _, one := range some {
			if one.served {
				n++
			}
		}
		return n / float64(len(some))
	}
	return share(all[:max(1, len(all)/10)]) / share(all)
}
