package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// transferElectionTimeouts is how long a leadership transfer may take, in election timeouts.
const transferElectionTimeouts = 2

// pendingTransfers holds the calls that wait until this replica is no longer the leader.
type pendingTransfers struct {
	waiting  []chan outcome
	deadline time.Duration // common to all calls; 0: none is pending
}

// transfer starts a leadership transfer if this replica is the leader.
func (l *eventLoop) transfer(event transferEvent) {
	if err := l.node.TransferLeadership(l.now, event.to, event.excluded...); err != nil {
		event.done <- outcome{err: l.callerError(err)}
		return
	}
	l.transfers.waiting = append(l.transfers.waiting, event.done)
	l.transfers.deadline = l.now + transferElectionTimeouts*l.options.ElectionTimeout
}

// resolveIfNotLeader answers the calls once this replica is no longer the leader.
func (t *pendingTransfers) resolveIfNotLeader(status consensus.Status) {
	if status.Role != consensus.RoleLeader {
		t.failAll(nil)
	}
}

// nextDeadline returns when the calls time out, or never if none is pending.
func (t *pendingTransfers) nextDeadline() time.Duration {
	if t.deadline == 0 {
		return never
	}
	return t.deadline
}

// expire answers the calls with ErrTransferFailed if their deadline has passed.
func (t *pendingTransfers) expire(now time.Duration) {
	if t.deadline != 0 && now >= t.deadline {
		t.failAll(ErrTransferFailed)
	}
}

// failAll answers all calls with err; nil means success.
func (t *pendingTransfers) failAll(err error) {
	answerAll(t.waiting, err)
	*t = pendingTransfers{}
}
