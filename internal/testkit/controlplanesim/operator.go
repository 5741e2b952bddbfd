package controlplanesim

import (
	"context"
	"fmt"
	"math"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Behaviour of operators.
const (
	minPause            = 300 * time.Millisecond // between two orders
	maxPause            = 1500 * time.Millisecond
	minBackoff          = 100 * time.Millisecond // between two attempts; doubles with each attempt up to maxBackoff
	maxBackoff          = time.Second
	stepsPerRead        = 4 // on average, one of this many steps is a read
	maxGenerationStep   = 5 // by which an order raises the generation
	maxRejectedAttempts = 3 // attempt from which on any 4xx but 408 and 429 ends the call
)

// operator is a simulated operator that changes and reads the configuration as the protocol documents.
type operator struct {
	caller
	index int

	// Guarded by the caller's mutex.
	knownGeneration uint64 // newest generation that the operator has seen
	orderCount      int
	newest          order
	older           []order // sample of the orders accepted before the newest
}

// run sends orders one after the other until ctx ends. The first operator sends the first configuration.
func (o *operator) run(ctx context.Context) {
	if o.index == 0 {
		o.send(ctx, o.makeOrder(0))
		o.sendSmallChanges(ctx, o.simulation.schedule.Changes)
	}
	for simnet.Sleep(ctx, minPause+o.randomDuration(maxPause-minPause)) {
		if o.randomInt(stepsPerRead) == 0 || o.base() == 0 {
			o.read(ctx, o.pickServer())
			continue
		}
		o.send(ctx, o.makeOrder(o.base()))
	}
}

// sendSmallChanges sends that many updates, each based on the one before, without a pause.
func (o *operator) sendSmallChanges(ctx context.Context, count int) {
	for range count {
		if ctx.Err() != nil {
			return
		}
		base := o.base()
		o.send(ctx, updateOrder(o.newName(), base, base+1))
	}
}

// readForever reads from randomly chosen servers until ctx ends.
func (o *operator) readForever(ctx context.Context) {
	for simnet.Sleep(ctx, minPause+o.randomDuration(minPause+1)) {
		o.read(ctx, o.pickServer())
	}
}

func (o *operator) randomInt(below int) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.random.IntN(below)
}

func (o *operator) base() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.knownGeneration
}

// makeOrder returns a new order based on a generation: a complete configuration or an update. A large configuration is only updated.
func (o *operator) makeOrder(base uint64) order {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	generation := base + 1 + uint64(o.random.IntN(maxGenerationStep))
	large := o.simulation.schedule.Routes > 0 // replacements would soon make servers take a snapshot
	if base > 0 && (large || o.random.IntN(2) == 0) {
		return updateOrder(o.nextName(), base, generation)
	}
	return replaceOrder(o.nextName(), base, generation, o.simulation.filler)
}

func (o *operator) nextName() string {
	o.orderCount++
	return fmt.Sprintf("o%d-%d", o.index, o.orderCount)
}

func (o *operator) newName() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.nextName()
}

// send retries an unchanged order until the response is final.
func (o *operator) send(ctx context.Context, sent order) {
	o.sendTo(ctx, sent, o.pickServer())
}

// sendTo is like send, with a given server for the first attempt. It reports whether the order was accepted.
func (o *operator) sendTo(ctx context.Context, sent order, to *machine) bool {
	return o.sendLimited(ctx, sent, to, math.MaxInt)
}

// sendAtMost is like send, with a limited number of attempts.
func (o *operator) sendAtMost(ctx context.Context, sent order, attempts int) {
	o.sendLimited(ctx, sent, o.pickServer(), attempts)
}

// sendLimited retries an order until the response is final or the attempts are used up. It reports whether the order was
// accepted.
func (o *operator) sendLimited(ctx context.Context, sent order, to *machine, attempts int) bool {
	retry := minBackoff
	for attempt := 1; ctx.Err() == nil && attempt <= attempts; attempt++ {
		status := o.attempt(sent, to, attempt)
		if final, accepted := classify(status); final || attempt >= maxRejectedAttempts && isRejection(status) {
			o.recordOutcome(ctx, sent, accepted)
			return accepted
		}
		if !simnet.Sleep(ctx, retry/2+o.randomDuration(retry/2+1)) {
			return false
		}
		retry = min(2*retry, maxBackoff)
		to = o.pickServer()
	}
	return false
}

func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

// attempt sends an order once and records the operation.
func (o *operator) attempt(sent order, to *machine, attempt int) (status int) {
	record := o.simulation.recorder
	called := record.now()
	o.simulation.trigger(schedule.Sent)
	response := o.simulation.call(o.host, to, sent.request())
	outcome := history.Unknown
	switch final, accepted := classify(response.Status); {
	case accepted:
		outcome = history.Acknowledged
	case final, attempt >= maxRejectedAttempts && isRejection(response.Status):
		outcome = history.Rejected
	}
	record.addOperation(history.Operation{
		Client: o.index, Server: to.slot, Machine: to.ip, Call: called, Return: record.now(), Kind: sent.kind, Base: sent.base,
		Generation: sent.generation, Order: sent.name, Invalid: sent.invalid, Outcome: outcome, Status: response.Status,
	})
	if outcome == history.Acknowledged {
		o.simulation.trigger(schedule.Acknowledgement)
	}
	return response.Status
}

// recordOutcome processes the final response to an order. After a rejection the operator reads the configuration in force.
func (o *operator) recordOutcome(ctx context.Context, sent order, accepted bool) {
	if !accepted {
		if !sent.invalid {
			o.read(ctx, o.pickServer())
		}
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if sent.generation > o.knownGeneration {
		o.knownGeneration = sent.generation
		o.retainOlder(o.newest)
		o.newest = sent
	}
}

// read requests the current configuration once.
func (o *operator) read(_ context.Context, from *machine) {
	record := o.simulation.recorder
	called := record.now()
	response := o.simulation.call(o.host, from, server.APIRequest{Call: server.APIRead})
	done := history.Operation{
		Client: o.index, Server: from.slot, Machine: from.ip, Call: called, Return: record.now(), Kind: history.Read,
		Outcome: history.Unknown, Status: response.Status,
	}
	if _, accepted := classify(response.Status); accepted {
		generation, name, err := readDocument(response.Body)
		if err != nil {
			record.addFailure("the response to a read is not a configuration: " + err.Error())
			return
		}
		done.Generation, done.Order, done.Outcome = generation, name, history.Acknowledged
		o.mutex.Lock()
		o.knownGeneration = max(o.knownGeneration, generation)
		o.mutex.Unlock()
	}
	record.addOperation(done)
}

// maxOlderOrders is how many older accepted orders an operator keeps.
const maxOlderOrders = 40

// retainOlder keeps an accepted order, in place of a random one when maxOlderOrders are kept. The caller holds the mutex.
func (o *operator) retainOlder(one order) {
	switch {
	case one.name == "":
	case len(o.older) < maxOlderOrders:
		o.older = append(o.older, one)
	default:
		o.older[o.random.IntN(len(o.older))] = one
	}
}

// olderAcceptedOrder returns a random kept order of this operator that was accepted before the newest one.
func (o *operator) olderAcceptedOrder() (order, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.older) == 0 {
		return order{}, false
	}
	return o.older[o.random.IntN(len(o.older))], true
}
