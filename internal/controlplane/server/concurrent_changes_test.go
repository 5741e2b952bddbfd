package server

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"ospreybend/internal/testkit/localfleet"
)

// configurationChange is one change of an operator, which it sends unchanged until it has a definitive answer.
type configurationChange struct {
	base uint64
	body string
}

// sendConcurrently sends changes to servers concurrently, each to all of them, and returns the definitive statuses of each.
func (f *testCluster) sendConcurrently(servers []int, changes ...configurationChange) [][]int {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), clusterTimeout)
	defer cancel()
	statuses := make([][]int, len(changes))
	var waitGroup sync.WaitGroup
	for number, change := range changes {
		statuses[number] = make([]int, len(servers))
		for index, server := range servers {
			waitGroup.Go(func() {
				_ = localfleet.Await(ctx, pollInterval, func() bool {
					status, _ := f.do(server, http.MethodPost, "/-/Config.Replace", change.base, change.body)
					statuses[number][index] = status
					return status != 0 && status < http.StatusInternalServerError
				})
			})
		}
	}
	waitGroup.Wait()
	return statuses
}

// requireOneWinner requires one change to be acknowledged by all servers and the others to be rejected by all; it returns the one.
func (f *testCluster) requireOneWinner(changes []configurationChange, all [][]int) configurationChange {
	f.t.Helper()
	won := -1
	for index, statuses := range all {
		for _, status := range statuses {
			switch {
			case status != statuses[0]:
				f.t.Fatalf("one change has the statuses %v", statuses)
			case status != http.StatusOK && status != http.StatusPreconditionFailed:
				f.t.Fatalf("statuses %v", all)
			}
		}
		if statuses[0] == http.StatusOK {
			if won >= 0 {
				f.t.Fatalf("two changes on one base are acknowledged: %v", all)
			}
			won = index
		}
	}
	if won < 0 {
		f.t.Fatalf("none is acknowledged: %v", all)
	}
	return changes[won]
}

// TestCluster_concurrentAndRepeatedChangesAtAllServers has operators send competing changes to all servers at once, and repeats of what
// was taken after a change of leader, a lost disk and a restart of all.
func TestCluster_concurrentAndRepeatedChangesAtAllServers(t *testing.T) {
	f := newTestCluster(t, 3)
	all := []int{0, 1, 2}
	f.bootstrap(len(all))
	var won []configurationChange
	lost := map[configurationChange]bool{}
	race := func(servers ...int) {
		base := len(won)
		changes := []configurationChange{
			{uint64(base), configurationJSON(base + 1)},
			{uint64(base), configurationJSON(base+1) + " "},
			{uint64(base), fmt.Sprintf(`{"generation":%d,"routes":[],"services":[]}`, base+1)},
		}
		for _, change := range changes {
			lost[change] = true
		}
		winner := f.requireOneWinner(changes, f.sendConcurrently(servers, changes...))
		delete(lost, winner)
		won = append(won, winner)
	}
	repeat := func(servers ...int) {
		for _, change := range won {
			for _, i := range servers {
				status, content := f.doUntilDefinitive(i, http.MethodPost, "/-/Config.Replace", change.base, change.body)
				f.requireStatus(http.StatusOK, status, content)
			}
		}
		for change := range lost {
			status, content := f.doUntilDefinitive(servers[0], http.MethodPost, "/-/Config.Replace", change.base, change.body)
			f.requireStatus(http.StatusPreconditionFailed, status, content)
		}
	}
	race(all...)
	race(all...)
	repeat(all...)

	f.terminate(0) // its shards go to others
	race(1, 2)
	repeat(1, 2)

	f.processes[0].config.DataDir = t.TempDir() // it comes back without its disk
	f.processes[0].config.Bootstrap = false
	f.start(0)
	f.awaitConverged("repair", 0, 1, 2)
	repeat(0)
	race(all...)

	for _, i := range all {
		f.terminate(i)
	}
	for _, i := range all {
		f.processes[i].config.Bootstrap = false
		f.start(i)
	}
	f.awaitConverged("return", 0, 1, 2)
	repeat(all...)
}
