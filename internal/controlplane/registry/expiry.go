package registry

import (
	"sort"
	"time"
)

// expiryCandidates groups the registered instances of one service by the conditions of their expiry. The lists contain the
// IDs of instances that have sent no heartbeat within the timeout.
type expiryCandidates struct {
	readyCount      int      // number of ready instances without a pending removal, whether timed out or not
	timedOut        []string // ready instances without a pending removal that timed out
	draining        []string // draining instances that timed out
	overdueRemovals []string // instances whose removal was proposed at least a timeout ago and is not applied yet
}

// Expired returns the commands to propose that remove the instances that have sent no heartbeat within the timeout. It must
// be called several times per StallGap.
//
// At most half of the ready instances of a service expire within ExpiryWindow. If more have timed out, none of them
// expires, since the fault may be with this server. Draining instances expire regardless, because they get no requests.
func (t *LivenessTracker) Expired(now time.Time) [][]byte {
	if !t.owned {
		return nil
	}
	now = t.advanceClock(now)
	if now.Before(t.graceUntil) {
		return nil
	}
	byService := t.collectCandidates(now)
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

// collectCandidates groups the registered instances by service, and drops timed-out instances that were never recorded.
func (t *LivenessTracker) collectCandidates(now time.Time) map[string]*expiryCandidates {
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
		t.addCandidate(now, id, liveness, timedOut, candidates)
	}
	return byService
}

// addCandidate adds a registered instance to the candidates of its service.
func (t *LivenessTracker) addCandidate(now time.Time, id string, liveness *instanceLiveness, timedOut bool, candidates *expiryCandidates) {
	switch {
	case liveness.removalPending:
		if timedOut && now.Sub(liveness.removalProposedAt) >= t.timeout {
			candidates.overdueRemovals = append(candidates.overdueRemovals, id)
		}
	case liveness.state == Draining:
		if timedOut {
			candidates.draining = append(candidates.draining, id)
		}
	default:
		candidates.readyCount++
		if timedOut {
			candidates.timedOut = append(candidates.timedOut, id)
		}
	}
}

// selectExpired returns the sorted IDs of the instances of a service to remove, and marks their removal as pending.
func (t *LivenessTracker) selectExpired(now time.Time, service string, candidates *expiryCandidates) []string {
	recentCount := t.countRecentExpiries(now, service)
	chosen := append(candidates.draining, candidates.overdueRemovals...)
	total := candidates.readyCount + recentCount
	if 2*(recentCount+len(candidates.timedOut)) <= total {
		chosen = append(chosen, candidates.timedOut...)
		t.recordExpiries(now, service, candidates.timedOut)
	}
	for _, id := range chosen {
		t.instances[id].removalPending = true
		t.instances[id].removalProposedAt = now
	}
	sort.Strings(chosen)
	return chosen
}

// countRecentExpiries returns how many instances of a service expired within ExpiryWindow, and forgets older expiries.
func (t *LivenessTracker) countRecentExpiries(now time.Time, service string) int {
	expiredAt := t.recentExpiries[service]
	for id, at := range expiredAt {
		if now.Sub(at) > t.options.ExpiryWindow {
			delete(expiredAt, id)
		}
	}
	return len(expiredAt)
}

// recordExpiries records that the removal of these instances of a service is proposed now.
func (t *LivenessTracker) recordExpiries(now time.Time, service string, ids []string) {
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
