// Package server implements the control plane server process. It keeps a replica of every shard on disk, accepts API calls from
// operators and heartbeats from workers, forwards each to the owner of its shard, and serves the feed to the agents on edge nodes.
// Command inference-router runs it (subcommand control-plane); the control plane simulation runs several servers in one process.
//
// The server mostly connects other packages: coord/replica replicates the shards, configuration and registry are the state
// machines, peertransport connects the servers, feedtransport serves the agents, and roleplanner decides how many workers
// prefill and how many decode. The only data that it stores are the replicas and the member ID of its disk.
//
// Where to look:
//
//   - server.go, lifecycle.go: the Server's parts, startup, goroutines and shutdown; graceful_shutdown.go: handing over leaderships and votes.
//   - http_api.go, api_requests.go: the HTTP API. forward.go finds the owner of a shard, shard_owner.go executes requests as the owner.
//   - ownership.go: when a replica gains and loses ownership of its shard, that is, when it may decide on heartbeats and expiry.
//   - membership_reconciler.go: nextMembershipChange decides, from an observed state, which member a group adds, promotes,
//     demotes or removes next. membership_controller.go observes the state and makes the changes; join.go and vote_release.go
//     handle servers that join and servers that shut down.
//   - role_assignment.go: the loop that runs roleplanner, records the planned roles and sends them to the workers as commands.
//   - leadership_balance.go: which server leads which shard.
//   - session_liveness.go, edge_nodes.go, demand_reports.go: what servers report to the owners of shards.
//   - status.go, metrics.go: /-/status and /-/metrics. timing.go: all intervals and timeouts.
//
// A server whose replica has lost contact with a majority keeps serving the feed, marked as not current, and answers calls that need
// the owner with 503 once their deadlines have passed. It logs the loss only after contactLostAfter;
// /-/status shows current=false and a growing confirmedMs for the shard before that.
package server
