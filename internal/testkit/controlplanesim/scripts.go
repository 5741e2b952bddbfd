package controlplanesim

import (
	"context"
	"sync"
	"time"

	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// resendDelay is how soon after the first attempt the same order is sent to another server.
const resendDelay = 2 * time.Millisecond

func (w *world) playLoseReplies(_ context.Context, event schedule.Event) {
	var hosts []string
	for _, i := range event.Operators {
		hosts = append(hosts, w.operators[i].host)
	}
	end := w.loseReplies(hosts)
	time.Sleep(event.Duration)
	end()
}

// playRace has operators send at once on top of one version.
func (w *world) playRace(ctx context.Context, event schedule.Event) {
	if len(event.Operators) == 0 {
		return
	}
	first := w.operators[event.Operators[0]]
	base := w.newestBase(event.Operators)
	if base == 0 {
		return
	}
	shared := first.makeOrder(base)
	var racing sync.WaitGroup
	for _, i := range event.Operators {
		o := w.operators[i]
		racing.Go(func() { w.race(ctx, event.Variant, o, base, shared) })
	}
	racing.Wait()
}

func (w *world) race(ctx context.Context, variant schedule.Variant, sender *operator, base uint64, shared order) {
	switch variant {
	case schedule.RaceBodies:
		sender.send(ctx, replaceOrder(sender.newName(), base, shared.generation))
	case schedule.RaceSame:
		sender.send(ctx, shared)
	case schedule.RaceRepeat:
		w.sendTwice(ctx, sender, sender.makeOrder(base))
	case schedule.RaceOld:
		if old, found := sender.acceptedBefore(); found {
			sender.sendAtMost(ctx, old, maxOldAttempts)
		}
	case schedule.RaceAhead:
		w.sendAhead(ctx, sender, base)
	case schedule.RaceBase:
		if old, found := sender.acceptedBefore(); found && old.base > 1 {
			sender.sendAtMost(ctx, old.withBase(sender.newName(), old.base-1), maxOldAttempts)
		}
	}
}

// maxOldAttempts limits the attempts of an order that may be forgotten by now, for which there is no final answer then.
const maxOldAttempts = 4

// sendAhead sends an order and, while it is in flight, another one on top of it, twice.
func (w *world) sendAhead(ctx context.Context, o *operator, base uint64) {
	first := o.makeOrder(base)
	next := o.makeOrder(first.generation)
	var sending sync.WaitGroup
	sending.Go(func() { o.send(ctx, first) })
	sending.Go(func() { w.sendTwice(ctx, o, next) })
	sending.Wait()
}

// sendTwice sends an order to a second server while the first attempt is in flight.
func (w *world) sendTwice(ctx context.Context, o *operator, sent order) {
	var both sync.WaitGroup
	both.Go(func() { o.send(ctx, sent) })
	if simnet.Sleep(ctx, resendDelay) {
		both.Go(func() { o.send(ctx, sent) })
	}
	both.Wait()
}

// newestBase is the newest generation that any of the operators has seen.
func (w *world) newestBase(operators []int) uint64 {
	var base uint64
	for _, i := range operators {
		base = max(base, w.operators[i].base())
	}
	return base
}

// playBurst has operators send many changes, each on top of the one before.
func (w *world) playBurst(ctx context.Context, event schedule.Event) {
	var sending sync.WaitGroup
	for _, i := range event.Operators {
		o := w.operators[i]
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

// playBad has operators send what must be rejected.
func (w *world) playBad(ctx context.Context, event schedule.Event) {
	for _, i := range event.Operators {
		o := w.operators[i]
		if base := o.base(); base > 0 {
			o.send(ctx, invalidOrder(o.newName(), base, base+1, event.Variant))
		}
	}
}

// playWorkers has workers leave, crash or be late.
func (w *world) playWorkers(ctx context.Context, event schedule.Event) {
	var leaving sync.WaitGroup
	for _, i := range event.Workers {
		one := w.workers[i]
		leaving.Go(func() {
			if event.Variant == schedule.WorkerLate {
				one.delayHeartbeats(ctx, event.Duration)
				return
			}
			if departing := one.takeIncarnation(); departing != nil {
				departing.depart(ctx, event.Variant)
			}
			simnet.Sleep(ctx, event.Duration)
			one.start(ctx)
		})
	}
	leaving.Wait()
}

// delayHeartbeats delays a worker's heartbeats for a while.
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
