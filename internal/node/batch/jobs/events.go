package jobs

import (
	"strconv"
	"strings"

	"ospreybend/drmaa"
)

// stream holds a tenant's latest events and its followers. Its size is bounded independently of the
// readers' speed: a slow reader misses events and learns how many.
type stream struct {
	first     uint64 // sequence number of events[0]
	events    []drmaa.Event
	followers map[*follower]bool
}

// follower is a client that is notified of new events; see Follow.
type follower struct{ wake func() }

// stream returns a tenant's stream, which is created if it does not exist.
func (m *Manager) stream(tenant string) *stream {
	s := m.streams[tenant]
	if s == nil {
		s = &stream{first: 1, followers: map[*follower]bool{}}
		m.streams[tenant] = s
	}
	return s
}

// publish appends an event of the given kind to the stream of the job's tenant. machine may be
// empty.
func (m *Manager) publish(job *Job, kind, machine string) {
	if !job.recorded {
		return // its submission has not been acknowledged yet
	}
	stream := m.stream(job.Tenant)
	if maxEvents := m.config.MaxEvents; len(stream.events) >= maxEvents {
		n := max(maxEvents/4, 1) // drop a quarter at once to amortize the copy
		retained := make([]drmaa.Event, len(stream.events)-n, maxEvents)
		copy(retained, stream.events[n:])
		stream.events, stream.first = retained, stream.first+uint64(n)
	}
	event := drmaa.Event{Seq: stream.first + uint64(len(stream.events)), Time: drmaa.FormatTime(m.unixNow()), Event: kind, Session: job.Session,
		Job: job.ID, State: job.State, Machine: machine}
	if job.State.Final() {
		event.SubState = job.Reason
	}
	stream.events = append(stream.events, event)
	for f := range stream.followers {
		f.wake()
	}
}

// Events returns up to limit events of a session after a cursor. An empty cursor means the end of
// the stream, "oldest" the oldest retained event. For a cursor from an earlier run of the program
// the number of missed events is unknown and reported as -1.
func (m *Manager) Events(t *TenantState, session, cursor string, limit int) (*drmaa.Events, *drmaa.Error) {
	s := m.stream(t.Name)
	next := s.first + uint64(len(s.events)) // sequence number of the next event
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

// Follow calls wake for each new event of a tenant until leave is called.
func (m *Manager) Follow(t *TenantState, wake func()) (leave func()) {
	s := m.stream(t.Name)
	f := &follower{wake}
	s.followers[f] = true
	return func() { delete(s.followers, f) }
}
