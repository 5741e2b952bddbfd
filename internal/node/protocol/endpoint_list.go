package protocol

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"ospreybend/balance"
)

// ahead is how far in the future a start may lie: all machines read one clock, roughly.
const ahead = 5 * time.Second

// fault names what is wrong with an entry of a list by its field; nil: nothing is. now is
// the clock, by which starts are told.
func (e *Listed) fault(now time.Duration) error {
	switch {
	case e.Name == "":
		return errors.New("name: missing")
	case len(e.Name) > maxID:
		return errors.New("name: too long")
	case e.State != "Ready" && e.State != "Terminating" && e.State != "Gone":
		return fmt.Errorf("status: %q is none of Ready, Terminating and Gone", e.State)
	case !(e.SinceMS >= 0) || math.IsInf(e.SinceMS, 0):
		return fmt.Errorf("since_ms: %v", e.SinceMS)
	case e.SinceMS*float64(time.Millisecond) > float64(now+ahead):
		return fmt.Errorf("since_ms: %.0f lies in the future", e.SinceMS)
	}
	if e.State == "Gone" {
		return nil // where it was matters no more
	}
	if e.Address != "" {
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return fmt.Errorf("address: %q is no address and port", e.Address)
		}
	}
	return nil
}

// listing is an entry as the core sees it.
func (d *Discovery) listing(e Listed) balance.WorkerListing {
	l := balance.WorkerListing{Worker: d.identity(e.Name), Zone: place(d.config.Zones, e.Zone), Kind: place(d.config.Kinds, e.Kind),
		Cell: e.Cell, Scale: e.Weight, Started: time.Duration(e.SinceMS*1000) * time.Microsecond}
	switch e.State {
	case "Ready":
		l.State = balance.Ready
	case "Terminating":
		l.State = balance.Draining
	default:
		l.State = balance.Gone
	}
	if !(l.Scale >= 0) || math.IsInf(l.Scale, 0) {
		l.Scale = 1
	}
	return l
}

// spoiltEntry counts and logs an entry that cannot be what it says. The destination stays as
// it was last told.
func (d *Discovery) spoiltEntry(i int, e Listed, why error) {
	d.spoilt++
	slog.Warn("pool config: an entry is passed over", "entry", i, "destination", e.Name, "fault", why, "in_all", d.spoilt)
}

// Spoilt counts entries and lists passed over.
func (d *Discovery) Spoilt() uint64 { return d.spoilt }

// tell hands a list on, the addresses first.
func (d *Discovery) tell(kind balance.ListKind, list List) {
	up := balance.ListUpdate{Kind: kind, Version: list.Version, Workers: make([]balance.WorkerListing, 0, len(list.Entries))}
	listed, met := map[balance.WorkerID]bool{}, map[string]bool{}
	for i, e := range list.Entries {
		err := e.fault(d.loop.Now())
		if err == nil && kind != balance.ListChanges && met[e.Name] {
			err = errors.New("name: comes twice in one list") // among changes the later word holds
		}
		if err != nil {
			d.spoiltEntry(i, e, err)
			if id := numberOf(e.Name); kind != balance.ListChanges && !met[e.Name] && d.names[id] == e.Name {
				if l, ok := d.listed[id]; ok { // it is listed, if badly
					listed[id] = true
					up.Workers = append(up.Workers, d.lay(id, l))
				}
			}
			continue
		}
		met[e.Name] = true
		l := d.listing(e)
		id := l.Worker
		if l.State == balance.Gone {
			d.to.Remove(id)
			delete(d.listed, id)
		} else {
			listed[id] = true
			d.listed[id] = l
			d.to.Place(id, e.Name, e.Address)
		}
		up.Workers = append(up.Workers, d.lay(id, l))
	}
	if kind != balance.ListChanges {
		d.to.Keep(listed)
		for id := range d.listed {
			if !listed[id] {
				delete(d.listed, id)
			}
		}
	}
	d.asked = d.asked || kind != balance.ListCached
	slog.Info("pool config", "version", list.Version, "whole", kind != balance.ListChanges, "entries", len(list.Entries))
	d.core.PoolChanged(up)
}

// identity numbers a destination by its name alone, the same at every node:
// the module names destinations to its peers by that number.
func (d *Discovery) identity(name string) balance.WorkerID {
	id := numberOf(name)
	if known, ok := d.names[id]; ok && known != name {
		slog.Error("two destinations of one number", "one", known, "other", name)
	}
	d.names[id] = name
	return id
}

func numberOf(name string) balance.WorkerID { return balance.WorkerID(max(hash([]byte(name)), 1)) }

// place gives a word's number in a list. One not listed gets one of its own.
func place(words []string, word string) int {
	for i, w := range words {
		if w == word {
			return i
		}
	}
	return len(words)
}
