package selection

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestSelector_SetPeerLoad_replacesEstimate(t *testing.T) {
	s, _ := newTestSelector(1, 1, 3)
	s.nodes = 3
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, WaitingWork: 0.5, Running: 2}})
	s.SetPeerLoad(0, 2, nil)
	if got := s.peerCoverage(0); got != 1 {
		t.Fatalf("peerCoverage with states of 2 of 2 peers: %v, want 1", got)
	}
	waiting, running := svc.foreignLoad(0, w)
	want := 0.5 / svc.estimates[classPrefill].typicalUnloadedTime(classPrefill)
	if waiting < want*0.99 || waiting > want*1.01 || running != 2 {
		t.Errorf("foreignLoad: waiting %v, running %v; want %v and 2", waiting, running, want)
	}
	if waiting, _ = svc.foreignLoad(200*ms, w); waiting > want*0.61 {
		t.Errorf("foreignLoad 0.2 s after a peer reported 0.5 s of work: waiting %v, want at most %v", waiting, want*0.61)
	}
	s.SetPeerLoad(300*ms, 1, nil)
	if waiting, running = svc.foreignLoad(300*ms, w); waiting != 0 || running != 0 {
		t.Errorf("foreignLoad after an empty newer state: waiting %v, running %v; want 0 and 0", waiting, running)
	}
}

func TestSelector_SetPeerLoad_expires(t *testing.T) {
	s, _ := newTestSelector(1, 1, 3)
	s.nodes = 3
	w := s.services["m"].byClass[classPrefill][0]
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, WaitingWork: 3, Running: 2}})
	if got := s.peerCoverage(0); got != 0.5 {
		t.Errorf("peerCoverage with the state of 1 of 2 peers: %v, want 0.5", got)
	}
	later := peerStateTTL + ms
	if got := s.peerCoverage(later); got != 0 || s.peerLoad(later, w).WaitingWork != 0 {
		t.Errorf("after the state expired: peerCoverage %v, waiting %v; want 0 and 0", got, s.peerLoad(later, w).WaitingWork)
	}
}

func TestSelector_Outstanding_listsOpenCalls(t *testing.T) {
	s, _ := newTestSelector(1, 1, 2)
	w := s.services["m"].byClass[classDecode][0]
	if len(s.Outstanding(0)) != 0 {
		t.Fatalf("Outstanding before any call: %+v, want none", s.Outstanding(0))
	}
	r := newTestRequest(0, 1, 1600, 100)
	waitingCall := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	startedCall := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	s.FirstEvent(10*ms, startedCall)
	list := s.Outstanding(10 * ms)
	if len(list) != 1 || list[0].WorkerHash != w.hash || list[0].Running != 1 || list[0].WaitingWork <= 0 || list[0].ReservedTokens <= 0 {
		t.Fatalf("Outstanding with a waiting and a running call: %+v, want one entry with Running 1, and WaitingWork and ReservedTokens above 0", list)
	}
	s.Done(20*ms, startedCall, nil)
	s.Abandoned(20*ms, waitingCall)
	if len(s.Outstanding(20*ms)) != 0 {
		t.Errorf("Outstanding after all calls ended: %+v, want none", s.Outstanding(20*ms))
	}
}

func TestSelector_Choose_avoidsWorkersBusyForPeers(t *testing.T) {
	s, _ := newTestSelector(2, 2, 2)
	s.nodes = 2
	svc := s.services["m"]
	busy := svc.byClass[classPrefill][0]
	prefillCall := s.Sent(0, newTestRequest(0, 1, 100, 20000), CallPrefill, Choice{Prefill: busy.entry, Run: svc.byClass[classDecode][0].entry})
	s.Abandoned(0, prefillCall)
	s.SetPeerLoad(0, 9, []Outstanding{{WorkerHash: busy.hash, WaitingWork: 2}, {WorkerHash: svc.byClass[classDecode][0].hash, WaitingWork: 2},
		{WorkerHash: svc.byClass[classDecode][1].hash, WaitingWork: 2}})
	for i := range 20 {
		choice, _ := s.Choose(0, newTestRequest(0, uint64(i+1), 3000, 3000), nil)
		if choice.Prefill == nil || choice.Prefill.ID == busy.entry.ID {
			t.Fatalf("request %d: chose prefill on %q, want a prefill on another worker than %q, which is busy with a peer's calls", i, idOf(choice.Prefill),
				busy.entry.ID)
		}
	}
}

func TestUrgencyOf_increasesWithPrefillTime(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	properties := gopter.NewProperties(parameters)
	properties.Property("urgency is within bounds and does not decrease with the prefill time", prop.ForAll(func(a, b float64) bool {
		if a > b {
			a, b = b, a
		}
		low, high := urgencyOf(a), urgencyOf(b)
		return highestUrgency <= low && low <= high && high <= lowestUrgency
	}, gen.Float64Range(0, 100), gen.Float64Range(0, 100)))
	properties.TestingRun(t)
	if urgencyOf(0.02) >= urgencyOf(0.5) || urgencyOf(1000) != lowestUrgency {
		t.Errorf("urgencyOf(0.02), (0.5) and (1000): %d, %d and %d; want the first below the second, and the last %d", urgencyOf(0.02),
			urgencyOf(0.5), urgencyOf(1000), lowestUrgency)
	}
}

func TestSelector_Choose_urgencyOfPrefill(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	short, _ := s.Choose(0, newTestRequest(0, 1, 100, 100), nil)
	long, _ := s.Choose(time.Second, newTestRequest(0, 2, 100, 30000), nil)
	if short.Urgency < highestUrgency || short.Urgency >= long.Urgency {
		t.Errorf("urgency of a short prompt: %d, of a long one: %d; want the short one below, and at least %d", short.Urgency, long.Urgency, highestUrgency)
	}
}

func TestService_QueueWait_peerLoadOutweighsHistory(t *testing.T) {
	s, _ := newTestSelector(1, 1, 3)
	s.nodes = 2
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	for i := range 300 { // by these samples, no call ever waits
		svc.estimates[classPrefill].queueWait.AddWeighted(-float64(i%4), 0, 1, pooledSamples)
	}
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, WaitingWork: 1}})
	if wait := svc.queueWait(w, svc.estimateLoad(0, w)); wait < 0.4 || wait > 1 {
		t.Errorf("queueWait after a peer reported 1 s of work: %v s, want 0.4 to 1", wait)
	}
}
