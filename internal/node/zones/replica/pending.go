package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"ospreybend/internal/node/zones/commands"
)

// pending is an order put through this voter that is not agreed on yet.
type pending struct {
	order commands.Order
	until time.Duration
	sent  time.Duration
	done  func(error)
}

// Say puts what a person has said. done is told once what became of it.
func (v *Voter) Say(now time.Duration, w commands.Word, done func(error)) {
	if err := w.Check(); err != nil {
		done(err)
		return
	}
	if w.Do == commands.DoLeave && !v.another(w.Zone) {
		done(fmt.Errorf("zone: %q is the last that takes work", w.Zone))
		return
	}
	v.put(now, commands.Order{Word: &w}, now+v.config.Rules.Patience, done)
}

// another tells whether a zone other than this one takes work.
func (v *Voter) another(than string) bool {
	zones := map[string]bool{}
	for name, from := range v.digest() {
		zones[name] = true
		for to := range from.Sights {
			zones[to] = true
		}
	}
	t := v.machine.Table()
	for name := range t.Zones {
		zones[name] = true
	}
	for name := range zones {
		if p := t.Of(name).Phase; name != than && (p == commands.In || p == commands.Eased || p == commands.Rising) {
			return true
		}
	}
	return false
}

// put has an order agreed on, by the leader wherever it is. It is sent again until it is
// applied or its time is over; the order's ID keeps it from counting twice.
func (v *Voter) put(now time.Duration, o commands.Order, until time.Duration, done func(error)) {
	v.number++
	o.ID = strconv.FormatUint(v.config.ID, 10) + "-" + v.config.Store + "-" + strconv.FormatUint(v.config.Runs, 10) + "-" +
		strconv.FormatUint(v.number, 10)
	v.waits[o.ID] = &pending{order: o, until: until, sent: now - time.Second, done: done}
	v.counts.Orders++
	v.push(now)
}

// push sends on what waits to be agreed on.
func (v *Voter) push(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(v.waits)) {
		p := v.waits[id]
		switch {
		case now >= p.until:
			delete(v.waits, id)
			p.done(ErrUnknown)
		case now-p.sent < 2*v.config.Rules.Digest:
		case v.log.Leads():
			if text, err := commands.Encode(p.order); err == nil && v.log.Propose(text) == nil {
				p.sent = now
			}
		case v.log.Leader() != 0:
			v.send(v.log.Leader(), Letter{Orders: []commands.Order{p.order}})
			p.sent = now
		}
	}
}

// applied hears of each order as it is applied.
func (v *Voter) applied(o commands.Order, err error) {
	if errors.Is(err, commands.ErrStale) {
		v.counts.Stale++
	}
	if p := v.waits[o.ID]; p != nil {
		delete(v.waits, o.ID)
		p.done(err)
	}
}
