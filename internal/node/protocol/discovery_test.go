package protocol

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/testkit/scriptedpeer"
)

// listResponse returns a chunked response with a list, as scenario text.
func listResponse(json string) string { return `{stream}` + scriptedpeer.Chunk(json) + `0\r\n\r\n` }

// sameList has a later version than the fixture's cached list and no changes.
const sameList = `{"index":8,"snapshot":false,"endpoints":[]}`

// The service may stop answering a watch at any moment of its hold time, with the connection open.
// The watch is abandoned and retried well before a change that it missed counts as known, which is
// 6 s after the service became silent.
func TestDiscovery_silentAtAnyMomentOfTheWatch(t *testing.T) {
	for _, before := range []int{0, 400, 1000, 1600, 1995} {
		fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
		fx.Variables["same"] = listResponse(sameList)
		fx.Play(fmt.Sprintf(`
			wait 100ms
			p accept pool
			p expect hold_ms=1 HTTP/1.1
			p send {same}
			p expect from=8&hold_ms=2000
			wait %dms
			p send {same}
			p expect from=8&hold_ms=2000
			# The service is silent from here on.
			wait 2650ms
			p closed
			q accept pool
			q expect from=8&hold_ms=1 HTTP/1.1
			# This call is not answered either, for as long as it may be queued. The next is made immediately.
			wait 2250ms
			q closed
			r accept pool
			r expect from=8&hold_ms=1 HTTP/1.1
			# A queued call may take 2 s to be answered.
			wait 2000ms
			r send {same}
			r expect from=8&hold_ms=2000
		`, before))
	}
}

// A list may be received in two parts, split at any byte, and be indented.
func TestDiscovery_listSplitAndIndented(t *testing.T) {
	list := "{\n  \"index\": 9,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"s-1\",\n      \"status\": \"Terminating\"\n    }\n  ]\n}\n"
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	for at := 1; at < len(response); at += 3 {
		fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
		fx.Variables["one"], fx.Variables["two"] = response[:at], response[at:]
		fx.Play(lines("wait 100ms", "p accept pool", "p expect hold_ms=1 HTTP/1.1", "p send {one}", "p send {two}", "p expect from=9&hold_ms=2000"))
		if at+3 >= len(response) && fx.ready("s-1") {
			t.Error("s-1 listed as Terminating in a split answer: got ready, want not ready")
		}
	}
}

// ready reports whether the core has a prep worker as ready.
func (fx *fixture) ready(name string) (is bool) {
	fx.Loop.Call(func() {
		fx.core.EachWorker(func(id balance.WorkerID, state balance.State, _ float64) {
			is = is || fx.discovery.NameOf(id) == name && state == balance.Ready
		})
	})
	return is
}

// The version goes backwards, as when another instance answers or one has lost its state. Its changes
// do not apply to the present list: the complete list is requested immediately, and the watch continues from it.
func TestDiscovery_versionGoesBackwards(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	fx.Variables["same"] = listResponse(sameList)
	fx.Variables["older"] = listResponse(`{"index":3,"snapshot":false,"endpoints":[{"name":"s-2","status":"Gone"}]}`)
	fx.Variables["all"] = listResponse(`{"index":3,"snapshot":true,"endpoints":[{"name":"s-2","status":"Ready","address":"127.0.0.1:1"}]}`)
	fx.Play("wait 100ms\np accept pool\np expect hold_ms=1 HTTP/1.1\np send {same}\np expect from=8&hold_ms=2000\np send {older}\np expect from=0&hold_ms=1 HTTP/1.1")
	if !fx.ready("s-2") {
		t.Error("changes of an older version were applied: s-2 is not ready")
	}
	fx.Play("p send {all}\np expect from=3&hold_ms=2000")
	if fx.ready("s-1") || !fx.ready("s-2") {
		t.Errorf("after the complete list: s-1 ready %v, s-2 ready %v, want only s-2 ready", fx.ready("s-1"), fx.ready("s-2"))
	}
}

// A call whose answer breaks off has failed: it is retried immediately, and no part of its answer is applied.
func TestDiscovery_listCutInTheMiddle(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	fx.Variables["same"] = listResponse(sameList)
	fx.Play(`
		wait 100ms
		p accept pool
		p expect hold_ms=1 HTTP/1.1
		p send HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"index":9,"snapshot":true,"endpo
		p close
		q accept pool
		q expect from=7&hold_ms=1 HTTP/1.1
		q send {same}
		q expect from=8&hold_ms=2000
	`)
	if !fx.ready("s-1") {
		t.Error("an incomplete list was applied: s-1 is not ready")
	}
}

// The pool config fails just as a prep worker begins to drain, and stays down for long: it rejects
// calls, is silent, breaks off answers, or does not end them. It may recover right after any call, which
// is lost, and take 2 s to answer the next. For the change to be known within 6 s of the recovery, calls
// must be at most 4 s apart, whatever subscription time the settings allow.
func TestDiscovery_serviceDownDuringAChange(t *testing.T) {
	const knownAfter, maxAnswerTime = 6 * time.Second, 2 * time.Second
	for failure, response := range map[string]string{"refuses": `{down}`, "is silent": "", "breaks off": `HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"index":9,"snap`,
		"never ends": `{stream}1\r\n{\r\n`} {
		for _, down := range []time.Duration{1700 * time.Millisecond, 8 * time.Second, 60 * time.Second} {
			fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) {
				s.SubscribeDiscovery, s.Rules.SubscribeWithin, s.Balancers = true, 20*time.Second, 300
			})
			fx.Variables["same"] = listResponse(sameList)
			fx.Variables["drains"] = listResponse(`{"index":9,"snapshot":false,"endpoints":[{"name":"s-1","status":"Terminating"}]}`)
			fx.Variables["down"] = `HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n`
			callsSeen := uint64(0) // calls already accounted for
			awaitCall := func(most time.Duration) (time.Duration, bool) {
				elapsed, made := fx.AdvanceUntil(most, func() bool { return fx.discovery.counts.Sent > callsSeen })
				callsSeen++
				return elapsed, made
			}
			if _, made := awaitCall(5 * time.Second); !made {
				t.Fatal("no call to the pool config within 5s of the start")
			}
			fx.Play("p0 accept pool\np0 expect hold_ms=1 HTTP/1.1\np0 send {same}\np0 expect from=8&hold_ms=2000\np0 send {down}\np0 closed")
			callsSeen++ // the second call on the same connection
			downSoFar := time.Duration(0)
			for n := 1; ; n++ {
				elapsed, made := awaitCall(down + knownAfter)
				if downSoFar += elapsed; !made || elapsed > knownAfter-maxAnswerTime {
					t.Fatalf("service %s for %v: call %d (made: %t) comes %v after the previous one, want at most %v", failure, down, n, made, elapsed, knownAfter-maxAnswerTime)
				}
				name := fmt.Sprint("p", n)
				fx.Play(name + " accept pool\n" + name + " expect from=8")
				if downSoFar >= down { // the first call after the recovery
					fx.Play(lines(name+" send {drains}", name+" expect from=9&hold_ms=2000"))
					break
				}
				if response != "" {
					fx.Play(name + " send " + response)
				}
				switch failure {
				case "breaks off":
					fx.Play(name + " close")
					fx.WaitUntil(func() bool { return fx.discovery.watch == nil || fx.discovery.counts.Sent > callsSeen })
				case "never ends":
					fx.WaitUntil(func() bool { return fx.discovery.watch.headRead })
				case "refuses":
					fx.Play(name + " closed")
				}
			}
			if fx.ready("s-1") {
				t.Errorf("service %s for %v: s-1 is still ready after the change", failure, down)
			}
		}
	}
}

// If lists are pushed, the agent is watched from the start, and calls are repeated after a short
// time while it is silent.
func TestDiscovery_pushedList(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Variables["drains"] = listResponse(`{"index":9,"snapshot":false,"endpoints":[{"name":"s-1","status":"Terminating"}]}`)
	fx.Variables["back"] = listResponse(`{"index":10,"snapshot":false,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","status":"Ready"}]}`)
	fx.Loop.Call(func() {
		fx.discovery.config.Pushed = true
		fx.discovery.Start()
	})
	fx.Play(`
		p accept pool
		p expect GET /v1/servers?from=7&hold_ms=1 HTTP/1.1
		p send {drains}
		p expect from=9&hold_ms=1000
	`)
	if fx.ready("s-1") {
		t.Error("the agent listed s-1 as Terminating: got ready, want not ready")
	}
	fx.Play(`
		# The service is down: the agent does not answer.
		wait 1400ms
		p closed
		q accept pool
		q expect from=9&hold_ms=1 HTTP/1.1
		wait 400ms
		q closed
		# By now the next call has been made, 50 to 150 ms after the end of the last one, and has not
		# timed out.
		wait 100ms
		r accept pool
		r expect from=9&hold_ms=1 HTTP/1.1
		r send {back}
		r expect from=10&hold_ms=1000
	`)
	if !fx.ready("s-1") {
		t.Error("the agent answers again and lists s-1 as Ready: got not ready, want ready")
	}
}

// An invalid entry is counted and logged with its index and field; its destination keeps the
// last valid listing, and the other entries are applied.
func TestDiscovery_invalidEntries(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	fx.Variables["invalid"] = listResponse(`{"index":9,"snapshot":true,"endpoints":[` +
		`{"name":"s-1","address":"somewhere","status":"Ready"},` +
		`{"name":"s-2","address":"127.0.0.1:9","status":"Ready"},` +
		`{"name":"s-2","address":"127.0.0.1:10","status":"Terminating"},` +
		`{"name":"","status":"Ready"},` +
		`{"name":"s-3","address":"127.0.0.1:9","status":"Sleeping"},` +
		`{"name":"s-4","address":"127.0.0.1:9","status":"Ready","since_ms":9e15},` +
		`{"name":"s-5","address":"127.0.0.1:9","status":"Ready","since_ms":-1},` +
		`{"name":"s-6","address":"127.0.0.1:9","status":"Ready"}]}`)
	fx.Play(`
		wait 100ms
		p accept pool
		p expect hold_ms=1 HTTP/1.1
		p send {invalid}
		p expect from=9&hold_ms=2000
	`)
	var names []string
	var rejected uint64
	fx.Loop.Call(func() {
		fx.core.EachWorker(func(id balance.WorkerID, _ balance.State, _ float64) { names = append(names, fx.discovery.NameOf(id)) })
		rejected = fx.discovery.RejectedEntries()
	})
	if len(names) != 3 || !fx.ready("s-1") || !fx.ready("s-2") || !fx.ready("s-6") || rejected != 6 {
		t.Errorf("list with invalid entries: got workers %v, %d entries rejected, want s-1, s-2 and s-6 ready, 6 rejected", names, rejected)
	}
	for _, want := range []string{"entry=0 destination=s-1 fault=\"address:", "entry=2 destination=s-2 fault=\"name: comes twice", "entry=3 destination=\"\" fault=\"name: missing",
		"entry=4 destination=s-3 fault=\"status:", "entry=5 destination=s-4 fault=\"since_ms: 9000000000000000 lies in the future", "entry=6 destination=s-5 fault=\"since_ms: -1"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no log line contains %q; log: %s", want, log.String())
		}
	}
}
