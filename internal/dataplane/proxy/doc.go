// Package proxy runs the process that forwards clients' requests to workers. It connects the parts of the data plane:
//
//   - the feed of the machine's agent (feedtransport), from which viewPublisher builds views (fleetview),
//   - the HTTP server for clients (httpserver),
//   - the dispatcher, which chooses workers and decides on retries (dispatch, selection, retrybudget),
//   - the pool of connections to workers (upstream),
//   - the exchange of load information with the other proxies (loadshare), and
//   - the readiness check and the metrics.
//
// The process stores nothing durably: after a restart it gets its view of the fleet from the agent again.
//
// The process becomes ready with the first configuration, and stays ready if it loses the connection to its agent. After SIGTERM it
// drains (see drain): it reports that it is not ready, but still accepts requests for a while, since the platform keeps sending
// connections until it has noticed. It exits when all requests in flight are answered, or shortly before the platform's grace period
// ends.
package proxy
