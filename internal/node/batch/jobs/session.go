package jobs

import (
	"context"
	"maps"
	"slices"

	"ospreybend/drmaa"
)

var sessionThere = &drmaa.Error{Status: 409, Name: drmaa.InvalidArgument, Attribute: "name", Message: "the session is there already"}

// Sessions returns a tenant's sessions by name.
func (m *Manager) Sessions(t *TenantState) []drmaa.Session {
	out := []drmaa.Session{}
	for _, name := range slices.Sorted(maps.Keys(t.sessions)) {
		out = append(out, t.sessions[name].View())
	}
	return out
}

// View is the session as its client sees it.
func (s *Session) View() drmaa.Session {
	return drmaa.Session{Name: s.Name, State: s.State, Unfinished: len(s.jobs)}
}

// SetSession creates, opens or closes a session. Where must is "create" it must
// not be there, where it is "exist" it must be; else it is made as needed.
func (m *Manager) SetSession(t *TenantState, name, state, must string, done func(*Session, *drmaa.Error)) {
	s := t.sessions[name]
	switch {
	case s != nil && s.State == SessionDestroying:
		done(nil, UnknownSession)
		return
	case s != nil && must == "create":
		done(nil, sessionThere)
		return
	case s == nil && must == "exist":
		done(nil, UnknownSession)
		return
	}
	if s == nil {
		// From here on, so that of two creations at once the second fails.
		s = t.session(name)
	}
	made := s
	record := SessionRecord{t.Name, name, state}
	if !m.keeper.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			s := t.sessions[name]
			switch {
			case err != nil:
				m.unmake(t, made)
				done(nil, Broken)
			case s != made || s.State == SessionDestroying:
				done(nil, UnknownSession)
			default:
				s.State, s.onRecord = state, true
				done(s, nil)
			}
		}) {
		m.unmake(t, made)
		done(nil, Behind)
	}
}

// unmake takes back a session that the store never got.
func (m *Manager) unmake(t *TenantState, s *Session) {
	if t.sessions[s.Name] == s && !s.onRecord && len(s.jobs) == 0 {
		delete(t.sessions, s.Name)
	}
}

// DestroySession ends a session with all that is in it: what has not ended is
// terminated, and then all its jobs are reaped. done is called after that.
func (m *Manager) DestroySession(t *TenantState, name string, done func(*drmaa.Error)) {
	s := t.sessions[name]
	if s == nil {
		done(UnknownSession)
		return
	}
	if s.State == SessionDestroying {
		s.closing = append(s.closing, done)
		return
	}
	was := s.State
	s.State = SessionDestroying // nothing new comes in from here on
	s.closing = append(s.closing, done)
	record := s.SessionRecord
	if !m.keeper.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			if err != nil {
				s.State = was
				s.closed(Broken)
				return
			}
			m.destroy(s)
		}) {
		s.State = was
		s.closed(Behind)
	}
}

func (s *Session) closed(e *drmaa.Error) {
	all := s.closing
	s.closing = nil
	for _, done := range all {
		done(e)
	}
}

// destroy terminates what is left in a session.
func (m *Manager) destroy(s *Session) {
	if len(s.jobs) == 0 {
		m.destroyed(s)
		return
	}
	for _, j := range byAge(s.jobs) {
		_ = m.Terminate(j) // what has ended in this moment needs no termination
	}
}

// destroyed removes a session whose last job has ended.
func (m *Manager) destroyed(s *Session) {
	if s.dropping {
		return // a session of the same name may be there before a second call
	}
	s.dropping = true
	again := func() {
		s.dropping = false
		m.due.Add(m.within(storeAgain), func() { m.destroyed(s) })
	}
	if !m.keeper.Call(func(ctx context.Context, store Store) error { return store.DropSession(ctx, s.Tenant, s.Name) },
		func(err error) {
			if err != nil {
				again()
				return
			}
			t := m.tenants[s.Tenant]
			if t.sessions[s.Name] == s {
				delete(t.sessions, s.Name)
			}
			for _, j := range m.jobs {
				if j.session == s {
					m.drop(j)
				}
			}
			for _, a := range m.arrays {
				if a.session == s {
					m.dropArray(a)
				}
			}
			for w := range s.waiters {
				m.finish(w, nil, UnknownSession)
			}
			s.closed(nil)
		}) {
		again()
	}
}
