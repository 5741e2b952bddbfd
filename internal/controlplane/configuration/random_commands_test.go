package configuration

import "testing"

const (
	randomClusters       = 150 // clusters of each shape
	randomSteps          = 400
	fewRememberedChanges = 3 // remembered changes, so few that duplicates arrive after they are forgotten
)

// clusterShapes returns options with different numbers of replicas, operators, pending commands and remembered changes.
func clusterShapes() []clusterOptions {
	return []clusterOptions{
		{replicas: 3, operators: 2, maxPending: 3, maxRemembered: maxRememberedChanges},
		{replicas: 5, operators: 4, maxPending: 8, maxRemembered: maxRememberedChanges},
		{replicas: 3, operators: 3, maxPending: 8, maxRemembered: fewRememberedChanges},
	}
}

// TestStore_randomCommands checks the history of random clusters in which operators send and retry commands at any server, while
// the leader changes, proposals and answers are lost, and servers restart, replay the log and install snapshots.
func TestStore_randomCommands(t *testing.T) { runRandomClusters(t, false) }

// TestStore_rejectionsHoldForAnyState checks that a rejection is final even if it is based on a stale state: any server may
// reject a command based on its own replica. Only an acknowledgement requires the log.
func TestStore_rejectionsHoldForAnyState(t *testing.T) { runRandomClusters(t, true) }

func runRandomClusters(t *testing.T, rejectEarly bool) {
	counts := map[Code]int{}
	for _, shape := range clusterShapes() {
		shape.rejectEarly = rejectEarly
		for seed := range uint64(randomClusters) {
			random := newCluster(shape, seed)
			if err := random.run(randomSteps); err != nil {
				t.Fatalf("cluster %+v, seed %d: %v", shape, seed, err)
			}
			for code, count := range random.counts {
				counts[code] += count
			}
		}
	}
	for _, code := range []Code{CodeAccepted, CodeRepeated, CodeBaseNotCurrent, CodeBaseAhead, CodeBaseForgotten, CodeUnknownService} {
		if counts[code] < randomClusters/10 {
			t.Errorf("result %s occurred %d times, want at least %d, so that the case is tested often enough", codes.Entry(code).Name, counts[code], randomClusters/10)
		}
	}
	t.Logf("%d clusters: %d accepted, %d repeated, %d base not current, %d base ahead, %d base forgotten",
		randomClusters*len(clusterShapes()), counts[CodeAccepted], counts[CodeRepeated], counts[CodeBaseNotCurrent], counts[CodeBaseAhead], counts[CodeBaseForgotten])
}

// firstViolation runs random clusters with modified options until one has a violation. It returns the number of clusters run,
// and the violation.
func firstViolation(modify func(options *clusterOptions)) (number int, violation error) {
	for seed := range uint64(randomClusters) {
		for _, shape := range clusterShapes() {
			modify(&shape)
			number++
			if err := newCluster(shape, seed).run(randomSteps); err != nil {
				return number, err
			}
		}
	}
	return number, nil
}

// TestRules_omissionIsDetectedByRandomCommands checks that each rule of the store is needed, and that defects of the servers
// around it are detected: a random cluster without the rule, or with the defect, has a violation.
func TestRules_omissionIsDetectedByRandomCommands(t *testing.T) {
	for _, rule := range Rules() {
		number, violation := firstViolation(func(options *clusterOptions) { options.omitRules = []Rule{rule} })
		if violation == nil {
			t.Errorf("without rule %s: no violation in %d clusters, want one", rule, number)
		}
		t.Logf("without rule %s: violation in cluster %d: %v", rule, number, violation)
	}
	for _, defect := range []injectedDefect{rejectsLostProposals, answersBeforeCommit} {
		number, violation := firstViolation(func(options *clusterOptions) { options.defect = defect })
		if violation == nil {
			t.Errorf("with defect %s: no violation in %d clusters, want one", defect, number)
		}
		t.Logf("with defect %s: violation in cluster %d: %v", defect, number, violation)
	}
}
