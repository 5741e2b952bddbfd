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
	f := newViewPublisher(func(view *fleetview.View) { published = append(published, view) }, new(configConfirmation), zap.NewNop())
	f.Snapshot(0, feed.Snapshot{Index: 3, Items: configurationItems("3")})
	f.BatchDone()
	if published != nil {
		t.Fatal("published a configuration without the workers")
	}
	f.Status(feedtransport.Status{})
	if len(published) != 1 || published[0].Generation != 3 {
		t.Fatalf("%d views", len(published))
	}
	f.Status(feedtransport.Status{})
	f.BatchDone()
	if len(published) != 1 {
		t.Fatal("published without a change")
	}
	f.Change(0, feed.Change{Index: 5, Put: []feed.Item{{Key: configuration.KeyGeneration, Value: []byte("5")}}})
	f.BatchDone()
	if len(published) != 2 || published[1].Generation != 5 {
		t.Fatalf("%d views", len(published))
	}
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
