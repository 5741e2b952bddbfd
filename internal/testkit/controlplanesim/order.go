package controlplanesim

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// markService is a service of every configuration whose health path names the order that the configuration came by.
const markService = "mark"

// order is one change of the configuration by an operator; every attempt sends it unchanged.
type order struct {
	name       string
	kind       history.Kind
	base       uint64
	generation uint64
	body       []byte
	invalid    bool
}

// replaceOrder is a complete configuration.
func replaceOrder(name string, base, generation uint64) order {
	body := fmt.Sprintf(`{"generation":%d,"routes":[%s],"services":[%s,%s],"limits":%s}`,
		generation, routeJSON("r0", "/p/", "s0"), serviceJSON("s0", "/health"), serviceJSON(markService, "/"+name), limitsJSON)
	return order{name: name, kind: history.Replace, base: base, generation: generation, body: []byte(body)}
}

// updateOrder alters named items of the configuration that it builds on.
func updateOrder(name string, base, generation uint64) order {
	body := fmt.Sprintf(`{"generation":%d,"upsert":{"services":[%s,%s],"routes":[%s]}}`,
		generation, serviceJSON("s0", "/health"), serviceJSON(markService, "/"+name), routeJSON("r1", "/q/", "s0"))
	return order{name: name, kind: history.Update, base: base, generation: generation, body: []byte(body)}
}

// withBase is the same body sent with a base that was passed before the order was accepted: another order, which must be rejected.
func (o order) withBase(name string, base uint64) order {
	o.name, o.base, o.invalid = name, base, true
	return o
}

const limitsJSON = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`

func routeJSON(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"a.example","pathPrefix":%q,"routeType":"idempotent","timeoutMs":1000,`+
		`"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":2}`, name, prefix, service)
}

func serviceJSON(name, healthPath string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":%q,"maxConnections":10}`, name, healthPath)
}

// invalidOrder is a configuration that must be rejected whatever is in force.
func invalidOrder(name string, base, generation uint64, variant schedule.Variant) order {
	made := replaceOrder(name, base, generation)
	made.invalid = true
	text := string(made.body)
	switch variant {
	case schedule.InvalidBytes:
		text = text[:len(text)/2]
	case schedule.InvalidService:
		text = strings.Replace(text, `"service":"s0"`, `"service":"none"`, 1)
	case schedule.InvalidRoutes:
		text = strings.Replace(text, `"routes":[`, `"routes":[`+routeJSON("other", "/p/", "s0")+",", 1)
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

// request is the call that carries the order.
func (o order) request() server.APIRequest {
	request := server.APIRequest{Call: server.APIReplace, Base: strconv.FormatUint(o.base, 10), Body: o.body}
	if o.kind == history.Update {
		request.Call = server.APIUpdate
	}
	return request
}

// readDocument returns the generation of a configuration and the order that it came by.
func readDocument(body []byte) (generation uint64, name string, err error) {
	var document struct {
		Generation uint64
		Services   []struct{ Name, HealthPath string }
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return 0, "", err
	}
	for _, service := range document.Services {
		if service.Name == markService {
			name = strings.TrimPrefix(service.HealthPath, "/")
		}
	}
	return document.Generation, name, nil
}
