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
	acceptedKept   = 4096 // accepted changes whose repetition is acknowledged again
	baseBytes      = 8
	decimalNumbers = 10

	// largestDocument bounds what updates may make of a configuration, so that its snapshots and reads fit into one frame
	// between keepers. A whole one is bounded by the call that brings it.
	largestDocument = 8 << 20
)

type digest [digestBytes]byte

// acceptance is what is remembered of an accepted change.
type acceptance struct {
	base uint64 // the generation that it built on, or one above that but below its own
	mark digest
}

// Outcome is what became of one change.
type Outcome struct {
	Status     int // of HTTP: 200, 400, 412 or 503
	Code       Code
	Text       string
	Generation uint64 // in force after the change
}

// Store is the replicated configuration. It is not safe for concurrent use.
//
// Its answers to one change are final. A change that was accepted is acknowledged again whenever it
// comes; once it is no longer remembered it gets no clear answer (503). One that was refused (4xx) is
// never accepted later: generations only rise, so that a base which was passed is never in force
// again. A base that may still come into force is not refused for that reason.
type Store struct {
	document  *document
	accepted  map[digest]struct{}
	order     []acceptance // of accepted, oldest first
	kept      int          // bound of order
	forgotten uint64       // whatever is forgotten built on a generation below this one
	omitted   map[Rule]bool
}

// NewStore returns a store without a configuration: generation 0. Tests alone leave rules out.
func NewStore(omit ...Rule) *Store {
	store := &Store{
		document: emptyDocument(), accepted: map[digest]struct{}{}, kept: acceptedKept,
		omitted: make(map[Rule]bool, len(omit)),
	}
	for _, rule := range omit {
		store.omitted[rule] = true
	}
	return store
}

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return s.refused(asRefusal(err, "command")), change
	}
	mark := s.markOf(decoded)
	if s.repeats(decoded, mark) {
		return s.outcome(Repeated), change
	}
	if refusal := s.checkBase(decoded.Base); refusal != nil {
		return s.refused(refusal), change
	}
	next, refusal := s.next(decoded)
	if refusal != nil {
		return s.refused(refusal), change
	}
	change.Put, change.Delete = difference(s.document, next)
	s.document = next
	s.remember(acceptance{base: decoded.Base, mark: mark})
	return s.outcome(Accepted), change
}

// repeats tells whether a change was accepted before.
func (s *Store) repeats(command Command, mark digest) bool {
	if !s.holds(RuleRepeatFirst) && command.Base != s.document.generation {
		return false
	}
	_, repeated := s.accepted[mark]
	return repeated
}

// checkBase refuses a change that does not build on the generation in force. It is refused for good
// only if that generation was passed and the changes which built on it are still remembered.
func (s *Store) checkBase(base uint64) *Refusal {
	current := s.document.generation
	place := "in force is " + strconv.FormatUint(current, decimalNumbers)
	switch {
	case base == current || !s.holds(RuleBaseCurrent):
		return nil
	case base > current && s.holds(RuleBaseAheadOpen):
		return refuse(BaseAhead, place)
	case base < s.forgotten && s.holds(RuleForgottenOpen):
		return refuse(BaseForgotten, place)
	}
	return refuse(BaseNotCurrent, place)
}

// next returns the checked document after a command that builds on the one in force.
func (s *Store) next(command Command) (*document, *Refusal) {
	after, refusal := s.document.changed(command)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := checkRise(after.generation, s.document.generation); refusal != nil && s.holds(RuleGenerationRises) {
		return nil, refusal
	}
	if command.Kind == Update && after.size() > largestDocument {
		return nil, refuse(TooLarge, "")
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

// markOf returns the digest that a change is remembered by.
func (s *Store) markOf(command Command) digest {
	if !s.holds(RuleRepeatIsOfOrder) {
		command.Kind, command.Base = 0, 0
	}
	return digestOf(command)
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

// remember keeps an accepted change and forgets the oldest beyond the bound.
func (s *Store) remember(one acceptance) {
	if !s.holds(RuleRepeatKnown) {
		return
	}
	s.accepted[one.mark] = struct{}{}
	s.order = append(s.order, one)
	if len(s.order) > s.kept {
		delete(s.accepted, s.order[0].mark)
		s.forgotten = max(s.forgotten, s.order[0].base+1)
		s.order = append([]acceptance(nil), s.order[1:]...)
	}
}

// Document returns the configuration as JSON, each item as it was sent.
func (s *Store) Document() []byte { return s.document.render() }

// Generation returns the number of the configuration in force; 0: none.
func (s *Store) Generation() uint64 { return s.document.generation }

// Service returns the description of a service, and whether there is one.
func (s *Store) Service(name string) (Service, bool) {
	for _, one := range s.document.list(listServices) {
		if one.name == name {
			service, err := ParseService(one.raw)
			return service, err == nil
		}
	}
	return Service{}, false
}

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
