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

// A request is forwarded, its result is sent to the client, and a second request can follow.
func TestFront_servesRequests(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect POST /pruefen/x?y=1 HTTP/1.1\r\n
		s expect Req-Id: a1\r\n
		s expect \r\n\r\nhi
		s send {stream}` + scriptedpeer.Chunk(`{"id":"a1","state":"started"}`) + `{done}
		c expect HTTP/1.1 200 OK\r\n
		c expect \r\n\r\nfine
		# The client's connection stays open for the next request.
		c send {ask}
	`)
	fx.checkTotals(t)
	if n := fx.outcomes(); n[balance.Served] != 1 {
		t.Errorf("one request served: got outcomes %v, want 1 Served", n)
	}
}

// A client's idempotency key is forwarded unchanged, since prep workers use it to drop repeats.
func TestFront_idempotencyKeyIsForwarded(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nidempotency-key:  5c0f 6E1a, 2b \r\nContent-Length: 2\r\n\r\nhi
		s accept workers
		s expect Idempotency-Key: 5c0f 6E1a, 2b\r\n
		s expect hi
		s send {stream}{done}
		c expect fine
	`)
	fx.checkTotals(t)
	for name, key := range map[string]string{"comes twice": `Idempotency-Key: a\r\nidempotency-key: a\r\n`,
		"is too long": `Idempotency-Key: ` + strings.Repeat("a", maxIDBytes+1) + `\r\n`} {
		fx.Play(lines("c dial front", `c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\n`+key+`\r\n`, "c expect HTTP/1.1 400",
			"c expect "+name, "c closed"))
	}
}

// Requests may be received in fragments, and pipelined.
func TestServer_splitAndPipelined(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
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
	fx.checkTotals(t)
}

// A malformed request is answered 4xx or 5xx, and its connection is closed.
func TestFront_malformedRequests(t *testing.T) {
	fx := newFixture(t, nil)
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
		fx.Play(lines("c dial front", "c send "+c[0], "c expect HTTP/1.1 "+c[1], "c expect Connection: close", "c closed"))
	}
	// Well-formed but invalid requests are treated alike.
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
		fx.Play(lines("c dial front", "c send "+c[0], "c expect HTTP/1.1 "+c[1], "c expect Connection: close", "c closed"))
	}
	fx.Loop.Call(func() {
		if n := fx.front.Counts().Rejected; n != 28 {
			t.Errorf("got %d requests counted as rejected, want 28", n)
		}
	})
	fx.checkTotals(t)
}

// The Req-Id of a request in progress may not be used by another request, whose outcome could end
// the first one, which may be another client's. After the end of the first it may be used again.
func TestFront_duplicateRequestID(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
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
	fx.checkTotals(t)
	if n := fx.outcomes(); n[balance.Served] != 2 || n[balance.Cancelled] != 1 {
		t.Errorf("three requests of one Req-Id: got outcomes %v, want 2 Served and 1 Cancelled", n)
	}
}

// A request that a destination rejects as invalid is the client's fault: it is not retried at
// another destination and does not count as a failure of this one.
func TestFront_destinationRejects(t *testing.T) {
	fx := newFixture(t, nil)
	for range 3 {
		fx.Play(lines("c dial front", "c send {ask}", "s accept workers", "s expect hi",
			`s send HTTP/1.1 400 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno`, "c expect HTTP/1.1 400", "c closed"))
	}
	fx.checkTotals(t)
	fx.Loop.Call(func() {
		c := fx.core.Counts()
		if c.Steps != 3 || c.Rejected != 3 || c.Outcomes[balance.Errored]+c.Outcomes[balance.Reset] != 0 {
			t.Errorf("three requests rejected by the destination: got %+v, want 3 steps, 3 rejected, no Errored or Reset", c)
		}
	})
}

// A body of exactly 64 KiB, the maximum, is accepted.
func TestFront_largestBody(t *testing.T) {
	fx := newFixture(t, nil)
	body := strings.Repeat("x", maxBodyBytes-3) + "end"
	fx.Play(lines("c dial front", `c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 65536\r\n\r\n`+body,
		"s accept workers", "s expect xend", "s send {stream}{done}", "c expect fine"))
}

// The step of a client that disconnects is cancelled, which closes the step's connection.
func TestFront_clientGone(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		c close
		s closed
	`)
	if n := fx.outcomes(); n[balance.Cancelled] != 1 {
		t.Errorf("client disconnected: got outcomes %v, want 1 Cancelled", n)
	}
	fx.checkTotals(t)
}

// Checks the outcomes that the protocol's documentation lists. Each response ends the first step
// of a booking. A booking that never ran is retried; one that may have run is not.
func TestDestinations_outcomes(t *testing.T) {
	line := func(state string) string {
		return `{stream}` + scriptedpeer.Chunk(`{"id":"b1","state":"`+state+`"}`) + `0\r\n\r\n`
	}
	for name, c := range map[string]struct {
		answer string
		want   balance.Outcome
	}{
		"done":                     {`{stream}{booked}`, balance.Served},
		"failed":                   {line("failed"), balance.Errored},
		"returned":                 {line("returned"), balance.Full},
		"lost":                     {line("lost"), balance.Reset},
		"500":                      {`HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n`, balance.Errored},
		"503 declined":             {`HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno`, balance.Full},
		"504 declined":             {`HTTP/1.1 504 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n`, balance.Full},
		"503 without Srv-Declined": {`HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n`, balance.Errored},
		"200 without a final line": {`{stream}0\r\n\r\n`, balance.Reset},
		"unreadable":               {`nonsense\r\n\r\n`, balance.Reset},
		"no newline at the end":    {`{stream}` + `19\r\n{"state":"done"         }\r\n0\r\n\r\n`, balance.Served},
		"line is not an object":    {`{stream}` + scriptedpeer.Chunk(`hello`), balance.Reset},
		"other request's line":     {`{stream}{done}`, balance.Reset},
		"interim, then served":     {`HTTP/1.1 100 Continue\r\n\r\n{stream}{booked}`, balance.Served},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil)
			fx.Play(lines("c dial front", "c send {book}", "s accept workers", `s expect \r\n\r\n`, "s send "+c.answer))
			switch {
			case c.want == balance.Served:
				fx.Play("c expect HTTP/1.1 200")
			case c.want.NeverRan():
				fx.Play(lines("r accept workers", "r expect Req-Id: b1", "r send {stream}{booked}", "c expect fine"))
			default:
				fx.Play("c expect HTTP/1.1 502")
			}
			if n := fx.outcomes(); n[c.want] == 0 {
				t.Errorf("response %s: got outcomes %v, want one of outcome %d", c.answer, n, c.want)
			}
			fx.checkTotals(t)
		})
	}
}

// A request whose connection ends after its last byte was written may have run: a booking is not
// retried, and not answered 503 either, which would invite the client to repeat it.
func TestDestinations_connectionBreaksAfterTheLastByte(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(lines("c dial front", "c send {book}", "s accept workers", `s expect \r\n\r\n`, "s close", "c expect HTTP/1.1 502"))
	if n := fx.outcomes(); n[balance.Reset] != 1 {
		t.Errorf("connection closed after the request: got outcomes %v, want 1 Reset", n)
	}
}

// If an idle connection breaks at its next request, it is unknown whether the request ran. After
// such a break, bookings get new connections for a while; idempotent requests still reuse one.
func TestDestinations_nonIdempotentAvoidsIdleConnectionsAfterOneBroke(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Loop.Call(func() { // one destination, so that it is determined which connection is used
		update := balance.ListUpdate{Kind: balance.ListChanges}
		for id, target := range fx.destinations.byID {
			if target.name == "s-2" {
				update.Workers = append(update.Workers, balance.WorkerListing{Worker: id, State: balance.Draining, Scale: 1})
			}
		}
		fx.core.PoolChanged(update)
	})
	serve := func(conn, answer string) string {
		return lines(conn+" expect Req-Id", conn+` expect \r\n\r\n`, conn+" send {stream}"+answer, "c expect fine", "wait 1s")
	}
	serveIdempotent := func(conn string) string { return serve(conn, "{done}") }
	serveBooking := func(conn string) string { return serve(conn, "{booked}") }
	fx.Play(lines("c dial front", "c send {ask}", "s accept workers", serveIdempotent("s"), "c send {book}", serveBooking("s")))
	fx.Play(lines("c send {book}", "s expect Req-Id: b1", "s close", "c expect HTTP/1.1 502"))
	fx.Play(lines("c send {ask}", "t accept workers", serveIdempotent("t"), "c send {book}", "u accept workers", serveBooking("u")))
	fx.Play(lines("c send {ask}", serveIdempotent("u"), "wait 1m", "c send {ask}", "v accept workers", serveIdempotent("v"), "c send {book}", serveBooking("v")))
}

// A refused connection proves that nothing ran: after the last attempt the booking is answered
// 503, so that the client can repeat it.
func TestDestinations_connectRefused(t *testing.T) {
	fx := newFixture(t, nil)
	unusedAddress := scriptedpeer.FreeAddress(t)
	fx.Loop.Call(func() {
		for id, target := range fx.destinations.byID {
			fx.destinations.SetAddress(id, target.name, unusedAddress)
		}
	})
	fx.Play(lines("c dial front", "c send {book}", "c expect HTTP/1.1 503"))
	if n := fx.outcomes(); n[balance.ConnectFailed] != 2 {
		t.Errorf("connections refused: got outcomes %v, want 2 ConnectFailed", n)
	}
}

// A request without an outcome is answered shortly before its deadline, and the connection of its
// step is closed.
func TestFront_deadline(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send {book}
		s accept workers
		s expect \r\n\r\n
		wait 3s
		c expect HTTP/1.1 502
		s closed
	`)
	fx.checkTotals(t)
}

// The destination begins to drain, or is disabled by an override, while the connection to it is
// being opened: not a byte may be written, since the platform's limit counts from a request's first byte.
func TestDestinations_drainWhileConnecting(t *testing.T) {
	t.Run("listed", func(t *testing.T) {
		drainWhileConnecting(t, func(fx *fixture, up balance.ListUpdate) { fx.core.PoolChanged(up) })
	})
	t.Run("overridden", func(t *testing.T) {
		drainWhileConnecting(t, func(fx *fixture, up balance.ListUpdate) {
			fx.discovery.config.Overrides = override.Overrides{"s-1": {Disabled: true}, "s-2": {Disabled: true}}
			for _, l := range up.Workers {
				fx.discovery.Republish(l.Worker)
			}
		})
	})
}

// drainWhileConnecting routes a booking and drains both destinations while its connection is being opened.
func drainWhileConnecting(t *testing.T, drain func(*fixture, balance.ListUpdate)) {
	fx := newFixture(t, nil)
	fx.Loop.Call(func() {
		update := balance.ListUpdate{Kind: balance.ListChanges}
		for id := range fx.destinations.byID {
			update.Workers = append(update.Workers, balance.WorkerListing{Worker: id, State: balance.Draining, Scale: 1})
		}
		m, _, fault := ParseRequest([]byte("POST /buchen HTTP/1.1\r\nReq-Id: b1\r\nReq-Deadline: 3\r\n\r\n"))
		if fault != nil {
			t.Errorf("parse a valid request: %v", fault)
			return
		}
		op, _ := fx.front.parseOperation(&m, 1)
		op.Owner = fx.front
		fx.core.Route(fx.core.Accept(op)) // dials; the dial ends in a later iteration of the loop
		drain(fx, update)
	})
	fx.Play("s accept workers")
	fx.WaitUntil(func() bool { return fx.core.Counts().Outcomes[balance.ConnectFailed] > 0 })
	if n := fx.outcomes(); n[balance.Reset]+n[balance.Served]+n[balance.TimedOut] != 0 {
		t.Errorf("drained while connecting: got outcomes %v, want no Reset, Served or TimedOut", n)
	}
}

// An idle connection is closed before the destination would close it: a request sent at the moment
// of that close would end with a reset, and might have run.
func TestDestinations_idleConnectionClosesFirst(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(lines("c dial front", "c send {ask}", "s accept workers", "s expect hi", "s send {stream}{done}",
		"c expect fine", "wait 59500ms", "s closed"))
	fx.Loop.Call(func() {
		if fx.destinations.openConns != 0 {
			t.Errorf("idle connection closed: got %d open connections, want 0", fx.destinations.openConns)
		}
	})
}

// The pool config's list is watched without a gap. A rejected call is reported to the balancer,
// which calls again; one without an answer is retried immediately.
func TestDiscovery_watchAndFetch(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	list := func(json string) string { return `{stream}` + scriptedpeer.Chunk(json) + `0\r\n\r\n` }
	fx.Variables["same"] = list(`{"index":8,"snapshot":false,"endpoints":[]}`)
	fx.Variables["drains"] = list(`{"index":9,"snapshot":false,"endpoints":[{"name":"s-1","status":"Terminating","weight":1.0}]}`)
	fx.Variables["empty"] = list(`{"index":12,"snapshot":true,"endpoints":[]}`)
	fx.Play(`
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
		# A call without an answer in time has failed too. The time-out is over 2 s, since the service
		# queues calls for so long. The call is retried immediately.
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

// A watch that is not answered is abandoned soon after its hold time, and retried before a change
// that it missed counts as known.
func TestDiscovery_timeoutOfAWatch(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	fx.Variables["same"] = `{stream}` + scriptedpeer.Chunk(`{"index":8,"snapshot":false,"endpoints":[]}`) + `0\r\n\r\n`
	fx.Play(`
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

// A new configuration moves the watch to another address immediately. The node continues with its
// list and version there. The end of the old watch is not reported as a failure, after which the
// balancer would wait a while before the next call.
func TestDiscovery_SetAddress(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, _ *FrontConfig) { s.SubscribeDiscovery = true })
	fx.Variables["same"] = `{stream}` + scriptedpeer.Chunk(`{"index":8,"snapshot":false,"endpoints":[]}`) + `0\r\n\r\n`
	fx.Variables["none"] = `{stream}` + scriptedpeer.Chunk(`{"index":9,"snapshot":true,"endpoints":[]}`) + `0\r\n\r\n`
	fx.Play(lines("wait 100ms", "p accept pool", "p expect hold_ms=1 HTTP/1.1", "p send {same}", "p expect from=8"))
	for _, name := range []string{"next", "last"} {
		address := fx.Listen(name)
		fx.Loop.Call(func() { fx.discovery.SetAddress(address) })
	}
	fx.Play(`
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
	// If the last call has failed, the watch is reopened without waiting for the balancer.
	fx.Play(lines(`n send HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n`, "n closed"))
	address := fx.Listen("third")
	fx.Loop.Call(func() { fx.discovery.SetAddress(address) })
	fx.Play(lines("o accept third", "o expect from=9&hold_ms=1"))
}

// After BeginShutdown the node still serves requests and answers 503 at /healthz. After Stop it
// closes each connection with its last answer.
func TestServer_Stop(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		idle dial front
		idle send GET /healthz HTTP/1.1\r\n\r\n
		idle expect HTTP/1.1 200
	`)
	fx.Loop.Call(fx.front.BeginShutdown)
	fx.Play(`
		late dial front
		late send GET /healthz HTTP/1.1\r\n\r\n
		late expect HTTP/1.1 503
	`)
	drained := make(chan struct{})
	fx.Loop.Call(func() { fx.front.Stop(0, func() { close(drained) }) })
	fx.Play(`
		idle closed
		late closed
		s send {stream}{done}
		c expect Connection: close
		c expect fine
		c closed
		idle close
		late close
	`)
	fx.Loop.Call(func() {
		select {
		case <-drained:
			t.Error("drained was called before the client had closed its side")
		default:
		}
	})
	fx.Play("c close")
	<-drained
	if c, err := net.Dial("tcp", fx.front.config.Listen); err == nil {
		c.Close()
		t.Error("dial after Stop succeeded, want the listener closed")
	}
}

// If a client does not complete a request within 2.8 s, it is answered 408, or its connection is
// closed if nothing was received. A request received in fragments has no more time.
func TestServer_unfinishedRequests(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play("silent dial front")
	fx.WaitUntil(func() bool { return fx.front.sockets.Len() == 1 })
	fx.Play(`
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
		# The time of this connection's second request began with the answer to the first.
		body send x
		wait 1s
		body expect HTTP/1.1 408
		body closed
		# The connection of an ordinary client may stay idle.
		c dial front
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect 200
		wait 30s
		c send GET /healthz HTTP/1.1\r\n\r\n
		c expect 200
	`)
	fx.Loop.Call(func() {
		if fx.front.bufferedBytes != 0 || fx.front.counts.Silent != 1 {
			t.Errorf("after the time-outs: got %d buffered bytes, counts %+v, want 0 bytes and Silent 1", fx.front.bufferedBytes, fx.front.counts)
		}
	})
}

// Near the limit silent connections are shed first, then stalled requests. Idle connections are
// shed before other unfinished requests: an ordinary client reopens an idle connection, but does
// not repeat an unfinished request.
func TestServer_shedsSilentConnectionsFirst(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 3 })
	health := `send GET /healthz HTTP/1.1\r\n\r\n`
	fx.Play(lines("a dial front", "a "+health, "a expect 200", "wait 1s", "silent dial front",
		"half dial front", `half send POST /pruefen HTTP/1.1\r\n`))
	fx.WaitUntil(func() bool { return fx.front.sockets.Len() == 3 && fx.front.bufferedBytes > 0 })
	// There are few unfinished requests, and this one may still be completed: the idle connection is shed.
	fx.Play(lines("wait 300ms", "b dial front", "b "+health, "b expect 200", "silent closed", "c dial front", "c "+health,
		"c expect 200", "a closed"))
	// The unfinished request is stalled now.
	fx.Play(lines("wait 1800ms", "d dial front", "d "+health, "d expect 200", "half closed", "b "+health, "b expect 200"))
}

// A request that takes more than two seconds to be received is served, even while many other
// connections are idle or have unfinished requests.
func TestServer_slowRequestAmongMany(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 8 })
	fx.Variables["slowly"] = scriptedpeer.Chunk(`{"id":"slow","state":"done","result":"fine"}`) + `0\r\n\r\n`
	fx.Play("slow dial front")
	var slow *clientConn
	fx.WaitUntil(func() bool {
		fx.front.sockets.All(func(_ slottable.Handle, client *clientConn) { slow = client })
		return slow != nil
	})
	sentBytes := 0
	for i, part := range []string{`POST /pru`, `efen HTTP/1.1\r\nReq`, `-Id: slow\r\nReq-Dead`, `line: 3.0\r\nContent-Length: 2\r\n`,
		`\r\nh`, `i`} {
		fx.Play("slow send " + part)
		sentBytes += len(strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(part))
		fx.WaitUntil(func() bool { return slow.bufferedBytes == sentBytes || slow.call != nil || !slow.conn.Open() })
		for j := range 6 {
			name := fmt.Sprintf("x%d%d", i, j)
			fx.Play(name + " dial front")
			if j%2 == 0 {
				fx.Play(lines(name+` send GET /healthz HTTP/1.1\r\n\r\n`, name+" expect 200"))
			} else {
				fx.Play(name + ` send POST /pruefen HT`)
			}
			fx.WaitUntil(func() bool { return fx.front.listener.Pending() == 0 })
			fx.Advance(60 * time.Millisecond)
		}
		fx.Advance(70 * time.Millisecond)
	}
	fx.Play(`
		s accept workers
		s expect hi
		s send {stream}{slowly}
		slow expect fine
	`)
}

// As many silent connections as the limit allows are opened at once. An ordinary client that
// connects right after them is served.
func TestServer_ordinaryClientAfterABurst(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 3 })
	for i := range 11 {
		fx.Play(fmt.Sprintf("silent%d dial front", i))
	}
	fx.WaitUntil(func() bool { return fx.front.sockets.Len()+len(fx.front.lingering) >= 9 })
	fx.Play(lines("wait 30ms", "c dial front", `c send GET /healthz HTTP/1.1\r\n\r\n`, "c expect 200"))
}

// If every connection has a request in progress, a further client is answered 503 immediately
// instead of waiting in the listen backlog.
func TestServer_allSocketsBusy(t *testing.T) {
	fx := newFixture(t, func(s *balance.Settings, f *FrontConfig) { f.MaxSockets, s.Limits.MaxAttempts = overflowSockets+1, 1 })
	fx.Play(`
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

// Unfinished requests share one memory limit. If it is exceeded, the largest request is rejected.
func TestServer_inputMemoryLimit(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxBufferedBytes = 100 << 10 })
	part := func(name string, bytes int) string {
		return lines(name+" dial front", name+` send POST /pruefen HTTP/1.1\r\nReq-Id: `+name+`\r\nContent-Length: 65536\r\n\r\n`+
			strings.Repeat("x", bytes))
	}
	buffered := func(bytes int) func() bool { return func() bool { return fx.front.bufferedBytes > bytes } }
	fx.Play(part("one", 30<<10))
	fx.WaitUntil(buffered(30 << 10))
	fx.Play(part("two", 60<<10))
	fx.WaitUntil(buffered(90 << 10))
	fx.Play(lines(part("three", 25<<10), "two expect HTTP/1.1 503", "two closed"))
	fx.Play(lines("one send "+strings.Repeat("x", 34<<10), "s accept workers", "s expect xxx", "s send {stream}"+
		scriptedpeer.Chunk(`{"id":"one","state":"done","result":"fine"}`)+`0\r\n\r\n`, "one expect fine"))
}

// A client that writes continuously still receives the error, and its descriptor is released.
func TestServer_errorArrivesAtFullSpeed(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send POST /pruefen HTTP/1.1\r\nReq-Id: a1\r\nContent-Length: 60000000\r\n\r\n
	`)
	chunk := strings.Repeat("x", 64<<10)
	for range 200 {
		fx.Play("c send " + chunk)
	}
	fx.Play(lines("c expect HTTP/1.1 413", "c closed", "wait 1100ms"))
	fx.WaitUntil(func() bool { return fx.front.listener.Open() == 0 })
}

// However a request is split, it is parsed as if it had been received in one piece, and the parser's
// position never decreases: no line is parsed again.
func TestRequestReader_resumes(t *testing.T) {
	for _, text := range []string{
		"\r\nPOST /a HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 2\r\n\r\nhi",
		"POST /a HTTP/1.1\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nT: x\r\n\r\n",
	} {
		var r requestReader
		position := 0
		for n := 1; n < len(text); n++ {
			if _, used, err := r.read([]byte(text[:n])); used != 0 || err != nil || r.position < position {
				t.Fatalf("incomplete %q: used %d, position %d after %d, error %v; want used 0, a position that does not decrease, no error", text[:n], used, r.position, position, err)
			}
			position = r.position
		}
		m, used, err := r.read([]byte(text))
		if used != len(text) || err != nil || string(m.Body) != "hi" || string(m.Target) != "/a" {
			t.Errorf("%q: used %d, target %q, body %q, error %v; want all %d bytes, target /a, body hi", text, used, m.Target, m.Body, err, len(text))
		}
		if position == 0 {
			t.Errorf("%q: the position is still 0 before the last byte", text)
		}
	}
	framing := strings.Repeat("1;"+strings.Repeat("x", 1<<10)+"\r\nx\r\n", 200)
	if _, _, err := ParseRequest([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + framing)); err == nil || err.Status != 413 {
		t.Errorf("chunked body with 200 KiB of framing: got error %v, want status 413", err)
	}
}

// At the limit of connections the one that has been idle the longest is shed.
func TestServer_socketsAtTheLimit(t *testing.T) {
	fx := newFixture(t, func(_ *balance.Settings, f *FrontConfig) { f.MaxSockets = spareSockets + 2 })
	health := `send GET /healthz HTTP/1.1\r\n\r\n`
	fx.Play(lines("a dial front", "a "+health, "a expect 200", "wait 1s", "b dial front", "b "+health, "b expect 200",
		"wait 1s", "c dial front", "c "+health, "c expect 200", "a closed", "b "+health, "b expect 200"))
}

// A connection abandoned while it is being opened counts as open until its socket is closed.
// Otherwise the limit of descriptors could be exceeded.
func TestDestinations_abandonedDialCountsUntilClosed(t *testing.T) {
	fx := newFixture(t, nil)
	step := slottable.Handle(99)
	fx.Loop.Call(func() {
		for id := range fx.destinations.byID {
			fx.destinations.Send(step, id, &routing.Work{ID: "a1", Target: "/pruefen"}, fx.Loop.Now()+time.Second)
			break
		}
		fx.destinations.Abort(step)
		if fx.destinations.openConns != 1 {
			t.Errorf("after Abort during a dial: got %d open connections, want 1 until the socket is closed", fx.destinations.openConns)
		}
	})
	fx.WaitUntil(func() bool { return fx.destinations.openConns == 0 })
}

// At the limit of connections to destinations a step fails with ConnectFailed, which proves that
// it never ran, and the node continues to serve.
func TestDestinations_connectionsAtTheLimit(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Loop.Call(func() { fx.destinations.config.MaxConnections = 0 })
	fx.Play(lines("c dial front", "c send {book}", "c expect HTTP/1.1 503",
		`c send GET /healthz HTTP/1.1\r\n\r\n`, "c expect 200"))
}

// Load reports may use either name of a field. Missing fields are NaN, which -1 stands for here.
func TestDestinations_loadReports(t *testing.T) {
	fx := newFixture(t, nil)
	c := &destinationConn{owner: fx.destinations}
	for text, want := range map[string][2]float32{
		`{"queue":7,"x0":2}`:   {7, 2},
		`{"backlog":7,"x0":2}`: {7, 2},
		`{"x0":0,"other":1}`:   {-1, 0},
	} {
		got := c.report([]byte(text))
		if len(got) != 2 || got[1] != want[1] || want[0] >= 0 && got[0] != want[0] || want[0] < 0 && got[0] == got[0] {
			t.Errorf("load report %s: got %v, want %v (-1: NaN)", text, got, want)
		}
	}
	if got := c.report([]byte(`[1]`)); got != nil {
		t.Errorf("load report [1], not an object: got %v, want nil", got)
	}
}

// LimitDeadlines makes a process that may be killed soon answer all requests before that: at the
// limit idempotent ones are answered 503 and others fail, and later requests have no longer
// deadline.
func TestFront_limitedDeadlines(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Play(`
		c dial front
		c send {ask}
		s accept workers
		s expect hi
		d dial front
		d send {book}
		r accept workers
		r expect b1
	`)
	fx.Loop.Call(func() { fx.core.LimitDeadlines(fx.front, fx.Loop.Now()+time.Second) })
	fx.Play(`
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
	fx.checkTotals(t)
}

// A destination answers a probe with 503. No request is sent to it for a while, although it is
// listed as ready.
func TestDestinations_probeRejected(t *testing.T) {
	fx := newFixture(t, nil)
	fx.Variables["no"] = `HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}`
	fx.leaveOneWorker()
	fx.Loop.Call(func() { fx.destinations.Probe(workerIDOf("s-1")) })
	fx.Play(lines("p accept workers", "p expect GET /load", "p send {no}"))
	fx.WaitUntil(func() bool { return len(fx.destinations.byID[workerIDOf("s-1")].idle) == 1 }) // the response has been read and its connection is idle
	fx.Play(lines("c dial front", "c send {ask}", "c arrives"))
	fx.WaitUntil(func() bool { return fx.core.OpenOperations() == 1 })
	fx.Play("wait 1s")
	if n := fx.stepsSent(); n != 0 {
		t.Errorf("after a probe answered with 503: got %d attempts, want 0", n)
	}
	fx.Play(lines("wait 1100ms", "p expect hi", "p send {stream}{done}", "c expect HTTP/1.1 200"))
}
