package jobs

import (
	"context"
	"maps"
	"slices"

	"ospreybend/drmaa"
)

var sessionExists = &drmaa.Error{Status: 409, Name: drmaa.InvalidArgument, Attribute: "name", Message: "the session is there already"}

// Sessions returns a tenant's sessions, sorted by name.
func (m *Manager) Sessions(t *TenantState) []drmaa.Session {
	out := []drmaa.Session{}
	for _, name := range slices.Sorted(maps.Keys(t.sessions)) {
		out = append(out, t.sessions[name].View())
	}
	return out
}

// View returns a session as its client sees it.
func (s *Session) View() drmaa.Session {
	return drmaa.Session{Name: s.Name, State: s.State, Unfinished: len(s.jobs)}
}

// SetSession creates, opens or closes a session. With must "create" it must not exist, with
// "exist" it must; else it is created if need be.
func (m *Manager) SetSession(t *TenantState, name, state, must string, done func(*Session, *drmaa.Error)) {
	s := t.sessions[name]
	switch {
	case s != nil && s.State == SessionDestroying:
		done(nil, UnknownSession)
		return
	case s != nil && must == "create":
		done(nil, sessionExists)
		return
	case s == nil && must == "exist":
		done(nil, UnknownSession)
		return
	}
	if s == nil {
		// Before it is recorded, so that of two concurrent creations the second fails.
		s = t.session(name)
	}
	made := s
	record := SessionRecord{t.Name, name, state}
	if !m.store.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			s := t.sessions[name]
			switch {
			case err != nil:
				m.undoCreate(t, made)
				done(nil, StoreFailed)
			case s != made || s.State == SessionDestroying:
				done(nil, UnknownSession)
			default:
				s.State, s.recorded = state, true
				done(s, nil)
			}
		}) {
		m.undoCreate(t, made)
		done(nil, StoreBehind)
	}
}

// undoCreate removes a session that could not be recorded.
func (m *Manager) undoCreate(t *TenantState, s *Session) {
	if t.sessions[s.Name] == s && !s.recorded && len(s.jobs) == 0 {
		delete(t.sessions, s.Name)
	}
}

// DestroySession terminates a session's unfinished jobs, reaps all its jobs and removes it. done
// is called after that.
func (m *Manager) DestroySession(t *TenantState, name string, done func(*drmaa.Error)) {
	s := t.sessions[name]
	if s == nil {
		done(UnknownSession)
		return
	}
	if s.State == SessionDestroying {
		s.destroyCallbacks = append(s.destroyCallbacks, done)
		return
	}
	was := s.State
	s.State = SessionDestroying // no further submissions
	s.destroyCallbacks = append(s.destroyCallbacks, done)
	record := s.SessionRecord
	if !m.store.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			if err != nil {
				s.State = was
				s.notifyDestroyed(StoreFailed)
				return
			}
			m.destroy(s)
		}) {
		s.State = was
		s.notifyDestroyed(StoreBehind)
	}
}

// notifyDestroyed calls the callbacks of DestroySession.
func (s *Session) notifyDestroyed(e *drmaa.Error) {
	all := s.destroyCallbacks
	s.destroyCallbacks = nil
	for _, done := range all {
		done(e)
	}
}

// destroy terminates a session's unfinished jobs, or removes it if there are none.
func (m *Manager) destroy(s *Session) {
	if len(s.jobs) == 0 {
		m.removeSession(s)
		return
	}
	for _, job := range byAge(s.jobs) {
		_ = m.Terminate(job) // its error is that the job has just ended
	}
}

// removeSession removes a session whose last job has ended. A failed write is retried.
func (m *Manager) removeSession(session *Session) {
	if session.removing {
		return // after a second call a new session of the same name could be removed
	}
	session.removing = true
	again := func() {
		session.removing = false
		m.timers.Add(m.fromNow(storeRetryDelay), func() { m.removeSession(session) })
	}
	if !m.store.Call(func(ctx context.Context, store Store) error {
		return store.DropSession(ctx, session.Tenant, session.Name)
	},
		func(err error) {
			if err != nil {
				again()
				return
			}
			t := m.tenants[session.Tenant]
			if t.sessions[session.Name] == session {
				delete(t.sessions, session.Name)
			}
			for _, job := range m.jobs {
				if job.session == session {
					m.forget(job)
				}
			}
			for _, a := range m.arrays {
				if a.session == session {
					m.forgetArray(a)
				}
			}
			for w := range session.waiters {
				m.endWait(w, nil, UnknownSession)
			}
			session.notifyDestroyed(nil)
		}) {
		again()
	}
}
