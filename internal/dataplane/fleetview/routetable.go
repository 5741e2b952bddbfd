package fleetview

import (
	"strings"

	"ospreybend/internal/controlplane/configuration"
)

// routeTable finds routes by host and path. It is immutable.
type routeTable struct {
	byHost map[string]hostRoutes
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*configuration.Route
	longest  int // length of the longest prefix in bytes
}

// newRouteTable returns the table of the routes, which must not be changed afterwards.
func newRouteTable(routes map[string]*configuration.Route) routeTable {
	table := routeTable{byHost: map[string]hostRoutes{}}
	for _, route := range routes {
		ofHost, found := table.byHost[route.Hostname]
		if !found {
			ofHost.byPrefix = map[string]*configuration.Route{}
		}
		ofHost.byPrefix[route.PathPrefix] = route
		ofHost.longest = max(ofHost.longest, len(route.PathPrefix))
		table.byHost[route.Hostname] = ofHost
	}
	return table
}

// MatchRoute returns the route of a request by its longest matching prefix, or nil. The host is in lower case and has no port; the path
// has no query.
func (v *View) MatchRoute(host, path string) *configuration.Route {
	ofHost, found := v.routes.byHost[host]
	if !found {
		return nil
	}
	// Each prefix ends with a slash: only parts of the path that end with one are candidates.
	candidate := path[:min(len(path), ofHost.longest)]
	for {
		slash := strings.LastIndexByte(candidate, '/')
		if slash < 0 {
			return nil
		}
		if route := ofHost.byPrefix[candidate[:slash+1]]; route != nil {
			return route
		}
		candidate = candidate[:slash]
	}
}
