package protocol

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/testkit/scriptedpeer"
)

// serialService is a pool config for many nodes, on the test's clock: it answers calls without a hold time one after the
// other, and rejects at once those that would wait too long. The end of a hold time costs nothing.
type serialService struct {
	callTime, maxWait time.Duration
	version           int
	pendingChange     bool // to be sent on the watches, once
	silent            bool // nothing comes on the watches any more

	mu                     sync.Mutex
	callCount, closedCount int // calls, connections
	arrived, waiting       []*queuedCall
	watches                []*queuedCall
	closedConns            map[net.Conn]bool
	busyUntil              time.Duration // when the turns given so far are over
}

type queuedCall struct {
	conn     net.Conn
	hold     time.Duration
	answerAt time.Duration // when it is answered; 0: not given yet
}

func (s *serialService) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				s.mu.Lock()
				if err != nil {
					s.closedConns[conn] = true
					s.closedCount++
					s.mu.Unlock()
					return
				}
				hold, _ := strconv.Atoi(r.FormValue("hold_ms"))
				c := &queuedCall{conn: conn, hold: time.Duration(hold) * time.Millisecond}
				s.callCount++
				s.arrived = append(s.arrived, c)
				s.mu.Unlock()
			}
		}()
	}
}

// run answers and rejects the calls that are due now, and returns their number.
func (s *serialService) answerDue(now time.Duration) (answered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.arrived {
		if c.hold > time.Millisecond {
			c.answerAt = now + c.hold
			s.watches = append(s.watches, c)
			continue
		}
		if s.busyUntil = max(s.busyUntil, now); s.busyUntil+s.callTime-now > s.maxWait {
			fmt.Fprint(c.conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
			answered++
			continue
		}
		s.busyUntil += s.callTime
		c.answerAt = s.busyUntil
		s.waiting = append(s.waiting, c)
	}
	s.arrived = nil
	s.watches = slices.DeleteFunc(s.watches, func(c *queuedCall) bool {
		due := s.pendingChange || !s.silent && now >= c.answerAt
		if due {
			s.answer(c)
			answered++
		}
		return due
	})
	s.pendingChange = false
	for len(s.waiting) > 0 && s.waiting[0].answerAt <= now {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.closedConns[c.conn] {
			continue // its turn was for nothing
		}
		s.answer(c)
		answered++
	}
	return answered
}

func (s *serialService) answer(c *queuedCall) {
	list := fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, s.version)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}

// Many nodes start together, and the pool config answers few calls a second: its list is known to all within the 6 s after
// which it counts as known, as far as it can answer so many by then. Then a change ends all watches at once, so that they
// are reopened together, and all fall silent. They do not end together: the service has calls to answer as early as half
// of the longest hold time later.
func TestDiscovery_manyClientsAtASerialService(t *testing.T) {
	const nodes, knownAfter = 16, 6 * time.Second
	for seed := range uint64(5) {
		bench := scriptedpeer.New(t)
		service := &serialService{callTime: 200 * time.Millisecond, maxWait: 2 * time.Second, version: 8, closedConns: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go service.serve(l)
		discoveries := make([]*Discovery, nodes)
		now := func() (at time.Duration) { bench.Loop.Call(func() { at = bench.Loop.Now() }); return at }
		startedAt := now()
		bench.Loop.Call(func() {
			for i := range discoveries {
				core, err := routing.New(balance.Settings{Balancers: nodes, Ordinal: i, SubscribeDiscovery: true,
					Resolution: 2 * time.Millisecond, Classes: []balance.Class{{Timeout: time.Second}},
					Limits: balance.Limits{MaxAttempts: 1}, Rules: balance.Rules{InitialCapacity: 1, SubscribeWithin: 10 * time.Second}},
					seed*nodes+uint64(i), bench.Loop, &bench.Loop.Timers)
				if err != nil {
					t.Error(err)
					return
				}
				destinations := NewDestinations(DestinationConfig{}, bench.Loop, core)
				discoveries[i] = NewDiscovery(DiscoveryConfig{Address: l.Addr().String(), ConnectTimeout: time.Minute,
					Jitter:     rand.New(rand.NewPCG(seed, uint64(i))).Float64,
					CachedList: EndpointList{Version: 7}}, bench.Loop, core, destinations)
				peers, _ := NewPeers(PeersConfig{}, bench.Loop, core)
				core.Connect(destinations, discoveries[i], peers)
				discoveries[i].Start()
			}
		})
		answered, upToDate := 0, 0
		advance := func() {
			bench.Advance(10 * time.Millisecond)
			var sum CallCounts
			caughtUp := func() bool { // what either side has done the other has seen
				sum, upToDate = CallCounts{}, 0
				for _, d := range discoveries {
					sum.Sent += d.counts.Sent
					sum.Answered += d.counts.Answered
					sum.Rejected += d.counts.Rejected
					sum.TimedOut += d.counts.TimedOut
					if d.version == uint64(service.version) {
						upToDate++
					}
				}
				service.mu.Lock()
				defer service.mu.Unlock()
				return int(sum.Sent) == service.callCount && int(sum.Answered+sum.Rejected) == answered &&
					int(sum.Rejected+sum.TimedOut) == service.closedCount
			}
			bench.WaitUntil(caughtUp)
			answered += service.answerDue(now())
			bench.WaitUntil(caughtUp)
		}
		expectAllUpToDate := func(what string, within time.Duration) {
			for upToDate < nodes {
				if elapsed := now() - startedAt; elapsed > within {
					t.Fatalf("seed %d, %s: after %v %d of %d nodes know", seed, what, elapsed, upToDate, nodes)
				}
				advance()
			}
		}
		expectAllUpToDate("start", knownAfter)
		service.version, service.pendingChange, upToDate, startedAt = 9, true, 0, now()
		expectAllUpToDate("news", 100*time.Millisecond)
		service.version, service.silent, upToDate, startedAt = 10, true, 0, now()
		// From half of the longest hold on the service has calls to answer, so many one after the other.
		expectAllUpToDate("silence", min(knownAfter, maxWatchHold/2+watchAnswerGrace+nodes*service.callTime+watchAnswerGrace))
	}
}
