package selection

import (
	"testing"
	"time"
)

// reportFailing applies a state of another node that reports workers as failing.
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
		t.Fatal("the worker is ejected after the report of one node, want reports of two")
	}
	reportFailing(s, time.Second, 2, w)
	until := w.health.ejectedUntil
	if until < time.Second+minPeerEjection || until > time.Second+maxPeerEjection || w.health.slowStartLimit != 1 {
		t.Fatalf("health after reports of two nodes: %+v, want an ejection of %v to %v with a slow start limit of 1",
			w.health, minPeerEjection, maxPeerEjection)
	}
	for _, entry := range s.Outstanding(time.Second) {
		if entry.WorkerHash == w.hash {
			t.Fatal("Outstanding lists a worker that is ejected only because of reports; want only ejections due to own calls")
		}
	}
	for range 200 {
		if choice, _ := s.Choose(time.Second, newTestRequest(time.Second, 1, 1600, 400), nil); choice.Run == w.entry {
			t.Fatal("Choose returned a worker that is ejected because of reports")
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
		t.Fatalf("health after two reports, the first of which has expired: %+v, want no ejection", w.health)
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
			t.Fatalf("health of worker %s after nodes reported all workers: %+v, want no ejection", w.entry.ID, w.health)
		}
	}
}

func TestSelector_SetPeerLoad_boundsEjectedShare(t *testing.T) {
	s, _ := newTestSelector(4, 20, 3)
	s.nodes = 7
	decodeWorkers := s.services["m"].byClass[classDecode]
	reportFailing(s, time.Second, 1, decodeWorkers[:11]...)
	reportFailing(s, time.Second, 2, decodeWorkers[:11]...)
	ejected := 0
	for _, w := range decodeWorkers {
		if time.Second < w.health.ejectedUntil {
			ejected++
		}
	}
	if ejected != int(maxPeerEjectedShare*20) {
		t.Fatalf("ejected %d of %d decode workers after reports of 11, want %d", ejected, len(decodeWorkers), int(maxPeerEjectedShare*20))
	}
}

func TestSelector_Outstanding_reportsOwnEjections(t *testing.T) {
	s, _ := newTestSelector(1, 2, 3)
	r := newTestRequest(time.Second, 1, 1600, 400)
	choice, _ := s.Choose(time.Second, r, nil)
	s.Failed(time.Second, s.Sent(time.Second, r, CallRun, choice), FailureTimeout)
	list := s.Outstanding(time.Second)
	if len(list) != 1 || !list[0].Failing {
		t.Fatalf("Outstanding after a time-out: %+v, want one entry with Failing", list)
	}
	if later := s.Outstanding(time.Minute); len(later) != 0 {
		t.Fatalf("Outstanding a minute later: %+v, want none", later)
	}
}
