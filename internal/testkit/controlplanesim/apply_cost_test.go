package controlplanesim

import (
	"os"
	"sync"
	"testing"
)

// TestMain measures what changes cost before schedules are played in parallel.
func TestMain(m *testing.M) {
	measureApplyCosts()
	os.Exit(m.Run())
}

// TestApplyCostOf_besideOtherWork guards against costs that depend on what other goroutines allocate meanwhile: schedules that are played in
// parallel then charged servers for each other's work, and violated checks.
func TestApplyCostOf_besideOtherWork(t *testing.T) {
	const allocating, blockBytes = 16, 1 << 20
	stop := make(chan struct{})
	var others sync.WaitGroup
	defer others.Wait()
	defer close(stop)
	for range allocating {
		others.Go(func() {
			blocks := make([][]byte, 1)
			for {
				select {
				case <-stop:
					return
				default:
					blocks[0] = make([]byte, blockBytes)
				}
			}
		})
	}
	for _, routes := range []int{0, 1, 350, 9000, 17000, 20000} {
		if cost := applyCostOf(routes); cost != 0 {
			t.Errorf("a small change of %d routes costs %v, want less than %v", routes, cost, applyCostResolution)
		}
	}
}
