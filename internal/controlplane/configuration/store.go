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
	digestBytes        = 16
	maxAcceptedChanges = 4096 // accepted changes whose repetition is acknowledged again
	baseBytes          = 8
	decimalBase        = 10

	// maxDocumentBytes bounds what updates may make of a configuration, so that its snapshots and reads fit into one frame
	// between keepers. A whole one is bounded by the call that brings it.
	maxDocumentBytes = 8 << 20
)

type commandDigest [digestBytes]byte

// acceptedChange is what is remembered of an accepted change.
type acceptedChange struct {
	base   uint64 // the generation that it built on, or one above that but below its own
	digest commandDigest
}

// Outcome is what became of one change.
type Outcome struct {
	HTTPStatus int // of HTTP: 200, 400, 412 or 503
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
	document       *document
	accepted       map[commandDigest]struct{}
	acceptedOrder  []acceptedChange // of accepted, oldest first
	maxAccepted    int              // bound of order
	forgottenBelow uint64           // whatever is forgotten built on a generation below this one
	omittedRules   map[Rule]bool
}

// NewStore returns a store without a configuration: generation 0. Tests alone leave rules out.
func NewStore(omit ...Rule) *Store {
	store := &Store{
		document: emptyDocument(), accepted: map[commandDigest]struct{}{}, maxAccepted: maxAcceptedChanges,
		omittedRules: make(map[Rule]bool, len(omit)),
	}
	for _, rule := range omit {
		store.omittedRules[rule] = true
	}
	return store
}

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return s.rejected(asRejection(err, "command")), change
	}
	digest := s.duplicateKey(decoded)
	if s.isDuplicate(decoded, digest) {
		return s.outcome(CodeRepeated), change
	}
	if rejection := s.compareBase(decoded.Base); rejection != nil {
		return s.rejected(rejection), change
	}
	next, rejection := s.nextDocument(decoded)
	if rejection != nil {
		return s.rejected(rejection), change
	}
	change.Put, change.Delete = diff(s.document, next)
	s.document = next
	s.rememberAccepted(acceptedChange{base: decoded.Base, digest: digest})
	return s.outcome(CodeAccepted), change
}

// isDuplicate tells whether a change was accepted before.
func (s *Store) isDuplicate(command Command, digest commandDigest) bool {
	if !s.enforces(RuleDuplicateBeforeBase) && command.Base != s.document.generation {
		return false
	}
	_, repeated := s.accepted[digest]
	return repeated
}

// compareBase refuses a change that does not build on the generation in force. It is refused for good
// only if that generation was passed and the changes which built on it are still remembered.
func (s *Store) compareBase(base uint64) *Rejection {
	current := s.document.generation
	detail := "in force is " + strconv.FormatUint(current, decimalBase)
	switch {
	case base == current || !s.enforces(RuleBaseCurrent):
		return nil
	case base > current && s.enforces(RuleBaseAheadUndecided):
		return reject(CodeBaseAhead, detail)
	case base < s.forgottenBelow && s.enforces(RuleBaseForgottenUndecided):
		return reject(CodeBaseForgotten, detail)
	}
	return reject(CodeBaseNotCurrent, detail)
}

// nextDocument returns the checked document after a command that builds on the one in force.
func (s *Store) nextDocument(command Command) (*document, *Rejection) {
	after, rejection := s.document.applyCommand(command)
	if rejection != nil {
		return nil, rejection
	}
	if rejection := validateGeneration(after.generation, s.document.generation); rejection != nil && s.enforces(RuleGenerationIncreases) {
		return nil, rejection
	}
	if command.Kind == CommandUpdate && after.size() > maxDocumentBytes {
		return nil, reject(CodeTooLarge, "")
	}
	return after, after.validate()
}

func (d *document) applyCommand(command Command) (*document, *Rejection) {
	if command.Kind == CommandReplace {
		return readDocument(command.Body)
	}
	change, rejection := readUpdate(command.Body)
	if rejection != nil {
		return nil, rejection
	}
	return change.apply(d)
}

func (s *Store) outcome(code Code) Outcome {
	entry := codes.Entry(code)
	return Outcome{HTTPStatus: entry.HTTPStatus, Code: code, Text: entry.Text, Generation: s.document.generation}
}

func (s *Store) rejected(rejection *Rejection) Outcome {
	return Outcome{HTTPStatus: rejection.HTTPStatus, Code: rejection.Code, Text: rejection.Text, Generation: s.document.generation}
}

// duplicateKey returns the digest that a change is remembered by.
func (s *Store) duplicateKey(command Command) commandDigest {
	if !s.enforces(RuleDuplicateMatchesCommand) {
		command.Kind, command.Base = 0, 0
	}
	return digestOf(command)
}

// digestOf identifies a command by its kind, base and body.
func digestOf(command Command) commandDigest {
	hash := sha256.New()
	var head [1 + baseBytes]byte
	head[0] = byte(command.Kind)
	bits.BigEndian.PutUint64(head[1:], command.Base)
	hash.Write(head[:])
	hash.Write(command.Body)
	var digest commandDigest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// rememberAccepted keeps an accepted change and forgets the oldest beyond the bound.
func (s *Store) rememberAccepted(one acceptedChange) {
	if !s.enforces(RuleDuplicateRemembered) {
		return
	}
	s.accepted[one.digest] = struct{}{}
	s.acceptedOrder = append(s.acceptedOrder, one)
	if len(s.acceptedOrder) > s.maxAccepted {
		delete(s.accepted, s.acceptedOrder[0].digest)
		s.forgottenBelow = max(s.forgottenBelow, s.acceptedOrder[0].base+1)
		s.acceptedOrder = append([]acceptedChange(nil), s.acceptedOrder[1:]...)
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

// diff returns the items to put and the keys to delete, each sorted by key.
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
