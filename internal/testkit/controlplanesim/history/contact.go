package history

import (
	"cmp"
	"slices"
	"time"
)

// Span is the half-open time interval [From, To).
type Span struct{ From, To time.Duration }

// InContact returns the spans in which the agent is in contact: no fault affected it and the core was stable for at least
// Bounds.Contact.
func (h History) InContact(agent int) []Span {
	var out []Span
	for _, fault := range h.Faults {
		if slices.Contains(fault.Agents, agent) {
			out = append(out, Span{From: fault.From, To: fault.To + h.Bounds.Contact})
		}
		out = append(out, h.unstableSpans(fault)...)
	}
	out = append(out, Span{To: h.Bounds.Contact})
	return complement(out, h.End)
}

// unstableSpans returns the spans in which the fault makes the core unstable.
func (h History) unstableSpans(fault Fault) []Span {
	switch {
	case !fault.Core:
		return nil
	case fault.Lasting:
		return []Span{{From: fault.From, To: fault.To + h.Bounds.Contact}}
	}
	return []Span{{From: fault.From, To: fault.From + h.Bounds.Contact}, {From: fault.To, To: fault.To + h.Bounds.Contact}}
}

// complement returns the spans between 0 and end that are not covered by any of the given spans.
func complement(covered []Span, end time.Duration) []Span {
	slices.SortFunc(covered, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	var free []Span
	position := time.Duration(0)
	for _, span := range covered {
		if span.From > position {
			free = append(free, Span{From: position, To: min(span.From, end)})
		}
		position = max(position, span.To)
		if position >= end {
			return free
		}
	}
	return append(free, Span{From: position, To: end})
}

// covers reports whether a single span contains both from and to, and so all the time in between.
func covers(spans []Span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(span Span) bool { return span.From <= from && to < span.To })
}
