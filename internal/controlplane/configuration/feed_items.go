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
	items := []feed.Item{{Key: KeyGeneration, Value: strconv.AppendUint(nil, d.generation, decimalBase)}}
	if limits := findMember(d.members, memberLimits); limits != nil {
		items = append(items, feed.Item{Key: KeyLimits, Value: limits.raw})
	}
	for _, entry := range d.list(listRoutes) {
		items = append(items, feed.Item{Key: KeyRoutePrefix + entry.name, Value: entry.raw})
	}
	for _, entry := range d.list(listServices) {
		items = append(items, feed.Item{Key: KeyServicePrefix + entry.name, Value: entry.raw})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// diff returns the feed items to put and the keys to delete that turn the items of before into those of after, both sorted
// by key.
func diff(before, after *document) (put []feed.Item, deleted []string) {
	previous := map[string][]byte{}
	for _, entry := range before.items() {
		previous[entry.Key] = entry.Value
	}
	for _, entry := range after.items() {
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
