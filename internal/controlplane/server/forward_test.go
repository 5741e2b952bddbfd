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
	response := s.forward(timeoutContext(t), replaceRequest)
	if response.Status != http.StatusOK || string(response.Body) != `{"generation":1}` || network.calledAddresses[0] != "b" {
		t.Fatalf("forward returned %+v after calls to %q, want the response of b", response, network.calledAddresses)
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
	if response := s.forward(timeoutContext(t), replaceRequest); response.Status != http.StatusOK || strings.Join(network.calledAddresses, "") != "bc" {
		t.Fatalf("forward returned %+v after calls to %q, want status 200 from c after the hint of b", response, network.calledAddresses)
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
	if response := s.forward(timeoutContext(t), replaceRequest); response.Status != http.StatusOK || strings.Join(network.calledAddresses, "") != "bc" {
		t.Fatalf("forward returned %+v after calls to %q, want status 200 from the new leader c after the failed call to b", response, network.calledAddresses)
	}
}

func TestServer_Forward_abandonsReplacedOwner(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	network.hangAddress, network.hangingCalls = "b", make(chan struct{})
	network.reply = func(string, int) (shardResponse, error) { return okResponse(nil), nil }
	groups[0].set(followerStatus("b"))
	s.onGroupStatus(s.shards[0], followerStatus("b"))
	responses := make(chan shardResponse, 1)
	go func() { responses <- s.forward(timeoutContext(t), replaceRequest) }()
	<-network.hangingCalls
	groups[0].set(followerStatus("c"))
	s.onGroupStatus(s.shards[0], followerStatus("c"))
	if response := <-responses; response.Status != http.StatusOK || strings.Join(network.calledAddresses, "") != "bc" {
		t.Fatalf("forward returned %+v after calls to %q, want status 200 from the new leader c after the canceled call to b", response, network.calledAddresses)
	}
}

func TestServer_Forward_withoutOwnerEndsInTime(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus(""))
	network.reply = func(string, int) (shardResponse, error) { return shardResponse{}, errors.New("unexpected call") }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if response := s.forward(ctx, replaceRequest); response.Status != http.StatusServiceUnavailable || response.Code != int(NoOwner) {
		t.Fatalf("forward without an owner returned %+v, want status 503 and code %d", response, NoOwner)
	}
}

func TestServer_Forward_unknownOutcomeIsNoRejection(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return shardResponse{}, peertransport.ErrOutcomeUnknown }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if response := s.forward(ctx, replaceRequest); response.Status != http.StatusServiceUnavailable || response.Code != int(OutcomeUnknown) {
		t.Fatalf("forward after calls with unknown outcomes returned %+v, want status 503 and code %d", response, OutcomeUnknown)
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
	if response := s.forward(timeoutContext(t), replaceRequest); response.Status != http.StatusOK || strings.Join(network.calledAddresses, "") != "xy" {
		t.Fatalf("forward returned %+v after calls to %q, want status 200 from y after the hint of x", response, network.calledAddresses)
	}
}

// TestServer_Forward_outlastsElectionsOfOtherShards changes the owners of other shards whenever a server answers that it is not the owner.
// These changes must not make forward give up before the owner is known.
func TestServer_Forward_outlastsElectionsOfOtherShards(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	s.directory.learn(serverInfo{Address: "x", Zone: "z"})
	const notOwnerResponses = 8
	network.reply = func(address string, attempt int) (shardResponse, error) {
		if address == "b" {
			return okResponse(nil), nil
		}
		if attempt == notOwnerResponses {
			groups[0].set(followerStatus("b"))
		}
		s.ownersChanged.notifyAll()
		return notOwnerResponse(""), nil
	}
	if response := s.forward(timeoutContext(t), replaceRequest); response.Status != http.StatusOK {
		t.Fatalf("forward returned %+v after calls to %q, want status 200 from b", response, network.calledAddresses)
	}
}

func TestServer_Forward_hintsAreLimited(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	other := map[string]string{"b": "c", "c": "b"}
	network.reply = func(address string, _ int) (shardResponse, error) { return notOwnerResponse(other[address]), nil }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if response := s.forward(ctx, replaceRequest); response.Code != int(NoOwner) {
		t.Fatalf("forward to servers that name each other returned %+v, want code %d", response, NoOwner)
	}
	if len(network.calledAddresses) > 1+maxOwnerHints+3 {
		t.Fatalf("%d calls to servers that name each other, want at most %d: %q", len(network.calledAddresses), 1+maxOwnerHints+3, network.calledAddresses)
	}
}
