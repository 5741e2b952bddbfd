package proxy

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/dataplane/fleetview"
)

func TestViewPublisher_publishesOnceSynced(t *testing.T) {
	var published []*fleetview.View
	publisher := newViewPublisher(func(view *fleetview.View) { published = append(published, view) }, new(configConfirmation), zap.NewNop())
	publisher.Snapshot(0, feed.Snapshot{Index: 3, Items: configurationItems("3")})
	publisher.BatchDone()
	if published != nil {
		t.Fatal("a view was published before the first status, and so possibly without workers")
	}
	publisher.Status(feedtransport.Status{})
	if len(published) != 1 || published[0].Generation != 3 {
		t.Fatalf("%d views were published up to the first status, want one view, of generation 3", len(published))
	}
	publisher.Status(feedtransport.Status{})
	publisher.BatchDone()
	if len(published) != 1 {
		t.Fatal("a view was published without a change")
	}
	publisher.Change(0, feed.Change{Index: 5, Put: []feed.Item{{Key: configuration.KeyGeneration, Value: []byte("5")}}})
	publisher.BatchDone()
	if len(published) != 2 || published[1].Generation != 5 {
		t.Fatalf("%d views were published after the change, want a second view, of generation 5", len(published))
	}
}

// TestViewPublisher_Status_confirmsConfiguration checks that a status confirms the configuration until the connection to the agent is
// lost. The connection alone does not confirm it.
func TestViewPublisher_Status_confirmsConfiguration(t *testing.T) {
	var confirmation configConfirmation
	publisher := newViewPublisher(func(*fleetview.View) {}, &confirmation, zap.NewNop())
	publisher.Connected("127.0.0.1:1")
	if confirmation.isValid(time.Now()) {
		t.Fatal("the configuration was confirmed by the connection alone")
	}
	publisher.Status(agentStatus(true))
	if !confirmation.isValid(time.Now()) {
		t.Fatal("the configuration was not confirmed by a status")
	}
	publisher.Disconnected(errors.New("connection closed"))
	if confirmation.isValid(time.Now()) {
		t.Fatal("the configuration was still confirmed after the agent was lost")
	}
}
