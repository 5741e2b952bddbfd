// Package server is the process of the control plane. It holds replicas of all shards on disk, takes the calls of operators
// and the heartbeats of workers, forwards each to the owner of its shard, and serves the feed to the agents of the edge.
// Command inference-router runs it (sub-command control-plane); the simulation of the control plane runs several in one process.
//
// The server joins other packages and decides little itself: coord/replica replicates, configuration and registry are the
// state machines, peertransport connects the servers, feedtransport serves the agents, roleplanner decides how many
// workers prefill and decode. It stores nothing but the replicas and the member ID of its disk.
//
// Where to look:
//
//   - server.go, lifecycle.go: the Server's parts, its start, its goroutines and its end; graceful_shutdown.go for the hand-over.
//   - http_api.go, api_requests.go: the HTTP API. forward.go finds the owner of a shard, shard_owner.go is what the owner does.
//   - ownership.go: when a replica starts and ceases to own its shard, that is, when it may decide on heartbeats and expiry.
//   - membership_reconciler.go: nextMembershipChange decides, from an observed state, which member a group adds, promotes,
//     demotes or removes next. membership_controller.go observes the state and makes the changes; join.go and vote_release.go
//     take the requests of servers that come and go.
//   - role_assignment.go: the loop that has roleplanner decide on the workers' roles, records them and commands the workers.
//   - leadership_balance.go: which server leads which shard.
//   - session_liveness.go, edge_nodes.go, demand_reports.go: what servers report to the owners of shards.
//   - status.go, metrics.go: /-/status and /-/metrics. timing.go: all intervals and time-outs.
//
// A server whose replica has lost contact with a majority goes on serving reads of the feed, marked as not current, and answers
// calls that need the owner with 503 once their deadlines have passed. It logs nothing at that moment: /-/status shows
// current=false and a growing confirmedMs for the shard.
package server
