package server

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/controlplane/registry"
)

// APICall identifies a call of the control plane's HTTP API.
type APICall uint8

// The API calls of operators and workers.
const (
	APIReplace    APICall = 1 // replace the whole configuration
	APIUpdate     APICall = 2 // change parts of the configuration
	APIRead       APICall = 3 // read the configuration in force
	APIHeartbeat  APICall = 4
	APIDeregister APICall = 5
)

// APIRequest is one API call, independent of the transport that carried it.
type APIRequest struct {
	Call APICall
	ID   string // instance ID
	Base string // X-Base-Version header; empty counts as 0
	Body []byte
}

// APIResponse is the answer to an APIRequest.
type APIResponse struct {
	Status int // HTTP status
	Body   []byte
}

// Handle executes an API call and returns its response. A call that concerns a shard is forwarded to the shard's owner, with
// a timeout that depends on the size of the body. If the outcome of a call is unknown, the response has status 503.
func (s *Server) Handle(ctx context.Context, request APIRequest) APIResponse {
	response := s.handle(ctx, request)
	return APIResponse{Status: response.Status, Body: responseBody(response)}
}

// responseBody returns the HTTP body of a response: an error report unless the status is 200, otherwise the response's body or,
// if that is empty, an empty JSON object.
func responseBody(response shardResponse) []byte {
	switch {
	case response.Status != http.StatusOK:
		return errorBody(response.Code, response.Text)
	case len(response.Body) == 0:
		return emptyObject
	}
	return response.Body
}

// handle dispatches an API call to its handler.
func (s *Server) handle(ctx context.Context, request APIRequest) shardResponse {
	switch request.Call {
	case APIReplace:
		return s.handleConfigurationChange(ctx, request, callReplace)
	case APIUpdate:
		return s.handleConfigurationChange(ctx, request, callUpdate)
	case APIRead:
		return s.handleConfigurationRead(ctx)
	case APIHeartbeat:
		return s.handleHeartbeat(ctx, request)
	case APIDeregister:
		return s.handleDeregister(ctx, request)
	}
	return errorResponse(UnknownPath)
}

// handleConfigurationChange forwards a change to the configuration shard's owner. A change that would be invalid whatever the
// current configuration is rejected here, before it takes up a log entry.
func (s *Server) handleConfigurationChange(ctx context.Context, request APIRequest, kind peertransport.CallKind) shardResponse {
	base, valid := parseBaseVersion(request.Base)
	if !valid {
		return errorResponse(BadBaseVersion)
	}
	body := request.Body
	command := configuration.Command{Kind: configuration.CommandUpdate, Base: base, Body: body}
	if kind == callReplace {
		command.Kind = configuration.CommandReplace
	}
	if rejection := configuration.ValidateCommand(command, s.environment.OmitConfigurationRules...); rejection != nil {
		return shardResponse{Status: rejection.HTTPStatus, Code: int(rejection.Code), Text: rejection.Text}
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(len(body)))
	defer cancel()
	return s.forward(ctx, shardRequest{Kind: kind, Shard: shards.ConfigurationShard, Base: base, Body: body})
}

// parseBaseVersion parses the value of the X-Base-Version header; an empty value counts as 0.
func parseBaseVersion(text string) (uint64, bool) {
	if text == "" {
		return 0, true
	}
	base, err := strconv.ParseUint(text, 10, 64)
	return base, err == nil
}

// timeoutFor returns the timeout of a configuration change with a body of the given length.
func timeoutFor(bodyBytes int) time.Duration {
	if bodyBytes > largeBodyBytes {
		return largeCallTimeout
	}
	return smallCallTimeout
}

// handleConfigurationRead returns the configuration in force, as read by the owner of the configuration shard.
func (s *Server) handleConfigurationRead(ctx context.Context) shardResponse {
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	return s.forward(ctx, shardRequest{Kind: callRead, Shard: shards.ConfigurationShard})
}

// handleHeartbeat acknowledges a worker's heartbeat locally if it changes nothing, and otherwise forwards it to the shard's owner.
func (s *Server) handleHeartbeat(ctx context.Context, request APIRequest) shardResponse {
	if len(request.Body) > maxHeartbeatBytes {
		return errorResponse(BodyTooLarge)
	}
	heartbeat, err := registry.ParseHeartbeat(request.ID, request.Body)
	if err != nil {
		return registryErrorResponse(err)
	}
	shard := shards.ForService(heartbeat.Service)
	if s.acknowledgeLocally(shard, heartbeat) {
		return okResponse(emptyObject)
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	return s.forward(ctx, shardRequest{Kind: callHeartbeat, Shard: shard, ID: request.ID, Body: request.Body})
}

// handleDeregister removes an instance on its worker's or an operator's request.
func (s *Server) handleDeregister(ctx context.Context, request APIRequest) shardResponse {
	if request.ID == "" {
		return errorResponse(MissingInstance)
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	return s.deregister(ctx, request.ID)
}

// deregister removes an instance permanently. If no replica of this server knows the instance, the request goes to the owners of
// all registry shards: it succeeds once the owner that knows the instance has removed it, or once every owner has recorded it as
// removed.
func (s *Server) deregister(ctx context.Context, id string) shardResponse {
	for _, shard := range allShards {
		machine := s.registryMachine(shard)
		if machine == nil {
			continue
		}
		known, removed := machine.lookUp(id)
		if removed {
			return okResponse(emptyObject)
		}
		if known {
			return s.forward(ctx, shardRequest{Kind: callDeregister, Shard: shard, ID: id})
		}
	}
	return s.deregisterInAllShards(ctx, id)
}

// deregisterInAllShards sends a deregistration to the owners of all registry shards concurrently.
func (s *Server) deregisterInAllShards(ctx context.Context, id string) shardResponse {
	responses := make([]shardResponse, shards.ServiceShardCount)
	var waitGroup sync.WaitGroup
	for i := range responses {
		shard := shards.ID(i + 1)
		waitGroup.Go(func() {
			responses[i] = s.forward(ctx, shardRequest{Kind: callDeregister, Shard: shard, ID: id})
		})
	}
	waitGroup.Wait()
	for _, response := range responses {
		if response.Known && response.Status == http.StatusOK {
			return response
		}
	}
	return firstFailure(responses)
}
