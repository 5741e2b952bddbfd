package feedtransport

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

const feedPort = 7660

var startTime = time.Unix(1000, 0)

// selectorHarness runs a selector on a simulated clock.
type selectorHarness struct {
	t        *testing.T
	selector *ServerSelector
	now      time.Time
}

func newSelectorHarness(t *testing.T, seeds ...string) *selectorHarness {
	t.Helper()
	options := SelectorOptions{Node: "edge-1", Zone: "a", Region: "north", Seeds: seeds, FeedPort: feedPort}
	return &selectorHarness{t: t, selector: NewServerSelector(options, func() float64 { return 0.5 }), now: startTime}
}

func (s *selectorHarness) next() string {
	address, wait := s.selector.Next(s.now)
	s.now = s.now.Add(wait)
	return address
}

func (s *selectorHarness) connect() string {
	address := s.next()
	s.selector.Connected(s.now)
	return address
}

func (s *selectorHarness) advance(span time.Duration) { s.now = s.now.Add(span) }

func (s *selectorHarness) status(current bool, servers ...ServerEndpoint) {
	s.selector.Received(s.now)
	s.selector.ObserveStatus(s.now, Status{Shards: []ShardStatus{{Current: current}}, Servers: servers})
}

// observeUntilLeft advances the clock in steps, with a status at every status interval, until the selector leaves the server or
// limit has passed. It returns the elapsed time, and the reason if the server was left.
func (s *selectorHarness) observeUntilLeft(current bool, limit time.Duration) (time.Duration, error) {
	startedAt := s.now
	for s.now.Sub(startedAt) < limit {
		s.advance(StatusInterval / 4)
		if s.now.Sub(startedAt)%StatusInterval == 0 {
			s.status(current)
		}
		if reason := s.selector.Check(s.now); reason != nil {
			return s.now.Sub(startedAt), reason
		}
	}
	return limit, nil
}

func threeSeeds() []string { return []string{"10.0.0.1:8146", "10.0.0.2:8146", "10.0.0.3:8146"} }

func TestServerSelector_Next_triesAllSeeds(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	tried := make(map[string]int)
	for range 6 {
		tried[s.next()]++
		s.advance(DialTimeout)
		s.selector.AttemptEnded(s.now, errors.New("refused"))
	}
	if len(tried) != 3 {
		t.Errorf("tried the servers %v, want all 3", tried)
	}
	for address, count := range tried {
		if count != 2 {
			t.Errorf("%s was tried %d times in 6 attempts, want 2", address, count)
		}
	}
	if elapsed := s.now.Sub(startTime); elapsed > 6*DialTimeout+6*maxRetryBackoff {
		t.Errorf("6 attempts took %v, want at most %v", elapsed, 6*DialTimeout+6*maxRetryBackoff)
	}
}

func TestServerSelector_Next_backoffBounds(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	var last time.Duration
	for attempt := range 10 {
		_, wait := s.selector.Next(s.now)
		if attempt == 0 && wait != 0 {
			t.Errorf("the first attempt waits %v, want 0", wait)
		}
		if attempt > 0 && (wait < minRetryBackoff || wait > maxRetryBackoff || wait < last) {
			t.Errorf("attempt %d waits %v after %v, want no less than before and %v to %v",
				attempt, wait, last, minRetryBackoff, maxRetryBackoff)
		}
		last = wait
		s.selector.AttemptEnded(s.now, errors.New("refused"))
	}
}

func TestServerSelector_Check_receiveTimeout(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	first := s.connect()
	s.status(true)
	if deadline := s.selector.Deadline(); !deadline.Equal(s.now.Add(ReceiveTimeout)) {
		t.Errorf("the deadline is in %v, want %v", deadline.Sub(s.now), ReceiveTimeout)
	}
	s.advance(ReceiveTimeout - time.Millisecond)
	if reason := s.selector.Check(s.now); reason != nil {
		t.Errorf("left the server before the ReceiveTimeout: %v", reason)
	}
	s.advance(time.Millisecond)
	reason := s.selector.Check(s.now)
	if !errors.Is(reason, ErrReceiveTimeout) {
		t.Fatalf("after the ReceiveTimeout: got reason %v, want ErrReceiveTimeout", reason)
	}
	s.selector.AttemptEnded(s.now, reason)
	if second := s.next(); second == first {
		t.Errorf("selected the silent server %s again, want another one", second)
	}
}

func TestServerSelector_Check_leavesStaleServer(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	first := s.connect()
	elapsed, reason := s.observeUntilLeft(false, 10*time.Second)
	if !errors.Is(reason, ErrNotCurrent) || elapsed != StaleTimeout {
		t.Fatalf("left the stale server after %v: %v; want ErrNotCurrent after %v", elapsed, reason, StaleTimeout)
	}
	s.selector.AttemptEnded(s.now, reason)
	if second := s.connect(); second == first {
		t.Errorf("selected the stale server %s again, want another one", second)
	}
	if elapsed, reason := s.observeUntilLeft(true, 10*time.Second); reason != nil {
		t.Errorf("left a current server after %v: %v; want to stay", elapsed, reason)
	}
}

func TestServerSelector_Check_staysWithOnlyServer(t *testing.T) {
	s := newSelectorHarness(t, "10.0.0.1:8146")
	s.connect()
	if elapsed, reason := s.observeUntilLeft(false, 20*time.Second); reason != nil {
		t.Errorf("left the only server after %v: %v; want to stay", elapsed, reason)
	}
}

func TestServerSelector_Check_boundsStaleTimeout(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	for range 6 {
		s.connect()
		elapsed, reason := s.observeUntilLeft(false, 10*time.Second)
		if !errors.Is(reason, ErrNotCurrent) || elapsed > 2*StaleTimeout {
			t.Fatalf("left a stale server after %v: %v; want ErrNotCurrent within %v", elapsed, reason, 2*StaleTimeout)
		}
		s.selector.AttemptEnded(s.now, reason)
	}
}

// Several servers may be partitioned at the same time. Their clients must find a current one within contactMs.
func TestServerSelector_Check_scansServersPartitionedTogether(t *testing.T) {
	seeds := append(threeSeeds(), "10.0.0.4:8146", "10.0.0.5:8146", "10.0.0.6:8146", "10.0.0.7:8146", "10.0.0.8:8146", "10.0.0.9:8146")
	const (
		partitioned = 4
		maxElapsed  = 2200 * time.Millisecond // contactMs minus the time after which a partitioned server reports that it is not current
	)
	s := newSelectorHarness(t, seeds...)
	for range partitioned {
		s.connect()
		s.status(false)
		_, reason := s.observeUntilLeft(false, 10*time.Second)
		s.selector.AttemptEnded(s.now, reason)
	}
	s.connect()
	if elapsed := s.now.Sub(startTime); elapsed > maxElapsed {
		t.Errorf("the fifth server was tried after %v", elapsed)
	}
}

// Frozen servers accept connections and send nothing. The client must wait for the full ReceiveTimeout only for the first one.
func TestServerSelector_Check_scansServersFrozenTogether(t *testing.T) {
	seeds := append(threeSeeds(), "10.0.0.4:8146", "10.0.0.5:8146", "10.0.0.6:8146", "10.0.0.7:8146", "10.0.0.8:8146", "10.0.0.9:8146")
	const (
		frozen     = 4
		maxElapsed = 3 * time.Second // contactMs
	)
	s := newSelectorHarness(t, seeds...)
	s.connect()
	s.status(true)
	for range frozen {
		for s.selector.Check(s.now) == nil {
			s.now = s.selector.Deadline()
		}
		s.selector.AttemptEnded(s.now, s.selector.Check(s.now))
		s.connect()
	}
	if elapsed := s.now.Sub(startTime); elapsed > maxElapsed {
		t.Errorf("the fifth server was tried after %v", elapsed)
	}
}

// While no server is current, the client scans all of them repeatedly, and stays longer with each in every round, up to twice the
// StaleTimeout. It thus finds a server that becomes current soon, and opens few connections during an outage of all servers.
func TestServerSelector_Check_noServerCurrent(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	round := func(timeout time.Duration) []time.Duration { return []time.Duration{timeout, timeout, timeout} }
	timeouts := slices.Concat([]time.Duration{StaleTimeout, scanStaleTimeout, scanStaleTimeout}, round(2*scanStaleTimeout), round(4*scanStaleTimeout),
		round(8*scanStaleTimeout), round(2*StaleTimeout), round(2*StaleTimeout))
	for i, want := range timeouts {
		s.connect()
		s.status(false)
		elapsed, reason := s.observeUntilLeft(false, 10*time.Second)
		s.selector.AttemptEnded(s.now, reason)
		if elapsed < want || elapsed >= want+StatusInterval/4 {
			t.Errorf("connection %d: left after %v, want %v", i+1, elapsed, want)
		}
	}
}

func TestServerSelector_Check_gracePeriodAfterOwnStall(t *testing.T) {
	s := newSelectorHarness(t, threeSeeds()...)
	s.connect()
	s.status(true)
	s.advance(20 * time.Second)
	if reason := s.selector.Check(s.now); reason != nil {
		t.Fatalf("left the server at the first check after the process had stalled: %v", reason)
	}
	s.now = s.selector.Deadline()
	if s.now.Sub(startTime) > 20*time.Second+time.Second {
		t.Errorf("the next deadline is %v after the start, want at most 1s after the stall of 20s", s.now.Sub(startTime))
	}
	if reason := s.selector.Check(s.now); !errors.Is(reason, ErrReceiveTimeout) {
		t.Errorf("after the grace period: got reason %v, want ErrReceiveTimeout", reason)
	}
}

func serverIn(ip int, zone, region string) ServerEndpoint {
	return ServerEndpoint{Address: fmt.Sprintf("10.0.0.%d:8146", ip), Zone: zone, Region: region}
}

func TestServerSelector_Check_prefersNearerServer(t *testing.T) {
	s := newSelectorHarness(t, "10.0.0.1:8146")
	s.connect()
	servers := []ServerEndpoint{serverIn(1, "b", "south"), serverIn(2, "a", "north"), serverIn(3, "c", "north")}
	s.status(true, servers...)
	if reason := s.selector.Check(s.now); reason != nil {
		t.Fatalf("left a current server immediately after connecting: %v", reason)
	}
	elapsed, reason := s.observeUntilLeft(true, time.Minute)
	if !errors.Is(reason, ErrOtherPreferred) || elapsed < preferNearerAfter || elapsed > 2*preferNearerAfter+StatusInterval {
		t.Fatalf("left the farther server after %v: %v; want ErrOtherPreferred after %v to %v",
			elapsed, reason, preferNearerAfter, 2*preferNearerAfter+StatusInterval)
	}
	s.selector.AttemptEnded(s.now, reason)
	if address := s.connect(); address != "10.0.0.2:7660" {
		t.Fatalf("connected to %s, want 10.0.0.2:7660, which is in the same zone", address)
	}
	s.status(true, servers...)
	if elapsed, reason := s.observeUntilLeft(true, time.Minute); reason != nil {
		t.Errorf("left the nearest server after %v: %v; want to stay", elapsed, reason)
	}
}

func TestServerSelector_Check_failingNearerServerTriedLess(t *testing.T) {
	s := newSelectorHarness(t, "10.0.0.1:8146")
	servers := []ServerEndpoint{serverIn(1, "b", "south"), serverIn(2, "a", "north")}
	failures := 0
	for s.now.Sub(startTime) < 5*time.Minute {
		if address := s.next(); address == "10.0.0.2:7660" {
			failures++
			s.advance(DialTimeout)
			s.selector.AttemptEnded(s.now, errors.New("no answer"))
			continue
		}
		s.selector.Connected(s.now)
		s.status(true, servers...)
		_, reason := s.observeUntilLeft(true, time.Minute)
		s.selector.AttemptEnded(s.now, reason)
	}
	if failures < 3 || failures > 10 {
		t.Errorf("tried the failing server %d times in 5 minutes, want 3 to 10", failures)
	}
}

func TestServerSelector_ObserveStatus_dropsDepartedServers(t *testing.T) {
	s := newSelectorHarness(t, "10.0.0.1:8146")
	s.connect()
	s.status(true, serverIn(1, "", ""), serverIn(2, "", ""))
	s.status(true, serverIn(1, "", ""))
	if count := s.selector.candidates.len(); count != 1 {
		t.Errorf("%d candidates after a status that lists 1 server, want 1", count)
	}
	s.status(true)
	if count := s.selector.candidates.len(); count != 1 {
		t.Errorf("%d candidates after a status that lists no servers, want 1 as before", count)
	}
}

func TestServerSelector_Next_spreadsNodes(t *testing.T) {
	const nodes = 300
	chosen := make(map[string]int)
	for node := range nodes {
		options := SelectorOptions{Node: fmt.Sprintf("edge-%d", node), Seeds: threeSeeds(), FeedPort: feedPort}
		address, _ := NewServerSelector(options, func() float64 { return 0 }).Next(startTime)
		chosen[address]++
	}
	for address, count := range chosen {
		if count < nodes/3*7/10 || count > nodes/3*13/10 {
			t.Errorf("%s was selected by %d of %d nodes, want %d to %d", address, count, nodes, nodes/3*7/10, nodes/3*13/10)
		}
	}
}

func TestServerSelector_Next_noServerKnown(t *testing.T) {
	s := newSelectorHarness(t, "not an address")
	address, wait := s.selector.Next(s.now)
	if address != "" || wait <= 0 {
		t.Errorf("without a valid seed: got address %q after %v, want no address after a wait", address, wait)
	}
	s.selector.AttemptEnded(s.now, ErrNoServer)
}

func TestServerSelector_AttemptTimeout_grows(t *testing.T) {
	selector := NewServerSelector(SelectorOptions{Node: "n", Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, FeedPort: 7},
		func() float64 { return 0.5 })
	now := time.Unix(0, 0)
	last := time.Duration(0)
	for attempt := range 6 {
		selector.Next(now)
		limit := selector.AttemptTimeout()
		if limit < last || limit > DialTimeout || attempt == 0 && limit != minDialTimeout {
			t.Fatalf("the timeout of attempt %d is %s after %s; want %s at first, then no less than before, and at most %s",
				attempt, limit, last, minDialTimeout, DialTimeout)
		}
		last = limit
		selector.AttemptEnded(now, errors.New("no answer"))
	}
	if last != DialTimeout {
		t.Errorf("the timeout of the last attempt is %s, want %s", last, DialTimeout)
	}
}

// TestServerSelector_SetSeeds guards against a client that tries for ever servers that are gone, though its settings name others.
func TestServerSelector_SetSeeds(t *testing.T) {
	s := newSelectorHarness(t, "10.0.0.1:80", "10.0.0.2:80")
	s.connect()
	s.status(true, ServerEndpoint{Address: "10.0.0.3:7660", Zone: "a", Region: "north"})
	s.selector.AttemptEnded(s.now, ErrReceiveTimeout)
	s.selector.SetSeeds([]string{"10.0.0.2:80", "10.0.0.4:80", "10.0.0.3:80"})
	tried := map[string]bool{}
	for range 6 {
		tried[s.next()] = true
		s.selector.AttemptEnded(s.now, errors.New("refused"))
	}
	want := map[string]bool{"10.0.0.2:7660": true, "10.0.0.3:7660": true, "10.0.0.4:7660": true}
	if !maps.Equal(tried, want) {
		t.Fatalf("tried %v after a change of the seeds, want the new ones and the listed server: %v", tried, want)
	}
	s.connect()
	s.status(true, ServerEndpoint{Address: "10.0.0.5:7660", Zone: "a", Region: "north"})
	if got := s.selector.candidates.len(); got != 4 {
		t.Fatalf("got %d candidates after the next status, want the listed one and the three seeds", got)
	}
}
