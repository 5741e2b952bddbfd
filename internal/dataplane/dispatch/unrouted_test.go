package dispatch

import (
	"testing"

	"ospreybend/internal/dataplane/httpserver"
)

// TestOnlyAConfirmedConfigurationSaysThatThereIsNoRoute asks for an unknown route.
func TestOnlyAConfirmedConfigurationSaysThatThereIsNoRoute(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		confirmed := false
		r.dispatcher.confirmed = func() bool { return confirmed }
		elsewhere := func(request *httpserver.Request) { request.Path = "/none/" }
		r.ask(elsewhere).mustPromise(t)
		confirmed = true
		r.ask(elsewhere).mustBe(t, 404, "")
	})
}
