package protocol

import (
	"bytes"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/routing"
)

const (
	recordTimeout             = 700 * time.Millisecond // for storing a manual override: the answer is due within 1 s
	avoidedFailureProbability = 0.5                    // at which the balancer avoids a destination
)

// AdminConfig configures the operators' address.
type AdminConfig struct {
	Listen           string
	MaxSockets       int
	MaxBufferedBytes int
	Classes          []string // names of the request classes, by number
	Ready            func() bool
	// RecordOverride stores a manual override for the next process of this node. It works outside
	// the loop and calls done on the loop with the overrides now in force. nil: they are kept only
	// in memory.
	RecordOverride func(name string, disable bool, done func(override.Overrides, error))
	// ZoneCommand sends a command for a zone to the fleet's voters and calls done on the loop with
	// the result. FleetStatus returns the fleet's status as text. nil: the node belongs to no fleet.
	ZoneCommand func(zone, command, reason string, duration time.Duration, done func(error))
	FleetStatus func() []byte
}

// Admin serves the operators' address: readiness, metrics, manual overrides that disable
// or enable a prep worker, and the calls for the fleet. Each connection serves one call.
type Admin struct {
	*Server
	config       AdminConfig
	loop         *eventloop.Loop
	core         *routing.Core
	discovery    *Discovery
	destinations *Destinations
	overrides    override.Overrides
}

// NewAdmin returns the server for operators; Start opens it. overrides is the map that Discovery
// applies to the endpoint list: both share it.
func NewAdmin(config AdminConfig, loop *eventloop.Loop, core *routing.Core, discovery *Discovery, destinations *Destinations,
	overrides override.Overrides) *Admin {
	a := &Admin{config: config, loop: loop, core: core, discovery: discovery, destinations: destinations, overrides: overrides}
	a.Server = NewServer(loop, config.Listen, config.MaxSockets, config.MaxBufferedBytes, a.handle)
	return a
}

// handle serves one call.
func (a *Admin) handle(call *Call) {
	call.closeAfter = true
	path, _, _ := strings.Cut(string(call.Target), "?")
	switch path {
	case "/-/ready":
		if !allowMethod(call, "GET") {
			return
		}
		if a.config.Ready() {
			call.Reply(200, "Content-Type: text/plain\r\n", []byte("ready\n"))
		} else {
			call.Reply(503, "Content-Type: text/plain\r\n", []byte("not ready\n"))
		}
		return
	case "/-/metrics":
		if allowMethod(call, "GET") {
			call.Reply(200, "Content-Type: text/plain\r\n", a.Metrics())
		}
		return
	}
	if a.config.ZoneCommand != nil && a.handleFleet(call, path) {
		return
	}
	id, verb, ok := strings.Cut(strings.TrimPrefix(path, "/-/prep-workers/"), "/")
	name, err := url.PathUnescape(id)
	if !strings.HasPrefix(path, "/-/prep-workers/") || !ok || verb != "disable" && verb != "enable" || err != nil {
		call.Reject(404, "no such call")
		return
	}
	if !allowMethod(call, "PUT") {
		return
	}
	a.setOverride(call, name, verb == "disable")
}

const (
	defaultZoneCommandTime = 10 * time.Minute // how long a zone command that names no time is in force
	maxZoneCommandTime     = 24 * time.Hour
)

// handleFleet answers a call for the fleet. It reports whether the call is one.
func (a *Admin) handleFleet(call *Call, path string) bool {
	if path == "/-/fleet" {
		if allowMethod(call, "GET") {
			call.Reply(200, "Content-Type: text/plain\r\n", a.config.FleetStatus())
		}
		return true
	}
	name, command, ok := strings.Cut(strings.TrimPrefix(path, "/-/zones/"), "/")
	zone, err := url.PathUnescape(name)
	if !strings.HasPrefix(path, "/-/zones/") || !ok || err != nil || zone == "" {
		return false
	}
	if !allowMethod(call, "PUT") {
		return true
	}
	_, query, _ := strings.Cut(string(call.Target), "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		call.Reject(400, "the query cannot be read")
		return true
	}
	duration := defaultZoneCommandTime
	if text := values.Get("for"); text != "" {
		if duration, err = time.ParseDuration(text); err != nil || duration <= 0 || duration > maxZoneCommandTime {
			call.Reject(400, "for: a time above 0, at most 24h, is wanted")
			return true
		}
	}
	slog.Info("zone command received", "zone", zone, "do", command, "reason", values.Get("reason"), "for", duration)
	a.config.ZoneCommand(zone, command, values.Get("reason"), duration, func(err error) {
		if err != nil {
			call.Reply(503, "Content-Type: text/plain\r\n", []byte(err.Error()+"\n"))
			return
		}
		call.Reply(200, "Content-Type: text/plain\r\n", []byte("done\n"))
	})
	return true
}

// allowMethod reports whether the call has the given method, and answers 405 if not.
func allowMethod(c *Call, method string) bool {
	if string(c.Method) != method {
		c.Reply(405, "Allow: "+method+"\r\n", []byte("only "+method+" is allowed\n"))
		return false
	}
	return true
}

// setOverride disables a prep worker or enables it again. Disabling takes effect immediately,
// whether or not the override can be stored. Enabling takes effect when it has been stored, so
// that an error leaves the prep worker disabled.
func (a *Admin) setOverride(call *Call, name string, disable bool) {
	worker, known := a.discovery.Find(name)
	if _, overridden := a.overrides[name]; !known && !overridden {
		call.Reject(404, "no such prep worker")
		return
	}
	slog.Info("manual override received", "prep_worker", name, "out", disable)
	if disable {
		a.overrides.Set(name, true, a.loop.Now())
		a.applyOverride(worker)
	}
	answered := false
	reply := func(status int, text string) {
		if !answered {
			answered = true
			call.Reply(status, "Content-Type: text/plain\r\n", []byte(text+"\n"))
		}
	}
	if a.config.RecordOverride == nil {
		if !disable {
			a.overrides.Set(name, false, a.loop.Now())
			a.applyOverride(worker)
		}
		reply(200, "done")
		return
	}
	timeout := a.loop.Timers.Add(a.loop.Now()+recordTimeout, func() { reply(503, "the record in TMPDIR takes too long") })
	a.config.RecordOverride(name, disable, func(current override.Overrides, err error) {
		a.loop.Timers.Cancel(timeout)
		if err != nil {
			slog.Error("manual override not stored", "prep_worker", name, "out", disable, "fault", err)
			reply(500, "it is out in this process, but not recorded in TMPDIR: an upgrade would forget it")
			return
		}
		a.MergeOverrides(current)
		reply(200, "done")
	})
}

// MergeOverrides applies overrides stored by this process or another one of this node.
func (a *Admin) MergeOverrides(stored override.Overrides) {
	for _, name := range a.overrides.Merge(stored) {
		slog.Info("manual override applied", "prep_worker", name, "out", a.overrides.Disabled(name), "recorded", true)
		a.applyOverride(workerIDOf(name))
	}
}

// applyOverride makes a changed override take effect. Earlier connections are not used any
// more, since a prep worker is restarted while it is disabled.
func (a *Admin) applyOverride(id balance.WorkerID) {
	a.destinations.InvalidateConnections(id)
	a.discovery.Republish(id)
}

// Metrics returns the metrics in the text format of statsd, one per line.
func (a *Admin) Metrics() []byte {
	var buffer bytes.Buffer
	line := func(name string, v uint64, kind string) {
		buffer.WriteString("balancer.")
		buffer.WriteString(name)
		buffer.WriteByte(':')
		buffer.WriteString(strconv.FormatUint(v, 10))
		buffer.WriteByte('|')
		buffer.WriteString(kind)
		buffer.WriteByte('\n')
	}
	counts := a.core.Counts()
	for i, class := range a.config.Classes {
		classCounts := counts.Classes[i]
		line("served."+class, classCounts.Served, "c")
		line("refused."+class, classCounts.Refused, "c")
		line("failed."+class, classCounts.Failed, "c")
	}
	line("attempts", a.destinations.Attempts(), "c")
	line("in_flight", uint64(a.core.OpenOperations()), "g")
	line("prep_workers_known", uint64(a.discovery.ListedCount()), "g")
	line("prep_workers_excluded", uint64(a.countExcluded()), "g")
	return buffer.Bytes()
}

// countExcluded returns the number of listed prep workers that are disabled by an override
// or avoided by the balancer.
func (a *Admin) countExcluded() (n int) {
	a.core.EachWorker(func(id balance.WorkerID, _ balance.State, failureProbability float64) {
		if failureProbability >= avoidedFailureProbability || a.overrides.Disabled(a.discovery.names[id]) {
			n++
		}
	})
	return n
}
