package registry

import (
	"slices"
	"time"

	"ospreybend/coord/feed"
)

// Action tells what to do with a call.
type Action uint8

const (
	Acknowledge Action = 1 // answer 200 at once
	Propose     Action = 2 // propose Command and answer with its outcome once it is applied
	Reject      Action = 3 // answer with Refusal
)

// Decision is what the owner of a shard does with one call.
type Decision struct {
	Action    Action
	Command   []byte
	Rejection *Rejection
}

// Defaults of OwnerOptions.
const (
	defaultMissedHeartbeats = 4
	defaultMinTimeout       = 4 * time.Second
	defaultStallGap         = time.Second
	defaultExpiryWindow     = 10 * time.Second
)

// LivenessOptions are the bounds of the expiry; a field that is 0 has its default.
type LivenessOptions struct {
	MissedHeartbeats int           // heartbeats missed before an instance is removed: 4
	MinTimeout       time.Duration // and at least: 4 s
	StallGap         time.Duration // between two calls, above which the owner stood still: 1 s
	ExpiryWindow     time.Duration // span in which at most half of a service's instances expire: 10 s
}

func (o LivenessOptions) withDefaults() LivenessOptions {
	if o.MissedHeartbeats == 0 {
		o.MissedHeartbeats = defaultMissedHeartbeats
	}
	if o.MinTimeout == 0 {
		o.MinTimeout = defaultMinTimeout
	}
	if o.StallGap == 0 {
		o.StallGap = defaultStallGap
	}
	if o.ExpiryWindow == 0 {
		o.ExpiryWindow = defaultExpiryWindow
	}
	return o
}

// instanceLiveness is what the owner knows of one instance.
type instanceLiveness struct {
	service           string
	state             State
	registered        bool      // the store has a record of it
	lastHeartbeat     time.Time // when it was heard last, or its record was seen first
	sequence          uint64    // the highest of its heartbeats
	removalPending    bool      // its removal was proposed at proposed and not applied yet
	removalProposedAt time.Time
}

// LivenessTracker is what the owner of a shard knows of its instances beside the replicated store: who was
// heard when. It has no clock: now must come from the monotonic clock. Every entry that is applied
// while the shard is owned is to be told by Applied. It is not safe for concurrent use.
type LivenessTracker struct {
	options        LivenessOptions
	timeout        time.Duration // of silence, after which an instance is removed
	owned          bool
	lastCallAt     time.Time
	graceUntil     time.Time // nothing expires before
	instances      map[string]*instanceLiveness
	recentExpiries map[string]map[string]time.Time // service, ID: when its removal was proposed
}

// NewLivenessTracker returns an owner that does not own its shard yet. heartbeat is the time between two
// heartbeats of an instance.
func NewLivenessTracker(heartbeat time.Duration, options LivenessOptions) *LivenessTracker {
	options = options.withDefaults()
	timeout := max(time.Duration(options.MissedHeartbeats)*heartbeat, options.MinTimeout)
	tracker := &LivenessTracker{options: options, timeout: timeout}
	tracker.OwnershipLost()
	return tracker
}

// OwnershipGained starts the ownership with the instances of the store: each is given a full span.
func (t *LivenessTracker) OwnershipGained(now time.Time, instances []Instance) {
	t.OwnershipLost()
	t.owned = true
	t.lastCallAt = now
	t.graceUntil = now.Add(t.timeout)
	for _, instance := range instances {
		t.instances[instance.ID] = &instanceLiveness{
			service:       instance.Service,
			state:         instance.State,
			registered:    true,
			lastHeartbeat: now,
		}
	}
}

// OwnershipLost ends the ownership and forgets all.
func (t *LivenessTracker) OwnershipLost() {
	t.owned = false
	t.instances = map[string]*instanceLiveness{}
	t.recentExpiries = map[string]map[string]time.Time{}
}

// advanceClock notes a call. After a gap in which the owner stood still everyone has a full span again.
// It returns the time that is decided by, which never falls.
func (t *LivenessTracker) advanceClock(now time.Time) time.Time {
	if now.Before(t.lastCallAt) {
		return t.lastCallAt
	}
	if now.Sub(t.lastCallAt) > t.options.StallGap {
		t.graceUntil = now.Add(t.timeout)
	}
	t.lastCallAt = now
	return now
}

// Heartbeat decides on a heartbeat; known is the store's record of that instance, or nil. A heartbeat
// of NodesService is taken as not numbered, since several processes send them.
func (t *LivenessTracker) Heartbeat(now time.Time, heartbeat Heartbeat, known *Instance) Decision {
	if !t.owned {
		return Decision{Action: Reject, Rejection: reject(NotOwner, "")}
	}
	now = t.advanceClock(now)
	if heartbeat.Service == NodesService {
		heartbeat.Sequence = unnumbered
	}
	liveness := t.instances[heartbeat.ID]
	if liveness == nil {
		liveness = &instanceLiveness{service: heartbeat.Service, state: heartbeat.State}
		t.instances[heartbeat.ID] = liveness
	}
	if heartbeat.Sequence != unnumbered && heartbeat.Sequence < liveness.sequence && !needsEntry(heartbeat, known) {
		return Decision{Action: Acknowledge}
	}
	liveness.lastHeartbeat = now
	liveness.sequence = max(liveness.sequence, heartbeat.Sequence)
	liveness.registered = liveness.registered || known != nil
	if liveness.removalPending && now.Sub(liveness.removalProposedAt) >= t.timeout {
		liveness.removalPending = false // the removal came to nothing
	}
	if known != nil && !liveness.removalPending && SameRecord(*known, heartbeat.Instance) {
		return Decision{Action: Acknowledge}
	}
	return Decision{Action: Propose, Command: EncodePut(heartbeat.Instance, heartbeat.Sequence)}
}

// needsEntry tells whether a late heartbeat says what its acknowledgement would promise and the store does not have yet:
// that the instance is registered, or that it is draining. The later heartbeat's entry may still be lost.
func needsEntry(heartbeat Heartbeat, known *Instance) bool {
	return known == nil || heartbeat.State == Draining && known.State != Draining
}

// RemoteHeartbeat notes a heartbeat that another keeper has acknowledged, since it changes nothing. One of an instance that is not
// recorded, or is being removed, says nothing: the instance's next heartbeat comes to the owner.
func (t *LivenessTracker) RemoteHeartbeat(now time.Time, id string, sequence uint64) {
	liveness := t.instances[id]
	if !t.owned || liveness == nil || liveness.removalPending {
		return
	}
	now = t.advanceClock(now)
	if sequence != unnumbered && sequence < liveness.sequence {
		return
	}
	liveness.lastHeartbeat = now
	liveness.sequence = max(liveness.sequence, sequence)
}

// SameRecord tells whether two records say the same; an empty list is like none.
func SameRecord(left, right Instance) bool {
	sameModels := slices.EqualFunc(left.Models, right.Models, func(one, other Model) bool {
		return one.Name == other.Name && one.Generation == other.Generation && slices.Equal(one.Adapters, other.Adapters)
	})
	return sameModels &&
		left.ID == right.ID &&
		left.Service == right.Service &&
		left.Address == right.Address &&
		left.Zone == right.Zone &&
		left.Generation == right.Generation &&
		left.Slots == right.Slots &&
		left.State == right.State &&
		left.Stage == right.Stage
}

// Deregister decides on a departure; known tells whether the store knows the instance. One of an instance that is not
// known costs an entry too: an owner that has been replaced may not know it, and a heartbeat may come late.
func (t *LivenessTracker) Deregister(now time.Time, id string, known bool) Decision {
	if !t.owned {
		return Decision{Action: Reject, Rejection: reject(NotOwner, "")}
	}
	t.advanceClock(now)
	liveness := t.instances[id]
	if liveness == nil && !known {
		return Decision{Action: Propose, Command: EncodeRemove(id, NeverRegistered, unnumbered)}
	}
	sequence := uint64(unnumbered)
	if liveness != nil {
		sequence = liveness.sequence
	}
	return Decision{Action: Propose, Command: EncodeRemove(id, Deregistered, sequence)}
}

// Applied follows what was applied to the store while the shard is owned.
func (t *LivenessTracker) Applied(now time.Time, change feed.Change) {
	if !t.owned {
		return
	}
	now = t.advanceClock(now)
	for _, id := range change.Delete {
		delete(t.instances, id)
	}
	for _, item := range change.Put {
		instance, err := DecodeItem(item.Value)
		if err != nil {
			continue // the store itself wrote it: it can only be of another form
		}
		t.noteRecord(now, instance)
	}
}

// noteRecord notes that the store has a new record of an instance.
func (t *LivenessTracker) noteRecord(now time.Time, instance Instance) {
	liveness := t.instances[instance.ID]
	if liveness == nil {
		liveness = &instanceLiveness{lastHeartbeat: now}
		t.instances[instance.ID] = liveness
	}
	liveness.service = instance.Service
	liveness.state = instance.State
	liveness.registered = true
	liveness.removalPending = false
	delete(t.recentExpiries[instance.Service], instance.ID)
}
