package balance

import (
	"math"
	"testing"
	"time"
)

// zonedBalancer returns a dispatcher with two workers in each of two zones, all with free slots.
func newZonedBalancer(t testing.TB, classes ...Class) *Balancer {
	b, err := New(Settings{Balancers: 1, Classes: classes, ReportFields: []ReportField{FieldBacklog, FieldFreeSlots},
		Limits: Limits{Cancel: true, HedgedRequests: true, MaxAttempts: 4}, ReportsStart: true}, 7)
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
	idempotent    = Class{LatencyTarget: 5 * time.Second, Timeout: 10 * time.Second, Value: 1, Kind: -1, Effect: Idempotent}
	nonIdempotent = Class{LatencyTarget: 5 * time.Second, Timeout: 10 * time.Second, Value: 1, Kind: -1, Effect: NonIdempotent}
)

// sends returns the workers that a list of actions sends to.
func sentTo(actions []Action) (out []WorkerID) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			out = append(out, s.Worker)
		}
	}
	return out
}

// A zone takes its share of the requests, none at share 0.
func TestBalancer_zoneTakesItsShare(t *testing.T) {
	for _, share := range []float64{0, 0.25, 1} {
		b := newZonedBalancer(t, idempotent)
		// Nobody else takes anything: who may not go there goes nowhere.
		b.Handle(0, ListUpdate{Kind: ListChanges, Workers: []WorkerListing{{Worker: 1, State: Draining}, {Worker: 3, State: Draining}}})
		b.Handle(0, ZoneShares{Shares: []float64{1, share}})
		n := 0.0
		const all = 2000
		for i := range all {
			now, id := time.Duration(i)*time.Millisecond, RequestID(i+1)
			for _, to := range sentTo(b.Handle(now, Request{ID: id, Slots: 1, Deadline: now + 10*time.Second})) {
				n++
				b.Handle(now, AttemptDone{Request: id, Worker: to, Outcome: Served, Elapsed: time.Millisecond, Over: true, Report: []float32{0, 4}})
			}
		}
		if want := share * all; math.Abs(n-want) > 0.1*want {
			t.Errorf("share %v: %v of %d sent there", share, n, all)
		}
	}
}

// Requests in flight in a failed zone are hedged elsewhere: only as many as the budget allows, spread over time, and none
// that must not run twice.
func TestBalancer_hedgesOutOfFailedZone(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  int
	}{{idempotent, int(maxEvacuationBudget)}, {nonIdempotent, 0}} {
		b := newZonedBalancer(t, c.class)
		timers := map[uint32]time.Duration{}
		take := func(now time.Duration, actions []Action) []WorkerID {
			for _, a := range actions {
				if s, ok := a.(SetTimer); ok {
					timers[s.Token] = now + s.After
				}
			}
			return sentTo(actions)
		}
		const t0 = time.Second
		take(t0, b.Handle(t0, ZoneShares{Shares: []float64{0, 1}}))
		for i := range 200 {
			id := RequestID(i + 1)
			for _, to := range take(t0, b.Handle(t0, Request{ID: id, Slots: 1, Deadline: 10 * time.Second})) {
				take(t0, b.Handle(t0, AttemptProgress{Request: id, Worker: to, Started: true}))
			}
		}
		take(t0, b.Handle(t0, ZoneShares{Shares: []float64{1, 0}, Failed: []int{1}}))
		n, last := 0, time.Duration(0)
		for now := t0; now < t0+2*evacuationSpread; now += 10 * time.Millisecond {
			for token, at := range timers {
				if at > now {
					continue
				}
				delete(timers, token)
				for _, to := range take(now, b.Handle(now, TimerFired{Token: token})) {
					if n++; to%2 == 0 {
						t.Fatalf("a hedge goes to worker %d of the evacuated zone", to)
					}
					last = now - t0
				}
			}
		}
		if n != c.want || n > 0 && (last < evacuationSpread/4 || last > evacuationSpread+10*time.Millisecond) {
			t.Errorf("effect %d: %d hedges, the last at %v", c.class.Effect, n, last)
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
				to := sentTo(d.Handle(time.Duration(id)*time.Microsecond, Request{ID: id, Slots: 1, Deadline: time.Hour}))
				d.Handle(time.Duration(id)*time.Microsecond, AttemptDone{Request: id, Worker: to[0], Outcome: Served, Elapsed: time.Millisecond, Over: true})
			}
		})
	}
}

// However long discovery is down and whatever SubscribeWithin is, each of 300 dispatchers calls again within 1.5 s of a
// failed call: with a call that is lost (2.4 s) and one that is answered only at the service's own limit (2 s), a change
// is known 6 s after it can be. The calls are spread.
func TestFleet_subscribeDelay_afterLongOutage(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		var asked [20]int // in each tenth of the span in which a call may come, over all dispatchers
		for i := range 300 {
			b, err := New(Settings{Balancers: 300, Ordinal: i, Classes: []Class{nonIdempotent}, SubscribeDiscovery: true, Limits: Limits{MaxAttempts: 1},
				Rules: Rules{SubscribeWithin: within}}, 3)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			for n := range 40 {
				acts := b.Handle(now, ListUpdate{Kind: ListFailed})
				wait := acts[len(acts)-1].(SetTimer)
				if wait.After > 1500*time.Millisecond || n > 0 && wait.After < 500*time.Millisecond {
					t.Fatalf("with SubscribeWithin %v the next call comes %v later", within, wait.After)
				}
				asked[wait.After/(100*time.Millisecond)]++
				now += wait.After
				if acts := b.Handle(now, TimerFired{Token: wait.Token}); countActions[Subscribe](acts) != 1 {
					t.Fatalf("no call: %v", acts)
				}
			}
		}
		for tenth, n := range asked {
			if n > 300*40/5 {
				t.Errorf("%d of %d calls come in the %d. tenth of a second after a failure", n, 300*40, tenth)
			}
		}
	}
}
