package proxy

import (
	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/exposition"
)

// metricFamilies returns the metrics that /metrics exports. docs/OPERATORS-FLEET.md explains what an operator should do about each.
func (p *proxy) metricFamilies() []exposition.Family {
	families := viewFamilies(p.dispatcher.View(), p.isConfigConfirmed())
	families = append(families, dispatchFamilies(p.dispatcher.Counts())...)
	families = append(families, clientFamilies(p.clientServer.Counts())...)
	return append(families, upstreamFamilies(p.pool.Counts())...)
}

// viewFamilies returns the metrics of the view in force; a nil view is treated as an empty one.
func viewFamilies(view *fleetview.View, confirmed bool) []exposition.Family {
	generation, nodes, workers := int64(0), int64(0), int64(0)
	if view != nil {
		generation, nodes = int64(view.Generation), int64(view.EdgeNodeCount)
		for _, serviceWorkers := range view.Workers {
			workers += int64(len(serviceWorkers))
		}
	}
	confirmedValue := int64(0)
	if confirmed {
		confirmedValue = 1
	}
	return []exposition.Family{
		exposition.NewGauge("router_proxy_view_generation", "Generation of the configuration in force; 0 without one.", generation),
		exposition.NewGauge("router_proxy_view_confirmed", "1 while the configuration in force is known to be the newest.", confirmedValue),
		exposition.NewGauge("router_proxy_view_nodes", "Edge machines that the control plane lists.", nodes),
		exposition.NewGauge("router_proxy_view_workers", "Workers that the control plane lists as ready, of all services.", workers),
	}
}

// dispatchFamilies returns the metrics of requests and calls.
func dispatchFamilies(counts dispatch.Counts) []exposition.Family {
	discarded := exposition.Family{Name: "router_proxy_discarded_responses_total", Kind: exposition.Counter,
		Help: "Responses that a worker had made or was making and that did not reach the client, by reason."}
	for reason, count := range counts.Discarded {
		discarded.Samples = append(discarded.Samples, exposition.Sample{
			Labels: []exposition.Label{{Name: "reason", Value: dispatch.DiscardReason(reason).String()}}, Value: float64(count),
		})
	}
	return []exposition.Family{
		discarded,
		exposition.NewCounter("router_proxy_requests_total", "Requests with a route.", counts.Requests),
		exposition.NewCounter("router_proxy_unrouted_total", "Requests without a route, answered with 404.", counts.Unrouted),
		exposition.NewCounter("router_proxy_rejected_total", "Requests that were not executed, answered with 503.", counts.Rejected),
		exposition.NewCounter("router_proxy_failed_total", "Requests that may have been executed, answered with 502 or 504.", counts.Failed),
		exposition.NewCounter("router_proxy_aborted_total", "Responses closed before their end.", counts.Aborted),
		exposition.NewCounter("router_proxy_canceled_total", "Requests whose client left.", counts.Canceled),
		exposition.NewCounter("router_proxy_prefills_total", "Prefill calls to workers.", counts.Prefills),
		exposition.NewCounter("router_proxy_runs_total", "Run calls to workers.", counts.Runs),
		exposition.NewCounter("router_proxy_retries_total", "Run calls beyond the first of a request.", counts.Retries),
		exposition.NewCounter("router_proxy_resumed_total", "Streams continued at another worker.", counts.Resumed),
		exposition.NewCounter("router_proxy_handles_freed_total", "Prefill handles freed because no run used them.", counts.HandlesFreed),
		exposition.NewCounter("router_proxy_handles_dropped_total", "Prefill handles left to expire, as too many were being freed.", counts.HandlesDropped),
	}
}

// clientFamilies returns the metrics of the server for clients.
func clientFamilies(counts httpserver.Counts) []exposition.Family {
	return []exposition.Family{
		exposition.NewCounter("router_proxy_client_connections_total", "Connections accepted from clients.", counts.Accepted),
		exposition.NewCounter("router_proxy_client_connections_rejected_total", "Connections rejected at the limit.", counts.Rejected),
		exposition.NewCounter("router_proxy_client_connections_evicted_total", "Idle connections closed to make room.", counts.Evicted),
		exposition.NewCounter("router_proxy_client_requests_total", "Requests read from clients.", counts.Requests),
		exposition.NewCounter("router_proxy_client_requests_malformed_total", "Requests that cannot be parsed.", counts.Malformed),
		exposition.NewCounter("router_proxy_client_requests_timed_out_total", "Requests that did not arrive completely in time.", counts.TimedOut),
		exposition.NewCounter("router_proxy_client_gone_total", "Connections that a client closed amid a request.", counts.ClientDisconnects),
		exposition.NewGauge("router_proxy_client_connections_open", "Open connections of clients.", counts.Open),
		exposition.NewGauge("router_proxy_client_requests_in_flight", "Requests that are being served.", counts.InFlight),
	}
}

// upstreamFamilies returns the metrics of the connections to workers.
func upstreamFamilies(counts upstream.Counts) []exposition.Family {
	return []exposition.Family{
		exposition.NewCounter("router_proxy_worker_dials_total", "Connections dialed to workers.", counts.Dials),
		exposition.NewCounter("router_proxy_worker_dials_failed_total", "Connections to workers that did not open.", counts.DialsFailed),
		exposition.NewCounter("router_proxy_worker_connections_reused_total", "Calls on a connection that was open already.", counts.Reused),
		exposition.NewCounter("router_proxy_worker_connections_stale_total", "Idle connections that a worker had closed.", counts.Stale),
		exposition.NewCounter("router_proxy_worker_responses_unsolicited_total", "Bytes of a worker without a call.", counts.Unsolicited),
		exposition.NewCounter("router_proxy_worker_responses_mismatched_total", "Responses with the ID of another request.", counts.MismatchedResponses),
		exposition.NewGauge("router_proxy_worker_connections_open", "Open connections to workers.", counts.Open),
		exposition.NewGauge("router_proxy_worker_connections_idle", "Open connections to workers without a call.", counts.Idle),
	}
}
