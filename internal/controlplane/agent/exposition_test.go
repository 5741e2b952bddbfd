package agent

import (
	"testing"

	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/exposition/expositiontest"
)

func TestFamilies_namesAndValues(t *testing.T) {
	store := newStore()
	server, err := newProxyServer(t.Context(), 0, Options{}.withDefaults(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	store.setCurrent([]feedtransport.ShardStatus{{Shard: 2, Current: true}})
	metrics := metricFamilies(store, server)
	expositiontest.Check(t, "../../..", "router_agent_", metrics)
	current := map[string]float64{}
	for _, family := range metrics {
		for _, sample := range family.Samples {
			if family.Name == "router_agent_shard_current" {
				current[sample.Labels[0].Value] = sample.Value
			}
		}
	}
	if current["2"] != 1 || current["1"] != 0 || len(current) != 5 {
		t.Errorf("router_agent_shard_current by shard: got %v, want 1 for shard 2 and 0 for the 4 others", current)
	}
}
