package protocol

import (
	"bytes"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/testkit/scriptedpeer"
)

// Crossings at an ending, forced: the steps of both sides are played while the loop stands in a
// callback, so that the node has read nothing of them when it goes on. docs/design/endings.md has
// the table of these moments.

// busy plays steps while the node's loop is held up, and then has it do what else there is.
func (w *fixture) busy(text string, then func()) {
	w.Loop.Call(func() {
		w.Play(text)
		if then != nil {
			then()
		}
	})
}

func (w *fixture) steps() (n uint64) {
	w.Loop.Call(func() { n = w.core.Counts().Steps })
	return n
}

// sockets returns the clients' connections, on the loop.
func (w *fixture) sockets() (all []*clientConn) {
	w.front.sockets.All(func(_ slottable.Handle, f *clientConn) { all = append(all, f) })
	return all
}

// lone leaves one prep worker, so that a connection that rests is the next request's.
func (w *fixture) lone() {
	w.Loop.Call(func() {
		w.core.PoolChanged(balance.ListUpdate{Kind: balance.ListChanges,
			Workers: []balance.WorkerListing{{Worker: workerIDOf("s-2"), State: balance.Gone}}})
	})
}

func (w *fixture) gone(n uint64) {
	w.Until(func() bool { return w.core.Counts().Gone == n })
}

// A client sends its request and is gone before the loop, busy until then, has read a byte of it:
// nothing is begun for it, whichever way it went.
func TestFront_clientGoneBeforeItIsRead(t *testing.T) {
	for _, leaves := range []string{"leaves", "close", "resets"} {
		t.Run(leaves, func(t *testing.T) {
			w := newFixture(t, nil)
			w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
			w.busy("c send {ask}\nc arrives\nc "+leaves, nil)
			w.gone(1)
			if n := w.steps(); n != 0 {
				t.Errorf("%d attempts for a client that had gone", n)
			}
			w.balanced(t)
		})
	}
}

// The second of two requests in one piece is not begun either where the client has left behind them.
func TestFront_clientGoneBehindTwoRequests(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\nc send {book}\nc arrives")
	w.busy("s send {stream}{done}\ns arrives\nc leaves", nil)
	w.Until(func() bool {
		return w.core.OpenOperations() == 0 && len(w.front.calls) == 0 && w.front.sockets.Len() == 0
	})
	if n := w.steps(); n != 1 {
		t.Errorf("%d attempts, of which one was for a client that was there", n)
	}
	w.balanced(t)
}

// An attempt comes back as never run, and behind it the client's leave: there is no further one.
func TestFront_clientGoneBeforeTheNextAttempt(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
	w.busy(`s send HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n`+"\ns arrives\nc leaves", nil)
	w.gone(1)
	if n := w.steps(); n != 1 {
		t.Errorf("%d attempts", n)
	}
	w.balanced(t)
}

// A client leaves while the connection for its attempt is made. Where the settings let nothing be
// called off, not a byte goes out all the same; so too where the loop has not read its leave.
func TestFront_clientGoneWhileConnecting(t *testing.T) {
	for name, leave := range map[string]func(*fixture, *Call){
		"told":   func(_ *fixture, c *Call) { c.conn.close() },
		"unread": func(w *fixture, _ *Call) { w.Play("c leaves") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.Limits.Cancel = false })
			w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
			w.Loop.Call(func() {
				f := w.sockets()[0]
				m, _, fault := ParseRequest([]byte("POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3\r\n\r\n"))
				if fault != nil {
					t.Error(fault)
					return
				}
				f.serve(m) // dials, and the dial ends in a later turn
				leave(w, f.call)
			})
			w.Play("s accept workers")
			w.Until(func() bool { return w.core.Counts().Outcomes[balance.ConnectFailed] > 0 })
			if n := w.outcomes(); n[balance.Reset]+n[balance.Served]+n[balance.TimedOut] != 0 {
				t.Errorf("outcomes %v", n)
			}
			w.balanced(t)
		})
	}
}

// A prep worker closes a resting connection in the moment in which a booking is to go over it: it
// goes over a new one. Nothing has run, and the client sees nothing of it.
func TestDestinations_idleConnectionEndsAtTheSend(t *testing.T) {
	w := newFixture(t, nil)
	w.lone()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	w.busy("c send {book}\nc arrives\ns leaves", nil)
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	if n := w.outcomes(); n[balance.Reset] != 0 {
		t.Errorf("outcomes %v", n)
	}
	w.balanced(t)
}

// A second answer comes after the last line, before the connection's next request is written or
// after: it is nobody's answer, and no client gets it.
func TestDestinations_secondResponse(t *testing.T) {
	w := newFixture(t, nil)
	w.lone()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	w.busy("c send {book}\nc arrives\ns send {stream}{done}\ns arrives", nil)
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200\nwait 1s")
	w.Play("c send {book}\nr expect Req-Id: b1\nr send {stream}{done}\nc expect HTTP/1.1 502")
	if n := w.outcomes(); n[balance.Served] != 2 || n[balance.Reset] != 1 {
		t.Errorf("outcomes %v", n)
	}
	w.balanced(t)
}

// A second answer may be some milliseconds late, and say that it never ran: what must not run
// twice does not go over a connection that has only just become free.
func TestDestinations_nonIdempotentAvoidsJustIdleConnections(t *testing.T) {
	w := newFixture(t, nil)
	w.lone()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nc send {book}")
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	w.Play("wait 1s\nc send {book}\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	w.balanced(t)
}

// Prep workers drop repeats of a request for a second. The connection for a repeat comes up only when
// that second is over: not a byte goes out, as they would run it once more.
func TestFront_repeatWhoseConnectionComesLate(t *testing.T) {
	for late, want := range map[time.Duration]balance.Outcome{0: balance.Served, 980 * time.Millisecond: balance.ConnectFailed} {
		w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) {
			s.Classes[1].Effect, s.Classes[1].Window = balance.Deduplicated, time.Second
		})
		w.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
		w.Loop.Call(func() {
			for _, step := range slices.Collect(maps.Keys(w.destinations.exchanges)) { // the first attempt may have run
				w.core.StepEnded(step, routing.StepEnd{Outcome: balance.Reset})
			}
			w.Late(late)
		})
		w.Play("r accept workers")
		if want == balance.Served {
			w.Play("r expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
		} else {
			w.Play("c expect HTTP/1.1 503")
		}
		if n := w.outcomes(); n[want] != 1 || n[balance.Served]+n[balance.ConnectFailed] != 1 {
			t.Errorf("%v late: outcomes %v", late, n)
		}
		w.balanced(t)
	}
}

// The connection for an attempt comes up late. The time that the prep worker is told is what is left by then.
func TestDestinations_remainingTimeAfterALateConnect(t *testing.T) {
	for late, want := range map[time.Duration]string{0: "3.000", 200 * time.Millisecond: "2.800", 2500 * time.Millisecond: "0.500"} {
		w := newFixture(t, nil)
		w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
		w.Loop.Call(func() {
			f := w.sockets()[0]
			m, _, fault := ParseRequest([]byte("POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline: 3\r\n\r\n"))
			if fault != nil {
				t.Error(fault)
				return
			}
			f.serve(m) // dials
			w.Late(late)
		})
		w.Play(lines("s accept workers", "s expect Req-Deadline: "+want, "s send {stream}{done}", "c expect HTTP/1.1 200"))
	}
}

// The node leaves, and in that moment a request comes on a connection that rests: it is answered,
// as the last there, and not cut off unread.
func TestServer_Stop_requestArrives(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
	w.busy("c send {ask}\nc arrives", func() { w.front.Stop(0, func() {}) })
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	w.balanced(t)
}

// The node stops listening while a client that the system has let in waits to be accepted: its
// request is answered, not reset.
func TestServer_Stop_clientInTheBacklog(t *testing.T) {
	w := newFixture(t, nil)
	// The first is being handed to the loop, which stands; the second waits behind it.
	// The third asks nothing: the node does not wait for it as long as for a usual client.
	w.busy("a dial front\na send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc dial front\nc send {ask}\nc arrives\nmute dial front", func() { w.front.Stop(0, func() {}) })
	w.Until(func() bool { return w.front.listenerEnded })
	w.Play("wait 30ms\nmute ended\na expect HTTP/1.1 200\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	w.balanced(t)
}

// A request that is read after the node has ended its sending is not sent on, and what the client
// has had before is not taken from it by a reset. The node is not done before the client is.
func TestServer_Stop_requestAfterwards(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n")
	drained := false
	w.Until(func() bool {
		all := w.sockets()
		return len(all) == 1 && all[0].hasRequested
	})
	w.Loop.Call(func() { w.front.Stop(0, func() { drained = true }) })
	w.Play("c send {ask}\nc arrives\nc expect HTTP/1.1 200\nc ended")
	w.Loop.Call(func() {
		if drained {
			t.Error("drained while a client has not ended its side")
		}
	})
	if n := w.steps(); n != 0 {
		t.Errorf("%d attempts for what came after the end", n)
	}
	w.Play("c close")
	w.Until(func() bool { return drained })
	w.balanced(t)
}

// A connection on which nothing came in time is ended; not where its request comes just then.
func TestServer_requestAtItsTimeout(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front")
	w.Until(func() bool { return w.front.sockets.Len() == 1 })
	w.Advance(requestTimeout - 5*time.Millisecond)
	w.busy("c send {ask}\nc arrives", func() {
		f := w.sockets()[0]
		w.Loop.Timers.Cancel(f.requestTimer)
		f.requestTimedOut()
	})
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	w.balanced(t)
}

// A prep worker that answers nonsense all the time is told of once in a while, with all counted.
func TestServer_malformedRequestsAreLoggedSparsely(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	w := newFixture(t, nil)
	w.lone()
	w.Play("c dial front")
	for range 3 {
		w.Play(`c send {book}` + "\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	}
	w.Play("wait 10s\nc send {book}\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	w.Loop.Call(func() {
		if lines := strings.Count(log.String(), "unreadable answer"); lines != 2 || !strings.Contains(log.String(), "in_all=4") {
			t.Errorf("%d lines: %s", lines, log.String())
		}
	})
}

// A client asks on and on and reads no answer: the node keeps no more of them than an answer may be
// long, and ends the connection.
func TestServer_clientNeverReadsAnswers(t *testing.T) {
	w := newFixture(t, nil)
	c, err := net.Dial("tcp", w.front.config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	asked := bytes.Repeat([]byte("GET /healthz HTTP/1.1\r\n\r\n"), 40<<10)
	go func() {
		for range 64 { // over all that the systems of both sides take in
			if _, err := c.Write(asked); err != nil {
				return
			}
		}
	}()
	kept := 0
	w.Until(func() bool {
		for _, f := range w.sockets() {
			kept = max(kept, f.conn.UnsentBytes())
		}
		return kept > 2*maxUnreadReplyBytes || w.front.Counts().Shed == 1 && w.front.sockets.Len() == 0
	})
	if kept > 2*maxUnreadReplyBytes {
		t.Errorf("%d bytes of answers are kept", kept)
	}
}

// At the limit of connections one that rests goes, so that the next client finds room; not one
// whose request has come and is not read yet.
func TestServer_evictedAsItsRequestComes(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 1 })
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200\nwait 1s")
	w.busy("c send {ask}\nc arrives", func() {
		if w.front.shedOne() {
			t.Error("the one connection has a request")
		}
	})
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	w.balanced(t)
}

var _ routing.Waiter = (*Front)(nil)

// A prep worker hangs in the middle of its answer's body, or breaks the connection long after it has begun. A booking has
// failed, at the end of its time or at once, and is sent nowhere else; what may be repeated is, and its client served by that.
func TestServer_connectionEndsLongAfterItsStart(t *testing.T) {
	half := scriptedpeer.Chunk(`{"id":"b1","state":"started"}`) + `40\r\n{"id":"b1","state":"do`
	w := newFixture(t, nil)
	w.Words["half"] = half
	w.Play(lines("c dial front", "c send {book}", "s accept workers", "s expect Req-Id: b1", "s send {stream}{half}",
		"wait 3s", "c expect HTTP/1.1 502", "s closed"))
	w.Play(lines("c send {book}", "r accept workers", "r expect Req-Id: b1", "r send {stream}{half}",
		"wait 2500ms", "r resets", "c expect HTTP/1.1 502"))
	if n := w.steps(); n != 2 {
		t.Errorf("%d attempts at two bookings", n)
	}
	w.Words["half"] = strings.ReplaceAll(half, "b1", "a1")
	w.Play(lines("c send {ask}", "s accept workers", "s expect hi", "s send {stream}{half}",
		"wait 2500ms", "s resets", "r accept workers", "r expect Req-Deadline: 0.5", "r send {stream}{done}", "c expect HTTP/1.1 200"))
	w.balanced(t)
}
