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
	"math"
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
