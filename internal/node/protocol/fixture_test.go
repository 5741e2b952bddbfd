package protocol

import (
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/testkit/scriptedpeer"
)

// fixture is a node with scripted destinations and a scripted pool config.
type fixture struct {
	*scriptedpeer.Bench
	core         *routing.Core
	front        *Front
	destinations *Destinations
	discovery    *Discovery
}

// newFixture starts a node of two destinations, both played by the scripted peer "workers",
// with two classes: 'pruefen' is idempotent, 'buchen' (a booking) must never run twice.
// change may alter the settings.
func newFixture(t *testing.T, change func(*balance.Settings, *FrontConfig)) *fixture {
	t.Helper()
	w := &fixture{Bench: scriptedpeer.New(t)}
	class := func(e balance.Effect) balance.Class {
		return balance.Class{LatencyTarget: 2 * time.Second, TargetStretch: 2, Timeout: 4 * time.Second, Value: 1, Effect: e, Kind: -1}
	}
	s := balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond, ReportsStart: true,
		Classes:      []balance.Class{class(balance.Idempotent), class(balance.NonIdempotent)},
		ReportFields: []balance.ReportField{balance.FieldBacklog, balance.FieldFreeSlots},
		Limits: balance.Limits{Cancel: true, Probes: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute},
		Rules: balance.Rules{InitialCapacity: 1, SubscribeWithin: 10 * time.Second}}
	f := FrontConfig{Listen: scriptedpeer.FreeAddress(t), MaxSockets: 40, MaxBufferedBytes: 1 << 20, Classes: map[string]int{"pruefen": 0, "buchen": 1},
		DefaultTimeouts: []time.Duration{4 * time.Second, 4 * time.Second}, RetryAdvice: true}
	if change != nil {
		change(&s, &f)
	}
	workers, pool := w.Listen("workers"), w.Listen("pool")
	w.Serve("front", f.Listen)
	w.Variables["ask"] = `POST /pruefen/x?y=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline: 3.0\r\nContent-Length: 2\r\n\r\nhi`
	w.Variables["book"] = `POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3.0\r\n\r\n`
	w.Variables["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	w.Variables["done"] = scriptedpeer.Chunk(`{"id":"a1","state":"done","result":"fine","load":{"queue":1,"x0":2}}`) + `0\r\n\r\n`
	w.Variables["booked"] = strings.ReplaceAll(w.Variables["done"], "a1", "b1")
	known := EndpointList{Version: 7, Entries: []Endpoint{{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
		{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}
	w.Loop.Call(func() {
		core, err := routing.New(s, 1, w.Loop, &w.Loop.Timers)
		if err != nil {
			t.Error(err)
			return
		}
		w.core = core
		w.destinations = NewDestinations(DestinationConfig{Host: "app.svc", MaxConnections: 8, ConnectTimeout: 10 * time.Second,
			IdleTimeout: s.Limits.ConnIdle, ReportFields: []string{"backlog", "x0"}}, w.Loop, core)
		w.discovery = NewDiscovery(DiscoveryConfig{Address: pool, ConnectTimeout: 10 * time.Second, CachedList: known}, w.Loop, core, w.destinations)
		peers, _ := NewPeers(PeersConfig{}, w.Loop, core)
		core.Connect(w.destinations, w.discovery, peers)
		w.discovery.Start()
		w.front = NewFront(f, w.Loop, core)
		if err := w.front.Start(); err != nil {
			t.Error(err)
		}
	})
	return w
}

// outcomes returns how often each outcome was reported to the balancer.
func (w *fixture) outcomes() (n [balance.NotSent + 1]uint64) {
	w.Loop.Call(func() { n = w.core.Counts().Outcomes })
	return n
}

// checkTotals checks that each operation has one final answer or is open.
func (w *fixture) checkTotals(t *testing.T) {
	t.Helper()
	w.Loop.Call(func() {
		c := w.core.Counts()
		if c.Operations != c.Served+c.Refused+c.Failed+c.Rejected+c.Withdrawn+c.HandedOver+uint64(w.core.OpenOperations()) {
			t.Errorf("operations and final answers do not add up: %+v, %d open", c, w.core.OpenOperations())
		}
	})
}

func lines(parts ...string) string { return strings.Join(parts, "\n") }
