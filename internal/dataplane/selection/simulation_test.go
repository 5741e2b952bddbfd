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

// kind is a kind of request as the model plays it.
type kind struct {
	name         string
	rate         float64
	first, last  float64 // usual tokens of the shared parts and of the request's own
	things       int
	output       int
	priority     int
	objective    time.Duration
	deadline     time.Duration
	lastSpread   float64
	sharedOfRoot int
}

var usualKinds = []kind{
	{"long", 10.9, 6300, 2890, 144, 7, 1, 500 * time.Millisecond, 4 * time.Second, 1, 4},
	{"short", 13.3, 568, 1800, 78, 3, 0, 400 * time.Millisecond, 2500 * time.Millisecond, 1, 20},
	{"chat", 9.39, 172, 543, 124, 40, 2, 250 * time.Millisecond, 10 * time.Second, 0.8, 8},
}

// policy chooses in the model; ok is false for a refusal.
type policy func(f *modelFleet, node int, r *Request) (Choice, bool)

// modelFleet is some nodes and engine workers.
type modelFleet struct {
	clock     clock
	random    *rand.Rand
	workers   map[string]*modelWorker
	list      []*fleetview.Worker
	selectors []*Selector
	counts    []map[string]int // by node: own calls at a worker
	policy    policy

	dark             func(id string) bool // whether a worker answers nothing now; nil: none
	lost             int
	firsts           []float64
	sent, inTime     int
	refused, alone   int
	byKind, timeKind map[string]int
	sizes            map[string][]sized
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func newModelFleet(nodes, workers, zones int, seed uint64, p policy) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*modelWorker{}, policy: p,
		byKind: map[string]int{}, timeKind: map[string]int{}, sizes: map[string][]sized{}}
	speeds := []float64{1, 1, 1.3}
	for i := range workers {
		stage := "decode"
		if i%5 < 2 {
			stage = "prefill"
		}
		id := fmt.Sprintf("i-%03d", i)
		f.workers[id] = &modelWorker{clock: &f.clock, decode: stage == "decode", slow: speeds[i%3],
			keeps: kept{capacity: 342882}}
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

func (f *modelFleet) request(k kind) *Request {
	thing := f.random.IntN(k.things)
	root := thing % k.sharedOfRoot
	hash := func(x int) int { return int(mixed(uint64(x)+uint64(k.things)<<20) % 1000) }
	rootTokens := int(k.first * 0.4 * (0.6 + 0.0008*float64(hash(root))))
	thingTokens := int(k.first * 0.6 * (0.5 + 0.001*float64(hash(1000+thing))))
	own := f.spread(k.last, k.lastSpread)
	prompt := []Part{
		{mixed(uint64(k.things)<<32 + uint64(root)), rootTokens},
		{mixed(uint64(k.things)<<32 + 1<<20 + uint64(thing)), thingTokens},
		{f.random.Uint64(), own},
	}
	return &Request{Service: "m", Route: k.name, Model: "m", Priority: k.priority, Prompt: prompt,
		PromptTokens: rootTokens + thingTokens + own, OutputTokens: k.output, Streaming: true,
		Arrived: f.clock.now, Objective: f.clock.now + k.objective, Deadline: f.clock.now + k.deadline}
}

// traffic starts a kind's arrivals.
func (f *modelFleet) traffic(k kind, scale float64) {
	f.clock.after(f.random.ExpFloat64()/(k.rate*scale), func() {
		f.arrive(k, f.request(k))
		f.traffic(k, scale)
	})
}

func (f *modelFleet) arrive(k kind, r *Request) {
	node := f.random.IntN(len(f.selectors))
	c, ok := f.policy(f, node, r)
	f.sent++
	f.byKind[k.name]++
	f.sizes[k.name] = append(f.sizes[k.name], sized{r.PromptTokens, ok})
	if !ok {
		f.refused++
		return
	}
	if c.Prefill == nil {
		f.alone++
		f.run(k, node, r, c)
		return
	}
	f.prefill(k, node, r, c)
}

const (
	modelTrip    = 0.001 // seconds
	modelSilence = 0.8   // until a node gives up on a worker
)

func (f *modelFleet) prefill(k kind, node int, r *Request, c Choice) {
	s, w := f.selectors[node], f.workers[c.Prefill.ID]
	call := s.Sent(f.clock.now, r, CallPrefill, c)
	f.counts[node][c.Prefill.ID]++
	if f.silent(c.Prefill.ID, node, call) {
		return
	}
	job := &modelJob{prompt: r.Prompt}
	job.first = func(l Load) {
		f.clock.after(modelTrip, func() {
			f.counts[node][c.Prefill.ID]--
			s.Done(f.clock.now, call, &l)
			f.run(k, node, r, c)
		})
	}
	f.clock.after(modelTrip, func() { w.take(job) })
}

func (f *modelFleet) run(k kind, node int, r *Request, c Choice) {
	s, w := f.selectors[node], f.workers[c.Run.ID]
	call := s.Sent(f.clock.now, r, CallRun, c)
	f.counts[node][c.Run.ID]++
	if f.silent(c.Run.ID, node, call) {
		return
	}
	job := &modelJob{prompt: r.Prompt, output: r.OutputTokens}
	var told Load
	job.first = func(l Load) {
		told = l
		f.clock.after(modelTrip, func() {
			f.answered(k, r)
			s.FirstEvent(f.clock.now, call)
		})
	}
	job.done = func(Load) {
		f.clock.after(modelTrip, func() {
			f.counts[node][c.Run.ID]--
			s.Done(f.clock.now, call, &told)
		})
	}
	f.clock.after(modelTrip, func() {
		if c.Prefill != nil {
			w.fetch(f.workers[c.Prefill.ID], c.Prefill.Zone != c.Run.Zone, job)
			return
		}
		w.take(job)
	})
}

// silent plays a call to a worker that answers nothing, and tells whether it is one.
func (f *modelFleet) silent(id string, node int, call *Call) bool {
	if f.dark == nil || !f.dark(id) {
		return false
	}
	f.lost++
	f.clock.after(modelSilence, func() {
		f.counts[node][id]--
		f.selectors[node].Failed(f.clock.now, call, FailureSilence)
	})
	return true
}

func (f *modelFleet) answered(k kind, r *Request) {
	f.firsts = append(f.firsts, (f.clock.now - r.Arrived).Seconds())
	if f.clock.now <= r.Objective {
		f.inTime++
		f.timeKind[k.name]++
	}
}

// figures sums up a run.
type figures struct {
	Mean, P95, InTime, Refused, Alone float64
	Read, Reread, Moved               float64 // thousands of tokens
	Kinds                             string
	Largest                           float64 // served among the largest tenth of a kind against all of it, the least
}

func (f *modelFleet) figures() figures {
	sort.Float64s(f.firsts)
	var total float64
	for _, x := range f.firsts {
		total += x
	}
	n := float64(len(f.firsts))
	out := figures{Mean: total / n, P95: f.firsts[int(n*0.95)], InTime: float64(f.inTime) / float64(f.sent),
		Refused: float64(f.refused) / float64(f.sent), Alone: float64(f.alone) / n}
	for _, c := range f.list {
		w := f.workers[c.ID]
		out.Read, out.Reread, out.Moved = out.Read+w.read/1000, out.Reread+w.reread/1000, out.Moved+w.moved/1000
	}
	out.Largest = 1
	for _, k := range usualKinds {
		out.Largest = min(out.Largest, largest(f.sizes[k.name]))
		out.Kinds += fmt.Sprintf("%s %.3f ", k.name, float64(f.timeKind[k.name])/float64(max(1, f.byKind[k.name])))
	}
	return out
}

func playFleet(nodes, workers, zones int, scale float64, span time.Duration, seed uint64, p policy) figures {
	f := newModelFleet(nodes, workers, zones, seed, p)
	for _, k := range usualKinds {
		f.traffic(k, scale)
	}
	f.clock.run(span)
	return f.figures()
}

func byDesign(f *modelFleet, node int, r *Request) (Choice, bool) {
	c, v := f.selectors[node].Choose(f.clock.now, r, nil)
	return c, v.Send
}

// split lists the workers of a stage.
func (f *modelFleet) split(stage string) []*fleetview.Worker {
	var out []*fleetview.Worker
	for _, w := range f.list {
		if w.Stage == stage {
			out = append(out, w)
		}
	}
	return out
}

func atRandom(f *modelFleet, node int, r *Request) (Choice, bool) {
	from, to := f.split("prefill"), f.split("decode")
	return Choice{Prefill: from[f.random.IntN(len(from))], Run: to[f.random.IntN(len(to))]}, true
}

func byOutstanding(f *modelFleet, node int, r *Request) (Choice, bool) {
	pick := func(list []*fleetview.Worker) *fleetview.Worker {
		best, ties := list[0], 0
		for _, w := range list {
			switch a, b := f.counts[node][w.ID], f.counts[node][best.ID]; {
			case a < b:
				best, ties = w, 1
			case a == b:
				if ties++; f.random.IntN(ties) == 0 {
					best = w
				}
			}
		}
		return best
	}
	return Choice{Prefill: pick(f.split("prefill")), Run: pick(f.split("decode"))}, true
}

// sized is a request's size and whether it was sent.
type sized struct {
	tokens int
	served bool
}

// largest compares how often the largest tenth is served with how often all are.
func largest(all []sized) float64 {
	sort.Slice(all, func(i, k int) bool { return all[i].tokens > all[k].tokens })
	share := func(some []sized) float64 {
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
