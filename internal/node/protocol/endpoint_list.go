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

// maxClockSkew is how far in the future a start may lie: the machines' clocks agree roughly.
const maxClockSkew = 5 * time.Second

// The endpoint states of the pool config's list.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateGone        = "Gone"
)

var (
	errNameMissing   = errors.New("name: missing")
	errNameTooLong   = errors.New("name: too long")
	errNameDuplicate = errors.New("name: comes twice in one list")
)

// validate checks an entry of a list. Its error names the field. now is the loop's clock.
func (e *Endpoint) validate(now time.Duration) error {
	switch {
	case e.Name == "":
		return errNameMissing
	case len(e.Name) > maxIDBytes:
		return errNameTooLong
	case e.State != stateReady && e.State != stateTerminating && e.State != stateGone:
		return fmt.Errorf("status: %q is none of Ready, Terminating and Gone", e.State)
	case !(e.SinceMS >= 0) || math.IsInf(e.SinceMS, 0):
		return fmt.Errorf("since_ms: %v", e.SinceMS)
	case e.SinceMS*float64(time.Millisecond) > float64(now+maxClockSkew):
		return fmt.Errorf("since_ms: %.0f lies in the future", e.SinceMS)
	}
	if e.State == stateGone {
		return nil // its address does not matter any more
	}
	if e.Address != "" {
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return fmt.Errorf("address: %q is no address and port", e.Address)
		}
	}
	return nil
}

// workerListing converts an entry to the core's form. An invalid weight counts as 1.
func (d *Discovery) workerListing(endpoint Endpoint) balance.WorkerListing {
	listing := balance.WorkerListing{Worker: d.workerID(endpoint.Name), Zone: indexOf(d.config.Zones, endpoint.Zone), Kind: indexOf(d.config.Kinds, endpoint.Kind),
		Cell: endpoint.Cell, Scale: endpoint.Weight, Started: time.Duration(endpoint.SinceMS*1000) * time.Microsecond}
	switch endpoint.State {
	case stateReady:
		listing.State = balance.Ready
	case stateTerminating:
		listing.State = balance.Draining
	default:
		listing.State = balance.Gone
	}
	if !(listing.Scale >= 0) || math.IsInf(listing.Scale, 0) {
		listing.Scale = 1
	}
	return listing
}

// rejectEntry counts and logs an invalid entry. The destination keeps its last valid listing.
func (d *Discovery) rejectEntry(i int, e Endpoint, why error) {
	d.rejectedEntries++
	slog.Warn("pool config: entry rejected", "entry", i, "destination", e.Name, "fault", why, "in_all", d.rejectedEntries)
}

// RejectedEntries returns the number of invalid entries since the start.
func (d *Discovery) RejectedEntries() uint64 { return d.rejectedEntries }

// publish passes a list to Destinations, for the addresses, and then to the core.
func (d *Discovery) publish(kind balance.ListKind, list EndpointList) {
	update := balance.ListUpdate{Kind: kind, Version: list.Version, Workers: make([]balance.WorkerListing, 0, len(list.Entries))}
	listed, met := map[balance.WorkerID]bool{}, map[string]bool{}
	for i, entry := range list.Entries {
		err := entry.validate(d.loop.Now())
		if err == nil && kind != balance.ListChanges && met[entry.Name] {
			err = errNameDuplicate // among changes the later one applies
		}
		if err != nil {
			d.rejectEntry(i, entry, err)
			if id := workerIDOf(entry.Name); kind != balance.ListChanges && !met[entry.Name] && d.names[id] == entry.Name {
				if l, ok := d.listed[id]; ok { // it is listed, though its entry is invalid
					listed[id] = true
					update.Workers = append(update.Workers, d.effective(id, l))
				}
			}
			continue
		}
		met[entry.Name] = true
		l := d.workerListing(entry)
		id := l.Worker
		if l.State == balance.Gone {
			d.destinations.Remove(id)
			delete(d.listed, id)
		} else {
			listed[id] = true
			d.listed[id] = l
			d.destinations.SetAddress(id, entry.Name, entry.Address)
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
	slog.Info("endpoint list applied", "version", list.Version, "whole", kind != balance.ListChanges, "entries", len(list.Entries))
	d.core.PoolChanged(update)
}

// workerID returns a destination's ID and records its name. The ID is a hash of the name, the
// same at every node: the balancers name destinations to each other by it.
func (d *Discovery) workerID(name string) balance.WorkerID {
	id := workerIDOf(name)
	if known, ok := d.names[id]; ok && known != name {
		slog.Error("two destination names have one ID", "one", known, "other", name)
	}
	d.names[id] = name
	return id
}

// workerIDOf returns the ID of a destination's name, which is never 0.
func workerIDOf(name string) balance.WorkerID { return balance.WorkerID(max(hash([]byte(name)), 1)) }

// indexOf returns the index of a name in a list, or the list's length if it is not there.
func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return len(names)
}
