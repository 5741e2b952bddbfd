package server

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
)

// The JSON documents of /-/status. Operators read their members, so the names must not change.
type (
	// statusReport is the whole document.
	statusReport struct {
		Address string        `json:"address"`
		Member  string        `json:"member"` // member ID, hexadecimal
		UptimeS int64         `json:"uptimeS"`
		Leaving bool          `json:"leaving"`
		Shards  []shardReport `json:"shards"`
		Peers   []peerReport  `json:"peers"`
		Agents  int           `json:"agents"`

		Suspected []suspectedMachine `json:"suspected,omitempty"` // machines that agents suspect to have failed
	}

	// shardReport describes this server's replica of one shard.
	shardReport struct {
		Shard        int            `json:"shard"`
		Role         string         `json:"role"`
		Term         uint64         `json:"term"`
		Leader       string         `json:"leader"` // address; empty if unknown
		Applied      uint64         `json:"applied"`
		Commit       uint64         `json:"commit"`
		ConfirmedMs  int64          `json:"confirmedMs"` // time since contact with a majority was last confirmed; -1: never
		Current      bool           `json:"current"`
		Writable     bool           `json:"writable"`
		DiskBytes    int64          `json:"diskBytes"`
		Members      []memberReport `json:"members"`
		FeedPosition uint64         `json:"feedPosition"`
	}

	// memberReport is one member of a replica group.
	memberReport struct {
		Member  string `json:"member"`
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
	}

	// peerReport describes the connections with one peer.
	peerReport struct {
		Address   string `json:"address"`
		Connected bool   `json:"connected"`
		Accepted  bool   `json:"accepted"`
		Queued    int    `json:"queued"`
		Dropped   uint64 `json:"dropped"`
		HeardMs   int64  `json:"heardMs"` // time since a frame last arrived from the peer; -1: never
	}
)

// serveStatus answers GET /-/status.
func (s *Server) serveStatus(_ context.Context, c *app.RequestContext) {
	body, err := json.Marshal(s.report())
	if err != nil {
		writeResponse(c, errorResponse(InternalFault))
		return
	}
	c.Data(http.StatusOK, contentTypeJSON, body)
}

// report returns the current status of the server.
func (s *Server) report() statusReport {
	report := statusReport{
		Address: s.self.Address, Member: formatMemberID(s.self.ID), UptimeS: int64(s.environment.Now().Sub(s.startedAt).Seconds()),
		Leaving: s.lifecycle.shuttingDown.Load(), Agents: len(s.feed.nodes.list()),
		Suspected: s.suspicions.current(s.environment.Now()),
	}
	for _, shard := range s.shards {
		report.Shards = append(report.Shards, newShardReport(shard.group.Status(), shard.stateMachine.index()))
	}
	for _, peer := range s.peers.network.Peers() {
		report.Peers = append(report.Peers, peerReport{
			Address: peer.Address, Connected: peer.Connected, Accepted: peer.Accepted,
			Queued: peer.Queued, Dropped: peer.Dropped, HeardMs: milliseconds(peer.SinceReceived),
		})
	}
	slices.SortFunc(report.Peers, func(a, b peerReport) int { return strings.Compare(a.Address, b.Address) })
	return report
}

func newShardReport(status replica.Status, feedPosition uint64) shardReport {
	report := shardReport{
		Shard: int(status.Shard), Role: roleName(status.Role), Term: status.Term, Leader: status.Leader.Address,
		Applied: status.AppliedIndex, Commit: status.CommitIndex, ConfirmedMs: milliseconds(status.ConfirmedAge),
		Current: isCurrent(status), Writable: status.Writable, DiskBytes: status.DiskBytes, FeedPosition: feedPosition,
	}
	for _, member := range status.Members {
		report.Members = append(report.Members, memberReport{
			Member: formatMemberID(member.ID), Address: member.Address, Voter: member.Voter,
		})
	}
	return report
}

func formatMemberID(id consensus.MemberID) string { return strconv.FormatUint(uint64(id), 16) }

// milliseconds returns an age in milliseconds, -1 if it is negative or replica.NeverConfirmed.
func milliseconds(age time.Duration) int64 {
	if age < 0 || age == replica.NeverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

// roleName returns the name of a consensus role in reports.
func roleName(role consensus.Role) string {
	switch role {
	case consensus.RoleLeader:
		return "leader"
	case consensus.RoleCandidate, consensus.RolePreCandidate:
		return "candidate"
	}
	return "follower"
}
