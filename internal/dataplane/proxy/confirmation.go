package proxy

import (
	"sync/atomic"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// confirmationTTL is how long a status of the agent confirms its configuration. The agent sends one each
// feedtransport.LoopbackStatusInterval, and a little later under load.
const confirmationTTL = feedtransport.LoopbackStatusInterval + time.Second

// configConfirmation records whether the configuration in force is known to be the newest, up to the delay of the feed. Without a
// confirmation the proxy still serves the routes that it knows, but answers unknown ones with 503 instead of 404. Its instants are of
// the monotonic clock, which continues while the process is suspended.
type configConfirmation struct {
	confirmedAt atomic.Pointer[time.Time] // when the last status came; nil if it did not confirm, or there is none
}

// update records a status of the agent. It follows all changes that the agent had before it.
func (c *configConfirmation) update(now time.Time, status feedtransport.Status) {
	for _, shard := range status.Shards {
		if shard.Shard == shards.ConfigurationShard && shard.Current {
			c.confirmedAt.Store(&now)
			return
		}
	}
	c.confirmedAt.Store(nil)
}

// clear removes the confirmation, as the agent is lost.
func (c *configConfirmation) clear() { c.confirmedAt.Store(nil) }

// isValid reports whether the configuration is confirmed.
func (c *configConfirmation) isValid(now time.Time) bool {
	confirmedAt := c.confirmedAt.Load()
	return confirmedAt != nil && now.Sub(*confirmedAt) <= confirmationTTL
}
