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
	p.Property("the first target changes only if its worker leaves", prop.ForAll(func(key uint64, removed int) bool {
		s, _ := newTestSelector(6, 2, 1)
		list := s.services["m"].byClass[classPrefill]
		before := firstAffinityTarget(key, list)
		remaining := append(append([]*worker{}, list[:removed]...), list[removed+1:]...)
		after := firstAffinityTarget(key, remaining)
		return after == before || before == list[removed].entry.ID
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
		t.Errorf("5 nodes chose the same prefill worker for %d of 40 keys, want at least 36", agreements)
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
		t.Errorf("second request with a prefix cached on worker %q: run on %q, prefill on %q; want run on the same worker without prefill",
			idOf(c.Run), idOf(next.Run), idOf(next.Prefill))
	}
	if cached := svc.workers[c.Run.ID].cache.cachedTokens(again.Prompt); cached != 9600 {
		t.Errorf("cachedTokens = %v, want 9600", cached)
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
		{"nothing cached", nil, []PromptSegment{a, b}, 0},
		{"all segments cached: complete blocks", []PromptSegment{a, b, own}, []PromptSegment{a, b, own}, 112},
		{"middle segment not cached: those before it", []PromptSegment{a, own}, []PromptSegment{a, b, own}, 32},
		{"first segment not cached", []PromptSegment{b, own}, []PromptSegment{a, b, own}, 0},
	}
	for _, c := range cases {
		cache := prefixCache{capacity: 1000}
		cache.add(c.cached, 1, 0)
		if got := cache.cachedTokens(c.prompt); got != c.want {
			t.Errorf("%s: cachedTokens = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPrefixCache_Add_evictsLeastRecentlyUsed(t *testing.T) {
	cache := prefixCache{capacity: 100}
	cache.add([]PromptSegment{{1, 40}, {2, 20}}, 1, 0)
	cache.add([]PromptSegment{{1, 40}, {3, 20}}, 1, 0)
	cache.add([]PromptSegment{{1, 40}, {4, 30}}, 1, 0)
	if !cache.contains(1) || cache.contains(2) || !cache.contains(3) || !cache.contains(4) {
		t.Errorf("cached segments after adding 1, 2, 3 and 4: 1 %v, 2 %v, 3 %v, 4 %v; want all but 2",
			cache.contains(1), cache.contains(2), cache.contains(3), cache.contains(4))
	}
	if cache.add([]PromptSegment{{5, 10}}, 5, 0); cache.contains(3) || !cache.contains(5) {
		t.Errorf("after adding segment 5 for 5 nodes: 3 cached %v, 5 cached %v; want 3 evicted, as the last segment counts once per node",
			cache.contains(3), cache.contains(5))
	}
	if cache.evict(0); cache.used != 0 || len(cache.byID) != 0 {
		t.Errorf("after evict(0): %v tokens used by %d segments, want none", cache.used, len(cache.byID))
	}
}

func TestTargetRankLimit_growsWithPopularity(t *testing.T) {
	s, _ := newTestSelector(8, 2, 1)
	list := s.services["m"].byClass[classPrefill]
	countTargets := func(share float64) (n int) {
		info := requestInfo{affinityKey: 42, keyShare: share}
		rankLimit := targetRankLimit(&info, list)
		for _, w := range list {
			if estimate.RendezvousRank(42, w.hash, len(list)) <= rankLimit {
				n++
			}
		}
		return n
	}
	if rare, popular := countTargets(0), countTargets(0.6); rare != 1 || popular < 4 {
		t.Errorf("of 8 workers, %d are targets of a key with share 0 and %d of one with share 0.6, want 1 and at least 4", rare, popular)
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
		t.Fatalf("after worker wa became a decode worker: same state %v, class %v; want the same state and class %v",
			s.services["m"].workers["wa"] == w, w.class, classDecode)
	}
	if got := w.delays[classDecode].Process(0, 1, 0, 1); got != 1 {
		t.Errorf("prediction for the new class: %v, want 1, without the samples of the old class", got)
	}
	s.SetView(0, view)
	if got := w.delays[classPrefill].Process(0, 1, 0, 1); got <= 1 {
		t.Errorf("prediction after the return to the old class: %v, want above 1, from its earlier samples", got)
	}
}
