package controlplanesim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// caller is what operators and workers have in common: it calls one server after the other, at random.
type caller struct {
	world *world
	host  string // IP

	mutex     sync.Mutex // of all that follows and of the embedding type's state
	random    *rand.Rand
	reachable []*machine // nil: all that are listed
}

// randomDuration draws a duration below the limit.
func (c *caller) randomDuration(limit time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return rand64(c.random, limit)
}

// pickServer chooses a server of the list, or of the reachable ones.
func (c *caller) pickServer() *machine {
	listed := c.world.listedMachines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.reachable) > 0 {
		listed = c.reachable
	}
	return listed[c.random.IntN(len(listed))]
}

// restrictTo lets it reach the given machines alone; nil lifts the restriction.
func (c *caller) restrictTo(reachable []*machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reachable = reachable
}

// rand64 draws a duration below the limit.
func rand64(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
