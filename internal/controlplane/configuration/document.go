package configuration

import (
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/jx"

	"ospreybend/internal/util/jsonfield"
)

// Names of the members of a configuration that this package interprets. Other members are stored as received.
const (
	memberGeneration = "generation"
	memberLimits     = "limits"
	listRoutes       = "routes"
	listServices     = "services"
	fieldName        = "name"
)

// item is one element of a list of named objects, with its raw JSON as received. It is immutable and shared between
// documents.
type item struct {
	name  string
	raw   []byte
	route *Route // parsed, including targets of weight 0; nil outside listRoutes
}

// parsedMember is one member of a JSON object as received: either a list of named items or any other value.
type parsedMember struct {
	name       string
	raw        []byte  // JSON value; nil for a list of named items
	isItemList bool    // the value is a list of named items, possibly empty
	items      []*item // in the order received
}

// parsedDocument is a complete configuration as received.
type parsedDocument struct {
	generation uint64
	members    []parsedMember
}

// member is one member of a document.
type member struct {
	name  string
	raw   []byte    // JSON value; nil for a list of named items
	items *itemList // nil: not a list of named items
}

// newMember returns the member of a document that holds a parsed value.
func newMember(parsed parsedMember) member {
	if !parsed.isItemList {
		return member{name: parsed.name, raw: parsed.raw}
	}
	return member{name: parsed.name, items: newItemList(parsed.items)}
}

// document is a configuration whose members and items keep their raw JSON as received. It is immutable: a change creates
// a new document, which shares the unchanged items.
type document struct {
	generation uint64
	members    []member
	routes     routeIndex
}

// emptyDocument returns the document in force before the first configuration.
func emptyDocument() *document {
	return newDocument(&parsedDocument{members: []parsedMember{
		{name: memberGeneration, raw: []byte("0")},
		{name: listRoutes, isItemList: true},
		{name: listServices, isItemList: true},
	}})
}

// newDocument returns the document that was parsed.
func newDocument(parsed *parsedDocument) *document {
	created := &document{generation: parsed.generation}
	for _, source := range parsed.members {
		created.members = append(created.members, newMember(source))
	}
	created.routes = newRouteIndex(created.list(listRoutes))
	return created
}

// readDocument parses a complete configuration and validates each member by itself.
func readDocument(body []byte) (*document, *Rejection) {
	parsed, rejection := parseDocument(body)
	if rejection != nil {
		return nil, rejection
	}
	return newDocument(parsed), nil
}

// parseDocument parses a complete configuration and validates each member by itself; parsedDocument.validate checks the
// references between them.
func parseDocument(body []byte) (*parsedDocument, *Rejection) {
	if !utf8.Valid(body) {
		return nil, reject(CodeMalformed, "it is not UTF-8")
	}
	members, rejection := readMembers(body, "configuration")
	if rejection != nil {
		return nil, rejection
	}
	parsed := &parsedDocument{members: members}
	parsed.generation, rejection = readGeneration(findParsed(members, memberGeneration))
	if rejection != nil {
		return nil, rejection
	}
	for _, name := range []string{listRoutes, listServices} {
		if findParsed(members, name) == nil {
			return nil, reject(CodeMissingField, name)
		}
	}
	return parsed, nil
}

// readMembers parses the members of a JSON object and returns them in their order. subject names the object in
// rejections.
func readMembers(raw []byte, subject string) ([]parsedMember, *Rejection) {
	members := []parsedMember{}
	present := map[string]bool{}
	rejection := eachMember(raw, subject, func(decoder *jx.Decoder, key string) error {
		if present[key] {
			return reject(CodeDuplicateName, subject+" has "+key+" twice")
		}
		present[key] = true
		read, err := readMember(decoder, key)
		if err != nil {
			return err
		}
		members = append(members, read)
		return nil
	})
	return members, rejection
}

// readMember parses one member. The items of routes and services are validated; any other list becomes a list of items
// only if each of its elements is an object with a name.
func readMember(decoder *jx.Decoder, key string) (parsedMember, error) {
	raw, err := decoder.Raw()
	if err != nil {
		return parsedMember{}, err
	}
	read := parsedMember{name: key, raw: raw}
	if key == memberLimits {
		_, err := ParseLimits(raw)
		return read, err
	}
	known := key == listRoutes || key == listServices
	if raw.Type() != jx.Array {
		if known {
			return read, reject(CodeBadField, key+" is not a list")
		}
		return read, nil
	}
	items, rejection := readItems(raw, key)
	if rejection == nil {
		return parsedMember{name: key, isItemList: true, items: items}, nil
	}
	if rejection.Code == CodeMissingField && !known {
		return read, nil // not a list of named objects: stored as received
	}
	return read, rejection
}

// readItems parses a list of objects with distinct names. The code of the rejection is CodeMissingField if an element is
// not an object or has no name.
func readItems(raw []byte, list string) ([]*item, *Rejection) {
	items := []*item{}
	names := map[string]bool{}
	err := jx.DecodeBytes(raw).Arr(func(decoder *jx.Decoder) error {
		element, err := decoder.Raw()
		if err != nil {
			return err
		}
		read, rejection := readItem(element, list)
		if rejection != nil {
			return rejection
		}
		if names[read.name] {
			return reject(CodeDuplicateName, list+" has "+read.name+" twice")
		}
		names[read.name] = true
		items = append(items, read)
		return nil
	})
	if err != nil {
		return nil, asRejection(err, list)
	}
	return items, nil
}

// readItem parses one item. An item of routes or services is parsed completely, any other only for its name.
func readItem(raw jx.Raw, list string) (*item, *Rejection) {
	if raw.Type() != jx.Object {
		return nil, reject(CodeMissingField, list+" holds something that is not an object")
	}
	switch list {
	case listRoutes:
		route, rejection := parseRoute(raw)
		return &item{name: route.Name, raw: raw, route: &route}, rejection
	case listServices:
		service, rejection := parseService(raw)
		return &item{name: service.Name, raw: raw}, rejection
	}
	name := ""
	rejection := eachMember(raw, list, func(decoder *jx.Decoder, key string) error {
		if key != fieldName || decoder.Next() != jx.String {
			return decoder.Skip()
		}
		return jsonfield.String(decoder, key, &name)
	})
	if rejection == nil && name == "" {
		rejection = reject(CodeMissingField, "name of an item of "+list)
	}
	return &item{name: name, raw: raw}, rejection
}

// generationBits is the number of bits of a generation, which is stored as a signed 64-bit integer.
const generationBits = 63

// readGeneration parses the generation, a positive integer. It also accepts notations such as 7.0 and 1e3.
func readGeneration(source *parsedMember) (uint64, *Rejection) {
	if source == nil || source.isItemList {
		return 0, reject(CodeInvalidGeneration, "")
	}
	text := string(source.raw)
	if integer, err := strconv.ParseUint(text, decimalBase, generationBits); err == nil && integer > 0 {
		return integer, nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != math.Trunc(number) || number < 1 || number > maxInteger {
		return 0, reject(CodeInvalidGeneration, text)
	}
	return uint64(number), nil
}

// findParsed returns the member with the given name, or nil.
func findParsed(members []parsedMember, name string) *parsedMember {
	for position := range members {
		if members[position].name == name {
			return &members[position]
		}
	}
	return nil
}

// itemsOfList returns the items of the member with the given name, or nil if there is no such member.
func itemsOfList(members []parsedMember, name string) []*item {
	if found := findParsed(members, name); found != nil {
		return found.items
	}
	return nil
}

// member returns the member with the given name, or nil.
func (d *document) member(name string) *member {
	for position := range d.members {
		if d.members[position].name == name {
			return &d.members[position]
		}
	}
	return nil
}

// list returns the list with the given name, which every document contains: listRoutes or listServices.
func (d *document) list(name string) *itemList { return d.member(name).items }

// size returns the approximate size of the rendered document in bytes. It does not count separators.
func (d *document) size() int {
	total := 0
	for _, member := range d.members {
		total += len(member.name) + len(member.raw)
		if member.items != nil {
			total += member.items.rawBytes
		}
	}
	return total
}

// render encodes the document as JSON.
func (d *document) render() []byte {
	var encoder jx.Encoder
	encoder.Obj(func(encoder *jx.Encoder) {
		for _, member := range d.members {
			encoder.FieldStart(member.name)
			renderMember(encoder, member)
		}
	})
	return encoder.Bytes()
}

// renderMember writes the value of one member.
func renderMember(encoder *jx.Encoder, source member) {
	if source.items == nil {
		encoder.Raw(source.raw)
		return
	}
	encoder.Arr(func(encoder *jx.Encoder) {
		for entry := range source.items.entries() {
			encoder.Raw(entry.item.raw)
		}
	})
}
