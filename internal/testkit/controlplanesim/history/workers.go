package history

import (
	"fmt"
	"sort"
	"time"
)

// presenceLog is what one agent's views show of each worker over time.
type presenceLog map[string][]Presence

// presencesByAgent sorts the presences by agent and worker.
func (h History) presencesByAgent() []presenceLog {
	all := make([]presenceLog, h.Agents)
	for agent := range all {
		all[agent] = presenceLog{}
	}
	for _, presence := range h.Presences {
		one := all[presence.Agent]
		one[presence.Instance] = append(one[presence.Instance], presence)
	}
	return all
}

// stateAt returns how the worker is shown at the time.
func (s presenceLog) stateAt(instance string, at time.Duration) State {
	changes := s[instance]
	after := sort.Search(len(changes), func(i int) bool { return changes[i].At > at })
	if after == 0 {
		return Absent
	}
	return changes[after-1].State
}

// checkDepartures finds workers that are shown as ready though their drain or departure was acknowledged Drain ago and
// the agent is in contact, and those that become ready again within an incarnation after they were draining.
func checkDepartures(history History) []Violation {
	var found []Violation
	for agent, presences := range history.presencesByAgent() {
		spans := history.InContact(agent)
		for _, departure := range history.Departures {
			if departure.Acknowledged == 0 {
				continue
			}
			if at, forgotten := presences.readyAfter(departure.Instance, spans, departure.Acknowledged+history.Bounds.Drain); forgotten {
				found = append(found, Violation{Check: CheckDepartures, At: at,
					Text: fmt.Sprintf("agent %d shows %s as ready; its departure was acknowledged at %v", agent, departure.Instance, departure.Acknowledged)})
			}
		}
		found = append(found, presences.readyAgain(agent)...)
	}
	return found
}

// readyAfter finds a time in the spans, not before the earliest one, at which the worker is shown as ready.
func (s presenceLog) readyAfter(instance string, spans []Span, earliest time.Duration) (time.Duration, bool) {
	for _, span := range spans {
		from := max(span.From, earliest)
		if from >= span.To {
			continue
		}
		if s.stateAt(instance, from) == Ready {
			return from, true
		}
		for _, change := range s[instance] {
			if change.State == Ready && from <= change.At && change.At < span.To {
				return change.At, true
			}
		}
	}
	return 0, false
}

// readyAgain finds workers that were draining and are ready again in the same incarnation of the agent.
func (s presenceLog) readyAgain(agent int) []Violation {
	var found []Violation
	for instance, changes := range s {
		drained := map[int]bool{}
		for _, change := range changes {
			if change.State == Draining {
				drained[change.Incarnation] = true
			}
			if change.State == Ready && drained[change.Incarnation] {
				found = append(found, Violation{Check: CheckDepartures, At: change.At, Text: fmt.Sprintf("agent %d shows %s as ready after it was draining", agent, instance)})
			}
		}
	}
	return found
}

// checkRegistrations finds agents that were in contact since a worker's heartbeat was acknowledged and do not show the
// worker Registration later, though it has not begun to leave.
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
			if left && from <= at || at >= until || !covers(spans, heartbeat.At, at) {
				continue
			}
			if presences.stateAt(heartbeat.Instance, at) == Absent {
				found = append(found, Violation{Check: CheckRegistration, At: at,
					Text: fmt.Sprintf("agent %d does not show %s, whose heartbeat was acknowledged at %v", agent, heartbeat.Instance, heartbeat.At)})
			}
		}
	}
	return found
}
