package replica

import (
	"time"

	"ospreybend/coord/consensus"
)

// A follower's event loop iterates at least every idleHeartbeats heartbeat intervals, even if no messages arrive. If it has not
// iterated for more than stalledHeartbeats intervals, the process was stalled.
const (
	idleHeartbeats    = 2
	stalledHeartbeats = 3
)

// confirmation decides which of the leader's confirmations show that a follower is current. After a stall, the process first
// reads the messages that arrived meanwhile. Those may be as old as the stall was long, so they no longer show that the follower
// is current: the confirmations that they give are ignored.
type confirmation struct {
	lastIteration time.Duration
	staleUntil    time.Duration // messages handled before this time may be old
	trustedAt     time.Duration // time of the latest confirmation that counts; 0: none
}

// observe records an iteration of the event loop at now with the node's status. applied tells whether the state machine has
// applied everything that is known to be committed; a replica that has not is not current, whatever is confirmed.
func (c *confirmation) observe(now, heartbeatInterval time.Duration, status consensus.Status, applied bool) {
	if c.lastIteration > 0 && now-c.lastIteration > stalledHeartbeats*heartbeatInterval {
		c.staleUntil = now + heartbeatInterval
	}
	c.lastIteration = now
	recent := status.Role == consensus.RoleLeader || status.ConfirmedAt >= c.staleUntil
	if status.ConfirmedAt == 0 || (recent && applied) {
		c.trustedAt = status.ConfirmedAt
	}
}

// nextIteration returns the latest time of the next iteration. A leader needs none, since its heartbeats wake the event loop.
func (c *confirmation) nextIteration(heartbeatInterval time.Duration, role consensus.Role) time.Duration {
	if role == consensus.RoleLeader {
		return never
	}
	return c.lastIteration + idleHeartbeats*heartbeatInterval
}
