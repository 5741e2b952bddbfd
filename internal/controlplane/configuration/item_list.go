package configuration

import (
	"iter"

	"github.com/google/btree"
)

// itemTreeDegree is the degree of the trees of a document.
const itemTreeDegree = 16

// listEntry is an item at a position of a list. Positions only order the items: those of removed items are not used again.
type listEntry struct {
	name     string // of the item
	position uint64
	item     *item
}

// itemList is a list of items with distinct names. An item is found, added, replaced or removed in logarithmic time, and clone
// takes constant time, so that the cost of a change does not depend on the length of the list.
type itemList struct {
	byName       *btree.BTreeG[listEntry]
	byPosition   *btree.BTreeG[listEntry]
	nextPosition uint64
	rawBytes     int // total size of the items
}

// newItemList returns a list of the given items, whose names are distinct.
func newItemList(items []*item) *itemList {
	list := &itemList{
		byName:     btree.NewG(itemTreeDegree, func(a, b listEntry) bool { return a.name < b.name }),
		byPosition: btree.NewG(itemTreeDegree, func(a, b listEntry) bool { return a.position < b.position }),
	}
	for _, added := range items {
		list.insert(listEntry{name: added.name, position: list.nextPosition, item: added})
		list.nextPosition++
	}
	return list
}

// insert adds an entry, in place of the one with the same name and position if there is one.
func (l *itemList) insert(entry listEntry) {
	l.byName.ReplaceOrInsert(entry)
	l.byPosition.ReplaceOrInsert(entry)
	l.rawBytes += len(entry.item.raw)
}

// clone returns a copy that can be changed independently. Both share the memory of what is equal.
func (l *itemList) clone() *itemList {
	copied := *l
	copied.byName, copied.byPosition = l.byName.Clone(), l.byPosition.Clone()
	return &copied
}

func (l *itemList) len() int { return l.byName.Len() }

// get returns the entry of the item with the given name, and whether there is one.
func (l *itemList) get(name string) (listEntry, bool) { return l.byName.Get(listEntry{name: name}) }

// put adds an item at the end, or in place of the one with the same name. It returns the new entry, and the one that it replaces if
// replaced is true.
func (l *itemList) put(added *item) (entry, previous listEntry, replaced bool) {
	entry = listEntry{name: added.name, position: l.nextPosition, item: added}
	previous, replaced = l.get(added.name)
	if replaced {
		entry.position = previous.position
		l.rawBytes -= len(previous.item.raw)
	} else {
		l.nextPosition++
	}
	l.insert(entry)
	return entry, previous, replaced
}

// remove removes the item with the given name, and returns its entry and whether there was one.
func (l *itemList) remove(name string) (listEntry, bool) {
	removed, found := l.get(name)
	if !found {
		return listEntry{}, false
	}
	l.byName.Delete(removed)
	l.byPosition.Delete(removed)
	l.rawBytes -= len(removed.item.raw)
	return removed, true
}

// entries returns the entries in the order of the list.
func (l *itemList) entries() iter.Seq[listEntry] { return entriesOf(l.byPosition) }

// sortedByName returns the entries in the order of their names.
func (l *itemList) sortedByName() iter.Seq[listEntry] { return entriesOf(l.byName) }

// entriesOf returns the entries of a tree in ascending order.
func entriesOf(tree *btree.BTreeG[listEntry]) iter.Seq[listEntry] {
	return func(yield func(listEntry) bool) { tree.Ascend(yield) }
}

// routeIndex finds the routes that match the same requests, and those that send requests to a service. Like an itemList it can
// be cloned and changed without regard to its size.
type routeIndex struct {
	byMatch   *btree.BTreeG[matchEntry]
	byService *btree.BTreeG[serviceEntry]
}

// matchEntry is a route under what it matches.
type matchEntry struct {
	match routeMatch
	listEntry
}

// serviceEntry is a route under the name of one of its targets.
type serviceEntry struct {
	service string
	listEntry
}

// newRouteIndex returns an index of the routes of a list.
func newRouteIndex(routes *itemList) routeIndex {
	index := routeIndex{
		byMatch:   btree.NewG(itemTreeDegree, matchEntry.before),
		byService: btree.NewG(itemTreeDegree, serviceEntry.before),
	}
	for entry := range routes.entries() {
		index.add(entry)
	}
	return index
}

// before reports whether the entry sorts before another one: by match, then by position.
func (e matchEntry) before(other matchEntry) bool {
	if e.match != other.match {
		return e.match.before(other.match)
	}
	return e.position < other.position
}

// before reports whether the entry sorts before another one: by service, then by position.
func (e serviceEntry) before(other serviceEntry) bool {
	if e.service != other.service {
		return e.service < other.service
	}
	return e.position < other.position
}

func (i routeIndex) clone() routeIndex {
	return routeIndex{byMatch: i.byMatch.Clone(), byService: i.byService.Clone()}
}

// add adds the route of an entry.
func (i routeIndex) add(entry listEntry) {
	i.byMatch.ReplaceOrInsert(matchEntry{match: matchOf(entry.item), listEntry: entry})
	for _, target := range entry.item.route.Targets {
		i.byService.ReplaceOrInsert(serviceEntry{service: target.Service, listEntry: entry})
	}
}

// remove removes the route of an entry.
func (i routeIndex) remove(entry listEntry) {
	i.byMatch.Delete(matchEntry{match: matchOf(entry.item), listEntry: entry})
	for _, target := range entry.item.route.Targets {
		i.byService.Delete(serviceEntry{service: target.Service, listEntry: entry})
	}
}

// firstTwo returns the first two routes with the given match, in the order of the list, and whether there are two.
func (i routeIndex) firstTwo(match routeMatch) (first, second listEntry, found bool) {
	count := 0
	i.byMatch.AscendGreaterOrEqual(matchEntry{match: match}, func(entry matchEntry) bool {
		if entry.match != match {
			return false
		}
		count++
		first, second = second, entry.listEntry
		return count < 2
	})
	return first, second, count == 2
}

// firstUser returns the first route with the service as target, and whether there is one.
func (i routeIndex) firstUser(service string) (user listEntry, found bool) {
	i.byService.AscendGreaterOrEqual(serviceEntry{service: service}, func(entry serviceEntry) bool {
		user, found = entry.listEntry, entry.service == service
		return false
	})
	return user, found
}
