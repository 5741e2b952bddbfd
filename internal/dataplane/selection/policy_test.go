package selection

import (
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

// mixHash returns a hash whose bits are evenly distributed.
func mixHash(x uint64) uint64 { return stats.SplitMix64(x) }

func TestSelector_Choose_outperformsRandomAndLeastOutstanding(t *testing.T) {
	cases := []struct {
		name                  string
		nodes, workers, zones int
		scale                 float64
	}{
		{"small fleet, normal load", 7, 9, 4, 1},
		{"small fleet, high load", 7, 9, 4, 1.8},
		{"medium fleet, normal load", 8, 18, 3, 1.6},
		{"small fleet, overload", 7, 9, 4, 3},
		{"large fleet, normal load", 45, 45, 5, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			simulate := func(p policy) fleetResults {
				return simulateFleet(c.nodes, c.workers, c.zones, c.scale, 30*time.Second, 7, p)
			}
			selector, random, leastOutstanding := simulate(selectorPolicy), simulate(randomPolicy), simulate(leastOutstandingPolicy)
			t.Logf("selector           %+v", selector)
			t.Logf("random             %+v", random)
			t.Logf("least outstanding  %+v", leastOutstanding)
			if selector.Mean >= random.Mean || selector.Mean >= leastOutstanding.Mean {
				t.Errorf("mean time to the first event: selector %.3f s, random %.3f s, least outstanding %.3f s; want selector lowest",
					selector.Mean, random.Mean, leastOutstanding.Mean)
			}
			if selector.LargestServed < 0.7 {
				t.Errorf("the largest tenth of a kind of requests is admitted %.2f times as often as the whole kind, want at least 0.7", selector.LargestServed)
			}
			if selector.OnTime <= max(random.OnTime, leastOutstanding.OnTime) {
				t.Errorf("share of requests on time: selector %.3f, random %.3f, least outstanding %.3f; want selector highest",
					selector.OnTime, random.OnTime, leastOutstanding.OnTime)
			}
		})
	}
}

// Two of nine workers stop responding from 10 s to 20 s, and no node is notified: only time-outs reveal it. The selector
// must lose fewer calls than the least-outstanding policy, and use the workers again once they have recovered.
func TestSelector_Choose_detectsUnresponsiveWorkers(t *testing.T) {
	simulate := func(p policy) (*simFleet, int) {
		f := newSimFleet(7, 9, 4, 3, p)
		f.unresponsive = func(id string) bool {
			inOutage := f.clock.now > 10*time.Second && f.clock.now < 20*time.Second
			return inOutage && (id == "i-000" || id == "i-003")
		}
		for _, k := range trafficKinds {
			f.startTraffic(k, 1)
		}
		f.clock.run(22 * time.Second)
		before := f.workers["i-000"].prefilledTokens + f.workers["i-003"].prefilledTokens
		f.clock.run(30 * time.Second)
		after := f.workers["i-000"].prefilledTokens + f.workers["i-003"].prefilledTokens
		return f, int(after - before)
	}
	selector, prefilled := simulate(selectorPolicy)
	leastOutstanding, _ := simulate(leastOutstandingPolicy)
	t.Logf("lost calls: selector %d, least outstanding %d; %d requests", selector.lostCalls, leastOutstanding.lostCalls, selector.sent)
	if selector.lostCalls*2 > leastOutstanding.lostCalls {
		t.Errorf("lost calls: selector %d, least outstanding %d; want selector at most half", selector.lostCalls, leastOutstanding.lostCalls)
	}
	if prefilled < 20000 {
		t.Errorf("recovered workers prefilled %d tokens in 8 s, want at least 20000", prefilled)
	}
}
