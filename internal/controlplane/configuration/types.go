package configuration

import "time"

// RouteType determines whether a request of a route may be sent to more than one worker, that is, whether it may be
// retried or hedged.
type RouteType uint8

const (
	// NonIdempotent requests run at most once. It is the type of routes whose type is unknown.
	NonIdempotent RouteType = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by an event stream. They run at most once unless the route is Resumable.
	Streaming
)

// Target is one service of a route with its weight.
type Target struct {
	Service string
	Weight  float64 // share of the requests, relative to the sum of the route's weights
}

// Route is one item of the list "routes".
type Route struct {
	Name             string
	Hostname         string // lower case, without a port
	PathPrefix       string // begins and ends with a slash
	Type             RouteType
	Timeout          time.Duration // longest time that a request may take, queueing included
	TargetLatency    time.Duration // objective for the time to the complete answer, of a stream to its first event
	Priority         int           // 0 is the highest
	Targets          []Target      // one with weight 1 for "service", several for "trafficSplit"
	MaxAttempts      int           // greatest number of workers that one request may be sent to; at least 1
	SessionAffinity  bool
	Resumable        bool          // a broken stream may be continued at another worker
	InterTokenTarget time.Duration // objective for the longest gap between the events of a stream; 0: none
}

// Engine is the part of a model service that describes its workers.
type Engine struct {
	Slots             int           // requests that one worker runs at a time
	KVCapacityTokens  int           // tokens that fit into a worker's KV cache
	KVBytesPerToken   float64       // bytes of KV cache for one token
	LinkMbps          float64       // bandwidth of a worker's link for transfers of KV cache, in Mbit/s
	MaxTokensPerEvent int           // greatest number of tokens in one event; at least 1
	HandleTTL         time.Duration // how long the handle of a KV cache stays valid for its transfer
	RoleSwitchTime    time.Duration // how long a worker needs to change between prefill and decode
	Models            []string
}

// Service is one item of the list "services".
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // connections that one worker accepts from all callers; 0: unknown
	Engine         *Engine // nil: not a model service
}

// Limits bounds the size and the duration of what a client sends.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration // for the complete header of a request
	IdleTimeout    time.Duration // of a connection without a request
}

// Keys of the feed's items. A configuration is fed to the agents as the items below, with the raw JSON as value.
const (
	// KeyGeneration is the key of the generation, whose value is decimal digits.
	KeyGeneration = "generation"
	// KeyLimits is the key of the limits.
	KeyLimits = "limits"
	// KeyRoutePrefix precedes the name of a route.
	KeyRoutePrefix = "route/"
	// KeyServicePrefix precedes the name of a service.
	KeyServicePrefix = "service/"
)
