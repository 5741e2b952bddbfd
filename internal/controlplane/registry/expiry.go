package registry

import (
	"sort"
	"time"
)

// expiryCandidates are the registered instances of one service, by what their expiry depends on. The lists hold IDs of
// instances without a heartbeat for the time-out.
type expiryCandidates struct {
	ready         int      // ready instances whose removal is not pending, timed out or not
	timedOut      []string // those of them that timed out
	draining      []string // draining instances that timed out
	stuckRemovals []string // instances whose removal was proposed a time-out ago and is not applied
}

// Expired returns the removals to propose for instances that have sent no heartbeat for the time-out. It must be called
// several times in each StallGap.
//
// At most half of the ready instances of a service expire within ExpiryWindow. Where more have timed out, none of them
// expires, since the fault may be on the side of this server. Draining instances expire regardless: they get no requests.
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

// classifyInstances groups the registered instances by service, and drops timed-out ones that were never recorded.
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

// classify adds one registered instance to the candidates of its service.
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

// selectExpired returns the sorted IDs of a service's instances to remove, and marks their removal as pending.
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

// countRecentExpiries returns how many instances of a service expired within ExpiryWindow.
func (t *LivenessTracker) countRecentExpiries(now time.Time, service string) int {
	times := t.recentExpiries[service]
	for id, at := range times {
		if now.Sub(at) > t.options.ExpiryWindow {
			delete(times, id)
		}
	}
	return len(times)
}

// noteExpiries records when the removal of a service's instances was proposed.
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
