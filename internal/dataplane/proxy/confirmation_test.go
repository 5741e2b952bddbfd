package proxy

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

// agentStatus returns a status whose configuration shard is current if confirmed is true. Its other shard is current if it is not.
func agentStatus(confirmed bool) feedtransport.Status {
	return feedtransport.Status{Shards: []feedtransport.ShardStatus{
		{Shard: shards.ConfigurationShard, Index: 4, Current: confirmed}, {Shard: 1, Index: 9, Current: !confirmed},
	}}
}

func TestConfigConfirmation_isValid(t *testing.T) {
	var confirmation configConfirmation
	now := time.Now()
	expect := func(after time.Duration, valid bool) {
		t.Helper()
		if confirmation.isValid(now.Add(after)) != valid {
			t.Fatalf("isValid after %v = %v, want %v", after, !valid, valid)
		}
	}
	expect(0, false)
	confirmation.update(now, feedtransport.Status{})
	expect(0, false)
	confirmation.update(now, agentStatus(false))
	expect(0, false)
	confirmation.update(now, agentStatus(true))
	expect(0, true)
	expect(confirmationTTL, true)
	expect(confirmationTTL+1, false) // the process or the agent was suspended
	confirmation.update(now.Add(time.Second), agentStatus(true))
	expect(confirmationTTL+1, true)
	confirmation.clear()
	expect(time.Second, false)
	confirmation.update(now, agentStatus(true))
	confirmation.update(now, agentStatus(false))
	expect(0, false)
}

// TestProxy_unknownRoute_configurationUnconfirmed checks that a proxy answers an unknown route with 503 while its agent does
// not confirm that the configuration is the newest: a newer one may have the route.
func TestProxy_unknownRoute_configurationUnconfirmed(t *testing.T) {
	s := newTestSystemWithAgent(t, &fakeAgent{unconfirmed: true})
	s.waitUntilReady()
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	if status, _, err := s.request("/none/"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("unknown route without a confirmed configuration: got status %d and error %v, want %d", status, err, http.StatusServiceUnavailable)
	}
}

// TestProxy_unknownRoute_agentLost checks that a proxy serves known routes and answers an unknown one with 503 after it has lost
// its agent.
func TestProxy_unknownRoute_agentLost(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	s.waitFor("an unknown route to be answered with 404", func() bool { return s.statusOf("/none/") == http.StatusNotFound })
	s.proxy.stopFeed()
	s.waitFor("the configuration to be unconfirmed", func() bool { return !s.proxy.isConfigConfirmed() })
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	s.requireResponse("/none/", 503, "")
}
