// Package balance decides for a dispatcher that pushes requests to workers: which worker gets a request, when
// it is queued, retried, hedged, rejected or failed.
//
// A Balancer is a deterministic state machine: its caller passes events with the time and carries out the
// returned actions. It has no clock, no goroutines and no I/O. Package internal/node/routing drives it in the
// node, internal/node/simwire in the simulator.
//
// Four rules hold always: a request gets one final answer (rejectOrFail); nothing runs twice that must not
// (permit); only workers listed as ready get requests (isReady); a warming-up worker gets no more than its
// budget (withinWarmupBudget).
//
// api.go has the events and actions, settings.go the settings. The decisions are in balance.go (requests),
// placement.go (which worker), attempts.go (sends and their outcomes), probing.go, homes.go (key affinity),
// zones.go (zone shares), estimate.go (predictions), fleet.go (workers) and peers.go (other dispatchers).
// load_message.go and state.go encode what goes to peers and to a successor process. In all of them r is a
// request, w a worker and f a forecast.
package balance
