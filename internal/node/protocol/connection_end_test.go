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

// Races at the end of a connection or a request, forced: both sides act while the loop is blocked
// in a callback, so that the node has read nothing of it when the loop continues.
// docs/design/endings.md has the table of these races.

// whileLoopIsBusy plays a scenario while the loop is blocked, and then calls then on the loop.
func (w *fixture) whileLoopIsBusy(text string, then func()) {
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

// leaveOneWorker removes all prep workers but one, so that the next request uses its idle connection.
func (w *fixture) leaveOneWorker() {
	w.Loop.Call(func() {
		w.core.PoolChanged(balance.ListUpdate{Kind: balance.ListChanges,
			Workers: []balance.WorkerListing{{Worker: workerIDOf("s-2"), State: balance.Gone}}})
	})
}

func (w *fixture) waitForGone(n uint64) {
	w.WaitUntil(func() bool { return w.core.Counts().Withdrawn == n })
}

// A client sends its request and disconnects before the busy loop has read a byte of it: no
// attempt is made for it, whichever way it disconnected.
func TestFront_clientGoneBeforeItIsRead(t *testing.T) {
	for _, leaves := range []string{"leaves", "close", "resets"} {
		t.Run(leaves, func(t *testing.T) {
			w := newFixture(t, nil)
			w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
			w.whileLoopIsBusy("c send {ask}\nc arrives\nc "+leaves, nil)
			w.waitForGone(1)
			if n := w.steps(); n != 0 {
				t.Errorf("%d attempts for a client that had gone", n)
			}
			w.checkTotals(t)
		})
	}
}

// Nor is the second of two pipelined requests started if the client has disconnected after them.
func TestFront_clientGoneBehindTwoRequests(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\nc send {book}\nc arrives")
	w.whileLoopIsBusy("s send {stream}{done}\ns arrives\nc leaves", nil)
	w.WaitUntil(func() bool {
		return w.core.OpenOperations() == 0 && len(w.front.calls) == 0 && w.front.sockets.Len() == 0
	})
	if n := w.steps(); n != 1 {
		t.Errorf("%d attempts, of which one was for a client that was there", n)
	}
	w.checkTotals(t)
}

// An attempt ends as never run, and the client disconnects right after: there is no retry.
func TestFront_clientGoneBeforeTheNextAttempt(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
	w.whileLoopIsBusy(`s send HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n`+"\ns arrives\nc leaves", nil)
	w.waitForGone(1)
	if n := w.steps(); n != 1 {
		t.Errorf("%d attempts", n)
	}
	w.checkTotals(t)
}

// A client disconnects while the connection for its attempt is opened. Not a byte is written, even
// where the settings allow no cancellation, or where the loop has not read the disconnect.
func TestFront_clientGoneWhileConnecting(t *testing.T) {
	for name, leave := range map[string]func(*fixture, *Call){
		"told":   func(_ *fixture, c *Call) { c.client.close() },
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
			w.WaitUntil(func() bool { return w.core.Counts().Outcomes[balance.ConnectFailed] > 0 })
			if n := w.outcomes(); n[balance.Reset]+n[balance.Served]+n[balance.TimedOut] != 0 {
				t.Errorf("outcomes %v", n)
			}
			w.checkTotals(t)
		})
	}
}

// A prep worker closes an idle connection just as a booking is to be sent on it: a new one is
// used. Nothing has run, and the client does not notice.
func TestDestinations_idleConnectionEndsAtTheSend(t *testing.T) {
	w := newFixture(t, nil)
	w.leaveOneWorker()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	w.whileLoopIsBusy("c send {book}\nc arrives\ns leaves", nil)
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	if n := w.outcomes(); n[balance.Reset] != 0 {
		t.Errorf("outcomes %v", n)
	}
	w.checkTotals(t)
}

// A second response arrives after the final line, before the connection's next request is written
// or after: no client gets it.
func TestDestinations_secondResponse(t *testing.T) {
	w := newFixture(t, nil)
	w.leaveOneWorker()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	w.whileLoopIsBusy("c send {book}\nc arrives\ns send {stream}{done}\ns arrives", nil)
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200\nwait 1s")
	w.Play("c send {book}\nr expect Req-Id: b1\nr send {stream}{done}\nc expect HTTP/1.1 502")
	if n := w.outcomes(); n[balance.Served] != 2 || n[balance.Reset] != 1 {
		t.Errorf("outcomes %v", n)
	}
	w.checkTotals(t)
}

// A second response may be some milliseconds late and say that the request never ran: a
// non-idempotent request does not use a connection that has only just become idle.
func TestDestinations_nonIdempotentAvoidsJustIdleConnections(t *testing.T) {
	w := newFixture(t, nil)
	w.leaveOneWorker()
	w.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nc send {book}")
	w.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	w.Play("wait 1s\nc send {book}\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	w.checkTotals(t)
}

// Prep workers drop repeats of a request for a second. The connection for a repeat is open only
// after that second: not a byte is written, as they would run the request once more.
func TestFront_repeatWhoseConnectionComesLate(t *testing.T) {
	for late, want := range map[time.Duration]balance.Outcome{0: balance.Served, 980 * time.Millisecond: balance.ConnectFailed} {
		w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) {
			s.Classes[1].Effect, s.Classes[1].DedupWindow = balance.Deduplicated, time.Second
		})
		w.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
		w.Loop.Call(func() {
			for _, step := range slices.Collect(maps.Keys(w.destinations.exchanges)) { // the first attempt may have run
				w.core.StepEnded(step, routing.StepEnd{Outcome: balance.Reset})
			}
			w.JumpClock(late)
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
		w.checkTotals(t)
	}
}

// The connection for an attempt is open late. The deadline sent to the prep worker is the time left by then.
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
			w.JumpClock(late)
		})
		w.Play(lines("s accept workers", "s expect Req-Deadline: "+want, "s send {stream}{done}", "c expect HTTP/1.1 200"))
	}
}

// The node begins to shut down just as a request arrives on an idle connection: it is answered, as
// the last on it, and not cut off unread.
func TestServer_Stop_requestArrives(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
	w.whileLoopIsBusy("c send {ask}\nc arrives", func() { w.front.Stop(0, func() {}) })
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	w.checkTotals(t)
}

// The node stops listening while a client waits in the listen backlog: its request is answered,
// not reset.
func TestServer_Stop_clientInTheBacklog(t *testing.T) {
	w := newFixture(t, nil)
	// The first is being passed to the blocked loop; the second waits behind it.
	// The third sends nothing: the node does not wait for it as long as for an ordinary client.
	w.whileLoopIsBusy("a dial front\na send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc dial front\nc send {ask}\nc arrives\nmute dial front", func() { w.front.Stop(0, func() {}) })
	w.WaitUntil(func() bool { return w.front.listenerEnded })
	w.Play("wait 30ms\nmute ended\na expect HTTP/1.1 200\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	w.checkTotals(t)
}

// A request that is read after the node has closed its side is not forwarded, and the client
// does not lose earlier answers to a reset. The node has not drained before the client closes.
func TestServer_Stop_requestAfterwards(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n")
	drained := false
	w.WaitUntil(func() bool {
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
	w.WaitUntil(func() bool { return drained })
	w.checkTotals(t)
}

// A connection on which nothing was received in time is closed, unless its request arrives just then.
func TestServer_requestAtItsTimeout(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("c dial front")
	w.WaitUntil(func() bool { return w.front.sockets.Len() == 1 })
	w.Advance(requestTimeout - 5*time.Millisecond)
	w.whileLoopIsBusy("c send {ask}\nc arrives", func() {
		f := w.sockets()[0]
		w.Loop.Timers.Cancel(f.requestTimer)
		f.requestTimedOut()
	})
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	w.checkTotals(t)
}

// Malformed responses of a prep worker are all counted and logged at a bounded rate.
func TestServer_malformedRequestsAreLoggedSparsely(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	w := newFixture(t, nil)
	w.leaveOneWorker()
	w.Play("c dial front")
	for range 3 {
		w.Play(`c send {book}` + "\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	}
	w.Play("wait 10s\nc send {book}\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	w.Loop.Call(func() {
		if lines := strings.Count(log.String(), "unreadable response"); lines != 2 || !strings.Contains(log.String(), "in_all=4") {
			t.Errorf("%d lines: %s", lines, log.String())
		}
	})
}

// A client sends request after request and reads no answer: the node buffers no more than one
// answer may have, and closes the connection.
func TestServer_clientNeverReadsAnswers(t *testing.T) {
	w := newFixture(t, nil)
	c, err := net.Dial("tcp", w.front.config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	asked := bytes.Repeat([]byte("GET /healthz HTTP/1.1\r\n\r\n"), 40<<10)
	go func() {
		for range 64 { // more than the socket buffers of both sides take
			if _, err := c.Write(asked); err != nil {
				return
			}
		}
	}()
	buffered := 0
	w.WaitUntil(func() bool {
		for _, f := range w.sockets() {
			buffered = max(buffered, f.conn.UnsentBytes())
		}
		return buffered > 2*maxUnreadReplyBytes || w.front.Counts().Shed == 1 && w.front.sockets.Len() == 0
	})
	if buffered > 2*maxUnreadReplyBytes {
		t.Errorf("%d bytes of answers are kept", buffered)
	}
}

// At the limit of connections an idle one is closed for the next client, but not one whose
// request has been received and not read.
func TestServer_evictedAsItsRequestComes(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 1 })
	w.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200\nwait 1s")
	w.whileLoopIsBusy("c send {ask}\nc arrives", func() {
		if w.front.shedOne() {
			t.Error("the one connection has a request")
		}
	})
	w.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	w.checkTotals(t)
}

var _ routing.DisconnectChecker = (*Front)(nil)

// A prep worker hangs in the middle of its response, or breaks the connection long after its start. A booking fails, at its
// deadline or at once, and is not retried; an idempotent request is, and its client is served by the retry.
func TestServer_connectionEndsLongAfterItsStart(t *testing.T) {
	half := scriptedpeer.Chunk(`{"id":"b1","state":"started"}`) + `40\r\n{"id":"b1","state":"do`
	w := newFixture(t, nil)
	w.Variables["half"] = half
	w.Play(lines("c dial front", "c send {book}", "s accept workers", "s expect Req-Id: b1", "s send {stream}{half}",
		"wait 3s", "c expect HTTP/1.1 502", "s closed"))
	w.Play(lines("c send {book}", "r accept workers", "r expect Req-Id: b1", "r send {stream}{half}",
		"wait 2500ms", "r resets", "c expect HTTP/1.1 502"))
	if n := w.steps(); n != 2 {
		t.Errorf("%d attempts at two bookings", n)
	}
	w.Variables["half"] = strings.ReplaceAll(half, "b1", "a1")
	w.Play(lines("c send {ask}", "s accept workers", "s expect hi", "s send {stream}{half}",
		"wait 2500ms", "s resets", "r accept workers", "r expect Req-Deadline: 0.5", "r send {stream}{done}", "c expect HTTP/1.1 200"))
	w.checkTotals(t)
}
