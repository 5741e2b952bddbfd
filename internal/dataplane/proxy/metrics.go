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

// metric is one counter or gauge of the metrics page. Its name is read by dashboards, so it does not follow the name of the Go
// field that the value comes from.
type metric struct {
	name  string
	value int64
}

// writeMetrics answers with the process's counters, a name and a number on each line.
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

// viewMetrics returns the metrics of the view in force; none before the first view.
func viewMetrics(view *fleetview.View) []metric {
	if view == nil {
		return nil
	}
	workers := 0
	for _, ofService := range view.Workers {
		workers += len(ofService)
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
		{"dispatch_refused", counts.Rejected},
		{"dispatch_failed", counts.Failed},
		{"dispatch_broken", counts.Aborted},
		{"dispatch_left", counts.Canceled},
		{"dispatch_prefills", counts.Prefills},
		{"dispatch_runs", counts.Runs},
		{"dispatch_repeats", counts.Retries},
		{"dispatch_resumed", counts.Resumed},
		{"dispatch_handlesfreed", counts.HandlesFreed},
		{"dispatch_handlesdropped", counts.HandlesDropped},
	}
}

// serverMetrics returns the metrics of the server towards clients.
func serverMetrics(counts httpserver.Counts) []metric {
	return []metric{
		{"front_accepted", counts.Accepted},
		{"front_refused", counts.Rejected},
		{"front_evicted", counts.Evicted},
		{"front_requests", counts.Requests},
		{"front_malformed", counts.Malformed},
		{"front_timedout", counts.TimedOut},
		{"front_left", counts.ClientsGone},
		{"front_secondanswers", counts.DuplicateResponses},
		{"front_unanswered", counts.MissingResponses},
		{"front_broken", counts.AbortedResponses},
		{"front_open", counts.Open},
		{"front_inwork", counts.InFlight},
	}
}

// upstreamMetrics returns the metrics of the connections to workers.
func upstreamMetrics(counts upstream.Counts) []metric {
	return []metric{
		{"workers_dials", counts.Dials},
		{"workers_dialsfailed", counts.DialsFailed},
		{"workers_reused", counts.Reused},
		{"workers_stale", counts.Stale},
		{"workers_surplus", counts.Unsolicited},
		{"workers_foreign", counts.MismatchedResponses},
		{"workers_expired", counts.Expired},
		{"workers_open", counts.Open},
		{"workers_idle", counts.Idle},
	}
}
