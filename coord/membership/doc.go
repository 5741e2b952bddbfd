// Package membership detects failed nodes, after SWIM (Das, Gupta and Motivala, 2002): each node pings a
// few others and asks peers to ping a node that does not answer. It decides which nodes a node probes, and
// when one is suspected. A suspicion is only reported: the package removes no node, and there is no gossip,
// since the control plane keeps the list of nodes.
//
// The package has no clock, no source of randomness and no I/O of its own. The agent
// (internal/controlplane/agent) drives a Prober and sends its packets by UDP.
package membership
