// Package server is the process of the control plane: it holds replicas of all shards on disk,
// takes the operator's calls and the registrations of workers, hands each call to the owner of its
// shard, and serves the feed to the agents of the edge.
//
// A keeper joins the parts below and decides little itself: coord/replica replicates,
// internal/controlplane/configuration and internal/controlplane/registry are the state machines, internal/controlplane/peertransport carries
// what keepers say to each other, internal/controlplane/feedtransport what agents read. What it does decide, which
// change of a group's members is next and when leadership moves, stands in functions
// without clock or I/O (nextChange, spreadPlan).
package server
