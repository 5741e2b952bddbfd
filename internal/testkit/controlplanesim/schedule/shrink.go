package schedule

import (
	"slices"
	"time"
)

// minSpan is the resolution of shortened times; a time below twice this value is not shortened further.
const minSpan = 10 * time.Millisecond

// Shrink returns a smaller schedule for which fails still returns true. It first removes events, then removes slots, lowers counts
// and shortens times. It returns s itself if fails(s) is false.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	if !fails(s) {
		return s
	}
	for {
		shrunk := dropEvents(s, fails)
		shrunk = shrinkEvents(shrunk, fails)
		shrunk = shrinkCounts(shrunk, fails)
		if len(shrunk.Events) == len(s.Events) {
			return shrunk
		}
		s = shrunk
	}
}

// dropEvents removes runs of consecutive events, long runs first, by delta debugging.
func dropEvents(s Schedule, fails func(Schedule) bool) Schedule {
	for size := (len(s.Events) + 1) / 2; size > 0; size /= 2 {
		for start := 0; start < len(s.Events); {
			candidate := s
			candidate.Events = slices.Delete(slices.Clone(s.Events), start, min(start+size, len(s.Events)))
			if fails(candidate) {
				s = candidate
			} else {
				start += size
			}
		}
	}
	return s
}

// shrinkEvents simplifies each event as long as the schedule still fails.
func shrinkEvents(schedule Schedule, fails func(Schedule) bool) Schedule {
	for i := range schedule.Events {
		for improved := true; improved; {
			improved = false
			for _, smaller := range smallerEvents(schedule.Events[i]) {
				candidate := schedule
				candidate.Events = slices.Clone(schedule.Events)
				candidate.Events[i] = smaller
				if fails(candidate) {
					schedule, improved = candidate, true
					break
				}
			}
		}
	}
	return schedule
}

// smallerEvents returns the events that are one step simpler than the given one.
func smallerEvents(event Event) []Event {
	var smaller []Event
	add := func(change func(*Event)) {
		changed := event
		change(&changed)
		smaller = append(smaller, changed)
	}
	if event.Count > 1 {
		add(func(e *Event) { e.Count = event.Count / 2 })
		add(func(e *Event) { e.Count = event.Count - 1 })
	}
	if event.Duration >= 2*minSpan {
		add(func(e *Event) { e.Duration = (event.Duration / 2).Round(minSpan) })
	}
	if event.Delay > 0 {
		add(func(e *Event) { e.Delay = 0 })
	}
	if event.Leader {
		add(func(e *Event) { e.Leader = false })
	}
	if event.Restart {
		add(func(e *Event) { e.Restart = false })
	}
	for _, indexes := range []func(*Event) *[]int{
		func(e *Event) *[]int { return &e.Servers },
		func(e *Event) *[]int { return &e.Agents },
		func(e *Event) *[]int { return &e.Operators },
		func(e *Event) *[]int { return &e.Workers },
	} {
		all := *indexes(&event)
		for i := range all {
			if len(all) > 1 {
				add(func(e *Event) { *indexes(e) = slices.Delete(slices.Clone(all), i, i+1) })
			}
		}
	}
	return smaller
}

// shrinkCounts lowers the numbers of agents, operators and workers, and the length, as far as the events permit.
func shrinkCounts(s Schedule, fails func(Schedule) bool) Schedule {
	for improved := true; improved; {
		improved = false
		for _, smaller := range smallerCounts(s) {
			if smaller.Check() == nil && fails(smaller) {
				s, improved = smaller, true
				break
			}
		}
	}
	return s
}

// smallerCounts returns the schedules that have one agent, operator or worker less, half of the state, or a shorter length.
func smallerCounts(schedule Schedule) []Schedule {
	var smaller []Schedule
	for _, count := range []func(*Schedule) *int{
		func(s *Schedule) *int { return &s.Agents },
		func(s *Schedule) *int { return &s.Operators },
		func(s *Schedule) *int { return &s.Workers },
	} {
		if *count(&schedule) > 1 {
			changed := schedule
			*count(&changed)--
			smaller = append(smaller, changed)
		}
	}
	for _, size := range []func(*Schedule) *int{
		func(s *Schedule) *int { return &s.Routes },
		func(s *Schedule) *int { return &s.Changes },
	} {
		if *size(&schedule) > 0 {
			changed := schedule
			*size(&changed) /= 2
			smaller = append(smaller, changed)
		}
	}
	last := time.Duration(0)
	if len(schedule.Events) > 0 {
		last = schedule.Events[len(schedule.Events)-1].At
	}
	if schedule.Length > last+time.Second {
		changed := schedule
		changed.Length = last + time.Second
		smaller = append(smaller, changed)
	}
	return smaller
}
