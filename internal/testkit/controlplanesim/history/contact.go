package history

import (
	"cmp"
	"slices"
	"time"
)

// Span is a time from one instant until before another.
type Span struct{ From, To time.Duration }

// InContact returns the spans in which the agent is in contact: for Contact before, nothing was done to it and the core was stable.
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

// unstableSpans returns the spans in which a fault keeps the core from being stable.
func (h History) unstableSpans(fault Fault) []Span {
	switch {
	case !fault.Core:
		return nil
	case fault.Lasting:
		return []Span{{From: fault.From, To: fault.To + h.Bounds.Contact}}
	}
	return []Span{{From: fault.From, To: fault.From + h.Bounds.Contact}, {From: fault.To, To: fault.To + h.Bounds.Contact}}
}

// complement returns the spans up to end that none of those given covers.
func complement(covered []Span, end time.Duration) []Span {
	slices.SortFunc(covered, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	var free []Span
	at := time.Duration(0)
	for _, span := range covered {
		if span.From > at {
			free = append(free, Span{From: at, To: min(span.From, end)})
		}
		at = max(at, span.To)
		if at >= end {
			return free
		}
	}
	return append(free, Span{From: at, To: end})
}

// covers reports whether one of the spans holds all the time from one instant to the other.
func covers(spans []Span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(span Span) bool { return span.From <= from && to < span.To })
}
