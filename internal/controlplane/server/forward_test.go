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
	reply func(address string, attempt int) (answer, error)

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
	return encodeAnswer(reply)
}

// scripted returns a keeper whose groups and network a test plays.
func scripted(t *testing.T) (*Keeper, [shards.Count]*scriptedGroup, *scriptedNetwork) {
	t.Helper()
	config := bootconfig.Defaults()
	config.IP, config.PortRange = "127.0.0.1", [2]int{7000, 7015}
	self := consensus.Member{ID: 1, Address: "127.0.0.1:7000"}
	k := newKeeper(config, self, Environment{}, zap.NewNop())
	network := &scriptedNetwork{}
	k.network = network
	var groups [shards.Count]*scriptedGroup
	for i, shard := range k.shards {
		groups[i] = &scriptedGroup{}
		shard.group = groups[i]
	}
	close(k.opened)
	t.Cleanup(k.Close)
	return k, groups, network
}

func followerOf(address string) replica.Status {
	return replica.Status{
		Role: consensus.RoleFollower, Leader: consensus.Member{ID: 2, Address: address},
		Members: []consensus.Member{{ID: 1, Address: "127.0.0.1:7000", Voter: true}, {ID: 2, Address: address, Voter: true}},
	}
}

func leaderStatus() replica.Status { return replica.Status{Role: consensus.RoleLeader, Term: 3} }

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), smallCallBudget)
	t.Cleanup(cancel)
	return ctx
}

var change = call{Kind: callReplace, Shard: shards.Configuration, Body: []byte("{}")}

func TestCarryHandsTheCallToTheOwner(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	network.reply = func(string, int) (answer, error) { return succeeded([]byte(`{"generation":1}`)), nil }
	reply := k.carry(limited(t), change)
	if reply.Status != http.StatusOK || string(reply.Body) != `{"generation":1}` || network.asked[0] != "b" {
		t.Fatal(reply, network.asked)
	}
}

func TestCarryFollowsTheNewOwner(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	network.reply = func(address string, _ int) (answer, error) {
		if address == "b" {
			return notOwner("c"), nil
		}
		return succeeded(nil), nil
	}
	if reply := k.carry(limited(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestCarryWaitsForAnElection(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	network.reply = func(address string, _ int) (answer, error) {
		if address == "b" {
			groups[0].set(followerOf("c"))
			k.ownersChanged.raise()
			return answer{}, peertransport.ErrNotSent
		}
		return succeeded(nil), nil
	}
	if reply := k.carry(limited(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestCarryLeavesAnOwnerThatAnotherReplaced(t *testing.T) {
	k, groups, network := scripted(t)
	network.hang, network.hanging = "b", make(chan struct{})
	network.reply = func(string, int) (answer, error) { return succeeded(nil), nil }
	groups[0].set(followerOf("b"))
	k.onStatus(k.shards[0], followerOf("b"))
	replies := make(chan answer, 1)
	go func() { replies <- k.carry(limited(t), change) }()
	<-network.hanging
	groups[0].set(followerOf("c"))
	k.onStatus(k.shards[0], followerOf("c"))
	if reply := <-replies; reply.Status != http.StatusOK || strings.Join(network.asked, "") != "bc" {
		t.Fatal(reply, network.asked)
	}
}

func TestCarryWithoutAnOwnerEndsInTime(t *testing.T) {
	k, groups, network := scripted(t)
	status := followerOf("")
	groups[0].set(status)
	network.reply = func(string, int) (answer, error) { return answer{}, errors.New("not to be asked") }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryPause)
	defer cancel()
	if reply := k.carry(ctx, change); reply.Status != http.StatusServiceUnavailable || reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
}

func TestCarryOfUnknownOutcomeIsNoRefusal(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	network.reply = func(string, int) (answer, error) { return answer{}, peertransport.ErrOutcomeUnknown }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryPause)
	defer cancel()
	if reply := k.carry(ctx, change); reply.Status != http.StatusServiceUnavailable || reply.Code != int(OutcomeUnknown) {
		t.Fatal(reply)
	}
}

func TestCarryAsksAnyKeeperWithoutAGroup(t *testing.T) {
	k, _, network := scripted(t)
	k.directory.learn(keeperInfo{Address: "x", Zone: "z"})
	network.reply = func(address string, _ int) (answer, error) {
		if address == "x" {
			return notOwner("y"), nil
		}
		return succeeded(nil), nil
	}
	if reply := k.carry(limited(t), change); reply.Status != http.StatusOK || strings.Join(network.asked, "") != "xy" {
		t.Fatal(reply, network.asked)
	}
}

// TestCarryOutlastsTheElectionsOfOtherShards has owners of other shards change whenever the call is refused.
func TestCarryOutlastsTheElectionsOfOtherShards(t *testing.T) {
	k, groups, network := scripted(t)
	k.directory.learn(keeperInfo{Address: "x", Zone: "z"})
	const refusals = 8
	network.reply = func(address string, attempt int) (answer, error) {
		if address == "b" {
			return succeeded(nil), nil
		}
		if attempt == refusals {
			groups[0].set(followerOf("b"))
		}
		k.ownersChanged.raise()
		return notOwner(""), nil
	}
	if reply := k.carry(limited(t), change); reply.Status != http.StatusOK {
		t.Fatal(reply, network.asked)
	}
}

func TestCarryIsNotPassedRound(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	other := map[string]string{"b": "c", "c": "b"}
	network.reply = func(address string, _ int) (answer, error) { return notOwner(other[address]), nil }
	ctx, cancel := context.WithTimeout(t.Context(), 3*ownerRetryPause)
	defer cancel()
	if reply := k.carry(ctx, change); reply.Code != int(NoOwner) {
		t.Fatal(reply)
	}
	if len(network.asked) > 1+maxHints+3 {
		t.Fatal(network.asked)
	}
}

func TestOwnerAnswersByTheProposalsEnd(t *testing.T) {
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
			k, groups, _ := scripted(t)
			groups[0].propose = func() (any, error) { return one.result, one.err }
			reply := k.execute(limited(t), change)
			if reply.Status != one.status || reply.NotOwner != (one.status == 0) || reply.Leader != one.leader {
				t.Fatalf("%+v", reply)
			}
		})
	}
}

func TestBeatWaitsForOwnership(t *testing.T) {
	k, groups, _ := scripted(t)
	id := shards.Of("s")
	groups[id].set(leaderStatus())
	machine := k.instances(id)
	machine.setLeading(3)
	proposed := make(chan struct{}, 1)
	groups[id].propose = func() (any, error) {
		proposed <- struct{}{}
		return nil, replica.ErrUnknownOutcome
	}
	beat := call{Kind: callBeat, Shard: id, ID: "i", Body: []byte(beatOf("ready", 1))}
	replies := make(chan answer, 1)
	ctx := limited(t)
	go func() { replies <- k.execute(ctx, beat) }()
	select {
	case <-proposed:
		t.Fatal("proposed before the shard is owned")
	case <-time.After(2 * ownerRetryPause):
	}
	machine.gained(time.Now(), 2) // of an earlier term: no
	machine.gained(time.Now(), 3)
	k.ownersChanged.raise()
	if reply := <-replies; reply.Status != http.StatusServiceUnavailable {
		t.Fatal(reply)
	}
	machine.setLeading(0)
	groups[id].set(followerOf("b"))
	if reply := k.execute(ctx, beat); !reply.NotOwner || reply.Leader != "b" {
		t.Fatal(reply)
	}
}

func TestStaleOwnerAcknowledgesNothing(t *testing.T) {
	k, group, beat := withRecord(t)
	id := shards.Of(presentService)
	group.propose = func() (any, error) { return nil, replica.ErrUnknownOutcome }
	status := leaderStatus()
	status.ConfirmedAge = 2 * currencyAge
	group.set(status)
	k.instances(id).setLeading(3)
	k.instances(id).gained(time.Now(), 3)
	unchanged := call{Kind: callBeat, Shard: id, ID: beat.ID, Body: []byte(beatOf("ready", 1))}
	departure := call{Kind: callDeregister, Shard: id, ID: "i-unknown"}
	for _, one := range []call{unchanged, departure} {
		if reply := k.execute(limited(t), one); reply.Status != http.StatusServiceUnavailable {
			t.Fatal(one.Kind, reply)
		}
	}
	group.set(leaderStatus())
	if reply := k.execute(limited(t), unchanged); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if reply := k.execute(limited(t), departure); reply.Status != http.StatusServiceUnavailable {
		t.Fatal("a departure is acknowledged before it is committed", reply)
	}
	group.propose = func() (any, error) { return registry.Outcome{Status: http.StatusOK}, nil }
	if reply := k.execute(limited(t), departure); reply.Status != http.StatusOK || reply.Known {
		t.Fatal(reply)
	}
}

// serveAPI runs the API of a scripted keeper.
func serveAPI(t *testing.T, k *Keeper) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	api := newAPI(k, listener)
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

func TestAPIRefusesByTheRulesOnly(t *testing.T) {
	k, groups, network := scripted(t)
	groups[0].set(followerOf("b"))
	network.reply = func(string, int) (answer, error) { return failed(OutcomeUnknown), nil }
	address := serveAPI(t, k)
	cases := []struct {
		name, path, base, body string
		status                 int
	}{
		{"unknown outcome", "/-/Config.Replace", "0", configurationOf(1), http.StatusServiceUnavailable},
		{"no JSON", "/-/Config.Replace", "0", "{", http.StatusBadRequest},
		{"bad base", "/-/Config.Replace", "x", configurationOf(1), http.StatusBadRequest},
		{"no such call", "/-/Config.Remove", "0", "", http.StatusNotFound},
		{"no JSON in a heartbeat", "/-/Instances.Heartbeat/i", "0", "{", http.StatusBadRequest},
		{"a heartbeat that is too large", "/-/Instances.Heartbeat/i", "0", strings.Repeat(" ", maxBeatBytes+1), http.StatusRequestEntityTooLarge},
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: fleetLimit}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+one.path, bytes.NewReader([]byte(one.body)))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set(headerBase, one.base)
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

func TestCodesAreUnique(t *testing.T) {
	seen := map[Code]bool{}
	for _, entry := range Codes() {
		if seen[entry.Code] || entry.Name == "" || entry.Text == "" {
			t.Errorf("%d %q", entry.Code, entry.Name)
		}
		seen[entry.Code] = true
	}
}
