package dispatch

import (
	"testing"

	"ospreybend/internal/dataplane/httpserver"
)

// TestDispatcher_Serve_unconfirmedViewIs503 requests an unknown route, with the view first unconfirmed and then confirmed as the newest.
func TestDispatcher_Serve_unconfirmedViewIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		confirmed := false
		h.dispatcher.viewConfirmed = func() bool { return confirmed }
		toUnknownRoute := func(request *httpserver.Request) { request.Path = "/none/" }
		h.send(toUnknownRoute).requireRejection(t)
		confirmed = true
		h.send(toUnknownRoute).requireResponse(t, 404, "")
	})
}
