package server

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"unsafe"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route/param"

	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
)

// The HTTP server uses the memory of a request again as soon as its handler has returned. What outlives the handler must
// be a copy: a proposal that waits for its group, a call that waits for its peer, and what a keeper remembers.

// heldRequest is a request whose memory the test spoils after its handler has returned.
type heldRequest struct {
	context *app.RequestContext
	memory  [][]byte
}

func (h *heldRequest) hold(text string) []byte {
	memory := []byte(text)
	h.memory = append(h.memory, memory)
	return memory
}

// newHeldRequest lays out a request as the server does: its parameter and body are memory of the connection.
func newHeldRequest(id, base, body string) *heldRequest {
	h := &heldRequest{context: app.NewContext(1)}
	if id != "" {
		memory := h.hold(id)
		value := unsafe.String(&memory[0], len(memory))
		h.context.Params = append(h.context.Params, param.Param{Key: parameterID, Value: value})
	}
	h.context.Request.SetBodyRaw(h.hold(body))
	h.context.Request.Header.Set(headerBase, base)
	return h
}

// spoil overwrites the request's memory, as its connection's next request does.
func (h *heldRequest) spoil() {
	for _, memory := range h.memory {
		for i := range memory {
			memory[i] = '#'
		}
	}
	h.context.Reset()
}

// keptProposals are the proposals that a group was given and has not decided on.
type keptProposals struct {
	mutex sync.Mutex
	kept  [][]byte
	then  [][]byte // copies of the same, made at once
}

func (p *keptProposals) keep(data []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.kept = append(p.kept, data)
	p.then = append(p.then, bytes.Clone(data))
}

func (p *keptProposals) check(t *testing.T) {
	t.Helper()
	if len(p.kept) == 0 {
		t.Fatal("nothing was kept")
	}
	for i, data := range p.kept {
		if !bytes.Equal(data, p.then[i]) || bytes.Contains(data, []byte("####")) {
			t.Errorf("%q has become %q", p.then[i], data)
		}
	}
}

// held are calls that may outlive their handler.
var held = []struct {
	name     string
	kind     APICall
	id, body string
}{
	{"a whole configuration", APIReplace, "", configurationOf(9)},
	{"a change", APIUpdate, "", `{"generation":9}`},
	{"a heartbeat", APIHeartbeat, "i-new", beatOf("ready", 1)},
	{"a drain", APIHeartbeat, presentID, beatOf("draining", 2)},
	{"a departure", APIDeregister, presentID, ""},
}

func TestProposalOwnsItsBytes(t *testing.T) {
	for _, one := range held {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t)
				s.everyGroup(leaderStatus(), nil)
				proposals := &keptProposals{}
				for _, group := range s.groups {
					group.submit = func(ctx context.Context, data []byte) (any, error) {
						proposals.keep(data)
						<-ctx.Done()
						return nil, replica.ErrUnknownOutcome
					}
				}
				request := newHeldRequest(one.id, "7", one.body)
				s.keeper.adapt(one.kind)(t.Context(), request.context)
				if status := request.context.Response.StatusCode(); status != http.StatusServiceUnavailable {
					t.Fatal(status)
				}
				request.spoil()
				proposals.check(t)
			})
		})
	}
}

func TestForwardedCallOwnsItsBytes(t *testing.T) {
	for _, one := range held {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t)
				s.everyGroup(followerOf(ownerAddress), nil)
				calls := &keptProposals{}
				s.keeper.network = &keepingNetwork{calls: calls}
				request := newHeldRequest(one.id, "7", one.body)
				s.keeper.adapt(one.kind)(t.Context(), request.context)
				request.spoil()
				calls.check(t)
			})
		})
	}
}

// keepingNetwork keeps the calls that it is given, and answers none.
type keepingNetwork struct {
	scriptedNetwork
	calls *keptProposals
}

func (n *keepingNetwork) Call(ctx context.Context, _ string, _ peertransport.CallKind, body []byte) ([]byte, error) {
	n.calls.keep(body)
	<-ctx.Done()
	return nil, peertransport.ErrOutcomeUnknown
}

// A keeper remembers instances by their IDs, which come in the request's memory.
func TestWhatIsRememberedOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t)
		s.everyGroup(followerOf(ownerAddress), nil)
		request := newHeldRequest(presentID, "", beatOf("ready", 5))
		s.keeper.adapt(APIHeartbeat)(t.Context(), request.context)
		request.spoil()
		drained := s.keeper.presences.take(shards.Of(presentService))
		if len(drained) != 1 || drained[0].ID != presentID {
			t.Fatal(drained)
		}
		decideHere(s.keeper, s.groups)
		request = newHeldRequest("i-new", "", beatOf("ready", 1))
		s.keeper.adapt(APIHeartbeat)(t.Context(), request.context)
		request.spoil()
		machine := s.keeper.instances(shards.Of(presentService))
		if machine.store.Instance("i-new") == nil {
			t.Fatal(machine.store.Instances(""))
		}
	})
}

// A configuration that is in force does not change with the memory of the entry or of the answers that tell of it.
func TestConfigurationOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene(t)
		decideHere(s.keeper, s.groups)
		data := configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandReplace, Base: currentNumber, Body: []byte(configurationOf(9))})
		if _, err := s.groups[0].submit(t.Context(), data); err != nil {
			t.Fatal(err)
		}
		clear(data)
		first := s.keeper.Handle(t.Context(), APIRequest{Call: APIRead})
		clear(first.Body)
		if second := s.keeper.Handle(t.Context(), APIRequest{Call: APIRead}); string(second.Body) != configurationOf(9) {
			t.Fatalf("%s", second.Body)
		}
		changes, snapshot := s.keeper.Since(shards.Configuration, 0)
		if len(changes) == 0 && snapshot == nil {
			t.Fatal("the feed has nothing")
		}
	})
}
