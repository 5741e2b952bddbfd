// Package override has the operators' manual overrides, which disable ("out" in JSON) and enable prep
// workers. They are applied to the endpoint list: the core and the balancer see a disabled prep
// worker as draining, and one enabled again as just started.
//
// It does no I/O and takes the time as an argument. Package hotrestart stores overrides for the
// node's next process; protocol.Admin sets them and protocol.Discovery applies them.
package override

import (
	"time"

	"ospreybend/balance"
)

// Override is the latest override of a prep worker. Times are on the event loop's clock.
type Override struct {
	Disabled   bool          `json:"out"`
	At         time.Duration `json:"at"`              // when the latest call was made
	DisabledAt time.Duration `json:"since,omitempty"` // when it was last disabled; 0: never
	EnabledAt  time.Duration `json:"back,omitempty"`  // when it was last enabled again; 0: never
}

// Overrides has the latest override of each prep worker, by name.
type Overrides map[string]Override

// Disabled reports whether a prep worker is disabled.
func (o Overrides) Disabled(name string) bool { return o[name].Disabled }

// Set disables or enables a prep worker. One call that enables undoes any number of calls
// that disable. Enabling a prep worker that is not disabled changes only the time of its override.
func (o Overrides) Set(name string, disabled bool, now time.Duration) {
	old := o[name]
	next := Override{Disabled: disabled, At: max(now, old.At+time.Microsecond), DisabledAt: old.DisabledAt, EnabledAt: old.EnabledAt}
	switch {
	case old.Disabled && !disabled:
		next.EnabledAt = next.At
	case disabled && !old.Disabled:
		next.DisabledAt = next.At
	}
	o[name] = next
}

// Merge merges the overrides of another process of this node: of two overrides of a prep worker
// the later wins. Merging is commutative. Merge returns the names of the prep workers that are
// disabled or enabled by it.
func (o Overrides) Merge(other Overrides) (changed []string) {
	for name, received := range other {
		old := o[name]
		next := later(old, received)
		if next == old {
			continue
		}
		o[name] = next
		if next.Disabled != old.Disabled || next.EnabledAt != old.EnabledAt {
			changed = append(changed, name)
		}
	}
	return changed
}

// later merges two overrides of one prep worker.
func later(a, b Override) Override {
	if b.At > a.At || b.At == a.At && b.Disabled {
		a, b = b, a // a is the later one; at the same time, the one that disables, which is the safe choice
	}
	a.EnabledAt, a.DisabledAt = max(a.EnabledAt, b.EnabledAt), max(a.DisabledAt, b.DisabledAt)
	if !a.Disabled && b.Disabled {
		a.EnabledAt = max(a.EnabledAt, a.At) // the process that enabled it had not learned that another had disabled it
	}
	return a
}

// Apply returns a prep worker's listing with its override applied. A disabled prep worker is
// draining, even if it is listed as ready. One enabled again must have been restarted: if its
// listed start is later than the time when it was disabled, that is the restart; otherwise it is
// the old process's start, and the time when the prep worker was enabled counts as its start.
func (o Overrides) Apply(name string, listing balance.WorkerListing) balance.WorkerListing {
	latest, ok := o[name]
	if !ok || listing.State == balance.Gone {
		return listing
	}
	if latest.Disabled && listing.State == balance.Ready {
		listing.State = balance.Draining
	}
	if listing.Started <= latest.DisabledAt {
		listing.Started = max(listing.Started, latest.EnabledAt)
	}
	return listing
}
