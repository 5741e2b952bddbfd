package server

import (
	"context"
	"errors"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// errNoOwner: no owner of the shard was found before the context ended.
var errNoOwner = errors.New("keeper: no owner of the shard is known")

// avoidPauses is for how many pauses an owner that could not be reached is not tried again.
const avoidPauses = 3

// maxHints is how many times a call goes at once to the owner that another keeper has named. Keepers that name each other
// would pass it round until its context ends.
const maxHints = 3

// target is the keeper that a call goes to.
type target struct {
	self    bool
	address string
	known   bool // by the local replica: the call is broken off if that learns of another leader
}

// carry has the owner of the call's shard carry it out and returns the owner's answer. Where the
// owner is unknown, was changed or cannot be reached, it waits for another one and tries again
// until ctx ends; calls may therefore be carried out more than once.
func (k *Keeper) carry(ctx context.Context, c call) answer {
	hint, avoid, asked, hints := "", "", false, 0
	for attempt := 0; ; attempt++ {
		if hint != "" {
			hints++
		}
		if hints > maxHints {
			hint = ""
		}
		to, err := k.awaitOwner(ctx, c.Shard, hint, avoid, attempt)
		if err != nil {
			break
		}
		hint, avoid = "", ""
		reply, err := k.ask(ctx, to, c)
		if err == nil && !reply.NotOwner {
			return reply
		}
		if err != nil {
			asked = asked || !errors.Is(err, peertransport.ErrNotSent)
			avoid = to.address
		}
		hint = reply.Leader
	}
	if asked {
		return failed(OutcomeUnknown)
	}
	return failed(NoOwner)
}

// ask has one keeper carry out a call.
func (k *Keeper) ask(ctx context.Context, to target, c call) (answer, error) {
	if to.self {
		return k.execute(ctx, c), nil
	}
	body, err := encodeCall(c)
	if err != nil {
		return answer{}, err
	}
	if to.known {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(k.leaderContext(k.shards[c.Shard]), cancel)()
	}
	reply, err := k.network.Call(ctx, to.address, c.Kind, body)
	if err != nil {
		return answer{}, err
	}
	return decodeAnswer(reply)
}

// awaitOwner returns the owner of a shard: the one that another keeper has named, or the one that the
// local replica knows of, or, if that has lost its group, any other keeper. The address to avoid has just
// failed. After the first attempt it gives a change of owner a little time.
func (k *Keeper) awaitOwner(ctx context.Context, id shards.ID, hint, avoid string, attempt int) (target, error) {
	if hint != "" && hint != k.self.Address {
		return target{address: hint}, nil
	}
	began := k.outside.Now()
	for pauses := 0; ; pauses++ {
		changed := k.ownersChanged.wait()
		if pauses > avoidPauses {
			avoid = ""
		}
		if attempt == 0 || pauses > 0 {
			to, found := k.owner(id, avoid, attempt)
			// Keepers that may know the owner are asked at an interval: what changes meanwhile may be other shards' owners.
			if found && (attempt == 0 || to.self || to.known || k.outside.Now().Sub(began) >= ownerRetryPause) {
				return to, nil
			}
		}
		if !pause(ctx, changed, ownerRetryPause) {
			return target{}, errNoOwner
		}
	}
}

// owner returns the owner of a shard as far as the local replica knows.
func (k *Keeper) owner(id shards.ID, avoid string, attempt int) (target, bool) {
	status := k.shards[id].group.Status()
	if status.IsLeader() {
		return target{self: true}, true
	}
	if address := status.Leader.Address; address != "" {
		return target{address: address, known: true}, address != avoid && address != k.self.Address
	}
	if len(status.Members) > 0 && status.ConfirmedAge <= lostContactAge {
		return target{}, false
	}
	others := k.directory.others()
	if len(others) == 0 {
		return target{}, false
	}
	return target{address: others[attempt%len(others)]}, true
}

// pause waits for a change, at most for a time. It returns false once ctx has ended.
func pause(ctx context.Context, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
