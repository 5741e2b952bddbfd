package proxy

import (
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

func statusOf(current bool) feedtransport.Status {
	return feedtransport.Status{Shards: []feedtransport.ShardStatus{
		{Shard: shards.ConfigurationShard, Index: 4, Current: current}, {Shard: 1, Index: 9, Current: !current},
	}}
}

func TestConfigConfirmation_isValid(t *testing.T) {
	var c configConfirmation
	now := time.Now()
	expect := func(after time.Duration, valid bool) {
		t.Helper()
		if c.isValid(now.Add(after)) != valid {
			t.Fatalf("after %v: %v", after, !valid)
		}
	}
	expect(0, false)
	c.update(now, feedtransport.Status{})
	expect(0, false)
	c.update(now, statusOf(false))
	expect(0, false)
	c.update(now, statusOf(true))
	expect(0, true)
	expect(confirmationTTL, true)
	expect(confirmationTTL+1, false) // the process or the agent was suspended
	c.update(now.Add(time.Second), statusOf(true))
	expect(confirmationTTL+1, true)
	c.clear()
	expect(time.Second, false)
	c.update(now, statusOf(true))
	c.update(now, statusOf(false))
	expect(0, false)
}

// TestProxy_unknownRoute_configurationUnconfirmed sends a request on an unknown route to a proxy whose agent
// does not know whether its configuration is the newest.
func TestProxy_unknownRoute_configurationUnconfirmed(t *testing.T) {
	s := newTestSystemWithAgent(t, &fakeAgent{behind: true})
	s.waitUntilReady()
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	if status, _, err := s.request("/none/"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
}

// TestProxy_unknownRoute_agentLost sends a request on an unknown route to a proxy whose agent is lost.
func TestProxy_unknownRoute_agentLost(t *testing.T) {
	s := newTestSystem(t)
	s.waitUntilReady()
	s.waitFor("denied", func() bool { return s.statusOf("/none/") == http.StatusNotFound })
	s.proxy.stopFeed()
	s.waitFor("unconfirmed", func() bool { return !s.proxy.isConfigConfirmed() })
	s.requireResponse("/a/x", 200, "POST /a/x "+requestBody)
	s.requireResponse("/none/", 503, "")
}
