// Package selection chooses, for each request of one proxy, the worker that prefills the prompt and the
// worker that decodes it, or rejects the request. A proxy process is called a node; the other proxies of
// the fleet, which send requests to the same workers, are its peers.
//
// The choice implements Eq. 3 of docs/design/router-fleet.md ("Data plane"). For every eligible pair of a
// prefill and a decode worker, and for every decode worker alone, it predicts the time to the first event
// as
//
//	network transfer + queue wait + processing
//
// by least squares over the node's own recent responses (package estimate). To this it adds costs, in
// seconds: for the KV cache transfer, decoding, recomputing prompt segments that are cached elsewhere, and
// the node's own unfinished calls. The placement with the lowest sum is chosen; ties are broken at random.
//
// The files:
//
//   - placement.go: Selector.Choose, which scores the placements and picks one
//   - candidate.go: which workers are eligible, and the estimated cost of each
//   - prediction.go: the terms of Eq. 3 and how they are learned from responses
//   - kvtransfer.go: the time, cost and failures of KV cache transfers
//   - affinity.go, prefixcache.go: which workers are likely to have a prompt's prefix cached
//   - load.go, peers.go: a worker's load, from its responses, from own calls and from the peers
//   - kvmemory.go: the penalty for filling up a worker's KV cache
//   - urgency.go: the order in which workers admit prefill calls
//   - calls.go: the life cycle of calls, from which everything above learns
//   - health.go, ejection.go: outlier ejection and slow start
//   - admission.go: load shedding
//   - demand.go: the demand that is reported to the planner of prefill and decode roles
//
// The package does no I/O, starts no goroutine and reads no clock: instants are arguments, measured on the
// caller's monotonic clock. Package dispatch calls it, one call at a time.
package selection
