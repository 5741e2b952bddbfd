package fleetview

import (
	"strings"

	"github.com/google/btree"

	"ospreybend/internal/controlplane/configuration"
)

// routeTreeDegree is the degree of the tree of routes.
const routeTreeDegree = 16

// routeTable is an index of the routes by host and path prefix. A copy shares what is equal with the original, so that a change
// of a few routes costs little however many there are.
type routeTable struct {
	tree *btree.BTreeG[routeEntry]
}

// routeEntry is a route under what it matches.
type routeEntry struct {
	host       string
	pathPrefix string
	route      *configuration.Route
}

// before reports whether the entry sorts before another one: by host, then by path prefix.
func (e routeEntry) before(other routeEntry) bool {
	if e.host != other.host {
		return e.host < other.host
	}
	return e.pathPrefix < other.pathPrefix
}

func newRouteTable() routeTable {
	return routeTable{tree: btree.NewG(routeTreeDegree, routeEntry.before)}
}

// clone returns a copy that can be changed independently.
func (t routeTable) clone() routeTable { return routeTable{tree: t.tree.Clone()} }

// put adds a route, which the caller must not modify afterwards.
func (t routeTable) put(route *configuration.Route) {
	t.tree.ReplaceOrInsert(routeEntry{host: route.Hostname, pathPrefix: route.PathPrefix, route: route})
}

// remove removes a route unless another one has taken its place.
func (t routeTable) remove(route *configuration.Route) {
	entry := routeEntry{host: route.Hostname, pathPrefix: route.PathPrefix}
	if found, exists := t.tree.Get(entry); exists && found.route == route {
		t.tree.Delete(entry)
	}
}

// MatchRoute returns the route with the longest path prefix that matches a request, or nil if none matches. The host must be in lower
// case and without a port, the path without a query.
func (v *View) MatchRoute(host, path string) *configuration.Route {
	// Every prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
	candidate := upToLastSlash(path)
	for candidate != "" {
		entry := v.routes.lastNotAfter(host, candidate)
		if entry.route == nil || entry.host != host {
			return nil
		}
		if strings.HasPrefix(candidate, entry.pathPrefix) {
			return entry.route
		}
		// A shorter prefix of the candidate sorts before this entry, and all entries between the two begin with it. So a prefix
		// that matches is also one of this entry's path prefix.
		candidate = upToLastSlash(candidate[:commonPrefixLength(candidate, entry.pathPrefix)])
	}
	return nil
}

// lastNotAfter returns the last entry that does not sort after the host and path prefix, or the zero value if there is none.
func (t routeTable) lastNotAfter(host, pathPrefix string) (found routeEntry) {
	t.tree.DescendLessOrEqual(routeEntry{host: host, pathPrefix: pathPrefix}, func(entry routeEntry) bool {
		found = entry
		return false
	})
	return found
}

// upToLastSlash returns the path up to and including its last slash.
func upToLastSlash(path string) string { return path[:strings.LastIndexByte(path, '/')+1] }

// commonPrefixLength returns the length of the longest common prefix of two strings in bytes.
func commonPrefixLength(a, b string) int {
	length := 0
	for length < min(len(a), len(b)) && a[length] == b[length] {
		length++
	}
	return length
}
