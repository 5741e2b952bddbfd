package proxy

import (
	"fmt"
	"net/http"
	"strings"

	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// metric is one counter or gauge of the plain-text metrics page. Dashboards read its name, so the name stays the same when the Go field
// of the value is renamed.
type metric struct {
	name  string
	value int64
}

// writeMetrics responds with all metrics of the page, one name and value on each line.
func (p *proxy) writeMetrics(w *httpserver.ResponseWriter) {
	var text strings.Builder
	appendMetrics(&text, viewMetrics(p.dispatcher.View()))
	appendMetrics(&text, dispatchMetrics(p.dispatcher.Counts()))
	appendMetrics(&text, serverMetrics(p.clientServer.Counts()))
	appendMetrics(&text, upstreamMetrics(p.pool.Counts()))
	header := http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}
	_ = w.WriteResponse(http.StatusOK, header, []byte(text.String()))
}

// appendMetrics writes metrics, one on each line.
func appendMetrics(text *strings.Builder, metrics []metric) {
	for _, m := range metrics {
		fmt.Fprintf(text, "%s %d\n", m.name, m.value)
	}
}

// viewMetrics returns the metrics of the view in force, or none before the first view.
func viewMetrics(view *fleetview.View) []metric {
	if view == nil {
		return nil
	}
	workers := 0
	for _, serviceWorkers := range view.Workers {
		workers += len(serviceWorkers)
	}
	return []metric{
		{"view_generation", int64(view.Generation)},
		{"view_nodes", int64(view.EdgeNodeCount)},
		{"view_workers", int64(workers)},
	}
}

// dispatchMetrics returns the metrics of the dispatcher.
func dispatchMetrics(counts dispatch.Counts) []metric {
	return []metric{
		{"dispatch_requests", counts.Requests},
		{"dispatch_unrouted", counts.Unrouted},
		{"dispatch_rejected", counts.Rejected},
		{"dispatch_failed", counts.Failed},
		{"dispatch_aborted", counts.Aborted},
		{"dispatch_canceled", counts.Canceled},
		{"dispatch_prefills", counts.Prefills},
		{"dispatch_runs", counts.Runs},
		{"dispatch_retries", counts.Retries},
		{"dispatch_resumed", counts.Resumed},
		{"dispatch_handles_freed", counts.HandlesFreed},
		{"dispatch_handles_dropped", counts.HandlesDropped},
	}
}

// serverMetrics returns the metrics of the server for clients.
func serverMetrics(counts httpserver.Counts) []metric {
	return []metric{
		{"http_server_accepted", counts.Accepted},
		{"http_server_rejected", counts.Rejected},
		{"http_server_evicted", counts.Evicted},
		{"http_server_requests", counts.Requests},
		{"http_server_malformed", counts.Malformed},
		{"http_server_timed_out", counts.TimedOut},
		{"http_server_clients_gone", counts.ClientDisconnects},
		{"http_server_duplicate_responses", counts.DuplicateResponses},
		{"http_server_missing_responses", counts.MissingResponses},
		{"http_server_aborted_responses", counts.AbortedResponses},
		{"http_server_open", counts.Open},
		{"http_server_in_flight", counts.InFlight},
	}
}

// upstreamMetrics returns the metrics of the connections to workers.
func upstreamMetrics(counts upstream.Counts) []metric {
	return []metric{
		{"upstream_dials", counts.Dials},
		{"upstream_dials_failed", counts.DialsFailed},
		{"upstream_reused", counts.Reused},
		{"upstream_stale", counts.Stale},
		{"upstream_unsolicited", counts.Unsolicited},
		{"upstream_mismatched_responses", counts.MismatchedResponses},
		{"upstream_expired", counts.Expired},
		{"upstream_open", counts.Open},
		{"upstream_idle", counts.Idle},
	}
}
