package consensus

import (
	"errors"
)

// Errors of proposals.
var (
	ErrNotLeader          = errors.New("agreement: not the leader")
	ErrTransferInProgress = errors.New("agreement: leadership is being handed over")
	ErrTooManyUncommitted = errors.New("agreement: too many entries are waiting for a majority")
	ErrMembershipChange   = errors.New("agreement: a change of members is under way or not allowed")
	ErrNoTransferTarget   = errors.New("agreement: no other voter can take over leadership")
)

// Errors of states that must never be.
var (
	ErrInvalidState      = errors.New("agreement: stored state cannot be used")
	ErrCommittedConflict = errors.New("agreement: a leader's entry conflicts with a committed one")
)
