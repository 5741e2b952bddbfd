package proxy

import (
	"sync/atomic"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// confirmationTTL is how long a status of the agent confirms the configuration. The agent sends a status every
// feedtransport.LoopbackStatusInterval, or slightly later under load.
const confirmationTTL = feedtransport.LoopbackStatusInterval + time.Second

// configConfirmation records whether the configuration in force is known to be the newest one, apart from the delay of the feed.
// Without a confirmation the proxy still serves the routes that it knows, but answers requests for unknown ones with 503 instead of
// 404. Times are compared on the monotonic clock, which also advances while the process is suspended.
type configConfirmation struct {
	confirmedAt atomic.Pointer[time.Time] // when the last status arrived; nil if it did not confirm the configuration, or there is none
}

// update records a status of the agent. The agent sends a status after all changes that it had received by then.
func (c *configConfirmation) update(now time.Time, status feedtransport.Status) {
	for _, shard := range status.Shards {
		if shard.Shard == shards.ConfigurationShard && shard.Current {
			c.confirmedAt.Store(&now)
			return
		}
	}
	c.confirmedAt.Store(nil)
}

// clear removes the confirmation when the connection to the agent is lost.
func (c *configConfirmation) clear() { c.confirmedAt.Store(nil) }

// isValid reports whether the configuration is confirmed at the time now.
func (c *configConfirmation) isValid(now time.Time) bool {
	confirmedAt := c.confirmedAt.Load()
	return confirmedAt != nil && now.Sub(*confirmedAt) <= confirmationTTL
}
