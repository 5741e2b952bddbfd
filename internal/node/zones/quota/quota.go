// Package quota delegates a tenant's quota down a tree of sites by leases.
//
// A Parent leases parts of its quota to its children. A Child admits jobs from its lease alone,
// without a message, and may lease parts of it further through a Parent of its own. The caller passes
// monotonic times and carries requests and grants, which may be delayed, lost, duplicated or
// reordered. The package has no clock and does no I/O. No program uses it yet; it is the tested
// design of docs/design/fleet-as-one.md.
//
// Invariant: the slots in use at all sites together never exceed the quota. The parent counts each
// child with the largest amount that it may still believe to hold.
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
	Slots float64 `cbor:"1,keyasint"` // in use at once
	Rate  float64 `cbor:"2,keyasint"` // slot-seconds per second
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
	epsilon       = 1e-9 // rounding error of amounts
	burstFraction = 0.25 // of the tokens that a lease's time earns may be saved: half of what the bound on windows allows
	headroom      = 1.25 // a child requests this multiple of what it used
)

// Settings are shared by all sites. A lease must be longer than twice the longest time for which a job may
// occupy its slots, so that what was admitted under a lease ends with it.
type Settings struct {
	Lease         time.Duration
	ClockDrift    float64 // fraction by which clocks may differ in rate: the child's lease is shorter by it, the parent's longer
	DisabledCheck string  // a check to skip, for tests that show why it is needed
}

// valid reports whether leases can be granted and used by the settings.
func (s Settings) valid() bool { return s.Lease > 0 && s.ClockDrift >= 0 && s.ClockDrift < 0.5 }

// The checks that Settings.DisabledCheck can skip.
const (
	checkUnconfirmed  = "confirm"     // all leases that may be in use count, not the last alone
	checkReserve      = "reserve"     // guaranteed amounts are reserved, also of children without a lease
	checkIncarnation  = "incarnation" // requests and grants of an earlier incarnation are rejected
	checkRequestOrder = "order"       // a request overtaken by a later one is rejected
	checkClockDrift   = "margin"      // leases allow for clocks of different rates
	checkRestore      = "restore"     // imported leases count for a full lease time
	checkGrantNumber  = "number"      // a grant must answer the last request
	checkLeaseStart   = "sent"        // a lease counts from the sending of its request
)

// LeaseRequest is a child's request for a new lease.
type LeaseRequest struct {
	Tenant       string  `cbor:"1,keyasint"`
	Child        string  `cbor:"2,keyasint"`
	Incarnation  uint64  `cbor:"3,keyasint"` // grows with each start of the child
	Number       uint64  `cbor:"4,keyasint"` // of the request, from 1
	CurrentGrant uint64  `cbor:"5,keyasint"` // number of the grant that the child uses; 0: none
	Used         float64 `cbor:"Used"`
	Want         Amount  `cbor:"6,keyasint"`
}

// Grant is the response to one request. The child ignores it for any other.
type Grant struct {
	Tenant      string        `cbor:"1,keyasint"`
	Child       string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"`
	Number      uint64        `cbor:"4,keyasint"`
	Amount      Amount        `cbor:"5,keyasint"`
	Lease       time.Duration `cbor:"6,keyasint"` // from the sending of the request
}

// ChildConfig configures a child at its parent.
type ChildConfig struct {
	Guaranteed Amount  `cbor:"Safe"` // what the child may use without a lease; always reserved
	Weight     float64 `cbor:"Weight"`
}

// outstandingLease is a lease that a child may be using.
type outstandingLease struct {
	Incarnation uint64        `cbor:"Incarnation"`
	Number      uint64        `cbor:"Number"`
	Amount      Amount        `cbor:"Slice"`
	ExpiresAt   time.Duration `cbor:"Until"`
}

// childAccount is a parent's state of one child.
type childAccount struct {
	ChildConfig
	Incarnation uint64             `cbor:"Incarnation"`
	Number      uint64             `cbor:"Number"` // of the last request granted
	Leases      []outstandingLease `cbor:"Lent"`
	Want        Amount             `cbor:"Want"`
	wantedAt    time.Duration
}

// Parent leases one tenant's quota to its children. It belongs to one goroutine.
type Parent struct {
	settings   Settings
	tenant     string
	quota      Amount
	leaseUntil time.Duration // end of the parent's own lease; 0: it is the root
	children   map[string]*childAccount
}

// NewParent returns a parent without leases. The guaranteed amounts must fit into the quota.
func NewParent(settings Settings, tenant string, quota Amount, sites map[string]ChildConfig) (*Parent, error) {
	parent := &Parent{settings: settings, tenant: tenant, quota: quota, children: map[string]*childAccount{}}
	if !settings.valid() {
		return nil, fmt.Errorf("quota: a lease of %v with a clock drift of %v", settings.Lease, settings.ClockDrift)
	}
	if !quota.valid() {
		return nil, fmt.Errorf("quota of %s: %v", tenant, quota)
	}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		child := sites[name]
		if !child.Guaranteed.valid() || !(child.Weight > 0) || math.IsInf(child.Weight, 0) {
			return nil, fmt.Errorf("site %s: a guaranteed amount of %v, a weight of %v", name, child.Guaranteed, child.Weight)
		}
		parent.children[name] = &childAccount{ChildConfig: child}
	}
	if guaranteed := parent.guaranteedTotal(); !guaranteed.within(quota) {
		return nil, fmt.Errorf("quota of %s: the guaranteed amounts of its sites are %v in all, the quota is %v", tenant, guaranteed, quota)
	}
	return parent, nil
}

// guaranteedTotal returns the sum of the guaranteed amounts.
func (p *Parent) guaranteedTotal() (sum Amount) {
	for _, c := range p.children {
		sum = sum.add(c.Guaranteed)
	}
	return sum
}

// SetQuota changes the quota and the end of the parent's own lease; 0: it does not end. What is leased
// beyond a lowered quota returns within one lease time.
func (p *Parent) SetQuota(quota Amount, leaseUntil time.Duration) {
	p.quota, p.leaseUntil = quota, leaseUntil
}

// exposure returns the largest amount that a child may be using: its guaranteed amount, or any lease that
// has not expired, whether the child confirmed it or not.
func (p *Parent) exposure(now time.Duration, child *childAccount) Amount {
	sum := child.Guaranteed
	child.Leases = slices.DeleteFunc(child.Leases, func(e outstandingLease) bool { return e.ExpiresAt <= now })
	for i, e := range child.Leases {
		if p.settings.DisabledCheck == checkUnconfirmed && i < len(child.Leases)-1 {
			continue
		}
		sum = sum.maximum(e.Amount)
	}
	if p.settings.DisabledCheck == checkReserve && len(child.Leases) == 0 {
		return Amount{}
	}
	return sum
}

// TotalExposure returns the largest amount that all children together may be using.
func (p *Parent) TotalExposure(now time.Duration) (sum Amount) {
	for _, c := range p.children {
		sum = sum.add(p.exposure(now, c))
	}
	return sum
}

// Demand returns what all children want. A child that sent no request within a lease time wants its
// guaranteed amount.
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

// Grant responds to a child's request. It returns an error for an unknown child, a request of an earlier
// incarnation, and one overtaken by a later request.
func (p *Parent) Grant(now time.Duration, request LeaseRequest) (Grant, error) {
	child := p.children[request.Child]
	if child == nil || request.Tenant != p.tenant {
		return Grant{}, errUnknownChild
	}
	if !request.Want.valid() || !(request.Used >= 0) {
		return Grant{}, fmt.Errorf("quota: site %s wants %v and uses %v", request.Child, request.Want, request.Used)
	}
	if p.settings.DisabledCheck != checkIncarnation && request.Incarnation < child.Incarnation {
		return Grant{}, fmt.Errorf("quota: site %s has restarted since", request.Child)
	}
	if request.Incarnation > child.Incarnation {
		child.Incarnation, child.Number = request.Incarnation, 0
	}
	if request.Number <= child.Number && p.settings.DisabledCheck != checkRequestOrder {
		return Grant{}, fmt.Errorf("quota: site %s has sent a later request", request.Child)
	}
	child.Number, child.Want, child.wantedAt = request.Number, request.Want, now
	p.releaseConfirmed(child, request)
	others := p.TotalExposure(now).subtract(p.exposure(now, child))
	available := p.quota.subtract(others)
	amount := p.fairShare(now, request.Child).minimum(available).maximum(child.Guaranteed)
	lease := p.settings.Lease
	if p.leaseUntil > 0 {
		lease = min(lease, time.Duration(float64(p.leaseUntil-now)/(1+p.settings.ClockDrift)))
	}
	if lease <= 0 || !amount.within(available) {
		amount, lease = child.Guaranteed, 0 // nothing beyond the guaranteed amount
	}
	if lease > 0 {
		expiresIn := time.Duration(float64(lease) * (1 + p.settings.ClockDrift))
		if p.settings.DisabledCheck == checkClockDrift {
			expiresIn = time.Duration(float64(lease) * (1 - p.settings.ClockDrift))
		}
		child.Leases = append(child.Leases, outstandingLease{request.Incarnation, request.Number, amount, now + expiresIn})
	}
	return Grant{Tenant: request.Tenant, Child: request.Child, Incarnation: request.Incarnation, Number: request.Number,
		Amount: amount, Lease: lease}, nil
}

// releaseConfirmed removes the leases that the request shows the child does not use. A child accepts only
// the grant for its last request, so its next request voids all others of this incarnation. Of a lease
// that it gave up it may still use as much as the request says.
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
			return false // jobs of an earlier incarnation may still run
		case e.Number == request.CurrentGrant:
			return false
		case e.Number > request.CurrentGrant:
			return true // never accepted, and void now
		}
		return request.Used <= slotsInUse+epsilon
	})
	for i := range child.Leases {
		if e := &child.Leases[i]; e.Incarnation == request.Incarnation && e.Number < request.CurrentGrant {
			e.Amount = Amount{Slots: min(e.Amount.Slots, request.Used)}
		}
	}
}

// fairShare returns a child's weighted max-min fair share of the quota. A child that sent no request within a
// lease time wants its guaranteed amount.
func (p *Parent) fairShare(now time.Duration, child string) Amount {
	slots := p.fairPart(now, child, func(a Amount) float64 { return a.Slots })
	rate := p.fairPart(now, child, func(a Amount) float64 { return a.Rate })
	return Amount{math.Floor(slots + epsilon), rate}
}

// fairPart returns the fair share in one dimension of the amounts.
func (p *Parent) fairPart(now time.Duration, child string, dimension func(Amount) float64) float64 {
	names := slices.Sorted(maps.Keys(p.children))
	left := dimension(p.quota)
	want, weights := make([]float64, len(names)), make([]float64, len(names))
	for i, name := range names {
		account := p.children[name]
		if p.settings.DisabledCheck != checkReserve || len(account.Leases) > 0 || name == child {
			left -= dimension(account.Guaranteed)
		}
		if now-account.wantedAt <= p.settings.Lease && account.Number > 0 {
			want[i] = max(0, dimension(account.Want)-dimension(account.Guaranteed))
		}
		weights[i] = account.Weight
	}
	got := maxMinShares(left, want, weights)
	for i, name := range names {
		if name == child {
			return got[i] + dimension(p.children[name].Guaranteed)
		}
	}
	return 0
}

// maxMinShares divides an amount by weighted max-min fairness: each round satisfies those that want at most
// their weighted part of what is left; when none does, the rest is divided by weight.
func maxMinShares(left float64, want, weights []float64) []float64 {
	got, open, openWeight := make([]float64, len(want)), make([]bool, len(want)), 0.0
	for i := range want {
		if open[i] = want[i] > 0; open[i] {
			openWeight += weights[i]
		}
	}
	for again := true; again && left > epsilon && openWeight > epsilon; {
		again = false
		each := left / openWeight
		for i, weight := range weights {
			if open[i] && want[i]-got[i] <= each*weight+epsilon {
				left -= want[i] - got[i]
				openWeight -= weight
				got[i], open[i], again = want[i], false, true
			}
		}
		if again {
			continue
		}
		for i, weight := range weights {
			if open[i] {
				got[i] += each * weight
			}
		}
	}
	return got
}

// State is a parent's state in a form that can be stored.
type State struct {
	Quota    Amount                  `cbor:"1,keyasint"`
	Children map[string]childAccount `cbor:"2,keyasint"`
}

// Export returns a copy of the state.
func (p *Parent) Export() State {
	state := State{Quota: p.quota, Children: map[string]childAccount{}}
	for name, c := range p.children {
		account := *c
		account.Leases = slices.Clone(c.Leases)
		state.Children[name] = account
	}
	return state
}

// Import replaces the state by one exported by another process. As that process's clock is unknown, every
// lease counts for a full lease time from now.
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
			if p.settings.DisabledCheck == checkRestore {
				c.Leases = nil
				break
			}
			c.Leases[i].ExpiresAt = now + time.Duration(float64(p.settings.Lease)*(1+p.settings.ClockDrift))
		}
	}
}
