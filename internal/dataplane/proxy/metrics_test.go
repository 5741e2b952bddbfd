package proxy

import (
	"strings"
	"testing"

	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
)

// metricsPage is the expected page when the view and the counters have the values of TestMetrics_namesAndOrder. Dashboards read these
// names.
const metricsPage = `view_generation 7
view_nodes 3
view_workers 2
dispatch_requests 1
dispatch_unrouted 2
dispatch_rejected 3
dispatch_failed 4
dispatch_aborted 5
dispatch_canceled 6
dispatch_prefills 7
dispatch_runs 8
dispatch_retries 9
dispatch_resumed 10
dispatch_handles_freed 11
dispatch_handles_dropped 12
http_server_accepted 13
http_server_rejected 14
http_server_evicted 15
http_server_requests 16
http_server_malformed 17
http_server_timed_out 18
http_server_clients_gone 19
http_server_duplicate_responses 20
http_server_missing_responses 21
http_server_aborted_responses 22
http_server_open 23
http_server_in_flight 24
upstream_dials 25
upstream_dials_failed 26
upstream_reused 27
upstream_stale 28
upstream_unsolicited 29
upstream_mismatched_responses 30
upstream_expired 31
upstream_open 32
upstream_idle 33
`

func TestMetrics_namesAndOrder(t *testing.T) {
	view := testView(1, 3, testWorker("a", "1:1"), testWorker("b", "1:2"))
	view.Generation = 7
	var text strings.Builder
	appendMetrics(&text, viewMetrics(nil))
	appendMetrics(&text, viewMetrics(view))
	appendMetrics(&text, dispatchMetrics(dispatch.Counts{Requests: 1, Unrouted: 2, Rejected: 3, Failed: 4, Aborted: 5, Canceled: 6,
		Prefills: 7, Runs: 8, Retries: 9, Resumed: 10, HandlesFreed: 11, HandlesDropped: 12}))
	appendMetrics(&text, serverMetrics(httpserver.Counts{Accepted: 13, Rejected: 14, Evicted: 15, Requests: 16, Malformed: 17,
		TimedOut: 18, ClientDisconnects: 19, DuplicateResponses: 20, MissingResponses: 21, AbortedResponses: 22, Open: 23, InFlight: 24}))
	appendMetrics(&text, upstreamMetrics(upstream.Counts{Dials: 25, DialsFailed: 26, Reused: 27, Stale: 28, Unsolicited: 29,
		MismatchedResponses: 30, Expired: 31, Open: 32, Idle: 33}))
	if text.String() != metricsPage {
		t.Fatalf("got the page:\n%swant:\n%s", text.String(), metricsPage)
	}
}
