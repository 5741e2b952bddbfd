package selection

import (
	"testing"
	"time"
)

// claimAt has a node tell that workers fail.
func claimAt(s *Selector, now time.Duration, node uint64, workers ...*worker) {
	var list []Outstanding
	for _, w := range workers {
		list = append(list, Outstanding{Worker: w.number, Failing: true})
	}
	s.Peer(now, node, list)
}

func TestWhatTwoNodesFoundCountsForAll(t *testing.T) {
	s, _ := rig(4, 6, 3)
	s.nodes = 7
	w := s.services["m"].byClass[classDecode][0]
	claimAt(s, time.Second, 1, w)
	if time.Second < w.health.until {
		t.Fatal("one node's word was enough")
	}
	claimAt(s, time.Second, 2, w)
	if w.health.until < time.Second+leastSetAside || w.health.until > time.Second+longestAside || w.health.ramp != 1 {
		t.Fatalf("%+v", w.health)
	}
	for _, told := range s.Outstanding(time.Second) {
		if told.Worker == w.number {
			t.Fatal("what others found was passed on as this node's own")
		}
	}
	for range 200 {
		if choice, _ := s.Choose(time.Second, ask(time.Second, 1, 1600, 400), nil); choice.Run == w.entry {
			t.Fatal("it was sent to")
		}
	}
}

func TestOldFindingsCountForNothing(t *testing.T) {
	s, _ := rig(4, 6, 3)
	s.nodes = 7
	w := s.services["m"].byClass[classDecode][0]
	claimAt(s, 0, 1, w)
	claimAt(s, peerLife+ms, 2, w)
	if w.health.until != 0 {
		t.Fatalf("%+v", w.health)
	}
}

func TestANodeThatReachesHardlyAnyWorkerIsNotBelieved(t *testing.T) {
	s, _ := rig(4, 6, 3)
	s.nodes = 7
	svc := s.services["m"]
	all := append(append([]*worker(nil), svc.byClass[classDecode]...), svc.byClass[classPrefill]...)
	for node := range uint64(6) {
		claimAt(s, time.Second, node+1, all...)
	}
	for _, w := range all {
		if w.health.until != 0 {
			t.Fatalf("%+v", w.health)
		}
	}
}

func TestNoMoreThanAPartOfAClassIsSetAside(t *testing.T) {
	s, _ := rig(4, 20, 3)
	s.nodes = 7
	writers := s.services["m"].byClass[classDecode]
	claimAt(s, time.Second, 1, writers[:11]...)
	claimAt(s, time.Second, 2, writers[:11]...)
	aside := 0
	for _, w := range writers {
		if time.Second < w.health.until {
			aside++
		}
	}
	if aside != int(mostSetAside*20) {
		t.Fatalf("%d of %d", aside, len(writers))
	}
}

func TestANodeTellsWhatItFoundItself(t *testing.T) {
	s, _ := rig(1, 2, 3)
	r := ask(time.Second, 1, 1600, 400)
	choice, _ := s.Choose(time.Second, r, nil)
	s.Failed(time.Second, s.Sent(time.Second, r, CallRun, choice), FailureSilence)
	list := s.Outstanding(time.Second)
	if len(list) != 1 || !list[0].Failing {
		t.Fatalf("%+v", list)
	}
	if later := s.Outstanding(time.Minute); len(later) != 0 {
		t.Fatalf("%+v", later)
	}
}
