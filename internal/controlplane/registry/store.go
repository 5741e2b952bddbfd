package registry

import (
	"bytes"
	"sort"

	"ospreybend/coord/feed"
)

// tombstonesKept bounds how many removed instances are remembered.
const tombstonesKept = 2048

// Outcome is what became of one command. The caller is answered with Status.
type Outcome struct {
	Status int // of HTTP
	Code   Code
	Text   string
}

// record is an instance as it is replicated. It never changes but for its sequence.
type record struct {
	instance *Instance
	value    []byte // for the feed
	sequence uint64 // of the latest heartbeat that was an entry
}

// tombstone remembers a removed instance.
type tombstone struct {
	reason   Reason
	draining bool
	sequence uint64 // of the latest heartbeat that was known
}

// tombstone returns what is remembered of a record once it is removed.
func (r *record) tombstone(reason Reason) tombstone {
	return tombstone{reason: reason, draining: r.instance.State == Draining, sequence: r.sequence}
}

// Store is the replicated list of instances of one shard. It is not safe for concurrent use.
type Store struct {
	records    map[string]*record
	byAddress  map[string]string // ID of the instance at an address
	tombstones map[string]tombstone
	buried     []string // IDs of tombstones, oldest first
}

// NewStore returns a store without instances.
func NewStore() *Store {
	return &Store{
		records:    map[string]*record{},
		byAddress:  map[string]string{},
		tombstones: map[string]tombstone{},
	}
}

// Apply carries out a committed command. It is deterministic. The change has the given index, and
// is empty where nothing changed.
func (s *Store) Apply(index uint64, encoded []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, refusal := decodeCommand(encoded)
	if refusal != nil {
		return Outcome{Status: refusal.Status, Code: refusal.Code, Text: refusal.Text}, change
	}
	switch decoded.operation {
	case operationPut:
		return outcome(s.put(decoded.instance, decoded.sequence, &change)), change
	case operationRemove:
		return outcome(s.remove(decoded, &change)), change
	case operationAssign:
		wanted := decoded.instance.Stage
		return outcome(s.amend(decoded.instance.ID, &change, func(i *Instance) { i.Assigned = wanted })), change
	case operationStage:
		found := decoded.instance.Stage
		return outcome(s.amend(decoded.instance.ID, &change, func(i *Instance) { i.Stage = found })), change
	default:
		return outcome(BadCommand), change
	}
}

func outcome(code Code) Outcome {
	entry := codes.Entry(code)
	return Outcome{Status: entry.Status, Code: code, Text: entry.Text}
}

// put records an instance unless a later word of it is known.
func (s *Store) put(instance Instance, sequence uint64, change *feed.Change) Code {
	if code, refused := s.deadOrLate(instance, sequence); refused {
		return code
	}
	held := s.records[instance.ID]
	if held != nil { // heartbeats know nothing of it
		instance.Assigned = held.instance.Assigned
	}
	value := EncodeItem(instance)
	if held != nil && bytes.Equal(held.value, value) {
		held.sequence = max(held.sequence, sequence)
		return Unchanged
	}
	// A word that is not numbered leaves the number that earlier words are told by.
	sequence = max(sequence, s.tombstones[instance.ID].sequence)
	if held != nil {
		sequence = max(sequence, held.sequence)
		s.forget(instance.ID)
	}
	s.evict(instance.Address, change)
	s.exhume(instance.ID)
	s.insert(&record{instance: &instance, value: value, sequence: sequence})
	change.Put = append(change.Put, feed.Item{Key: instance.ID, Value: value})
	return Recorded
}

// amend changes a part of an instance's record, if there is one.
func (s *Store) amend(id string, change *feed.Change, amendment func(*Instance)) Code {
	held := s.records[id]
	if held == nil {
		return Gone
	}
	instance := *held.instance
	amendment(&instance)
	value := EncodeItem(instance)
	if bytes.Equal(value, held.value) {
		return Unchanged
	}
	s.records[id] = &record{instance: &instance, value: value, sequence: held.sequence}
	change.Put = append(change.Put, feed.Item{Key: id, Value: value})
	return Recorded
}

// deadOrLate tells whether a heartbeat changes nothing: its instance is gone for good, or what is
// known of it is newer. Of NodesService every word counts: its heartbeats have no order and an ID
// may start again.
func (s *Store) deadOrLate(instance Instance, sequence uint64) (Code, bool) {
	if instance.Service == NodesService {
		return Recorded, false
	}
	if stone, dead := s.tombstones[instance.ID]; dead {
		return s.stillDead(instance, sequence, stone)
	}
	held := s.records[instance.ID]
	if held == nil {
		return Recorded, false
	}
	if sequence != unknownSequence && sequence < held.sequence {
		return Late, true
	}
	revoked := held.instance.State == Draining && instance.State == Ready
	if revoked && sequence <= held.sequence {
		return Late, true
	}
	return Recorded, false
}

// stillDead tells whether a heartbeat leaves a removed instance removed.
func (s *Store) stillDead(instance Instance, sequence uint64, stone tombstone) (Code, bool) {
	if stone.reason.final() {
		return Gone, true
	}
	if sequence != unknownSequence && sequence <= stone.sequence {
		return Late, true
	}
	if sequence == unknownSequence && stone.draining && instance.State == Ready {
		return Late, true
	}
	if _, taken := s.byAddress[instance.Address]; taken {
		return Gone, true
	}
	return Recorded, false
}

// evict removes the instance that had an address which is used again.
func (s *Store) evict(address string, change *feed.Change) {
	id, taken := s.byAddress[address]
	if !taken {
		return
	}
	stone := s.records[id].tombstone(Superseded)
	s.forget(id)
	s.bury(id, stone)
	change.Delete = append(change.Delete, id)
}

// remove removes an instance, or only remembers that it is gone.
func (s *Store) remove(decoded command, change *feed.Change) Code {
	id := decoded.instance.ID
	held := s.records[id]
	if held == nil {
		return s.confirmGone(id, decoded)
	}
	numbered := decoded.sequence != unknownSequence
	if decoded.reason == Expired && numbered && decoded.sequence < held.sequence {
		return Late // it was heard after the removal was proposed
	}
	stone := held.tombstone(decoded.reason)
	stone.sequence = max(stone.sequence, decoded.sequence)
	s.forget(id)
	s.bury(id, stone)
	change.Delete = append(change.Delete, id)
	return Removed
}

// confirmGone makes the removal of an instance that is not there final where it is meant so.
func (s *Store) confirmGone(id string, decoded command) Code {
	stone, dead := s.tombstones[id]
	if dead && stone.reason.final() || !decoded.reason.final() {
		return Gone
	}
	stone.reason = decoded.reason
	if dead && decoded.reason == Unheard {
		stone.reason = Deregistered // it had a record here once
	}
	stone.sequence = max(stone.sequence, decoded.sequence)
	s.exhume(id)
	s.bury(id, stone)
	return Gone
}

func (s *Store) insert(entry *record) {
	s.records[entry.instance.ID] = entry
	if entry.instance.Address != "" {
		s.byAddress[entry.instance.Address] = entry.instance.ID
	}
}

func (s *Store) forget(id string) {
	address := s.records[id].instance.Address
	delete(s.records, id)
	if s.byAddress[address] == id {
		delete(s.byAddress, address)
	}
}

// bury remembers a removed instance and forgets the oldest beyond the bound.
func (s *Store) bury(id string, stone tombstone) {
	s.tombstones[id] = stone
	s.buried = append(s.buried, id)
	if len(s.buried) > tombstonesKept {
		delete(s.tombstones, s.buried[0])
		s.buried = append([]string(nil), s.buried[1:]...)
	}
}

// exhume forgets that an instance was removed.
func (s *Store) exhume(id string) {
	if _, dead := s.tombstones[id]; !dead {
		return
	}
	delete(s.tombstones, id)
	for position, buried := range s.buried {
		if buried == id {
			s.buried = append(s.buried[:position:position], s.buried[position+1:]...)
			return
		}
	}
}

// Instance returns a record that nobody may write to, or nil.
func (s *Store) Instance(id string) *Instance {
	held := s.records[id]
	if held == nil {
		return nil
	}
	return held.instance
}

// Instances returns the instances of a service in the order of their IDs, of all for "".
func (s *Store) Instances(service string) []Instance {
	instances := []Instance{}
	for _, id := range s.sortedIDs() {
		instance := s.records[id].instance
		if service == "" || instance.Service == service {
			instances = append(instances, *instance)
		}
	}
	return instances
}

// Removed tells whether an instance is gone for good, so that its heartbeats change nothing.
func (s *Store) Removed(id string) bool {
	stone, dead := s.tombstones[id]
	return dead && stone.reason.final()
}

// Knows tells whether an instance has, or had, a record here: its heartbeats come to this shard and to no other.
func (s *Store) Knows(id string) bool {
	stone, dead := s.tombstones[id]
	return s.records[id] != nil || dead && stone.reason != Unheard
}

// Items returns the feed's items, sorted by key (the instance's ID).
func (s *Store) Items() []feed.Item {
	items := make([]feed.Item, 0, len(s.records))
	for _, id := range s.sortedIDs() {
		items = append(items, feed.Item{Key: id, Value: s.records[id].value})
	}
	return items
}

func (s *Store) sortedIDs() []string {
	ids := make([]string, 0, len(s.records))
	for id := range s.records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
