package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// transferElectionTimeouts is how many election timeouts a transfer may take.
const transferElectionTimeouts = 2

// pendingTransfers are the calls that wait for the end of this replica's leadership.
type pendingTransfers struct {
	waiting  []chan outcome
	deadline time.Duration // of all; 0: none waits
}

func (l *eventLoop) transfer(one transferEvent) {
	if err := l.node.TransferLeadership(l.now, one.to); err != nil {
		one.done <- outcome{err: l.callerError(err)}
		return
	}
	l.transfers.waiting = append(l.transfers.waiting, one.done)
	l.transfers.deadline = l.now + transferElectionTimeouts*l.options.ElectionTimeout
}

// resolveIfNotLeader answers the calls once the replica leads no more.
func (t *pendingTransfers) resolveIfNotLeader(status consensus.Status) {
	if status.Role != consensus.RoleLeader {
		t.failAll(nil)
	}
}

func (t *pendingTransfers) nextDeadline() time.Duration {
	if t.deadline == 0 {
		return never
	}
	return t.deadline
}

func (t *pendingTransfers) expire(now time.Duration) {
	if t.deadline != 0 && now >= t.deadline {
		t.failAll(ErrTransferFailed)
	}
}

func (t *pendingTransfers) failAll(err error) {
	answerAll(t.waiting, err)
	*t = pendingTransfers{}
}
