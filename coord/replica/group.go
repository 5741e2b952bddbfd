// Package replica drives one replica group: it owns the group's agreement node, its state machine
// and its log on disk, and takes proposals, reads and changes of members from the process.
package replica

import (
	"context"

	"ospreybend/coord/agreement"
)

// Change adds or removes one member. A member that is added with Voter set where it already is a
// learner becomes a voter.
type Change struct {
	Add    *agreement.Member  // nil: none
	Remove agreement.MemberID // 0: none
}

// Group is the local replica of one group. All methods may be called by any goroutine.
type Group struct{}

// Open reads the group's disk, forms the group if Founders are given and the disk is empty, and
// restores the machine. Run must be called after it.
func Open(options Options) (*Group, error) { return &Group{}, nil }

// Run works until ctx ends or Close is called. Every waiting call then ends with ErrClosed.
func (g *Group) Run(ctx context.Context) {}

// Step takes a message of another member. It does not block; messages beyond a bound are dropped.
func (g *Group) Step(message agreement.Message) {}

// Propose adds a command to the log and returns the machine's result and the entry's index once it
// is committed and applied here. Errors: ErrNotLeader, ErrUnknownOutcome, ErrClosed,
// agreement.ErrBusy and agreement.ErrTransferring. All but ErrUnknownOutcome and ErrClosed mean
// that the command is not in the log and never will be.
func (g *Group) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	return nil, 0, ErrClosed
}

// ReadBarrier returns once the machine has applied all that was acknowledged, by any member, before
// the call. Only the leader can; errors: ErrNotLeader, ErrClosed and the context's.
func (g *Group) ReadBarrier(ctx context.Context) error { return ErrClosed }

// ChangeMembers returns once the change is committed and applied here. Errors: those of Propose and
// agreement.ErrMemberChange.
func (g *Group) ChangeMembers(ctx context.Context, change Change) error { return ErrClosed }

// Transfer hands leadership to the most current other voter and returns once this replica leads no
// more. Errors: ErrNotLeader, ErrTransferFailed, ErrClosed and the context's.
func (g *Group) Transfer(ctx context.Context) error { return ErrClosed }

// Status returns the last published state, without waiting for the loop.
func (g *Group) Status() Status { return Status{} }

// Do runs a function inside the loop, where the machine may be read, and returns after it.
// The function must not call the group. Error: ErrClosed.
func (g *Group) Do(function func()) error { return ErrClosed }

// Close ends Run, waits for the writes in hand and closes the files.
func (g *Group) Close() error { return nil }
