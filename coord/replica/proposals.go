package replica

import (
	"errors"
	"time"

	"ospreybend/coord/consensus"
)

// lossGraces is how many election timeouts a proposal may still be committed by the next leader
// before its outcome is called unknown.
const lossGraces = 2

// proposal is an entry of this leader that somebody waits for.
type proposal struct {
	term     uint64
	done     chan outcome
	deadline time.Duration // set once leadership is lost; 0: none
}

// proposals are the entries that are waited for, by index.
type proposals struct {
	byIndex map[uint64]*proposal
	losing  time.Duration // earliest deadline; 0: none has one
}

func (l *loop) propose(one proposeEvent) {
	term, index, err := l.node.Propose(l.now, one.data)
	if err != nil {
		one.done <- outcome{err: l.refusal(err)}
		return
	}
	l.waiting.add(index, &proposal{term: term, done: one.done})
}

func (l *loop) changeMembers(one changeEvent) {
	before := l.node.Status().LastIndex
	if err := l.node.ChangeMembers(l.now, one.change); err != nil {
		one.done <- outcome{err: l.refusal(err)}
		return
	}
	status := l.node.Status()
	if status.LastIndex == before {
		one.done <- outcome{} // nothing to change, and the last change is committed
		return
	}
	l.waiting.add(status.LastIndex, &proposal{term: status.Term, done: one.done})
}

// refusal turns the node's error into the caller's.
func (l *loop) refusal(err error) error {
	if !errors.Is(err, consensus.ErrNotLeader) {
		return err
	}
	l.readNode()
	return ErrNotLeader{Leader: l.leader()}
}

func (p *proposals) add(index uint64, one *proposal) {
	if before := p.byIndex[index]; before != nil {
		before.done <- outcome{err: ErrUnknownOutcome}
	}
	p.byIndex[index] = one
}

// applied answers whoever waits for the entry's index. An entry of another term has taken the
// place of the one proposed, which then never was and never will be committed.
func (p *proposals) applied(entry consensus.Entry, result any, leader consensus.Member, options *Options) {
	one := p.byIndex[entry.Index]
	if one == nil {
		return
	}
	delete(p.byIndex, entry.Index)
	if one.term != entry.Term && options.holds(GuardOutcomeOfTerm) {
		one.done <- outcome{err: ErrNotLeader{Leader: leader}}
		return
	}
	one.done <- outcome{result: result, index: entry.Index}
}

// skipped answers those whose entries a snapshot stands for.
func (p *proposals) skipped(index uint64, options *Options) {
	skipped := error(ErrUnknownOutcome)
	if !options.holds(GuardSkippedUnknown) {
		skipped = ErrNotLeader{}
	}
	for at, one := range p.byIndex {
		if at <= index {
			delete(p.byIndex, at)
			one.done <- outcome{err: skipped}
		}
	}
}

// checkLeadership starts the grace of proposals whose leadership is over.
func (l *loop) checkLeadership() {
	if len(l.waiting.byIndex) == 0 {
		l.waiting.losing = 0
		return
	}
	if l.status.Role != consensus.RoleLeader && !l.options.holds(GuardLostUnknown) {
		l.waiting.fail(ErrNotLeader{Leader: l.leader()})
		return
	}
	l.waiting.lose(l.status, l.now+lossGraces*l.options.ElectionTimeout)
}

func (p *proposals) lose(status consensus.Status, deadline time.Duration) {
	p.losing = 0
	for _, one := range p.byIndex {
		leading := status.Role == consensus.RoleLeader && status.Term == one.term
		if !leading && one.deadline == 0 {
			one.deadline = deadline
		}
		if one.deadline != 0 && (p.losing == 0 || one.deadline < p.losing) {
			p.losing = one.deadline
		}
	}
}

func (p *proposals) deadline() time.Duration {
	if p.losing == 0 {
		return never
	}
	return p.losing
}

func (p *proposals) expire(now time.Duration) {
	if p.losing == 0 || now < p.losing {
		return
	}
	p.losing = 0
	for index, one := range p.byIndex {
		switch {
		case one.deadline == 0:
		case now >= one.deadline:
			delete(p.byIndex, index)
			one.done <- outcome{err: ErrUnknownOutcome}
		case p.losing == 0 || one.deadline < p.losing:
			p.losing = one.deadline
		}
	}
}

func (p *proposals) fail(err error) {
	for index, one := range p.byIndex {
		delete(p.byIndex, index)
		one.done <- outcome{err: err}
	}
}
