// Package proxy is the process that forwards clients' requests to workers. It connects the parts of the data plane:
//
//   - the feed of the machine's agent (feedtransport), from which viewPublisher builds views (fleetview),
//   - the server towards clients (httpserver),
//   - the dispatcher, which chooses workers and decides on retries (dispatch, selection, retrybudget),
//   - the pool of connections to workers (upstream),
//   - the exchange of load with the other proxies (loadshare), and
//   - the readiness check and the metrics page.
//
// It has no durable state. The view is soft state: a restarted proxy gets it from its agent.
//
// The process is ready from the first configuration on, and stays ready if it loses its agent. After SIGTERM it drains (see drain): it
// is not ready any more, still accepts requests for a while, since the platform sends connections until it has noticed, and ends
// when all requests in flight are answered, or shortly before the platform's grace ends.
package proxy
