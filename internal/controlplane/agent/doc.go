// Package agent implements the agent process, which runs next to each proxy and keeps a copy of the control plane state for it.
//
// The agent reads the feed from one control plane server at a time (feedHandler), holds the items of all shards in memory
// (store), and serves the same feed to the proxy on its machine over loopback (proxyServer), so that the proxy has a state
// even while no server is reachable. It forwards the proxy's reports to the server and the server's reports to the proxy. It
// also takes part in failure detection between machines over UDP (probing) and reports the machines that it suspects to have
// failed.
//
// The agent stores nothing on disk: after a start its store is empty until a server has sent its state.
package agent
