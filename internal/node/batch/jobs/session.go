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

// View returns a session in the form of the API.
func (s *Session) View() drmaa.Session {
	return drmaa.Session{Name: s.Name, State: s.State, Unfinished: len(s.jobs)}
}

// SetSession creates, opens or closes a session. With requirement "create" the session must not
// exist, with "exist" it must; otherwise it is created if it does not exist.
func (m *Manager) SetSession(t *TenantState, name, state, requirement string, done func(*Session, *drmaa.Error)) {
	s := t.sessions[name]
	switch {
	case s != nil && s.State == SessionDestroying:
		done(nil, UnknownSession)
		return
	case s != nil && requirement == "create":
		done(nil, sessionExists)
		return
	case s == nil && requirement == "exist":
		done(nil, UnknownSession)
		return
	}
	if s == nil {
		// Created before it is stored, so that the second of two concurrent creations fails.
		s = t.session(name)
	}
	created := s
	record := SessionRecord{t.Name, name, state}
	if !m.store.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			s := t.sessions[name]
			switch {
			case err != nil:
				m.undoCreate(t, created)
				done(nil, StoreFailed)
			case s != created || s.State == SessionDestroying:
				done(nil, UnknownSession)
			default:
				s.State, s.recorded = state, true
				done(s, nil)
			}
		}) {
		m.undoCreate(t, created)
		done(nil, StoreQueueFull)
	}
}

// undoCreate removes a session that could not be stored.
func (m *Manager) undoCreate(t *TenantState, s *Session) {
	if t.sessions[s.Name] == s && !s.recorded && len(s.jobs) == 0 {
		delete(t.sessions, s.Name)
	}
}

// DestroySession terminates a session's unfinished jobs, reaps all its jobs and removes it, and then
// calls done.
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
	previous := s.State
	s.State = SessionDestroying // no further submissions
	s.destroyCallbacks = append(s.destroyCallbacks, done)
	record := s.SessionRecord
	if !m.store.Call(func(ctx context.Context, store Store) error { return store.PutSession(ctx, record) },
		func(err error) {
			if err != nil {
				s.State = previous
				s.notifyDestroyed(StoreFailed)
				return
			}
			m.destroy(s)
		}) {
		s.State = previous
		s.notifyDestroyed(StoreQueueFull)
	}
}

// notifyDestroyed calls the pending callbacks of DestroySession.
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
		_ = m.Terminate(job) // the only possible error is that the job has already ended
	}
}

// removeSession removes a session whose last job has ended. A failed write is retried.
func (m *Manager) removeSession(session *Session) {
	if session.removing {
		return // a second removal could delete a new session with the same name
	}
	session.removing = true
	retryLater := func() {
		session.removing = false
		m.timers.Add(m.fromNow(storeRetryDelay), func() { m.removeSession(session) })
	}
	if !m.store.Call(func(ctx context.Context, store Store) error {
		return store.DropSession(ctx, session.Tenant, session.Name)
	},
		func(err error) {
			if err != nil {
				retryLater()
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
		retryLater()
	}
}
