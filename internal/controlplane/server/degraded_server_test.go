package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
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

const (
	ownerAddress  = "127.0.0.1:7100"
	currentNumber = 7 // generation in force
	removedID     = "i-gone"
)

// ability tells what a keeper in some trouble can find out or have done.
type ability uint8

const (
	canChange      ability = 1 << iota // a majority decides on a change
	canRead                            // a majority confirms what is newest
	canAcknowledge                     // this keeper or an owner is current, for heartbeats that change nothing
)

// scene is a keeper in trouble, and perhaps another one that owns all shards.
type scene struct {
	keeper *Keeper
	groups [shards.Count]*scriptedGroup
	owner  *Keeper
	link   *ownerLink
}

// ownerLink is the network of a keeper that reaches the owner alone.
type ownerLink struct {
	scriptedNetwork
	owner *Keeper
	lost  error // of each answer
	mute  bool  // nothing is carried out, and nothing comes back
}

func (l *ownerLink) Call(ctx context.Context, _ string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if l.mute {
		<-ctx.Done()
		return nil, peertransport.ErrOutcomeUnknown
	}
	if l.owner == nil {
		return nil, peertransport.ErrNotSent
	}
	reply, err := l.owner.Call(ctx, peertransport.Hello{}, kind, body)
	if l.lost != nil {
		return nil, l.lost
	}
	return reply, err
}

// seed gives a keeper's replicas the state of the tables below.
func seed(t *testing.T, k *Keeper) {
	t.Helper()
	apply := func(shard shards.ID, index uint64, data []byte) {
		k.shards[shard].machine.Apply(consensus.Entry{Index: index, Data: data})
	}
	for index, change := range []configuration.Command{
		{Kind: configuration.CommandReplace, Base: 0, Body: []byte(configurationOf(3))},
		{Kind: configuration.CommandReplace, Base: 3, Body: []byte(configurationOf(currentNumber))},
	} {
		apply(shards.Configuration, uint64(index+1), configuration.EncodeCommand(change))
	}
	for index, id := range []string{removedID, presentID} {
		beat, err := registry.ParseHeartbeat(id, []byte(beatOf("ready", 1)))
		if err != nil {
			t.Fatal(err)
		}
		apply(shards.Of(presentService), uint64(2*index+1), registry.EncodePut(beat.Instance, 1))
		if id == removedID {
			apply(shards.Of(presentService), 2, registry.EncodeRemove(id, registry.Deregistered, 1))
		}
	}
}

// decideHere has the groups of a keeper commit what is proposed at once.
func decideHere(k *Keeper, groups [shards.Count]*scriptedGroup) {
	for i, group := range groups {
		index := uint64(10)
		group.submit = func(_ context.Context, data []byte) (any, error) {
			index++
			return k.shards[i].machine.Apply(consensus.Entry{Index: index, Data: data}), nil
		}
		group.set(leaderStatus())
		k.shards[i].machine.setLeading(3)
		k.shards[i].machine.gained(time.Now(), 3)
	}
}

// everyGroup sets the groups' status and what becomes of proposals and reads.
func (s *scene) everyGroup(status replica.Status, refusal error) {
	for i, group := range s.groups {
		group.set(status)
		group.submit = func(ctx context.Context, _ []byte) (any, error) { return nil, fails(ctx, refusal) }
		group.barrier = func(ctx context.Context) error { return fails(ctx, refusal) }
		if status.IsLeader() {
			s.keeper.shards[i].machine.setLeading(status.Term)
			s.keeper.shards[i].machine.gained(time.Now(), status.Term)
		}
	}
}

// fails returns the error, or waits for the context's end where it is nil.
func fails(ctx context.Context, refusal error) error {
	if refusal == nil {
		<-ctx.Done()
		return replica.ErrUnknownOutcome
	}
	return refusal
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{link: &ownerLink{}}
	s.keeper, s.groups, _ = scripted(t)
	s.keeper.network = s.link
	seed(t, s.keeper)
	config := bootconfig.Defaults()
	config.IP, config.PortRange = "127.0.0.1", [2]int{7100, 7115}
	s.owner = newKeeper(config, consensus.Member{ID: 2, Address: ownerAddress}, Environment{}, zap.NewNop())
	t.Cleanup(s.owner.Close)
	var groups [shards.Count]*scriptedGroup
	for i, shard := range s.owner.shards {
		groups[i] = &scriptedGroup{}
		shard.group = groups[i]
	}
	seed(t, s.owner)
	decideHere(s.owner, groups)
	return s
}

// stale is a status whose contact with a majority was so long ago.
func stale(status replica.Status, age time.Duration) replica.Status {
	status.ConfirmedAge = age
	return status
}

// troubles are the states of a keeper, with what it is able to answer in each.
var troubles = []struct {
	name string
	able ability
	set  func(s *scene)
}{
	{"it leads", canChange | canRead | canAcknowledge, func(s *scene) { decideHere(s.keeper, s.groups) }},
	{"it leads, cut off a moment ago", canAcknowledge, func(s *scene) { s.everyGroup(leaderStatus(), nil) }},
	{"it leads, cut off", 0, func(s *scene) { s.everyGroup(stale(leaderStatus(), 2*currencyAge), nil) }},
	{"it leads, too many proposals wait", canAcknowledge, func(s *scene) { s.everyGroup(leaderStatus(), consensus.ErrTooManyUncommitted) }},
	{"it leads, its disk is full", canAcknowledge, func(s *scene) { s.everyGroup(leaderStatus(), consensus.ErrTransferInProgress) }},
	{"it led until now", canChange | canRead | canAcknowledge, func(s *scene) {
		s.everyGroup(leaderStatus(), replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: ownerAddress}})
		s.link.owner = s.owner
	}},
	{"it has closed its groups", 0, func(s *scene) { s.everyGroup(stale(followerOf(""), 2*currencyAge), replica.ErrClosed) }},
	{"it follows", canChange | canRead | canAcknowledge, func(s *scene) {
		s.everyGroup(followerOf(ownerAddress), replica.NotLeaderError{})
		s.link.owner = s.owner
	}},
	{"it follows, behind", canChange | canRead | canAcknowledge, func(s *scene) {
		s.everyGroup(stale(followerOf(ownerAddress), 2*currencyAge), replica.NotLeaderError{})
		s.link.owner = s.owner
	}},
	{"it follows, answers are lost", canAcknowledge, func(s *scene) {
		s.everyGroup(followerOf(ownerAddress), replica.NotLeaderError{})
		s.link.owner, s.link.lost = s.owner, peertransport.ErrOutcomeUnknown
	}},
	{"it follows, the owner is mute", canAcknowledge, func(s *scene) {
		s.everyGroup(followerOf(ownerAddress), replica.NotLeaderError{})
		s.link.mute = true
	}},
	{"it follows, cut off", 0, func(s *scene) { s.everyGroup(stale(followerOf(ownerAddress), 2*lostContactAge), nil) }},
	{"it follows nobody, cut off", 0, func(s *scene) { s.everyGroup(stale(followerOf(""), 2*lostContactAge), nil) }},
	{"it follows nobody, an election", canAcknowledge, func(s *scene) { s.everyGroup(followerOf(""), nil) }},
	{"it has no group, and is alone", 0, func(s *scene) { s.everyGroup(stale(replica.Status{}, 2*lostContactAge), nil) }},
	{"it has no group, and knows the owner", canChange | canRead | canAcknowledge, func(s *scene) {
		s.everyGroup(stale(replica.Status{}, 2*lostContactAge), nil)
		s.keeper.directory.learn(keeperInfo{Address: ownerAddress, Zone: "z"})
		s.link.owner = s.owner
	}},
	{"it is leaving", canChange | canRead | canAcknowledge, func(s *scene) {
		s.everyGroup(followerOf(ownerAddress), replica.NotLeaderError{})
		s.keeper.leaving.Store(true)
		s.link.owner = s.owner
	}},
}

// calls are calls with their answer where the keeper is able to give one; elsewhere it is 503. What needs nothing is
// answered anywhere: what is invalid whatever the state is, and what the replica knows for good.
var calls = []struct {
	name    string
	request APIRequest
	needs   ability
	status  int
}{
	{"a change", changeRequest(APIReplace, "7", configurationOf(9)), canChange, http.StatusOK},
	{"an update", changeRequest(APIUpdate, "7", `{"generation":9}`), canChange, http.StatusOK},
	{"a repeat", changeRequest(APIReplace, "3", configurationOf(currentNumber)), canChange, http.StatusOK},
	{"an older repeat", changeRequest(APIReplace, "", configurationOf(3)), canChange, http.StatusOK},
	{"a lost race", changeRequest(APIReplace, "3", configurationOf(9)), canChange, http.StatusPreconditionFailed},
	{"a base to come", changeRequest(APIReplace, "8", configurationOf(9)), canChange, http.StatusServiceUnavailable},
	{"a service that is removed but used", changeRequest(APIUpdate, "7", `{"generation":9,"remove":{"services":["s"]}}`), canChange, http.StatusBadRequest},
	{"no JSON", changeRequest(APIReplace, "7", "{"), 0, http.StatusBadRequest},
	{"no service of that name", changeRequest(APIReplace, "7", strings.Replace(configurationOf(9), `"service":"s"`, `"service":"x"`, 1)), 0, http.StatusBadRequest},
	{"a number not above its base", changeRequest(APIUpdate, "7", `{"generation":7}`), 0, http.StatusBadRequest},
	{"a base that is no number", changeRequest(APIReplace, "x", configurationOf(9)), 0, http.StatusBadRequest},
	{"a read", APIRequest{Call: APIRead}, canRead, http.StatusOK},
	{"a heartbeat that changes nothing", beatRequest(presentID, beatOf("ready", 2)), canAcknowledge, http.StatusOK},
	{"a drain", beatRequest(presentID, beatOf("draining", 2)), canChange, http.StatusOK},
	{"a new instance", beatRequest("i-new", beatOf("ready", 1)), canChange, http.StatusOK},
	{"a heartbeat after its end", beatRequest(removedID, beatOf("ready", 2)), canAcknowledge, http.StatusOK},
	{"a heartbeat that is no JSON", beatRequest(presentID, "{"), 0, http.StatusBadRequest},
	{"a heartbeat that is too large", beatRequest(presentID, strings.Repeat(" ", maxBeatBytes+1)), 0, http.StatusRequestEntityTooLarge},
	{"a departure", APIRequest{Call: APIDeregister, ID: presentID}, canChange, http.StatusOK},
	{"a departure of one that is not known", APIRequest{Call: APIDeregister, ID: "i-unknown"}, canChange, http.StatusOK},
	{"a departure again", APIRequest{Call: APIDeregister, ID: removedID}, 0, http.StatusOK},
	{"a departure of nobody", APIRequest{Call: APIDeregister}, 0, http.StatusBadRequest},
	{"no such call", APIRequest{}, 0, http.StatusNotFound},
}

func changeRequest(kind APICall, base, body string) APIRequest {
	return APIRequest{Call: kind, Base: base, Body: []byte(body)}
}

func beatRequest(id, body string) APIRequest {
	return APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)}
}

// askInTrouble makes a call to a keeper in a state, with guards left out, and returns what is wrong with its answer.
func askInTrouble(t *testing.T, trouble, one int, omit ...Guard) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t)
		s.keeper.outside.Omit = omit
		troubles[trouble].set(s)
		want := calls[one].status
		if needs := calls[one].needs; troubles[trouble].able&needs != needs {
			want = http.StatusServiceUnavailable
		}
		began := time.Now()
		reply := s.keeper.Handle(t.Context(), calls[one].request)
		if reply.Status != want {
			wrong = fmt.Sprintf("%d, not %d: %s", reply.Status, want, reply.Body)
		}
		if took := time.Since(began); took > smallCallBudget {
			wrong = fmt.Sprintf("it comes after %v", took)
		}
	})
	return wrong
}

// TestAnswersInTrouble makes each call to a keeper in each state. What depends on the state of the system is refused by a
// majority alone, and nothing is acknowledged that is not recorded; where there is no majority, 503 comes in time.
func TestAnswersInTrouble(t *testing.T) {
	for trouble := range troubles {
		for one := range calls {
			t.Run(troubles[trouble].name+"/"+calls[one].name, func(t *testing.T) {
				if wrong := askInTrouble(t, trouble, one); wrong != "" {
					t.Fatal(wrong)
				}
			})
		}
	}
}

// Each guard is needed: without it some call in some state has another answer.
func TestGuardsAreMissedInTrouble(t *testing.T) {
	for _, guard := range []Guard{GuardReadConfirmed, GuardBeatCurrent, GuardBeatRecorded} {
		missed := 0
		for trouble := range troubles {
			for one := range calls {
				if wrong := askInTrouble(t, trouble, one, guard); wrong != "" {
					missed++
				}
			}
		}
		if missed == 0 {
			t.Errorf("nothing is wrong without %s", guard)
		}
		t.Logf("without %s: %d answers of %d are wrong", guard, missed, len(troubles)*len(calls))
	}
}

// An answer that no owner gives is none: it may belong to something else.
func TestOtherAnswersAreNone(t *testing.T) {
	for _, status := range []int{0, 1, 100, 204, 307, 500, 502, 1000} {
		encoded, err := encodeAnswer(answer{Status: status})
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := decodeAnswer(encoded); err == nil {
			t.Errorf("%+v", reply)
		}
	}
	for _, clear := range []answer{succeeded(nil), failed(NoOwner), notOwner(""), {Status: http.StatusPreconditionFailed}} {
		encoded, err := encodeAnswer(clear)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeAnswer(encoded); err != nil {
			t.Errorf("%+v: %v", clear, err)
		}
		if _, err := decodeAnswer(encoded[:len(encoded)-1]); err == nil {
			t.Errorf("%+v is cut short and taken", clear)
		}
	}
}
