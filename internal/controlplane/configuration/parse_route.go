package configuration

import (
	"strings"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Values of a route that apply where the operator gives none.
const (
	defaultMaxAttempts  = 1 // also the minimum
	singleServiceWeight = 1 // weight of the target that "service" names
)

// Names of route types in JSON. Any other name stands for NonIdempotent.
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

// parseRoute parses and validates a route with all its targets, including those of weight 0.
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

// readRouteMember parses one member of a route; singleService receives "service", the alternative to "trafficSplit" for
// a route with one target.
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
		return readInteger(decoder, key, &route.Priority)
	case "service":
		return jsonfield.String(decoder, key, singleService)
	case "trafficSplit":
		return readTargets(decoder, key, &route.Targets)
	case "maxAttempts":
		return readInteger(decoder, key, &route.MaxAttempts)
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

// readRouteType parses the route type. An unknown type is read as the most restrictive one, NonIdempotent.
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

// readTargets parses "trafficSplit"; null is read as an empty list.
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

// normalizeHost converts a host to the form in which hosts are compared: lower case, without a port. An IPv6 address
// without brackets has no port.
func normalizeHost(host string) string {
	host = strings.ToLower(host)
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") || strings.IndexByte(host, ':') != colon && host[0] != '[' {
		return host
	}
	return host[:colon]
}
