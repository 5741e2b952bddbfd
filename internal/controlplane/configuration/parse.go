package configuration

import (
	"math"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Defaults for values that the operator does not give or that are out of range.
const (
	defaultHealthPath     = "/health"
	defaultMaxAttempts    = 1
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	singleServiceWeight   = 1
)

// Names of route types in JSON. Any other name is a NonIdempotent route.
const (
	routeTypeIdempotent = "idempotent"
	routeTypeStreaming  = "streaming"
)

// ParseRoute parses an item of "routes". Targets with weight 0 are dropped. The error is a *Rejection.
func ParseRoute(raw []byte) (Route, error) {
	route, rejection := parseRoute(raw)
	if rejection != nil {
		return Route{}, rejection
	}
	weighted := make([]Target, 0, len(route.Targets))
	for _, target := range route.Targets {
		if target.Weight > 0 {
			weighted = append(weighted, target)
		}
	}
	route.Targets = weighted
	return route, nil
}

// parseRoute parses and validates a route with all its targets, those with weight 0 included.
func parseRoute(raw []byte) (Route, *Rejection) {
	route := Route{MaxAttempts: defaultMaxAttempts}
	singleService := ""
	rejection := eachMember(raw, "route", func(decoder *jx.Decoder, key string) error {
		return readRouteMember(decoder, key, &route, &singleService)
	})
	if rejection != nil {
		return Route{}, rejection
	}
	if len(route.Targets) == 0 && singleService != "" {
		route.Targets = []Target{{Service: singleService, Weight: singleServiceWeight}}
	}
	route.Hostname = normalizeHost(route.Hostname)
	route.MaxAttempts = max(route.MaxAttempts, defaultMaxAttempts)
	route.TargetLatency = max(route.TargetLatency, 0)
	route.InterTokenTarget = max(route.InterTokenTarget, 0)
	return route, validateRoute(route)
}

// readRouteMember parses one member of a route; singleService receives "service", the alternative to "trafficSplit".
func readRouteMember(decoder *jx.Decoder, key string, route *Route, singleService *string) error {
	switch key {
	case "name":
		return jsonfield.String(decoder, key, &route.Name)
	case "hostname":
		return jsonfield.String(decoder, key, &route.Hostname)
	case "pathPrefix":
		return jsonfield.String(decoder, key, &route.PathPrefix)
	case "routeType":
		return readRouteType(decoder, key, &route.Type)
	case "timeoutMs":
		return readDuration(decoder, key, time.Millisecond, &route.Timeout)
	case "targetLatencyMs":
		return readDuration(decoder, key, time.Millisecond, &route.TargetLatency)
	case "priority":
		return readCount(decoder, key, &route.Priority)
	case "service":
		return jsonfield.String(decoder, key, singleService)
	case "trafficSplit":
		return readTargets(decoder, key, &route.Targets)
	case "maxAttempts":
		return readCount(decoder, key, &route.MaxAttempts)
	case "sessionAffinity":
		return jsonfield.Bool(decoder, key, &route.SessionAffinity)
	case "resumable":
		return jsonfield.Bool(decoder, key, &route.Resumable)
	case "gap_aim_ms":
		return readDuration(decoder, key, time.Millisecond, &route.InterTokenTarget)
	default:
		return decoder.Skip()
	}
}

// readRouteType parses the route type. An unknown type is treated as the strictest one, NonIdempotent.
func readRouteType(decoder *jx.Decoder, key string, routeType *RouteType) error {
	name := ""
	if err := jsonfield.String(decoder, key, &name); err != nil {
		return err
	}
	switch name {
	case routeTypeIdempotent:
		*routeType = Idempotent
	case routeTypeStreaming:
		*routeType = Streaming
	default:
		*routeType = NonIdempotent
	}
	return nil
}

// readTargets parses "trafficSplit".
func readTargets(decoder *jx.Decoder, key string, targets *[]Target) error {
	*targets = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(CodeBadField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		target, err := readTarget(decoder, key)
		if err != nil {
			return err
		}
		*targets = append(*targets, target)
		return nil
	})
}

// readTarget parses one element of "trafficSplit".
func readTarget(decoder *jx.Decoder, key string) (Target, error) {
	target := Target{}
	if decoder.Next() != jx.Object {
		return target, reject(CodeBadField, key+" holds something that is not an object")
	}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		switch key {
		case "service":
			return jsonfield.String(decoder, key, &target.Service)
		case "weight":
			return jsonfield.Number(decoder, key, &target.Weight)
		default:
			return decoder.Skip()
		}
	})
	return target, err
}

// normalizeHost returns a host in the form in which hosts are compared: in lower case and without a port.
func normalizeHost(host string) string {
	host = strings.ToLower(host)
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") || strings.IndexByte(host, ':') != colon && host[0] != '[' {
		return host
	}
	return host[:colon]
}

// ParseService parses an item of "services". The error is a *Rejection.
func ParseService(raw []byte) (Service, error) {
	service, rejection := parseService(raw)
	if rejection != nil {
		return Service{}, rejection
	}
	return service, nil
}

// parseService parses and validates a service.
func parseService(raw []byte) (Service, *Rejection) {
	service := Service{}
	rejection := eachMember(raw, "service", func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return jsonfield.String(decoder, key, &service.Name)
		case "healthPath":
			return jsonfield.String(decoder, key, &service.HealthPath)
		case "maxConnections":
			return readCount(decoder, key, &service.MaxConnections)
		case "engine":
			return readEngine(decoder, key, &service.Engine)
		default:
			return decoder.Skip()
		}
	})
	if rejection != nil {
		return Service{}, rejection
	}
	if service.Name == "" {
		return Service{}, reject(CodeMissingField, "name of a service")
	}
	if service.HealthPath == "" {
		service.HealthPath = defaultHealthPath
	}
	service.MaxConnections = max(service.MaxConnections, 0)
	return service, nil
}

// readEngine parses "engine"; null counts as absent.
func readEngine(decoder *jx.Decoder, key string, target **Engine) error {
	*target = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Object {
		return reject(CodeBadField, key+" is not an object")
	}
	engine := &Engine{}
	err := decoder.Obj(func(decoder *jx.Decoder, key string) error {
		return readEngineMember(decoder, key, engine)
	})
	if err != nil {
		return err
	}
	engine.Slots = max(engine.Slots, 0)
	engine.KVCapacityTokens = max(engine.KVCapacityTokens, 0)
	engine.KVBytesPerToken = math.Max(engine.KVBytesPerToken, 0)
	engine.LinkMbps = math.Max(engine.LinkMbps, 0)
	engine.MaxTokensPerEvent = max(engine.MaxTokensPerEvent, 1)
	engine.HandleTTL = max(engine.HandleTTL, 0)
	engine.RoleSwitchTime = max(engine.RoleSwitchTime, 0)
	*target = engine
	return nil
}

// readEngineMember parses one member of "engine".
func readEngineMember(decoder *jx.Decoder, key string, engine *Engine) error {
	switch key {
	case "slots":
		return readCount(decoder, key, &engine.Slots)
	case "kvTokens":
		return readCount(decoder, key, &engine.KVCapacityTokens)
	case "kvTokenBytes":
		return jsonfield.Number(decoder, key, &engine.KVBytesPerToken)
	case "linkMbps":
		return jsonfield.Number(decoder, key, &engine.LinkMbps)
	case "stride":
		return readCount(decoder, key, &engine.MaxTokensPerEvent)
	case "handleTtlS":
		return readDuration(decoder, key, time.Second, &engine.HandleTTL)
	case "switchS":
		return readDuration(decoder, key, time.Second, &engine.RoleSwitchTime)
	case "models":
		return readModelNames(decoder, key, &engine.Models)
	default:
		return decoder.Skip()
	}
}

// readModelNames parses "models", a list of names or of objects with a name.
func readModelNames(decoder *jx.Decoder, key string, names *[]string) error {
	*names = nil
	if jsonfield.IsNull(decoder) {
		return nil
	}
	if decoder.Next() != jx.Array {
		return reject(CodeBadField, key+" is not a list")
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		name := ""
		if err := readModelName(decoder, key, &name); err != nil {
			return err
		}
		if name != "" {
			*names = append(*names, name)
		}
		return nil
	})
}

// readModelName parses one element of "models".
func readModelName(decoder *jx.Decoder, key string, name *string) error {
	if decoder.Next() != jx.Object {
		return jsonfield.String(decoder, key, name)
	}
	return decoder.Obj(func(decoder *jx.Decoder, key string) error {
		if key == "name" {
			return jsonfield.String(decoder, key, name)
		}
		return decoder.Skip()
	})
}

// DefaultLimits returns the limits in force if the operator does not configure any.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: defaultMaxHeaderBytes,
		MaxBodyBytes:   defaultMaxBodyBytes,
		HeaderTimeout:  defaultHeaderTimeout,
		IdleTimeout:    defaultIdleTimeout,
	}
}

// ParseLimits parses "limits". Values that are missing or not positive get their defaults. The error is a *Rejection.
func ParseLimits(raw []byte) (Limits, error) {
	limits := Limits{}
	rejection := eachMember(raw, "limits", func(decoder *jx.Decoder, key string) error {
		switch key {
		case "maxHeaderBytes":
			return readCount(decoder, key, &limits.MaxHeaderBytes)
		case "maxBodyBytes":
			return readCount(decoder, key, &limits.MaxBodyBytes)
		case "headerTimeoutMs":
			return readDuration(decoder, key, time.Millisecond, &limits.HeaderTimeout)
		case "idleTimeoutMs":
			return readDuration(decoder, key, time.Millisecond, &limits.IdleTimeout)
		default:
			return decoder.Skip()
		}
	})
	if rejection != nil {
		return Limits{}, rejection
	}
	return limits.withDefaults(), nil
}

// withDefaults replaces the values that are not positive by their defaults.
func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaults.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}
