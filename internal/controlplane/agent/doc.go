// Package agent is the process beside each proxy that holds the state of the control plane for it.
//
// The agent reads the feed from one control plane server at a time (feedHandler), holds the items of all shards in memory
// (store), and serves the same feed to the proxy of its machine over loopback (proxyServer), so that the proxy has a state
// even while no server is reachable. It forwards the proxy's reports to the server, and the server's reports to the proxy. It
// also takes part in the probing of machines over UDP (probing) and reports those that it suspects to have failed.
//
// The agent stores nothing on disk: after a start it has nothing until a server has sent its state.
package agent
