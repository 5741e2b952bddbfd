package configuration

import "testing"

const (
	drawnClusters = 150 // of each shape
	drawnSteps    = 400
	fewKept       = 3 // remembered changes, so few that orders outlive them
)

// clusterShapes differ in replicas, operators, orders under way and memory.
func clusterShapes() []clusterOptions {
	return []clusterOptions{
		{replicas: 3, operators: 2, openOrders: 3, kept: acceptedKept},
		{replicas: 5, operators: 4, openOrders: 8, kept: acceptedKept},
		{replicas: 3, operators: 3, openOrders: 8, kept: fewKept},
	}
}

// TestDrawnOrders has operators send orders, again and to any keeper, while leaders change, proposals are lost at unknown
// points, answers are lost, and keepers restart, replay and take snapshots.
func TestDrawnOrders(t *testing.T) { playDrawn(t, false) }

// A refusal is final, so that it does not matter by which state it is given: any keeper could give it by its own replica,
// however far that is behind. Only an acknowledgement needs the log.
func TestRefusalsHoldByAnyState(t *testing.T) { playDrawn(t, true) }

func playDrawn(t *testing.T, refuseEarly bool) {
	counts := map[Code]int{}
	for _, shape := range clusterShapes() {
		shape.refuseEarly = refuseEarly
		for seed := range uint64(drawnClusters) {
			drawn := newCluster(shape, seed)
			if err := drawn.play(drawnSteps); err != nil {
				t.Fatalf("%+v, seed %d: %v", shape, seed, err)
			}
			for code, count := range drawn.counts {
				counts[code] += count
			}
		}
	}
	for _, code := range []Code{Accepted, Repeated, BaseNotCurrent, BaseAhead, BaseForgotten, UnknownService} {
		if counts[code] < drawnClusters/10 {
			t.Errorf("%s came only %d times: the runs say little", codes.Entry(code).Name, counts[code])
		}
	}
	t.Logf("%d clusters: %d accepted, %d repeated, %d lost races, %d ahead, %d forgotten",
		drawnClusters*len(clusterShapes()), counts[Accepted], counts[Repeated], counts[BaseNotCurrent], counts[BaseAhead], counts[BaseForgotten])
}

// firstBroken returns the number of the first drawn cluster that breaks a rule, and that rule.
func firstBroken(alter func(options *clusterOptions)) (number int, broken error) {
	for seed := range uint64(drawnClusters) {
		for _, shape := range clusterShapes() {
			alter(&shape)
			number++
			if err := newCluster(shape, seed).play(drawnSteps); err != nil {
				return number, err
			}
		}
	}
	return number, nil
}

// Each rule of the store and each habit of its keepers is needed: without it a drawn cluster breaks a promise.
func TestDrawnOrdersMissWhatIsLeftOut(t *testing.T) {
	for _, rule := range Rules() {
		number, broken := firstBroken(func(options *clusterOptions) { options.omit = []Rule{rule} })
		if broken == nil {
			t.Errorf("nothing breaks without %s", rule)
		}
		t.Logf("without %s: %v (cluster %d)", rule, broken, number)
	}
	for _, lapse := range []lapse{refusesWhatsLost, answersTooSoon} {
		number, broken := firstBroken(func(options *clusterOptions) { options.lapse = lapse })
		if broken == nil {
			t.Errorf("nothing breaks where a keeper %s", lapse)
		}
		t.Logf("%s: %v (cluster %d)", lapse, broken, number)
	}
}
