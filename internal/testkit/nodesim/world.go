package nodesim

import (
	"math/rand/v2"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/timerqueue"
)

// dayStart is the simulated time at the start of a day. It is not 0, which means "long ago" in worker listings.
const dayStart = time.Hour

// operation is one try of a client's request; each retry by the client is another operation.
type operation struct {
	id       balance.RequestID
	first    *operation // the client's first try; the operation itself if it is that
	class    int
	slots    float64
	work     float64
	hint     time.Duration
	arrived  time.Duration
	deadline time.Duration
	value    float64
	retries  int
	attempts []*attempt
	servedBy *attempt // the attempt that served it
	ended    bool
}

// node is an instance of the real balancer with a model of the process around it.
type node struct {
	world       *world
	number      int
	weight      float64
	balancer    *balance.Balancer
	down        bool
	incarnation int
	operations  map[balance.RequestID]*operation
	connected   map[balance.WorkerID]bool          // workers with an open connection
	listedStart map[balance.WorkerID]time.Duration // start time of each worker as last reported to this node by the endpoint list
}

// world is the state of a simulation.
type world struct {
	day     Day
	rng     *rand.Rand
	traffic *rand.Rand // separate source, so that two versions of the balancer get the same operations
	timers  timerqueue.Queue
	now     time.Duration
	nodes   []*node
	workers []*worker
	byID    map[balance.WorkerID]*worker
	lastID  balance.RequestID
	result  Result
}

// Result holds the totals of a day.
type Result struct {
	Value, Served              float64 // value of all operations, and of those served within their latency target
	ClassValue, ClassServed    []float64
	WindowValue, WindowServed  []float64 // by second of arrival
	InTime, Late, Rejected     int
	Failed, Lost               int
	Handshakes, Probes         int
	Messages                   float64 // in units of messagePriceBytes
	Overloaded                 int     // warming workers overloaded mainly by nodes that had been notified of their start: violations of the rule
	OverloadedUnknown          int     // other overloaded warming workers
	MaxWarmUpLoad              float64 // highest load of a warming worker as a fraction of its limit, where notified nodes sent most of it
	RunLate, QueueLate         float64 // value of late operations by cause: running time, time in a worker's queue
	PendingLate, RejectedValue float64 // value of operations late because of the time before they were sent, and of rejected ones
	FailedValue                float64
}

// Simulate simulates a day.
func Simulate(day Day) (Result, error) {
	if err := day.check(); err != nil {
		return Result{}, err
	}
	w := newWorld(day)
	for range day.Workers {
		w.addWorker(0)
	}
	for i := range day.Nodes {
		n := &node{world: w, number: i, weight: lognormal(w.rng, day.TrafficSpread)}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return Result{}, err
		}
	}
	w.scheduleFaults()
	w.scheduleArrivals()
	longest := time.Duration(0)
	for _, c := range day.Settings.Classes {
		longest = max(longest, c.Timeout)
	}
	w.run(dayStart + seconds(day.Length+1) + longest)
	return w.result, nil
}

func newWorld(d Day) *world {
	n, span := len(d.Classes), int(d.Length)+1
	return &world{day: d, rng: rand.New(rand.NewPCG(d.Seed, 1)), traffic: rand.New(rand.NewPCG(d.Seed, 2)), now: dayStart,
		byID: map[balance.WorkerID]*worker{},
		result: Result{ClassValue: make([]float64, n), ClassServed: make([]float64, n),
			WindowValue: make([]float64, span), WindowServed: make([]float64, span)}}
}

// run advances the simulation to the given time.
func (w *world) run(until time.Duration) {
	for at, ok := w.timers.Next(); ok && at <= until; at, ok = w.timers.Next() {
		w.now = at
		w.timers.Run(at)
	}
	w.now = until
}

func (w *world) after(span time.Duration, f func()) { w.timers.Add(w.now+max(span, 0), f) }

// deliver calls f after the network delay, unless the node is down or no longer has the given incarnation.
func (w *world) deliver(n *node, incarnation int, f func()) {
	w.after(w.day.NetworkDelay.seconds(w.rng), func() {
		if !n.down && n.incarnation == incarnation {
			f()
		}
	})
}

func (w *world) addWorker(started time.Duration) *worker {
	d := w.day
	kind := drawIndex(w.rng, len(d.Kinds), func(i int) float64 { return d.Kinds[i].Share })
	c := d.Kinds[kind]
	k := &worker{world: w, id: balance.WorkerID(w.rng.Uint64() | 1), kind: kind, speed: c.Speed.draw(w.rng), cores: c.Cores,
		slots: float64(int(c.Cores * c.SlotsPerCore.draw(w.rng))), queueCapacity: int(c.Cores * c.QueuePerCore.draw(w.rng)),
		warmUpFloor: c.WarmUpFloor.draw(w.rng), warmUpTime: c.WarmUpTime.seconds(w.rng), started: started, slowdown: 1, accountedUntil: w.now}
	w.workers = append(w.workers, k)
	w.byID[k.id] = k
	w.after(seconds(d.ReportEvery.Min*w.rng.Float64()), k.publishReport)
	return k
}

// scheduleArrivals schedules the arrival of operations as a Poisson process, as from many independent clients.
func (w *world) scheduleArrivals() {
	d := w.day
	capacity, mean := 0.0, d.meanWork()
	for _, k := range w.workers {
		capacity += k.speed * min(k.cores, k.slots)
	}
	rate := d.Load * capacity / mean
	var next func()
	next = func() {
		if w.now > dayStart+seconds(d.Length) {
			return
		}
		w.addOperation()
		w.after(seconds(w.traffic.ExpFloat64()/rate), next)
	}
	w.after(seconds(w.traffic.ExpFloat64()/rate), next)
}

func (w *world) addOperation() {
	d := w.day
	class := drawIndex(w.traffic, len(d.Classes), func(i int) float64 { return d.Classes[i].Share })
	c, giveUp := d.Classes[class], d.Settings.Classes[class].Timeout
	slots := float64(int(1) << drawIndex(w.traffic, len(c.Slots), func(i int) float64 { return c.Slots[i] }))
	op := &operation{class: class, slots: slots, work: min(c.Work*lognormal(w.traffic, c.CV), d.MaxWork*giveUp.Seconds()),
		arrived: w.now, deadline: w.now + giveUp}
	op.first = op
	if d.HintNoise >= 0 {
		op.hint = seconds(op.work * lognormal(w.traffic, d.HintNoise))
	}
	op.value = d.Settings.Classes[class].Value
	if d.Settings.ValueByWork {
		op.value *= op.work * slots
	}
	w.result.Value += op.value
	w.result.ClassValue[class] += op.value
	w.result.WindowValue[int((w.now - dayStart).Seconds())] += op.value
	w.dispatch(op)
}

// dispatch submits an operation to a running node, drawn in proportion to the nodes' weights.
func (w *world) dispatch(op *operation) {
	sum := 0.0
	for _, n := range w.nodes {
		if !n.down {
			sum += n.weight
		}
	}
	at := w.rng.Float64() * sum
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		if at -= n.weight; at <= 0 {
			n.submit(op)
			return
		}
	}
	w.finish(op, lost, 0)
}

// finish ends an operation at its client, which may retry it if it was not served.
func (w *world) finish(op *operation, ended clientResult, wait time.Duration) {
	if op.ended {
		return
	}
	op.ended = true
	if ended != served && w.retry(op, wait) {
		return
	}
	result := &w.result
	switch ended {
	case rejected:
		result.Rejected++
		result.RejectedValue += op.value
	case failed:
		result.Failed++
		result.FailedValue += op.value
	case lost:
		result.Lost++
		result.FailedValue += op.value
	case served:
		w.countServed(op)
	}
}

// retry sends the operation again after a backoff if the client has retries and time left, and reports whether it does.
func (w *world) retry(op *operation, wait time.Duration) bool {
	first := op.first
	if first.retries >= w.day.Retries {
		return false
	}
	first.retries++
	pause := max(wait, w.day.Backoff.seconds(w.rng)<<first.retries)
	if pause >= first.deadline-w.now {
		return false
	}
	again := &operation{first: first, class: op.class, slots: op.slots, work: op.work, hint: op.hint, value: op.value,
		deadline: first.deadline}
	w.after(pause, func() { again.arrived = w.now; w.dispatch(again) })
	return true
}

// countServed counts a served operation as in time, or as late by its main cause.
func (w *world) countServed(op *operation) {
	result, first, class := &w.result, op.first, w.day.Settings.Classes[op.class]
	took := (w.now - first.arrived).Seconds()
	latencyTarget := class.LatencyTarget.Seconds() + class.TargetStretch*op.work
	if took <= latencyTarget {
		result.InTime++
		result.Served += op.value
		result.ClassServed[op.class] += op.value
		result.WindowServed[int((first.arrived - dayStart).Seconds())] += op.value
		return
	}
	result.Late++
	queued := (op.servedBy.startedAt - op.servedBy.sentAt).Seconds()
	switch pending := (op.servedBy.sentAt - first.arrived).Seconds(); {
	case took-pending <= latencyTarget && pending > queued:
		result.PendingLate += op.value
	case took-queued-pending <= latencyTarget:
		result.QueueLate += op.value
	default:
		result.RunLate += op.value
	}
}

// Requests returns the number of client requests, without retries.
func (r Result) Requests() float64 {
	return float64(r.InTime + r.Late + r.Rejected + r.Failed + r.Lost)
}

// Score returns the day's score: the weighted fractions of value served over the day, in its worst 10 s and for its worst
// class, less the prices of handshakes, probes and messages per request.
func (r Result) Score(day Day) float64 {
	if r.Value == 0 {
		return 0
	}
	worst := 1.0
	for c, all := range r.ClassValue {
		if all > 0 {
			worst = min(worst, r.ClassServed[c]/all)
		}
	}
	window := 1.0
	for i := 0; i+10 <= len(r.WindowValue)-1; i++ {
		all, got := 0.0, 0.0
		for j := i; j < i+10; j++ {
			all, got = all+r.WindowValue[j], got+r.WindowServed[j]
		}
		if all > 0 {
			window = min(window, got/all)
		}
	}
	c := day.Settings.Costs
	price := c.Handshake*day.HandshakePrice*float64(r.Handshakes) + c.Probe*float64(r.Probes) + c.Message*r.Messages
	return day.Goal.Day*r.Served/r.Value + day.Goal.WorstWindow*window + day.Goal.WorstClass*worst - price/r.Requests()
}

// scheduleFaults schedules the day's slow workers, replacements, losses and node kills.
func (w *world) scheduleFaults() {
	d := w.day
	at := func(s float64, f func()) { w.timers.Add(dayStart+seconds(s), f) }
	some := func(share float64) []*worker {
		all := slices.Clone(w.workers)
		w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:int(share*float64(len(all))+0.5)]
	}
	for _, k := range some(d.SlowShare) {
		k.slowdown = d.SlowFactor
	}
	if r := d.Release; r.Share > 0 {
		for i, k := range some(r.Share) {
			step := r.Within * float64(i*r.Steps/int(r.Share*float64(d.Workers)+1)) / float64(r.Steps)
			at(r.At+step, func() { w.replace(k, r.Drain.draw(w.rng)) })
		}
	}
	if l := d.WorkerLoss; l.Share > 0 {
		for _, k := range some(l.Share) {
			at(l.At, k.disconnect)
			at(l.At+l.For, func() { k.restart(); w.announce(k) })
		}
	}
	if x := d.NodeKill; x.Share > 0 {
		for i, n := range w.nodes {
			if float64(i) < x.Share*float64(len(w.nodes)) {
				at(x.At, n.kill)
				at(x.At+x.Down*(0.5+w.rng.Float64()), func() { _ = n.start() })
			}
		}
	}
}

// replace drains a worker and starts its successor.
func (w *world) replace(k *worker, drain float64) {
	k.advance()
	k.state = balance.Draining
	k.rejectQueued()
	w.announce(k)
	fresh := w.addWorker(w.now)
	w.announce(fresh)
	w.after(seconds(drain), func() {
		k.kill()
		k.state = balance.Gone
		w.announce(k)
	})
}

// announce reports a worker's state to all nodes with the delay of the endpoint list.
func (w *world) announce(k *worker) {
	l := k.listing()
	late := w.day.ListDelay.draw(w.rng)
	for _, n := range w.nodes {
		incarnation := n.incarnation
		w.after(seconds(late*(1+0.05*w.rng.Float64())), func() {
			if !n.down && n.incarnation == incarnation {
				n.listedStart[l.Worker] = l.Started
				n.handle(balance.ListUpdate{Kind: balance.ListChanges, Workers: []balance.WorkerListing{l}})
			}
		})
	}
}

func (k *worker) listing() balance.WorkerListing {
	return balance.WorkerListing{Worker: k.id, Kind: k.kind, State: k.state, Scale: k.cores, Started: k.started}
}
