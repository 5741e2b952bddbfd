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

// withAdmin opens the operators' address of a fixture. record may be nil.
func (w *fixture) withAdmin(t *testing.T, record func(string, bool, func(override.Overrides, error))) (a *Admin) {
	t.Helper()
	at := scriptedpeer.FreeAddress(t)
	w.Loop.Call(func() {
		w.discovery.config.Overrides = override.Overrides{}
		a = NewAdmin(AdminConfig{Listen: at, MaxSockets: 12, MaxBufferedBytes: 64 << 10, Classes: []string{"pruefen", "buchen"},
			Ready: w.core.AnyReady, RecordOverride: record}, w.Loop, w.core, w.discovery, w.destinations, w.discovery.config.Overrides)
		if err := a.Start(); err != nil {
			t.Error(err)
		}
	})
	w.Serve("admin", at)
	return a
}

// call makes one call, and looks for a text in the answer.
func (w *fixture) call(t *testing.T, line, want string) {
	t.Helper()
	w.Play(lines("o dial admin", "o send "+line+` HTTP/1.1\r\nHost: x\r\n\r\n`, "o closed"))
	if got := w.Unread("o"); !strings.Contains(got, want) {
		t.Errorf("%s: %q, want %s", line, got, want)
	}
}

func (w *fixture) expectMetrics(t *testing.T, want ...string) {
	t.Helper()
	for _, line := range want {
		w.call(t, "GET /-/metrics", "\nbalancer."+line+"\n")
	}
}

// All calls and their errors. Any number of callers that send nothing, or an incomplete
// call, delay nobody.
func TestAdmin_calls(t *testing.T) {
	w := newFixture(t, nil)
	a := w.withAdmin(t, nil)
	for i := range 30 {
		name := fmt.Sprint("silent", i)
		w.Play(name + " dial admin")
		if i%2 == 0 {
			w.Play(name + ` send GET /-/re`)
		}
		w.WaitUntil(func() bool { return a.listener.Pending() == 0 })
		w.Advance(300 * time.Millisecond)
	}
	for _, c := range [][2]string{{"GET /-/ready", " 200 "}, {"PUT /-/ready", " 405 "}, {"PUT /-/metrics", "Allow: GET\r\n"},
		{"GET /-/prep-workers/s-1/disable", "Allow: PUT\r\n"}, {"PUT /-/prep-workers/nobody/disable", " 404 "},
		{"PUT /-/prep-workers/nobody/enable", " 404 "}, {"PUT /-/prep-workers/s-1/burn", " 404 "},
		{"PUT /-/prep-workers/%zz/disable", " 404 "}, {"PUT /-/prep-workers/s%2D1/disable", " 200 "},
		{"PUT /-/prep-workers/s-2/enable", " 200 "}, {"GET /", " 404 "}, {"GET /healthz", " 404 "}, {"what is this", " 400 "}} {
		w.call(t, c[0], c[1])
	}
}

// The fleet's calls exist only where the node belongs to one.
func TestAdmin_fleetCalls(t *testing.T) {
	w := newFixture(t, nil)
	a := w.withAdmin(t, nil)
	w.call(t, "GET /-/fleet", " 404 ")
	w.Loop.Call(func() {
		a.config.FleetStatus = func() []byte { return []byte("epoch 7\n") }
		a.config.ZoneCommand = func(zone, do, reason string, span time.Duration, done func(error)) {
			if zone != "b 1" || do != "leave" || reason != "works" || span != 30*time.Minute && span != defaultZoneCommandTime {
				done(errors.New("said " + zone + do + reason))
				return
			}
			done(nil)
		}
	})
	for _, c := range [][2]string{{"GET /-/fleet", "epoch 7"}, {"PUT /-/fleet", " 405 "}, {"PUT /-/zones/b%201/leave?reason=works&for=30m", " 200 "},
		{"PUT /-/zones/b%201/leave?reason=works", " 200 "}, {"PUT /-/zones/b/leave?reason=works", " 503 "}, {"GET /-/zones/b/leave", " 405 "},
		{"PUT /-/zones/b/leave?for=soon", " 400 "}, {"PUT /-/zones/b/leave?for=48h", " 400 "}, {"PUT /-/zones/b/leave?reason=%zz", " 400 "},
		{"PUT /-/zones/b", " 404 "}} {
		w.call(t, c[0], c[1])
	}
}

// The metrics count what clients and prep workers have seen: a request in progress, served,
// rejected by a prep worker, abandoned by its client.
func TestAdmin_Metrics(t *testing.T) {
	w := newFixture(t, nil)
	w.withAdmin(t, nil)
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi")
	w.expectMetrics(t, "attempts:1|c", "in_flight:1|g", "prep_workers_known:2|g", "prep_workers_excluded:0|g")
	w.Play(`
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
	w.call(t, "PUT /-/prep-workers/s-1/disable", " 200 ")
	w.expectMetrics(t, "refused.pruefen:0|c", "failed.pruefen:0|c", "served.buchen:0|c", "failed.buchen:1|c", "attempts:3|c",
		"in_flight:0|g", "prep_workers_known:2|g", "prep_workers_excluded:1|g")
	w.call(t, "GET /-/metrics", "balancer.served.pruefen:1|c\n")
	w.checkTotals(t)
}

// A disabled prep worker gets nothing new, whatever the list says. Once enabled, its start is
// the time of the call, and earlier connections are not used again.
func TestAdmin_overrideOutAndBack(t *testing.T) {
	w := newFixture(t, nil)
	w.withAdmin(t, nil)
	s1 := workerIDOf("s-1")
	ready := func() (is bool) {
		w.Loop.Call(func() {
			w.core.EachWorker(func(id balance.WorkerID, s balance.State, _ float64) { is = is || id == s1 && s == balance.Ready })
		})
		return is
	}
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi")
	for _, name := range []string{"s-1", "s-2"} {
		w.call(t, "PUT /-/prep-workers/"+name+"/disable", " 200 ")
	}
	for i, state := range []string{"Terminating", "Gone", "Ready", "Ready"} {
		list := EndpointList{Version: uint64(8 + i), Entries: []Endpoint{{Name: "s-1", Address: w.destinations.byID[workerIDOf("s-2")].address, State: state, Weight: 1}}}
		w.Loop.Call(func() { w.discovery.publish(balance.ListKind(i/3), list) }) // the last is a snapshot
		if ready() {
			t.Errorf("listed %s: ready though disabled by an override", state)
		}
		if i == 2 {
			w.Play(`
				x dial front
				x send POST /pruefen HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline: 0.2\r\n\r\n
				wait 300ms
				x expect HTTP/1.1 503
			`)
		}
	}
	w.call(t, "PUT /-/prep-workers/s-1/enable", " 200 ")
	var laid balance.WorkerListing
	var now time.Duration
	w.Loop.Call(func() { laid, now = w.discovery.effective(s1, w.discovery.listed[s1]), w.Loop.Now() })
	if !ready() || now-laid.Started > time.Second {
		t.Errorf("called back: ready %v, counts as started %v ago", ready(), now-laid.Started)
	}
	w.Play("s send {stream}{done}\nc expect fine\ns closed\nc send {ask}\nr accept workers\nr expect hi")
	// Beside a process that uses the slow-start allowance this one sends them nothing.
	w.Loop.Call(func() { w.discovery.config.WarmupTime = time.Minute; w.discovery.ExcludeWarmingUp() })
	if ready() {
		t.Error("a worker that warms up is ready beside the process that uses its allowance")
	}
}

// An override that cannot be stored is answered with an error within a second. Disabling
// takes effect all the same; enabling does not.
func TestAdmin_overrideNotRecorded(t *testing.T) {
	for _, fails := range []bool{true, false} { // or it hangs
		w := newFixture(t, nil)
		records := 0 // on the loop
		a := w.withAdmin(t, func(_ string, _ bool, done func(override.Overrides, error)) {
			records++
			if fails {
				done(nil, errors.New("no room left"))
			}
		})
		for i, verb := range []string{"disable", "enable"} {
			w.Play(`o dial admin` + "\n" + `o send PUT /-/prep-workers/s-1/` + verb + ` HTTP/1.1\r\n\r\n`)
			w.WaitUntil(func() bool { return records == i+1 })
			w.Play("wait 800ms\no expect HTTP/1.1 50\no closed")
		}
		w.Loop.Call(func() {
			if !a.overrides.Disabled("s-1") {
				t.Error("it is enabled, though the caller got an error")
			}
		})
	}
}
