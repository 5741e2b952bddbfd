package configuration

import (
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

const (
	memberUpsert = "upsert"
	memberRemove = "remove"
)

// removal names items of one list.
type removal struct {
	list  string
	names map[string]bool
}

// update is the body of a change to named items.
type update struct {
	generation uint64
	raw        []byte // of the generation
	upserts    []member
	removals   []removal
}

// readUpdate reads and checks what can be told of an update without the document.
func readUpdate(body []byte) (*update, *Refusal) {
	if !utf8.Valid(body) {
		return nil, refuse(Unreadable, "it is not UTF-8")
	}
	change := &update{}
	seen := map[string]bool{}
	refusal := eachMember(body, "update", func(decoder *jx.Decoder, key string) error {
		if seen[key] {
			return refuse(DuplicateName, "the update has "+key+" twice")
		}
		seen[key] = true
		return change.readMember(decoder, key)
	})
	if refusal != nil {
		return nil, refusal
	}
	if !seen[memberGeneration] {
		return nil, refuse(GenerationUnreadable, "")
	}
	return change, nil
}

func (u *update) readMember(decoder *jx.Decoder, key string) error {
	raw, err := decoder.Raw()
	if err != nil {
		return err
	}
	refusal := (*Refusal)(nil)
	switch {
	case key == memberGeneration:
		u.raw = raw
		u.generation, refusal = readGeneration(&member{raw: raw})
	case raw.Type() == jx.Null:
	case key == memberUpsert:
		u.upserts, refusal = readMembers(raw, memberUpsert)
	case key == memberRemove:
		u.removals, refusal = readRemovals(raw)
	}
	if refusal != nil {
		return refusal
	}
	if find(u.upserts, memberGeneration) != nil {
		return refuse(BadField, "upsert holds a generation")
	}
	return nil
}

// readRemovals reads an object of lists of names.
func readRemovals(raw []byte) ([]removal, *Refusal) {
	removals := []removal{}
	refusal := eachMember(raw, memberRemove, func(decoder *jx.Decoder, key string) error {
		if jsonfield.IsNull(decoder) {
			return nil
		}
		if decoder.Next() != jx.Array {
			return refuse(BadField, "remove: "+key+" is not a list")
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
	return removals, refusal
}

// list returns the items that are added to or replaced in a list.
func (u *update) list(name string) []*item { return itemsOf(u.upserts, name) }

// apply returns the document after the update: items are removed first, then replaced in their
// place, and new ones are appended. The result is not checked.
func (u *update) apply(before *document) (*document, *Refusal) {
	after := &document{generation: u.generation}
	after.members = append(after.members, before.members...)
	after.setGeneration(u.raw)
	for _, gone := range u.removals {
		after.remove(gone)
	}
	for _, part := range u.upserts {
		if refusal := after.upsert(part); refusal != nil {
			return nil, refusal
		}
	}
	return after, nil
}

func (d *document) setGeneration(raw []byte) {
	if raw == nil {
		raw = strconv.AppendUint(nil, d.generation, 10)
	}
	if held := find(d.members, memberGeneration); held != nil {
		held.raw = raw
		return
	}
	d.members = append(d.members, member{name: memberGeneration, raw: raw})
}

// remove takes items out of a list; names that are not there are passed over.
func (d *document) remove(gone removal) {
	held := find(d.members, gone.list)
	if held == nil || !held.named {
		return
	}
	kept := make([]*item, 0, len(held.items))
	for _, entry := range held.items {
		if !gone.names[entry.name] {
			kept = append(kept, entry)
		}
	}
	held.items = kept
}

// upsert merges a list of named items, and replaces any other member whole.
func (d *document) upsert(part member) *Refusal {
	held := find(d.members, part.name)
	if held == nil {
		d.members = append(d.members, part)
		return nil
	}
	if held.named && len(held.items) > 0 && !part.named && jx.Raw(part.raw).Type() == jx.Array {
		return refuse(MissingField, "name of an item of "+part.name)
	}
	if !held.named || !part.named {
		*held = part
		return nil
	}
	held.items = merge(held.items, part.items)
	return nil
}

// merge returns the items with those of upserts in the place of their namesakes, or at the end.
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
