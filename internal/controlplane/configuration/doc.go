// Package configuration defines the operator's configuration of the router fleet: how its JSON is parsed and validated,
// under which conditions a change is accepted, and Store, the replicated state machine that holds the document in force.
//
// It does not replicate, store or serve anything itself. The control plane server (internal/controlplane/server) runs a
// Store as the state machine of the configuration shard's replica group and turns outcomes into HTTP answers. Agents and
// proxies use only the parsers (ParseRoute, ParseService, ParseLimits) and the keys of the feed items.
//
// # Path of a change, and where it becomes durable
//
//  1. The server that receives the operator's call converts it to a Command (server.handleConfigurationChange).
//     ValidateCommand rejects a command that is invalid in every state; any other is forwarded to the owner of the
//     configuration shard.
//  2. The owner encodes the command (EncodeCommand) and proposes it with replica.Group.Propose
//     (server.changeConfiguration), which appends it to the log of the group's leader.
//  3. Each replica's log writer writes the entry with seglog.Log.Save, which returns only after the disk has been synced,
//     and reports that to its consensus node (consensus.Node.Persisted). The change is DURABLE once a majority of the voters
//     has done so; only then does the leader commit the entry (advanceCommit in package consensus).
//  4. Every replica applies the committed entry with Store.Apply. There the change is compared with the generation in
//     force (compare-and-set) and accepted or rejected, with the same result on all replicas.
//  5. The owner answers the operator with the Outcome. CodeAccepted is never sent before steps 3 and 4 are complete.
//  6. The feed sends the changed items to the agents, as the feed.Change that Store.Apply returns.
//
// # Cost
//
// Steps 4 and 6 take time in proportion to the change, however many routes the document has: a document is immutable and shares
// its items, and the indexes that validate an update, with the document before it (itemList, routeIndex). A server that catches
// up applies up to some thousand changes. Only a complete replacement, a snapshot and a read cost time in proportion to the
// document.
//
// # Compare-and-set
//
// Each document has a generation, a number that only increases. A change states the generation that it is based on and
// takes effect only if that is the one in force; see Store.compareBase. A change that was accepted before is recognized
// by its digest and acknowledged again, so that an operator may retry a call whose response was lost.
package configuration
