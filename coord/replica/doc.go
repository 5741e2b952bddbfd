// Package replica runs the local replica of one replica group. It owns the group's consensus node, its state machine and its
// log on disk, and serves proposals, reads and membership changes of the process.
//
// It decides nothing about consensus (package consensus does, without input or output) and does not know what a command
// means (the StateMachine does). Messages leave through Options.Send and arrive through Group.Step; package shards and the
// control plane server provide the transport. The control plane server runs one Group for each shard.
//
// # Goroutines
//
// Group.Run works in the calling goroutine, which runs the event loop: it owns node and state machine and sleeps until an
// event arrives or the node's next timeout. It starts a second goroutine, the log writer, which owns the log on disk and
// writes all that was submitted with one sync. Other goroutines reach both only through the eventQueue and the publication.
//
// # From a proposal to its acknowledgement
//
//  1. Group.Propose queues a proposeEvent; eventLoop.propose appends the command to the node's log as leader.
//  2. eventLoop.processReady sends the entry to the other members and submits it to the log writer.
//  3. logWriter.writePending makes it durable with seglog.Log.Save and reports that to eventLoop.handleDiskReport, which
//     tells the node. The other members do the same with their copy.
//  4. Once a majority of the voters has the entry durably, the node returns it as committed; eventLoop.apply executes it
//     with StateMachine.Apply, and pendingProposals.resolveApplied answers the call.
package replica
