package server

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"

	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
)

// metrics holds the counters and gauges that /-/metrics and /metrics report.
type metrics struct {
	feedSessions atomic.Int64
	mutex        sync.Mutex
	calls        map[callSeries]uint64
	roleCommands map[int]uint64                // by the HTTP status of the worker's answer, 0 if there was none
	roleStates   map[string]roleplanner.Status // by service, from this server's last planning step
}

// callSeries is the label set of one counter of API calls.
type callSeries struct {
	method string // HTTP method
	status int    // HTTP status of the response
}

func (m *metrics) countCall(method string, status int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.calls == nil {
		m.calls = make(map[callSeries]uint64)
	}
	m.calls[callSeries{method, status}]++
}

// countRoleCommand counts a role command under the HTTP status of the worker's answer, 0 if there was none.
func (m *metrics) countRoleCommand(status int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.roleCommands == nil {
		m.roleCommands = make(map[int]uint64)
	}
	m.roleCommands[status]++
}

// setRoleState records the planner's status of a service and returns the previous one.
func (m *metrics) setRoleState(service string, state roleplanner.Status) (before roleplanner.Status) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.roleStates == nil {
		m.roleStates = make(map[string]roleplanner.Status)
	}
	before, m.roleStates[service] = m.roleStates[service], state
	return before
}

// roleLines returns the role states and role commands in the Prometheus text format. The caller holds the mutex.
func (m *metrics) roleLines() []string {
	var lines []string
	for status, count := range m.roleCommands {
		lines = append(lines, fmt.Sprintf("controlplane_role_commands_total{status=\"%d\"} %d", status, count))
	}
	for service, state := range m.roleStates {
		label := fmt.Sprintf("{service=%q}", service)
		lines = append(lines,
			fmt.Sprintf("controlplane_prefill_workers%s %d", label, state.PrefillWorkers),
			fmt.Sprintf("controlplane_decode_workers%s %d", label, state.DecodeWorkers),
			fmt.Sprintf("controlplane_transitioning_workers%s %d", label, state.Transitioning),
			fmt.Sprintf("controlplane_target_prefill_workers%s %d", label, state.TargetPrefill),
			fmt.Sprintf("controlplane_demand_prefill_workers%s %.3f", label, state.Demand.Prefill),
			fmt.Sprintf("controlplane_demand_slots_workers%s %.3f", label, state.Demand.Slots),
			fmt.Sprintf("controlplane_demand_memory_workers%s %.3f", label, state.Demand.Memory),
			fmt.Sprintf("controlplane_demand_transfer_workers%s %.3f", label, state.Demand.Transfers))
	}
	return lines
}

// lines returns the call counters and the role metrics in the Prometheus text format, sorted.
func (m *metrics) lines() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lines := make([]string, 0, len(m.calls))
	for series, count := range m.calls {
		lines = append(lines, fmt.Sprintf("controlplane_calls_total{method=%q,status=\"%d\"} %d", series.method, series.status, count))
	}
	lines = append(lines, m.roleLines()...)
	slices.Sort(lines)
	return lines
}

// serveMetrics answers GET /-/metrics in the Prometheus text format.
func (s *Server) serveMetrics(_ context.Context, c *app.RequestContext) {
	lines := s.metrics.lines()
	lines = append(lines, fmt.Sprintf("controlplane_feed_sessions %d", s.metrics.feedSessions.Load()))
	lines = append(lines, fmt.Sprintf("controlplane_suspected_machines %d", len(s.suspicions.current(s.environment.Now()))))
	for _, shard := range s.shards {
		lines = append(lines, shardLines(shard.group.Status())...)
	}
	for _, peer := range s.peers.network.Peers() {
		lines = append(lines,
			fmt.Sprintf("controlplane_peer_connected{peer=%q} %d", peer.Address, boolToInt(peer.Connected)),
			fmt.Sprintf("controlplane_peer_dropped_total{peer=%q} %d", peer.Address, peer.Dropped))
	}
	c.Data(http.StatusOK, contentTypeText, []byte(strings.Join(lines, "\n")+"\n"))
}

// shardLines returns the metrics of one replica in the Prometheus text format.
func shardLines(status replica.Status) []string {
	label := fmt.Sprintf("{shard=\"%d\"}", status.Shard)
	return []string{
		fmt.Sprintf("controlplane_shard_leads%s %d", label, boolToInt(status.IsLeader())),
		fmt.Sprintf("controlplane_shard_current%s %d", label, boolToInt(isCurrent(status))),
		fmt.Sprintf("controlplane_shard_term%s %d", label, status.Term),
		fmt.Sprintf("controlplane_shard_applied%s %d", label, status.AppliedIndex),
		fmt.Sprintf("controlplane_shard_disk_bytes%s %d", label, status.DiskBytes),
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
