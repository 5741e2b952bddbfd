package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/override"
	"ospreybend/internal/testkit/scriptedpeer"
)

// withAdmin starts an admin server on the fixture. store is its RecordOverride and may be nil.
func (fx *fixture) withAdmin(t *testing.T, store func(string, bool, func(override.Overrides, error))) (a *Admin) {
	t.Helper()
	address := scriptedpeer.FreeAddress(t)
	fx.Loop.Call(func() {
		fx.discovery.config.Overrides = override.Overrides{}
		a = NewAdmin(AdminConfig{Listen: address, MaxSockets: 12, MaxBufferedBytes: 64 << 10, Classes: []string{"pruefen", "buchen"},
			Ready: fx.core.AnyReady, RecordOverride: store}, fx.Loop, fx.core, fx.discovery, fx.destinations, fx.discovery.config.Overrides)
		if err := a.Start(); err != nil {
			t.Errorf("start the admin server on %s: %v", address, err)
		}
	})
	fx.Serve("admin", address)
	return a
}

// call makes one call and checks that the answer contains a text.
func (fx *fixture) call(t *testing.T, line, want string) {
	t.Helper()
	fx.Play(lines("o dial admin", "o send "+line+` HTTP/1.1\r\nHost: x\r\n\r\n`, "o closed"))
	if got := fx.Unread("o"); !strings.Contains(got, want) {
		t.Errorf("%s: got answer %q, want it to contain %q", line, got, want)
	}
}

func (fx *fixture) expectMetrics(t *testing.T, want ...string) {
	t.Helper()
	for _, line := range want {
		fx.call(t, "GET /-/metrics", "\nbalancer."+line+"\n")
	}
}

// Covers all calls and their errors. Callers that send nothing or an incomplete call, however
// many, do not delay others.
func TestAdmin_calls(t *testing.T) {
	fx := newFixture(t, nil)
	a := fx.withAdmin(t, nil)
	for i := range 30 {
		name := fmt.Sprint("silent", i)
		fx.Play(name + " dial admin")
		if i%2 == 0 {
			fx.Play(name + ` send GET /-/re`)
		}
		fx.WaitUntil(func() bool { return a.listener.Pending() == 0 })
		fx.Advance(300 * time.Millisecond)
	}
	for _, c := range [][2]string{{"GET /-/ready", " 200 "}, {"PUT /-/ready", " 405 "}, {"PUT /-/metrics", "Allow: GET\r\n"},
		{"GET /-/prep-workers/s-1/disable", "Allow: PUT\r\n"}, {"PUT /-/prep-workers/nobody/disable", " 404 "},
		{"PUT /-/prep-workers/nobody/enable", " 404 "}, {"PUT /-/prep-workers/s-1/burn", " 404 "},
		{"PUT /-/prep-workers/%zz/disable", " 404 "}, {"PUT /-/prep-workers/s%2D1/disable", " 200 "},
		{"PUT /-/prep-workers/s-2/enable", " 200 "}, {"GET /", " 404 "}, {"GET /healthz", " 404 "}, {"what is this", " 400 "}} {
		fx.call(t, c[0], c[1])
	}
}

// The calls for the fleet exist only if the node belongs to a fleet.
func TestAdmin_fleetCalls(t *testing.T) {
	fx := newFixture(t, nil)
	a := fx.withAdmin(t, nil)
	fx.call(t, "GET /-/fleet", " 404 ")
	fx.Loop.Call(func() {
		a.config.FleetStatus = func() []byte { return []byte("epoch 7\n") }
		a.config.ZoneCommand = func(zone, command, reason string, duration time.Duration, done func(error)) {
			if zone != "b 1" || command != "leave" || reason != "works" || duration != 30*time.Minute && duration != defaultZoneCommandTime {
				done(fmt.Errorf("unexpected zone command: zone %q, command %q, reason %q, duration %v", zone, command, reason, duration))
				return
			}
			done(nil)
		}
	})
	for _, c := range [][2]string{{"GET /-/fleet", "epoch 7"}, {"PUT /-/fleet", " 405 "}, {"PUT /-/zones/b%201/leave?reason=works&for=30m", " 200 "},
		{"PUT /-/zones/b%201/leave?reason=works", " 200 "}, {"PUT /-/zones/b/leave?reason=works", " 503 "}, {"GET /-/zones/b/leave", " 405 "},
		{"PUT /-/zones/b/leave?for=soon", " 400 "}, {"PUT /-/zones/b/leave?for=48h", " 400 "}, {"PUT /-/zones/b/leave?reason=%zz", " 400 "},
		{"PUT /-/zones/b", " 404 "}} {
		fx.call(t, c[0], c[1])
	}
}

// The metrics agree with what clients and prep workers have seen of a request in progress, one
// served, one rejected by a prep worker and one abandoned by its client.
func TestAdmin_Metrics(t *testing.T) {
	fx := newFixture(t, nil)
	fx.withAdmin(t, nil)
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi")
	fx.expectMetrics(t, "attempts:1|c", "in_flight:1|g", "prep_workers_known:2|g", "prep_workers_excluded:0|g")
	fx.Play(`
		s send HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n{done}
		c expect fine
		c send {book}
		b accept workers
		b expect b1
		b send HTTP/1.1 400 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n
		c expect HTTP/1.1 400
		d dial front
		d send {ask}
		e accept workers
		e expect hi
		d close
		e closed
	`)
	fx.call(t, "PUT /-/prep-workers/s-1/disable", " 200 ")
	fx.expectMetrics(t, "refused.pruefen:0|c", "failed.pruefen:0|c", "served.buchen:0|c", "failed.buchen:1|c", "attempts:3|c",
		"in_flight:0|g", "prep_workers_known:2|g", "prep_workers_excluded:1|g")
	fx.call(t, "GET /-/metrics", "balancer.served.pruefen:1|c\n")
	fx.checkTotals(t)
}

// A disabled prep worker gets no new requests, whatever state the list gives it. When it is
// enabled, its start time is that of the call, and earlier connections are not used again.
func TestAdmin_overrideDisableAndEnable(t *testing.T) {
	fx := newFixture(t, nil)
	fx.withAdmin(t, nil)
	s1 := workerIDOf("s-1")
	ready := func() (is bool) {
		fx.Loop.Call(func() {
			fx.core.EachWorker(func(id balance.WorkerID, s balance.State, _ float64) { is = is || id == s1 && s == balance.Ready })
		})
		return is
	}
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi")
	for _, name := range []string{"s-1", "s-2"} {
		fx.call(t, "PUT /-/prep-workers/"+name+"/disable", " 200 ")
	}
	for i, state := range []string{"Terminating", "Gone", "Ready", "Ready"} {
		list := EndpointList{Version: uint64(8 + i), Entries: []Endpoint{{Name: "s-1", Address: fx.destinations.byID[workerIDOf("s-2")].address, State: state, Weight: 1}}}
		fx.Loop.Call(func() { fx.discovery.publish(balance.ListKind(i/3), list) }) // the last is a snapshot
		if ready() {
			t.Errorf("s-1 listed as %s while an override disables it: got ready, want not ready", state)
		}
		if i == 2 {
			fx.Play(`
				x dial front
				x send POST /pruefen HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline: 0.2\r\n\r\n
				wait 300ms
				x expect HTTP/1.1 503
			`)
		}
	}
	fx.call(t, "PUT /-/prep-workers/s-1/enable", " 200 ")
	var listing balance.WorkerListing
	var now time.Duration
	fx.Loop.Call(func() { listing, now = fx.discovery.effective(s1, fx.discovery.listed[s1]), fx.Loop.Now() })
	if !ready() || now-listing.Started > time.Second {
		t.Errorf("s-1 after enabling: ready %v, started %v ago, want ready and started at most 1s ago", ready(), now-listing.Started)
	}
	fx.Play("s send {stream}{done}\nc expect fine\ns closed\nc send {ask}\nr accept workers\nr expect hi")
	// While another process uses its slow-start allowance, this one sends it nothing.
	fx.Loop.Call(func() { fx.discovery.config.WarmupTime = time.Minute; fx.discovery.ExcludeWarmingUp() })
	if ready() {
		t.Error("s-1, warming up while another process uses its slow-start allowance: got ready, want not ready")
	}
}

// An override that cannot be stored is answered with an error within a second. Disabling takes
// effect nevertheless; enabling does not.
func TestAdmin_overrideNotStored(t *testing.T) {
	for _, storeFails := range []bool{true, false} { // false: storing does not end
		fx := newFixture(t, nil)
		storeCalls := 0 // accessed on the loop
		a := fx.withAdmin(t, func(_ string, _ bool, done func(override.Overrides, error)) {
			storeCalls++
			if storeFails {
				done(nil, errors.New("no space left on device"))
			}
		})
		for i, verb := range []string{"disable", "enable"} {
			fx.Play(`o dial admin` + "\n" + `o send PUT /-/prep-workers/s-1/` + verb + ` HTTP/1.1\r\n\r\n`)
			fx.WaitUntil(func() bool { return storeCalls == i+1 })
			fx.Play("wait 800ms\no expect HTTP/1.1 50\no closed")
		}
		fx.Loop.Call(func() {
			if !a.overrides.Disabled("s-1") {
				t.Error("s-1 after its enabling was answered with an error: got enabled, want disabled")
			}
		})
	}
}
