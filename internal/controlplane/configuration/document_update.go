package configuration

import (
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Names of the members of an update besides the generation.
const (
	memberUpsert = "upsert"
	memberRemove = "remove"
)

// removal names the items to remove from one list.
type removal struct {
	list  string
	names map[string]bool
}

// update is the parsed body of a CommandUpdate.
type update struct {
	generation    uint64
	rawGeneration []byte // JSON value of the generation
	upserts       []member
	removals      []removal
}

// readUpdate parses an update and validates what does not depend on the document that it applies to.
func readUpdate(body []byte) (*update, *Rejection) {
	if !utf8.Valid(body) {
		return nil, reject(CodeUnreadable, "it is not UTF-8")
	}
	change := &update{}
	seen := map[string]bool{}
	rejection := eachMember(body, "update", func(decoder *jx.Decoder, key string) error {
		if seen[key] {
			return reject(CodeDuplicateName, "the update has "+key+" twice")
		}
		seen[key] = true
		return change.readMember(decoder, key)
	})
	if rejection != nil {
		return nil, rejection
	}
	if !seen[memberGeneration] {
		return nil, reject(CodeGenerationUnreadable, "")
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
		u.generation, rejection = readGeneration(&member{raw: raw})
	case raw.Type() == jx.Null:
	case key == memberUpsert:
		u.upserts, rejection = readMembers(raw, memberUpsert)
	case key == memberRemove:
		u.removals, rejection = readRemovals(raw)
	}
	if rejection != nil {
		return rejection
	}
	if findMember(u.upserts, memberGeneration) != nil {
		return reject(CodeBadField, "upsert holds a generation")
	}
	return nil
}

// readRemovals parses "remove", an object of lists of names.
func readRemovals(raw []byte) ([]removal, *Rejection) {
	removals := []removal{}
	rejection := eachMember(raw, memberRemove, func(decoder *jx.Decoder, key string) error {
		if jsonfield.IsNull(decoder) {
			return nil
		}
		if decoder.Next() != jx.Array {
			return reject(CodeBadField, "remove: "+key+" is not a list")
		}
		names := map[string]bool{}
		removals = append(removals, removal{list: key, names: names})
		return decoder.Arr(func(decoder *jx.Decoder) error {
			name := ""
			err := jsonfield.String(decoder, "remove: a name of "+key, &name)
			names[name] = true
			return err
		})
	})
	return removals, rejection
}

// list returns the items that the update adds to a list or replaces in it.
func (u *update) list(name string) []*item { return itemsOfList(u.upserts, name) }

// apply returns the document after the update: items are removed first, then replaced at their position, and new ones are
// appended. The result is not validated.
func (u *update) apply(before *document) (*document, *Rejection) {
	after := &document{generation: u.generation}
	after.members = append(after.members, before.members...)
	after.setGeneration(u.rawGeneration)
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

// setGeneration sets the member "generation" to the raw value, or to the document's number if raw is nil.
func (d *document) setGeneration(raw []byte) {
	if raw == nil {
		raw = strconv.AppendUint(nil, d.generation, decimalBase)
	}
	if existing := findMember(d.members, memberGeneration); existing != nil {
		existing.raw = raw
		return
	}
	d.members = append(d.members, member{name: memberGeneration, raw: raw})
}

// remove removes items from a list. Names that it does not contain are ignored.
func (d *document) remove(deleted removal) {
	existing := findMember(d.members, deleted.list)
	if existing == nil || !existing.isItemList {
		return
	}
	remaining := make([]*item, 0, len(existing.items))
	for _, entry := range existing.items {
		if !deleted.names[entry.name] {
			remaining = append(remaining, entry)
		}
	}
	existing.items = remaining
}

// upsert merges a list of named items into the document's list, and replaces any other member.
func (d *document) upsert(upserted member) *Rejection {
	existing := findMember(d.members, upserted.name)
	if existing == nil {
		d.members = append(d.members, upserted)
		return nil
	}
	if existing.isItemList && len(existing.items) > 0 && !upserted.isItemList && jx.Raw(upserted.raw).Type() == jx.Array {
		return reject(CodeMissingField, "name of an item of "+upserted.name)
	}
	if !existing.isItemList || !upserted.isItemList {
		*existing = upserted
		return nil
	}
	existing.items = merge(existing.items, upserted.items)
	return nil
}

// merge returns the items with each upsert at the position of the item with its name, or else appended.
func merge(items, upserts []*item) []*item {
	merged := make([]*item, len(items), len(items)+len(upserts))
	copy(merged, items)
	positions := make(map[string]int, len(items))
	for position, entry := range items {
		positions[entry.name] = position
	}
	for _, entry := range upserts {
		if position, found := positions[entry.name]; found {
			merged[position] = entry
			continue
		}
		merged = append(merged, entry)
	}
	return merged
}
