// Package membership detects failed nodes by the method of SWIM (Das, Gupta and Motivala, 2002): each node
// pings a few others and asks peers to ping a node that does not answer. The package decides which nodes a
// node probes, and when a node is suspected. It only reports suspicions: it removes no node, and there is no
// gossip, since the control plane maintains the list of nodes.
//
// The package has no clock, no source of randomness and no I/O of its own. The agent
// (internal/controlplane/agent) drives a Prober and sends its packets by UDP.
package membership
