package selection

import (
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/estimate"
)

// firstAffinityTarget returns the ID of the first worker in a key's rendezvous order.
func firstAffinityTarget(key uint64, list []*worker) string {
	best := list[0]
	for _, w := range list {
		if estimate.RendezvousRank(key, w.hash, len(list)) < estimate.RendezvousRank(key, best.hash, len(list)) {
			best = w
		}
	}
	return best.entry.ID
}

func TestAffinityTargets_properties(t *testing.T) {
	p := newProperties()
	p.Property("nodes agree", prop.ForAll(func(key uint64) bool {
		one, _ := newTestSelector(4, 5, 1)
		other, _ := newTestSelector(4, 5, 77)
		target := firstAffinityTarget(key, one.services["m"].byClass[classPrefill])
		return target == firstAffinityTarget(key, other.services["m"].byClass[classPrefill])
	}, gen.UInt64()))
	p.Property("the first target changes only if its worker leaves", prop.ForAll(func(key uint64, gone int) bool {
		s, _ := newTestSelector(6, 2, 1)
		list := s.services["m"].byClass[classPrefill]
		before := firstAffinityTarget(key, list)
		rest := append(append([]*worker{}, list[:gone]...), list[gone+1:]...)
		after := firstAffinityTarget(key, rest)
		return after == before || before == list[gone].entry.ID
	}, gen.UInt64(), gen.IntRange(0, 5)))
	p.TestingRun(t)
}

func TestSelector_Choose_nodesAgreeOnAffinityTarget(t *testing.T) {
	agreements := 0
	for key := range uint64(40) {
		seen := map[string]int{}
		for node := range uint64(5) {
			s, _ := newTestSelector(4, 5, node)
			c, _ := s.Choose(0, newTestRequest(0, key+1, 8000, 2000), nil)
			seen[idOf(c.Prefill)]++
		}
		for _, n := range seen {
			if n == 5 {
				agreements++
			}
		}
	}
	if agreements < 36 {
		t.Errorf("all nodes agree on %d of 40 keys", agreements)
	}
}

func TestSelector_Choose_prefersCachedPrefix(t *testing.T) {
	s, _ := newTestSelector(3, 3, 1)
	svc := s.services["m"]
	r := newTestRequest(0, 5, 9600, 64)
	c, _ := s.Choose(0, r, nil)
	call := s.Sent(0, r, CallRun, Choice{Run: c.Run})
	s.FirstEvent(time.Second/4, call)
	s.Done(time.Second/3, call, nil)
	again := newTestRequest(time.Second, 5, 9600, 64)
	next, _ := s.Choose(time.Second, again, nil)
	if next.Run != c.Run || next.Prefill != nil {
		t.Errorf("computed at %s, then sent to %s after %s", idOf(c.Run), idOf(next.Run), idOf(next.Prefill))
	}
	if cached := svc.workers[c.Run.ID].cache.cachedTokens(again.Prompt); cached != 9600 {
		t.Errorf("%v tokens cached", cached)
	}
}

func TestPrefixCache_CachedTokens(t *testing.T) {
	a, b, own := PromptSegment{1, 40}, PromptSegment{2, 50}, PromptSegment{3, 30}
	cases := []struct {
		name   string
		cached []PromptSegment
		prompt []PromptSegment
		want   float64
	}{
		{"nothing", nil, []PromptSegment{a, b}, 0},
		{"complete blocks of all", []PromptSegment{a, b, own}, []PromptSegment{a, b, own}, 112},
		{"up to the first that is not cached", []PromptSegment{a, own}, []PromptSegment{a, b, own}, 32},
		{"not without those before", []PromptSegment{b, own}, []PromptSegment{a, b, own}, 0},
	}
	for _, c := range cases {
		k := prefixCache{capacity: 1000}
		k.add(c.cached, 1, 0)
		if got := k.cachedTokens(c.prompt); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPrefixCache_Add_evictsLeastRecentlyUsed(t *testing.T) {
	k := prefixCache{capacity: 100}
	k.add([]PromptSegment{{1, 40}, {2, 20}}, 1, 0)
	k.add([]PromptSegment{{1, 40}, {3, 20}}, 1, 0)
	k.add([]PromptSegment{{1, 40}, {4, 30}}, 1, 0)
	if !k.has(1) || k.has(2) || !k.has(3) || !k.has(4) {
		t.Errorf("1 %v, 2 %v, 3 %v, 4 %v", k.has(1), k.has(2), k.has(3), k.has(4))
	}
	if k.add([]PromptSegment{{5, 10}}, 5, 0); k.has(3) || !k.has(5) {
		t.Errorf("the weight of a request's own segment counts for all nodes: 3 %v, 5 %v", k.has(3), k.has(5))
	}
	if k.evict(0); k.used != 0 || len(k.byID) != 0 {
		t.Errorf("%v used by %d", k.used, len(k.byID))
	}
}

func TestAffinityReach_growsWithPopularity(t *testing.T) {
	s, _ := newTestSelector(8, 2, 1)
	list := s.services["m"].byClass[classPrefill]
	inHomes := func(share float64) (n int) {
		j := requestInfo{affinityKey: 42, keyShare: share}
		reach := affinityReach(&j, list)
		for _, w := range list {
			if estimate.RendezvousRank(42, w.hash, len(list)) <= reach {
				n++
			}
		}
		return n
	}
	if rare, popular := inHomes(0), inHomes(0.6); rare != 1 || popular < 4 {
		t.Errorf("%d targets of a rare key, %d of a popular one", rare, popular)
	}
}

func TestSelector_SetView_keepsWindowsByClass(t *testing.T) {
	s, view := newTestSelector(2, 2, 1)
	w := s.services["m"].workers["wa"]
	w.delays[classPrefill].AddProcess(0, 1, 0, 2)
	changed := &fleetview.View{EdgeNodeCount: 4, Services: view.Services, Workers: map[string][]*fleetview.Worker{"m": {
		testWorker(0, "decode"), view.Workers["m"][1], view.Workers["m"][2], view.Workers["m"][3]}}}
	s.SetView(0, changed)
	if s.services["m"].workers["wa"] != w || w.class != classDecode {
		t.Fatalf("the worker's state is gone, or its class is %v", w.class)
	}
	if got := w.delays[classDecode].Process(0, 1, 0, 1); got != 1 {
		t.Errorf("samples of the old class count in the new one: %v", got)
	}
	s.SetView(0, view)
	if got := w.delays[classPrefill].Process(0, 1, 0, 1); got <= 1 {
		t.Errorf("the samples of the old class are gone: %v", got)
	}
}
