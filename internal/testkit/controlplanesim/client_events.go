package controlplanesim

import (
	"context"
	"sync"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// resendDelay is the time after which sendTwice sends the same order to another server.
const resendDelay = 2 * time.Millisecond

func (sim *simulation) playLoseReplies(_ context.Context, event schedule.Event) {
	var hosts []string
	for _, i := range event.Operators {
		hosts = append(hosts, sim.operators[i].host)
	}
	end := sim.dropReplies(hosts)
	time.Sleep(event.Duration)
	end()
}

// playRace makes operators send orders concurrently, based on the same generation.
func (sim *simulation) playRace(ctx context.Context, event schedule.Event) {
	if len(event.Operators) == 0 {
		return
	}
	first := sim.operators[event.Operators[0]]
	base := sim.newestBase(event.Operators)
	if base == 0 {
		return
	}
	shared := first.makeOrder(base)
	var racing sync.WaitGroup
	for _, i := range event.Operators {
		o := sim.operators[i]
		racing.Go(func() { sim.race(ctx, event.Variant, o, base, shared) })
	}
	racing.Wait()
}

func (sim *simulation) race(ctx context.Context, variant schedule.Variant, sender *operator, base uint64, shared order) {
	switch variant {
	case schedule.RaceBodies:
		sender.send(ctx, replaceOrder(sender.newName(), base, shared.generation, sim.filler))
	case schedule.RaceSame:
		sender.send(ctx, shared)
	case schedule.RaceRepeat:
		sim.sendTwice(ctx, sender, sender.makeOrder(base))
	case schedule.RaceOld:
		if old, found := sender.olderAcceptedOrder(); found {
			sender.sendAtMost(ctx, old, maxOldOrderAttempts)
		}
	case schedule.RaceAhead:
		sim.sendAhead(ctx, sender, base)
	case schedule.RaceBase:
		if old, found := sender.olderAcceptedOrder(); found && old.base > 1 {
			sender.sendAtMost(ctx, old.withBase(sender.newName(), old.base-1), maxOldOrderAttempts)
		}
	}
}

// maxOldOrderAttempts limits the attempts of an old order: the servers may have forgotten it and then give no final response.
const maxOldOrderAttempts = 4

// sendAhead sends an order and, while it is in flight, sends another one based on it, twice.
func (sim *simulation) sendAhead(ctx context.Context, o *operator, base uint64) {
	first := o.makeOrder(base)
	next := o.makeOrder(first.generation)
	var sending sync.WaitGroup
	sending.Go(func() { o.send(ctx, first) })
	sending.Go(func() { sim.sendTwice(ctx, o, next) })
	sending.Wait()
}

// sendTwice sends an order to a second server while the first attempt is in flight.
func (sim *simulation) sendTwice(ctx context.Context, o *operator, sent order) {
	var both sync.WaitGroup
	both.Go(func() { o.send(ctx, sent) })
	if simnet.Sleep(ctx, resendDelay) {
		both.Go(func() { o.send(ctx, sent) })
	}
	both.Wait()
}

// newestBase returns the newest generation that any of the operators has seen.
func (sim *simulation) newestBase(operators []int) uint64 {
	var base uint64
	for _, i := range operators {
		base = max(base, sim.operators[i].base())
	}
	return base
}

// playBurst makes operators send many changes without a pause, each based on the previous one.
func (sim *simulation) playBurst(ctx context.Context, event schedule.Event) {
	var sending sync.WaitGroup
	for _, i := range event.Operators {
		o := sim.operators[i]
		sending.Go(func() {
			for range event.Count {
				if base := o.base(); base > 0 && ctx.Err() == nil {
					o.send(ctx, o.makeOrder(base))
				}
			}
		})
	}
	sending.Wait()
}

// playBad makes operators send invalid configurations, which must be rejected.
func (sim *simulation) playBad(ctx context.Context, event schedule.Event) {
	for _, i := range event.Operators {
		o := sim.operators[i]
		if base := o.base(); base > 0 {
			o.send(ctx, invalidOrder(o.newName(), base, base+1, event.Variant))
		}
	}
}

// playWorkers makes workers leave, crash or send their heartbeats late.
func (sim *simulation) playWorkers(ctx context.Context, event schedule.Event) {
	var leaving sync.WaitGroup
	for _, i := range event.Workers {
		one := sim.workers[i]
		leaving.Go(func() {
			if event.Variant == schedule.WorkerLate {
				one.delayHeartbeats(ctx, event.Duration)
				return
			}
			if departing := one.detachIncarnation(); departing != nil {
				departing.depart(ctx, event.Variant)
			}
			simnet.Sleep(ctx, event.Duration)
			one.start(ctx)
		})
	}
	leaving.Wait()
}

// delayHeartbeats delays a worker's heartbeats by about the given time, for the same time.
func (w *worker) delayHeartbeats(ctx context.Context, delay time.Duration) {
	w.mutex.Lock()
	running := w.incarnation
	w.mutex.Unlock()
	if running == nil {
		return
	}
	running.setDelay(delay)
	simnet.Sleep(ctx, delay)
	running.setDelay(0)
}

func (i *incarnation) setDelay(delay time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.delay = delay
}
