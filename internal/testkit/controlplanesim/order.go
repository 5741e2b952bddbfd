package controlplanesim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// orderMarkerService is a service in every configuration. Its health path names the order that made the configuration.
const orderMarkerService = "mark"

// order is a configuration change by an operator. Every attempt sends it unchanged.
type order struct {
	name       string
	kind       history.Kind
	base       uint64
	generation uint64
	body       []byte
	invalid    bool
}

// fillerRoutes returns the JSON of that many routes that no order changes, each followed by a comma.
func fillerRoutes(count int) string {
	var text strings.Builder
	for number := range count {
		text.WriteString(routeJSON(fmt.Sprintf("filler-%d", number), fmt.Sprintf("/filler-%d/", number)) + ",")
	}
	return text.String()
}

// replaceOrder returns an order with a complete configuration, which begins with the filler routes.
func replaceOrder(name string, base, generation uint64, filler string) order {
	body := fmt.Sprintf(`{"generation":%d,"routes":[%s%s],"services":[%s,%s],"limits":%s}`,
		generation, filler, routeJSON("r0", "/p/"), serviceJSON(orderedService, "/health"), serviceJSON(orderMarkerService, "/"+name), limitsJSON)
	return order{name: name, kind: history.Replace, base: base, generation: generation, body: []byte(body)}
}

// updateOrder returns an order that upserts named items of the base configuration.
func updateOrder(name string, base, generation uint64) order {
	body := fmt.Sprintf(`{"generation":%d,"upsert":{"services":[%s,%s],"routes":[%s]}}`,
		generation, serviceJSON(orderedService, "/health"), serviceJSON(orderMarkerService, "/"+name), routeJSON("r1", "/q/"))
	return order{name: name, kind: history.Update, base: base, generation: generation, body: []byte(body)}
}

// withBase returns an order with the same body and an older base, which had been superseded before o was accepted. It is
// a different order, which must be rejected.
func (o order) withBase(name string, base uint64) order {
	o.name, o.base, o.invalid = name, base, true
	return o
}

const limitsJSON = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`

// orderedService is the service of all routes.
const orderedService = "s0"

func routeJSON(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"a.example","pathPrefix":%q,"routeType":"idempotent","timeoutMs":1000,`+
		`"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":2}`, name, prefix, orderedService)
}

func serviceJSON(name, healthPath string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":%q,"maxConnections":10}`, name, healthPath)
}

// invalidOrder returns a configuration that must be rejected regardless of the one in force.
func invalidOrder(name string, base, generation uint64, variant schedule.Variant) order {
	made := replaceOrder(name, base, generation, "")
	made.invalid = true
	text := string(made.body)
	switch variant {
	case schedule.InvalidBytes:
		text = text[:len(text)/2]
	case schedule.InvalidService:
		text = strings.Replace(text, `"service":"s0"`, `"service":"none"`, 1)
	case schedule.InvalidRoutes:
		text = strings.Replace(text, `"routes":[`, `"routes":[`+routeJSON("other", "/p/")+",", 1)
	case schedule.InvalidWeights:
		text = strings.Replace(text, `"service":"s0"`, `"trafficSplit":[{"service":"s0","weight":0}]`, 1)
	case schedule.InvalidTimeout:
		text = strings.Replace(text, `"timeoutMs":1000`, `"timeoutMs":0`, 1)
	case schedule.InvalidGeneration:
		made.generation = base
		text = strings.Replace(text, fmt.Sprintf(`"generation":%d`, generation), fmt.Sprintf(`"generation":%d`, base), 1)
	}
	made.body = []byte(text)
	return made
}

// request returns the API request for the order.
func (o order) request() server.APIRequest {
	request := server.APIRequest{Call: server.APIReplace, Base: strconv.FormatUint(o.base, 10), Body: o.body}
	if o.kind == history.Update {
		request.Call = server.APIUpdate
	}
	return request
}

// readDocument returns the generation of a configuration and the name of the order that made it.
func readDocument(body []byte) (generation uint64, name string, err error) {
	err = jx.DecodeBytes(body).Obj(func(decoder *jx.Decoder, key string) error {
		switch key {
		case "generation":
			generation, err = decoder.UInt64()
			return err
		case "services":
			return decoder.Arr(func(decoder *jx.Decoder) error { return readMarker(decoder, &name) })
		}
		return decoder.Skip()
	})
	return generation, name, err
}

// readMarker reads a service, and sets name to the name of the order if it is the orderMarkerService.
func readMarker(decoder *jx.Decoder, name *string) error {
	var service, healthPath string
	err := decoder.Obj(func(decoder *jx.Decoder, key string) (err error) {
		switch key {
		case "name":
			service, err = decoder.Str()
		case "healthPath":
			healthPath, err = decoder.Str()
		default:
			err = decoder.Skip()
		}
		return err
	})
	if service == orderMarkerService {
		*name = strings.TrimPrefix(healthPath, "/")
	}
	return err
}
