package configuration

import (
	"bytes"
	"sort"
	"strconv"

	"ospreybend/coord/feed"
)

// items returns the feed items of the document, sorted by key, or nil before the first configuration.
func (d *document) items() []feed.Item {
	if d.generation == 0 {
		return nil
	}
	items := d.singleItems()
	for _, list := range feedLists {
		for entry := range d.list(list.name).sortedByName() {
			items = append(items, feed.Item{Key: list.keyPrefix + entry.item.name, Value: entry.item.raw})
		}
	}
	return items
}

// feedLists are the lists whose items are feed items, in the order of their keys.
var feedLists = []struct{ name, keyPrefix string }{{listRoutes, KeyRoutePrefix}, {listServices, KeyServicePrefix}}

// singleItems returns the feed items of the document that are not in a list, sorted by key. Their keys are below those of the
// lists. There are none before the first configuration.
func (d *document) singleItems() []feed.Item {
	if d.generation == 0 {
		return nil
	}
	items := []feed.Item{{Key: KeyGeneration, Value: strconv.AppendUint(nil, d.generation, decimalBase)}}
	if limits := d.member(memberLimits); limits != nil {
		items = append(items, feed.Item{Key: KeyLimits, Value: limits.raw})
	}
	return items
}

// diff returns the feed items to put and the keys to delete that turn the items before into those after. The results are
// sorted by key.
func diff(before, after []feed.Item) (put []feed.Item, deleted []string) {
	previous := make(map[string][]byte, len(before))
	for _, entry := range before {
		previous[entry.Key] = entry.Value
	}
	for _, entry := range after {
		value, found := previous[entry.Key]
		delete(previous, entry.Key)
		if !found || !bytes.Equal(value, entry.Value) {
			put = append(put, entry)
		}
	}
	for key := range previous {
		deleted = append(deleted, key)
	}
	sort.Strings(deleted)
	return put, deleted
}

// diffOf returns what diff returns for all items of two documents, of which the update turns the first into the second. It looks
// only at the items that the update names.
func (u *update) diffOf(before, after *document) (put []feed.Item, deleted []string) {
	put, deleted = diff(before.singleItems(), after.singleItems())
	for _, list := range feedLists {
		previous, next := before.list(list.name), after.list(list.name)
		for _, name := range u.names(list.name) {
			old, existed := previous.get(name)
			current, exists := next.get(name)
			switch key := list.keyPrefix + name; {
			case existed && !exists:
				deleted = append(deleted, key)
			case existed && bytes.Equal(old.item.raw, current.item.raw):
			case exists:
				put = append(put, feed.Item{Key: key, Value: current.item.raw})
			}
		}
	}
	return put, deleted
}
