package history

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// presenceLog maps each worker to the changes of its state in one agent's view, sorted by time.
type presenceLog map[string][]Presence

// presencesByAgent returns the presence log of each agent.
func (h History) presencesByAgent() []presenceLog {
	all := make([]presenceLog, h.Agents)
	for agent := range all {
		all[agent] = presenceLog{}
	}
	for _, presence := range h.Presences {
		log := all[presence.Agent]
		log[presence.Instance] = append(log[presence.Instance], presence)
	}
	return all
}

// stateAt returns the state of the worker at the given time.
func (p presenceLog) stateAt(instance string, at time.Duration) State {
	changes := p[instance]
	after := sort.Search(len(changes), func(i int) bool { return changes[i].At > at })
	if after == 0 {
		return Absent
	}
	return changes[after-1].State
}

// checkDepartures finds workers that an agent in contact shows as ready although their drain or departure was acknowledged at
// least Bounds.Drain before. It also finds workers that become ready again after draining within one incarnation of the agent.
func checkDepartures(history History) []Violation {
	var found []Violation
	for agent, presences := range history.presencesByAgent() {
		spans := history.InContact(agent)
		for _, departure := range history.Departures {
			if departure.Acknowledged == 0 {
				continue
			}
			if at, ready := presences.firstReady(departure.Instance, spans, departure.Acknowledged+history.Bounds.Drain); ready {
				found = append(found, Violation{Check: CheckDepartures, At: at,
					Text: fmt.Sprintf("agent %d shows worker %s as ready; its departure was acknowledged at %v", agent, departure.Instance, departure.Acknowledged)})
			}
		}
		found = append(found, presences.readyAfterDraining(agent)...)
	}
	return found
}

// firstReady returns the first time within the spans, but not before earliest, at which the worker is shown as ready.
func (p presenceLog) firstReady(instance string, spans []Span, earliest time.Duration) (time.Duration, bool) {
	for _, span := range spans {
		from := max(span.From, earliest)
		if from >= span.To {
			continue
		}
		if p.stateAt(instance, from) == Ready {
			return from, true
		}
		for _, change := range p[instance] {
			if change.State == Ready && from <= change.At && change.At < span.To {
				return change.At, true
			}
		}
	}
	return 0, false
}

// readyAfterDraining finds workers that become ready again after draining within one incarnation of the agent.
func (p presenceLog) readyAfterDraining(agent int) []Violation {
	var found []Violation
	for instance, changes := range p {
		drained := map[int]bool{}
		for _, change := range changes {
			if change.State == Draining {
				drained[change.Incarnation] = true
			}
			if change.State == Ready && drained[change.Incarnation] {
				found = append(found, Violation{Check: CheckDepartures, At: change.At, Text: fmt.Sprintf("agent %d shows worker %s as ready after it was draining", agent, instance)})
			}
		}
	}
	return found
}

// checkRegistrations finds agents that do not show a worker Bounds.Registration after one of its heartbeats was acknowledged,
// although the agent was in contact all that time and the worker has not begun to leave and was neither paused nor cut off.
func checkRegistrations(history History) []Violation {
	leaving := map[string]time.Duration{}
	for _, departure := range history.Departures {
		leaving[departure.Instance] = departure.From
	}
	until := history.End
	if history.PresenceUntil > 0 {
		until = history.PresenceUntil
	}
	var found []Violation
	for agent, presences := range history.presencesByAgent() {
		spans := history.InContact(agent)
		for _, heartbeat := range history.Heartbeats {
			at := heartbeat.At + history.Bounds.Registration
			from, left := leaving[heartbeat.Instance]
			if left && from <= at || at >= until || !covers(spans, heartbeat.At, at) || history.isSilent(heartbeat.Instance, heartbeat.At, at) {
				continue
			}
			if presences.stateAt(heartbeat.Instance, at) == Absent {
				found = append(found, Violation{Check: CheckRegistration, At: at,
					Text: fmt.Sprintf("agent %d does not show worker %s, whose heartbeat was acknowledged at %v", agent, heartbeat.Instance, heartbeat.At)})
			}
		}
	}
	return found
}

// isSilent reports whether a worker was silent at some time between from and to.
func (h History) isSilent(instance string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Silences, func(one Silence) bool {
		return one.Instance == instance && one.From <= to && (one.To == 0 || from <= one.To)
	})
}
