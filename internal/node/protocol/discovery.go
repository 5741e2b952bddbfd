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
	// News counts as told 6 s after a watch has fallen silent, whether it came or not. The end of a hold
	// is answered at once, so that a silent watch is given up soon after it. A call that begins anew
	// waits for its turn: the service answers or refuses it within 2 s, and one that is given up
	// before that has taken a turn from others for nothing.
	maxWatchHold      = 2 * time.Second // at most, and half of it at least
	firstHold         = time.Millisecond
	watchAnswerGrace  = 600 * time.Millisecond  // past the hold
	queuedCallTimeout = 2200 * time.Millisecond // of a call that may not wait for news
	maxListBytes      = 8 << 20                 // most bytes of a list

	// Where lists are pushed, the address is an agent's on the node's own machine: a call costs
	// nothing and is answered at once, or not while the service is down. What the agent has
	// counts as told, so that silence is not waited out for long.
	pushedHold       = time.Second
	pushedTimeout    = 300 * time.Millisecond
	pushedRetryDelay = 100 * time.Millisecond // after a call that failed, half as much more or less
)

// Endpoint is one entry of the pool config's list.
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

// EndpointList is an answer of the pool config.
type EndpointList struct {
	Version  uint64     `json:"index"`
	Snapshot bool       `json:"snapshot"`
	Entries  []Endpoint `json:"endpoints"`
}

// DiscoveryConfig is what the pool config's side is told.
type DiscoveryConfig struct {
	Address        string
	Zones, Kinds   []string // their numbers are their places here
	ConnectTimeout time.Duration
	CachedList     EndpointList
	Overrides      override.Overrides // laid over each list; nil: none
	WarmupTime     time.Duration
	Jitter         func() float64 // from 0 to 1, by which holds differ: watches that open together would end together; nil: they do not
	Pushed         bool           // the list is an agent's: watched from the start on, whatever the module asks for
}

// Discovery asks the pool config for the list of destinations, and keeps the
// core and the destinations informed.
type Discovery struct {
	config           DiscoveryConfig
	loop             *eventloop.Loop
	core             *routing.Core
	destinations     *Destinations
	version          uint64
	names            map[balance.WorkerID]string
	listed           map[balance.WorkerID]balance.WorkerListing // as the list has them
	answered         bool                                       // the pool config has answered since the start
	excludeWarmingUp bool                                       // cold destinations are for another process of this node
	watch            *discoveryCall                             // the watch; nil: none
	fetch            *discoveryCall
	watchWanted      bool // the module has asked for a watch, and not ended it
	firstPoll        bool // the watch in work is the one that answers the module's wish
	rejectedEntries  uint64
	agentSilent      bool // the agent does not answer
	counts           CallCounts
}

// CallCounts are the calls for the list since the start, repeats included: all, and by how they ended. The
// rest were broken off, could not be read, or are out.
type CallCounts struct{ Asked, Answered, Refused, Silent uint64 }

// NewDiscovery makes the adapter.
func NewDiscovery(config DiscoveryConfig, loop *eventloop.Loop, core *routing.Core, to *Destinations) *Discovery {
	return &Discovery{config: config, loop: loop, core: core, destinations: to, version: config.CachedList.Version,
		names: map[balance.WorkerID]string{}, listed: map[balance.WorkerID]balance.WorkerListing{}}
}

// Answered tells whether the list is as the pool config had it since this start.
func (d *Discovery) Answered() bool { return d.answered }

// Counts returns the totals of the calls.
func (d *Discovery) Counts() CallCounts { return d.counts }

// Listed returns the number of destinations in the list.
func (d *Discovery) Listed() int { return len(d.listed) }

// Find returns the number of a destination that the list has named at some time.
func (d *Discovery) Find(name string) (balance.WorkerID, bool) {
	id := workerIDOf(name)
	return id, d.names[id] == name
}

// NameOf returns the name of a destination that the list has named at some time.
func (d *Discovery) NameOf(id balance.WorkerID) string { return d.names[id] }

// ZoneOf names the zone of a listed destination.
func (d *Discovery) ZoneOf(id balance.WorkerID) (string, bool) {
	l, ok := d.listed[id]
	if !ok || l.Zone >= len(d.config.Zones) {
		return "", false
	}
	return d.config.Zones[l.Zone], true
}

// Republish tells the core anew of one destination, as when a word by hand on it has
// changed.
func (d *Discovery) Republish(id balance.WorkerID) {
	if listing, ok := d.listed[id]; ok {
		d.core.PoolChanged(balance.ListUpdate{Kind: balance.ListChanges, Version: d.version,
			Workers: []balance.WorkerListing{d.effective(id, listing)}})
	}
}

// ExcludeWarmingUp has nothing new go to cold destinations from now on: another process
// of this node has what may be sent there.
func (d *Discovery) ExcludeWarmingUp() {
	d.excludeWarmingUp = true
	for id := range d.listed {
		d.Republish(id)
	}
}

// effective gives a destination's entry as the core is to see it.
func (d *Discovery) effective(id balance.WorkerID, listing balance.WorkerListing) balance.WorkerListing {
	listing = d.config.Overrides.Apply(d.names[id], listing)
	if d.excludeWarmingUp && listing.State == balance.Ready && d.loop.Now()-listing.Started < d.config.WarmupTime {
		listing.State = balance.Draining
	}
	return listing
}

// Start tells the core the list as this node last had it.
func (d *Discovery) Start() {
	d.publish(balance.ListCached, d.config.CachedList)
	if d.config.Pushed {
		d.Watch(true)
	}
}

// nextHold is how long the watch may wait for news. Its first call waits for nothing: the module gets its one answer
// at once.
func (d *Discovery) nextHold() time.Duration {
	switch {
	case d.firstPoll:
		return firstHold
	case d.config.Pushed:
		return pushedHold
	case d.config.Jitter == nil:
		return maxWatchHold
	}
	return maxWatchHold/2 + time.Duration(d.config.Jitter()*float64(maxWatchHold/2)).Truncate(time.Millisecond)
}

// answerTimeout is what an answer may take beyond the call's hold.
func (d *Discovery) answerTimeout(call *discoveryCall) time.Duration {
	switch {
	case d.config.Pushed:
		return pushedTimeout
	case call.hold > firstHold:
		return watchAnswerGrace
	}
	return queuedCallTimeout
}

// Address is where the pool config is asked.
func (d *Discovery) Address() string { return d.config.Address }

// SetAddress goes on with the pool config at another address, at once: what was open
// is asked anew there, and so is a watch that the module would have asked for
// again only later. The list and its version stay. That the old connections end
// is no failure, and the module does not hear of it.
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

// Watch opens the standing watch, or ends it.
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

// Fetch asks for the whole list once.
func (d *Discovery) Fetch() {
	if d.fetch == nil {
		d.fetch = &discoveryCall{owner: d}
		d.send(d.fetch, "/v1/servers")
	}
}

// pollWatch has the watch ask for what comes next.
func (d *Discovery) pollWatch() {
	d.watch.hold = d.nextHold()
	d.send(d.watch, "/v1/servers?from="+strconv.FormatUint(d.version, 10)+
		"&hold_ms="+strconv.FormatInt(d.watch.hold.Milliseconds(), 10))
}
