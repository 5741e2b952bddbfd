package quota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

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
