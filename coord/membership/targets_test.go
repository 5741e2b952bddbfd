package membership

import (
	"fmt"
	"slices"
	"testing"
)

// nodeNames returns the names of count nodes.
func nodeNames(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("edge-%03d", i)
	}
	return list
}

// probersPerNode returns by how many others each node is probed.
func probersPerNode(t *testing.T, all []string) map[string]int {
	t.Helper()
	probed := make(map[string]int)
	for _, name := range all {
		targets := Targets(name, all, DefaultRings)
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
		probed := probersPerNode(t, nodeNames(count))
		total := 0
		for _, name := range nodeNames(count) {
			if probed[name] < 1 || probed[name] > DefaultRings {
				t.Errorf("%d nodes: %s is probed by %d others, want 1 to %d", count, name, probed[name], DefaultRings)
			}
			total += probed[name]
		}
		if count >= 60 && float64(total) < 2.9*float64(count) {
			t.Errorf("%d nodes: got %d targets in total, want at least 2.9 per node", count, total)
		}
	}
}

func TestTargets_fewNodes(t *testing.T) {
	if targets := Targets("a", nil, DefaultRings); len(targets) != 0 {
		t.Errorf("targets of a single node: got %v, want none", targets)
	}
	if targets := Targets("a", []string{"a", "b"}, DefaultRings); !slices.Equal(targets, []string{"b"}) {
		t.Errorf("targets of a among a and b: got %v, want [b]", targets)
	}
}

func TestTargets_joinChangesFewTargets(t *testing.T) {
	before := nodeNames(100)
	after := append(nodeNames(100), "edge-new")
	changed := 0
	for _, name := range before {
		for _, target := range Targets(name, after, DefaultRings) {
			if !slices.Contains(Targets(name, before, DefaultRings), target) {
				changed++
			}
		}
	}
	if changed > DefaultRings {
		t.Errorf("after a join: got %d new targets, want at most %d", changed, DefaultRings)
	}
}

func TestTargets_ignoresOrder(t *testing.T) {
	all := nodeNames(30)
	want := Targets(all[3], all, DefaultRings)
	slices.Reverse(all)
	if got := Targets(all[26], all, DefaultRings); !slices.Equal(got, want) {
		t.Errorf("targets of %s with the names reversed: got %v, want %v", all[26], got, want)
	}
}
