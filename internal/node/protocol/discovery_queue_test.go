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

// serialService is a pool config for many nodes that runs on the test's clock. It answers calls without a hold time one
// after the other and immediately rejects those that would wait too long. Answers at the end of a hold time take no time.
type serialService struct {
	callTime, maxWait time.Duration // per call; until a call's answer
	version           int
	pendingChange     bool // all watches are answered, once
	silent            bool // watches are not answered any more

	mu                     sync.Mutex // guards the fields below
	callCount, closedCount int        // calls received, connections closed by nodes
	arrived, waiting       []*queuedCall
	watches                []*queuedCall
	closedConns            map[net.Conn]bool
	busyUntil              time.Duration // when all queued calls are answered
}

// queuedCall is a call that is not answered yet.
type queuedCall struct {
	conn     net.Conn
	hold     time.Duration
	answerAt time.Duration // when it is due to be answered; 0: not determined yet
}

// serve accepts connections and queues the calls received on them.
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

// answerDue answers or rejects the calls that are due, and returns their number.
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
			continue // the service has spent the call's time for nothing
		}
		s.answer(c)
		answered++
	}
	return answered
}

// answer sends a list of the present version without changes.
func (s *serialService) answer(c *queuedCall) {
	list := fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, s.version)
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
}

// Many nodes start together, and the pool config answers few calls per second: all nodes have its list within the 6 s
// after which it counts as known, provided that it can answer so many calls by then. Then a change ends all watches, which
// are reopened together, and the service stops answering them. The watches do not end together, owing to the jitter of
// their hold times: the service gets calls to answer as early as half of the longest hold time later.
func TestDiscovery_manyClientsAtASerialService(t *testing.T) {
	const nodes, knownAfter = 16, 6 * time.Second
	for seed := range uint64(5) {
		bench := scriptedpeer.New(t)
		service := &serialService{callTime: 200 * time.Millisecond, maxWait: 2 * time.Second, version: 8, closedConns: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("listen for the service: %v", err)
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
					t.Errorf("create the core of node %d: %v", i, err)
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
			caughtUp := func() bool { // both sides have processed all that the other has sent
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
		expectAllUpToDate := func(phase string, within time.Duration) {
			for upToDate < nodes {
				if elapsed := now() - startedAt; elapsed > within {
					t.Fatalf("seed %d, %s: after %v %d of %d nodes have version %d, want all within %v", seed, phase, elapsed, upToDate, nodes, service.version, within)
				}
				advance()
			}
		}
		expectAllUpToDate("start", knownAfter)
		service.version, service.pendingChange, upToDate, startedAt = 9, true, 0, now()
		expectAllUpToDate("change", 100*time.Millisecond)
		service.version, service.silent, upToDate, startedAt = 10, true, 0, now()
		// The service gets calls from half of the longest hold time on, and answers one per callTime.
		expectAllUpToDate("silence", min(knownAfter, maxWatchHold/2+watchAnswerGrace+nodes*service.callTime+watchAnswerGrace))
	}
}
