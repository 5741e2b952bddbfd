package quota

import (
	"fmt"
	"math"
	"time"
)

// Child is a site's part of one tenant's quota.
type Child struct {
	rules       Rules
	tenant      string
	name        string
	incarnation uint64
	safe        Amount
	slice       Amount
	until       time.Duration // the lease's end, by this clock; 0: none
	number      uint64        // of the last ask
	holds       uint64        // of the grant gone by
	askedAt     time.Duration
	asking      bool
	used        float64
	tokens      float64 // slot-seconds that may be begun
	tokensAt    time.Duration
	peak        float64       // most slots used since the last ask
	load        float64       // slots times the time that they may be held for, of all jobs that came since then
	work        float64       // slot-seconds of them
	below       Amount        // what the sites want that this one lends to
	since       time.Duration // and since when
}

// NewChild starts a site with its safe share alone and nothing saved up. incarnation has to
// be above that of its last start.
func NewChild(now time.Duration, rules Rules, tenant, name string, incarnation uint64, safe Amount) (*Child, error) {
	if rules.Lease <= 0 || rules.Margin < 0 || rules.Margin >= 0.5 || !safe.good() || name == "" {
		return nil, fmt.Errorf("quota: site %q with a safe share of %v, a lease of %v, a margin of %v", name, safe, rules.Lease, rules.Margin)
	}
	return &Child{rules: rules, tenant: tenant, name: name, incarnation: incarnation, safe: safe, tokensAt: now, since: now}, nil
}

// Has is what the site may use now, for a job that holds its slots for at most so long. A
// job that may outlast the lease counts under the safe share.
func (c *Child) Has(now, hold time.Duration) Amount {
	if c.until > 0 && now+hold <= c.until {
		return c.slice
	}
	return c.safe
}

// earn books the slot-seconds earned since the last look, at the rate that held.
func (c *Child) earn(now time.Duration) {
	if c.until > 0 && c.tokensAt < c.until {
		c.add(min(now, c.until), c.slice.Rate)
	}
	if now > c.tokensAt {
		c.add(now, c.safe.Rate)
	}
}

func (c *Child) add(now time.Duration, rate float64) {
	c.tokens = min(c.tokens+rate*(now-c.tokensAt).Seconds(), max(c.tokens, rate*burst*c.rules.Lease.Seconds()))
	c.tokensAt = now
}

// Admit lets a job in that takes so many slots, for at most hold, and so many slot-seconds.
// Where it is not let in it tells when to come back; nothing is ever held.
func (c *Child) Admit(now time.Duration, slots, work float64, hold time.Duration) (after time.Duration, ok bool) {
	c.earn(now)
	c.work += work
	c.load += slots * hold.Seconds()
	c.peak = max(c.peak, c.used+slots)
	has := c.Has(now, hold)
	switch {
	case c.used+slots > has.Slots+tiny:
		return c.nextAsk(now), false
	case c.tokens < 0 || c.tokens < work && c.tokens < has.Rate*burst*c.rules.Lease.Seconds()-tiny:
		// A job larger than all that may be saved up begins with the savings full, and is paid off.
		if has.Rate <= 0 {
			return c.nextAsk(now), false
		}
		lack := min(work, has.Rate*burst*c.rules.Lease.Seconds()) - c.tokens
		return time.Duration(lack / has.Rate * float64(time.Second)), false
	}
	c.used += slots
	c.tokens -= work
	return 0, true
}

// Done gives a job's slots back, and settles what it has really taken.
func (c *Child) Done(now time.Duration, slots, work, took float64) {
	c.earn(now)
	c.used = max(0, c.used-slots)
	c.tokens += work - took
}

// Lends tells what a site that lends its slice further has out at most, and what the sites
// below it want.
func (c *Child) Lends(out, want Amount) { c.used, c.below = out.Slots, want }

// nextAsk is when the slice may grow at the earliest.
func (c *Child) nextAsk(now time.Duration) time.Duration {
	return max(c.askedAt+c.every()-now, time.Millisecond)
}

func (c *Child) every() time.Duration { return c.rules.Lease / 4 }

// Ask makes the next ask when it is time: long before the lease is over, one at a time. An
// ask that has had no answer for that long is given up, and its answer is void.
func (c *Child) Ask(now time.Duration) (Ask, bool) {
	if c.number > 0 && now-c.askedAt < c.every() {
		return Ask{}, false
	}
	c.number++
	c.asking, c.askedAt = true, now
	want := Amount{Slots: max(c.peak, c.used)}
	if span := (now - c.since).Seconds(); span > 0 {
		want = want.most(Amount{c.load / span, c.work / span})
	}
	want = want.most(c.below)
	want.Slots, want.Rate = math.Ceil(spare*want.Slots), spare*want.Rate
	c.peak, c.load, c.work, c.since = c.used, 0, 0, now
	return Ask{Tenant: c.tenant, Child: c.name, Incarnation: c.incarnation, Number: c.number, Holds: c.holds, Used: c.used,
		Want: want.most(c.safe)}, true
}

// Took takes in a grant, if it answers the ask that is out.
func (c *Child) Took(now time.Duration, g Grant) bool {
	if g.Tenant != c.tenant || g.Child != c.name || g.Incarnation != c.incarnation && c.rules.Without != "incarnation" {
		return false
	}
	if (!c.asking || g.Number != c.number) && c.rules.Without != "number" {
		return false
	}
	lease := time.Duration(float64(g.Lease) * (1 - c.rules.Margin))
	if c.rules.Without == "margin" {
		lease = time.Duration(float64(g.Lease) * (1 + c.rules.Margin))
	}
	sent := c.askedAt
	if c.rules.Without == "sent" {
		sent = now
	}
	c.asking = false
	if g.Lease <= 0 || sent+lease <= now {
		return false
	}
	c.earn(now)
	c.slice, c.until, c.holds = g.Slice, sent+lease, g.Number
	return true
}

// Slice is what is lent, and until when; for who lends it further.
func (c *Child) Slice() (Amount, time.Duration) { return c.slice, c.until }
