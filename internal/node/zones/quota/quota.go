// Package quota delegates a tenant's quota down a tree of sites. A parent lends its
// children slices as leases; a child admits from its slice alone, without a message, and
// may lend parts of it further. It has no clock and no I/O: who holds a Ledger or a Child
// tells it the time, monotonic, and carries the asks and grants, which may be late, lost,
// doubled or out of order.
//
// Slots at once are never over the quota, by all sites together. docs/design/fleet-as-one.md
// says why.
package quota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Amount is a quota or a part of one.
type Amount struct {
	Slots float64 `cbor:"1,keyasint"` // at once
	Rate  float64 `cbor:"2,keyasint"` // slot-seconds a second
}

func (a Amount) add(b Amount) Amount      { return Amount{a.Slots + b.Slots, a.Rate + b.Rate} }
func (a Amount) subtract(b Amount) Amount { return Amount{a.Slots - b.Slots, a.Rate - b.Rate} }
func (a Amount) maximum(b Amount) Amount  { return Amount{max(a.Slots, b.Slots), max(a.Rate, b.Rate)} }
func (a Amount) minimum(b Amount) Amount  { return Amount{min(a.Slots, b.Slots), min(a.Rate, b.Rate)} }
func (a Amount) within(b Amount) bool     { return a.Slots <= b.Slots+epsilon && a.Rate <= b.Rate+epsilon }
func (a Amount) valid() bool {
	return a.Slots >= 0 && a.Rate >= 0 && !math.IsInf(a.Slots+a.Rate, 0)
}

const (
	epsilon       = 1e-9
	burstFraction = 0.25 // of what a lease's time earns may be saved up: half of what the bound on windows allows
	headroom      = 1.25 // a child asks for so much more than it has used
)

// Settings are the figures that all sites go by. A lease has to be longer than twice the
// longest time for which a job may hold its slots: what it has admitted has ended with it.
type Settings struct {
	Lease         time.Duration
	ClockDrift    float64 // part by which clocks may run apart: the child's lease is shorter by it, the parent's longer
	DisabledCheck string  // a check left out, for the tests that show what it is for
}

// LeaseRequest is a child's.
type LeaseRequest struct {
	Tenant       string  `cbor:"1,keyasint"`
	Child        string  `cbor:"2,keyasint"`
	Incarnation  uint64  `cbor:"3,keyasint"` // raised by each start of the child
	Number       uint64  `cbor:"4,keyasint"` // of the ask, from 1
	CurrentGrant uint64  `cbor:"5,keyasint"` // the number of the grant that the child goes by; 0: none
	Used         float64 `cbor:"Used"`
	Want         Amount  `cbor:"6,keyasint"`
}

// Grant answers one ask. It is void for any other.
type Grant struct {
	Tenant      string        `cbor:"1,keyasint"`
	Child       string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"`
	Number      uint64        `cbor:"4,keyasint"`
	Amount      Amount        `cbor:"5,keyasint"`
	Lease       time.Duration `cbor:"6,keyasint"` // from the ask's sending on
}

// ChildConfig is what a parent is told of a child.
type ChildConfig struct {
	Guaranteed Amount  `cbor:"Safe"` // what the child may use without a lease, set aside for ever
	Weight     float64 `cbor:"Weight"`
}

// outstandingLease is a slice that a child may be going by.
type outstandingLease struct {
	Incarnation uint64        `cbor:"Incarnation"`
	Number      uint64        `cbor:"Number"`
	Amount      Amount        `cbor:"Slice"`
	ExpiresAt   time.Duration `cbor:"Until"`
}

// childAccount is what a parent knows of a child.
type childAccount struct {
	ChildConfig
	Incarnation uint64             `cbor:"Incarnation"`
	Number      uint64             `cbor:"Number"` // the last ask answered
	Leases      []outstandingLease `cbor:"Lent"`
	Want        Amount             `cbor:"Want"`
	wantedAt    time.Duration
}

// Parent is a parent's, for one tenant.
type Parent struct {
	settings   Settings
	tenant     string
	quota      Amount
	leaseUntil time.Duration // the end of what the parent itself holds; 0: it is the root
	children   map[string]*childAccount
}

// NewParent makes one with nothing lent.
func NewParent(settings Settings, tenant string, quota Amount, sites map[string]ChildConfig) (*Parent, error) {
	parent := &Parent{settings: settings, tenant: tenant, quota: quota, children: map[string]*childAccount{}}
	if settings.Lease <= 0 || settings.ClockDrift < 0 || settings.ClockDrift >= 0.5 {
		return nil, fmt.Errorf("quota: a lease of %v with a margin of %v", settings.Lease, settings.ClockDrift)
	}
	if !quota.valid() {
		return nil, fmt.Errorf("quota of %s: %v", tenant, quota)
	}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		child := sites[name]
		if !child.Guaranteed.valid() || !(child.Weight > 0) || math.IsInf(child.Weight, 0) {
			return nil, fmt.Errorf("site %s: a safe share of %v, a weight of %v", name, child.Guaranteed, child.Weight)
		}
		parent.children[name] = &childAccount{ChildConfig: child}
	}
	if guaranteed := parent.guaranteedTotal(); !guaranteed.within(quota) {
		return nil, fmt.Errorf("quota of %s: the safe shares of its sites are %v in all, the quota is %v", tenant, guaranteed, quota)
	}
	return parent, nil
}

// guaranteedTotal is all safe shares together.
func (p *Parent) guaranteedTotal() (sum Amount) {
	for _, c := range p.children {
		sum = sum.add(c.Guaranteed)
	}
	return sum
}

// SetQuota changes what there is to lend, and until when the parent itself holds it; 0: for
// ever. What is lent beyond it comes back within a lease.
func (p *Parent) SetQuota(quota Amount, until time.Duration) { p.quota, p.leaseUntil = quota, until }

// exposure is the most that a child may be using: its safe share, or any slice that it may
// still go by. One that it has never confirmed counts like one that it has.
func (p *Parent) exposure(now time.Duration, child *childAccount) Amount {
	sum := child.Guaranteed
	child.Leases = slices.DeleteFunc(child.Leases, func(e outstandingLease) bool { return e.ExpiresAt <= now })
	for i, e := range child.Leases {
		if p.settings.DisabledCheck == "confirm" && i < len(child.Leases)-1 {
			continue
		}
		sum = sum.maximum(e.Amount)
	}
	if p.settings.DisabledCheck == "reserve" && len(child.Leases) == 0 {
		return Amount{}
	}
	return sum
}

// TotalExposure is the most that all children together may be using.
func (p *Parent) TotalExposure(now time.Duration) (sum Amount) {
	for _, c := range p.children {
		sum = sum.add(p.exposure(now, c))
	}
	return sum
}

// Demand is what all children want, of those heard of within a lease's time.
func (p *Parent) Demand(now time.Duration) (sum Amount) {
	for _, c := range p.children {
		want := c.Guaranteed
		if c.Number > 0 && now-c.wantedAt <= p.settings.Lease {
			want = want.maximum(c.Want)
		}
		sum = sum.add(want)
	}
	return sum
}

var errUnknownChild = errors.New("quota: no such site of this tenant")

// Grant answers a child. An ask that a later one has overtaken, or of an earlier start of the
// child, gets none.
func (p *Parent) Grant(now time.Duration, request LeaseRequest) (Grant, error) {
	c := p.children[request.Child]
	if c == nil || request.Tenant != p.tenant {
		return Grant{}, errUnknownChild
	}
	if !request.Want.valid() || !(request.Used >= 0) {
		return Grant{}, fmt.Errorf("quota: site %s wants %v and uses %v", request.Child, request.Want, request.Used)
	}
	if p.settings.DisabledCheck != "incarnation" && request.Incarnation < c.Incarnation {
		return Grant{}, fmt.Errorf("quota: site %s has been started anew since", request.Child)
	}
	if request.Incarnation > c.Incarnation {
		c.Incarnation, c.Number = request.Incarnation, 0
	}
	if request.Number <= c.Number && p.settings.DisabledCheck != "order" {
		return Grant{}, fmt.Errorf("quota: site %s has asked again since", request.Child)
	}
	c.Number, c.Want, c.wantedAt = request.Number, request.Want, now
	p.releaseConfirmed(c, request)
	others := p.TotalExposure(now).subtract(p.exposure(now, c))
	available := p.quota.subtract(others)
	amount := p.fairShare(now, request.Child).minimum(available).maximum(c.Guaranteed)
	lease := p.settings.Lease
	if p.leaseUntil > 0 {
		lease = min(lease, time.Duration(float64(p.leaseUntil-now)/(1+p.settings.ClockDrift)))
	}
	if lease <= 0 || !amount.within(available) {
		amount, lease = c.Guaranteed, 0 // nothing but what it has without a lease
	}
	if lease > 0 {
		expiresIn := time.Duration(float64(lease) * (1 + p.settings.ClockDrift))
		if p.settings.DisabledCheck == "margin" {
			expiresIn = time.Duration(float64(lease) * (1 - p.settings.ClockDrift))
		}
		c.Leases = append(c.Leases, outstandingLease{request.Incarnation, request.Number, amount, now + expiresIn})
	}
	return Grant{Tenant: request.Tenant, Child: request.Child, Incarnation: request.Incarnation, Number: request.Number, Amount: amount, Lease: lease}, nil
}

// releaseConfirmed drops what the child's ask shows that it does not go by any more. It takes none
// but the grant for its last ask, so that all others of this start are void once it asks
// anew; of a slice that it has given up it may still use as much as it says.
func (p *Parent) releaseConfirmed(child *childAccount, request LeaseRequest) {
	slotsInUse := child.Guaranteed.Slots
	for _, e := range child.Leases {
		if e.Incarnation == request.Incarnation && e.Number == request.CurrentGrant {
			slotsInUse = e.Amount.Slots
		}
	}
	child.Leases = slices.DeleteFunc(child.Leases, func(e outstandingLease) bool {
		switch {
		case e.Incarnation != request.Incarnation:
			return false // what an earlier start admitted may still run
		case e.Number == request.CurrentGrant:
			return false
		case e.Number > request.CurrentGrant:
			return true // never taken, and void now
		}
		return request.Used <= slotsInUse+epsilon
	})
	for i := range child.Leases {
		if e := &child.Leases[i]; e.Incarnation == request.Incarnation && e.Number < request.CurrentGrant {
			e.Amount = Amount{Slots: min(e.Amount.Slots, request.Used)}
		}
	}
}

// fairShare is a child's part by weighted max-min over what all want. Who has not asked for a
// lease's time wants its safe share.
func (p *Parent) fairShare(now time.Duration, child string) Amount {
	names := slices.Sorted(maps.Keys(p.children))
	share := func(of func(Amount) float64) float64 {
		left, weights := of(p.quota), 0.0
		want := make([]float64, len(names))
		open := make([]bool, len(names))
		for i, name := range names {
			c := p.children[name]
			if p.settings.DisabledCheck != "reserve" || len(c.Leases) > 0 || name == child {
				left -= of(c.Guaranteed)
			}
			if now-c.wantedAt <= p.settings.Lease && c.Number > 0 {
				want[i] = max(0, of(c.Want)-of(c.Guaranteed))
			}
			if open[i] = want[i] > 0; open[i] {
				weights += c.Weight
			}
		}
		got := make([]float64, len(names))
		for again := true; again && left > epsilon && weights > epsilon; {
			again = false
			each := left / weights
			for i, name := range names {
				if w := p.children[name].Weight; open[i] && want[i]-got[i] <= each*w+epsilon {
					left -= want[i] - got[i]
					weights -= w
					got[i], open[i], again = want[i], false, true
				}
			}
			if !again {
				for i, name := range names {
					if open[i] {
						got[i] += each * p.children[name].Weight
					}
				}
			}
		}
		for i, name := range names {
			if name == child {
				return got[i] + of(p.children[name].Guaranteed)
			}
		}
		return 0
	}
	return Amount{math.Floor(share(func(a Amount) float64 { return a.Slots }) + epsilon), share(func(a Amount) float64 { return a.Rate })}
}

// State is a ledger's, as the agreed log keeps it.
type State struct {
	Quota    Amount                  `cbor:"1,keyasint"`
	Children map[string]childAccount `cbor:"2,keyasint"`
}

// Export copies the state.
func (p *Parent) Export() State {
	state := State{Quota: p.quota, Children: map[string]childAccount{}}
	for name, c := range p.children {
		account := *c
		account.Leases = slices.Clone(c.Leases)
		state.Children[name] = account
	}
	return state
}

// Import takes up a state that another process had. Its clock is not known: what was lent
// counts for a whole lease from now.
func (p *Parent) Import(now time.Duration, state State) {
	p.quota = state.Quota
	for name, account := range state.Children {
		c := p.children[name]
		if c == nil {
			continue
		}
		c.Incarnation, c.Number, c.Want, c.wantedAt = account.Incarnation, account.Number, account.Want, now
		c.Leases = slices.Clone(account.Leases)
		for i := range c.Leases {
			if p.settings.DisabledCheck == "restore" {
				c.Leases = nil
				break
			}
			c.Leases[i].ExpiresAt = now + time.Duration(float64(p.settings.Lease)*(1+p.settings.ClockDrift))
		}
	}
}
