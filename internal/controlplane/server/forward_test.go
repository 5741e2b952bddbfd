package server

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/bootconfig"
)

// scriptedGroup is a replica whose status and results a test sets.
type scriptedGroup struct {
	mutex   sync.Mutex
	status  replica.Status
	propose func() (any, error)
	submit  func(ctx context.Context, data []byte) (any, error) // in place of propose
	barrier func(ctx context.Context) error                     // nil: at once
}

func (g *scriptedGroup) Step(consensus.Message) {}

func (g *scriptedGroup) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	if g.submit != nil {
		result, err := g.submit(ctx, data)
		return result, 1, err
	}
	result, err := g.propose()
	return result, 1, err
}

func (g *scriptedGroup) ReadBarrier(ctx context.Context) error {
	if g.barrier != nil {
		return g.barrier(ctx)
	}
	return nil
}

func (g *scriptedGroup) ChangeMembers(context.Context, replica.Change) error { return nil }
func (g *scriptedGroup) PromotableLearners() []consensus.MemberID            { return nil }
func (g *scriptedGroup) TransferLeadership(context.Context) error            { return nil }

func (g *scriptedGroup) Status() replica.Status {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.status
}

func (g *scriptedGroup) set(status replica.Status) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.status = status
}

// scriptedNetwork answers calls by a function.
type scriptedNetwork struct {
	mutex sync.Mutex
	asked []string
	reply func(address string, attempt int) (shardResponse, error)

	hang    string        // calls to this address end with their context only
	hanging chan struct{} // one token for each of them
}

func (n *scriptedNetwork) Send(consensus.Member, shards.ID, consensus.Message) {}
func (n *scriptedNetwork) LastReceived(string) time.Time                       { return time.Time{} }
func (n *scriptedNetwork) Peers() []peertransport.PeerStatus                   { return nil }

func (n *scriptedNetwork) Call(ctx context.Context, address string, _ peertransport.CallKind, _ []byte) ([]byte, error) {
	n.mutex.Lock()
	n.asked = append(n.asked, address)
	attempt := len(n.asked)
	n.mutex.Unlock()
	if address == n.hang {
		n.hanging <- struct{}{}
		<-ctx.Done()
		return nil, peertransport.ErrOutcomeUnknown
	}
	reply, err := n.reply(address, attempt)
	if err != nil {
		return nil, err
	}
	return encodeShardResponse(reply)
}

// newScriptedServer returns a keeper whose groups and network a test plays.
func newScriptedServer(t *testing.T) (*Server, [shards.ShardCount]*scriptedGroup, *scriptedNetwork) {
	t.Helper()
	config := bootconfig.Defaults()
	config.IP, config.PortRange = "127.0.0.1", [2]int{7000, 7015}
	self := consensus.Member{ID: 1, Address: "127.0.0.1:7000"}
	s := newServer(config, self, Environment{}, zap.NewNop())
	network := &scriptedNetwork{}
	s.network = network
	var groups [shards.ShardCount]*scriptedGroup
	for i, shard := range s.shards {
		groups[i] = &scriptedGroup{}
		shard.group = groups[i]
	}
	close(s.groupsOpened)
	t.Cleanup(s.Close)
	return s, groups, network
}

func followerStatus(address string) replica.Status {
	return replica.Status{
		Role: consensus.RoleFollower, Leader: consensus.Member{ID: 2, Address: address},
		Members: []consensus.Member{{ID: 1, Address: "127.0.0.1:7000", Voter: true}, {ID: 2, Address: address, Voter: true}},
	}
}

func leaderStatus() replica.Status { return replica.Status{Role: consensus.RoleLeader, Term: 3} }

func timeoutContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), smallCallTimeout)
	t.Cleanup(cancel)
	return ctx
}

var change = shardRequest{Kind: callReplace, Shard: shards.ConfigurationShard, Body: []byte("{}")}

func TestServer_Forward_reachesOwner(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return okResponse([]byte(`{"generation":1}`)), nil }
	reply := s.forward(timeoutContext(t), change)
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
	if reply := s.forward(timeoutContext(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
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
	if reply := s.forward(timeoutContext(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
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
	go func() { replies <- s.forward(timeoutContext(t), change) }()
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
	if reply := s.forward(ctx, change); reply.Status != http.StatusServiceUnavailable || reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
}

func TestServer_Forward_unknownOutcomeIsNoRejection(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return shardResponse{}, peertransport.ErrOutcomeUnknown }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryInterval)
	defer cancel()
	if reply := s.forward(ctx, change); reply.Status != http.StatusServiceUnavailable || reply.Code != int(OutcomeUnknown) {
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
	if reply := s.forward(timeoutContext(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "xy" {
		t.Fatal(reply, network.asked)
	}
}

// TestServer_Forward_outlastsElectionsOfOtherShards has owners of other shards change whenever the call is refused.
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
	if reply := s.forward(timeoutContext(t), change); reply.Status != http.StatusOK {
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
	if reply := s.forward(ctx, change); reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
	if len(network.asked) > 1+maxOwnerHints+3 {
		t.Fatal(network.asked)
	}
}

func TestServer_Execute_responseMatchesProposalOutcome(t *testing.T) {
	accepted := configuration.Outcome{HTTPStatus: http.StatusOK, Generation: 7}
	stale := configuration.Outcome{HTTPStatus: http.StatusPreconditionFailed, Code: configuration.CodeBaseNotCurrent}
	cases := []struct {
		name   string
		result any
		err    error
		status int // 0: not the owner
		leader string
	}{
		{"accepted", accepted, nil, http.StatusOK, ""},
		{"refused when applied", stale, nil, http.StatusPreconditionFailed, ""},
		{"unknown", nil, replica.ErrUnknownOutcome, http.StatusServiceUnavailable, ""},
		{"busy", nil, consensus.ErrTooManyUncommitted, http.StatusServiceUnavailable, ""},
		{"too late", nil, context.DeadlineExceeded, http.StatusServiceUnavailable, ""},
		{"not the leader", nil, replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: "b"}}, 0, "b"},
		{"being handed over", nil, consensus.ErrTransferInProgress, 0, ""},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			s, groups, _ := newScriptedServer(t)
			groups[0].propose = func() (any, error) { return one.result, one.err }
			reply := s.execute(timeoutContext(t), change)
			if reply.Status != one.status || reply.NotOwner != (one.status == 0) || reply.Leader != one.leader {
				t.Fatalf("%+v", reply)
			}
		})
	}
}

func TestServer_Execute_heartbeatWaitsForOwnership(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	id := shards.ForService("s")
	groups[id].set(leaderStatus())
	machine := s.instances(id)
	machine.setLeaderTerm(3)
	proposed := make(chan struct{}, 1)
	groups[id].propose = func() (any, error) {
		proposed <- struct{}{}
		return nil, replica.ErrUnknownOutcome
	}
	heartbeat := shardRequest{Kind: callHeartbeat, Shard: id, ID: "i", Body: []byte(heartbeatJSON("ready", 1))}
	replies := make(chan shardResponse, 1)
	ctx := timeoutContext(t)
	go func() { replies <- s.execute(ctx, heartbeat) }()
	select {
	case <-proposed:
		t.Fatal("proposed before the shard is owned")
	case <-time.After(2 * ownerRetryInterval):
	}
	machine.ownershipGained(time.Now(), 2) // of an earlier term: no
	machine.ownershipGained(time.Now(), 3)
	s.ownersChanged.notifyAll()
	if reply := <-replies; reply.Status != http.StatusServiceUnavailable {
		t.Fatal(reply)
	}
	machine.setLeaderTerm(0)
	groups[id].set(followerStatus("b"))
	if reply := s.execute(ctx, heartbeat); !reply.NotOwner || reply.Leader != "b" {
		t.Fatal(reply)
	}
}

func TestServer_Execute_staleOwnerAcknowledgesNothing(t *testing.T) {
	s, group, heartbeat := newServerWithInstance(t)
	id := shards.ForService(presentService)
	group.propose = func() (any, error) { return nil, replica.ErrUnknownOutcome }
	status := leaderStatus()
	status.ConfirmedAge = 2 * currentMaxAge
	group.set(status)
	s.instances(id).setLeaderTerm(3)
	s.instances(id).ownershipGained(time.Now(), 3)
	unchanged := shardRequest{Kind: callHeartbeat, Shard: id, ID: heartbeat.ID, Body: []byte(heartbeatJSON("ready", 1))}
	departure := shardRequest{Kind: callDeregister, Shard: id, ID: "i-unknown"}
	for _, one := range []shardRequest{unchanged, departure} {
		if reply := s.execute(timeoutContext(t), one); reply.Status != http.StatusServiceUnavailable {
			t.Fatal(one.Kind, reply)
		}
	}
	group.set(leaderStatus())
	if reply := s.execute(timeoutContext(t), unchanged); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if reply := s.execute(timeoutContext(t), departure); reply.Status != http.StatusServiceUnavailable {
		t.Fatal("a departure is acknowledged before it is committed", reply)
	}
	group.propose = func() (any, error) { return registry.Outcome{Status: http.StatusOK}, nil }
	if reply := s.execute(timeoutContext(t), departure); reply.Status != http.StatusOK || reply.Known {
		t.Fatal(reply)
	}
}

// serveAPI runs the API of a scripted keeper.
func serveAPI(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	api := newAPIServer(s, listener)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = api.Run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return "http://" + listener.Addr().String()
}

func TestAPI_rejectsByTheRulesOnly(t *testing.T) {
	s, groups, network := newScriptedServer(t)
	groups[0].set(followerStatus("b"))
	network.reply = func(string, int) (shardResponse, error) { return errorResponse(OutcomeUnknown), nil }
	address := serveAPI(t, s)
	cases := []struct {
		name, path, base, body string
		status                 int
	}{
		{"unknown outcome", "/-/Config.Replace", "0", configurationJSON(1), http.StatusServiceUnavailable},
		{"no JSON", "/-/Config.Replace", "0", "{", http.StatusBadRequest},
		{"bad base", "/-/Config.Replace", "x", configurationJSON(1), http.StatusBadRequest},
		{"no such call", "/-/Config.Remove", "0", "", http.StatusNotFound},
		{"no JSON in a heartbeat", "/-/Instances.Heartbeat/i", "0", "{", http.StatusBadRequest},
		{"a heartbeat that is too large", "/-/Instances.Heartbeat/i", "0", strings.Repeat(" ", maxHeartbeatBytes+1), http.StatusRequestEntityTooLarge},
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clusterTimeout}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+one.path, bytes.NewReader([]byte(one.body)))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerBaseVersion, one.base)
			response, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != one.status {
				t.Fatal(response.Status)
			}
			if retry := response.Header.Get("Retry-After"); (retry != "") != (one.status == http.StatusServiceUnavailable) {
				t.Fatalf("Retry-After %q", retry)
			}
		})
	}
}

func TestCodes_unique(t *testing.T) {
	seen := map[Code]bool{}
	for _, entry := range Codes() {
		if seen[entry.Code] || entry.Name == "" || entry.Text == "" {
			t.Errorf("%d %q", entry.Code, entry.Name)
		}
		seen[entry.Code] = true
	}
}
