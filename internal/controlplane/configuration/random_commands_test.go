package configuration

import "testing"

const (
	randomClusters       = 150 // of each shape
	randomSteps          = 400
	fewRememberedChanges = 3 // remembered changes, so few that commands outlive them
)

// clusterShapes differ in the numbers of replicas, operators, pending commands and remembered changes.
func clusterShapes() []clusterOptions {
	return []clusterOptions{
		{replicas: 3, operators: 2, maxPending: 3, maxRemembered: maxRememberedChanges},
		{replicas: 5, operators: 4, maxPending: 8, maxRemembered: maxRememberedChanges},
		{replicas: 3, operators: 3, maxPending: 8, maxRemembered: fewRememberedChanges},
	}
}

// TestStore_randomCommands has operators send and retry commands at any server, while leaders change, proposals are lost at
// unknown points, answers are lost, and servers restart, replay the log and install snapshots.
func TestStore_randomCommands(t *testing.T) { runRandomClusters(t, false) }

// TestStore_rejectionsHoldForAnyState checks that a rejection is final whatever state it is based on: any server could reject by
// its own replica, however stale that is. Only an acknowledgement needs the log.
func TestStore_rejectionsHoldForAnyState(t *testing.T) { runRandomClusters(t, true) }

func runRandomClusters(t *testing.T, rejectEarly bool) {
	counts := map[Code]int{}
	for _, shape := range clusterShapes() {
		shape.rejectEarly = rejectEarly
		for seed := range uint64(randomClusters) {
			random := newCluster(shape, seed)
			if err := random.run(randomSteps); err != nil {
				t.Fatalf("%+v, seed %d: %v", shape, seed, err)
			}
			for code, count := range random.counts {
				counts[code] += count
			}
		}
	}
	for _, code := range []Code{CodeAccepted, CodeRepeated, CodeBaseNotCurrent, CodeBaseAhead, CodeBaseForgotten, CodeUnknownService} {
		if counts[code] < randomClusters/10 {
			t.Errorf("%s occurred only %d times: the case is hardly tested", codes.Entry(code).Name, counts[code])
		}
	}
	t.Logf("%d clusters: %d accepted, %d repeated, %d lost races, %d ahead, %d forgotten",
		randomClusters*len(clusterShapes()), counts[CodeAccepted], counts[CodeRepeated], counts[CodeBaseNotCurrent], counts[CodeBaseAhead], counts[CodeBaseForgotten])
}

// firstViolation returns the number of the first random cluster with a violation, and that violation.
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

// TestRules_omissionIsDetectedByRandomCommands checks that each rule of the store, and each property of the servers around it, is
// needed: without it a random cluster violates a promise.
func TestRules_omissionIsDetectedByRandomCommands(t *testing.T) {
	for _, rule := range Rules() {
		number, violation := firstViolation(func(options *clusterOptions) { options.omitRules = []Rule{rule} })
		if violation == nil {
			t.Errorf("no violation without %s", rule)
		}
		t.Logf("without %s: %v (cluster %d)", rule, violation, number)
	}
	for _, defect := range []injectedDefect{rejectsLostProposals, answersBeforeCommit} {
		number, violation := firstViolation(func(options *clusterOptions) { options.defect = defect })
		if violation == nil {
			t.Errorf("no violation although a server %s", defect)
		}
		t.Logf("%s: %v (cluster %d)", defect, violation, number)
	}
}
