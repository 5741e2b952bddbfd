package server

import (
	"slices"
	"strings"
	"sync"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/bootconfig"
)

// formerCommandTimeout is how long after a change of owner a command of the former owner can still reach a worker's machine: it is
// written while the former owner counts as current, and delivered within commandDeliveryTimeout.
const formerCommandTimeout = currentMaxAge + commandDeliveryTimeout + commandDeliveryMargin

// workerClearance decides when a new owner of a shard may command each worker. A worker that an earlier owner knew may have a command
// of that owner in its sockets for as long as it is paused. Once it answers a poll that was sent after formerCommandTimeout, it has
// read all such commands, and may be commanded when the lease has passed since. Workers that are new under this owner may be
// commanded at once.
type workerClearance struct {
	pollFrom time.Time

	mutex      sync.Mutex
	unanswered map[string]time.Time // when each worker was last polled that has not answered yet
	answeredAt map[string]time.Time // when each worker answered
}

// newWorkerClearance returns the state at a change of owner at which the given instances are known. Removed ones are among them, as a
// worker that is paused expires, and registers again when it goes on.
func newWorkerClearance(ownedSince time.Time, known []string) *workerClearance {
	clearance := &workerClearance{
		pollFrom: ownedSince.Add(formerCommandTimeout), unanswered: map[string]time.Time{}, answeredAt: map[string]time.Time{},
	}
	for _, id := range known {
		clearance.unanswered[id] = time.Time{}
	}
	return clearance
}

// duePolls returns the workers to be polled now, sorted by ID, and records that they are.
func (c *workerClearance) duePolls(now time.Time, workers map[string][]roleplanner.Worker) []roleplanner.Worker {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.unanswered) == 0 || now.Before(c.pollFrom) {
		return nil
	}
	var due []roleplanner.Worker
	for _, service := range workers {
		for i := range service {
			polledAt, unanswered := c.unanswered[service[i].ID]
			if unanswered && now.Sub(polledAt) >= clearancePollInterval {
				c.unanswered[service[i].ID] = now
				due = append(due, service[i])
			}
		}
	}
	slices.SortFunc(due, func(a, b roleplanner.Worker) int { return strings.Compare(a.ID, b.ID) })
	return due
}

// recordAnswer records that a worker has answered a poll that duePolls returned.
func (c *workerClearance) recordAnswer(id string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, unanswered := c.unanswered[id]; unanswered {
		delete(c.unanswered, id)
		c.answeredAt[id] = now
	}
}

// mayCommand reports whether the owner may command a worker now.
func (c *workerClearance) mayCommand(id string, now time.Time, bounds bootconfig.Bounds) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, unanswered := c.unanswered[id]; unanswered {
		return false
	}
	answeredAt, inherited := c.answeredAt[id]
	return !inherited || now.Sub(answeredAt) >= bootconfig.Millis(bounds.LeaseMs)+commandDeliveryMargin
}
