package server

import (
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/exposition/expositiontest"
)

func TestServer_families_namesAndValues(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	groups[1].set(replica.Status{Role: consensus.RoleLeader, Members: []consensus.Member{voter(1), voter(2), learner(3)}, DiskBytes: 7,
		CommitIndex: 9, AppliedIndex: 5, Load: replica.Load{AppliedEntries: 4, ApplyTime: 2 * time.Second, LongestIteration: time.Second}})
	s.metrics.countCall("POST", 503)
	s.metrics.setRoleState("lm", roleplanner.Status{PrefillWorkers: 4})
	families := s.families()
	expositiontest.Check(t, "../../..", "router_controlplane_", families)
	values := map[string]float64{}
	for _, family := range families {
		for _, sample := range family.Samples {
			key := family.Name
			for _, label := range sample.Labels {
				key += " " + label.Value
			}
			values[key] = sample.Value
		}
	}
	for key, want := range map[string]float64{
		"router_controlplane_shard_leads 1": 1, "router_controlplane_shard_leads 0": 0, "router_controlplane_shard_voters 1": 2,
		"router_controlplane_shard_disk_bytes 1": 7, "router_controlplane_calls_total POST 503": 1, "router_controlplane_prefill_workers lm": 4,
		"router_controlplane_shard_unapplied_entries 1": 4, "router_controlplane_shard_applied_entries_total 1": 4,
		"router_controlplane_shard_apply_seconds_total 1": 2, "router_controlplane_shard_longest_pause_seconds 1": 1,
	} {
		if got, found := values[key]; !found || got != want {
			t.Errorf("sample %q is %v (found: %t), want %v", key, got, found, want)
		}
	}
}
