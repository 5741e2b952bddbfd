package consensus

import "errors"

// Errors returned by proposals, reads, membership changes and leadership transfers. A call that returns one of
// them had no effect.
var (
	// ErrNotLeader is returned by a member that is not the leader, or that stepped down because no
	// majority of the voters responded within the election timeout.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrTransferInProgress is returned while the leader transfers its leadership. The caller may retry
	// with the new leader.
	ErrTransferInProgress = errors.New("consensus: a leadership transfer is in progress")
	// ErrTooManyUncommitted is returned for a proposal that would exceed the limit of uncommitted entries or
	// bytes. The caller may retry later.
	ErrTooManyUncommitted = errors.New("consensus: too many uncommitted entries")
	// ErrMembershipChange is returned for a membership change that is invalid or not allowed yet.
	ErrMembershipChange = errors.New("consensus: a membership change is in progress or not allowed")
	// ErrNoTransferTarget is returned if the requested member is not another voter, or if none was requested and
	// no other voter is responsive.
	ErrNoTransferTarget = errors.New("consensus: no voter can take over leadership")
)

// Errors that indicate corrupt or diverged state.
var (
	// ErrInvalidState is wrapped by the errors of PersistedState.Check.
	ErrInvalidState = errors.New("consensus: invalid persisted state")
	// ErrCommittedConflict is wrapped by the error that Step panics with if an entry from a leader conflicts
	// with a committed one: the group's logs have diverged and the member must stop.
	ErrCommittedConflict = errors.New("consensus: conflict with a committed entry")
)
