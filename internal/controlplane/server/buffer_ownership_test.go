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

// The HTTP server reuses the memory of a request as soon as its handler has returned. What outlives the handler must
// be a copy: a proposal that waits for its group, a call that waits for its peer, and what a server records.

// reusedBufferRequest is a request whose memory the test overwrites after its handler has returned.
type reusedBufferRequest struct {
	context *app.RequestContext
	memory  [][]byte
}

func (h *reusedBufferRequest) allocate(text string) []byte {
	memory := []byte(text)
	h.memory = append(h.memory, memory)
	return memory
}

// newReusedBufferRequest lays out a request as the server does: its parameter and body are memory of the connection.
func newReusedBufferRequest(id, base, body string) *reusedBufferRequest {
	h := &reusedBufferRequest{context: app.NewContext(1)}
	if id != "" {
		memory := h.allocate(id)
		value := unsafe.String(&memory[0], len(memory))
		h.context.Params = append(h.context.Params, param.Param{Key: parameterID, Value: value})
	}
	h.context.Request.SetBodyRaw(h.allocate(body))
	h.context.Request.Header.Set(headerBaseVersion, base)
	return h
}

// overwrite overwrites the request's memory, as its connection's next request does.
func (h *reusedBufferRequest) overwrite() {
	for _, memory := range h.memory {
		for i := range memory {
			memory[i] = '#'
		}
	}
	h.context.Reset()
}

// retainedProposals are the proposals that a group was given and has not decided on.
type retainedProposals struct {
	mutex    sync.Mutex
	retained [][]byte
	copies   [][]byte // copies of the same, made at once
}

func (p *retainedProposals) retain(data []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retained = append(p.retained, data)
	p.copies = append(p.copies, bytes.Clone(data))
}

func (p *retainedProposals) check(t *testing.T) {
	t.Helper()
	if len(p.retained) == 0 {
		t.Fatal("nothing was retained")
	}
	for i, data := range p.retained {
		if !bytes.Equal(data, p.copies[i]) || bytes.Contains(data, []byte("####")) {
			t.Errorf("%q has become %q", p.copies[i], data)
		}
	}
}

// requestsOutlivingHandler are calls that may outlive their handler.
var requestsOutlivingHandler = []struct {
	name     string
	kind     APICall
	id, body string
}{
	{"a whole configuration", APIReplace, "", configurationJSON(9)},
	{"a change", APIUpdate, "", `{"generation":9}`},
	{"a heartbeat", APIHeartbeat, "i-new", heartbeatJSON("ready", 1)},
	{"a drain", APIHeartbeat, testInstanceID, heartbeatJSON("draining", 2)},
	{"a departure", APIDeregister, testInstanceID, ""},
}

func TestServer_APIHandler_proposalOwnsItsBytes(t *testing.T) {
	for _, test := range requestsOutlivingHandler {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDegradedServerFixture(t)
				s.setEveryGroup(leaderStatus(), nil)
				proposals := &retainedProposals{}
				for _, group := range s.groups {
					group.onPropose = func(ctx context.Context, data []byte) (any, error) {
						proposals.retain(data)
						<-ctx.Done()
						return nil, replica.ErrUnknownOutcome
					}
				}
				request := newReusedBufferRequest(test.id, "7", test.body)
				s.server.apiHandler(test.kind)(t.Context(), request.context)
				if status := request.context.Response.StatusCode(); status != http.StatusServiceUnavailable {
					t.Fatal(status)
				}
				request.overwrite()
				proposals.check(t)
			})
		})
	}
}

func TestServer_APIHandler_forwardedCallOwnsItsBytes(t *testing.T) {
	for _, test := range requestsOutlivingHandler {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDegradedServerFixture(t)
				s.setEveryGroup(followerStatus(ownerAddress), nil)
				calls := &retainedProposals{}
				s.server.peers.network = &retainingNetwork{calls: calls}
				request := newReusedBufferRequest(test.id, "7", test.body)
				s.server.apiHandler(test.kind)(t.Context(), request.context)
				request.overwrite()
				calls.check(t)
			})
		})
	}
}

// retainingNetwork retains the calls that it is given, and answers none.
type retainingNetwork struct {
	scriptedNetwork
	calls *retainedProposals
}

func (n *retainingNetwork) Call(ctx context.Context, _ string, _ peertransport.CallKind, body []byte) ([]byte, error) {
	n.calls.retain(body)
	<-ctx.Done()
	return nil, peertransport.ErrOutcomeUnknown
}

// A server records instances by their IDs, which lie in the request's memory.
func TestServer_APIHandler_recordedStateOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		s.setEveryGroup(followerStatus(ownerAddress), nil)
		request := newReusedBufferRequest(testInstanceID, "", heartbeatJSON("ready", 5))
		s.server.apiHandler(APIHeartbeat)(t.Context(), request.context)
		request.overwrite()
		drained := s.server.liveness.drain(shards.ForService(testService))
		if len(drained) != 1 || drained[0].ID != testInstanceID {
			t.Fatal(drained)
		}
		makeOwner(s.server, s.groups)
		request = newReusedBufferRequest("i-new", "", heartbeatJSON("ready", 1))
		s.server.apiHandler(APIHeartbeat)(t.Context(), request.context)
		request.overwrite()
		machine := s.server.registryMachine(shards.ForService(testService))
		if machine.store.Instance("i-new") == nil {
			t.Fatal(machine.store.Instances(""))
		}
	})
}

// A configuration that is in force does not change with the memory of the entry or of the answers that tell of it.
func TestServer_APIHandler_configurationOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		makeOwner(s.server, s.groups)
		data := configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandReplace, Base: currentNumber, Body: []byte(configurationJSON(9))})
		if _, err := s.groups[0].onPropose(t.Context(), data); err != nil {
			t.Fatal(err)
		}
		clear(data)
		first := s.server.Handle(t.Context(), APIRequest{Call: APIRead})
		clear(first.Body)
		if second := s.server.Handle(t.Context(), APIRequest{Call: APIRead}); string(second.Body) != configurationJSON(9) {
			t.Fatalf("%s", second.Body)
		}
		changes, snapshot := s.server.Since(shards.ConfigurationShard, 0)
		if len(changes) == 0 && snapshot == nil {
			t.Fatal("the feed has nothing")
		}
	})
}
