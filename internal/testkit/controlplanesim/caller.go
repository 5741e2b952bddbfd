package controlplanesim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// caller is the part that operators and workers share: it chooses a server at random for each call.
type caller struct {
	simulation *simulation
	host       string // IP

	mutex     sync.Mutex // guards the fields below and the embedding type's state
	random    *rand.Rand
	reachable []*machine // nil: all listed machines
}

// randomDuration returns a random duration below the limit, from the caller's own source.
func (c *caller) randomDuration(limit time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return randomDurationBelow(c.random, limit)
}

// pickServer returns a random server from the list, or from the reachable ones if the caller is restricted.
func (c *caller) pickServer() *machine {
	listed := c.simulation.listedMachines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.reachable) > 0 {
		listed = c.reachable
	}
	return listed[c.random.IntN(len(listed))]
}

// restrictTo limits the caller to the given machines; nil lifts the restriction.
func (c *caller) restrictTo(reachable []*machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reachable = reachable
}

// randomDurationBelow returns a random duration below the limit.
func randomDurationBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
