// Package override keeps what operators have said of prep workers: out, or back. It
// is laid over the pool config, so that core and module see a prep worker that is
// out as one that drains, and one called back as just started. It does no I/O and
// takes the clock as an argument.
package override

import (
	"time"

	"ospreybend/balance"
)

// Override is the last that was said of a prep worker. Times are the clock's.
type Override struct {
	Out   bool          `json:"out"`
	At    time.Duration `json:"at"`
	Since time.Duration `json:"since,omitempty"` // when it was last taken out from being in; 0: never
	Back  time.Duration `json:"back,omitempty"`  // when it was last called back from being out; 0: never
}

// Overrides holds the last word on each prep worker, by name.
type Overrides map[string]Override

// Out tells whether a prep worker is out by hand.
func (o Overrides) Out(name string) bool { return o[name].Out }

// Set notes a call. One back undoes any number out; back for one that is not out
// changes nothing but the time of the last word.
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

// Merge takes in the words that another process of this node knows. Of two words
// on one prep worker the later holds; the order of merging does not matter. It
// returns the names for which something else holds now.
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

func later(a, b Override) Override {
	if b.At > a.At || b.At == a.At && b.Out {
		a, b = b, a // a is the one that holds; of two at once, out is the safe one
	}
	a.Back, a.Since = max(a.Back, b.Back), max(a.Since, b.Since)
	if !a.Out && b.Out {
		a.Back = max(a.Back, a.At) // the two calls met different processes
	}
	return a
}

// Apply gives a prep worker's entry in the pool config as the core is to see it. One
// that is out drains, whatever the list says of it. One called back has been
// restarted meanwhile. Where the list has that start, later than the word that took
// it out, it holds; where it does not yet, the prep worker counts as started with
// the call back, since the start that is listed is its old process's.
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
