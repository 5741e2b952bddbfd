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
	recordTimeout             = 700 * time.Millisecond // to store a manual override: the answer is due within 1 s
	avoidedFailureProbability = 0.5                    // from which on the balancer avoids a destination
)

// AdminConfig configures the operators' address.
type AdminConfig struct {
	Listen           string
	MaxSockets       int
	MaxBufferedBytes int
	Classes          []string // names of the request classes, by number
	Ready            func() bool
	// RecordOverride stores a manual override for the next process of this node, off the loop, and
	// calls done on the loop with the overrides now in force. nil: they are kept in memory alone.
	RecordOverride func(name string, out bool, done func(override.Overrides, error))
	// ZoneCommand sends a command on a zone to the fleet's voters and calls done on the loop with
	// the result. FleetStatus returns the fleet's status as text. nil: the node belongs to no fleet.
	ZoneCommand func(zone, do, reason string, span time.Duration, done func(error))
	FleetStatus func() []byte
}

// Admin serves the operators' address: readiness, metrics, manual overrides that disable
// or enable a prep worker, and the fleet's calls. Each connection serves one call.
type Admin struct {
	*Server
	config       AdminConfig
	loop         *eventloop.Loop
	core         *routing.Core
	discovery    *Discovery
	destinations *Destinations
	overrides    override.Overrides
}

// NewAdmin returns the operators' front; Start opens it. overrides are those that Discovery
// applies to the endpoint list: both share the map.
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
	defaultZoneCommandTime = 10 * time.Minute // that a zone command is in force, if it names no time
	maxZoneCommandTime     = 24 * time.Hour
)

// handleFleet answers the calls that concern the fleet. It reports whether this is one.
func (a *Admin) handleFleet(call *Call, path string) bool {
	if path == "/-/fleet" {
		if allowMethod(call, "GET") {
			call.Reply(200, "Content-Type: text/plain\r\n", a.config.FleetStatus())
		}
		return true
	}
	name, do, ok := strings.Cut(strings.TrimPrefix(path, "/-/zones/"), "/")
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
	span := defaultZoneCommandTime
	if text := values.Get("for"); text != "" {
		if span, err = time.ParseDuration(text); err != nil || span <= 0 || span > maxZoneCommandTime {
			call.Reject(400, "for: a time above 0, at most 24h, is wanted")
			return true
		}
	}
	slog.Info("zone command received", "zone", zone, "do", do, "reason", values.Get("reason"), "for", span)
	a.config.ZoneCommand(zone, do, values.Get("reason"), span, func(err error) {
		if err != nil {
			call.Reply(503, "Content-Type: text/plain\r\n", []byte(err.Error()+"\n"))
			return
		}
		call.Reply(200, "Content-Type: text/plain\r\n", []byte("done\n"))
	})
	return true
}

// allowMethod reports whether the call has the method, and answers 405 if not.
func allowMethod(c *Call, method string) bool {
	if string(c.Method) != method {
		c.Reply(405, "Allow: "+method+"\r\n", []byte("only "+method+" is allowed\n"))
		return false
	}
	return true
}

// setOverride disables a prep worker (out) or enables it again. Disabling takes effect at
// once, whether or not the override can be stored. Enabling takes effect once it is stored,
// so that an error leaves the prep worker disabled.
func (a *Admin) setOverride(call *Call, name string, out bool) {
	worker, known := a.discovery.Find(name)
	if _, spoken := a.overrides[name]; !known && !spoken {
		call.Reject(404, "no such prep worker")
		return
	}
	slog.Info("manual override received", "prep_worker", name, "out", out)
	if out {
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
		if !out {
			a.overrides.Set(name, false, a.loop.Now())
			a.applyOverride(worker)
		}
		reply(200, "done")
		return
	}
	timeout := a.loop.Timers.Add(a.loop.Now()+recordTimeout, func() { reply(503, "the record in TMPDIR takes too long") })
	a.config.RecordOverride(name, out, func(now override.Overrides, err error) {
		a.loop.Timers.Cancel(timeout)
		if err != nil {
			slog.Error("manual override not stored", "prep_worker", name, "out", out, "fault", err)
			reply(500, "it is out in this process, but not recorded in TMPDIR: an upgrade would forget it")
			return
		}
		a.Merge(now)
		reply(200, "done")
	})
}

// Merge applies the overrides that another process of this node has stored.
func (a *Admin) Merge(words override.Overrides) {
	for _, name := range a.overrides.Merge(words) {
		slog.Info("manual override applied", "prep_worker", name, "out", a.overrides.Disabled(name), "recorded", true)
		a.applyOverride(workerIDOf(name))
	}
}

// applyOverride makes a changed override take effect. Connections made before are not used
// any more, since a prep worker is restarted while it is disabled.
func (a *Admin) applyOverride(id balance.WorkerID) {
	a.destinations.InvalidateConnections(id)
	a.discovery.Republish(id)
}

// Metrics returns the metrics in statsd's text format, one a line.
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
	line("prep_workers_known", uint64(a.discovery.Listed()), "g")
	line("prep_workers_excluded", uint64(a.countExcluded()), "g")
	return buffer.Bytes()
}

// countExcluded returns the number of listed prep workers that are disabled by an override
// or avoided by the balancer.
func (a *Admin) countExcluded() (n int) {
	a.core.EachWorker(func(id balance.WorkerID, _ balance.State, doubt float64) {
		if doubt >= avoidedFailureProbability || a.overrides.Disabled(a.discovery.names[id]) {
			n++
		}
	})
	return n
}
