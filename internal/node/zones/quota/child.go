package quota

import (
	"fmt"
	"math"
	"time"
)

// Child admits one tenant's jobs at a site, from its guaranteed amount and its lease. It belongs to one goroutine.
type Child struct {
	settings      Settings
	tenant        string
	name          string
	incarnation   uint64
	guaranteed    Amount
	leased        Amount
	leaseUntil    time.Duration // end of the lease by this clock; 0: none
	requestNumber uint64        // of the last request
	currentGrant  uint64        // number of the grant in use
	requestedAt   time.Duration
	requesting    bool
	used          float64
	tokens        float64 // slot-seconds that may be started
	tokensAt      time.Duration
	peak          float64       // most slots used or wanted at once since the last request
	slotTime      float64       // slots times longest run time, of all jobs that came since then
	work          float64       // slot-seconds of them
	sublet        Amount        // what the sites below want, where this one leases further
	since         time.Duration // time of the last request
}

// NewChild returns a child with its guaranteed amount and no saved tokens. incarnation must be above that
// of the site's last start.
func NewChild(now time.Duration, settings Settings, tenant, name string, incarnation uint64, guaranteed Amount) (*Child, error) {
	if !settings.valid() || !guaranteed.valid() || name == "" {
		return nil, fmt.Errorf("quota: site %q with a guaranteed amount of %v, a lease of %v, a clock drift of %v",
			name, guaranteed, settings.Lease, settings.ClockDrift)
	}
	return &Child{settings: settings, tenant: tenant, name: name, incarnation: incarnation, guaranteed: guaranteed,
		tokensAt: now, since: now}, nil
}

// Available returns the amount that a job may be admitted from that occupies its slots for at most hold. A
// job that may outlast the lease is admitted from the guaranteed amount.
func (c *Child) Available(now, hold time.Duration) Amount {
	if c.leaseUntil > 0 && now+hold <= c.leaseUntil {
		return c.leased
	}
	return c.guaranteed
}

// refill adds the tokens earned since the last call, at the rates that were in effect.
func (c *Child) refill(now time.Duration) {
	if c.leaseUntil > 0 && c.tokensAt < c.leaseUntil {
		c.addTokens(min(now, c.leaseUntil), c.leased.Rate)
	}
	if now > c.tokensAt {
		c.addTokens(now, c.guaranteed.Rate)
	}
}

// addTokens adds the tokens earned up to now at a rate, up to the burst limit.
func (c *Child) addTokens(now time.Duration, rate float64) {
	c.tokens = min(c.tokens+rate*(now-c.tokensAt).Seconds(), max(c.tokens, rate*burstFraction*c.settings.Lease.Seconds()))
	c.tokensAt = now
}

// Admit admits a job that takes the given slots for at most hold, and work slot-seconds. A rejected job gets
// the time after which a retry may succeed; jobs are never queued.
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
		// A job larger than the burst limit starts with the tokens at the limit and overdraws them.
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

// Done releases a job's slots and corrects the tokens by the work that it took.
func (c *Child) Done(now time.Duration, slots, work, took float64) {
	c.refill(now)
	c.used = max(0, c.used-slots)
	c.tokens += work - took
}

// SetSublet records, for a site that leases further, its total exposure and the demand of the sites below.
func (c *Child) SetSublet(out, want Amount) { c.used, c.sublet = out.Slots, want }

// untilNextRequest returns the time until the lease may grow.
func (c *Child) untilNextRequest(now time.Duration) time.Duration {
	return max(c.requestedAt+c.requestInterval()-now, time.Millisecond)
}

// requestInterval leaves time for three further requests before a lease ends.
func (c *Child) requestInterval() time.Duration { return c.settings.Lease / 4 }

// NextRequest returns the next request once requestInterval has passed since the last. A request without a
// response by then is abandoned, and its grant is ignored.
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
	return LeaseRequest{Tenant: c.tenant, Child: c.name, Incarnation: c.incarnation, Number: c.requestNumber,
		CurrentGrant: c.currentGrant, Used: c.used, Want: want.maximum(c.guaranteed)}, true
}

// ApplyGrant applies a grant and reports whether it did: it must answer the last request and not have expired.
func (c *Child) ApplyGrant(now time.Duration, grant Grant) bool {
	earlier := grant.Incarnation != c.incarnation && c.settings.DisabledCheck != checkIncarnation
	if grant.Tenant != c.tenant || grant.Child != c.name || earlier {
		return false
	}
	if (!c.requesting || grant.Number != c.requestNumber) && c.settings.DisabledCheck != checkGrantNumber {
		return false
	}
	lease := time.Duration(float64(grant.Lease) * (1 - c.settings.ClockDrift))
	if c.settings.DisabledCheck == checkClockDrift {
		lease = time.Duration(float64(grant.Lease) * (1 + c.settings.ClockDrift))
	}
	sent := c.requestedAt
	if c.settings.DisabledCheck == checkLeaseStart {
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

// Leased returns the leased amount and the lease's end, for a site that leases further.
func (c *Child) Leased() (Amount, time.Duration) { return c.leased, c.leaseUntil }
