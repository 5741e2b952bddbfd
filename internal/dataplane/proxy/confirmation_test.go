package proxy

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
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

// TestViewPublisher_Status_confirmsConfiguration follows an agent that confirms its configuration and is lost then.
func TestViewPublisher_Status_confirmsConfiguration(t *testing.T) {
	var c configConfirmation
	f := newViewPublisher(func(*fleetview.View) {}, &c, zap.NewNop())
	f.Connected("127.0.0.1:1")
	if c.isValid(time.Now()) {
		t.Fatal("confirmed by a connection")
	}
	f.Status(statusOf(true))
	if !c.isValid(time.Now()) {
		t.Fatal("not confirmed by a status")
	}
	f.Disconnected(errors.New("as the test wants"))
	if c.isValid(time.Now()) {
		t.Fatal("confirmed without an agent")
	}
}
