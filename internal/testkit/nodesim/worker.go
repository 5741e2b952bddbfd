package nodesim

import (
	"math"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/timerqueue"
)

// attempt is one attempt at an operation, at a worker.
type attempt struct {
	operation   *operation
	number      int
	node        *node
	incarnation int // the node's, when it sent this
	worker      *worker
	sentAt      time.Duration
	began       time.Duration // 0: not yet
	remains     float64       // seconds of work at speed 1
	done        bool
}

// worker models a prep worker: slots, cores, a queue served in order, a cold start.
type worker struct {
	world         *world
	id            balance.WorkerID
	kind          int
	speed         float64
	slots         float64
	cores         float64
	queueCapacity int
	warmUpFloor   float64
	warmUpTime    time.Duration
	started       time.Duration // 0: long ago
	warmth        float64       // slot-seconds done since the start
	state         balance.State
	slow          float64    // factor
	silent        bool       // partitioned off: nothing in, nothing out
	lost          []*attempt // at it meanwhile: reset when it is back

	running []*attempt
	queue   []*attempt
	used    float64
	at      time.Duration // up to which running work is booked
	next    *timerqueue.Timer
	shown   []float32 // the report that can be read

	sent       []warmUpSend // while it warms up, for the rule on overload
	overloaded bool
}

type warmUpSend struct {
	at         time.Duration
	cost       float64
	startKnown bool // its node had been notified of the start
}

// capacityFraction returns the part of its capacity that the worker has now.
func (k *worker) capacityFraction() float64 {
	age := k.world.now - k.started
	if k.started == 0 || age >= k.warmUpTime {
		return 1
	}
	p := max(float64(age)/float64(k.warmUpTime), k.warmth/(k.cores*k.warmUpTime.Seconds()*k.world.day.WarmUpWork))
	return k.warmUpFloor + (1-k.warmUpFloor)*min(1, p)
}

// rate returns the work that each running job completes in a second.
func (k *worker) rate() float64 {
	return k.speed * k.capacityFraction() / k.slow * min(1, k.cores/max(k.used, 1))
}

// advance accounts for the work done since its last call, and schedules the next one.
func (k *worker) advance() {
	span := (k.world.now - k.at).Seconds()
	rate := k.rate()
	k.at = k.world.now
	var ended []*attempt
	for _, s := range k.running {
		s.remains -= rate * span
		k.warmth += rate / k.speed * span * s.operation.slots
		if s.remains <= 1e-9 {
			ended = append(ended, s)
		}
	}
	for _, s := range ended {
		k.remove(s)
		outcome := balance.Served
		if k.world.rng.Float64() < k.world.day.Kinds[k.kind].Errors {
			outcome = balance.Errored
		}
		k.answer(s, outcome)
	}
	k.begin()
	k.plan()
}

func (k *worker) plan() {
	k.world.timers.Cancel(k.next)
	k.next = nil
	if len(k.running) == 0 {
		return
	}
	rate, least := k.rate(), math.Inf(1)
	for _, s := range k.running {
		least = min(least, s.remains/rate)
	}
	wait := seconds(least) + time.Microsecond
	if k.capacityFraction() < 1 {
		wait = min(wait, 200*time.Millisecond)
	}
	k.next = k.world.timers.Add(k.world.now+wait, k.advance)
}

// begin starts waiting jobs in order: the head waits until it fits.
func (k *worker) begin() {
	for len(k.queue) > 0 && k.used+k.queue[0].operation.slots <= k.slots {
		s := k.queue[0]
		k.queue = k.queue[1:]
		k.used += s.operation.slots
		k.running = append(k.running, s)
		s.began = k.world.now
		if !k.silent {
			k.world.reach(s.node, s.incarnation, func() {
				s.node.handle(balance.AttemptProgress{Request: s.operation.id, Attempt: s.number, Worker: k.id, Started: true})
			})
		}
	}
}

func (k *worker) remove(s *attempt) {
	if i := slices.Index(k.running, s); i >= 0 {
		k.running = slices.Delete(k.running, i, i+1)
		k.used -= s.operation.slots
	}
	if i := slices.Index(k.queue, s); i >= 0 {
		k.queue = slices.Delete(k.queue, i, i+1)
	}
}

// answer ends an attempt and notifies its node.
func (k *worker) answer(s *attempt, outcome balance.Outcome) {
	if s.done {
		return
	}
	s.done = true
	report := slices.Clone(k.shown)
	k.world.reach(s.node, s.incarnation, func() { s.node.attemptEnded(s, outcome, report) })
}

// arrive receives an attempt.
func (k *worker) arrive(attempt *attempt) {
	k.advance()
	switch {
	case attempt.done:
		return
	case k.silent:
		k.lost = append(k.lost, attempt)
	case k.state == balance.Gone:
		k.answer(attempt, balance.ConnectFailed)
	case k.state == balance.Draining || len(k.queue) >= k.queueCapacity || attempt.operation.slots > k.slots:
		k.answer(attempt, balance.Full)
	default:
		k.recordWarmUpLoad(attempt)
		k.queue = append(k.queue, attempt)
		k.begin()
		k.plan()
	}
}

// recordWarmUpLoad checks what all nodes send to a worker that warms up against the rule on overload: it
// is overloaded when it gets more than N + 2 x root of N + 2 operations of mean work in the rules'
// time, N being what they allow it then, and the rule is broken where over two thirds of
// that came from nodes that had been notified of its start.
func (k *worker) recordWarmUpLoad(attempt *attempt) {
	r := k.world.day.Settings.Rules
	warm := k.capacityFraction()
	if warm >= 1 || r.OverloadMultiple == 0 {
		return
	}
	k.sent = append(k.sent, warmUpSend{k.world.now, attempt.operation.work * attempt.operation.slots / k.speed, attempt.node.listedStart[k.id] == k.started})
	for len(k.sent) > 0 && k.sent[0].at < k.world.now-r.OverloadTime {
		k.sent = k.sent[1:]
	}
	sum, startKnown := 0.0, 0.0
	for _, c := range k.sent {
		sum += c.cost
		if c.startKnown {
			startKnown += c.cost
		}
	}
	mean := k.world.day.meanWork() / k.speed
	allowed := r.OverloadMultiple * warm * k.cores * r.OverloadTime.Seconds() / mean
	most := mean * (allowed + 2*math.Sqrt(allowed) + 2)
	if startKnown*3 > sum*2 {
		k.world.result.MaxWarmUpLoad = max(k.world.result.MaxWarmUpLoad, sum/most)
	}
	if sum > most && !k.overloaded {
		k.overloaded = true
		if startKnown*3 > sum*2 {
			k.world.result.Overloaded++
		} else {
			k.world.result.OverloadedUnknown++
		}
	}
}

// cancel cancels an attempt: queued work is dropped, running work continues.
func (k *worker) cancel(s *attempt) {
	if k.silent {
		return
	}
	k.advance()
	if s.began == 0 {
		k.remove(s)
		k.advance()
	}
}

// kill ends the process and all attempts that it runs.
func (k *worker) kill() {
	k.advance()
	for _, s := range slices.Clone(k.running) {
		k.remove(s)
		k.answer(s, balance.Reset)
	}
	k.plan()
}

// handBack rejects what has not started.
func (k *worker) handBack() {
	for _, s := range slices.Clone(k.queue) {
		k.remove(s)
		k.answer(s, balance.Full)
	}
	k.plan()
}

// publish refreshes the load report periodically.
func (k *worker) publish() {
	k.advance()
	d := k.world.day
	noise := func(v float64) float32 { return float32(max(0, v+d.ReportNoise*k.world.rng.NormFloat64())) }
	values := make([]float32, len(d.Settings.ReportFields))
	for i, f := range d.Settings.ReportFields {
		switch f {
		case balance.FieldBacklog:
			values[i] = noise(float64(len(k.queue)))
		case balance.FieldFreeSlots:
			values[i] = noise(k.slots - k.used)
		}
	}
	k.world.after(d.ReportDelay.seconds(k.world.rng), func() { k.shown = values })
	k.world.after(d.ReportEvery.seconds(k.world.rng), k.publish)
}

// restart restarts the worker, which then warms up.
func (k *worker) restart() {
	k.state, k.started, k.warmth, k.silent, k.sent, k.shown = balance.Ready, k.world.now, 0, false, nil, nil
	k.at = k.world.now
	lost := k.lost
	k.lost = nil
	for _, s := range lost {
		k.answer(s, balance.Reset)
	}
}

// disconnect has the worker fall silent, and forget all that is there.
func (k *worker) disconnect() {
	k.advance()
	k.lost = append(append(k.lost, k.running...), k.queue...)
	k.running, k.queue, k.used, k.silent = nil, nil, 0, true
	k.plan()
}
