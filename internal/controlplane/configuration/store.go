package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"ospreybend/coord/feed"
)

const (
	digestBytes = 16
	baseBytes   = 8 // encoded size of a base generation in the hashed header
	decimalBase = 10

	// maxRememberedChanges is the number of accepted changes that a store remembers in order to recognize duplicates.
	maxRememberedChanges = 4096

	// maxDocumentBytes bounds the document that results from an update, so that its snapshots and the responses to reads fit
	// into one frame between control plane servers. The size of a complete replacement is bounded by the call that carries it.
	maxDocumentBytes = 8 << 20
)

// commandDigest identifies a command by its kind, base and body.
type commandDigest [digestBytes]byte

// acceptedChange is the part of an accepted change that the store remembers.
type acceptedChange struct {
	base   uint64 // generation that it was based on; after a snapshot of format 1, the highest possible one
	digest commandDigest
}

// Outcome is the result of applying one command.
type Outcome struct {
	HTTPStatus int // 200, 400, 412, 413 or 503
	Code       Code
	Text       string
	Generation uint64 // generation in force after the command
}

// Store is the replicated state of the configuration: the document in force, and the accepted changes by which duplicates
// are recognized. It is not safe for concurrent use; only the event loop of the replica group uses it.
//
// A result with status 200 or 4xx is final. An accepted change is acknowledged again (CodeRepeated) each time that it
// arrives; once the store no longer remembers it, the result is CodeBaseForgotten (503), which is not final. A change that
// was rejected with a 4xx status is never accepted later: generations only increase, so that a generation that was replaced
// is never in force again. A change based on a generation that may still come into force could be accepted later, so its
// result is CodeBaseAhead (503), which is not final either.
type Store struct {
	document *document // in force

	// The accepted changes that are remembered.
	accepted       map[commandDigest]struct{}
	acceptedOrder  []acceptedChange // the same changes, oldest first
	maxRemembered  int              // maximum number of remembered changes
	forgottenBelow uint64           // each forgotten change was based on a generation lower than this

	omittedRules map[Rule]bool // set by tests only
}

// NewStore returns a store without a configuration, at generation 0. Only tests pass rules to omit.
func NewStore(omit ...Rule) *Store {
	store := &Store{
		document: emptyDocument(), accepted: map[commandDigest]struct{}{}, maxRemembered: maxRememberedChanges,
		omittedRules: make(map[Rule]bool, len(omit)),
	}
	for _, rule := range omit {
		store.omittedRules[rule] = true
	}
	return store
}

// SetMaxRemembered sets how many accepted changes are remembered, in place of maxRememberedChanges. Tests call it before
// the first entry is applied, with the same count for all replicas.
func (s *Store) SetMaxRemembered(count int) { s.maxRemembered = count }

// Apply executes the committed log entry at the given index. It is deterministic, so that all replicas reach the same state
// and outcome. The returned feed change has the same index; it contains no items if the document did not change.
func (s *Store) Apply(index uint64, command []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return s.rejectedOutcome(asRejection(err, "command")), change
	}
	digest := s.duplicateKey(decoded)
	if s.isDuplicate(decoded, digest) {
		return s.acceptedOutcome(CodeRepeated), change
	}
	if rejection := s.compareBase(decoded.Base); rejection != nil {
		return s.rejectedOutcome(rejection), change
	}
	next, rejection := s.revise(decoded)
	if rejection != nil {
		return s.rejectedOutcome(rejection), change
	}
	change.Put, change.Delete = next.put, next.deleted
	s.document = next.document
	s.rememberAccepted(acceptedChange{base: decoded.Base, digest: digest})
	return s.acceptedOutcome(CodeAccepted), change
}

// isDuplicate reports whether the same change was accepted before.
func (s *Store) isDuplicate(command Command, digest commandDigest) bool {
	if !s.enforces(RuleDuplicateBeforeBase) && command.Base != s.document.generation {
		return false
	}
	_, repeated := s.accepted[digest]
	return repeated
}

// compareBase is the compare step of compare-and-set: it rejects a change that is not based on the generation in force.
// The rejection is final (CodeBaseNotCurrent) only if that base is below the generation in force and the change accepted on
// it is certainly remembered.
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

// revision is a valid document that results from a command, with its feed items that differ from those of the document before.
type revision struct {
	document *document
	put      []feed.Item
	deleted  []string
}

// revise applies a command to the document in force. An update costs time in proportion to its own size, not to that of the
// document, since a server that catches up applies thousands of them.
func (s *Store) revise(command Command) (revision, *Rejection) {
	if command.Kind == CommandReplace {
		return s.replaceDocument(command)
	}
	return s.updateDocument(command)
}

// replaceDocument applies a CommandReplace.
func (s *Store) replaceDocument(command Command) (revision, *Rejection) {
	parsed, rejection := parseDocument(command.Body)
	if rejection != nil {
		return revision{}, rejection
	}
	if rejection := s.checkGeneration(parsed.generation); rejection != nil {
		return revision{}, rejection
	}
	if rejection := parsed.validate(); rejection != nil {
		return revision{}, rejection
	}
	next := revision{document: newDocument(parsed)}
	next.put, next.deleted = diff(s.document.items(), next.document.items())
	return next, nil
}

// updateDocument applies a CommandUpdate.
func (s *Store) updateDocument(command Command) (revision, *Rejection) {
	change, rejection := readUpdate(command.Body)
	if rejection != nil {
		return revision{}, rejection
	}
	after, rejection := change.apply(s.document)
	if rejection != nil {
		return revision{}, rejection
	}
	if rejection := s.checkGeneration(after.generation); rejection != nil {
		return revision{}, rejection
	}
	if after.size() > maxDocumentBytes {
		return revision{}, reject(CodeTooLarge, "")
	}
	if rejection := change.validateResult(after); rejection != nil {
		return revision{}, rejection
	}
	next := revision{document: after}
	next.put, next.deleted = change.diffOf(s.document, after)
	return next, nil
}

// checkGeneration rejects a generation that is not above the one in force.
func (s *Store) checkGeneration(generation uint64) *Rejection {
	if !s.enforces(RuleGenerationIncreases) {
		return nil
	}
	return validateGeneration(generation, s.document.generation)
}

// acceptedOutcome returns the outcome of a change that is accepted now or was accepted before.
func (s *Store) acceptedOutcome(code Code) Outcome {
	entry := codes.Entry(code)
	return Outcome{HTTPStatus: entry.HTTPStatus, Code: code, Text: entry.Text, Generation: s.document.generation}
}

// rejectedOutcome returns the outcome of a rejected change.
func (s *Store) rejectedOutcome(rejection *Rejection) Outcome {
	return Outcome{HTTPStatus: rejection.HTTPStatus, Code: rejection.Code, Text: rejection.Text, Generation: s.document.generation}
}

// duplicateKey returns the digest by which duplicates of the command are recognized.
func (s *Store) duplicateKey(command Command) commandDigest {
	if !s.enforces(RuleDuplicateMatchesCommand) {
		command.Kind, command.Base = 0, 0
	}
	return digestOf(command)
}

// digestOf returns the truncated SHA-256 of the command's kind, base and body.
func digestOf(command Command) commandDigest {
	hash := sha256.New()
	var header [1 + baseBytes]byte
	header[0] = byte(command.Kind)
	binary.BigEndian.PutUint64(header[1:], command.Base)
	hash.Write(header[:])
	hash.Write(command.Body)
	var digest commandDigest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// rememberAccepted remembers an accepted change, and forgets the oldest one if there are more than maxRemembered.
func (s *Store) rememberAccepted(change acceptedChange) {
	if !s.enforces(RuleDuplicateRemembered) {
		return
	}
	s.accepted[change.digest] = struct{}{}
	s.acceptedOrder = append(s.acceptedOrder, change)
	if len(s.acceptedOrder) > s.maxRemembered {
		delete(s.accepted, s.acceptedOrder[0].digest)
		s.forgottenBelow = max(s.forgottenBelow, s.acceptedOrder[0].base+1)
		s.acceptedOrder = s.acceptedOrder[1:] // append releases the dropped ones when it reallocates
	}
}

// Document returns the configuration in force as JSON. The bytes of each item are those received.
func (s *Store) Document() []byte { return s.document.render() }

// Generation returns the generation in force, or 0 before the first configuration.
func (s *Store) Generation() uint64 { return s.document.generation }

// Service returns the service with the given name, and whether it exists.
func (s *Store) Service(name string) (Service, bool) {
	entry, found := s.document.list(listServices).get(name)
	if !found {
		return Service{}, false
	}
	service, err := ParseService(entry.item.raw)
	return service, err == nil
}

// Items returns the feed items of the configuration in force, sorted by key, or nil before the first configuration.
func (s *Store) Items() []feed.Item { return s.document.items() }
