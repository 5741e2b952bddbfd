// Package replica runs the local replica of one Raft group. It owns the group's consensus node, state machine and log on disk,
// and serves the process's proposals, reads and membership changes.
//
// The consensus algorithm itself is in package consensus, which does no I/O; the meaning of the commands is left to the
// StateMachine. Messages leave through Options.Send and arrive through Group.Step; package shards and the control plane server
// provide the transport. The control plane server runs one Group for each shard.
//
// # Goroutines
//
// Group.Run runs the event loop in the calling goroutine. The event loop owns the node and the state machine, and sleeps until
// an event arrives or a timeout is due. Group.Run also starts the log writer in a second goroutine, which owns the log on disk
// and makes everything that was submitted durable with one sync. Other goroutines only push to the eventQueue and read the
// publication.
//
// # From a proposal to its acknowledgement
//
//  1. Group.Propose queues a proposeEvent; eventLoop.propose appends the command to the node's log as leader.
//  2. eventLoop.processReady sends the entry to the other members and submits it to the log writer.
//  3. logWriter.writePending makes it durable with seglog.Log.Save and reports this to eventLoop.handleDiskReport, which
//     informs the node. The other members do the same with their copies.
//  4. Once the entry is durable on a majority of the voters, the node returns it as committed; eventLoop.applyPending executes
//     it with StateMachine.Apply, and pendingProposals.resolveApplied answers the call. A replica that has many entries to apply
//     does so in slices and handles events in between.
package replica
