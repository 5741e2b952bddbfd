package replica

import (
	"errors"
	"fmt"

	"ospreybend/coord/consensus"
)

// NotLeaderError refuses a call that only the leader can take. The proposal or change that it answers
// is not in the log and never will be. Use errors.As with a value of this type.
type NotLeaderError struct {
	Leader consensus.Member // ID 0: unknown
}

func (e NotLeaderError) Error() string {
	if e.Leader.ID == 0 {
		return "replica: not the leader, and none is known"
	}
	return fmt.Sprintf("replica: not the leader; it is %s", e.Leader.Address)
}

// Errors of a group's calls.
var (
	// ErrUnknownOutcome: the proposal may be committed, now or later, or be lost.
	ErrUnknownOutcome = errors.New("replica: the outcome of the proposal is unknown")
	// ErrClosed: the group has ended. What was proposed before may still be committed by the others.
	ErrClosed = errors.New("replica: the group is closed")
	// ErrDiskStalled: the disk has not ended a write, so the group's files are still open.
	ErrDiskStalled = errors.New("replica: the disk has not ended a write")
	// ErrTransferFailed: leadership was not taken over in time.
	ErrTransferFailed = errors.New("replica: no other member took over leadership in time")
)
