package nodesim

import (
	"math"
	"slices"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/timerqueue"
)

// attempt is one attempt to run an operation on a worker.
type attempt struct {
	operation     *operation
	number        int
	node          *node
	incarnation   int // incarnation of the node that sent it
	worker        *worker
	sentAt        time.Duration
	startedAt     time.Duration // 0: not started
	remainingWork float64       // seconds of work at speed 1
	done          bool
}

// worker models a prep worker with slots, cores, a FIFO queue and a cold start.
type worker struct {
	world               *world
	id                  balance.WorkerID
	kind                int
	speed               float64
	slots               float64
	cores               float64
	queueCapacity       int
	warmUpFloor         float64
	warmUpTime          time.Duration
	started             time.Duration // start time; 0: long ago, so already warm
	warmth              float64       // work done since the start, in slot-seconds
	state               balance.State
	slowdown            float64    // factor on running times
	unreachable         bool       // network partition: it receives and sends nothing
	unreachableAttempts []*attempt // attempts held while unreachable; reset on its return

	running         []*attempt
	queue           []*attempt
	usedSlots       float64
	accountedUntil  time.Duration // time up to which the progress of running attempts is counted
	nextAdvance     *timerqueue.Timer
	publishedReport []float32 // latest load report that nodes can read

	warmUpSends []warmUpSend // recent arrivals during warm-up, for the overload rule
	overloaded  bool
}

// warmUpSend is an attempt that arrived at a worker during its warm-up.
type warmUpSend struct {
	at         time.Duration
	cost       float64
	startKnown bool // the sending node had been notified of the worker's start
}

// capacityFraction returns the fraction of its full capacity that the worker has now.
func (k *worker) capacityFraction() float64 {
	age := k.world.now - k.started
	if k.started == 0 || age >= k.warmUpTime {
		return 1
	}
	p := max(float64(age)/float64(k.warmUpTime), k.warmth/(k.cores*k.warmUpTime.Seconds()*k.world.day.WarmUpWork))
	return k.warmUpFloor + (1-k.warmUpFloor)*min(1, p)
}

// rate returns the work that each running job completes per second.
func (k *worker) rate() float64 {
	return k.speed * k.capacityFraction() / k.slowdown * min(1, k.cores/max(k.usedSlots, 1))
}

// advance accounts for the work done since its last call, ends completed attempts, starts queued ones and schedules
// its next call.
func (k *worker) advance() {
	span := (k.world.now - k.accountedUntil).Seconds()
	rate := k.rate()
	k.accountedUntil = k.world.now
	var ended []*attempt
	for _, s := range k.running {
		s.remainingWork -= rate * span
		k.warmth += rate / k.speed * span * s.operation.slots
		if s.remainingWork <= 1e-9 {
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
	k.startQueued()
	k.scheduleAdvance()
}

// scheduleAdvance schedules advance for the next completion. While the worker warms up its rate changes, so the wait is
// at most 200 ms then.
func (k *worker) scheduleAdvance() {
	k.world.timers.Cancel(k.nextAdvance)
	k.nextAdvance = nil
	if len(k.running) == 0 {
		return
	}
	rate, least := k.rate(), math.Inf(1)
	for _, s := range k.running {
		least = min(least, s.remainingWork/rate)
	}
	wait := seconds(least) + time.Microsecond
	if k.capacityFraction() < 1 {
		wait = min(wait, 200*time.Millisecond)
	}
	k.nextAdvance = k.world.timers.Add(k.world.now+wait, k.advance)
}

// startQueued starts queued jobs in FIFO order. The first one blocks the others until it fits.
func (k *worker) startQueued() {
	for len(k.queue) > 0 && k.usedSlots+k.queue[0].operation.slots <= k.slots {
		s := k.queue[0]
		k.queue = k.queue[1:]
		k.usedSlots += s.operation.slots
		k.running = append(k.running, s)
		s.startedAt = k.world.now
		if !k.unreachable {
			k.world.deliver(s.node, s.incarnation, func() {
				s.node.handle(balance.AttemptProgress{Request: s.operation.id, Attempt: s.number, Worker: k.id, Started: true})
			})
		}
	}
}

func (k *worker) remove(s *attempt) {
	if i := slices.Index(k.running, s); i >= 0 {
		k.running = slices.Delete(k.running, i, i+1)
		k.usedSlots -= s.operation.slots
	}
	if i := slices.Index(k.queue, s); i >= 0 {
		k.queue = slices.Delete(k.queue, i, i+1)
	}
}

// answer ends an attempt and sends its outcome to the node.
func (k *worker) answer(s *attempt, outcome balance.Outcome) {
	if s.done {
		return
	}
	s.done = true
	report := slices.Clone(k.publishedReport)
	k.world.deliver(s.node, s.incarnation, func() { s.node.attemptEnded(s, outcome, report) })
}

// arrive handles the arrival of an attempt: it is queued, rejected or, while the worker is unreachable, held.
func (k *worker) arrive(attempt *attempt) {
	k.advance()
	switch {
	case attempt.done:
		return
	case k.unreachable:
		k.unreachableAttempts = append(k.unreachableAttempts, attempt)
	case k.state == balance.Gone:
		k.answer(attempt, balance.ConnectFailed)
	case k.state == balance.Draining || len(k.queue) >= k.queueCapacity || attempt.operation.slots > k.slots:
		k.answer(attempt, balance.Full)
	default:
		k.recordWarmUpLoad(attempt)
		k.queue = append(k.queue, attempt)
		k.startQueued()
		k.scheduleAdvance()
	}
}

// recordWarmUpLoad checks the load that all nodes together send to a warming worker against the overload rule. With N
// the number of operations of mean work that the rules allow within OverloadTime at its current capacity, the worker is
// overloaded if it gets more than N + 2*sqrt(N) + 2. The rule is violated if more than two thirds of that load came from
// nodes that had been notified of the worker's start.
func (k *worker) recordWarmUpLoad(attempt *attempt) {
	r := k.world.day.Settings.Rules
	warm := k.capacityFraction()
	if warm >= 1 || r.OverloadMultiple == 0 {
		return
	}
	k.warmUpSends = append(k.warmUpSends, warmUpSend{k.world.now, attempt.operation.work * attempt.operation.slots / k.speed, attempt.node.listedStart[k.id] == k.started})
	for len(k.warmUpSends) > 0 && k.warmUpSends[0].at < k.world.now-r.OverloadTime {
		k.warmUpSends = k.warmUpSends[1:]
	}
	sum, startKnown := 0.0, 0.0
	for _, c := range k.warmUpSends {
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

// cancel removes an attempt from the queue. An attempt that already runs continues.
func (k *worker) cancel(s *attempt) {
	if k.unreachable {
		return
	}
	k.advance()
	if s.startedAt == 0 {
		k.remove(s)
		k.advance()
	}
}

// kill ends the process and resets all running attempts.
func (k *worker) kill() {
	k.advance()
	for _, s := range slices.Clone(k.running) {
		k.remove(s)
		k.answer(s, balance.Reset)
	}
	k.scheduleAdvance()
}

// rejectQueued rejects all queued attempts.
func (k *worker) rejectQueued() {
	for _, s := range slices.Clone(k.queue) {
		k.remove(s)
		k.answer(s, balance.Full)
	}
	k.scheduleAdvance()
}

// publishReport publishes a load report and schedules the next one.
func (k *worker) publishReport() {
	k.advance()
	d := k.world.day
	noise := func(v float64) float32 { return float32(max(0, v+d.ReportNoise*k.world.rng.NormFloat64())) }
	values := make([]float32, len(d.Settings.ReportFields))
	for i, f := range d.Settings.ReportFields {
		switch f {
		case balance.FieldBacklog:
			values[i] = noise(float64(len(k.queue)))
		case balance.FieldFreeSlots:
			values[i] = noise(k.slots - k.usedSlots)
		}
	}
	k.world.after(d.ReportDelay.seconds(k.world.rng), func() { k.publishedReport = values })
	k.world.after(d.ReportEvery.seconds(k.world.rng), k.publishReport)
}

// restart restarts the worker, which begins its warm-up, and resets the attempts held while it was unreachable.
func (k *worker) restart() {
	k.state, k.started, k.warmth, k.unreachable, k.warmUpSends, k.publishedReport = balance.Ready, k.world.now, 0, false, nil, nil
	k.accountedUntil = k.world.now
	lost := k.unreachableAttempts
	k.unreachableAttempts = nil
	for _, s := range lost {
		k.answer(s, balance.Reset)
	}
}

// disconnect makes the worker unreachable. Its running and queued attempts make no progress and are reset by restart.
func (k *worker) disconnect() {
	k.advance()
	k.unreachableAttempts = append(append(k.unreachableAttempts, k.running...), k.queue...)
	k.running, k.queue, k.usedSlots, k.unreachable = nil, nil, 0, true
	k.scheduleAdvance()
}
