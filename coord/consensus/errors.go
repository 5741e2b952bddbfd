package consensus

import "errors"

// Errors of proposals, reads, membership changes and leadership transfers. A call that returns one of them
// has appended and started nothing.
var (
	// ErrNotLeader is returned by a member that is not the leader, or that stepped down because no
	// majority has answered it within the election timeout.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrTransferInProgress is returned while the leader transfers its leadership. The caller may try
	// again at the new leader.
	ErrTransferInProgress = errors.New("consensus: a leadership transfer is in progress")
	// ErrTooManyUncommitted is returned for a proposal while the bound of entries or bytes that wait for a
	// majority is reached. The caller may try again later.
	ErrTooManyUncommitted = errors.New("consensus: too many uncommitted entries")
	// ErrMembershipChange is returned for a membership change that is not allowed, now or at all.
	ErrMembershipChange = errors.New("consensus: a membership change is in progress or not allowed")
	// ErrNoTransferTarget is returned if no other voter can take over leadership, or not the one asked for.
	ErrNoTransferTarget = errors.New("consensus: no voter can take over leadership")
)

// Errors of states that must not occur.
var (
	// ErrInvalidState is returned by PersistedState.Check, wrapped with what is wrong.
	ErrInvalidState = errors.New("consensus: invalid persisted state")
	// ErrCommittedConflict is the value, wrapped, that Step panics with if a leader's entry conflicts
	// with a committed one: the group's logs have diverged and the member must not go on.
	ErrCommittedConflict = errors.New("consensus: conflict with a committed entry")
)
