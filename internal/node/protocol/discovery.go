package protocol

import (
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/routing"
)

const (
	// By the platform's rules the node counts as knowing a change 6 s after its watch has stopped answering,
	// whether or not it received the change. The service answers immediately when a watch's hold time ends, so
	// a watch without an answer is abandoned soon after that. The service queues calls that do not wait for
	// changes and answers or rejects them within 2 s; a call abandoned earlier would lose its place in the queue.
	maxWatchHold      = 2 * time.Second // hold times are drawn from half of it to all of it
	immediateHold     = time.Millisecond
	watchAnswerGrace  = 600 * time.Millisecond  // time-out of a watch, beyond the hold time
	queuedCallTimeout = 2200 * time.Millisecond // time-out of a call without a hold time
	maxListBytes      = 8 << 20                 // limit of an answer

	// With pushed lists the address is that of an agent on the node's own machine: a call is cheap
	// and answered immediately, unless the service is down. The node counts as knowing all that the
	// agent has received, so the time-out is short.
	pushedHold       = time.Second
	pushedTimeout    = 300 * time.Millisecond
	pushedRetryDelay = 100 * time.Millisecond // after a failed call, with a jitter of plus or minus half of it
)

// Endpoint is one entry of the pool config's list: a prep worker.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Cell    int     `json:"group"`
	State   string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// EndpointList is an answer of the pool config: all endpoints (a snapshot), or those that have
// changed since an earlier version.
type EndpointList struct {
	Version  uint64     `json:"index"`
	Snapshot bool       `json:"snapshot"`
	Entries  []Endpoint `json:"endpoints"`
}

// DiscoveryConfig configures the calls to the pool config.
type DiscoveryConfig struct {
	Address        string
	Zones, Kinds   []string // the core's numbers are the indexes
	ConnectTimeout time.Duration
	CachedList     EndpointList       // published by Start
	Overrides      override.Overrides // applied to each list; nil: none
	WarmupTime     time.Duration
	Jitter         func() float64 // draws from [0, 1) to vary the hold times, so that watches opened together do not end together; nil: no variation
	Pushed         bool           // the address is an agent's, and is watched from the start, whether or not the balancer subscribes
}

// Discovery fetches and watches the pool config's endpoint list, and publishes it to the core
// and to Destinations. It implements routing.Pool.
//
// The balancer subscribes (Watch) and fetches; a watch is a long poll that is repeated until
// the balancer unsubscribes. A failed call is retried once, without delay (discovery_call.go).
// If that fails too, the balancer is informed and decides when to call again.
type Discovery struct {
	config       DiscoveryConfig
	loop         *eventloop.Loop
	core         *routing.Core
	destinations *Destinations

	// The list.
	version          uint64
	names            map[balance.WorkerID]string                // of all destinations that a list has named since the start
	listed           map[balance.WorkerID]balance.WorkerListing // the present list, without overrides
	answered         bool                                       // the pool config has answered since the start
	excludeWarmingUp bool                                       // see ExcludeWarmingUp

	// The calls.
	watch              *discoveryCall // the watch in progress; nil: none
	fetch              *discoveryCall // the fetch in progress; nil: none
	watchWanted        bool           // the balancer is subscribed
	firstPoll          bool           // the call of the watch has no hold time, as a subscription's first
	agentSilenceLogged bool           // the agent's silence has been logged

	rejectedEntries uint64
	counts          CallCounts
}

// CallCounts are the calls to the pool config since the start, including retries: all calls, and
// those answered, rejected and timed out. The others failed otherwise or are in progress.
type CallCounts struct{ Sent, Answered, Rejected, TimedOut uint64 }

// NewDiscovery returns the adapter; Start publishes the cached list.
func NewDiscovery(config DiscoveryConfig, loop *eventloop.Loop, core *routing.Core, destinations *Destinations) *Discovery {
	return &Discovery{config: config, loop: loop, core: core, destinations: destinations, version: config.CachedList.Version,
		names: map[balance.WorkerID]string{}, listed: map[balance.WorkerID]balance.WorkerListing{}}
}

// Answered reports whether the pool config has answered since the start.
func (d *Discovery) Answered() bool { return d.answered }

// Counts returns the totals of the calls since the start.
func (d *Discovery) Counts() CallCounts { return d.counts }

// ListedCount returns the number of destinations in the list.
func (d *Discovery) ListedCount() int { return len(d.listed) }

// Find returns the ID of the named destination, and whether any list since the start contained it.
func (d *Discovery) Find(name string) (balance.WorkerID, bool) {
	id := workerIDOf(name)
	return id, d.names[id] == name
}

// NameOf returns the name of a destination that any list since the start has named.
func (d *Discovery) NameOf(id balance.WorkerID) string { return d.names[id] }

// ZoneOf returns the zone of a listed destination.
func (d *Discovery) ZoneOf(id balance.WorkerID) (string, bool) {
	l, ok := d.listed[id]
	if !ok || l.Zone >= len(d.config.Zones) {
		return "", false
	}
	return d.config.Zones[l.Zone], true
}

// Republish publishes one destination to the core again, for example after a change of its manual override.
func (d *Discovery) Republish(id balance.WorkerID) {
	if listing, ok := d.listed[id]; ok {
		d.core.PoolChanged(balance.ListUpdate{Kind: balance.ListChanges, Version: d.version,
			Workers: []balance.WorkerListing{d.effective(id, listing)}})
	}
}

// ExcludeWarmingUp makes destinations that are warming up count as draining from now on, since
// another process of this node uses their slow-start allowance.
func (d *Discovery) ExcludeWarmingUp() {
	d.excludeWarmingUp = true
	for id := range d.listed {
		d.Republish(id)
	}
}

// effective returns a destination's listing as the core sees it, with override and warm-up applied.
func (d *Discovery) effective(id balance.WorkerID, listing balance.WorkerListing) balance.WorkerListing {
	listing = d.config.Overrides.Apply(d.names[id], listing)
	if d.excludeWarmingUp && listing.State == balance.Ready && d.loop.Now()-listing.Started < d.config.WarmupTime {
		listing.State = balance.Draining
	}
	return listing
}

// Start publishes the cached list. If lists are pushed it also opens the watch.
func (d *Discovery) Start() {
	d.publish(balance.ListCached, d.config.CachedList)
	if d.config.Pushed {
		d.Watch(true)
	}
}

// nextHold returns how long the service may hold the next watch call to wait for a change. The first call is not held, so
// that the balancer gets an answer immediately.
func (d *Discovery) nextHold() time.Duration {
	switch {
	case d.firstPoll:
		return immediateHold
	case d.config.Pushed:
		return pushedHold
	case d.config.Jitter == nil:
		return maxWatchHold
	}
	return maxWatchHold/2 + time.Duration(d.config.Jitter()*float64(maxWatchHold/2)).Truncate(time.Millisecond)
}

// answerTimeout returns the time-out of an answer, beyond the call's hold time.
func (d *Discovery) answerTimeout(call *discoveryCall) time.Duration {
	switch {
	case d.config.Pushed:
		return pushedTimeout
	case call.hold > immediateHold:
		return watchAnswerGrace
	}
	return queuedCallTimeout
}

// Address returns the pool config's address.
func (d *Discovery) Address() string { return d.config.Address }

// SetAddress changes the address of the pool config. Calls in progress are repeated there without
// delay, and a watch that the balancer would have reopened later is reopened. The list and its
// version stay. The end of the old connections is not reported as a failure.
func (d *Discovery) SetAddress(address string) {
	if address == d.config.Address {
		return
	}
	d.config.Address = address
	if d.watch != nil {
		d.watch.close()
		d.watch = nil
	}
	if d.watchWanted {
		d.firstPoll = true
		d.watch = &discoveryCall{owner: d}
		d.pollWatch()
	}
	if d.fetch != nil {
		d.fetch.close()
		d.fetch = nil
		d.Fetch()
	}
}

// Watch implements routing.Pool: it starts or stops watching the list.
func (d *Discovery) Watch(on bool) {
	d.watchWanted = on
	if !on {
		if c := d.watch; c != nil {
			d.watch = nil
			c.close()
		}
		return
	}
	d.firstPoll = true
	if d.watch == nil {
		d.watch = &discoveryCall{owner: d}
		d.pollWatch()
	}
}

// Fetch implements routing.Pool: it fetches the complete list once.
func (d *Discovery) Fetch() {
	if d.fetch == nil {
		d.fetch = &discoveryCall{owner: d}
		d.send(d.fetch, "/v1/servers")
	}
}

// pollWatch sends the watch's next long poll.
func (d *Discovery) pollWatch() {
	d.watch.hold = d.nextHold()
	d.send(d.watch, "/v1/servers?from="+strconv.FormatUint(d.version, 10)+
		"&hold_ms="+strconv.FormatInt(d.watch.hold.Milliseconds(), 10))
}
