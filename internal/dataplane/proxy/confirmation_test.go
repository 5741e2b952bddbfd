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

func TestConfirmation(t *testing.T) {
	var c confirmation
	now := time.Now()
	expect := func(after time.Duration, held bool) {
		t.Helper()
		if c.holds(now.Add(after)) != held {
			t.Fatalf("after %v: %v", after, !held)
		}
	}
	expect(0, false)
	c.note(now, feedtransport.Status{})
	expect(0, false)
	c.note(now, statusOf(false))
	expect(0, false)
	c.note(now, statusOf(true))
	expect(0, true)
	expect(confirmedFor, true)
	expect(confirmedFor+1, false) // the process stood still, or the agent does
	c.note(now.Add(time.Second), statusOf(true))
	expect(confirmedFor+1, true)
	c.lose()
	expect(time.Second, false)
	c.note(now, statusOf(true))
	c.note(now, statusOf(false))
	expect(0, false)
}

// TestUnknownRouteWithAnUnconfirmedConfiguration asks a proxy whose agent cannot tell whether its configuration is the newest.
func TestUnknownRouteWithAnUnconfirmedConfiguration(t *testing.T) {
	s := newSystemOn(t, &standInAgent{behind: true})
	s.awaitReady()
	s.mustAnswer("/a/x", 200, "POST /a/x "+requestBody)
	if status, _, err := s.ask("/none/"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatal(status, err)
	}
}

// TestUnknownRouteWithoutTheAgent asks a proxy whose agent has gone.
func TestUnknownRouteWithoutTheAgent(t *testing.T) {
	s := newSystem(t)
	s.awaitReady()
	s.await("denied", func() bool { return s.statusOf("/none/") == http.StatusNotFound })
	s.proxy.stopFeed()
	s.await("unconfirmed", func() bool { return !s.proxy.isConfirmed() })
	s.mustAnswer("/a/x", 200, "POST /a/x "+requestBody)
	s.mustAnswer("/none/", 503, "")
}

// TestFollowerTakesTheConfirmationFromTheAgent follows an agent that says that it is current, and is lost.
func TestFollowerTakesTheConfirmationFromTheAgent(t *testing.T) {
	var c confirmation
	f := newFollower(func(*fleetview.View) {}, &c, zap.NewNop())
	f.Connected("127.0.0.1:1")
	if c.holds(time.Now()) {
		t.Fatal("confirmed by a connection")
	}
	f.Status(statusOf(true))
	if !c.holds(time.Now()) {
		t.Fatal("not confirmed by a status")
	}
	f.Disconnected(errors.New("as the test wants"))
	if c.holds(time.Now()) {
		t.Fatal("confirmed without an agent")
	}
}
