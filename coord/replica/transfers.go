package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// transferTimeouts is how many election timeouts a transfer may take.
const transferTimeouts = 2

// transfers are the calls that wait for the end of this replica's leadership.
type transfers struct {
	waiting  []chan outcome
	deadline time.Duration // of all; 0: none waits
}

func (l *loop) transfer(one transferEvent) {
	if err := l.node.TransferLeadership(l.now, one.to); err != nil {
		one.done <- outcome{err: l.refusal(err)}
		return
	}
	l.handOver.waiting = append(l.handOver.waiting, one.done)
	l.handOver.deadline = l.now + transferTimeouts*l.options.ElectionTimeout
}

// ended answers the calls once the replica leads no more.
func (t *transfers) ended(status consensus.Status) {
	if status.Role != consensus.RoleLeader {
		t.fail(nil)
	}
}

func (t *transfers) next() time.Duration {
	if t.deadline == 0 {
		return never
	}
	return t.deadline
}

func (t *transfers) expire(now time.Duration) {
	if t.deadline != 0 && now >= t.deadline {
		t.fail(ErrTransferFailed)
	}
}

func (t *transfers) fail(err error) {
	answer(t.waiting, err)
	*t = transfers{}
}
