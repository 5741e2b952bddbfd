package registry

import (
	"sort"
	"time"
)

// expiryCandidates sorts the instances of one service for the expiry.
type expiryCandidates struct {
	ready         int      // ready, registered, and not being removed
	timedOut      []string // of those, the ones not heard for a span
	draining      []string // draining ones not heard for a span
	stuckRemovals []string // removals that were proposed a span ago and are not applied
}

// Expired returns the commands to propose for instances that fell silent. It is to be called
// several times in each StallGap.
//
// Of the ready instances of a service at most half expire within ShareWindow. Where more are
// silent, none of them expires: the fault may be on this side. Draining instances, which are not
// sent to, expire regardless.
func (t *LivenessTracker) Expired(now time.Time) [][]byte {
	if !t.owned {
		return nil
	}
	now = t.advanceClock(now)
	if now.Before(t.graceUntil) {
		return nil
	}
	byService := t.classifyInstances(now)
	services := make([]string, 0, len(byService))
	for service := range byService {
		services = append(services, service)
	}
	sort.Strings(services)
	commands := [][]byte{}
	for _, service := range services {
		for _, id := range t.selectExpired(now, service, byService[service]) {
			commands = append(commands, EncodeRemove(id, Expired, t.instances[id].sequence))
		}
	}
	return commands
}

// classifyInstances sorts all instances and forgets those that were never recorded.
func (t *LivenessTracker) classifyInstances(now time.Time) map[string]*expiryCandidates {
	byService := map[string]*expiryCandidates{}
	for id, liveness := range t.instances {
		timedOut := now.Sub(liveness.lastHeartbeat) >= t.timeout
		if !liveness.registered {
			if timedOut {
				delete(t.instances, id)
			}
			continue
		}
		candidates := byService[liveness.service]
		if candidates == nil {
			candidates = &expiryCandidates{}
			byService[liveness.service] = candidates
		}
		t.classify(now, id, liveness, timedOut, candidates)
	}
	return byService
}

// classify puts one registered instance in its place.
func (t *LivenessTracker) classify(now time.Time, id string, liveness *instanceLiveness, timedOut bool, into *expiryCandidates) {
	switch {
	case liveness.removalPending:
		if timedOut && now.Sub(liveness.removalProposedAt) >= t.timeout {
			into.stuckRemovals = append(into.stuckRemovals, id)
		}
	case liveness.state == Draining:
		if timedOut {
			into.draining = append(into.draining, id)
		}
	default:
		into.ready++
		if timedOut {
			into.timedOut = append(into.timedOut, id)
		}
	}
}

// selectExpired returns the IDs of a service to remove, and notes that their removal is proposed.
func (t *LivenessTracker) selectExpired(now time.Time, service string, candidates *expiryCandidates) []string {
	recentCount := t.countRecentExpiries(now, service)
	chosen := append(candidates.draining, candidates.stuckRemovals...)
	total := candidates.ready + recentCount
	if 2*(recentCount+len(candidates.timedOut)) <= total {
		chosen = append(chosen, candidates.timedOut...)
		t.noteExpiries(now, service, candidates.timedOut)
	}
	for _, id := range chosen {
		t.instances[id].removalPending = true
		t.instances[id].removalProposedAt = now
	}
	sort.Strings(chosen)
	return chosen
}

// countRecentExpiries returns how many instances of a service expired within the window.
func (t *LivenessTracker) countRecentExpiries(now time.Time, service string) int {
	times := t.recentExpiries[service]
	for id, at := range times {
		if now.Sub(at) > t.options.ExpiryWindow {
			delete(times, id)
		}
	}
	return len(times)
}

// noteExpiries notes the expiry of instances of a service.
func (t *LivenessTracker) noteExpiries(now time.Time, service string, ids []string) {
	if len(ids) == 0 {
		return
	}
	if t.recentExpiries[service] == nil {
		t.recentExpiries[service] = map[string]time.Time{}
	}
	for _, id := range ids {
		t.recentExpiries[service][id] = now
	}
}
