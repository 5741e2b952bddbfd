package configuration

import (
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Names of the members of a configuration that this package knows.
const (
	memberGeneration = "generation"
	memberLimits     = "limits"
	listRoutes       = "routes"
	listServices     = "services"
	fieldName        = "name"
)

// item is one element of a list of named objects, as it was sent. It never changes.
type item struct {
	name  string
	raw   []byte
	route *Route // of listRoutes, with all targets that it names
}

// member is one member of a configuration: a list of named items, or anything else as it was sent.
type member struct {
	name  string
	raw   []byte  // of what is not a list of named items
	named bool    // it is a list of named items, perhaps empty
	items []*item // in the order in which they came
}

// document is a configuration whose members and items keep their bytes. It never changes.
type document struct {
	generation uint64
	members    []member
}

// emptyDocument is what is in force before the first configuration.
func emptyDocument() *document {
	return &document{members: []member{
		{name: memberGeneration, raw: []byte("0")},
		{name: listRoutes, named: true},
		{name: listServices, named: true},
	}}
}

// readDocument reads and checks a whole configuration, except for what its parts mean together.
func readDocument(body []byte) (*document, *Refusal) {
	if !utf8.Valid(body) {
		return nil, refuse(Unreadable, "it is not UTF-8")
	}
	members, refusal := readMembers(body, "configuration")
	if refusal != nil {
		return nil, refusal
	}
	whole := &document{members: members}
	whole.generation, refusal = readGeneration(find(members, memberGeneration))
	if refusal != nil {
		return nil, refusal
	}
	for _, name := range []string{listRoutes, listServices} {
		if find(members, name) == nil {
			return nil, refuse(MissingField, name)
		}
	}
	return whole, nil
}

// readMembers reads the members of an object, in their order.
func readMembers(raw []byte, where string) ([]member, *Refusal) {
	members := []member{}
	refusal := eachMember(raw, where, func(decoder *jx.Decoder, key string) error {
		if find(members, key) != nil {
			return refuse(DuplicateName, where+" has "+key+" twice")
		}
		read, err := readMember(decoder, key)
		if err != nil {
			return err
		}
		members = append(members, read)
		return nil
	})
	return members, refusal
}

// readMember reads one member and the items of a list that is known.
func readMember(decoder *jx.Decoder, key string) (member, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return member{}, err
	}
	read := member{name: key, raw: raw}
	if key == memberLimits {
		_, err := ParseLimits(raw)
		return read, err
	}
	known := key == listRoutes || key == listServices
	if raw.Type() != jx.Array {
		if known {
			return read, refuse(BadField, key+" is not a list")
		}
		return read, nil
	}
	items, refusal := readItems(raw, key)
	if refusal == nil {
		return member{name: key, named: true, items: items}, nil
	}
	if refusal.Code == MissingField && !known {
		return read, nil // a list of something else: kept as it is
	}
	return read, refusal
}

// readItems reads a list of objects with different names. Its refusal has the code MissingField
// where something has no name.
func readItems(raw []byte, list string) ([]*item, *Refusal) {
	items := []*item{}
	names := map[string]bool{}
	err := jx.DecodeBytes(raw).Arr(func(decoder *jx.Decoder) error {
		element, err := decoder.Raw()
		if err != nil {
			return err
		}
		read, refusal := readItem(element, list)
		if refusal != nil {
			return refusal
		}
		if names[read.name] {
			return refuse(DuplicateName, list+" has "+read.name+" twice")
		}
		names[read.name] = true
		items = append(items, read)
		return nil
	})
	if err != nil {
		return nil, asRefusal(err, list)
	}
	return items, nil
}

// readItem reads one item, whole where its list is known.
func readItem(raw jx.Raw, list string) (*item, *Refusal) {
	if raw.Type() != jx.Object {
		return nil, refuse(MissingField, list+" holds something that is not an object")
	}
	switch list {
	case listRoutes:
		route, refusal := parseRoute(raw)
		return &item{name: route.Name, raw: raw, route: &route}, refusal
	case listServices:
		service, refusal := parseService(raw)
		return &item{name: service.Name, raw: raw}, refusal
	}
	name := ""
	refusal := eachMember(raw, list, func(decoder *jx.Decoder, key string) error {
		if key != fieldName || decoder.Next() != jx.String {
			return decoder.Skip()
		}
		return jsonfield.String(decoder, key, &name)
	})
	if refusal == nil && name == "" {
		refusal = refuse(MissingField, "name of an item of "+list)
	}
	return &item{name: name, raw: raw}, refusal
}

// readGeneration reads the number of a configuration.
func readGeneration(from *member) (uint64, *Refusal) {
	if from == nil || from.named {
		return 0, refuse(GenerationUnreadable, "")
	}
	text := string(from.raw)
	if whole, err := strconv.ParseUint(text, 10, 63); err == nil && whole > 0 {
		return whole, nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != math.Trunc(number) || number < 1 || number > largestCount {
		return 0, refuse(GenerationUnreadable, text)
	}
	return uint64(number), nil
}

// find returns the member of that name, or nil.
func find(members []member, name string) *member {
	for position := range members {
		if members[position].name == name {
			return &members[position]
		}
	}
	return nil
}

// list returns the items of a list, or none.
func (d *document) list(name string) []*item {
	return itemsOf(d.members, name)
}

func itemsOf(members []member, name string) []*item {
	if found := find(members, name); found != nil {
		return found.items
	}
	return nil
}

// size returns about the bytes that render gives.
func (d *document) size() int {
	total := 0
	for _, part := range d.members {
		total += len(part.name) + len(part.raw)
		for _, entry := range part.items {
			total += len(entry.raw)
		}
	}
	return total
}

// render returns the document as JSON.
func (d *document) render() []byte {
	var encoder jx.Encoder
	encoder.Obj(func(encoder *jx.Encoder) {
		for _, part := range d.members {
			encoder.FieldStart(part.name)
			renderMember(encoder, part)
		}
	})
	return encoder.Bytes()
}

func renderMember(encoder *jx.Encoder, part member) {
	if !part.named {
		encoder.Raw(part.raw)
		return
	}
	encoder.Arr(func(encoder *jx.Encoder) {
		for _, entry := range part.items {
			encoder.Raw(entry.raw)
		}
	})
}
