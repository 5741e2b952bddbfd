// Package selection decides, for each request of one proxy, which worker prefills its prompt and which
// one decodes it, or that the request is rejected.
//
// The choice is Eq. 3 of the design's paper (docs/design/router-fleet.md, "Data plane"): for every
// eligible prefill/decode pair, and for every decode worker alone, the time to the first event is
// predicted as
//
//	network transfer + queue wait + processing
//
// by least squares over the proxy's own recent responses (package estimate), and costs of the KV cache
// transfer, of decoding, of recomputing cached prompt segments and of the proxy's own unfinished calls
// are added. The placement with the lowest sum is chosen, ties at random.
//
// Where to look:
//
//   - Selector.Choose, placement.go: how a prefill/decode pair is chosen
//   - candidate.go: which workers are eligible, and what each is estimated to cost
//   - prediction.go: the terms of Eq. 3 and how they are learned
//   - kvtransfer.go: the time, price and failures of KV cache transfers
//   - affinity.go, prefixcache.go: which workers are believed to have a prompt's prefix cached
//   - load.go, peers.go: a worker's load from its responses, from own calls and from other proxies
//   - health.go, ejection.go: outlier ejection and slow start
//   - admission.go: load shedding
//   - demand.go: what is reported to the planner of prefill and decode roles
//
// The package does no I/O, starts no goroutine and reads no clock: instants are arguments on the
// caller's monotonic clock. Package dispatch calls it, one call at a time.
package selection
