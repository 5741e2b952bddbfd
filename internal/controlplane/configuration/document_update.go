package configuration

import (
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Names of the members of an update, other than the generation.
const (
	memberUpsert = "upsert"
	memberRemove = "remove"
)

// listRemoval contains the names of the items to remove from one list.
type listRemoval struct {
	list  string
	names map[string]bool
}

// update is the parsed body of a CommandUpdate.
type update struct {
	generation    uint64
	rawGeneration []byte // JSON value as received
	upserts       []parsedMember
	removals      []listRemoval
}

// readUpdate parses an update and performs the checks that do not depend on the document that it applies to.
func readUpdate(body []byte) (*update, *Rejection) {
	if !utf8.Valid(body) {
		return nil, reject(CodeMalformed, "it is not UTF-8")
	}
	change := &update{}
	present := map[string]bool{}
	rejection := eachMember(body, "update", func(decoder *jx.Decoder, key string) error {
		if present[key] {
			return reject(CodeDuplicateName, "the update has "+key+" twice")
		}
		present[key] = true
		return change.readMember(decoder, key)
	})
	if rejection != nil {
		return nil, rejection
	}
	if !present[memberGeneration] {
		return nil, reject(CodeInvalidGeneration, "")
	}
	return change, nil
}

// readMember parses one member of an update; unknown members are ignored.
func (u *update) readMember(decoder *jx.Decoder, key string) error {
	raw, err := decoder.Raw()
	if err != nil {
		return err
	}
	rejection := (*Rejection)(nil)
	switch {
	case key == memberGeneration:
		u.rawGeneration = raw
		u.generation, rejection = readGeneration(&parsedMember{raw: raw})
	case raw.Type() == jx.Null:
	case key == memberUpsert:
		u.upserts, rejection = readMembers(raw, memberUpsert)
	case key == memberRemove:
		u.removals, rejection = readRemovals(raw)
	}
	if rejection != nil {
		return rejection
	}
	if findParsed(u.upserts, memberGeneration) != nil {
		return reject(CodeBadField, "upsert holds a generation")
	}
	return nil
}

// readRemovals parses "remove", an object that maps each list to the names to remove from it.
func readRemovals(raw []byte) ([]listRemoval, *Rejection) {
	removals := []listRemoval{}
	rejection := eachMember(raw, memberRemove, func(decoder *jx.Decoder, key string) error {
		if jsonfield.IsNull(decoder) {
			return nil
		}
		if decoder.Next() != jx.Array {
			return reject(CodeBadField, "remove: "+key+" is not a list")
		}
		names := map[string]bool{}
		removals = append(removals, listRemoval{list: key, names: names})
		return decoder.Arr(func(decoder *jx.Decoder) error {
			name := ""
			err := jsonfield.String(decoder, "remove: a name of "+key, &name)
			names[name] = true
			return err
		})
	})
	return removals, rejection
}

// list returns the items that the update adds to or replaces in the list with the given name.
func (u *update) list(name string) []*item { return itemsOfList(u.upserts, name) }

// names returns the names of the items that the update adds to, replaces in or removes from the list with the given name,
// sorted and without duplicates.
func (u *update) names(list string) []string {
	var names []string
	for _, entry := range u.list(list) {
		names = append(names, entry.name)
	}
	names = append(names, u.removedNames(list)...)
	slices.Sort(names)
	return slices.Compact(names)
}

// removedNames returns the names to remove from the list with the given name.
func (u *update) removedNames(list string) []string {
	var names []string
	for _, removal := range u.removals {
		if removal.list == list {
			names = slices.AppendSeq(names, maps.Keys(removal.names))
		}
	}
	return names
}

// apply returns the document after the update. Items are removed first; then existing items are replaced in place and new
// ones are appended. The result is not validated.
func (u *update) apply(before *document) (*document, *Rejection) {
	after := &document{generation: u.generation, routes: before.routes.clone()}
	after.members = append(after.members, before.members...)
	after.setGeneration(u.rawGeneration)
	for _, name := range u.changedLists() {
		if existing := after.member(name); existing != nil && existing.items != nil {
			existing.items = existing.items.clone()
		}
	}
	for _, deleted := range u.removals {
		after.remove(deleted)
	}
	for _, upserted := range u.upserts {
		if rejection := after.upsert(upserted); rejection != nil {
			return nil, rejection
		}
	}
	return after, nil
}

// changedLists returns the names of the lists that the update may change, without duplicates.
func (u *update) changedLists() []string {
	var names []string
	for _, deleted := range u.removals {
		names = append(names, deleted.list)
	}
	for _, upserted := range u.upserts {
		names = append(names, upserted.name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// The functions below change a document that update.apply is creating.

// setGeneration sets the member "generation" to the raw value, or to the document's generation if raw is nil.
func (d *document) setGeneration(raw []byte) {
	if raw == nil {
		raw = strconv.AppendUint(nil, d.generation, decimalBase)
	}
	if existing := d.member(memberGeneration); existing != nil {
		existing.raw = raw
		return
	}
	d.members = append(d.members, member{name: memberGeneration, raw: raw})
}

// remove removes items from a list. Names that the list does not contain are ignored.
func (d *document) remove(deleted listRemoval) {
	existing := d.member(deleted.list)
	if existing == nil || existing.items == nil {
		return
	}
	for name := range deleted.names {
		if removed, found := existing.items.remove(name); found && deleted.list == listRoutes {
			d.routes.remove(removed)
		}
	}
}

// upsert merges a list of named items into the document's list of that name. A member that is not such a list in both is
// replaced, except that a non-empty list of named items cannot be replaced by a list of other elements.
func (d *document) upsert(upserted parsedMember) *Rejection {
	existing := d.member(upserted.name)
	if existing == nil {
		d.members = append(d.members, newMember(upserted))
		return nil
	}
	if existing.items != nil && existing.items.len() > 0 && !upserted.isItemList && jx.Raw(upserted.raw).Type() == jx.Array {
		return reject(CodeMissingField, "name of an item of "+upserted.name)
	}
	if existing.items == nil || !upserted.isItemList {
		*existing = newMember(upserted)
		return nil
	}
	for _, entry := range upserted.items {
		d.upsertItem(existing, entry)
	}
	return nil
}

// upsertItem adds an item to a list or replaces the one with the same name.
func (d *document) upsertItem(list *member, upserted *item) {
	entry, previous, replaced := list.items.put(upserted)
	if list.name != listRoutes {
		return
	}
	if replaced {
		d.routes.remove(previous)
	}
	d.routes.add(entry)
}
