package replica

import (
	"errors"
	"time"

	"ospreybend/coord/consensus"
)

// gracePeriodTimeouts is the grace period, in election timeouts, in which the next leader may still commit a proposal of a
// lost leadership before its outcome is reported as unknown.
const gracePeriodTimeouts = 2

// pendingProposal is an entry of this leader whose proposer waits for the outcome.
type pendingProposal struct {
	term     uint64 // of the entry
	done     chan outcome
	deadline time.Duration // after which its outcome is unknown; 0: none, as this replica still leads its term
}

// pendingProposals are the pending proposals by index of their entry.
type pendingProposals struct {
	byIndex      map[uint64]*pendingProposal
	nextDeadline time.Duration // earliest deadline; 0: none
}

// propose appends a command to the log if this replica leads.
func (l *eventLoop) propose(event proposeEvent) {
	term, index, err := l.node.Propose(l.now, event.data)
	if err != nil {
		event.done <- outcome{err: l.callerError(err)}
		return
	}
	l.proposals.add(index, &pendingProposal{term: term, done: event.done})
}

// changeMembers appends a membership change to the log if this replica leads.
func (l *eventLoop) changeMembers(event changeEvent) {
	previous := l.node.Status().LastIndex
	if err := l.node.ChangeMembers(l.now, event.change); err != nil {
		event.done <- outcome{err: l.callerError(err)}
		return
	}
	status := l.node.Status()
	if status.LastIndex == previous {
		event.done <- outcome{} // the change has no effect, and the previous one is committed
		return
	}
	l.proposals.add(status.LastIndex, &pendingProposal{term: status.Term, done: event.done})
}

// callerError converts the node's error to the one that callers of the group get.
func (l *eventLoop) callerError(err error) error {
	if !errors.Is(err, consensus.ErrNotLeader) {
		return err
	}
	l.refreshStatus()
	return NotLeaderError{Leader: l.leader()}
}

// add registers a proposal. One that is pending at the same index belongs to an earlier term.
func (p *pendingProposals) add(index uint64, proposal *pendingProposal) {
	if previous := p.byIndex[index]; previous != nil {
		previous.done <- outcome{err: ErrUnknownOutcome}
	}
	p.byIndex[index] = proposal
}

// resolveApplied answers the proposal at the entry's index. If the entry is of another term, it has replaced the proposed
// one, which therefore never was and never will be committed.
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

// resolveSkipped answers the proposals that a received snapshot covers: whether they are part of it is unknown.
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

// updateProposalDeadlines starts the grace period of proposals whose term this replica no longer leads.
func (l *eventLoop) updateProposalDeadlines() {
	if len(l.proposals.byIndex) == 0 {
		l.proposals.nextDeadline = 0
		return
	}
	if l.status.Role != consensus.RoleLeader && !l.options.enforces(GuardLostLeadershipUnknown) {
		l.proposals.failAll(NotLeaderError{Leader: l.leader()})
		return
	}
	l.proposals.startGracePeriod(l.status, l.now+gracePeriodTimeouts*l.options.ElectionTimeout)
}

// startGracePeriod sets the deadline of proposals whose term has ended, and recomputes the earliest one.
func (p *pendingProposals) startGracePeriod(status consensus.Status, deadline time.Duration) {
	p.nextDeadline = 0
	for _, proposal := range p.byIndex {
		leading := status.Role == consensus.RoleLeader && status.Term == proposal.term
		if !leading && proposal.deadline == 0 {
			proposal.deadline = deadline
		}
		if proposal.deadline != 0 && (p.nextDeadline == 0 || proposal.deadline < p.nextDeadline) {
			p.nextDeadline = proposal.deadline
		}
	}
}

// deadline returns the earliest deadline.
func (p *pendingProposals) deadline() time.Duration {
	if p.nextDeadline == 0 {
		return never
	}
	return p.nextDeadline
}

// expire answers the proposals whose deadline has passed.
func (p *pendingProposals) expire(now time.Duration) {
	if p.nextDeadline == 0 || now < p.nextDeadline {
		return
	}
	p.nextDeadline = 0
	for index, proposal := range p.byIndex {
		switch {
		case proposal.deadline == 0:
		case now >= proposal.deadline:
			delete(p.byIndex, index)
			proposal.done <- outcome{err: ErrUnknownOutcome}
		case p.nextDeadline == 0 || proposal.deadline < p.nextDeadline:
			p.nextDeadline = proposal.deadline
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
