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
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, Waiting: 0.5, Running: 2}})
	s.SetPeerLoad(0, 2, nil)
	if got := s.peerCoverage(0); got != 1 {
		t.Fatalf("states of two of two peers, coverage %v", got)
	}
	waiting, running := svc.foreignLoad(0, w)
	want := 0.5 / svc.pools[classPrefill].typicalUnloadedTime(classPrefill)
	if waiting < want*0.99 || waiting > want*1.01 || running != 2 {
		t.Errorf("foreign load: %v waiting, %v running; want %v and 2", waiting, running, want)
	}
	if waiting, _ = svc.foreignLoad(200*ms, w); waiting > want*0.61 {
		t.Errorf("after 0.2 s of 0.5 s of work %v of %v are waiting", waiting, want)
	}
	s.SetPeerLoad(300*ms, 1, nil)
	if waiting, running = svc.foreignLoad(300*ms, w); waiting != 0 || running != 0 {
		t.Errorf("a newer state does not replace the older one: %v, %v", waiting, running)
	}
}

func TestSelector_SetPeerLoad_expires(t *testing.T) {
	s, _ := newTestSelector(1, 1, 3)
	s.nodes = 3
	w := s.services["m"].byClass[classPrefill][0]
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, Waiting: 3, Running: 2}})
	if got := s.peerCoverage(0); got != 0.5 {
		t.Errorf("state of one of two peers, coverage %v", got)
	}
	later := peerStateTTL + ms
	if got := s.peerCoverage(later); got != 0 || s.peerLoad(later, w).Waiting != 0 {
		t.Errorf("an expired state still counts: %v", got)
	}
}

func TestSelector_Outstanding_listsOpenCalls(t *testing.T) {
	s, _ := newTestSelector(1, 1, 2)
	w := s.services["m"].byClass[classDecode][0]
	if len(s.Outstanding(0)) != 0 {
		t.Fatal("calls in flight before any is sent")
	}
	r := newTestRequest(0, 1, 1600, 100)
	reading := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	begun := s.Sent(0, r, CallRun, Choice{Run: w.entry})
	s.FirstEvent(10*ms, begun)
	list := s.Outstanding(10 * ms)
	if len(list) != 1 || list[0].WorkerHash != w.hash || list[0].Running != 1 || list[0].Waiting <= 0 || list[0].Memory <= 0 {
		t.Fatalf("%+v", list)
	}
	s.Done(20*ms, begun, nil)
	s.Abandoned(20*ms, reading)
	if len(s.Outstanding(20*ms)) != 0 {
		t.Error("ended calls are still in flight")
	}
}

func TestSelector_Choose_avoidsWorkersBusyForPeers(t *testing.T) {
	s, _ := newTestSelector(2, 2, 2)
	s.nodes = 2
	svc := s.services["m"]
	busy := svc.byClass[classPrefill][0]
	reading := s.Sent(0, newTestRequest(0, 1, 100, 20000), CallPrefill, Choice{Prefill: busy.entry, Run: svc.byClass[classDecode][0].entry})
	s.Abandoned(0, reading)
	s.SetPeerLoad(0, 9, []Outstanding{{WorkerHash: busy.hash, Waiting: 2}, {WorkerHash: svc.byClass[classDecode][0].hash, Waiting: 2},
		{WorkerHash: svc.byClass[classDecode][1].hash, Waiting: 2}})
	for i := range 20 {
		choice, _ := s.Choose(0, newTestRequest(0, uint64(i+1), 3000, 3000), nil)
		if choice.Prefill == nil || choice.Prefill.ID == busy.entry.ID {
			t.Fatalf("request %d is sent to a worker that is busy for a peer: %+v", i, choice)
		}
	}
}

func TestUrgencyOf_fallsWithPrefillTime(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	properties := gopter.NewProperties(parameters)
	properties.Property("within bounds and in order", prop.ForAll(func(a, b float64) bool {
		if a > b {
			a, b = b, a
		}
		low, high := urgencyOf(a), urgencyOf(b)
		return highestUrgency <= low && low <= high && high <= lowestUrgency
	}, gen.Float64Range(0, 100), gen.Float64Range(0, 100)))
	properties.TestingRun(t)
	if urgencyOf(0.02) >= urgencyOf(0.5) || urgencyOf(1000) != lowestUrgency {
		t.Error("short prefills are not more urgent than long ones")
	}
}

func TestSelector_Choose_urgencyOfPrefill(t *testing.T) {
	s, _ := newTestSelector(2, 2, 1)
	short, _ := s.Choose(0, newTestRequest(0, 1, 100, 100), nil)
	long, _ := s.Choose(time.Second, newTestRequest(0, 2, 100, 30000), nil)
	if short.Urgency < highestUrgency || short.Urgency >= long.Urgency {
		t.Errorf("urgency %d of a short prompt, %d of a long one", short.Urgency, long.Urgency)
	}
}

func TestService_QueueWait_peerLoadOutweighsHistory(t *testing.T) {
	s, _ := newTestSelector(1, 1, 3)
	s.nodes = 2
	svc := s.services["m"]
	w := svc.byClass[classPrefill][0]
	for i := range 300 { // by the fit alone no call ever waits
		svc.pools[classPrefill].wait.AddWeighted(-float64(i%4), 0, 1, poolSamples)
	}
	s.SetPeerLoad(0, 1, []Outstanding{{WorkerHash: w.hash, Waiting: 1}})
	if wait := svc.queueWait(w, svc.estimateLoad(0, w)); wait < 0.4 || wait > 1 {
		t.Errorf("a peer reports a second of work, and a queue wait of %v s is predicted", wait)
	}
}
