package server

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"ospreybend/internal/controlplane/peertransport"
)

func TestServer_Forward_reachesOwner(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return okResponse([]byte(`{"generation":1}`)), nil }
	reply := s.forward(timeoutContext(t), replaceRequest)
	if reply.Status != http.StatusOK || string(reply.Body) != `{"generation":1}` || network.asked[0] != "b" {
		t.Fatal(reply, network.asked)
	}
}

func TestServer_Forward_followsNewOwner(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(address string, _ int) (shardResponse, error) {
		if address == "b" {
			return notOwnerResponse("c"), nil
		}
		return okResponse(nil), nil
	}
	if reply := s.forward(timeoutContext(t), replaceRequest); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestServer_Forward_waitsForElection(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(address string, _ int) (shardResponse, error) {
		if address == "b" {
			groups[0].set(followerStatus("c"))
			s.ownersChanged.notifyAll()
			return shardResponse{}, peertransport.ErrNotSent
		}
		return okResponse(nil), nil
	}
	if reply := s.forward(timeoutContext(t), replaceRequest); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestServer_Forward_abandonsReplacedOwner(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	network.hang, network.hanging = "b", make(chan struct{})
	network.reply = func(string, int) (shardResponse, error) { return okResponse(nil), nil }
	groups[0].set(followerStatus("b"))
	s.onGroupStatus(s.shards[0], followerStatus("b"))
	replies := make(chan shardResponse, 1)
	go func() { replies <- s.forward(timeoutContext(t), replaceRequest) }()
	<-network.hanging
	groups[0].set(followerStatus("c"))
	s.onGroupStatus(s.shards[0], followerStatus("c"))
	if reply := <-replies; reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestServer_Forward_withoutOwnerEndsInTime(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	status := followerStatus("")
	groups[0].set(status)
	network.reply = func(string, int) (shardResponse, error) { return shardResponse{}, errors.New("not to be asked") }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if reply := s.forward(ctx, replaceRequest); reply.Status != http.StatusServiceUnavailable || reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
}

func TestServer_Forward_unknownOutcomeIsNoRejection(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return shardResponse{}, peertransport.ErrOutcomeUnknown }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if reply := s.forward(ctx, replaceRequest); reply.Status != http.StatusServiceUnavailable || reply.Code != int(OutcomeUnknown) {
		t.Fatal(reply)
	}
}

func TestServer_Forward_withoutGroupAsksAnyServer(t *testing.T) {
	s, _, network := newScriptedServer(t)
	s.directory.learn(serverInfo{Address: "x", Zone: "z"})
	network.reply = func(address string, _ int) (shardResponse, error) {
		if address == "x" {
			return notOwnerResponse("y"), nil
		}
		return okResponse(nil), nil
	}
	if reply := s.forward(timeoutContext(t), replaceRequest); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "xy" {
		t.Fatal(reply, network.asked)
	}
}

// TestServer_Forward_outlastsElectionsOfOtherShards changes the owners of other shards whenever the call is rejected.
func TestServer_Forward_outlastsElectionsOfOtherShards(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	s.directory.learn(serverInfo{Address: "x", Zone: "z"})
	const refusals = 8
	network.reply = func(address string, attempt int) (shardResponse, error) {
		if address == "b" {
			return okResponse(nil), nil
		}
		if attempt == refusals {
			groups[0].set(followerStatus("b"))
		}
		s.ownersChanged.notifyAll()
		return notOwnerResponse(""), nil
	}
	if reply := s.forward(timeoutContext(t), replaceRequest); reply.Status != http.StatusOK {
		t.Fatal(reply, network.asked)
	}
}

func TestServer_Forward_hintsAreLimited(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	other := map[string]string{"b": "c", "c": "b"}
	network.reply = func(address string, _ int) (shardResponse, error) { return notOwnerResponse(other[address]), nil }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if reply := s.forward(ctx, replaceRequest); reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
	if len(network.asked) > 1+maxOwnerHints+3 {
		t.Fatal(network.asked)
	}
}
