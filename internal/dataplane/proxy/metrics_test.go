package proxy

import (
	"strings"
	"testing"

	"ospreybend/internal/dataplane/dispatch"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
)

// metricsPage is the metrics page of counters that are numbered in its order. Dashboards read these names.
const metricsPage = `view_generation 7
view_nodes 3
view_workers 2
dispatch_requests 1
dispatch_unrouted 2
dispatch_refused 3
dispatch_failed 4
dispatch_broken 5
dispatch_left 6
dispatch_prefills 7
dispatch_runs 8
dispatch_repeats 9
dispatch_resumed 10
dispatch_handlesfreed 11
dispatch_handlesdropped 12
front_accepted 13
front_refused 14
front_evicted 15
front_requests 16
front_malformed 17
front_timedout 18
front_left 19
front_secondanswers 20
front_unanswered 21
front_broken 22
front_open 23
front_inwork 24
workers_dials 25
workers_dialsfailed 26
workers_reused 27
workers_stale 28
workers_surplus 29
workers_foreign 30
workers_expired 31
workers_open 32
workers_idle 33
`

func TestMetrics_namesAndOrder(t *testing.T) {
	view := viewOf(1, 3, worker("a", "1:1"), worker("b", "1:2"))
	view.Generation = 7
	var text strings.Builder
	appendMetrics(&text, viewMetrics(nil))
	appendMetrics(&text, viewMetrics(view))
	appendMetrics(&text, dispatchMetrics(dispatch.Counts{Requests: 1, Unrouted: 2, Rejected: 3, Failed: 4, Aborted: 5, Canceled: 6,
		Prefills: 7, Runs: 8, Retries: 9, Resumed: 10, HandlesFreed: 11, HandlesDropped: 12}))
	appendMetrics(&text, serverMetrics(httpserver.Counts{Accepted: 13, Rejected: 14, Evicted: 15, Requests: 16, Malformed: 17,
		TimedOut: 18, ClientsGone: 19, DuplicateResponses: 20, MissingResponses: 21, AbortedResponses: 22, Open: 23, InFlight: 24}))
	appendMetrics(&text, upstreamMetrics(upstream.Counts{Dials: 25, DialsFailed: 26, Reused: 27, Stale: 28, Unsolicited: 29,
		MismatchedResponses: 30, Expired: 31, Open: 32, Idle: 33}))
	if text.String() != metricsPage {
		t.Fatalf("%s, not %s", text.String(), metricsPage)
	}
}
