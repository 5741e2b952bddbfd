package catalog

import "ospreybend/internal/configuration"

// routeTable finds a route by host and path.
type routeTable struct {
	byHost map[string][]*configuration.Route // longest prefix first
}
