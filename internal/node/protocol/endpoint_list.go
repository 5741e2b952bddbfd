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

// maxClockSkew is how far in the future a start time may be, since the clocks of the machines agree only roughly.
const maxClockSkew = 5 * time.Second

// Endpoint states in the pool config's list.
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

// validate checks an entry of a list. The error names the field. now is the time on the loop's clock.
func (e *Endpoint) validate(now time.Duration) error {
	switch {
	case e.Name == "":
		return errNameMissing
	case len(e.Name) > maxIDBytes:
		return errNameTooLong
	case e.State != stateReady && e.State != stateTerminating && e.State != stateGone:
		return fmt.Errorf("status: %q is not Ready, Terminating or Gone", e.State)
	case !(e.SinceMS >= 0) || math.IsInf(e.SinceMS, 0):
		return fmt.Errorf("since_ms: %v is negative or not finite", e.SinceMS)
	case e.SinceMS*float64(time.Millisecond) > float64(now+maxClockSkew):
		return fmt.Errorf("since_ms: %.0f lies in the future", e.SinceMS)
	}
	if e.State == stateGone {
		return nil // the address is not used any more
	}
	if e.Address != "" {
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return fmt.Errorf("address: %q is not an IP address and port", e.Address)
		}
	}
	return nil
}

// workerListing converts an entry to the type of the core. An invalid weight counts as 1.
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
func (d *Discovery) rejectEntry(i int, e Endpoint, err error) {
	d.rejectedEntries++
	slog.Warn("pool config: entry rejected", "entry", i, "destination", e.Name, "fault", err, "in_all", d.rejectedEntries)
}

// RejectedEntries returns the number of entries rejected since the start.
func (d *Discovery) RejectedEntries() uint64 { return d.rejectedEntries }

// publish passes a list first to Destinations, which needs the addresses, and then to the core.
func (d *Discovery) publish(kind balance.ListKind, list EndpointList) {
	update := balance.ListUpdate{Kind: kind, Version: list.Version, Workers: make([]balance.WorkerListing, 0, len(list.Entries))}
	listed, seen := map[balance.WorkerID]bool{}, map[string]bool{}
	for i, entry := range list.Entries {
		err := entry.validate(d.loop.Now())
		if err == nil && kind != balance.ListChanges && seen[entry.Name] {
			err = errNameDuplicate // in a list of changes a later entry replaces an earlier one
		}
		if err != nil {
			d.rejectEntry(i, entry, err)
			if id := workerIDOf(entry.Name); kind != balance.ListChanges && !seen[entry.Name] && d.names[id] == entry.Name {
				if l, ok := d.listed[id]; ok { // an invalid entry does not remove the destination
					listed[id] = true
					update.Workers = append(update.Workers, d.effective(id, l))
				}
			}
			continue
		}
		seen[entry.Name] = true
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

// workerID returns a destination's ID and records its name. The ID is a hash of the name and
// the same at every node, since the balancers use it in messages to each other.
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

// indexOf returns the index of a name in a list, or the length of the list if it is missing.
func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return len(names)
}
