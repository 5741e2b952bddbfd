package history

import "time"

// ViewDelay is the time from the acknowledgement of a change until an agent's view showed it or a later one.
type ViewDelay struct {
	Delay     time.Duration // 0 if the view showed it before the acknowledgement
	InContact bool          // the agent was in contact for the whole delay
}

// ViewDelays returns the delay of each acknowledged change at each agent. It omits changes that an agent had not shown by the end
// of the run, because the run may have ended shortly after the acknowledgement.
func (h History) ViewDelays() []ViewDelay {
	var delays []ViewDelay
	for agent := range h.Agents {
		spans := h.InContact(agent)
		for _, operation := range h.Operations {
			if operation.Kind == Read || operation.Outcome != Acknowledged {
				continue
			}
			shown, found := h.shownAt(agent, operation.Generation)
			if !found {
				continue
			}
			delay := max(0, shown-operation.Return)
			delays = append(delays, ViewDelay{Delay: delay, InContact: covers(spans, operation.Return, operation.Return+delay)})
		}
	}
	return delays
}

// shownAt returns the time at which the agent first showed the generation or a later one.
func (h History) shownAt(agent int, generation uint64) (time.Duration, bool) {
	for _, view := range h.Views {
		if view.Agent == agent && view.Generation >= generation {
			return view.At, true
		}
	}
	return 0, false
}
