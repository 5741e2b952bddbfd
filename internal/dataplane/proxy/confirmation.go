package proxy

import (
	"sync/atomic"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// confirmationTTL is how long a word of the agent counts that its configuration is the newest: the agent says it at every
// feedlink.LoopbackStatusInterval, and a little later under load.
const confirmationTTL = feedtransport.LoopbackStatusInterval + time.Second

// configConfirmation tells whether the configuration in force is known to be the newest but for moments. Without it the proxy serves
// what it knows and says of nothing that it does not exist. Its instants are of the steady clock, which goes on
// while the process stands still.
type configConfirmation struct {
	confirmedAt atomic.Pointer[time.Time] // of the last status that said so; nil: the last one did not, or there is none
}

// update takes in a status of the agent, which follows all that the agent had before.
func (c *configConfirmation) update(now time.Time, status feedtransport.Status) {
	for _, shard := range status.Shards {
		if shard.Shard == shards.ConfigurationShard && shard.Current {
			c.confirmedAt.Store(&now)
			return
		}
	}
	c.confirmedAt.Store(nil)
}

// clear notes that the agent cannot be heard.
func (c *configConfirmation) clear() { c.confirmedAt.Store(nil) }

// isValid tells whether the configuration is confirmed.
func (c *configConfirmation) isValid(now time.Time) bool {
	confirmedAt := c.confirmedAt.Load()
	return confirmedAt != nil && now.Sub(*confirmedAt) <= confirmationTTL
}
