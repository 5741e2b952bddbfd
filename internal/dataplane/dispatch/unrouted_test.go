package dispatch

import (
	"testing"

	"ospreybend/internal/dataplane/httpserver"
)

// TestDispatcher_Serve_unconfirmedViewIs503 requests an unknown route, with the view first unconfirmed and then confirmed as the newest.
func TestDispatcher_Serve_unconfirmedViewIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		confirmed := false
		r.dispatcher.viewConfirmed = func() bool { return confirmed }
		elsewhere := func(request *httpserver.Request) { request.Path = "/none/" }
		r.ask(elsewhere).mustReject(t)
		confirmed = true
		r.ask(elsewhere).mustBe(t, 404, "")
	})
}
