// Package balance decides, for a load balancer that pushes requests to workers, which worker gets a request
// and when a request is queued, retried, hedged, rejected or failed.
//
// A Balancer is a deterministic state machine: its caller passes in events with the current time and carries
// out the returned actions. It has no clock, no goroutines and no I/O. Package internal/node/routing drives
// it in the node, internal/node/simwire in the simulator. Several balancers, one per node, share the workers;
// the others are this balancer's peers.
//
// Four rules always hold: (1) a request gets one final response (rejectOrFail); (2) a request that must not
// run twice does not (permit); (3) only workers listed as ready get requests (isReady); (4) a worker that is
// still warming up gets no more work than its budget allows (withinWarmupBudget).
//
// The events and actions are in api.go, the settings in settings.go. The decisions are in balance.go (life
// cycle of requests), placement.go (choice of a worker), attempts.go (sends and their outcomes), probing.go
// (load probes), homes.go (key affinity), zones.go (zone shares), estimate.go (predicted delays), fleet.go
// (state of the workers) and peers.go (load of the peers). load_message.go encodes the messages to peers,
// state.go the state that a hot restart hands to the next process. view.go has queries that change nothing.
//
// A job is a request as the estimator and the workers see it: a class, a size and a number of slots. In all
// files b is a balancer, r a request, w a worker and f a forecast or, as a receiver, the fleet.
package balance
