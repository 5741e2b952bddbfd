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

// maxClockSkew is how far in the future a start may lie: all machines read one clock, roughly.
const maxClockSkew = 5 * time.Second

// validate names what is wrong with an entry of a list by its field; nil: nothing is. now is
// the clock, by which starts are told.
func (endpoint *Endpoint) validate(now time.Duration) error {
	switch {
	case endpoint.Name == "":
		return errors.New("name: missing")
	case len(endpoint.Name) > maxIDBytes:
		return errors.New("name: too long")
	case endpoint.State != "Ready" && endpoint.State != "Terminating" && endpoint.State != "Gone":
		return fmt.Errorf("status: %q is none of Ready, Terminating and Gone", endpoint.State)
	case !(endpoint.SinceMS >= 0) || math.IsInf(endpoint.SinceMS, 0):
		return fmt.Errorf("since_ms: %v", endpoint.SinceMS)
	case endpoint.SinceMS*float64(time.Millisecond) > float64(now+maxClockSkew):
		return fmt.Errorf("since_ms: %.0f lies in the future", endpoint.SinceMS)
	}
	if endpoint.State == "Gone" {
		return nil // where it was matters no more
	}
	if endpoint.Address != "" {
		if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
			return fmt.Errorf("address: %q is no address and port", endpoint.Address)
		}
	}
	return nil
}

// workerListing is an entry as the core sees it.
func (d *Discovery) workerListing(endpoint Endpoint) balance.WorkerListing {
	listing := balance.WorkerListing{Worker: d.workerID(endpoint.Name), Zone: indexOf(d.config.Zones, endpoint.Zone), Kind: indexOf(d.config.Kinds, endpoint.Kind),
		Cell: endpoint.Cell, Scale: endpoint.Weight, Started: time.Duration(endpoint.SinceMS*1000) * time.Microsecond}
	switch endpoint.State {
	case "Ready":
		listing.State = balance.Ready
	case "Terminating":
		listing.State = balance.Draining
	default:
		listing.State = balance.Gone
	}
	if !(listing.Scale >= 0) || math.IsInf(listing.Scale, 0) {
		listing.Scale = 1
	}
	return listing
}

// rejectEntry counts and logs an entry that cannot be what it says. The destination stays as
// it was last told.
func (d *Discovery) rejectEntry(i int, e Endpoint, why error) {
	d.rejectedEntries++
	slog.Warn("pool config: an entry is passed over", "entry", i, "destination", e.Name, "fault", why, "in_all", d.rejectedEntries)
}

// RejectedEntries counts entries and lists passed over.
func (d *Discovery) RejectedEntries() uint64 { return d.rejectedEntries }

// publish hands a list on, the addresses first.
func (d *Discovery) publish(kind balance.ListKind, list EndpointList) {
	update := balance.ListUpdate{Kind: kind, Version: list.Version, Workers: make([]balance.WorkerListing, 0, len(list.Entries))}
	listed, met := map[balance.WorkerID]bool{}, map[string]bool{}
	for i, end := range list.Entries {
		err := end.validate(d.loop.Now())
		if err == nil && kind != balance.ListChanges && met[end.Name] {
			err = errors.New("name: comes twice in one list") // among changes the later word holds
		}
		if err != nil {
			d.rejectEntry(i, end, err)
			if id := workerIDOf(end.Name); kind != balance.ListChanges && !met[end.Name] && d.names[id] == end.Name {
				if l, ok := d.listed[id]; ok { // it is listed, if badly
					listed[id] = true
					update.Workers = append(update.Workers, d.effective(id, l))
				}
			}
			continue
		}
		met[end.Name] = true
		l := d.workerListing(end)
		id := l.Worker
		if l.State == balance.Gone {
			d.destinations.Remove(id)
			delete(d.listed, id)
		} else {
			listed[id] = true
			d.listed[id] = l
			d.destinations.SetAddress(id, end.Name, end.Address)
		}
		update.Workers = append(update.Workers, d.effective(id, l))
	}
	if kind != balance.ListChanges {
		d.destinations.Retain(listed)
		for id := range d.listed {
			if !listed[id] {
				delete(d.listed, id)
			}
		}
	}
	d.answered = d.answered || kind != balance.ListCached
	slog.Info("pool config", "version", list.Version, "whole", kind != balance.ListChanges, "entries", len(list.Entries))
	d.core.PoolChanged(update)
}

// workerID numbers a destination by its name alone, the same at every node:
// the module names destinations to its peers by that number.
func (d *Discovery) workerID(name string) balance.WorkerID {
	id := workerIDOf(name)
	if known, ok := d.names[id]; ok && known != name {
		slog.Error("two destinations of one number", "one", known, "other", name)
	}
	d.names[id] = name
	return id
}

func workerIDOf(name string) balance.WorkerID { return balance.WorkerID(max(hash([]byte(name)), 1)) }

// indexOf gives a word's number in a list. One not listed gets one of its own.
func indexOf(words []string, word string) int {
	for i, w := range words {
		if w == word {
			return i
		}
	}
	return len(words)
}
