package catchupbench

import (
	"fmt"
	"strings"

	"ospreybend/internal/controlplane/configuration"
)

// service is the name of the service that all routes use.
const service = "model-1"

// route returns the JSON of a route.
func route(number int, timeoutMs uint64) string {
	return fmt.Sprintf(`{"name":"route-%d","hostname":"tenant-%d.example","pathPrefix":"/v1/","routeType":"streaming","timeoutMs":%d,`+
		`"targetLatencyMs":310,"priority":0,"service":%q,"maxAttempts":2,"sessionAffinity":true,"resumable":true,"gap_aim_ms":27}`,
		number, number, timeoutMs, service)
}

// nextCommand returns the change that follows the given generation: one in ReplaceEvery changes replaces the complete document, the
// others update a single route.
func (p Plan) nextCommand(generation uint64) configuration.Command {
	next := generation + 1
	if generation%uint64(p.ReplaceEvery) != 0 {
		body := fmt.Appendf(nil, `{"generation":%d,"upsert":{"routes":[%s]}}`, next, route(int(next)%p.Routes, 8000+next))
		return configuration.Command{Kind: configuration.CommandUpdate, Base: generation, Body: body}
	}
	routes := make([]string, p.Routes)
	for number := range routes {
		routes[number] = route(number, 8000+next)
	}
	body := fmt.Appendf(nil, `{"generation":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConnections":370}],"limits":{}}`,
		next, strings.Join(routes, ","), service)
	return configuration.Command{Kind: configuration.CommandReplace, Base: generation, Body: body}
}
