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

// The HTTP server reuses the memory of a request as soon as its handler has returned. Everything that outlives the handler must
// therefore be a copy: proposals waiting for their group, calls waiting for a peer, and the state that a server records.

// reusedBufferRequest is a request whose memory the test overwrites after its handler has returned.
type reusedBufferRequest struct {
	context *app.RequestContext
	memory  [][]byte
}

func (r *reusedBufferRequest) allocate(text string) []byte {
	memory := []byte(text)
	r.memory = append(r.memory, memory)
	return memory
}

// newReusedBufferRequest builds a request as the HTTP server does: its path parameter and body lie in the connection's memory.
func newReusedBufferRequest(id, base, body string) *reusedBufferRequest {
	r := &reusedBufferRequest{context: app.NewContext(1)}
	if id != "" {
		memory := r.allocate(id)
		value := unsafe.String(&memory[0], len(memory))
		r.context.Params = append(r.context.Params, param.Param{Key: parameterID, Value: value})
	}
	r.context.Request.SetBodyRaw(r.allocate(body))
	r.context.Request.Header.Set(headerBaseVersion, base)
	return r
}

// overwrite overwrites the request's memory, as the next request on the connection does.
func (r *reusedBufferRequest) overwrite() {
	for _, memory := range r.memory {
		for i := range memory {
			memory[i] = '#'
		}
	}
	r.context.Reset()
}

// retainedBuffers holds the bytes of proposals or calls that have not been answered yet.
type retainedBuffers struct {
	mutex    sync.Mutex
	retained [][]byte
	copies   [][]byte // copies of retained, made when it was received
}

func (p *retainedBuffers) retain(data []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retained = append(p.retained, data)
	p.copies = append(p.copies, bytes.Clone(data))
}

// requireUnchanged fails the test if nothing was retained or if retained bytes were overwritten.
func (p *retainedBuffers) requireUnchanged(t *testing.T) {
	t.Helper()
	if len(p.retained) == 0 {
		t.Fatal("the handler made no proposal and no call")
	}
	for i, data := range p.retained {
		if !bytes.Equal(data, p.copies[i]) || bytes.Contains(data, []byte("####")) {
			t.Errorf("retained bytes changed after the handler returned: got %q, want %q", data, p.copies[i])
		}
	}
}

// requestsOutlivingHandler are requests whose proposal or forwarded call may outlive their handler.
var requestsOutlivingHandler = []struct {
	name     string
	kind     APICall
	id, body string
}{
	{"a whole configuration", APIReplace, "", configurationJSON(9)},
	{"a change", APIUpdate, "", `{"generation":9}`},
	{"a heartbeat", APIHeartbeat, "i-new", heartbeatJSON("ready", 1)},
	{"a drain", APIHeartbeat, testInstanceID, heartbeatJSON("draining", 2)},
	{"a deregistration", APIDeregister, testInstanceID, ""},
}

func TestServer_APIHandler_proposalOwnsItsBytes(t *testing.T) {
	for _, test := range requestsOutlivingHandler {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDegradedServerFixture(t)
				s.setEveryGroup(leaderStatus(), nil)
				retained := &retainedBuffers{}
				for _, group := range s.groups {
					group.onPropose = func(ctx context.Context, data []byte) (any, error) {
						retained.retain(data)
						<-ctx.Done()
						return nil, replica.ErrUnknownOutcome
					}
				}
				request := newReusedBufferRequest(test.id, "7", test.body)
				s.server.apiHandler(test.kind)(t.Context(), request.context)
				if status := request.context.Response.StatusCode(); status != http.StatusServiceUnavailable {
					t.Fatalf("got status %d for an undecided proposal, want %d", status, http.StatusServiceUnavailable)
				}
				request.overwrite()
				retained.requireUnchanged(t)
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
				retained := &retainedBuffers{}
				s.server.peers.network = &retainingNetwork{retained: retained}
				request := newReusedBufferRequest(test.id, "7", test.body)
				s.server.apiHandler(test.kind)(t.Context(), request.context)
				request.overwrite()
				retained.requireUnchanged(t)
			})
		})
	}
}

// retainingNetwork retains the bodies of all calls and never answers.
type retainingNetwork struct {
	scriptedNetwork
	retained *retainedBuffers
}

func (n *retainingNetwork) Call(ctx context.Context, _ string, _ peertransport.CallKind, body []byte) ([]byte, error) {
	n.retained.retain(body)
	<-ctx.Done()
	return nil, peertransport.ErrOutcomeUnknown
}

// A server records instances under their IDs, which lie in the request's memory.
func TestServer_APIHandler_recordedStateOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		s.setEveryGroup(followerStatus(ownerAddress), nil)
		request := newReusedBufferRequest(testInstanceID, "", heartbeatJSON("ready", 5))
		s.server.apiHandler(APIHeartbeat)(t.Context(), request.context)
		request.overwrite()
		drained := s.server.liveness.drain(shards.ForService(testService))
		if len(drained) != 1 || drained[0].ID != testInstanceID {
			t.Fatalf("got recorded heartbeats %+v, want one of instance %q", drained, testInstanceID)
		}
		makeOwner(s.server, s.groups)
		request = newReusedBufferRequest("i-new", "", heartbeatJSON("ready", 1))
		s.server.apiHandler(APIHeartbeat)(t.Context(), request.context)
		request.overwrite()
		machine := s.server.registryMachine(shards.ForService(testService))
		if machine.store.Instance("i-new") == nil {
			t.Fatalf("instance %q is not registered under its ID; registered are %v", "i-new", machine.store.Instances(""))
		}
	})
}

// The configuration in force shares no memory with the log entry that set it or with the bodies of read responses.
func TestServer_APIHandler_configurationOwnsItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		makeOwner(s.server, s.groups)
		data := configuration.EncodeCommand(configuration.Command{Kind: configuration.CommandReplace, Base: currentGeneration, Body: []byte(configurationJSON(9))})
		if _, err := s.groups[0].onPropose(t.Context(), data); err != nil {
			t.Fatal(err)
		}
		clear(data)
		first := s.server.Handle(t.Context(), APIRequest{Call: APIRead})
		clear(first.Body)
		if second := s.server.Handle(t.Context(), APIRequest{Call: APIRead}); string(second.Body) != configurationJSON(9) {
			t.Fatalf("second read after the first body was overwritten: got %s, want %s", second.Body, configurationJSON(9))
		}
		changes, snapshot := s.server.Since(shards.ConfigurationShard, 0)
		if len(changes) == 0 && snapshot == nil {
			t.Fatal("the feed has neither changes nor a snapshot after a configuration change")
		}
	})
}
