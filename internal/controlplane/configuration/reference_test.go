package configuration

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/jx"

	"ospreybend/coord/feed"
)

// referenceDocument is a simple model of a document: updates copy all items, and the whole result is validated and compared.
type referenceDocument struct{ parsedDocument }

// apply returns the document after an update.
func (d referenceDocument) apply(change *update) (referenceDocument, *Rejection) {
	after := referenceDocument{parsedDocument{generation: change.generation, members: slices.Clone(d.members)}}
	raw := change.rawGeneration
	if raw == nil {
		raw = strconv.AppendUint(nil, change.generation, decimalBase)
	}
	findParsed(after.members, memberGeneration).raw = raw
	for _, removal := range change.removals {
		if list := findParsed(after.members, removal.list); list != nil {
			list.items = slices.DeleteFunc(slices.Clone(list.items), func(entry *item) bool { return removal.names[entry.name] })
		}
	}
	for _, upserted := range change.upserts {
		if rejection := after.upsert(upserted); rejection != nil {
			return after, rejection
		}
	}
	return after, nil
}

// upsert merges a member of an update into the document.
func (d *referenceDocument) upsert(upserted parsedMember) *Rejection {
	existing := findParsed(d.members, upserted.name)
	switch {
	case existing == nil:
		d.members = append(d.members, upserted)
	case existing.isItemList && len(existing.items) > 0 && !upserted.isItemList && jx.Raw(upserted.raw).Type() == jx.Array:
		return reject(CodeMissingField, "name of an item of "+upserted.name)
	case !existing.isItemList || !upserted.isItemList:
		*existing = upserted
	default:
		merged := slices.Clone(existing.items)
		for _, entry := range upserted.items {
			position := slices.IndexFunc(merged, func(other *item) bool { return other.name == entry.name })
			if position >= 0 {
				merged[position] = entry
			} else {
				merged = append(merged, entry)
			}
		}
		existing.items = merged
	}
	return nil
}

// items returns the feed items, sorted by key.
func (d referenceDocument) items() []feed.Item {
	items := []feed.Item{{Key: KeyGeneration, Value: strconv.AppendUint(nil, d.generation, decimalBase)}}
	if limits := findParsed(d.members, memberLimits); limits != nil {
		items = append(items, feed.Item{Key: KeyLimits, Value: limits.raw})
	}
	for _, list := range feedLists {
		for _, entry := range itemsOfList(d.members, list.name) {
			items = append(items, feed.Item{Key: list.keyPrefix + entry.name, Value: entry.raw})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// randomNamed returns up to limit distinct names with a prefix.
func randomNamed(random *rand.Rand, prefix string, count, limit int) []string {
	names := make([]string, 0, limit)
	for _, number := range random.Perm(count)[:random.IntN(limit+1)] {
		names = append(names, prefix+strconv.Itoa(number))
	}
	return names
}

// randomReferenceUpdate returns an update with any mixture of routes, services and other items, many of which conflict.
func randomReferenceUpdate(random *rand.Rand, generation uint64) string {
	var routes, services, notes []string
	for _, name := range randomNamed(random, "r", 8, 3) {
		prefix, service := fmt.Sprintf("/p%d/", random.IntN(12)), fmt.Sprintf("s%d", random.IntN(5))
		routes = append(routes, routeNamed(name, fmt.Sprintf("h%d", random.IntN(2)), prefix, service, 1+random.IntN(9)))
	}
	for _, name := range randomNamed(random, "s", 5, 2) {
		services = append(services, fmt.Sprintf(`{"name":%q,"maxConnections":%d}`, name, random.IntN(3)))
	}
	for _, name := range randomNamed(random, "n", 4, 2) {
		notes = append(notes, fmt.Sprintf(`{"name":%q,"text":%d}`, name, random.IntN(3)))
	}
	limits := ""
	if random.IntN(4) == 0 {
		limits = fmt.Sprintf(`,"limits":{"maxBodyBytes":%d}`, random.IntN(3))
	}
	quoted := func(names []string) string {
		for position, name := range names {
			names[position] = strconv.Quote(name)
		}
		return strings.Join(names, ",")
	}
	return fmt.Sprintf(`{"generation":%d,"upsert":{"routes":[%s],"services":[%s],"notes":[%s]%s},"remove":{"routes":[%s],"services":[%s],"notes":[%s]}}`,
		generation, strings.Join(routes, ","), strings.Join(services, ","), strings.Join(notes, ","), limits,
		quoted(randomNamed(random, "r", 8, 2)), quoted(randomNamed(random, "s", 5, 1)), quoted(randomNamed(random, "n", 4, 1)))
}

// TestStore_Apply_updatesMatchReference guards against an update that looks only at what it changes and misses something: its
// outcome, document and feed change must be those of the model, which validates and compares everything.
func TestStore_Apply_updatesMatchReference(t *testing.T) {
	random := rand.New(rand.NewPCG(randomSeed, 66))
	codesSeen := map[Code]int{}
	for range 300 {
		store := NewStore()
		mustAccept(t, store, replaceCommand(0, `{"generation":1,"routes":[],"services":[{"name":"s0"},{"name":"s1"}],"notes":[]}`))
		for index := uint64(2); index < 40; index++ {
			base := store.Generation()
			body := randomReferenceUpdate(random, base+1)
			parsed, rejection := parseDocument(store.Document())
			if rejection != nil {
				t.Fatalf("the document in force cannot be parsed: %v", rejection)
			}
			change, rejection := readUpdate([]byte(body))
			if rejection != nil {
				t.Fatalf("update %s: %v", body, rejection)
			}
			before := referenceDocument{*parsed}
			after, rejection := before.apply(change)
			if rejection == nil {
				rejection = after.validate()
			}
			outcome, changed := store.Apply(index, EncodeCommand(updateCommand(base, body)))
			codesSeen[outcome.Code]++
			if rejection != nil {
				if outcome.Code != rejection.Code || outcome.Text != rejection.Text || store.Generation() != base {
					t.Fatalf("update %s: got %+v, want rejection %v", body, outcome, rejection)
				}
				continue
			}
			put, deleted := diff(before.items(), after.items())
			if outcome.Code != CodeAccepted || !reflect.DeepEqual(changed.Put, put) || !reflect.DeepEqual(changed.Delete, deleted) {
				t.Fatalf("update %s: got %+v, put %v, deleted %v, want it accepted with %v and %v", body, outcome, changed.Put, changed.Delete, put, deleted)
			}
			if want := newDocument(&after.parsedDocument).render(); !bytes.Equal(store.Document(), want) || !reflect.DeepEqual(store.Items(), after.items()) {
				t.Fatalf("update %s: document is %s, want %s", body, store.Document(), want)
			}
		}
	}
	for _, code := range []Code{CodeAccepted, CodeDuplicateMatch, CodeUnknownService} {
		if codesSeen[code] < 300 {
			t.Errorf("only %d updates ended with code %v, want at least 300", codesSeen[code], code)
		}
	}
}
