package configuration

import (
	"bytes"
	"crypto/sha256"
	bits "encoding/binary"
	"sort"
	"strconv"

	"ospreybend/coord/feed"
)

const (
	digestBytes    = 16
	digestsKept    = 4096 // accepted changes whose repetition is acknowledged again
	baseBytes      = 8
	decimalNumbers = 10
)

type digest [digestBytes]byte

// Outcome is what became of one change.
type Outcome struct {
	Status     int // of HTTP: 200, 400 or 412
	Code       Code
	Text       string
	Generation uint64 // in force after the change
}

// Store is the replicated configuration. It is not safe for concurrent use.
type Store struct {
	document *document
	accepted map[digest]struct{}
	order    []digest // of accepted, oldest first
}

// NewStore returns a store without a configuration: generation 0.
func NewStore() *Store {
	return &Store{document: emptyDocument(), accepted: map[digest]struct{}{}}
}

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return s.refused(asRefusal(err, "command")), change
	}
	mark := digestOf(decoded)
	if _, repeated := s.accepted[mark]; repeated {
		return s.outcome(Repeated), change
	}
	if decoded.Base != s.document.generation {
		return s.refused(refuse(BaseNotCurrent, "in force is "+strconv.FormatUint(s.document.generation, decimalNumbers))), change
	}
	next, refusal := s.document.next(decoded)
	if refusal != nil {
		return s.refused(refusal), change
	}
	change.Put, change.Delete = difference(s.document, next)
	s.document = next
	s.remember(mark)
	return s.outcome(Accepted), change
}

// next returns the checked document after a command that builds on d.
func (d *document) next(command Command) (*document, *Refusal) {
	after, refusal := d.changed(command)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := checkRise(after.generation, d.generation); refusal != nil {
		return nil, refusal
	}
	return after, after.check()
}

func (d *document) changed(command Command) (*document, *Refusal) {
	if command.Kind == Replace {
		return readDocument(command.Body)
	}
	change, refusal := readUpdate(command.Body)
	if refusal != nil {
		return nil, refusal
	}
	return change.apply(d)
}

func (s *Store) outcome(code Code) Outcome {
	entry := codes.Entry(code)
	return Outcome{Status: entry.Status, Code: code, Text: entry.Text, Generation: s.document.generation}
}

func (s *Store) refused(refusal *Refusal) Outcome {
	return Outcome{Status: refusal.Status, Code: refusal.Code, Text: refusal.Text, Generation: s.document.generation}
}

// digestOf identifies a command by its kind, base and body.
func digestOf(command Command) digest {
	hash := sha256.New()
	var head [1 + baseBytes]byte
	head[0] = byte(command.Kind)
	bits.BigEndian.PutUint64(head[1:], command.Base)
	hash.Write(head[:])
	hash.Write(command.Body)
	var mark digest
	copy(mark[:], hash.Sum(nil))
	return mark
}

// remember keeps the digest of an accepted change and forgets the oldest beyond the bound.
func (s *Store) remember(mark digest) {
	s.accepted[mark] = struct{}{}
	s.order = append(s.order, mark)
	if len(s.order) > digestsKept {
		delete(s.accepted, s.order[0])
		s.order = append([]digest(nil), s.order[1:]...)
	}
}

// Document returns the configuration as JSON, each item as it was sent.
func (s *Store) Document() []byte { return s.document.render() }

// Generation returns the number of the configuration in force; 0: none.
func (s *Store) Generation() uint64 { return s.document.generation }

// Items returns the feed's items, sorted by key. There are none before the first configuration.
func (s *Store) Items() []feed.Item { return s.document.items() }

// items returns what the feed tells of a document, sorted by key.
func (d *document) items() []feed.Item {
	if d.generation == 0 {
		return nil
	}
	items := []feed.Item{{Key: KeyGeneration, Value: strconv.AppendUint(nil, d.generation, decimalNumbers)}}
	if limits := find(d.members, memberLimits); limits != nil {
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

// difference returns the items to put and the keys to delete, each sorted by key.
func difference(before, after *document) (put []feed.Item, gone []string) {
	held := map[string][]byte{}
	for _, entry := range before.items() {
		held[entry.Key] = entry.Value
	}
	for _, entry := range after.items() {
		value, found := held[entry.Key]
		delete(held, entry.Key)
		if !found || !bytes.Equal(value, entry.Value) {
			put = append(put, entry)
		}
	}
	for key := range held {
		gone = append(gone, key)
	}
	sort.Strings(gone)
	return put, gone
}
