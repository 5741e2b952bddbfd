package selection

import (
	"testing"
	"time"

	"ospreybend/internal/stat"
)

func mixed(x uint64) uint64 { return stat.Mix(x) }

func TestDesignBeatsRandomAndLeastOutstanding(t *testing.T) {
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
			play := func(p policy) figures {
				return playFleet(c.nodes, c.workers, c.zones, c.scale, 30*time.Second, 7, p)
			}
			design, random, least := play(byDesign), play(atRandom), play(byOutstanding)
			t.Logf("design  %+v", design)
			t.Logf("random  %+v", random)
			t.Logf("least   %+v", least)
			if design.Mean >= random.Mean || design.Mean >= least.Mean {
				t.Errorf("mean first event: design %.3f s, random %.3f s, least outstanding %.3f s",
					design.Mean, random.Mean, least.Mean)
			}
			if design.Largest < 0.7 {
				t.Errorf("the largest tenth of a kind is served %.2f times as often as all of it", design.Largest)
			}
			if design.InTime <= max(random.InTime, least.InTime) {
				t.Errorf("in time: design %.3f, random %.3f, least %.3f", design.InTime, random.InTime, least.InTime)
			}
		})
	}
}
