package server

import (
	"cmp"
	"strconv"

	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
	"ospreybend/internal/util/exposition"
)

// families returns the metric families of /metrics. docs/OPERATORS-FLEET.md tells operators how to react to each metric.
func (s *Server) families() []exposition.Family {
	families := []exposition.Family{
		exposition.NewGauge("router_controlplane_feed_sessions", "Agents that read this server's feed.", s.metrics.feedSessions.Load()),
		exposition.NewGauge("router_controlplane_suspected_machines", "Machines that agents suspect to have failed.",
			int64(len(s.suspicions.current(s.environment.Now())))),
	}
	families = append(families, s.metrics.families()...)
	return append(families, s.shardFamilies()...)
}

// shardFamilies returns the metric families of this server's replicas, with one sample per shard.
func (s *Server) shardFamilies() []exposition.Family {
	series := []struct {
		family exposition.Family
		value  func(replica.Status) float64
	}{
		{exposition.Family{Name: "router_controlplane_shard_leads", Help: "1 while this replica leads its group."},
			func(status replica.Status) float64 { return float64(boolToInt(status.IsLeader())) }},
		{exposition.Family{Name: "router_controlplane_shard_current", Help: "1 while the replica had contact with a majority of its group within 0.8 s."},
			func(status replica.Status) float64 { return float64(boolToInt(isCurrent(status))) }},
		{exposition.Family{Name: "router_controlplane_shard_writable", Help: "1 while the replica's disk takes writes."},
			func(status replica.Status) float64 { return float64(boolToInt(status.Writable)) }},
		{exposition.Family{Name: "router_controlplane_shard_voters", Help: "Voters of the group as this replica knows it."},
			func(status replica.Status) float64 { return float64(countVoters(status)) }},
		{exposition.Family{Name: "router_controlplane_shard_term", Help: "Term of the group; it rises with each election."},
			func(status replica.Status) float64 { return float64(status.Term) }},
		{exposition.Family{Name: "router_controlplane_shard_applied_index", Help: "Index of the last log entry that was applied."},
			func(status replica.Status) float64 { return float64(status.AppliedIndex) }},
		{exposition.Family{Name: "router_controlplane_shard_disk_bytes", Help: "Bytes that the replica has on disk."},
			func(status replica.Status) float64 { return float64(status.DiskBytes) }},
		{exposition.Family{Name: "router_controlplane_shard_unapplied_entries", Help: "Log entries that are committed, but not applied here yet."},
			func(status replica.Status) float64 {
				return float64(status.CommitIndex - min(status.AppliedIndex, status.CommitIndex))
			}},
		{exposition.Family{Name: "router_controlplane_shard_longest_pause_seconds", Help: "Longest time since the start for which the replica handled no message."},
			func(status replica.Status) float64 { return status.Load.LongestIteration.Seconds() }},
		{exposition.Family{Name: "router_controlplane_shard_applied_entries_total", Kind: exposition.Counter, Help: "Log entries that were applied since the start."},
			func(status replica.Status) float64 { return float64(status.Load.AppliedEntries) }},
		{exposition.Family{Name: "router_controlplane_shard_apply_seconds_total", Kind: exposition.Counter, Help: "Time spent applying log entries."},
			func(status replica.Status) float64 { return status.Load.ApplyTime.Seconds() }},
		{exposition.Family{Name: "router_controlplane_shard_restore_seconds_total", Kind: exposition.Counter, Help: "Time spent restoring snapshots."},
			func(status replica.Status) float64 { return status.Load.RestoreTime.Seconds() }},
		{exposition.Family{Name: "router_controlplane_shard_snapshot_seconds_total", Kind: exposition.Counter, Help: "Time spent encoding snapshots."},
			func(status replica.Status) float64 { return status.Load.SnapshotTime.Seconds() }},
	}
	families := make([]exposition.Family, len(series))
	for i, one := range series {
		families[i] = one.family
		families[i].Kind = cmp.Or(one.family.Kind, exposition.Gauge)
		for _, shard := range s.shards {
			families[i].Samples = append(families[i].Samples, exposition.Sample{
				Labels: []exposition.Label{{Name: "shard", Value: strconv.Itoa(int(shard.id))}}, Value: one.value(shard.group.Status()),
			})
		}
	}
	return families
}

func countVoters(status replica.Status) (voters int) {
	for _, member := range status.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// families returns the metric families of API calls and of the role planner.
func (m *metrics) families() []exposition.Family {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	calls := exposition.Family{Name: "router_controlplane_calls_total", Kind: exposition.Counter, Help: "Calls of the API, by method and status."}
	for series, count := range m.calls {
		calls.Samples = append(calls.Samples, exposition.Sample{
			Labels: []exposition.Label{{Name: "method", Value: series.method}, {Name: "status", Value: strconv.Itoa(series.status)}}, Value: float64(count),
		})
	}
	commands := exposition.Family{Name: "router_controlplane_role_commands_total", Kind: exposition.Counter,
		Help: "Role commands to workers, by the status of the answer; 0 is none."}
	for status, count := range m.roleCommands {
		commands.Samples = append(commands.Samples, exposition.Sample{
			Labels: []exposition.Label{{Name: "status", Value: strconv.Itoa(status)}}, Value: float64(count),
		})
	}
	return []exposition.Family{
		calls, commands,
		m.roleFamily("router_controlplane_prefill_workers", "Workers that do prefill, by service.", func(s roleplanner.Status) float64 { return float64(s.PrefillWorkers) }),
		m.roleFamily("router_controlplane_decode_workers", "Workers that do decode, by service.", func(s roleplanner.Status) float64 { return float64(s.DecodeWorkers) }),
		m.roleFamily("router_controlplane_target_prefill_workers", "Workers that should do prefill, by service.", func(s roleplanner.Status) float64 { return float64(s.TargetPrefill) }),
		m.roleFamily("router_controlplane_transitioning_workers", "Workers that are changing their role, by service.", func(s roleplanner.Status) float64 { return float64(s.Transitioning) }),
	}
}

// roleFamily returns a gauge family with one sample per planned service. The caller holds the mutex.
func (m *metrics) roleFamily(name, help string, value func(roleplanner.Status) float64) exposition.Family {
	family := exposition.Family{Name: name, Help: help, Kind: exposition.Gauge}
	for service, state := range m.roleStates {
		family.Samples = append(family.Samples, exposition.Sample{Labels: []exposition.Label{{Name: "service", Value: service}}, Value: value(state)})
	}
	return family
}
