// Package configuration holds the operator's configuration: how it is read and checked, field by
// field, how changes follow one another, and the replicated state that keeps it.
package configuration

import "time"

// RouteType tells whether a request may run more than once.
type RouteType uint8

const (
	NonIdempotent RouteType = iota // at most once for each try
	Idempotent
	Streaming // an event stream; at most once unless Resumable
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route is one item of "routes".
type Route struct {
	Name             string
	Hostname         string // compared without regard to case, without port
	PathPrefix       string // begins and ends with a slash
	Type             RouteType
	Timeout          time.Duration // longest the operator wants a request held
	TargetLatency    time.Duration // objective: to the whole answer, of a stream to its first event
	Priority         int           // 0 is highest
	Targets          []Target      // one with weight 1 for "service", several for "trafficSplit"
	MaxAttempts      int           // most workers that one try may be sent to; at least 1
	SessionAffinity  bool
	Resumable        bool
	InterTokenTarget time.Duration // longest pause between events in time; 0: none given
}

// Engine is the part of a model service that tells of its workers.
type Engine struct {
	Slots             int
	KVCapacityTokens  int     // memory of a worker in tokens
	KVBytesPerToken   float64 // bytes of one token's memory
	LinkMbps          float64 // of a worker's link for hand-overs
	MaxTokensPerEvent int     // most tokens in one event
	HandleTTL         time.Duration
	RoleSwitchTime    time.Duration // a worker's time to change its stage
	Models            []string
}

// Service is one item of "services".
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one worker accepts from all callers; 0: not told
	Engine         *Engine
}

// Limits bounds what a client may send and how long it may take or rest.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Keys of the feed's items: a configuration is the items below, each with its raw JSON as value.
const (
	KeyGeneration    = "generation" // value: decimal digits
	KeyLimits        = "limits"
	KeyRoutePrefix   = "route/"   // + name
	KeyServicePrefix = "service/" // + name
)
