package replica

import (
	"errors"
	"time"

	"ospreybend/coord/consensus"
)

// gracePeriodTimeouts is how many election timeouts a proposal may still be committed by the next leader
// before its outcome is called unknown.
const gracePeriodTimeouts = 2

// pendingProposal is an entry of this leader that somebody waits for.
type pendingProposal struct {
	term     uint64
	done     chan outcome
	deadline time.Duration // set once leadership is lost; 0: none
}

// pendingProposals are the entries that are waited for, by index.
type pendingProposals struct {
	byIndex      map[uint64]*pendingProposal
	nextDeadline time.Duration // earliest deadline; 0: none has one
}

func (l *eventLoop) propose(one proposeEvent) {
	term, index, err := l.node.Propose(l.now, one.data)
	if err != nil {
		one.done <- outcome{err: l.callerError(err)}
		return
	}
	l.proposals.add(index, &pendingProposal{term: term, done: one.done})
}

func (l *eventLoop) changeMembers(one changeEvent) {
	previous := l.node.Status().LastIndex
	if err := l.node.ChangeMembers(l.now, one.change); err != nil {
		one.done <- outcome{err: l.callerError(err)}
		return
	}
	status := l.node.Status()
	if status.LastIndex == previous {
		one.done <- outcome{} // nothing to change, and the last change is committed
		return
	}
	l.proposals.add(status.LastIndex, &pendingProposal{term: status.Term, done: one.done})
}

// callerError turns the node's error into the caller's.
func (l *eventLoop) callerError(err error) error {
	if !errors.Is(err, consensus.ErrNotLeader) {
		return err
	}
	l.refreshStatus()
	return NotLeaderError{Leader: l.leader()}
}

func (p *pendingProposals) add(index uint64, one *pendingProposal) {
	if previous := p.byIndex[index]; previous != nil {
		previous.done <- outcome{err: ErrUnknownOutcome}
	}
	p.byIndex[index] = one
}

// resolveApplied answers whoever waits for the entry's index. An entry of another term has taken the
// place of the one proposed, which then never was and never will be committed.
func (p *pendingProposals) resolveApplied(entry consensus.Entry, result any, leader consensus.Member, options *Options) {
	one := p.byIndex[entry.Index]
	if one == nil {
		return
	}
	delete(p.byIndex, entry.Index)
	if one.term != entry.Term && options.enforces(GuardOutcomeMatchesTerm) {
		one.done <- outcome{err: NotLeaderError{Leader: leader}}
		return
	}
	one.done <- outcome{result: result, index: entry.Index}
}

// resolveSkipped answers those whose entries a snapshot stands for.
func (p *pendingProposals) resolveSkipped(index uint64, options *Options) {
	outcomeError := error(ErrUnknownOutcome)
	if !options.enforces(GuardSkippedUnknown) {
		outcomeError = NotLeaderError{}
	}
	for at, one := range p.byIndex {
		if at <= index {
			delete(p.byIndex, at)
			one.done <- outcome{err: outcomeError}
		}
	}
}

// updateProposalDeadlines starts the grace of proposals whose leadership is over.
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

func (p *pendingProposals) startGracePeriod(status consensus.Status, deadline time.Duration) {
	p.nextDeadline = 0
	for _, one := range p.byIndex {
		leading := status.Role == consensus.RoleLeader && status.Term == one.term
		if !leading && one.deadline == 0 {
			one.deadline = deadline
		}
		if one.deadline != 0 && (p.nextDeadline == 0 || one.deadline < p.nextDeadline) {
			p.nextDeadline = one.deadline
		}
	}
}

func (p *pendingProposals) deadline() time.Duration {
	if p.nextDeadline == 0 {
		return never
	}
	return p.nextDeadline
}

func (p *pendingProposals) expire(now time.Duration) {
	if p.nextDeadline == 0 || now < p.nextDeadline {
		return
	}
	p.nextDeadline = 0
	for index, one := range p.byIndex {
		switch {
		case one.deadline == 0:
		case now >= one.deadline:
			delete(p.byIndex, index)
			one.done <- outcome{err: ErrUnknownOutcome}
		case p.nextDeadline == 0 || one.deadline < p.nextDeadline:
			p.nextDeadline = one.deadline
		}
	}
}

func (p *pendingProposals) failAll(err error) {
	for index, one := range p.byIndex {
		delete(p.byIndex, index)
		one.done <- outcome{err: err}
	}
}
