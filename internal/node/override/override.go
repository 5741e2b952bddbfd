// Package override has the operators' manual overrides of prep workers: disabled ("out") or
// enabled again. They are applied to the endpoint list, so that the core and the balancer see a
// disabled prep worker as draining, and one enabled again as just started.
//
// It does no I/O and takes the clock as an argument. Package hotrestart stores overrides for the
// node's next process; protocol.Admin sets them and protocol.Discovery applies them.
package override

import (
	"time"

	"ospreybend/balance"
)

// Override is the latest override of a prep worker. Times are the loop's clock.
type Override struct {
	Out   bool          `json:"out"`
	At    time.Duration `json:"at"`
	Since time.Duration `json:"since,omitempty"` // when it was last disabled; 0: never
	Back  time.Duration `json:"back,omitempty"`  // when it was last enabled again; 0: never
}

// Overrides has the latest override of each prep worker, by name.
type Overrides map[string]Override

// Out reports whether a prep worker is disabled.
func (o Overrides) Out(name string) bool { return o[name].Out }

// Set disables (out) or enables a prep worker at a time. One call that enables undoes any number
// of calls that disable; enabling one that is not disabled changes the time of the override alone.
func (o Overrides) Set(name string, out bool, now time.Duration) {
	old := o[name]
	next := Override{Out: out, At: max(now, old.At+time.Microsecond), Since: old.Since, Back: old.Back}
	switch {
	case old.Out && !out:
		next.Back = next.At
	case out && !old.Out:
		next.Since = next.At
	}
	o[name] = next
}

// Merge merges the overrides of another process of this node. The later of two overrides of a
// prep worker wins; merging is commutative. It returns the names whose override has changed.
func (o Overrides) Merge(other Overrides) (changed []string) {
	for name, received := range other {
		old := o[name]
		next := later(old, received)
		if next == old {
			continue
		}
		o[name] = next
		if next.Out != old.Out || next.Back != old.Back {
			changed = append(changed, name)
		}
	}
	return changed
}

// later merges two overrides of one prep worker.
func later(a, b Override) Override {
	if b.At > a.At || b.At == a.At && b.Out {
		a, b = b, a // a is the later; of two at the same time the one that disables, to be safe
	}
	a.Back, a.Since = max(a.Back, b.Back), max(a.Since, b.Since)
	if !a.Out && b.Out {
		a.Back = max(a.Back, a.At) // the two calls were made to different processes
	}
	return a
}

// Apply returns a prep worker's listing with its override applied. A disabled one drains,
// whatever the list says. One enabled again has been restarted meanwhile: a listed start after
// the time when it was disabled is that restart; an earlier one is the old process's, and the
// prep worker counts as started when it was enabled.
func (o Overrides) Apply(name string, listing balance.WorkerListing) balance.WorkerListing {
	latest, ok := o[name]
	if !ok || listing.State == balance.Gone {
		return listing
	}
	if latest.Out && listing.State == balance.Ready {
		listing.State = balance.Draining
	}
	if listing.Started <= latest.Since {
		listing.Started = max(listing.Started, latest.Back)
	}
	return listing
}
