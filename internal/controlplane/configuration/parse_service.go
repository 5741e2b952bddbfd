package configuration

import (
	"math"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// defaultHealthPath is the path of health checks if the operator does not configure one.
const defaultHealthPath = "/health"

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
			return readInteger(decoder, key, &service.MaxConnections)
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

// readEngine parses "engine"; null is treated as absent.
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
		return readInteger(decoder, key, &engine.Slots)
	case "kvTokens":
		return readInteger(decoder, key, &engine.KVCapacityTokens)
	case "kvTokenBytes":
		return jsonfield.Number(decoder, key, &engine.KVBytesPerToken)
	case "linkMbps":
		return jsonfield.Number(decoder, key, &engine.LinkMbps)
	case "stride":
		return readInteger(decoder, key, &engine.MaxTokensPerEvent)
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

// readModelNames parses "models", a list whose elements are names or objects with a name. Empty names are dropped.
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
