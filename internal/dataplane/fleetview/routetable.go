package fleetview

import (
	"strings"

	"ospreybend/internal/controlplane/configuration"
)

// routeTable is an immutable index of the routes by host and path prefix.
type routeTable struct {
	byHost map[string]hostRoutes
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix      map[string]*configuration.Route
	longestPrefix int // length of the longest path prefix in bytes
}

// newRouteTable returns the table of the given routes. The caller must not modify a route afterwards.
func newRouteTable(routes map[string]*configuration.Route) routeTable {
	table := routeTable{byHost: map[string]hostRoutes{}}
	for _, route := range routes {
		hostEntry, found := table.byHost[route.Hostname]
		if !found {
			hostEntry.byPrefix = map[string]*configuration.Route{}
		}
		hostEntry.byPrefix[route.PathPrefix] = route
		hostEntry.longestPrefix = max(hostEntry.longestPrefix, len(route.PathPrefix))
		table.byHost[route.Hostname] = hostEntry
	}
	return table
}

// MatchRoute returns the route with the longest path prefix that matches a request, or nil if none matches. The host must be in lower
// case and without a port, the path without a query.
func (v *View) MatchRoute(host, path string) *configuration.Route {
	hostEntry, found := v.routes.byHost[host]
	if !found {
		return nil
	}
	// Every prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
	candidate := path[:min(len(path), hostEntry.longestPrefix)]
	for {
		slash := strings.LastIndexByte(candidate, '/')
		if slash < 0 {
			return nil
		}
		if route := hostEntry.byPrefix[candidate[:slash+1]]; route != nil {
			return route
		}
		candidate = candidate[:slash]
	}
}
