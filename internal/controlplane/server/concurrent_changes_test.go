package server

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"ospreybend/internal/testkit/localfleet"
)

// configurationChange is one operator's change, sent again unchanged until it has a definitive response.
type configurationChange struct {
	base uint64
	body string
}

// sendConcurrently sends every change to every server concurrently. It returns the definitive statuses, by change and server.
func (f *testCluster) sendConcurrently(servers []int, changes ...configurationChange) [][]int {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), clusterTimeout)
	defer cancel()
	statuses := make([][]int, len(changes))
	var waitGroup sync.WaitGroup
	for i, change := range changes {
		statuses[i] = make([]int, len(servers))
		for j, server := range servers {
			waitGroup.Go(func() {
				_ = localfleet.Await(ctx, pollInterval, func() bool {
					status, _ := f.do(server, http.MethodPost, "/-/Config.Replace", change.base, change.body)
					statuses[i][j] = status
					return status != 0 && status < http.StatusInternalServerError
				})
			})
		}
	}
	waitGroup.Wait()
	return statuses
}

// requireOneAccepted requires that all servers accept the same one of the changes and reject the others, and returns the accepted one.
func (f *testCluster) requireOneAccepted(changes []configurationChange, statusesByChange [][]int) configurationChange {
	f.t.Helper()
	accepted := -1
	for i, statuses := range statusesByChange {
		for _, status := range statuses {
			switch {
			case status != statuses[0]:
				f.t.Fatalf("servers answered change %d with the statuses %v, want one status", i, statuses)
			case status != http.StatusOK && status != http.StatusPreconditionFailed:
				f.t.Fatalf("statuses by change %v, want only 200 and 412", statusesByChange)
			}
		}
		if statuses[0] == http.StatusOK {
			if accepted >= 0 {
				f.t.Fatalf("two changes with the same base were accepted: statuses by change %v", statusesByChange)
			}
			accepted = i
		}
	}
	if accepted < 0 {
		f.t.Fatalf("no change was accepted: statuses by change %v", statusesByChange)
	}
	return changes[accepted]
}

// TestCluster_concurrentAndRepeatedChangesAtAllServers sends competing changes to all servers at once: exactly one may be accepted. After
// changes of leader, the loss of a disk and a restart of all servers, repeats of each change must get the same response as before.
func TestCluster_concurrentAndRepeatedChangesAtAllServers(t *testing.T) {
	f := newTestCluster(t, 3)
	all := []int{0, 1, 2}
	f.bootstrap(len(all))
	var accepted []configurationChange
	rejected := map[configurationChange]bool{}
	sendCompeting := func(servers ...int) {
		base := len(accepted)
		changes := []configurationChange{
			{uint64(base), configurationJSON(base + 1)},
			{uint64(base), configurationJSON(base+1) + " "},
			{uint64(base), fmt.Sprintf(`{"generation":%d,"routes":[],"services":[]}`, base+1)},
		}
		for _, change := range changes {
			rejected[change] = true
		}
		one := f.requireOneAccepted(changes, f.sendConcurrently(servers, changes...))
		delete(rejected, one)
		accepted = append(accepted, one)
	}
	repeatAll := func(servers ...int) {
		for _, change := range accepted {
			for _, i := range servers {
				status, content := f.doUntilDefinitive(i, http.MethodPost, "/-/Config.Replace", change.base, change.body)
				f.requireStatus(http.StatusOK, status, content)
			}
		}
		for change := range rejected {
			status, content := f.doUntilDefinitive(servers[0], http.MethodPost, "/-/Config.Replace", change.base, change.body)
			f.requireStatus(http.StatusPreconditionFailed, status, content)
		}
	}
	sendCompeting(all...)
	sendCompeting(all...)
	repeatAll(all...)

	f.terminate(0) // other servers become the owners of its shards
	sendCompeting(1, 2)
	repeatAll(1, 2)

	f.processes[0].config.DataDir = t.TempDir() // it restarts with an empty disk
	f.processes[0].config.Bootstrap = false
	f.start(0)
	f.awaitConverged("repair after the loss of a disk", 0, 1, 2)
	repeatAll(0)
	sendCompeting(all...)

	for _, i := range all {
		f.terminate(i)
	}
	for _, i := range all {
		f.processes[i].config.Bootstrap = false
		f.start(i)
	}
	f.awaitConverged("restart of all servers", 0, 1, 2)
	repeatAll(all...)
}
