package membership

import (
	"fmt"
	"slices"
	"testing"
)

func nodeNames(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("edge-%03d", i)
	}
	return list
}

func probeCounts(t *testing.T, all []string) map[string]int {
	t.Helper()
	probed := make(map[string]int)
	for _, name := range all {
		targets := Targets(name, all, Rings)
		if slices.Contains(targets, name) {
			t.Fatalf("%s probes itself", name)
		}
		for _, target := range targets {
			probed[target]++
		}
	}
	return probed
}

func TestTargets_eachNodeIsProbedByAboutThreeOthers(t *testing.T) {
	for _, count := range []int{4, 10, 60, 300} {
		probed := probeCounts(t, nodeNames(count))
		total := 0
		for _, name := range nodeNames(count) {
			if probed[name] < 1 || probed[name] > Rings {
				t.Errorf("of %d nodes, %s is probed by %d", count, name, probed[name])
			}
			total += probed[name]
		}
		if count >= 60 && float64(total) < 2.9*float64(count) {
			t.Errorf("%d nodes have %d probes", count, total)
		}
	}
}

func TestTargets_fewNodes(t *testing.T) {
	if targets := Targets("a", nil, Rings); len(targets) != 0 {
		t.Errorf("targets of a lone node: %v", targets)
	}
	if targets := Targets("a", []string{"a", "b"}, Rings); !slices.Equal(targets, []string{"b"}) {
		t.Errorf("targets of one of two: %v", targets)
	}
}

func TestTargets_joinChangesFewTargets(t *testing.T) {
	before := nodeNames(100)
	after := append(nodeNames(100), "edge-new")
	changed := 0
	for _, name := range before {
		for _, target := range Targets(name, after, Rings) {
			if !slices.Contains(Targets(name, before, Rings), target) {
				changed++
			}
		}
	}
	if changed > Rings {
		t.Errorf("%d targets changed, want at most %d", changed, Rings)
	}
}

func TestTargets_ignoresOrder(t *testing.T) {
	all := nodeNames(30)
	want := Targets(all[3], all, Rings)
	slices.Reverse(all)
	if got := Targets(all[26], all, Rings); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
