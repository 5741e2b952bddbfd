package configuration

import "testing"

const (
	randomClusters     = 150 // of each shape
	randomSteps        = 400
	fewAcceptedChanges = 3 // remembered changes, so few that orders outlive them
)

// clusterShapes differ in replicas, operators, orders under way and memory.
func clusterShapes() []clusterOptions {
	return []clusterOptions{
		{replicas: 3, operators: 2, openCommands: 3, maxAccepted: maxAcceptedChanges},
		{replicas: 5, operators: 4, openCommands: 8, maxAccepted: maxAcceptedChanges},
		{replicas: 3, operators: 3, openCommands: 8, maxAccepted: fewAcceptedChanges},
	}
}

// TestStore_randomCommands has operators send orders, again and to any keeper, while leaders change, proposals are lost at unknown
// points, answers are lost, and keepers restart, replay and take snapshots.
func TestStore_randomCommands(t *testing.T) { runRandomClusters(t, false) }

// A refusal is final, so that it does not matter by which state it is given: any keeper could give it by its own replica,
// however far that is behind. Only an acknowledgement needs the log.
func TestStore_rejectionsHoldForAnyState(t *testing.T) { runRandomClusters(t, true) }

func runRandomClusters(t *testing.T, refuseEarly bool) {
	counts := map[Code]int{}
	for _, shape := range clusterShapes() {
		shape.rejectEarly = refuseEarly
		for seed := range uint64(randomClusters) {
			drawn := newCluster(shape, seed)
			if err := drawn.run(randomSteps); err != nil {
				t.Fatalf("%+v, seed %d: %v", shape, seed, err)
			}
			for code, count := range drawn.counts {
				counts[code] += count
			}
		}
	}
	for _, code := range []Code{CodeAccepted, CodeRepeated, CodeBaseNotCurrent, CodeBaseAhead, CodeBaseForgotten, CodeUnknownService} {
		if counts[code] < randomClusters/10 {
			t.Errorf("%s came only %d times: the runs say little", codes.Entry(code).Name, counts[code])
		}
	}
	t.Logf("%d clusters: %d accepted, %d repeated, %d lost races, %d ahead, %d forgotten",
		randomClusters*len(clusterShapes()), counts[CodeAccepted], counts[CodeRepeated], counts[CodeBaseNotCurrent], counts[CodeBaseAhead], counts[CodeBaseForgotten])
}

// firstViolation returns the number of the first drawn cluster that breaks a rule, and that rule.
func firstViolation(alter func(options *clusterOptions)) (number int, broken error) {
	for seed := range uint64(randomClusters) {
		for _, shape := range clusterShapes() {
			alter(&shape)
			number++
			if err := newCluster(shape, seed).run(randomSteps); err != nil {
				return number, err
			}
		}
	}
	return number, nil
}

// Each rule of the store and each habit of its keepers is needed: without it a drawn cluster breaks a promise.
func TestRules_omissionIsDetectedByRandomCommands(t *testing.T) {
	for _, rule := range Rules() {
		number, broken := firstViolation(func(options *clusterOptions) { options.omitRules = []Rule{rule} })
		if broken == nil {
			t.Errorf("nothing breaks without %s", rule)
		}
		t.Logf("without %s: %v (cluster %d)", rule, broken, number)
	}
	for _, lapse := range []injectedDefect{rejectsLostProposals, answersBeforeCommit} {
		number, broken := firstViolation(func(options *clusterOptions) { options.defect = lapse })
		if broken == nil {
			t.Errorf("nothing breaks where a keeper %s", lapse)
		}
		t.Logf("%s: %v (cluster %d)", lapse, broken, number)
	}
}
