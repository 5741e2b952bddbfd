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

// These tests force races at the end of a connection or a request: both sides act while the loop
// is blocked in a callback, so that the node has read nothing of that when the loop continues.
// docs/design/endings.md has a table of these races.

// whileLoopIsBusy plays a scenario while the loop is blocked, and then calls afterwards on the loop, unless it is nil.
func (fx *fixture) whileLoopIsBusy(scenario string, afterwards func()) {
	fx.Loop.Call(func() {
		fx.Play(scenario)
		if afterwards != nil {
			afterwards()
		}
	})
}

// stepsSent returns the number of route steps that the core has sent.
func (fx *fixture) stepsSent() (n uint64) {
	fx.Loop.Call(func() { n = fx.core.Counts().Steps })
	return n
}

// clientConns returns the clients' connections. It must be called on the loop.
func (fx *fixture) clientConns() (all []*clientConn) {
	fx.front.sockets.All(func(_ slottable.Handle, client *clientConn) { all = append(all, client) })
	return all
}

// leaveOneWorker removes prep worker s-2, so that the next request uses the idle connection to s-1.
func (fx *fixture) leaveOneWorker() {
	fx.Loop.Call(func() {
		fx.core.PoolChanged(balance.ListUpdate{Kind: balance.ListChanges,
			Workers: []balance.WorkerListing{{Worker: workerIDOf("s-2"), State: balance.Gone}}})
	})
}

// waitForGone waits until n operations have ended because their clients disconnected.
func (fx *fixture) waitForGone(n uint64) {
	fx.WaitUntil(func() bool { return fx.core.Counts().Withdrawn == n })
}

// A client sends its request and disconnects before the busy loop has read a byte of it: no
// attempt is made, however the client disconnected.
func TestFront_clientGoneBeforeItIsRead(t *testing.T) {
	for _, disconnect := range []string{"leaves", "close", "resets"} {
		t.Run(disconnect, func(t *testing.T) {
			fx := newFixture(t, nil)
			fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
			fx.whileLoopIsBusy("c send {ask}\nc arrives\nc "+disconnect, nil)
			fx.waitForGone(1)
			if n := fx.stepsSent(); n != 0 {
				t.Errorf("client disconnected before its request was read: got %d attempts, want 0", n)
			}
			fx.checkTotals(t)
		})
	}
}

// A client sends two pipelined requests and disconnects: the second request is not started.
func TestFront_clientGoneBehindTwoRequests(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\nc send {book}\nc arrives")
	fx.whileLoopIsBusy("s send {stream}{done}\ns arrives\nc leaves", nil)
	fx.WaitUntil(func() bool {
		return fx.core.OpenOperations() == 0 && len(fx.front.calls) == 0 && fx.front.sockets.Len() == 0
	})
	if n := fx.stepsSent(); n != 1 {
		t.Errorf("client disconnected after two pipelined requests: got %d attempts, want 1, for the first request", n)
	}
	fx.checkTotals(t)
}

// An attempt ends without having run, and the client disconnects right after that: there is no retry.
func TestFront_clientGoneBeforeTheNextAttempt(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
	fx.whileLoopIsBusy(`s send HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n`+"\ns arrives\nc leaves", nil)
	fx.waitForGone(1)
	if n := fx.stepsSent(); n != 1 {
		t.Errorf("client disconnected after the first attempt: got %d attempts, want 1", n)
	}
	fx.checkTotals(t)
}

// A client disconnects while the connection for its attempt is being opened. Not a byte is written,
// even if the settings allow no cancellation or the loop has not read the disconnect yet.
func TestFront_clientGoneWhileConnecting(t *testing.T) {
	for name, disconnect := range map[string]func(*fixture, *Call){
		"closed": func(_ *fixture, c *Call) { c.client.close() },
		"unread": func(fx *fixture, _ *Call) { fx.Play("c leaves") },
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.Limits.Cancel = false })
			fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
			fx.Loop.Call(func() {
				client := fx.clientConns()[0]
				m, _, fault := ParseRequest([]byte("POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3\r\n\r\n"))
				if fault != nil {
					t.Errorf("parse a valid request: %v", fault)
					return
				}
				client.serve(m) // dials; the dial ends in a later iteration of the loop
				disconnect(fx, client.call)
			})
			fx.Play("s accept workers")
			fx.WaitUntil(func() bool { return fx.core.Counts().Outcomes[balance.ConnectFailed] > 0 })
			if n := fx.outcomes(); n[balance.Reset]+n[balance.Served]+n[balance.TimedOut] != 0 {
				t.Errorf("client disconnected while connecting: got outcomes %v, want no Reset, Served or TimedOut", n)
			}
			fx.checkTotals(t)
		})
	}
}

// A prep worker closes an idle connection just before a booking would be sent on it: a new
// connection is used, and the client is served.
func TestDestinations_idleConnectionEndsAtTheSend(t *testing.T) {
	fx := newFixture(t, nil)
	fx.leaveOneWorker()
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	fx.whileLoopIsBusy("c send {book}\nc arrives\ns leaves", nil)
	fx.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	if n := fx.outcomes(); n[balance.Reset] != 0 {
		t.Errorf("idle connection closed at the send: got outcomes %v, want no Reset", n)
	}
	fx.checkTotals(t)
}

// A second response arrives after the final line, before or after the next request is written on
// the connection: no client gets it.
func TestDestinations_secondResponse(t *testing.T) {
	fx := newFixture(t, nil)
	fx.leaveOneWorker()
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nwait 1s")
	fx.whileLoopIsBusy("c send {book}\nc arrives\ns send {stream}{done}\ns arrives", nil)
	fx.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200\nwait 1s")
	fx.Play("c send {book}\nr expect Req-Id: b1\nr send {stream}{done}\nc expect HTTP/1.1 502")
	if n := fx.outcomes(); n[balance.Served] != 2 || n[balance.Reset] != 1 {
		t.Errorf("second response on a connection: got outcomes %v, want 2 Served and 1 Reset", n)
	}
	fx.checkTotals(t)
}

// A stray second response may arrive some milliseconds late and say that a request never ran. For
// this reason a non-idempotent request does not use a connection that has only just become idle.
func TestDestinations_nonIdempotentAvoidsJustIdleConnections(t *testing.T) {
	fx := newFixture(t, nil)
	fx.leaveOneWorker()
	fx.Play("c dial front\nc send {ask}\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect fine\nc send {book}")
	fx.Play("r accept workers\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	fx.Play("wait 1s\nc send {book}\nr expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
	fx.checkTotals(t)
}

// Prep workers drop repeats of a request for one second. If the connection for a retry is open only
// after that time, not a byte is written, since the request could run a second time.
func TestFront_retryConnectsLate(t *testing.T) {
	for delay, want := range map[time.Duration]balance.Outcome{0: balance.Served, 980 * time.Millisecond: balance.ConnectFailed} {
		fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) {
			s.Classes[1].Effect, s.Classes[1].DedupWindow = balance.Deduplicated, time.Second
		})
		fx.Play("c dial front\nc send {book}\ns accept workers\ns expect Req-Id: b1")
		fx.Loop.Call(func() {
			for _, step := range slices.Collect(maps.Keys(fx.destinations.exchanges)) { // the first attempt ends and may have run
				fx.core.StepEnded(step, routing.StepEnd{Outcome: balance.Reset})
			}
			fx.JumpClock(delay)
		})
		fx.Play("r accept workers")
		if want == balance.Served {
			fx.Play("r expect Req-Id: b1\nr send {stream}{booked}\nc expect HTTP/1.1 200")
		} else {
			fx.Play("c expect HTTP/1.1 503")
		}
		if n := fx.outcomes(); n[want] != 1 || n[balance.Served]+n[balance.ConnectFailed] != 1 {
			t.Errorf("retry connects %v late: got outcomes %v, want one of outcome %d and no other of Served and ConnectFailed", delay, n, want)
		}
		fx.checkTotals(t)
	}
}

// The connection for an attempt takes long to open. The deadline sent to the prep worker is the time remaining then.
func TestDestinations_remainingTimeAfterSlowConnect(t *testing.T) {
	for delay, want := range map[time.Duration]string{0: "3.000", 200 * time.Millisecond: "2.800", 2500 * time.Millisecond: "0.500"} {
		fx := newFixture(t, nil)
		fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
		fx.Loop.Call(func() {
			client := fx.clientConns()[0]
			m, _, fault := ParseRequest([]byte("POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nReq-Deadline: 3\r\n\r\n"))
			if fault != nil {
				t.Errorf("parse a valid request: %v", fault)
				return
			}
			client.serve(m) // dials
			fx.JumpClock(delay)
		})
		fx.Play(lines("s accept workers", "s expect Req-Deadline: "+want, "s send {stream}{done}", "c expect HTTP/1.1 200"))
	}
}

// The node begins to shut down just as a request arrives on an idle connection: the request is
// answered, as the last on its connection, instead of being lost unread.
func TestServer_Stop_requestArrives(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200")
	fx.whileLoopIsBusy("c send {ask}\nc arrives", func() { fx.front.Stop(0, func() {}) })
	fx.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	fx.checkTotals(t)
}

// The node stops listening while a client waits in the listen backlog: its request is answered,
// not reset.
func TestServer_Stop_clientInTheBacklog(t *testing.T) {
	fx := newFixture(t, nil)
	// Connection a is being passed to the blocked loop, and c waits behind it. Connection mute sends
	// nothing: the node does not wait for it as long as for an ordinary client.
	fx.whileLoopIsBusy("a dial front\na send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc dial front\nc send {ask}\nc arrives\nmute dial front", func() { fx.front.Stop(0, func() {}) })
	fx.WaitUntil(func() bool { return fx.front.listenerEnded })
	fx.Play("wait 30ms\nmute ended\na expect HTTP/1.1 200\ns accept workers\ns expect hi\ns send {stream}{done}\nc expect Connection: close\nc expect fine\nc ended")
	fx.checkTotals(t)
}

// A request that arrives after the node has closed its side is not forwarded, and the client does
// not lose earlier answers by a reset. The server has not drained before the client closes.
func TestServer_Stop_requestAfterwards(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n")
	drained := false
	fx.WaitUntil(func() bool {
		all := fx.clientConns()
		return len(all) == 1 && all[0].hasRequested
	})
	fx.Loop.Call(func() { fx.front.Stop(0, func() { drained = true }) })
	fx.Play("c send {ask}\nc arrives\nc expect HTTP/1.1 200\nc ended")
	fx.Loop.Call(func() {
		if drained {
			t.Error("drained was called before the client had closed its side")
		}
	})
	if n := fx.stepsSent(); n != 0 {
		t.Errorf("request sent after the node closed its side: got %d attempts, want 0", n)
	}
	fx.Play("c close")
	fx.WaitUntil(func() bool { return drained })
	fx.checkTotals(t)
}

// A connection on which nothing was received before the time-out is closed, unless its request arrives just then.
func TestServer_requestArrivesAtItsTimeout(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("c dial front")
	fx.WaitUntil(func() bool { return fx.front.sockets.Len() == 1 })
	fx.Advance(requestTimeout - 5*time.Millisecond)
	fx.whileLoopIsBusy("c send {ask}\nc arrives", func() {
		client := fx.clientConns()[0]
		fx.Loop.Timers.Cancel(client.requestTimer)
		client.requestTimedOut()
	})
	fx.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	fx.checkTotals(t)
}

// Malformed responses of a prep worker are all counted, and logged at a limited rate.
func TestDestinations_unreadableResponsesAreLoggedSparsely(t *testing.T) {
	var log bytes.Buffer
	old := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(old)
	fx := newFixture(t, nil)
	fx.leaveOneWorker()
	fx.Play("c dial front")
	for range 3 {
		fx.Play(`c send {book}` + "\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	}
	fx.Play("wait 10s\nc send {book}\ns accept workers\ns expect Req-Id: b1\ns send nonsense\\r\\n\\r\\n\nc expect HTTP/1.1 502")
	fx.Loop.Call(func() {
		if logLines := strings.Count(log.String(), "unreadable response"); logLines != 2 || !strings.Contains(log.String(), "in_all=4") {
			t.Errorf("4 unreadable responses: got %d log lines, want 2, the last with in_all=4; log: %s", logLines, log.String())
		}
	})
}

// A client sends request after request and reads no answer: the node buffers a limited number of
// bytes of answers and closes the connection.
func TestServer_clientNeverReadsAnswers(t *testing.T) {
	fx := newFixture(t, nil)
	conn, err := net.Dial("tcp", fx.front.config.Listen)
	if err != nil {
		t.Fatalf("dial the front: %v", err)
	}
	defer conn.Close()
	requests := bytes.Repeat([]byte("GET /healthz HTTP/1.1\r\n\r\n"), 40<<10)
	go func() {
		for range 64 { // more than the socket buffers of both sides hold
			if _, err := conn.Write(requests); err != nil {
				return
			}
		}
	}()
	buffered := 0
	fx.WaitUntil(func() bool {
		for _, client := range fx.clientConns() {
			buffered = max(buffered, client.conn.UnsentBytes())
		}
		return buffered > 2*maxUnreadReplyBytes || fx.front.Counts().Shed == 1 && fx.front.sockets.Len() == 0
	})
	if buffered > 2*maxUnreadReplyBytes {
		t.Errorf("client that reads no answers: got %d unsent bytes, want at most %d", buffered, 2*maxUnreadReplyBytes)
	}
}

// At the limit of connections an idle one is closed for the next client, but not one whose
// request has been received but not read.
func TestServer_keepsConnectionWithUnreadRequest(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 1 })
	fx.Play("c dial front\nc send GET /healthz HTTP/1.1\\r\\n\\r\\n\nc expect HTTP/1.1 200\nwait 1s")
	fx.whileLoopIsBusy("c send {ask}\nc arrives", func() {
		if fx.front.shedOne() {
			t.Error("shedOne closed a connection whose request was received but not read")
		}
	})
	fx.Play("s accept workers\ns expect hi\ns send {stream}{done}\nc expect fine")
	fx.checkTotals(t)
}

var _ routing.DisconnectChecker = (*Front)(nil)

// A prep worker stalls in the middle of its response, or resets the connection long after the response began. A booking
// fails, at its deadline or with the reset, and is not retried. An idempotent request is retried, and its client is served.
func TestDestinations_connectionBreaksMidResponse(t *testing.T) {
	halfResponse := scriptedpeer.Chunk(`{"id":"b1","state":"started"}`) + `40\r\n{"id":"b1","state":"do`
	fx := newFixture(t, nil)
	fx.Variables["half"] = halfResponse
	fx.Play(lines("c dial front", "c send {book}", "s accept workers", "s expect Req-Id: b1", "s send {stream}{half}",
		"wait 3s", "c expect HTTP/1.1 502", "s closed"))
	fx.Play(lines("c send {book}", "r accept workers", "r expect Req-Id: b1", "r send {stream}{half}",
		"wait 2500ms", "r resets", "c expect HTTP/1.1 502"))
	if n := fx.stepsSent(); n != 2 {
		t.Errorf("two bookings whose connections broke: got %d attempts, want 2", n)
	}
	fx.Variables["half"] = strings.ReplaceAll(halfResponse, "b1", "a1")
	fx.Play(lines("c send {ask}", "s accept workers", "s expect hi", "s send {stream}{half}",
		"wait 2500ms", "s resets", "r accept workers", "r expect Req-Deadline: 0.5", "r send {stream}{done}", "c expect HTTP/1.1 200"))
	fx.checkTotals(t)
}
