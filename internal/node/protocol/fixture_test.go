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

// newFixture starts a node with two destinations, both played by the scripted peer "workers", and
// two classes: 'pruefen' (a check) is idempotent, 'buchen' (a booking) must never run twice.
// configure may change the settings; it may be nil.
//
// Scenarios can use these texts: {ask} is an idempotent request with Req-Id a1, {book} a booking
// with Req-Id b1, {stream} the head of a prep worker's response, and {done} and {booked} are the
// rest of a response that reports the success of {ask} or {book}.
func newFixture(t *testing.T, configure func(*balance.Settings, *FrontConfig)) *fixture {
	t.Helper()
	fx := &fixture{Bench: scriptedpeer.New(t)}
	class := func(e balance.Effect) balance.Class {
		return balance.Class{LatencyTarget: 2 * time.Second, TargetStretch: 2, Timeout: 4 * time.Second, Value: 1, Effect: e, Kind: -1}
	}
	settings := balance.Settings{Balancers: 1, Resolution: 2 * time.Millisecond, ReportsStart: true,
		Classes:      []balance.Class{class(balance.Idempotent), class(balance.NonIdempotent)},
		ReportFields: []balance.ReportField{balance.FieldBacklog, balance.FieldFreeSlots},
		Limits: balance.Limits{Cancel: true, Probes: true, MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute},
		Rules: balance.Rules{InitialCapacity: 1, SubscribeWithin: 10 * time.Second}}
	frontConfig := FrontConfig{Listen: scriptedpeer.FreeAddress(t), MaxSockets: 40, MaxBufferedBytes: 1 << 20, Classes: map[string]int{"pruefen": 0, "buchen": 1},
		DefaultTimeouts: []time.Duration{4 * time.Second, 4 * time.Second}, RetryAdvice: true}
	if configure != nil {
		configure(&settings, &frontConfig)
	}
	workers, pool := fx.Listen("workers"), fx.Listen("pool")
	fx.Serve("front", frontConfig.Listen)
	fx.Variables["ask"] = `POST /pruefen/x?y=1 HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline: 3.0\r\nContent-Length: 2\r\n\r\nhi`
	fx.Variables["book"] = `POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3.0\r\n\r\n`
	fx.Variables["stream"] = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`
	fx.Variables["done"] = scriptedpeer.Chunk(`{"id":"a1","state":"done","result":"fine","load":{"queue":1,"x0":2}}`) + `0\r\n\r\n`
	fx.Variables["booked"] = strings.ReplaceAll(fx.Variables["done"], "a1", "b1")
	cachedList := EndpointList{Version: 7, Entries: []Endpoint{{Name: "s-1", Address: workers, State: "Ready", Weight: 1},
		{Name: "s-2", Address: workers, State: "Ready", Weight: 1}}}
	fx.Loop.Call(func() {
		core, err := routing.New(settings, 1, fx.Loop, &fx.Loop.Timers)
		if err != nil {
			t.Errorf("create the core: %v", err)
			return
		}
		fx.core = core
		fx.destinations = NewDestinations(DestinationConfig{Host: "app.svc", MaxConnections: 8, ConnectTimeout: 10 * time.Second,
			IdleTimeout: settings.Limits.ConnIdle, ReportFields: []string{"backlog", "x0"}}, fx.Loop, core)
		fx.discovery = NewDiscovery(DiscoveryConfig{Address: pool, ConnectTimeout: 10 * time.Second, CachedList: cachedList}, fx.Loop, core, fx.destinations)
		peers, _ := NewPeers(PeersConfig{}, fx.Loop, core)
		core.Connect(fx.destinations, fx.discovery, peers)
		fx.discovery.Start()
		fx.front = NewFront(frontConfig, fx.Loop, core)
		if err := fx.front.Start(); err != nil {
			t.Errorf("start the front on %s: %v", frontConfig.Listen, err)
		}
	})
	return fx
}

// outcomes returns how often each outcome was reported to the balancer.
func (fx *fixture) outcomes() (n [balance.NotSent + 1]uint64) {
	fx.Loop.Call(func() { n = fx.core.Counts().Outcomes })
	return n
}

// checkTotals checks that each operation either has one final answer or is open.
func (fx *fixture) checkTotals(t *testing.T) {
	t.Helper()
	fx.Loop.Call(func() {
		c := fx.core.Counts()
		if c.Operations != c.Served+c.Refused+c.Failed+c.Rejected+c.Withdrawn+c.HandedOver+uint64(fx.core.OpenOperations()) {
			t.Errorf("operations are not the sum of final answers and open operations: %+v, %d open", c, fx.core.OpenOperations())
		}
	})
}

// lines joins the steps of a scenario.
func lines(parts ...string) string { return strings.Join(parts, "\n") }
