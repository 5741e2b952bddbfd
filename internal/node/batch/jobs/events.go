package jobs

import (
	"strconv"
	"strings"

	"ospreybend/drmaa"
)

// stream is a tenant's events: the last ones, and who follows them. It takes a
// bounded room whatever its readers do; what a slow reader has not fetched in
// time is dropped, and the reader is told how many.
type stream struct {
	first     uint64 // the number of events[0]
	events    []drmaa.Event
	followers map[*follower]bool
}

type follower struct{ wake func() }

func (m *Manager) stream(tenant string) *stream {
	s := m.streams[tenant]
	if s == nil {
		s = &stream{first: 1, followers: map[*follower]bool{}}
		m.streams[tenant] = s
	}
	return s
}

// tell puts an event into the stream of the job's owner.
func (m *Manager) tell(j *Job, what, machine string) {
	if !j.recorded {
		return // its owner does not know of it yet
	}
	s := m.stream(j.Tenant)
	if most := m.config.Events; len(s.events) >= most {
		n := max(most/4, 1) // a good part at once, so that each event costs little
		kept := make([]drmaa.Event, len(s.events)-n, most)
		copy(kept, s.events[n:])
		s.events, s.first = kept, s.first+uint64(n)
	}
	e := drmaa.Event{Seq: s.first + uint64(len(s.events)), Time: drmaa.Stamp(m.unixNow()), Event: what, Session: j.Session,
		Job: j.ID, State: j.State, Machine: machine}
	if j.State.Final() {
		e.SubState = j.Reason
	}
	s.events = append(s.events, e)
	for f := range s.followers {
		f.wake()
	}
}

// Events returns up to limit events of a session after a cursor. An empty cursor
// is the present, "oldest" the oldest event that is kept. A cursor of an earlier
// run of the program stands for events that are not known any more.
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
		return nil, drmaa.Bad("cursor", "%q is no cursor of this stream", cursor)
	case epoch != m.epoch:
		from, out.Missed = s.first, -1
	default:
		n, err := strconv.ParseUint(digits, 36, 64)
		if err != nil || n > next {
			return nil, drmaa.Bad("cursor", "%q is no cursor of this stream", cursor)
		}
		from = max(n, s.first)
		out.Missed = int64(from - n)
	}
	for ; from < next && len(out.Events) < limit; from++ {
		if e := s.events[from-s.first]; session == "" || e.Session == session {
			out.Events = append(out.Events, e)
		}
	}
	out.Cursor = m.epoch + "-" + strconv.FormatUint(from, 36)
	return out, nil
}

// Follow has wake called whenever a tenant has a new event, until leave is.
func (m *Manager) Follow(t *TenantState, wake func()) (leave func()) {
	s := m.stream(t.Name)
	f := &follower{wake}
	s.followers[f] = true
	return func() { delete(s.followers, f) }
}
