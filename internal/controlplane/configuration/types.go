package configuration

import "time"

// RouteType determines whether a request on a route may be sent to more than one worker, that is, whether it may be
// retried or hedged.
type RouteType uint8

const (
	// NonIdempotent requests run at most once. A route of an unknown type is treated as NonIdempotent.
	NonIdempotent RouteType = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with an event stream. They run at most once unless the route is Resumable.
	Streaming
)

// Target is one of the services that a route sends requests to.
type Target struct {
	Service string
	Weight  float64 // share of the requests, relative to the sum of the route's weights
}

// Route is one item of "routes": the requests that it matches, and how they are handled.
type Route struct {
	Name             string
	Hostname         string // lower case, without a port
	PathPrefix       string // begins and ends with a slash
	Type             RouteType
	Timeout          time.Duration // limit for the whole request, including queueing
	TargetLatency    time.Duration // objective for the time to the complete response, or to the first event of a stream
	Priority         int           // 0 is the highest
	Targets          []Target      // from "trafficSplit", or the one of "service" with weight 1
	MaxAttempts      int           // maximum number of workers that one request is sent to; at least 1
	SessionAffinity  bool
	Resumable        bool          // an interrupted stream may be continued by another worker
	InterTokenTarget time.Duration // objective for the longest gap between two events of a stream; 0: none
}

// Engine describes the workers of a model service.
type Engine struct {
	Slots             int           // requests that one worker runs concurrently
	KVCapacityTokens  int           // capacity of a worker's KV cache in tokens
	KVBytesPerToken   float64       // size of one token in the KV cache
	LinkMbps          float64       // bandwidth of a worker's link for KV cache transfers, in Mbit/s
	MaxTokensPerEvent int           // maximum number of tokens in one event; at least 1
	HandleTTL         time.Duration // how long the handle of a KV cache remains valid for its transfer
	RoleSwitchTime    time.Duration // time that a worker needs to switch between prefill and decode
	Models            []string
}

// Service is one item of "services".
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that one worker accepts from all clients together; 0: unknown
	Engine         *Engine // nil if it is not a model service
}

// Limits bounds the size of client requests, and how long a client may take to send one or leave a connection idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // to receive the complete header of a request
	IdleTimeout    time.Duration // of a connection without a request
}

// Keys of the feed items. The feed sends a configuration to the agents as these items, with the raw JSON as value.
const (
	// KeyGeneration is the key of the generation. Its value is the number in decimal digits.
	KeyGeneration = "generation"
	// KeyLimits is the key of the limits.
	KeyLimits = "limits"
	// KeyRoutePrefix followed by the name of a route is the key of that route.
	KeyRoutePrefix = "route/"
	// KeyServicePrefix followed by the name of a service is the key of that service.
	KeyServicePrefix = "service/"
)
