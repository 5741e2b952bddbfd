package catalog

import "ospreybend/internal/configuration"

// routeTable finds a route by host and path.
type routeTable struct {
	byHost map[string][]*configuration.Route // longest prefix first
}

// Match returns the route of a request, or nil. The host is in lower case and has no port; the path
// has no query.
func (v *View) Match(host, path string) *configuration.Route { panic("not built yet") }
