package selection

import (
	"testing"
	"time"
)

// reportFailing has a node report that workers fail.
func reportFailing(s *Selector, now time.Duration, node uint64, workers ...*worker) {
	var list []Outstanding
	for _, w := range workers {
		list = append(list, Outstanding{WorkerHash: w.hash, Failing: true})
	}
	s.SetPeerLoad(now, node, list)
}

func TestSelector_SetPeerLoad_ejectsOnEnoughReports(t *testing.T) {
	s, _ := newTestSelector(4, 6, 3)
	s.nodes = 7
	w := s.services["m"].byClass[classDecode][0]
	reportFailing(s, time.Second, 1, w)
	if time.Second < w.health.ejectedUntil {
		t.Fatal("ejected on the report of one node")
	}
	reportFailing(s, time.Second, 2, w)
	until := w.health.ejectedUntil
	if until < time.Second+minPeerEjection || until > time.Second+maxPeerEjection || w.health.slowStartLimit != 1 {
		t.Fatalf("%+v", w.health)
	}
	for _, entry := range s.Outstanding(time.Second) {
		if entry.WorkerHash == w.hash {
			t.Fatal("an ejection because of reports is reported as one of own calls")
		}
	}
	for range 200 {
		if choice, _ := s.Choose(time.Second, newTestRequest(time.Second, 1, 1600, 400), nil); choice.Run == w.entry {
			t.Fatal("an ejected worker is chosen")
		}
	}
}

func TestSelector_SetPeerLoad_ignoresExpiredReports(t *testing.T) {
	s, _ := newTestSelector(4, 6, 3)
	s.nodes = 7
	w := s.services["m"].byClass[classDecode][0]
	reportFailing(s, 0, 1, w)
	reportFailing(s, peerStateTTL+ms, 2, w)
	if w.health.ejectedUntil != 0 {
		t.Fatalf("%+v", w.health)
	}
}

func TestSelector_SetPeerLoad_ignoresIsolatedReporter(t *testing.T) {
	s, _ := newTestSelector(4, 6, 3)
	s.nodes = 7
	svc := s.services["m"]
	all := append(append([]*worker(nil), svc.byClass[classDecode]...), svc.byClass[classPrefill]...)
	for node := range uint64(6) {
		reportFailing(s, time.Second, node+1, all...)
	}
	for _, w := range all {
		if w.health.ejectedUntil != 0 {
			t.Fatalf("%+v", w.health)
		}
	}
}

func TestSelector_SetPeerLoad_boundsEjectedShare(t *testing.T) {
	s, _ := newTestSelector(4, 20, 3)
	s.nodes = 7
	writers := s.services["m"].byClass[classDecode]
	reportFailing(s, time.Second, 1, writers[:11]...)
	reportFailing(s, time.Second, 2, writers[:11]...)
	aside := 0
	for _, w := range writers {
		if time.Second < w.health.ejectedUntil {
			aside++
		}
	}
	if aside != int(maxPeerEjectedShare*20) {
		t.Fatalf("%d of %d workers ejected", aside, len(writers))
	}
}

func TestSelector_Outstanding_reportsOwnEjections(t *testing.T) {
	s, _ := newTestSelector(1, 2, 3)
	r := newTestRequest(time.Second, 1, 1600, 400)
	choice, _ := s.Choose(time.Second, r, nil)
	s.Failed(time.Second, s.Sent(time.Second, r, CallRun, choice), FailureTimeout)
	list := s.Outstanding(time.Second)
	if len(list) != 1 || !list[0].Failing {
		t.Fatalf("%+v", list)
	}
	if later := s.Outstanding(time.Minute); len(later) != 0 {
		t.Fatalf("%+v", later)
	}
}
