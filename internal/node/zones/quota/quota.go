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

func (a Amount) plus(b Amount) Amount  { return Amount{a.Slots + b.Slots, a.Rate + b.Rate} }
func (a Amount) minus(b Amount) Amount { return Amount{a.Slots - b.Slots, a.Rate - b.Rate} }
func (a Amount) most(b Amount) Amount  { return Amount{max(a.Slots, b.Slots), max(a.Rate, b.Rate)} }
func (a Amount) least(b Amount) Amount { return Amount{min(a.Slots, b.Slots), min(a.Rate, b.Rate)} }
func (a Amount) within(b Amount) bool  { return a.Slots <= b.Slots+tiny && a.Rate <= b.Rate+tiny }
func (a Amount) good() bool {
	return a.Slots >= 0 && a.Rate >= 0 && !math.IsInf(a.Slots+a.Rate, 0)
}

const (
	tiny  = 1e-9
	burst = 0.25 // of what a lease's time earns may be saved up: half of what the bound on windows allows
	spare = 1.25 // a child asks for so much more than it has used
)

// Rules are the figures that all sites go by. A lease has to be longer than twice the
// longest time for which a job may hold its slots: what it has admitted has ended with it.
type Rules struct {
	Lease   time.Duration
	Margin  float64 // part by which clocks may run apart: the child's lease is shorter by it, the parent's longer
	Without string  // a check left out, for the tests that show what it is for
}

// Ask is a child's.
type Ask struct {
	Tenant      string  `cbor:"1,keyasint"`
	Child       string  `cbor:"2,keyasint"`
	Incarnation uint64  `cbor:"3,keyasint"` // raised by each start of the child
	Number      uint64  `cbor:"4,keyasint"` // of the ask, from 1
	Holds       uint64  `cbor:"5,keyasint"` // the number of the grant that the child goes by; 0: none
	Used        float64 `cbor:"Used"`
	Want        Amount  `cbor:"6,keyasint"`
}

// Grant answers one ask. It is void for any other.
type Grant struct {
	Tenant      string        `cbor:"1,keyasint"`
	Child       string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"`
	Number      uint64        `cbor:"4,keyasint"`
	Slice       Amount        `cbor:"5,keyasint"`
	Lease       time.Duration `cbor:"6,keyasint"` // from the ask's sending on
}

// Site is what a parent is told of a child.
type Site struct {
	Safe   Amount  `cbor:"Safe"` // what the child may use without a lease, set aside for ever
	Weight float64 `cbor:"Weight"`
}

// lent is a slice that a child may be going by.
type lent struct {
	Incarnation uint64        `cbor:"Incarnation"`
	Number      uint64        `cbor:"Number"`
	Slice       Amount        `cbor:"Slice"`
	Until       time.Duration `cbor:"Until"`
}

// account is what a parent knows of a child.
type account struct {
	Site
	Incarnation uint64 `cbor:"Incarnation"`
	Number      uint64 `cbor:"Number"` // the last ask answered
	Lent        []lent `cbor:"Lent"`
	Want        Amount `cbor:"Want"`
	wantAt      time.Duration
}

// Ledger is a parent's, for one tenant.
type Ledger struct {
	rules    Rules
	tenant   string
	quota    Amount
	until    time.Duration // the end of what the parent itself holds; 0: it is the root
	children map[string]*account
}

// NewLedger makes one with nothing lent.
func NewLedger(rules Rules, tenant string, quota Amount, sites map[string]Site) (*Ledger, error) {
	l := &Ledger{rules: rules, tenant: tenant, quota: quota, children: map[string]*account{}}
	if rules.Lease <= 0 || rules.Margin < 0 || rules.Margin >= 0.5 {
		return nil, fmt.Errorf("quota: a lease of %v with a margin of %v", rules.Lease, rules.Margin)
	}
	if !quota.good() {
		return nil, fmt.Errorf("quota of %s: %v", tenant, quota)
	}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		s := sites[name]
		if !s.Safe.good() || !(s.Weight > 0) || math.IsInf(s.Weight, 0) {
			return nil, fmt.Errorf("site %s: a safe share of %v, a weight of %v", name, s.Safe, s.Weight)
		}
		l.children[name] = &account{Site: s}
	}
	if safe := l.reserve(); !safe.within(quota) {
		return nil, fmt.Errorf("quota of %s: the safe shares of its sites are %v in all, the quota is %v", tenant, safe, quota)
	}
	return l, nil
}

// reserve is all safe shares together.
func (l *Ledger) reserve() (sum Amount) {
	for _, c := range l.children {
		sum = sum.plus(c.Safe)
	}
	return sum
}

// SetQuota changes what there is to lend, and until when the parent itself holds it; 0: for
// ever. What is lent beyond it comes back within a lease.
func (l *Ledger) SetQuota(quota Amount, until time.Duration) { l.quota, l.until = quota, until }

// counted is the most that a child may be using: its safe share, or any slice that it may
// still go by. One that it has never confirmed counts like one that it has.
func (l *Ledger) counted(now time.Duration, c *account) Amount {
	sum := c.Safe
	c.Lent = slices.DeleteFunc(c.Lent, func(e lent) bool { return e.Until <= now })
	for i, e := range c.Lent {
		if l.rules.Without == "confirm" && i < len(c.Lent)-1 {
			continue
		}
		sum = sum.most(e.Slice)
	}
	if l.rules.Without == "reserve" && len(c.Lent) == 0 {
		return Amount{}
	}
	return sum
}

// Out is the most that all children together may be using.
func (l *Ledger) Out(now time.Duration) (sum Amount) {
	for _, c := range l.children {
		sum = sum.plus(l.counted(now, c))
	}
	return sum
}

// Wanted is what all children want, of those heard of within a lease's time.
func (l *Ledger) Wanted(now time.Duration) (sum Amount) {
	for _, c := range l.children {
		want := c.Safe
		if c.Number > 0 && now-c.wantAt <= l.rules.Lease {
			want = want.most(c.Want)
		}
		sum = sum.plus(want)
	}
	return sum
}

var errStranger = errors.New("quota: no such site of this tenant")

// Ask answers a child. An ask that a later one has overtaken, or of an earlier start of the
// child, gets none.
func (l *Ledger) Ask(now time.Duration, a Ask) (Grant, error) {
	c := l.children[a.Child]
	if c == nil || a.Tenant != l.tenant {
		return Grant{}, errStranger
	}
	if !a.Want.good() || !(a.Used >= 0) {
		return Grant{}, fmt.Errorf("quota: site %s wants %v and uses %v", a.Child, a.Want, a.Used)
	}
	if l.rules.Without != "incarnation" && a.Incarnation < c.Incarnation {
		return Grant{}, fmt.Errorf("quota: site %s has been started anew since", a.Child)
	}
	if a.Incarnation > c.Incarnation {
		c.Incarnation, c.Number = a.Incarnation, 0
	}
	if a.Number <= c.Number && l.rules.Without != "order" {
		return Grant{}, fmt.Errorf("quota: site %s has asked again since", a.Child)
	}
	c.Number, c.Want, c.wantAt = a.Number, a.Want, now
	l.confirm(c, a)
	others := l.Out(now).minus(l.counted(now, c))
	room := l.quota.minus(others)
	slice := l.target(now, a.Child).least(room).most(c.Safe)
	lease := l.rules.Lease
	if l.until > 0 {
		lease = min(lease, time.Duration(float64(l.until-now)/(1+l.rules.Margin)))
	}
	if lease <= 0 || !slice.within(room) {
		slice, lease = c.Safe, 0 // nothing but what it has without a lease
	}
	if lease > 0 {
		kept := time.Duration(float64(lease) * (1 + l.rules.Margin))
		if l.rules.Without == "margin" {
			kept = time.Duration(float64(lease) * (1 - l.rules.Margin))
		}
		c.Lent = append(c.Lent, lent{a.Incarnation, a.Number, slice, now + kept})
	}
	return Grant{Tenant: a.Tenant, Child: a.Child, Incarnation: a.Incarnation, Number: a.Number, Slice: slice, Lease: lease}, nil
}

// confirm drops what the child's ask shows that it does not go by any more. It takes none
// but the grant for its last ask, so that all others of this start are void once it asks
// anew; of a slice that it has given up it may still use as much as it says.
func (l *Ledger) confirm(c *account, a Ask) {
	held := c.Safe.Slots
	for _, e := range c.Lent {
		if e.Incarnation == a.Incarnation && e.Number == a.Holds {
			held = e.Slice.Slots
		}
	}
	c.Lent = slices.DeleteFunc(c.Lent, func(e lent) bool {
		switch {
		case e.Incarnation != a.Incarnation:
			return false // what an earlier start admitted may still run
		case e.Number == a.Holds:
			return false
		case e.Number > a.Holds:
			return true // never taken, and void now
		}
		return a.Used <= held+tiny
	})
	for i := range c.Lent {
		if e := &c.Lent[i]; e.Incarnation == a.Incarnation && e.Number < a.Holds {
			e.Slice = Amount{Slots: min(e.Slice.Slots, a.Used)}
		}
	}
}

// target is a child's part by weighted max-min over what all want. Who has not asked for a
// lease's time wants its safe share.
func (l *Ledger) target(now time.Duration, child string) Amount {
	names := slices.Sorted(maps.Keys(l.children))
	share := func(of func(Amount) float64) float64 {
		left, weights := of(l.quota), 0.0
		want := make([]float64, len(names))
		open := make([]bool, len(names))
		for i, name := range names {
			c := l.children[name]
			if l.rules.Without != "reserve" || len(c.Lent) > 0 || name == child {
				left -= of(c.Safe)
			}
			if now-c.wantAt <= l.rules.Lease && c.Number > 0 {
				want[i] = max(0, of(c.Want)-of(c.Safe))
			}
			if open[i] = want[i] > 0; open[i] {
				weights += c.Weight
			}
		}
		got := make([]float64, len(names))
		for again := true; again && left > tiny && weights > tiny; {
			again = false
			each := left / weights
			for i, name := range names {
				if w := l.children[name].Weight; open[i] && want[i]-got[i] <= each*w+tiny {
					left -= want[i] - got[i]
					weights -= w
					got[i], open[i], again = want[i], false, true
				}
			}
			if !again {
				for i, name := range names {
					if open[i] {
						got[i] += each * l.children[name].Weight
					}
				}
			}
		}
		for i, name := range names {
			if name == child {
				return got[i] + of(l.children[name].Safe)
			}
		}
		return 0
	}
	return Amount{math.Floor(share(func(a Amount) float64 { return a.Slots }) + tiny), share(func(a Amount) float64 { return a.Rate })}
}

// State is a ledger's, as the agreed log keeps it.
type State struct {
	Quota    Amount             `cbor:"1,keyasint"`
	Children map[string]account `cbor:"2,keyasint"`
}

// Export copies the state.
func (l *Ledger) Export() State {
	s := State{Quota: l.quota, Children: map[string]account{}}
	for name, c := range l.children {
		of := *c
		of.Lent = slices.Clone(c.Lent)
		s.Children[name] = of
	}
	return s
}

// Import takes up a state that another process had. Its clock is not known: what was lent
// counts for a whole lease from now.
func (l *Ledger) Import(now time.Duration, s State) {
	l.quota = s.Quota
	for name, of := range s.Children {
		c := l.children[name]
		if c == nil {
			continue
		}
		c.Incarnation, c.Number, c.Want, c.wantAt = of.Incarnation, of.Number, of.Want, now
		c.Lent = slices.Clone(of.Lent)
		for i := range c.Lent {
			if l.rules.Without == "restore" {
				c.Lent = nil
				break
			}
			c.Lent[i].Until = now + time.Duration(float64(l.rules.Lease)*(1+l.rules.Margin))
		}
	}
}
