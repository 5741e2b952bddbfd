package registry

import (
	"bytes"
	"slices"
	"sort"

	"ospreybend/coord/feed"
)

// maxTombstones limits the number of tombstones of a shard. When it is exceeded, the oldest tombstone is dropped.
const maxTombstones = 2048

// Outcome is the result of one command, as it is returned to the caller of the server.
type Outcome struct {
	Status int // HTTP status
	Code   Code
	Text   string
}

// record is the replicated record of an instance. It is immutable except for its sequence.
type record struct {
	instance *Instance
	value    []byte // encoded value of its item in the feed
	sequence uint64 // of the latest heartbeat that was applied
}

// tombstone is kept for a removed instance, so that its late heartbeats are recognized.
type tombstone struct {
	reason   RemovalReason
	draining bool
	sequence uint64 // of the latest known heartbeat
}

// tombstone returns the tombstone that replaces the record when the instance is removed.
func (r *record) tombstone(reason RemovalReason) tombstone {
	return tombstone{reason: reason, draining: r.instance.State == Draining, sequence: r.sequence}
}

// Store is the replicated state of the instances of one shard. It is not safe for concurrent use.
type Store struct {
	records        map[string]*record
	byAddress      map[string]string // ID of the instance at an address
	tombstones     map[string]tombstone
	tombstoneOrder []string // IDs of tombstones, oldest first
}

// NewStore returns a store without instances.
func NewStore() *Store {
	return &Store{
		records:    map[string]*record{},
		byAddress:  map[string]string{},
		tombstones: map[string]tombstone{},
	}
}

// KnownIDs returns the IDs of all instances that have a record or a tombstone, sorted.
func (s *Store) KnownIDs() []string {
	ids := make([]string, 0, len(s.records)+len(s.tombstones))
	for id := range s.records {
		ids = append(ids, id)
	}
	for id := range s.tombstones {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply applies the committed command at an index of the log. It is deterministic. The returned change is to be published
// in the feed. It is empty if the command changed nothing.
func (s *Store) Apply(index uint64, encoded []byte) (Outcome, feed.Change) {
	change := feed.Change{Index: index}
	decoded, rejection := decodeCommand(encoded)
	if rejection != nil {
		return Outcome{Status: rejection.HTTPStatus, Code: rejection.Code, Text: rejection.Text}, change
	}
	switch decoded.operation {
	case operationPut:
		return outcomeFor(s.put(decoded.instance, decoded.sequence, &change)), change
	case operationRemove:
		return outcomeFor(s.remove(decoded, &change)), change
	case operationAssign:
		assigned := decoded.instance.Stage
		return outcomeFor(s.update(decoded.instance.ID, &change, func(i *Instance) { i.Assigned = assigned })), change
	case operationStage:
		reported := decoded.instance.Stage
		return outcomeFor(s.update(decoded.instance.ID, &change, func(i *Instance) { i.Stage = reported })), change
	default:
		return outcomeFor(InvalidCommand), change
	}
}

// outcomeFor returns the outcome with a code, its status and its text.
func outcomeFor(code Code) Outcome {
	entry := codes.Entry(code)
	return Outcome{Status: entry.HTTPStatus, Code: code, Text: entry.Text}
}

// put records an instance unless a later heartbeat or its removal was already applied.
func (s *Store) put(instance Instance, sequence uint64, change *feed.Change) Code {
	if code, stale := s.checkStale(instance, sequence); stale {
		return code
	}
	current := s.records[instance.ID]
	if current != nil { // heartbeats do not carry the assigned stage
		instance.Assigned = current.instance.Assigned
	}
	value := EncodeItem(instance)
	if current != nil && bytes.Equal(current.value, value) {
		current.sequence = max(current.sequence, sequence)
		return Unchanged
	}
	// A heartbeat without a sequence must not reset the sequence by which late heartbeats are recognized.
	sequence = max(sequence, s.tombstones[instance.ID].sequence)
	if current != nil {
		sequence = max(sequence, current.sequence)
		s.deleteRecord(instance.ID)
	}
	s.evictAddress(instance.Address, change)
	s.dropTombstone(instance.ID)
	s.insertRecord(&record{instance: &instance, value: value, sequence: sequence})
	change.Put = append(change.Put, feed.Item{Key: instance.ID, Value: value})
	return Recorded
}

// update replaces an instance's record by a copy changed by mutate, if the instance has a record.
func (s *Store) update(id string, change *feed.Change, mutate func(*Instance)) Code {
	current := s.records[id]
	if current == nil {
		return Gone
	}
	instance := *current.instance
	mutate(&instance)
	value := EncodeItem(instance)
	if bytes.Equal(value, current.value) {
		return Unchanged
	}
	s.records[id] = &record{instance: &instance, value: value, sequence: current.sequence}
	change.Put = append(change.Put, feed.Item{Key: id, Value: value})
	return Recorded
}

// checkStale reports whether a heartbeat changes nothing, and the code for that case: its instance stays removed, or a newer
// heartbeat was applied. Heartbeats of NodesService are never stale, since they have no order and a node may restart under
// the same ID.
func (s *Store) checkStale(instance Instance, sequence uint64) (Code, bool) {
	if instance.Service == NodesService {
		return Recorded, false
	}
	if removed, found := s.tombstones[instance.ID]; found {
		return s.checkTombstone(instance, sequence, removed)
	}
	current := s.records[instance.ID]
	if current == nil {
		return Recorded, false
	}
	if sequence != noSequence && sequence < current.sequence {
		return Stale, true
	}
	revokesDrain := current.instance.State == Draining && instance.State == Ready
	if revokesDrain && sequence <= current.sequence {
		return Stale, true
	}
	return Recorded, false
}

// checkTombstone reports whether a removed instance stays removed in spite of a heartbeat, and the code for that case.
func (s *Store) checkTombstone(instance Instance, sequence uint64, removed tombstone) (Code, bool) {
	if removed.reason.permanent() {
		return Gone, true
	}
	if sequence != noSequence && sequence <= removed.sequence {
		return Stale, true
	}
	if sequence == noSequence && removed.draining && instance.State == Ready {
		return Stale, true
	}
	if _, taken := s.byAddress[instance.Address]; taken {
		return Gone, true
	}
	return Recorded, false
}

// evictAddress removes the instance at an address with which another instance registers.
func (s *Store) evictAddress(address string, change *feed.Change) {
	id, taken := s.byAddress[address]
	if !taken {
		return
	}
	removed := s.records[id].tombstone(Superseded)
	s.deleteRecord(id)
	s.addTombstone(id, removed)
	change.Delete = append(change.Delete, id)
}

// remove removes an instance, or records the removal of one that is not registered.
func (s *Store) remove(decoded command, change *feed.Change) Code {
	id := decoded.instance.ID
	current := s.records[id]
	if current == nil {
		return s.makeRemovalPermanent(id, decoded)
	}
	numbered := decoded.sequence != noSequence
	if decoded.reason == Expired && numbered && decoded.sequence < current.sequence {
		return Stale // a heartbeat was applied after the removal had been proposed
	}
	removed := current.tombstone(decoded.reason)
	removed.sequence = max(removed.sequence, decoded.sequence)
	s.deleteRecord(id)
	s.addTombstone(id, removed)
	change.Delete = append(change.Delete, id)
	return Removed
}

// makeRemovalPermanent makes the removal of an instance without a record permanent if the command's reason is permanent.
func (s *Store) makeRemovalPermanent(id string, decoded command) Code {
	removed, found := s.tombstones[id]
	if found && removed.reason.permanent() || !decoded.reason.permanent() {
		return Gone
	}
	removed.reason = decoded.reason
	if found && decoded.reason == NeverRegistered {
		removed.reason = Deregistered // the tombstone shows that it had a record
	}
	removed.sequence = max(removed.sequence, decoded.sequence)
	s.dropTombstone(id)
	s.addTombstone(id, removed)
	return Gone
}

// insertRecord adds a record and the entry of its address.
func (s *Store) insertRecord(entry *record) {
	s.records[entry.instance.ID] = entry
	if entry.instance.Address != "" {
		s.byAddress[entry.instance.Address] = entry.instance.ID
	}
}

// deleteRecord removes the record of an instance, and the entry of its address unless it belongs to another instance.
func (s *Store) deleteRecord(id string) {
	address := s.records[id].instance.Address
	delete(s.records, id)
	if s.byAddress[address] == id {
		delete(s.byAddress, address)
	}
}

// addTombstone adds a tombstone and drops the oldest one if there are more than maxTombstones.
func (s *Store) addTombstone(id string, removed tombstone) {
	s.tombstones[id] = removed
	s.tombstoneOrder = append(s.tombstoneOrder, id)
	if len(s.tombstoneOrder) > maxTombstones {
		delete(s.tombstones, s.tombstoneOrder[0])
		s.tombstoneOrder = append([]string(nil), s.tombstoneOrder[1:]...)
	}
}

// dropTombstone removes the tombstone of an instance, if there is one.
func (s *Store) dropTombstone(id string) {
	if _, found := s.tombstones[id]; !found {
		return
	}
	delete(s.tombstones, id)
	for position, candidate := range s.tombstoneOrder {
		if candidate == id {
			s.tombstoneOrder = append(s.tombstoneOrder[:position:position], s.tombstoneOrder[position+1:]...)
			return
		}
	}
}

// Instance returns the record of an instance, or nil. The caller must not modify it.
func (s *Store) Instance(id string) *Instance {
	current := s.records[id]
	if current == nil {
		return nil
	}
	return current.instance
}

// Instances returns the instances of a service, or of all services for "", sorted by ID.
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

// PermanentlyRemoved reports whether an instance is removed permanently, so that its heartbeats change nothing.
func (s *Store) PermanentlyRemoved(id string) bool {
	removed, found := s.tombstones[id]
	return found && removed.reason.permanent()
}

// IgnoresHeartbeat reports whether the heartbeats of an instance currently change nothing: it is removed permanently, or it
// was superseded and its address is still taken.
func (s *Store) IgnoresHeartbeat(instance Instance) bool {
	removed, found := s.tombstones[instance.ID]
	if !found {
		return false
	}
	_, taken := s.byAddress[instance.Address]
	return removed.reason.permanent() || removed.reason == Superseded && taken
}

// Knows reports whether an instance has, or had, a record in this shard. If so, its heartbeats belong to this shard.
func (s *Store) Knows(id string) bool {
	removed, found := s.tombstones[id]
	return s.records[id] != nil || found && removed.reason != NeverRegistered
}

// Items returns the items of the feed, sorted by key, which is the instance ID.
func (s *Store) Items() []feed.Item {
	items := make([]feed.Item, 0, len(s.records))
	for _, id := range s.sortedIDs() {
		items = append(items, feed.Item{Key: id, Value: s.records[id].value})
	}
	return items
}

// sortedIDs returns the IDs of all instances in ascending order.
func (s *Store) sortedIDs() []string {
	ids := make([]string, 0, len(s.records))
	for id := range s.records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
