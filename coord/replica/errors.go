package replica

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
)

// NotLeaderError rejects a call that only the leader can serve. A proposal or membership change is not in the log and never
// will be, so the caller may forward it to Leader. Use errors.As with a target of this type, not of a pointer to it.
type NotLeaderError struct {
	Leader consensus.Member // its ID is 0 if the leader is unknown
}

// Error names the leader's address if it is known.
func (e NotLeaderError) Error() string {
	if e.Leader.ID == 0 {
		return "replica: this member is not the leader, and the leader is unknown"
	}
	return fmt.Sprintf("replica: this member is not the leader; the leader is at %s", e.Leader.Address)
}

// Errors returned by Group, in addition to those of package consensus.
var (
	// ErrUnknownOutcome means that the proposal may already be committed, may be committed later, or may be lost.
	ErrUnknownOutcome = errors.New("replica: the outcome of the proposal is unknown")
	// ErrClosed means that the group is closed. Earlier proposals may still be committed by the other members.
	ErrClosed = errors.New("replica: the group is closed")
	// ErrDiskStalled means that a write has not completed, so that the group's files are still open.
	ErrDiskStalled = errors.New("replica: the disk has not completed a write; the group's files are still open")
	// ErrTransferFailed means that no other member took over leadership in time.
	ErrTransferFailed = errors.New("replica: no other member took over leadership in time")
)
