package registry

import (
	"sort"
	"time"
)

// silence sorts the instances of one service for the expiry.
type silence struct {
	live     int      // ready, registered, and not being removed
	silent   []string // of those, the ones not heard for a span
	draining []string // draining ones not heard for a span
	again    []string // removals that were proposed a span ago and are not applied
}

// Expired returns the commands to propose for instances that fell silent. It is to be called
// several times in each StallGap.
//
// Of the ready instances of a service at most half expire within ShareWindow. Where more are
// silent, none of them expires: the fault may be on this side. Draining instances, which are not
// sent to, expire regardless.
func (o *Owner) Expired(now time.Time) [][]byte {
	if !o.owned {
		return nil
	}
	now = o.arrive(now)
	if now.Before(o.quietUntil) {
		return nil
	}
	byService := o.silences(now)
	services := make([]string, 0, len(byService))
	for service := range byService {
		services = append(services, service)
	}
	sort.Strings(services)
	commands := [][]byte{}
	for _, service := range services {
		for _, id := range o.expire(now, service, byService[service]) {
			commands = append(commands, EncodeRemove(id, Expired, o.instances[id].sequence))
		}
	}
	return commands
}

// silences sorts all instances and forgets those that were never recorded.
func (o *Owner) silences(now time.Time) map[string]*silence {
	byService := map[string]*silence{}
	for id, held := range o.instances {
		silent := now.Sub(held.heard) >= o.span
		if !held.registered {
			if silent {
				delete(o.instances, id)
			}
			continue
		}
		found := byService[held.service]
		if found == nil {
			found = &silence{}
			byService[held.service] = found
		}
		o.sort(now, id, held, silent, found)
	}
	return byService
}

// sort puts one registered instance in its place.
func (o *Owner) sort(now time.Time, id string, held *presence, silent bool, into *silence) {
	switch {
	case held.removing:
		if silent && now.Sub(held.proposed) >= o.span {
			into.again = append(into.again, id)
		}
	case held.state == Draining:
		if silent {
			into.draining = append(into.draining, id)
		}
	default:
		into.live++
		if silent {
			into.silent = append(into.silent, id)
		}
	}
}

// expire returns the IDs of a service to remove, and notes that their removal is proposed.
func (o *Owner) expire(now time.Time, service string, found *silence) []string {
	recent := o.recent(now, service)
	chosen := append(found.draining, found.again...)
	total := found.live + recent
	if 2*(recent+len(found.silent)) <= total {
		chosen = append(chosen, found.silent...)
		o.count(now, service, found.silent)
	}
	for _, id := range chosen {
		o.instances[id].removing = true
		o.instances[id].proposed = now
	}
	sort.Strings(chosen)
	return chosen
}

// recent returns how many instances of a service expired within the window.
func (o *Owner) recent(now time.Time, service string) int {
	times := o.expired[service]
	for id, at := range times {
		if now.Sub(at) > o.options.ShareWindow {
			delete(times, id)
		}
	}
	return len(times)
}

// count notes the expiry of instances of a service.
func (o *Owner) count(now time.Time, service string, ids []string) {
	if len(ids) == 0 {
		return
	}
	if o.expired[service] == nil {
		o.expired[service] = map[string]time.Time{}
	}
	for _, id := range ids {
		o.expired[service][id] = now
	}
}
