package protocol

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/override"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/testkit/scriptedpeer"
)

func TestFront_servedOverOneIdleConnection(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect POST /pruefen/x?y=1 HTTP/1.1\r\n
		s expect Req-Id: a1\r\n
		s expect \r\n\r\nhi
		s send {stream}` + scriptedpeer.Chunk(`{"id":"a1","state":"started"}`) + `{done}
		c expect HTTP/1.1 200 OK\r\n
		c expect \r\n\r\nfine
		# Both destinations are one stand-in; a probe shows that the connection is warm.
		c send {ask}
	`)
	w.checkTotals(t)
	if n := w.outcomes(); n[balance.Served] != 1 {
		t.Errorf("outcomes %v", n)
	}
}

// A client's idempotency key is forwarded unchanged: prep workers drop repeats by it.
func TestFront_idempotencyKeyIsForwarded(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nidempotency-key:  5c0f 6E1a, 2b \r\nContent-Length: 2\r\n\r\nhi
		s accept workers
		s expect Idempotency-Key: 5c0f 6E1a, 2b\r\n
		s expect hi
		s send {stream}{done}
		c expect fine
	`)
	w.checkTotals(t)
	for name, key := range map[string]string{"comes twice": `Idempotency-Key: a\r\nidempotency-key: a\r\n`,
		"is too long": `Idempotency-Key: ` + strings.Repeat("a", maxIDBytes+1) + `\r\n`} {
		w.Play(lines("c dial front", `c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\n`+key+`\r\n`, "c expect HTTP/1.1 400",
			"c expect "+name, "c closed"))
	}
}

// Requests may be split anywhere, and pipelined.
func TestServer_splitAndPipelined(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-
		c send Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r
		c send \nhi\r\n0\r\n\r\n{book}
		s accept workers
		s expect Content-Length: 2\r\n\r\nhi
		s send {stream}{done}
		c expect fine
		b accept workers
		b expect POST /buchen HTTP/1.1
		b expect Req-Id: b1
		b send {stream}{booked}
		c expect fine
	`)
	w.checkTotals(t)
}

// A malformed request is answered 4xx or 5xx, and its connection is closed.
func TestFront_malformedRequests(t *testing.T) {
	w := newFixture(t, nil)
	head := `POST /pruefen HTTP/1.1\r\nReq-Id: a\r\n`
	for name, c := range map[string][2]string{
		"no request":      {`what\r\n\r\n`, "400"},
		"no path":         {`POST pruefen HTTP/1.1\r\n\r\n`, "400"},
		"version":         {`GET / HTTP/2.0\r\n\r\n`, "505"},
		"header":          {`POST /pruefen HTTP/1.1\r\nReq Id: a\r\n\r\n`, "400"},
		"length":          {head + `Content-Length: -1\r\n\r\n`, "400"},
		"two lengths":     {head + `Content-Length: 1\r\nContent-Length: 2\r\n\r\n`, "400"},
		"length twice":    {head + `Content-Length: 1\r\nContent-Length: 1\r\n\r\n`, "400"},
		"signed length":   {head + `Content-Length: +1\r\n\r\n`, "400"},
		"coded twice":     {head + `Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n`, "400"},
		"framed again":    {head + `Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n`, "400"},
		"high byte":       {"POST /pruefen\x80 HTTP/1.1" + `\r\nReq-Id: a\r\n\r\n`, "400"},
		"framed twice":    {head + `Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n`, "400"},
		"coding":          {head + `Transfer-Encoding: gzip\r\n\r\n`, "501"},
		"chunk":           {head + `Transfer-Encoding: chunked\r\n\r\nxyz\r\n`, "400"},
		"oversized":       {head + `Content-Length: 65537\r\n\r\n`, "413"},
		"oversized chunk": {head + `Transfer-Encoding: chunked\r\n\r\n10001\r\n`, "413"},
		"long header":     {head + `X: ` + strings.Repeat("x", maxHeadBytes), "431"},
		"NUL":             {head + "X: a\x00b" + `\r\n\r\n`, "400"},
	} {
		t.Log(name)
		w.Play(lines("c dial front", "c send "+c[0], "c expect HTTP/1.1 "+c[1], "c expect Connection: close", "c closed"))
	}
	// So is a well-formed request that is invalid.
	for _, c := range [][2]string{
		{`POST /nichts HTTP/1.1\r\nReq-Id: a\r\n\r\n`, "404"},
		{`GET /pruefen HTTP/1.1\r\nReq-Id: a\r\n\r\n`, "405"},
		{`POST /pruefen HTTP/1.1\r\n\r\n`, "400"},
		{head + `Req-Deadline: soon\r\n\r\n`, "400"},
		{head + `Req-Cost: NaN\r\n\r\n`, "400"},
		{head + `Req-Extra: width=-2\r\n\r\n`, "400"},
		{head + `Req-Deadline: 0x1p3\r\n\r\n`, "400"},
		{head + `req-id: b\r\n\r\n`, "400"},
		{head + `Req-Deadline: 1\r\nReq-Deadline: 2\r\n\r\n`, "400"},
		{`POST /pruefen HTTP/1.1\r\nReq-Id: a b\r\n\r\n`, "400"},
	} {
		t.Log(c[0])
		w.Play(lines("c dial front", "c send "+c[0], "c expect HTTP/1.1 "+c[1], "c expect Connection: close", "c closed"))
	}
	w.Loop.Call(func() {
		if n := w.front.Counts().Rejected; n != 28 {
			t.Errorf("%d requests counted as rejected", n)
		}
	})
	w.checkTotals(t)
}

// The Req-Id of a request in progress may not be used a second time: the second could end the
// first, which may be another client's. Afterwards it may.
func TestFront_secondRequestOfAnOpenID(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		d dial front
		d send {ask}
		d expect HTTP/1.1 409
		d closed
		s send {stream}{done}
		c expect fine
		c send {ask}
		q accept workers
		q expect hi
		c close
		q closed
		e dial front
		e send {ask}
		r accept workers
		r expect hi
		r send {stream}{done}
		e expect fine
	`)
	w.checkTotals(t)
	if n := w.outcomes(); n[balance.Served] != 2 || n[balance.Cancelled] != 1 {
		t.Errorf("outcomes %v", n)
	}
}

// A request that a destination rejects as invalid is the client's fault: it is not retried
// elsewhere, and does not count against the destination.
func TestFront_destinationRejects(t *testing.T) {
	w := newFixture(t, nil)
	for range 3 {
		w.Play(lines("c dial front", "c send {ask}", "s accept workers", "s expect hi",
			`s send HTTP/1.1 400 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno`, "c expect HTTP/1.1 400", "c closed"))
	}
	w.checkTotals(t)
	w.Loop.Call(func() {
		c := w.core.Counts()
		if c.Steps != 3 || c.Rejected != 3 || c.Outcomes[balance.Errored]+c.Outcomes[balance.Reset] != 0 {
			t.Errorf("%+v", c)
		}
	})
}

// A body of just 64 KiB is accepted.
func TestFront_largestBody(t *testing.T) {
	w := newFixture(t, nil)
	body := strings.Repeat("x", maxBodyBytes-3) + "end"
	w.Play(lines("c dial front", `c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 65536\r\n\r\n`+body,
		"s accept workers", "s expect xend", "s send {stream}{done}", "c expect fine"))
}

// The step of a client that disconnects is cancelled, which closes the step's connection.
func TestFront_clientGone(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		c close
		s closed
	`)
	if n := w.outcomes(); n[balance.Cancelled] != 1 {
		t.Errorf("outcomes %v", n)
	}
	w.checkTotals(t)
}

// The protocol page's table of outcomes. Each response ends a booking's first step. A request
// that never ran is retried or rejected; one that may have run never is.
func TestDestinations_outcomes(t *testing.T) {
	line := func(state string) string {
		return `{stream}` + scriptedpeer.Chunk(`{"id":"b1","state":"`+state+`"}`) + `0\r\n\r\n`
	}
	for name, c := range map[string]struct {
		answer string
		want   balance.Outcome
	}{
		"done":                 {`{stream}{booked}`, balance.Served},
		"failed":               {line("failed"), balance.Errored},
		"returned":             {line("returned"), balance.Full},
		"lost":                 {line("lost"), balance.Reset},
		"500":                  {`HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n`, balance.Errored},
		"503 declined":         {`HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno`, balance.Full},
		"504 declined":         {`HTTP/1.1 504 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n`, balance.Full},
		"503 alone":            {`HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n`, balance.Errored},
		"200 without last":     {`{stream}0\r\n\r\n`, balance.Reset},
		"unreadable":           {`nonsense\r\n\r\n`, balance.Reset},
		"no end of line":       {`{stream}` + `19\r\n{"state":"done"         }\r\n0\r\n\r\n`, balance.Served},
		"line no object":       {`{stream}` + scriptedpeer.Chunk(`hello`), balance.Reset},
		"another's line":       {`{stream}{done}`, balance.Reset},
		"interim, then served": {`HTTP/1.1 100 Continue\r\n\r\n{stream}{booked}`, balance.Served},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil)
			w.Play(lines("c dial front", "c send {book}", "s accept workers", `s expect \r\n\r\n`, "s send "+c.answer))
			switch {
			case c.want == balance.Served:
				w.Play("c expect HTTP/1.1 200")
			case c.want.NeverRan():
				w.Play(lines("r accept workers", "r expect Req-Id: b1", "r send {stream}{booked}", "c expect fine"))
			default:
				w.Play("c expect HTTP/1.1 502")
			}
			if n := w.outcomes(); n[c.want] == 0 {
				t.Errorf("want outcome %d, have %v", c.want, n)
			}
			w.checkTotals(t)
		})
	}
}

// A request whose connection breaks after its last byte may have run: a booking is not retried,
// and not answered 503, which would invite the client to repeat it.
func TestDestinations_connectionBreaksAfterTheLastByte(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(lines("c dial front", "c send {book}", "s accept workers", `s expect \r\n\r\n`, "s close", "c expect HTTP/1.1 502"))
	if n := w.outcomes(); n[balance.Reset] != 1 {
		t.Errorf("outcomes %v", n)
	}
}

// An idle connection that breaks at its next request leaves open whether that ran. After one
// has, a booking gets a new connection for a while; an idempotent request still reuses one.
func TestDestinations_nonIdempotentAvoidsIdleConnectionsAfterOneBroke(t *testing.T) {
	w := newFixture(t, nil)
	w.Loop.Call(func() { // one destination, so that it is clear which connection is meant
		up := balance.ListUpdate{Kind: balance.ListChanges}
		for id, to := range w.destinations.byID {
			if to.name == "s-2" {
				up.Workers = append(up.Workers, balance.WorkerListing{Worker: id, State: balance.Draining, Scale: 1})
			}
		}
		w.core.PoolChanged(up)
	})
	serve := func(conn, answer string) string {
		return lines(conn+" expect Req-Id", conn+` expect \r\n\r\n`, conn+" send {stream}"+answer, "c expect fine", "wait 1s")
	}
	asked := func(conn string) string { return serve(conn, "{done}") }
	booked := func(conn string) string { return serve(conn, "{booked}") }
	w.Play(lines("c dial front", "c send {ask}", "s accept workers", asked("s"), "c send {book}", booked("s")))
	w.Play(lines("c send {book}", "s expect Req-Id: b1", "s close", "c expect HTTP/1.1 502"))
	w.Play(lines("c send {ask}", "t accept workers", asked("t"), "c send {book}", "u accept workers", booked("u")))
	w.Play(lines("c send {ask}", asked("u"), "wait 1m", "c send {ask}", "v accept workers", asked("v"), "c send {book}", booked("v")))
}

// A refused connection proves that nothing ran: after the last attempt the booking is answered
// 503, so that the client may repeat it.
func TestDestinations_connectRefused(t *testing.T) {
	w := newFixture(t, nil)
	none := scriptedpeer.FreeAddress(t)
	w.Loop.Call(func() {
		for id, to := range w.destinations.byID {
			w.destinations.SetAddress(id, to.name, none)
		}
	})
	w.Play(lines("c dial front", "c send {book}", "c expect HTTP/1.1 503"))
	if n := w.outcomes(); n[balance.ConnectFailed] != 2 {
		t.Errorf("outcomes %v", n)
	}
}

// A request without an outcome is answered shortly before its deadline, and the step's
// connection is closed.
func TestFront_deadline(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {book}
		s accept workers
		s expect \r\n\r\n
		wait 3s
		c expect HTTP/1.1 502
		s closed
	`)
	w.checkTotals(t)
}

// The destination begins to drain, or is disabled by an override, while the connection to it is
// opened: not a byte may be written, since the platform's limit counts from a request's first byte.
func TestDestinations_drainWhileConnecting(t *testing.T) {
	t.Run("listed", func(t *testing.T) {
		drainWhileConnecting(t, func(w *fixture, up balance.ListUpdate) { w.core.PoolChanged(up) })
	})
	t.Run("by hand", func(t *testing.T) {
		drainWhileConnecting(t, func(w *fixture, up balance.ListUpdate) {
			w.discovery.config.Overrides = override.Overrides{"s-1": {Disabled: true}, "s-2": {Disabled: true}}
			for _, l := range up.Workers {
				w.discovery.Republish(l.Worker)
			}
		})
	})
}

func drainWhileConnecting(t *testing.T, drain func(*fixture, balance.ListUpdate)) {
	w := newFixture(t, nil)
	w.Loop.Call(func() {
		up := balance.ListUpdate{Kind: balance.ListChanges}
		for id := range w.destinations.byID {
			up.Workers = append(up.Workers, balance.WorkerListing{Worker: id, State: balance.Draining, Scale: 1})
		}
		m, _, fault := ParseRequest([]byte("POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3\r\n\r\n"))
		if fault != nil {
			t.Error(fault)
			return
		}
		op, _ := w.front.parseOperation(&m, 1)
		op.Owner = w.front
		w.core.Route(w.core.Accept(op)) // dials, and the dial ends in a later turn
		drain(w, up)
	})
	w.Play("s accept workers")
	w.WaitUntil(func() bool { return w.core.Counts().Outcomes[balance.ConnectFailed] > 0 })
	if n := w.outcomes(); n[balance.Reset]+n[balance.Served]+n[balance.TimedOut] != 0 {
		t.Errorf("outcomes %v", n)
	}
}

// An idle connection is closed before the destination would close it: a request that crosses
// that close would end as a reset, and may have run.
func TestDestinations_idleConnectionClosesFirst(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(lines("c dial front", "c send {ask}", "s accept workers", "s expect hi", "s send {stream}{done}",
		"c expect fine", "wait 59500ms", "s closed"))
	w.Loop.Call(func() {
		if w.destinations.openConns != 0 {
			t.Errorf("%d connections are counted as open", w.destinations.openConns)
		}
	})
}

// The pool config's list is watched without a gap; a failed call is reported to the balancer,
// which asks again.
func TestDiscovery_watchAndFetch(t *testing.T) {
	w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	list := func(json string) string { return `{stream}` + scriptedpeer.Chunk(json) + `0\r\n\r\n` }
	w.Variables["same"] = list(`{"index":8,"snapshot":false,"endpoints":[]}`)
	w.Variables["drains"] = list(`{"index":9,"snapshot":false,"endpoints":[{"name":"s-1","status":"Terminating","weight":1.0}]}`)
	w.Variables["empty"] = list(`{"index":12,"snapshot":true,"endpoints":[]}`)
	w.Play(`
		wait 100ms
		p accept pool
		p expect GET /v1/servers?from=7&hold_ms=1 HTTP/1.1
		p send {same}
		p expect GET /v1/servers?from=8&hold_ms=2000 HTTP/1.1
		p send {drains}
		p expect GET /v1/servers?from=9&hold_ms=2000 HTTP/1.1
		p send HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n
		p closed
		wait 100ms
		q accept pool
		q expect GET /v1/servers?from=9&hold_ms=1 HTTP/1.1
		# No answer in time is a failure too: 2 s are the service's, as it answers in turn. It is
		# asked once more at once.
		wait 2300ms
		q closed
		r accept pool
		r expect from=9&hold_ms=1
		r send {empty}
		r expect from=12&hold_ms=2000
		c dial front
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect HTTP/1.1 503
	`)
}

// A watch that falls silent is abandoned and retried before the change that it misses counts as
// known: 2 s past the hold time.
func TestDiscovery_timeoutOfAWatch(t *testing.T) {
	w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	w.Variables["same"] = `{stream}` + scriptedpeer.Chunk(`{"index":8,"snapshot":false,"endpoints":[]}`) + `0\r\n\r\n`
	w.Play(`
		wait 100ms
		p accept pool
		p expect hold_ms=1 HTTP/1.1
		p send {same}
		p expect from=8&hold_ms=2000
		wait 3500ms
		p closed
		q accept pool
		q expect from=8&hold_ms=1 HTTP/1.1
	`)
}

// A new configuration moves the watch to another address at once. The node continues with its
// list and version there, and the end of the old watch is not reported as a failure: the
// balancer would wait a while before it asked again.
func TestDiscovery_SetAddress(t *testing.T) {
	w := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	w.Variables["same"] = `{stream}` + scriptedpeer.Chunk(`{"index":8,"snapshot":false,"endpoints":[]}`) + `0\r\n\r\n`
	w.Variables["none"] = `{stream}` + scriptedpeer.Chunk(`{"index":9,"snapshot":true,"endpoints":[]}`) + `0\r\n\r\n`
	w.Play(lines("wait 100ms", "p accept pool", "p expect hold_ms=1 HTTP/1.1", "p send {same}", "p expect from=8"))
	for _, name := range []string{"next", "last"} {
		address := w.Listen(name)
		w.Loop.Call(func() { w.discovery.SetAddress(address) })
	}
	w.Play(`
		p closed
		n accept last
		n expect GET /v1/servers?from=8&hold_ms=1 HTTP/1.1
		c dial front
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect HTTP/1.1 200
		n send {none}
		n expect from=9&hold_ms=2000
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect HTTP/1.1 503
	`)
	// Nor does it wait for the balancer where the last call had failed.
	w.Play(lines(`n send HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n`, "n closed"))
	address := w.Listen("third")
	w.Loop.Call(func() { w.discovery.SetAddress(address) })
	w.Play(lines("o accept third", "o expect from=9&hold_ms=1"))
}

// After SIGTERM the node still serves, answers 503 at /healthz, and closes each connection with
// its last answer.
func TestServer_Stop(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		idle dial front
		idle send GET /healthz HTTP/1.1\r\n\r\n
		idle expect HTTP/1.1 200
	`)
	w.Loop.Call(w.front.BeginShutdown)
	w.Play(`
		late dial front
		late send GET /healthz HTTP/1.1\r\n\r\n
		late expect HTTP/1.1 503
	`)
	drained := make(chan struct{})
	w.Loop.Call(func() { w.front.Stop(0, func() { close(drained) }) })
	w.Play(`
		idle closed
		late closed
		s send {stream}{done}
		c expect Connection: close
		c expect fine
		c closed
		idle close
		late close
	`)
	w.Loop.Call(func() {
		select {
		case <-drained:
			t.Error("drained, and a client has not ended its side")
		default:
		}
	})
	w.Play("c close")
	<-drained
	if c, err := net.Dial("tcp", w.front.config.Listen); err == nil {
		c.Close()
		t.Error("the node still listens")
	}
}

// A client that does not complete a request within 2.8 s is answered 408, or its connection is
// closed if nothing was received; a request received in fragments has no more time.
func TestServer_unfinishedRequests(t *testing.T) {
	w := newFixture(t, nil)
	w.Play("silent dial front")
	w.WaitUntil(func() bool { return w.front.sockets.Len() == 1 })
	w.Play(`
		head dial front
		head send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\n
		body dial front
		body send {book}POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 9\r\n\r\nhi
		s accept workers
		s expect Req-Id: b1
		wait 1s
		head send Cookie: x\r\n
		s send {stream}{booked}
		body expect fine
		wait 1900ms
		silent closed
		head expect HTTP/1.1 408
		head closed
		# The second request of this one began to be read with the first's answer.
		body send x
		wait 1s
		body expect HTTP/1.1 408
		body closed
		# A usual client's connection may stand idle.
		c dial front
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect 200
		wait 30s
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect 200
	`)
	w.Loop.Call(func() {
		if w.front.bufferedBytes != 0 || w.front.counts.Silent != 1 {
			t.Errorf("%d bytes held, %+v", w.front.bufferedBytes, w.front.counts)
		}
	})
}

// Near the limit silent connections are shed first, then stalled requests; an ordinary client
// reopens its idle connection, but does not repeat half a request.
func TestServer_shedsSilentConnectionsFirst(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 3 })
	health := `send GET /healthz HTTP/1.1\r\n\r\n`
	w.Play(lines("a dial front", "a "+health, "a expect 200", "wait 1s", "silent dial front",
		"half dial front", `half send POST /pruefen HTTP/1.1\r\n`))
	w.WaitUntil(func() bool { return w.front.sockets.Len() == 3 && w.front.bufferedBytes > 0 })
	// The unfinished request is one of few and may yet be completed: the idle connection is shed.
	w.Play(lines("wait 300ms", "b dial front", "b "+health, "b expect 200", "silent closed", "c dial front", "c "+health,
		"c expect 200", "a closed"))
	// It is stalled now.
	w.Play(lines("wait 1800ms", "d dial front", "d "+health, "d expect 200", "half closed", "b "+health, "b expect 200"))
}

// A request sent over more than two seconds is served, also while many others are unfinished or
// idle.
func TestServer_slowRequestAmongMany(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 8 })
	w.Variables["slowly"] = scriptedpeer.Chunk(`{"id":"slow","state":"done","result":"fine"}`) + `0\r\n\r\n`
	w.Play("slow dial front")
	var slow *clientConn
	w.WaitUntil(func() bool {
		w.front.sockets.All(func(_ slottable.Handle, f *clientConn) { slow = f })
		return slow != nil
	})
	come := 0
	for i, part := range []string{`POST /pru`, `efen HTTP/1.1\r\nReq`, `-Id: slow\r\nReq-Dead`, `line: 3.0\r\nContent-Length: 2\r\n`,
		`\r\nh`, `i`} {
		w.Play("slow send " + part)
		come += len(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(part))
		w.WaitUntil(func() bool { return slow.bufferedBytes == come || slow.call != nil || !slow.conn.Open() })
		for j := range 6 {
			name := fmt.Sprintf("x%d%d", i, j)
			w.Play(name + " dial front")
			if j%2 == 0 {
				w.Play(lines(name+` send GET /healthz HTTP/1.1\r\n\r\n`, name+" expect 200"))
			} else {
				w.Play(name + ` send POST /pruefen HT`)
			}
			w.WaitUntil(func() bool { return w.front.listener.Pending() == 0 })
			w.Advance(60 * time.Millisecond)
		}
		w.Advance(70 * time.Millisecond)
	}
	w.Play(`
		s accept workers
		s expect hi
		s send {stream}{slowly}
		slow expect fine
	`)
}

// Hundreds of silent connections arrive at once; an ordinary client that connects right after
// them is served.
func TestServer_regularClientBehindABurst(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 3 })
	for i := range 11 {
		w.Play(fmt.Sprintf("silent%d dial front", i))
	}
	w.WaitUntil(func() bool { return w.front.sockets.Len()+len(w.front.lingering) >= 9 })
	w.Play(lines("wait 30ms", "c dial front", `c send GET /healthz HTTP/1.1\r\n\r\n`, "c expect 200"))
}

// Where every connection has a request in progress a further client is answered 503 at once,
// instead of waiting in the listen backlog.
func TestServer_allSocketsBusy(t *testing.T) {
	w := newFixture(t, func(s *balance.Settings, f *FrontConfig) { f.MaxSockets, s.Limits.MaxAttempts = lastSockets+1, 1 })
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		d dial front
		d expect HTTP/1.1 503
		d expect Retry-After: 1.000
		d closed
		s send {stream}{done}
		c expect fine
	`)
}

// Unfinished requests share one memory limit; beyond it the largest is rejected.
func TestServer_inputBudget(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxBufferedBytes = 100 << 10 })
	part := func(name string, bytes int) string {
		return lines(name+" dial front", name+` send POST /pruefen HTTP/1.1\r\nReq-Id: `+name+`\r\nContent-Length: 65536\r\n\r\n`+
			strings.Repeat("x", bytes))
	}
	buffered := func(bytes int) func() bool { return func() bool { return w.front.bufferedBytes > bytes } }
	w.Play(part("one", 30<<10))
	w.WaitUntil(buffered(30 << 10))
	w.Play(part("two", 60<<10))
	w.WaitUntil(buffered(90 << 10))
	w.Play(lines(part("three", 25<<10), "two expect HTTP/1.1 503", "two closed"))
	w.Play(lines("one send "+strings.Repeat("x", 34<<10), "s accept workers", "s expect xxx", "s send {stream}"+
		scriptedpeer.Chunk(`{"id":"one","state":"done","result":"fine"}`)+`0\r\n\r\n`, "one expect fine"))
}

// A client that keeps writing at full speed still gets the error, and its descriptor is released.
func TestServer_errorArrivesAtFullSpeed(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 60000000\r\n\r\n
	`)
	piece := strings.Repeat("x", 64<<10)
	for range 200 {
		w.Play("c send " + piece)
	}
	w.Play(lines("c expect HTTP/1.1 413", "c closed", "wait 1100ms"))
	w.WaitUntil(func() bool { return w.front.listener.Open() == 0 })
}

// However it is split, a request is parsed as if received at once, and a line once parsed is
// not parsed again.
func TestRequestReader_resumes(t *testing.T) {
	for _, text := range []string{
		"\r\nPOST /a HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 2\r\n\r\nhi",
		"POST /a HTTP/1.1\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nT: x\r\n\r\n",
	} {
		var r requestReader
		at := 0
		for n := 1; n < len(text); n++ {
			if _, used, err := r.read([]byte(text[:n])); used != 0 || err != nil || r.position < at {
				t.Fatalf("%q: used %d, read to %d after %d, %v", text[:n], used, r.position, at, err)
			}
			at = r.position
		}
		m, used, err := r.read([]byte(text))
		if used != len(text) || err != nil || string(m.Body) != "hi" || string(m.Target) != "/a" {
			t.Errorf("%q: used %d, body %q, %v", text, used, m.Body, err)
		}
		if at == 0 {
			t.Errorf("%q: nothing was noted before its end", text)
		}
	}
	framing := strings.Repeat("1;"+strings.Repeat("x", 1<<10)+"\r\nx\r\n", 200)
	if _, _, err := ParseRequest([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + framing)); err == nil || err.Status != 413 {
		t.Errorf("a body that is all framing: %v", err)
	}
}

// At the limit of connections the one idle longest is shed.
func TestServer_socketsAtTheLimit(t *testing.T) {
	w := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 2 })
	health := `send GET /healthz HTTP/1.1\r\n\r\n`
	w.Play(lines("a dial front", "a "+health, "a expect 200", "wait 1s", "b dial front", "b "+health, "b expect 200",
		"wait 1s", "c dial front", "c "+health, "c expect 200", "a closed", "b "+health, "b expect 200"))
}

// A connection abandoned while it is opened counts until its socket is closed: the limit of
// descriptors would else be exceeded.
func TestDestinations_abandonedDialCountsUntilClosed(t *testing.T) {
	w := newFixture(t, nil)
	step := slottable.Handle(99)
	w.Loop.Call(func() {
		for id := range w.destinations.byID {
			w.destinations.Send(step, id, &routing.Work{ID: "a1", Target: "/pruefen"}, w.Loop.Now()+time.Second)
			break
		}
		w.destinations.Abort(step)
		if w.destinations.openConns != 1 {
			t.Errorf("%d connections count while one is still being given up", w.destinations.openConns)
		}
	})
	w.WaitUntil(func() bool { return w.destinations.openConns == 0 })
}

// At the limit of connections to destinations a step fails as not connected, so that it never
// ran, and the node continues.
func TestDestinations_connectionsAtTheLimit(t *testing.T) {
	w := newFixture(t, nil)
	w.Loop.Call(func() { w.destinations.config.MaxConnections = 0 })
	w.Play(lines("c dial front", "c send {book}", "c expect HTTP/1.1 503",
		`c send GET /healthz HTTP/1.1\r\n\r\n`, "c expect 200"))
}

func TestDestinations_loadReports(t *testing.T) {
	w := newFixture(t, nil)
	c := &destinationConn{owner: w.destinations}
	for text, want := range map[string][2]float32{
		`{"queue":7,"x0":2}`:   {7, 2},
		`{"backlog":7,"x0":2}`: {7, 2},
		`{"x0":0,"other":1}`:   {-1, 0},
	} {
		got := c.report([]byte(text))
		if len(got) != 2 || got[1] != want[1] || want[0] >= 0 && got[0] != want[0] || want[0] < 0 && got[0] == got[0] {
			t.Errorf("%s: %v", text, got)
		}
	}
	if got := c.report([]byte(`[1]`)); got != nil {
		t.Errorf("no object: %v", got)
	}
}

// A process that may be killed soon answers all requests before: idempotent ones are answered
// 503, others fail, and later requests have no longer deadline either.
func TestDestinations_outcomeBeforeTheEndOfTheResponse(t *testing.T) {
	w := newFixture(t, nil)
	w.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		d dial front
		d send {book}
		r accept workers
		r expect b1
	`)
	w.Loop.Call(func() { w.core.LimitDeadlines(w.front, w.Loop.Now()+time.Second) })
	w.Play(`
		e dial front
		e send POST /buchen HTTP/1.1\r\nReq-Id: b2\r\nReq-Deadline: 3.0\r\n\r\n
		q accept workers
		q expect Req-Deadline: 1.000
		wait 1s
		c expect HTTP/1.1 503
		d expect HTTP/1.1 502
		e expect HTTP/1.1 502
		s closed
		r closed
		q closed
	`)
	w.checkTotals(t)
}

// A destination answers a probe with 503. Nothing is sent there for a while, though the list has
// it as ready.
func TestDestinations_probeRejected(t *testing.T) {
	w := newFixture(t, nil)
	w.Variables["no"] = `HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}`
	w.leaveOneWorker()
	w.Loop.Call(func() { w.destinations.Probe(workerIDOf("s-1")) })
	w.Play(lines("p accept workers", "p expect GET /load", "p send {no}"))
	w.WaitUntil(func() bool { return len(w.destinations.byID[workerIDOf("s-1")].idle) == 1 }) // the response is read and its connection idle
	w.Play(lines("c dial front", "c send {ask}", "c arrives"))
	w.WaitUntil(func() bool { return w.core.OpenOperations() == 1 })
	w.Play("wait 1s")
	if n := w.steps(); n != 0 {
		t.Errorf("%d attempts", n)
	}
	w.Play(lines("wait 1100ms", "p expect hi", "p send {stream}{done}", "c expect HTTP/1.1 200"))
}
