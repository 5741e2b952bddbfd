package history

import (
	"fmt"
	"sort"
	"time"
)

// viewsByAgent returns the views of each agent, sorted by time.
func (h History) viewsByAgent() [][]View {
	views := make([][]View, h.Agents)
	for _, view := range h.Views {
		views[view.Agent] = append(views[view.Agent], view)
	}
	return views
}

// viewAt returns the view in effect at the given time. It returns false before the first view.
func viewAt(views []View, at time.Duration) (View, bool) {
	after := sort.Search(len(views), func(i int) bool { return views[i].At > at })
	if after == 0 {
		return View{}, false
	}
	return views[after-1], true
}

// checkFreshViews finds agents in contact whose view lacks a change that was acknowledged at least Bounds.ConfigApply before.
func checkFreshViews(history History) []Violation {
	var found []Violation
	for agent, views := range history.viewsByAgent() {
		spans := history.InContact(agent)
		for _, order := range history.Operations {
			if order.Kind == Read || order.Outcome != Acknowledged {
				continue
			}
			for _, span := range spans {
				at := max(span.From, order.Return+history.Bounds.ConfigApply)
				if at >= span.To {
					continue
				}
				if shown, _ := viewAt(views, at); shown.Generation < order.Generation {
					found = append(found, Violation{Check: CheckFreshViews, At: at,
						Text: fmt.Sprintf("agent %d shows generation %d although in contact since %v; acknowledged: %v", agent, shown.Generation, span.From, order)})
				}
			}
		}
	}
	return found
}

// checkMonotonicViews finds agents whose generation decreases within an incarnation.
func checkMonotonicViews(h History) []Violation {
	var found []Violation
	for agent, views := range h.viewsByAgent() {
		for i := 1; i < len(views); i++ {
			before, after := views[i-1], views[i]
			if before.Incarnation == after.Incarnation && after.Generation < before.Generation {
				found = append(found, Violation{Check: CheckMonotonicViews, At: after.At,
					Text: fmt.Sprintf("agent %d went back from generation %d (shown at %v) to %d in incarnation %d", agent, before.Generation, before.At, after.Generation, after.Incarnation)})
			}
		}
	}
	return found
}
