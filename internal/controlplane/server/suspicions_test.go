package server

import (
	"reflect"
	"testing"
	"time"

	"ospreybend/internal/controlplane/feedtransport"
)

// reportSuspicion passes an agent's encoded suspicion report to a server, as a feed session does.
func reportSuspicion(t *testing.T, s *Server, agent, ip string, suspected bool) {
	t.Helper()
	body, err := feedtransport.EncodeSuspicion(feedtransport.Suspicion{IP: ip, Suspected: suspected})
	if err != nil {
		t.Fatal(err)
	}
	s.OnReport(feedtransport.Hello{Node: agent}, feedtransport.TopicSuspicion, body)
}

func TestServer_OnReport_suspicionsAreShownUntilTheyEnd(t *testing.T) {
	s, _, _ := newScriptedServer(t)
	now := time.Unix(1000, 0)
	s.environment.Now = func() time.Time { return now }
	reportSuspicion(t, s, "edge-1", "10.1.0.9", true)
	reportSuspicion(t, s, "edge-1", "10.1.0.9", true)
	reportSuspicion(t, s, "edge-2", "10.1.0.9", true)
	reportSuspicion(t, s, "edge-2", "10.1.0.8", true)
	want := []suspectedMachine{{IP: "10.1.0.8", Agents: 1}, {IP: "10.1.0.9", Agents: 2}}
	if got := s.suspicions.current(now); !reflect.DeepEqual(got, want) {
		t.Fatalf("suspected machines after the reports: %v, want %v", got, want)
	}
	reportSuspicion(t, s, "edge-2", "10.1.0.8", false)
	now = now.Add(suspicionMaxAge)
	reportSuspicion(t, s, "edge-2", "10.1.0.9", true) // edge-1 does not repeat its report
	now = now.Add(time.Millisecond)
	want = []suspectedMachine{{IP: "10.1.0.9", Agents: 1}}
	if got := s.suspicions.current(now); !reflect.DeepEqual(got, want) {
		t.Errorf("suspected machines after an end and an expiry: %v, want %v", got, want)
	}
}

func TestSuspicions_changes_needSeveralAgents(t *testing.T) {
	var s suspicions
	now := time.Unix(1000, 0)
	record := func(agent string, suspected bool) {
		s.record(now, agent, feedtransport.Suspicion{IP: "10.1.0.9", Suspected: suspected})
	}
	record("edge-1", true)
	if failed, _ := s.changes(now); len(failed) > 0 {
		t.Fatalf("suspected by one agent: failed machines %v, want none", failed)
	}
	record("edge-2", true)
	if failed, _ := s.changes(now); len(failed) != 1 {
		t.Fatalf("suspected by two agents: failed machines %v, want one", failed)
	}
	record("edge-1", false)
	if failed, recovered := s.changes(now); len(failed)+len(recovered) > 0 {
		t.Fatalf("still suspected by one of two agents: failed machines %v, recovered %v, want none", failed, recovered)
	}
	record("edge-2", false)
	if _, recovered := s.changes(now); len(recovered) != 1 {
		t.Errorf("no longer suspected by any agent: recovered machines %v, want one", recovered)
	}
}
