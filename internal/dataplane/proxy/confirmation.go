package proxy

import (
	"sync/atomic"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// confirmedFor is how long a word of the agent counts that its configuration is the newest: the agent says it at every
// feedlink.LoopbackStatusInterval, and a little later under load.
const confirmedFor = feedtransport.LoopbackStatusInterval + time.Second

// confirmation tells whether the configuration in force is known to be the newest but for moments. Without it the proxy serves
// what it knows and says of nothing that it does not exist. Its instants are of the steady clock, which goes on
// while the process stands still.
type confirmation struct {
	at atomic.Pointer[time.Time] // of the last status that said so; nil: the last one did not, or there is none
}

// note takes in a status of the agent, which follows all that the agent had before.
func (c *confirmation) note(now time.Time, status feedtransport.Status) {
	for _, shard := range status.Shards {
		if shard.Shard == shards.ConfigurationShard && shard.Current {
			c.at.Store(&now)
			return
		}
	}
	c.at.Store(nil)
}

// lose notes that the agent cannot be heard.
func (c *confirmation) lose() { c.at.Store(nil) }

// holds tells whether the configuration is confirmed.
func (c *confirmation) holds(now time.Time) bool {
	at := c.at.Load()
	return at != nil && now.Sub(*at) <= confirmedFor
}
