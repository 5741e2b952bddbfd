package jobs

import (
	"strconv"
	"strings"

	"ospreybend/drmaa"
)

// stream has a tenant's last events and those who follow them. Its size is bounded, however slow
// the readers are: a slow reader misses events, and is told how many.
type stream struct {
	first     uint64 // the number of events[0]
	events    []drmaa.Event
	followers map[*follower]bool
}

// follower is a client that follows a stream; see Follow.
type follower struct{ wake func() }

// stream returns a tenant's stream.
func (m *Manager) stream(tenant string) *stream {
	s := m.streams[tenant]
	if s == nil {
		s = &stream{first: 1, followers: map[*follower]bool{}}
		m.streams[tenant] = s
	}
	return s
}

// publish adds an event to the stream of the job's owner.
func (m *Manager) publish(job *Job, what, machine string) {
	if !job.recorded {
		return // its submission is not acknowledged yet
	}
	stream := m.stream(job.Tenant)
	if maxEvents := m.config.MaxEvents; len(stream.events) >= maxEvents {
		n := max(maxEvents/4, 1) // a quarter at once, so that the copy costs little per event
		retained := make([]drmaa.Event, len(stream.events)-n, maxEvents)
		copy(retained, stream.events[n:])
		stream.events, stream.first = retained, stream.first+uint64(n)
	}
	event := drmaa.Event{Seq: stream.first + uint64(len(stream.events)), Time: drmaa.FormatTime(m.unixNow()), Event: what, Session: job.Session,
		Job: job.ID, State: job.State, Machine: machine}
	if job.State.Final() {
		event.SubState = job.Reason
	}
	stream.events = append(stream.events, event)
	for f := range stream.followers {
		f.wake()
	}
}

// Events returns up to limit events of a session after a cursor. An empty cursor is the present,
// "oldest" the oldest event retained. With a cursor of an earlier run of the program the number
// of missed events is unknown.
func (m *Manager) Events(t *TenantState, session, cursor string, limit int) (*drmaa.Events, *drmaa.Error) {
	s := m.stream(t.Name)
	next := s.first + uint64(len(s.events)) // the number that the next event will have
	out := &drmaa.Events{Events: []drmaa.Event{}}
	from := next
	switch epoch, digits, ok := strings.Cut(cursor, "-"); {
	case cursor == "":
	case cursor == "oldest":
		from = s.first
	case !ok:
		return nil, drmaa.InvalidArgumentError("cursor", "%q is no cursor of this stream", cursor)
	case epoch != m.streamEpoch:
		from, out.Missed = s.first, -1
	default:
		n, err := strconv.ParseUint(digits, 36, 64)
		if err != nil || n > next {
			return nil, drmaa.InvalidArgumentError("cursor", "%q is no cursor of this stream", cursor)
		}
		from = max(n, s.first)
		out.Missed = int64(from - n)
	}
	for ; from < next && len(out.Events) < limit; from++ {
		if e := s.events[from-s.first]; session == "" || e.Session == session {
			out.Events = append(out.Events, e)
		}
	}
	out.Cursor = m.streamEpoch + "-" + strconv.FormatUint(from, 36)
	return out, nil
}

// Follow has wake called for each new event of a tenant, until leave is called.
func (m *Manager) Follow(t *TenantState, wake func()) (leave func()) {
	s := m.stream(t.Name)
	f := &follower{wake}
	s.followers[f] = true
	return func() { delete(s.followers, f) }
}
