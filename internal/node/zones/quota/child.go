package quota

import (
	"fmt"
	"math"
	"time"
)

// Child is a site's part of one tenant's quota.
type Child struct {
	settings      Settings
	tenant        string
	name          string
	incarnation   uint64
	guaranteed    Amount
	leased        Amount
	leaseUntil    time.Duration // the lease's end, by this clock; 0: none
	requestNumber uint64        // of the last ask
	currentGrant  uint64        // of the grant gone by
	requestedAt   time.Duration
	requesting    bool
	used          float64
	tokens        float64 // slot-seconds that may be begun
	tokensAt      time.Duration
	peak          float64       // most slots used since the last ask
	slotTime      float64       // slots times the time that they may be held for, of all jobs that came since then
	work          float64       // slot-seconds of them
	sublet        Amount        // what the sites want that this one lends to
	since         time.Duration // and since when
}

// NewChild starts a site with its safe share alone and nothing saved up. incarnation has to
// be above that of its last start.
func NewChild(now time.Duration, settings Settings, tenant, name string, incarnation uint64, guaranteed Amount) (*Child, error) {
	if settings.Lease <= 0 || settings.ClockDrift < 0 || settings.ClockDrift >= 0.5 || !guaranteed.valid() || name == "" {
		return nil, fmt.Errorf("quota: site %q with a safe share of %v, a lease of %v, a margin of %v", name, guaranteed, settings.Lease, settings.ClockDrift)
	}
	return &Child{settings: settings, tenant: tenant, name: name, incarnation: incarnation, guaranteed: guaranteed, tokensAt: now, since: now}, nil
}

// Available is what the site may use now, for a job that holds its slots for at most so long. A
// job that may outlast the lease counts under the safe share.
func (c *Child) Available(now, hold time.Duration) Amount {
	if c.leaseUntil > 0 && now+hold <= c.leaseUntil {
		return c.leased
	}
	return c.guaranteed
}

// refill books the slot-seconds earned since the last look, at the rate that held.
func (c *Child) refill(now time.Duration) {
	if c.leaseUntil > 0 && c.tokensAt < c.leaseUntil {
		c.addTokens(min(now, c.leaseUntil), c.leased.Rate)
	}
	if now > c.tokensAt {
		c.addTokens(now, c.guaranteed.Rate)
	}
}

func (c *Child) addTokens(now time.Duration, rate float64) {
	c.tokens = min(c.tokens+rate*(now-c.tokensAt).Seconds(), max(c.tokens, rate*burstFraction*c.settings.Lease.Seconds()))
	c.tokensAt = now
}

// Admit lets a job in that takes so many slots, for at most hold, and so many slot-seconds.
// Where it is not let in it tells when to come back; nothing is ever held.
func (c *Child) Admit(now time.Duration, slots, work float64, hold time.Duration) (after time.Duration, ok bool) {
	c.refill(now)
	c.work += work
	c.slotTime += slots * hold.Seconds()
	c.peak = max(c.peak, c.used+slots)
	available := c.Available(now, hold)
	switch {
	case c.used+slots > available.Slots+epsilon:
		return c.untilNextRequest(now), false
	case c.tokens < 0 || c.tokens < work && c.tokens < available.Rate*burstFraction*c.settings.Lease.Seconds()-epsilon:
		// A job larger than all that may be saved up begins with the savings full, and is paid off.
		if available.Rate <= 0 {
			return c.untilNextRequest(now), false
		}
		lack := min(work, available.Rate*burstFraction*c.settings.Lease.Seconds()) - c.tokens
		return time.Duration(lack / available.Rate * float64(time.Second)), false
	}
	c.used += slots
	c.tokens -= work
	return 0, true
}

// Done gives a job's slots back, and settles what it has really taken.
func (c *Child) Done(now time.Duration, slots, work, took float64) {
	c.refill(now)
	c.used = max(0, c.used-slots)
	c.tokens += work - took
}

// SetSublet tells what a site that lends its slice further has out at most, and what the sites
// below it want.
func (c *Child) SetSublet(out, want Amount) { c.used, c.sublet = out.Slots, want }

// untilNextRequest is when the slice may grow at the earliest.
func (c *Child) untilNextRequest(now time.Duration) time.Duration {
	return max(c.requestedAt+c.requestInterval()-now, time.Millisecond)
}

func (c *Child) requestInterval() time.Duration { return c.settings.Lease / 4 }

// NextRequest makes the next ask when it is time: long before the lease is over, one at a time. An
// ask that has had no answer for that long is given up, and its answer is void.
func (c *Child) NextRequest(now time.Duration) (LeaseRequest, bool) {
	if c.requestNumber > 0 && now-c.requestedAt < c.requestInterval() {
		return LeaseRequest{}, false
	}
	c.requestNumber++
	c.requesting, c.requestedAt = true, now
	want := Amount{Slots: max(c.peak, c.used)}
	if span := (now - c.since).Seconds(); span > 0 {
		want = want.maximum(Amount{c.slotTime / span, c.work / span})
	}
	want = want.maximum(c.sublet)
	want.Slots, want.Rate = math.Ceil(headroom*want.Slots), headroom*want.Rate
	c.peak, c.slotTime, c.work, c.since = c.used, 0, 0, now
	return LeaseRequest{Tenant: c.tenant, Child: c.name, Incarnation: c.incarnation, Number: c.requestNumber, CurrentGrant: c.currentGrant, Used: c.used,
		Want: want.maximum(c.guaranteed)}, true
}

// ApplyGrant takes in a grant, if it answers the ask that is out.
func (c *Child) ApplyGrant(now time.Duration, grant Grant) bool {
	if grant.Tenant != c.tenant || grant.Child != c.name || grant.Incarnation != c.incarnation && c.settings.DisabledCheck != "incarnation" {
		return false
	}
	if (!c.requesting || grant.Number != c.requestNumber) && c.settings.DisabledCheck != "number" {
		return false
	}
	lease := time.Duration(float64(grant.Lease) * (1 - c.settings.ClockDrift))
	if c.settings.DisabledCheck == "margin" {
		lease = time.Duration(float64(grant.Lease) * (1 + c.settings.ClockDrift))
	}
	sent := c.requestedAt
	if c.settings.DisabledCheck == "sent" {
		sent = now
	}
	c.requesting = false
	if grant.Lease <= 0 || sent+lease <= now {
		return false
	}
	c.refill(now)
	c.leased, c.leaseUntil, c.currentGrant = grant.Amount, sent+lease, grant.Number
	return true
}

// Leased is what is lent, and until when; for who lends it further.
func (c *Child) Leased() (Amount, time.Duration) { return c.leased, c.leaseUntil }
