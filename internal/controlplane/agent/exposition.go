package agent

import (
	"strconv"

	"ospreybend/coord/shards"
	"ospreybend/internal/util/exposition"
)

// metricFamilies returns the metrics served at /metrics. docs/OPERATORS-FLEET.md says how an operator responds to each.
func metricFamilies(store *store, server *proxyServer) []exposition.Family {
	current, indexes := store.shardStates()
	offsets := exposition.Family{Name: "router_agent_feed_offset", Kind: exposition.Gauge, Help: "Offset of the feed up to which the agent has each shard."}
	currentFlags := exposition.Family{Name: "router_agent_shard_current", Kind: exposition.Gauge, Help: "1 while the control plane server calls the shard current."}
	for shard := range shards.ShardCount {
		labels := []exposition.Label{{Name: "shard", Value: strconv.Itoa(shard)}}
		offsets.Samples = append(offsets.Samples, exposition.Sample{Labels: labels, Value: float64(indexes[shard])})
		value := 0.0
		if current[shard] {
			value = 1
		}
		currentFlags.Samples = append(currentFlags.Samples, exposition.Sample{Labels: labels, Value: value})
	}
	return []exposition.Family{
		offsets, currentFlags,
		exposition.NewGauge("router_agent_proxy_sessions", "Proxies that read the agent's feed; one is usual.", int64(server.sessionCount())),
		exposition.NewCounter("router_agent_disconnections_total", "Connections to control plane servers that ended.", store.disconnections.Load()),
	}
}
