package server

import (
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/replica"
)

// majorityContact detects when a replica loses contact with a majority of its group and when it regains it. Only the maintenance loop
// uses it.
type majorityContact struct {
	lastContact time.Time // time of the last contact; zero if there was none since the start
	lost        bool
}

// contactChange is the result of majorityContact.update.
type contactChange int

const (
	contactUnchanged contactChange = iota
	contactLost
	contactRegained
)

// update records the age of the last contact with a majority. The age is replica.NeverConfirmed if there was no contact in the current
// term; a new term by itself does not count as a loss. For contactLost and contactRegained, update also returns how long there was
// no contact.
func (m *majorityContact) update(now time.Time, age time.Duration) (change contactChange, outage time.Duration) {
	previousContact := m.lastContact
	if age != replica.NeverConfirmed && now.Add(-age).After(m.lastContact) {
		m.lastContact = now.Add(-age)
	}
	if m.lastContact.IsZero() {
		return contactUnchanged, 0
	}
	switch lost := now.Sub(m.lastContact) > contactLostAfter; {
	case lost && !m.lost:
		m.lost = true
		return contactLost, now.Sub(m.lastContact)
	case !lost && m.lost:
		m.lost = false
		return contactRegained, m.lastContact.Sub(previousContact)
	}
	return contactUnchanged, 0
}

// logMajorityContact logs when a replica has lost contact with a majority of its group, so that nothing can be committed or confirmed
// through it, and when it has regained contact.
func (s *Server) logMajorityContact(shard *shard, status replica.Status) {
	fields := []zap.Field{zap.Uint32("shard", uint32(shard.id)), zap.String("role", roleName(status.Role)), zap.Uint64("term", status.Term)}
	switch change, outage := shard.majority.update(s.environment.Now(), status.ConfirmedAge); change {
	case contactLost:
		s.logger.Warn("replica lost contact with a majority of its group", append(fields, zap.Duration("age", outage))...)
	case contactRegained:
		s.logger.Info("replica regained contact with a majority of its group", append(fields, zap.Duration("outage", outage))...)
	}
}
