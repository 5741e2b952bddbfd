package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/roleplanner"
)

// errorReport is the body of an error.
type errorReport struct {
	Error struct {
		Code int    `json:"code"`
		Text string `json:"text"`
	} `json:"error"`
}

func errorBody(code int, text string) []byte {
	var report errorReport
	report.Error.Code, report.Error.Text = code, text
	body, err := json.Marshal(report)
	if err != nil {
		return emptyObject
	}
	return body
}

// Reports of /-/status.
type (
	statusReport struct {
		Address string        `json:"address"`
		Member  string        `json:"member"` // hexadecimal
		UptimeS int64         `json:"uptimeS"`
		Leaving bool          `json:"leaving"`
		Shards  []shardReport `json:"shards"`
		Peers   []peerReport  `json:"peers"`
		Agents  int           `json:"agents"`
	}

	shardReport struct {
		Shard        int            `json:"shard"`
		Role         string         `json:"role"`
		Term         uint64         `json:"term"`
		Leader       string         `json:"leader"` // address; empty: unknown
		Applied      uint64         `json:"applied"`
		Commit       uint64         `json:"commit"`
		ConfirmedMs  int64          `json:"confirmedMs"` // -1: never
		Current      bool           `json:"current"`
		Writable     bool           `json:"writable"`
		DiskBytes    int64          `json:"diskBytes"`
		Members      []memberReport `json:"members"`
		FeedPosition uint64         `json:"feedPosition"`
	}

	memberReport struct {
		Member  string `json:"member"`
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
	}

	peerReport struct {
		Address   string `json:"address"`
		Connected bool   `json:"connected"`
		Accepted  bool   `json:"accepted"`
		Queued    int    `json:"queued"`
		Dropped   uint64 `json:"dropped"`
		HeardMs   int64  `json:"heardMs"` // -1: never
	}
)

func (s *Server) serveStatus(_ context.Context, c *app.RequestContext) {
	body, err := json.Marshal(s.report())
	if err != nil {
		writeResponse(c, errorResponse(InternalFault))
		return
	}
	c.Data(http.StatusOK, contentTypeJSON, body)
}

func (s *Server) report() statusReport {
	report := statusReport{
		Address: s.self.Address, Member: formatMemberID(s.self.ID), UptimeS: int64(s.environment.Now().Sub(s.startedAt).Seconds()),
		Leaving: s.shuttingDown.Load(), Agents: len(s.edgeNodes.list()),
	}
	for _, shard := range s.shards {
		report.Shards = append(report.Shards, newShardReport(shard.group.Status(), shard.stateMachine.index()))
	}
	for _, peer := range s.network.Peers() {
		report.Peers = append(report.Peers, peerReport{
			Address: peer.Address, Connected: peer.Connected, Accepted: peer.Accepted,
			Queued: peer.Queued, Dropped: peer.Dropped, HeardMs: milliseconds(peer.SinceReceived),
		})
	}
	slices.SortFunc(report.Peers, func(a, b peerReport) int { return strings.Compare(a.Address, b.Address) })
	return report
}

func newShardReport(status replica.Status, position uint64) shardReport {
	report := shardReport{
		Shard: int(status.Shard), Role: roleName(status.Role), Term: status.Term, Leader: status.Leader.Address,
		Applied: status.AppliedIndex, Commit: status.CommitIndex, ConfirmedMs: milliseconds(status.ConfirmedAge),
		Current: current(status), Writable: status.Writable, DiskBytes: status.DiskBytes, FeedPosition: position,
	}
	for _, member := range status.Members {
		report.Members = append(report.Members, memberReport{
			Member: formatMemberID(member.ID), Address: member.Address, Voter: member.Voter,
		})
	}
	return report
}

func formatMemberID(id consensus.MemberID) string { return strconv.FormatUint(uint64(id), 16) }

func milliseconds(age time.Duration) int64 {
	if age < 0 || age == replica.NeverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

func roleName(role consensus.Role) string {
	switch role {
	case consensus.RoleLeader:
		return "leader"
	case consensus.RoleCandidate, consensus.RolePreCandidate:
		return "candidate"
	}
	return "follower"
}

// metrics counts what the keeper does.
type metrics struct {
	feedSessions atomic.Int64
	mutex        sync.Mutex
	calls        map[callSeries]uint64
	roleCommands map[int]uint64                // by the status of the worker's answer
	roleStates   map[string]roleplanner.Status // by service, as this keeper saw it last as the holder
}

// callSeries is one line of the counted calls.
type callSeries struct {
	method string
	status int
}

func (m *metrics) countCall(method string, status int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.calls == nil {
		m.calls = make(map[callSeries]uint64)
	}
	m.calls[callSeries{method, status}]++
}

// countRoleCommand counts an order to a worker by the status of its answer, 0 if there was none.
func (m *metrics) countRoleCommand(status int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.roleCommands == nil {
		m.roleCommands = make(map[int]uint64)
	}
	m.roleCommands[status]++
}

// setRoleState notes how a service stands, and returns how it stood before.
func (m *metrics) setRoleState(service string, state roleplanner.Status) (before roleplanner.Status) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.roleStates == nil {
		m.roleStates = make(map[string]roleplanner.Status)
	}
	before, m.roleStates[service] = m.roleStates[service], state
	return before
}

// roleLines returns the stages of services and the orders given as text.
func (m *metrics) roleLines() []string {
	var lines []string
	for status, count := range m.roleCommands {
		lines = append(lines, fmt.Sprintf("keeper_orders_total{status=\"%d\"} %d", status, count))
	}
	for service, state := range m.roleStates {
		label := fmt.Sprintf("{service=%q}", service)
		lines = append(lines,
			fmt.Sprintf("keeper_stage_readers%s %d", label, state.PrefillWorkers),
			fmt.Sprintf("keeper_stage_writers%s %d", label, state.DecodeWorkers),
			fmt.Sprintf("keeper_stage_turning%s %d", label, state.Transitioning),
			fmt.Sprintf("keeper_stage_readers_wanted%s %d", label, state.TargetPrefill),
			fmt.Sprintf("keeper_demand_read_workers%s %.3f", label, state.Demand.Prefill),
			fmt.Sprintf("keeper_demand_slots_workers%s %.3f", label, state.Demand.Slots),
			fmt.Sprintf("keeper_demand_memory_workers%s %.3f", label, state.Demand.Memory),
			fmt.Sprintf("keeper_demand_moves_workers%s %.3f", label, state.Demand.Transfers))
	}
	return lines
}

// lines returns the counted calls as text, sorted.
func (m *metrics) lines() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lines := make([]string, 0, len(m.calls))
	for series, count := range m.calls {
		lines = append(lines, fmt.Sprintf("keeper_calls_total{method=%q,status=\"%d\"} %d", series.method, series.status, count))
	}
	lines = append(lines, m.roleLines()...)
	slices.Sort(lines)
	return lines
}

func (s *Server) serveMetrics(_ context.Context, c *app.RequestContext) {
	lines := s.metrics.lines()
	lines = append(lines, fmt.Sprintf("keeper_feed_sessions %d", s.metrics.feedSessions.Load()))
	for _, shard := range s.shards {
		lines = append(lines, shardLines(shard.group.Status())...)
	}
	for _, peer := range s.network.Peers() {
		lines = append(lines,
			fmt.Sprintf("keeper_peer_connected{peer=%q} %d", peer.Address, boolToInt(peer.Connected)),
			fmt.Sprintf("keeper_peer_dropped_total{peer=%q} %d", peer.Address, peer.Dropped))
	}
	c.Data(http.StatusOK, contentTypeText, []byte(strings.Join(lines, "\n")+"\n"))
}

func shardLines(status replica.Status) []string {
	label := fmt.Sprintf("{shard=\"%d\"}", status.Shard)
	return []string{
		fmt.Sprintf("keeper_shard_leads%s %d", label, boolToInt(status.IsLeader())),
		fmt.Sprintf("keeper_shard_current%s %d", label, boolToInt(current(status))),
		fmt.Sprintf("keeper_shard_term%s %d", label, status.Term),
		fmt.Sprintf("keeper_shard_applied%s %d", label, status.AppliedIndex),
		fmt.Sprintf("keeper_shard_disk_bytes%s %d", label, status.DiskBytes),
	}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Self returns this keeper as a member of its groups.
func (s *Server) Self() consensus.Member { return s.self }

// Inspect returns the state of all groups without its age. It asks no clock.
func (s *Server) Inspect() []replica.Status {
	var all []replica.Status
	for _, shard := range s.shards {
		if group, ok := shard.group.(*replica.Group); ok {
			all = append(all, group.StatusWithoutAge())
		}
	}
	return all
}
