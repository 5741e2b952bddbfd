package selection

import (
	"testing"
	"time"

	"ospreybend/internal/util/stats"
)

func mixHash(x uint64) uint64 { return stats.Mix(x) }

func TestSelector_Choose_outperformsRandomAndLeastOutstanding(t *testing.T) {
	cases := []struct {
		name                  string
		nodes, workers, zones int
		scale                 float64
	}{
		{"small, usual", 7, 9, 4, 1},
		{"small, high", 7, 9, 4, 1.8},
		{"middle, usual", 8, 18, 3, 1.6},
		{"small, too much", 7, 9, 4, 3},
		{"large, usual", 45, 45, 5, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play := func(p policy) fleetResults {
				return simulateFleet(c.nodes, c.workers, c.zones, c.scale, 30*time.Second, 7, p)
			}
			design, random, least := play(selectorPolicy), play(randomPolicy), play(leastOutstandingPolicy)
			t.Logf("design  %+v", design)
			t.Logf("random  %+v", random)
			t.Logf("least   %+v", least)
			if design.Mean >= random.Mean || design.Mean >= least.Mean {
				t.Errorf("mean first event: design %.3f s, random %.3f s, least outstanding %.3f s",
					design.Mean, random.Mean, least.Mean)
			}
			if design.Largest < 0.7 {
				t.Errorf("the largest tenth of a kind is admitted %.2f times as often as all of it", design.Largest)
			}
			if design.OnTime <= max(random.OnTime, least.OnTime) {
				t.Errorf("in time: design %.3f, random %.3f, least %.3f", design.OnTime, random.OnTime, least.OnTime)
			}
		})
	}
}

// Two of nine workers do not respond for 10 of 30 s, and no node is notified.
func TestSelector_Choose_detectsUnresponsiveWorkers(t *testing.T) {
	play := func(p policy) (*modelFleet, int) {
		f := newModelFleet(7, 9, 4, 3, p)
		f.unresponsive = func(id string) bool {
			in := f.clock.now > 10*time.Second && f.clock.now < 20*time.Second
			return in && (id == "i-000" || id == "i-003")
		}
		for _, k := range trafficKinds {
			f.traffic(k, 1)
		}
		f.clock.run(22 * time.Second)
		before := f.workers["i-000"].read + f.workers["i-003"].read
		f.clock.run(30 * time.Second)
		after := f.workers["i-000"].read + f.workers["i-003"].read
		return f, int(after - before)
	}
	design, read := play(selectorPolicy)
	least, _ := play(leastOutstandingPolicy)
	t.Logf("lost: design %d, least outstanding %d of %d", design.lostCalls, least.lostCalls, design.sent)
	if design.lostCalls*2 > least.lostCalls {
		t.Errorf("lost: design %d, least outstanding %d", design.lostCalls, least.lostCalls)
	}
	if read < 20000 {
		t.Errorf("after they recover they prefill %d tokens in 8 s", read)
	}
}
