package server

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/bootconfig"
)

// listWorkers returns workers of one service with the given IDs.
func listWorkers(ids ...string) map[string][]roleplanner.Worker {
	var workers []roleplanner.Worker
	for _, id := range ids {
		workers = append(workers, roleplanner.Worker{ID: id})
	}
	return map[string][]roleplanner.Worker{stagedService: workers}
}

// duePollIDs returns the IDs of the workers that a clearance polls now.
func duePollIDs(clearance *workerClearance, now time.Time, workers map[string][]roleplanner.Worker) (ids []string) {
	for _, worker := range clearance.duePolls(now, workers) {
		ids = append(ids, worker.ID)
	}
	return ids
}

func TestWorkerClearance_inheritedWorkerMustAnswerFirst(t *testing.T) {
	owned := time.Now()
	bounds := bootconfig.Defaults().Bounds
	workers := listWorkers("a", "b")
	clearance := newWorkerClearance(owned, []string{"a", "b", "removed"})
	workers[stagedService] = append(workers[stagedService], roleplanner.Worker{ID: "new"})

	if polled := duePollIDs(clearance, owned.Add(formerCommandTimeout-1), workers); polled != nil {
		t.Fatalf("polled %v while a command of the former owner may still be under way, want none", polled)
	}
	pollAt := owned.Add(formerCommandTimeout)
	if polled := duePollIDs(clearance, pollAt, workers); len(polled) != 2 || polled[0] != "a" || polled[1] != "b" {
		t.Fatalf("polled %v, want a and b", polled)
	}
	clearance.recordAnswer("a", pollAt)
	lease := bootconfig.Millis(bounds.LeaseMs)
	later := pollAt.Add(lease + commandDeliveryMargin)
	for _, test := range []struct {
		worker string
		at     time.Time
		want   bool
	}{
		{"new", owned, true},
		{"a", pollAt, false},
		{"a", later.Add(-1), false},
		{"a", later, true},
		{"b", later, false},
		{"removed", later, false}, // it may register again
	} {
		if got := clearance.mayCommand(test.worker, test.at, bounds); got != test.want {
			t.Errorf("may command %s %v after the change of owner: %v, want %v", test.worker, test.at.Sub(owned), got, test.want)
		}
	}
}

func TestWorkerClearance_silentWorkerIsPolledAgain(t *testing.T) {
	owned := time.Now()
	workers := listWorkers("a")
	clearance := newWorkerClearance(owned, []string{"a"})
	pollAt := owned.Add(formerCommandTimeout)
	for i, want := range []int{1, 0, 1} {
		if polled := clearance.duePolls(pollAt.Add(time.Duration(i)*clearancePollInterval/2), workers); len(polled) != want {
			t.Errorf("step %d: polled %d workers, want %d", i, len(polled), want)
		}
	}
	gone := pollAt.Add(2 * clearancePollInterval)
	if polled := clearance.duePolls(gone, nil); polled != nil {
		t.Errorf("polled %v, want none that is not listed", polled)
	}
	if polled := clearance.duePolls(gone, workers); len(polled) != 1 {
		t.Errorf("polled %d workers after the worker was listed again, want 1", len(polled))
	}
	clearance.recordAnswer("a", gone)
	if polled := clearance.duePolls(gone.Add(clearancePollInterval), workers); polled != nil {
		t.Errorf("polled %v after it has answered, want none", polled)
	}
}
