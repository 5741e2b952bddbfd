package replica

import (
	"errors"
	"time"

	"ospreybend/coord/consensus"
)

// gracePeriodElectionTimeouts is the grace period, in election timeouts, after this replica has lost leadership: the next leader
// may still commit a pending proposal within it. After that the outcome is reported as unknown.
const gracePeriodElectionTimeouts = 2

// pendingProposal is an entry that this replica appended as leader and whose proposer waits for the outcome.
type pendingProposal struct {
	term     uint64 // term of the entry
	done     chan outcome
	deadline time.Duration // end of the grace period; 0: this replica still leads the term
}

// pendingProposals holds the pending proposals by the index of their entry.
type pendingProposals struct {
	byIndex          map[uint64]*pendingProposal
	earliestDeadline time.Duration // of all proposals; 0: none has a deadline
}

// propose appends a command to the log if this replica is the leader.
func (l *eventLoop) propose(event proposeEvent) {
	term, index, err := l.node.Propose(l.now, event.data)
	if err != nil {
		event.done <- outcome{err: l.callerError(err)}
		return
	}
	l.proposals.add(index, &pendingProposal{term: term, done: event.done})
}

// changeMembers appends a membership change to the log if this replica is the leader.
func (l *eventLoop) changeMembers(event changeEvent) {
	previousIndex := l.node.Status().LastIndex
	if err := l.node.ChangeMembers(l.now, event.change); err != nil {
		event.done <- outcome{err: l.callerError(err)}
		return
	}
	status := l.node.Status()
	if status.LastIndex == previousIndex {
		event.done <- outcome{} // the change has no effect, and the previous one is committed
		return
	}
	l.proposals.add(status.LastIndex, &pendingProposal{term: status.Term, done: event.done})
}

// callerError converts an error of the node to the error that the group's caller receives.
func (l *eventLoop) callerError(err error) error {
	if !errors.Is(err, consensus.ErrNotLeader) {
		return err
	}
	l.refreshStatus()
	return NotLeaderError{Leader: l.leader()}
}

// add registers a proposal. A proposal still pending at the same index is of an earlier term; its outcome is unknown.
func (p *pendingProposals) add(index uint64, proposal *pendingProposal) {
	if previous := p.byIndex[index]; previous != nil {
		previous.done <- outcome{err: ErrUnknownOutcome}
	}
	p.byIndex[index] = proposal
}

// resolveApplied answers the proposal at the entry's index. If the entry is of a different term, it has replaced the
// proposed entry, which therefore never was and never will be committed.
func (p *pendingProposals) resolveApplied(entry consensus.Entry, result any, leader consensus.Member, options *Options) {
	proposal := p.byIndex[entry.Index]
	if proposal == nil {
		return
	}
	delete(p.byIndex, entry.Index)
	if proposal.term != entry.Term && options.enforces(GuardOutcomeMatchesTerm) {
		proposal.done <- outcome{err: NotLeaderError{Leader: leader}}
		return
	}
	proposal.done <- outcome{result: result, index: entry.Index}
}

// resolveSkipped answers the proposals up to index, which a received snapshot covers. Whether the snapshot includes their
// commands is unknown.
func (p *pendingProposals) resolveSkipped(index uint64, options *Options) {
	outcomeError := error(ErrUnknownOutcome)
	if !options.enforces(GuardSkippedUnknown) {
		outcomeError = NotLeaderError{}
	}
	for skippedIndex, proposal := range p.byIndex {
		if skippedIndex <= index {
			delete(p.byIndex, skippedIndex)
			proposal.done <- outcome{err: outcomeError}
		}
	}
}

// updateProposalDeadlines starts the grace period of the proposals whose term this replica no longer leads.
func (l *eventLoop) updateProposalDeadlines() {
	if len(l.proposals.byIndex) == 0 {
		l.proposals.earliestDeadline = 0
		return
	}
	if l.status.Role != consensus.RoleLeader && !l.options.enforces(GuardLostLeadershipUnknown) {
		l.proposals.failAll(NotLeaderError{Leader: l.leader()})
		return
	}
	l.proposals.startGracePeriod(l.status, l.now+gracePeriodElectionTimeouts*l.options.ElectionTimeout)
}

// startGracePeriod sets the deadline of the proposals whose term this replica no longer leads, unless they have one already, and
// recomputes the earliest deadline.
func (p *pendingProposals) startGracePeriod(status consensus.Status, deadline time.Duration) {
	p.earliestDeadline = 0
	for _, proposal := range p.byIndex {
		leading := status.Role == consensus.RoleLeader && status.Term == proposal.term
		if !leading && proposal.deadline == 0 {
			proposal.deadline = deadline
		}
		if proposal.deadline != 0 && (p.earliestDeadline == 0 || proposal.deadline < p.earliestDeadline) {
			p.earliestDeadline = proposal.deadline
		}
	}
}

// nextDeadline returns the earliest deadline, or never if there is none.
func (p *pendingProposals) nextDeadline() time.Duration {
	if p.earliestDeadline == 0 {
		return never
	}
	return p.earliestDeadline
}

// expire answers the proposals whose deadline has passed.
func (p *pendingProposals) expire(now time.Duration) {
	if p.earliestDeadline == 0 || now < p.earliestDeadline {
		return
	}
	p.earliestDeadline = 0
	for index, proposal := range p.byIndex {
		switch {
		case proposal.deadline == 0:
		case now >= proposal.deadline:
			delete(p.byIndex, index)
			proposal.done <- outcome{err: ErrUnknownOutcome}
		case p.earliestDeadline == 0 || proposal.deadline < p.earliestDeadline:
			p.earliestDeadline = proposal.deadline
		}
	}
}

// failAll answers all proposals with an error.
func (p *pendingProposals) failAll(err error) {
	for index, proposal := range p.byIndex {
		delete(p.byIndex, index)
		proposal.done <- outcome{err: err}
	}
}
