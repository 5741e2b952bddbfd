package replica

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
)

// NotLeaderError rejects a call that only the leader can serve. The proposal or change is not in the log and never will be.
// Callers use errors.As with a value, not a pointer, of this type, and forward the call to Leader.
type NotLeaderError struct {
	Leader consensus.Member // ID 0: unknown
}

// Error names the leader's address if it is known.
func (e NotLeaderError) Error() string {
	if e.Leader.ID == 0 {
		return "replica: not the leader, and none is known"
	}
	return fmt.Sprintf("replica: not the leader; it is %s", e.Leader.Address)
}

// Errors of a group's calls, besides those of the consensus core.
var (
	// ErrUnknownOutcome means that the proposal may be committed, now or later, or may be lost.
	ErrUnknownOutcome = errors.New("replica: the outcome of the proposal is unknown")
	// ErrClosed means that the group is closed. What was proposed before may still be committed by other members.
	ErrClosed = errors.New("replica: the group is closed")
	// ErrDiskStalled means that the disk has not completed a write, so that the group's files are still open.
	ErrDiskStalled = errors.New("replica: the disk has not completed a write")
	// ErrTransferFailed means that no other member took over leadership in time.
	ErrTransferFailed = errors.New("replica: no other member took over leadership in time")
)
