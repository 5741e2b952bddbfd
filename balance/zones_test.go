package balance

import (
	"math"
	"testing"
	"time"
)

// newZonedBalancer returns a balancer with two workers in each of the zones 0 and 1, all with free slots.
func newZonedBalancer(t testing.TB, classes ...Class) *Balancer {
	b, err := New(Settings{Balancers: 1, Classes: classes,
		ReportFields: []ReportField{FieldBacklog, FieldFreeSlots}, ReportsStart: true,
		Limits: Limits{Cancel: true, HedgedRequests: true, MaxAttempts: 4}}, 7)
	if err != nil {
		t.Fatal(err)
	}
	up := ListUpdate{Kind: ListFull}
	for i := range 4 {
		up.Workers = append(up.Workers, WorkerListing{Worker: WorkerID(i + 1), Zone: i % 2, State: Ready})
	}
	b.Handle(0, up)
	for i := range 4 {
		b.Handle(0, ProbeDone{Worker: WorkerID(i + 1), Outcome: Served, Report: []float32{0, 400}})
	}
	return b
}

var (
	idempotent = Class{LatencyTarget: 5 * time.Second, Timeout: 10 * time.Second, Value: 1, Kind: -1,
		Effect: Idempotent}
	nonIdempotent = Class{LatencyTarget: 5 * time.Second, Timeout: 10 * time.Second, Value: 1, Kind: -1,
		Effect: NonIdempotent}
)

// sentTo returns the workers of the Sends among the actions.
func sentTo(actions []Action) (out []WorkerID) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s.Worker)
		}
	}
	return out
}

// A zone gets its share of the requests, and none if the share is 0.
func TestBalancer_zoneTakesItsShare(t *testing.T) {
	for _, share := range []float64{0, 0.25, 1} {
		b := newZonedBalancer(t, idempotent)
		// The workers of the other zone drain, so that a request that may not go to this zone is not sent.
		b.Handle(0, ListUpdate{Kind: ListChanges,
			Workers: []WorkerListing{{Worker: 1, State: Draining}, {Worker: 3, State: Draining}}})
		b.Handle(0, ZoneShares{Shares: []float64{1, share}})
		sent := 0.0
		const requests = 2000
		for i := range requests {
			now, id := time.Duration(i)*time.Millisecond, RequestID(i+1)
			for _, to := range sentTo(b.Handle(now, Request{ID: id, Slots: 1, Deadline: now + 10*time.Second})) {
				sent++
				b.Handle(now, AttemptDone{Request: id, Worker: to, Outcome: Served, Elapsed: time.Millisecond,
					Over: true, Report: []float32{0, 4}})
			}
		}
		if want := share * requests; math.Abs(sent-want) > 0.1*want {
			t.Errorf("zone share %v: got %v of %d requests sent to the zone, want %v within 10%%",
				share, sent, requests, want)
		}
	}
}

// Requests in flight in a failed zone are hedged in other zones: only as many as the budget allows, spread
// over time, and none that must not run twice.
func TestBalancer_hedgesOutOfFailedZone(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  int
	}{{idempotent, int(maxEvacuationBudget)}, {nonIdempotent, 0}} {
		b := newZonedBalancer(t, c.class)
		timers := map[uint32]time.Duration{}
		handle := func(now time.Duration, actions []Action) []WorkerID {
			for _, a := range actions {
				if s, ok := a.(SetTimer); ok {
					timers[s.Token] = now + s.After
				}
			}
			return sentTo(actions)
		}
		const failedAt = time.Second
		handle(failedAt, b.Handle(failedAt, ZoneShares{Shares: []float64{0, 1}}))
		for i := range 200 {
			id := RequestID(i + 1)
			r := Request{ID: id, Slots: 1, Deadline: 10 * time.Second}
			for _, to := range handle(failedAt, b.Handle(failedAt, r)) {
				handle(failedAt, b.Handle(failedAt, AttemptProgress{Request: id, Worker: to, Started: true}))
			}
		}
		handle(failedAt, b.Handle(failedAt, ZoneShares{Shares: []float64{1, 0}, Failed: []int{1}}))
		hedges, last := 0, time.Duration(0)
		for now := failedAt; now < failedAt+2*evacuationSpread; now += 10 * time.Millisecond {
			for token, at := range timers {
				if at > now {
					continue
				}
				delete(timers, token)
				for _, to := range handle(now, b.Handle(now, TimerFired{Token: token})) {
					if hedges++; to%2 == 0 {
						t.Fatalf("hedge out of the failed zone: got sent to worker %d of that zone", to)
					}
					last = now - failedAt
				}
			}
		}
		earliest, latest := evacuationSpread/4, evacuationSpread+10*time.Millisecond
		if hedges != c.want || hedges > 0 && (last < earliest || last > latest) {
			t.Errorf("effect %d: got %d hedges out of the failed zone, the last after %v; want %d, the last after "+
				"%v to %v", c.class.Effect, hedges, last, c.want, earliest, latest)
		}
	}
}

// BenchmarkChoose measures a decision among 200 workers, without and with zone shares.
func BenchmarkChoose(b *testing.B) {
	for _, c := range []struct {
		name   string
		shares []float64
	}{{"off", nil}, {"orders", []float64{1, 0.5, 1, 1, 1}}} {
		b.Run(c.name, func(b *testing.B) {
			d := newZonedBalancer(b, idempotent)
			up := ListUpdate{Kind: ListFull}
			for i := range 200 {
				up.Workers = append(up.Workers, WorkerListing{Worker: WorkerID(i + 1), Zone: i % 5, State: Ready})
			}
			d.Handle(0, up)
			d.Handle(0, ZoneShares{Shares: c.shares})
			id := RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now := time.Duration(id) * time.Microsecond
				to := sentTo(d.Handle(now, Request{ID: id, Slots: 1, Deadline: time.Hour}))
				d.Handle(now, AttemptDone{Request: id, Worker: to[0], Outcome: Served, Elapsed: time.Millisecond,
					Over: true})
			}
		})
	}
}

// However long the discovery service is down and whatever SubscribeWithin is, each of 300 balancers calls
// again within 1.5 s of a failed call. So even after a lost call (2.4 s) and a response that takes as long as
// the service allows (2 s), a change is known 6 s after the service is reachable again. The calls are spread.
func TestFleet_subscribeDelay_afterLongOutage(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		var calls [20]int // by tenth of a second since the failure, of all balancers
		for i := range 300 {
			b, err := New(Settings{Balancers: 300, Ordinal: i, Classes: []Class{nonIdempotent},
				SubscribeDiscovery: true, Limits: Limits{MaxAttempts: 1}, Rules: Rules{SubscribeWithin: within}}, 3)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			for n := range 40 {
				actions := b.Handle(now, ListUpdate{Kind: ListFailed})
				timer := actions[len(actions)-1].(SetTimer)
				if timer.After > 1500*time.Millisecond || n > 0 && timer.After < 500*time.Millisecond {
					t.Fatalf("SubscribeWithin %v, failure %d: got the next call after %v, want 0.5 s (0 after the "+
						"first failure) to 1.5 s", within, n+1, timer.After)
				}
				calls[timer.After/(100*time.Millisecond)]++
				now += timer.After
				if actions := b.Handle(now, TimerFired{Token: timer.Token}); countActions[Subscribe](actions) != 1 {
					t.Fatalf("SubscribeWithin %v, timer fired: got actions %+v, want one Subscribe", within, actions)
				}
			}
		}
		for tenth, n := range calls {
			if n > 300*40/5 {
				t.Errorf("SubscribeWithin %v: got %d of %d calls in tenth %d of a second after a failure, "+
					"want at most %d", within, n, 300*40, tenth, 300*40/5)
			}
		}
	}
}
