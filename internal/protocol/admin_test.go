package protocol

import (
	"errors"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/byhand"
	"ospreybend/internal/scenario"
)

// withAdmin opens the operators' address of a world. record may be nil.
func (w *world) withAdmin(t *testing.T, record func(string, bool, func(byhand.Words, error))) *Admin {
	t.Helper()
	var a *Admin
	at := scenario.Free(t)
	w.Loop.Call(func() {
		words := byhand.Words{}
		w.pool.config.ByHand = words
		a = NewAdmin(AdminConfig{Listen: at, Sockets: 12, Memory: 64 << 10, Classes: []string{"pruefen", "buchen"},
			Ready: w.core.Able, Record: record}, w.Loop, w.core, w.pool, w.to, words)
		if err := a.Start(); err != nil {
			t.Error(err)
		}
	})
	w.Serve("admin", at)
	return a
}

// call makes one call and returns the answer.
func (w *world) call(line string) string {
	w.Play(lines("o dial admin", "o send "+line+` HTTP/1.1\r\nHost: x\r\n\r\n`, "o closed"))
	return w.Unread("o")
}

func TestAdminCalls(t *testing.T) {
	w := newWorld(t, nil)
	w.withAdmin(t, nil)
	for line, want := range map[string]string{
		"GET /-/ready":                       "200",
		"PUT /-/ready":                       "405",
		"POST /-/metrics":                    "405",
		"GET /-/prep-workers/s-1/disable":    "405",
		"PUT /-/prep-workers/nobody/disable": "404",
		"PUT /-/prep-workers/nobody/enable":  "404",
		"PUT /-/prep-workers/s-1/burn":       "404",
		"PUT /-/prep-workers/%zz/disable":    "404",
		"PUT /-/prep-workers/s%2D1/disable":  "200",
		"PUT /-/prep-workers/s-2/enable":     "200",
		"GET /":                              "404",
		"GET /healthz":                       "404",
		"what is this":                       "400",
	} {
		if got := w.call(line); !strings.HasPrefix(got, "HTTP/1.1 "+want) {
			t.Errorf("%s: %q, want %s", line, got, want)
		}
	}
	if got := w.call("PUT /-/metrics"); !strings.Contains(got, "Allow: GET\r\n") {
		t.Errorf("no word of what is allowed: %q", got)
	}
}

// Callers that say nothing, or half a call, keep nobody waiting, however many
// there are.
func TestSilentCallers(t *testing.T) {
	w := newWorld(t, nil)
	a := w.withAdmin(t, nil)
	for i := range 30 {
		name := string(rune('A' + i))
		w.Play(name + " dial admin")
		if i%2 == 0 {
			w.Play(name + ` send GET /-/re`)
		}
		w.Until(func() bool { return a.listener.Coming() == 0 })
		w.Advance(300 * time.Millisecond)
	}
	if got := w.call("GET /-/ready"); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("%q", got)
	}
}

// The figures are what the peers have seen.
func TestFigures(t *testing.T) {
	w := newWorld(t, nil)
	w.withAdmin(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
	`)
	for _, line := range []string{"attempts:1|c", "in_flight:1|g", "served.pruefen:0|c", "prep_workers_known:2|g",
		"prep_workers_excluded:0|g"} {
		if got := w.call("GET /-/metrics"); !strings.Contains(got, "balancer."+line+"\n") {
			t.Errorf("no %s in %q", line, got)
		}
	}
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
	w.call("PUT /-/prep-workers/s-1/disable")
	w.call("PUT /-/prep-workers/s-1/disable")
	for _, line := range []string{"served.pruefen:1|c", "refused.pruefen:0|c", "failed.pruefen:0|c", "served.buchen:0|c",
		"failed.buchen:1|c", "attempts:3|c", "in_flight:0|g", "prep_workers_known:2|g", "prep_workers_excluded:1|g"} {
		if got := w.call("GET /-/metrics"); !strings.Contains(got, "balancer."+line+"\n") {
			t.Errorf("no %s in %q", line, got)
		}
	}
	w.balanced(t)
}

// A prep worker that is out gets nothing new, whatever the list says of it. Called
// back it is new: cold, and reached over a new connection.
func TestOutAndBackByHand(t *testing.T) {
	w := newWorld(t, func(s *balance.Settings, _ *FrontConfig) {
		s.Rules = balance.Rules{ColdFrom: 0.1, ColdTime: 24 * time.Second, FallMultiple: 4, OverloadFor: 3 * time.Second,
			AskWithin: 10 * time.Second}
	})
	w.withAdmin(t, nil)
	id := func(name string) balance.WorkerID { return numberOf(name) }
	state := func(name string) (s balance.State, listed bool) {
		w.Loop.Call(func() {
			w.core.Listed(func(at balance.WorkerID, is balance.State, _ float64) {
				if at == id(name) {
					s, listed = is, true
				}
			})
		})
		return s, listed
	}
	w.call("PUT /-/prep-workers/s-1/disable")
	entry := func(state string, since float64) Listed {
		return Listed{Name: "s-1", Address: "127.0.0.1:1", State: state, Weight: 1, SinceMS: since}
	}
	for i, l := range []List{
		{Version: 8, Entries: []Listed{entry("Terminating", 0)}},
		{Version: 9, Entries: []Listed{entry("Gone", 0)}},
		{Version: 10, Entries: []Listed{entry("Ready", 5000)}},
		{Version: 11, Snapshot: true, Entries: []Listed{entry("Ready", 5000)}},
	} {
		kind := balance.ListChanges
		if l.Snapshot {
			kind = balance.ListFull
		}
		w.Loop.Call(func() { w.pool.tell(kind, l) })
		if s, listed := state("s-1"); listed && s == balance.Ready {
			t.Errorf("list %d: ready though out by hand", i)
		}
	}
	// s-2 is gone with the full list, so that nobody can serve.
	w.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline: 0.2\r\n\r\n
		wait 300ms
		c expect HTTP/1.1 503
	`)
	w.call("PUT /-/prep-workers/s-1/enable")
	if s, listed := state("s-1"); !listed || s != balance.Ready {
		t.Errorf("called back: %v, listed %v", s, listed)
	}
	var laid balance.Listing
	var now time.Duration
	w.Loop.Call(func() { laid, now = w.pool.lay(id("s-1"), w.pool.listed[id("s-1")]), w.Loop.Now() })
	if now-laid.Started > time.Second {
		t.Errorf("counts as started %v ago", now-laid.Started)
	}
}

// A connection that was in work when its prep worker was called back is not used
// again.
func TestConnectionFromBeforeTheCallBack(t *testing.T) {
	w := newWorld(t, nil)
	w.withAdmin(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
	`)
	for _, name := range []string{"s-1", "s-2"} {
		w.call("PUT /-/prep-workers/" + name + "/disable")
		w.call("PUT /-/prep-workers/" + name + "/enable")
	}
	w.Play(`
		s send {stream}{done}
		c expect fine
		s closed
		c send {ask}
		r accept workers
		r expect hi
	`)
}

// What cannot be recorded gets a no. Out holds all the same; back does not.
func TestUnrecorded(t *testing.T) {
	w := newWorld(t, nil)
	a := w.withAdmin(t, func(_ string, _ bool, done func(byhand.Words, error)) { done(nil, errors.New("no room left")) })
	if got := w.call("PUT /-/prep-workers/s-1/disable"); !strings.HasPrefix(got, "HTTP/1.1 500") {
		t.Errorf("%q", got)
	}
	if got := w.call("PUT /-/prep-workers/s-1/enable"); !strings.HasPrefix(got, "HTTP/1.1 500") {
		t.Errorf("%q", got)
	}
	w.Loop.Call(func() {
		if !a.words.Out("s-1") {
			t.Error("it is back, though the caller was told no")
		}
	})
}

// A record that hangs is a no within the second, and its late end changes nothing
// that was said.
func TestRecordHangs(t *testing.T) {
	w := newWorld(t, nil)
	w.withAdmin(t, func(string, bool, func(byhand.Words, error)) {})
	w.Play(`
		o dial admin
		o send PUT /-/prep-workers/s-1/disable HTTP/1.1\r\n\r\n
	`)
	w.Until(func() bool { return w.to.byID[numberOf("s-1")].process > 0 })
	w.Play(`
		wait 800ms
		o expect HTTP/1.1 503
		o closed
	`)
}
