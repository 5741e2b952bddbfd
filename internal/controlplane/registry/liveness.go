package registry

import (
	"slices"
	"time"

	"ospreybend/coord/feed"
)

// Action is how the owner of a shard handles a call.
type Action uint8

// Actions of a Decision.
const (
	// Acknowledge answers with status 200 at once, without a log entry.
	Acknowledge Action = 1
	// Propose proposes the decision's Command and answers with its outcome once it is applied.
	Propose Action = 2
	// Reject answers with the decision's Rejection.
	Reject Action = 3
)

// String returns the name of the action.
func (a Action) String() string {
	switch a {
	case Acknowledge:
		return "acknowledge"
	case Propose:
		return "propose"
	case Reject:
		return "reject"
	default:
		return "unknown"
	}
}

// Decision is what the owner of a shard does with one heartbeat or deregistration.
type Decision struct {
	Action    Action
	Command   []byte     // with Propose
	Rejection *Rejection // with Reject
}

// Defaults of LivenessOptions.
const (
	defaultMissedHeartbeats = 4
	defaultMinTimeout       = 4 * time.Second
	defaultStallGap         = time.Second
	defaultExpiryWindow     = 10 * time.Second
)

// LivenessOptions are the limits of the expiry; a field that is 0 has its default.
type LivenessOptions struct {
	MissedHeartbeats int           // the time-out in heartbeat intervals; default 4
	MinTimeout       time.Duration // lower bound of the time-out; default 4 s
	StallGap         time.Duration // gap between two calls above which the process is taken to have stalled; default 1 s
	ExpiryWindow     time.Duration // window in which at most half of a service's instances expire; default 10 s
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

// instanceLiveness is the soft state of one instance.
type instanceLiveness struct {
	service           string
	state             State
	registered        bool      // the store has a record of it
	lastHeartbeat     time.Time // when its last heartbeat arrived, or its record was first seen
	sequence          uint64    // highest sequence of its heartbeats
	removalPending    bool      // its removal was proposed and is not applied yet
	removalProposedAt time.Time
}

// LivenessTracker is the soft state of a shard's owner beside the replicated Store: when each instance was last heard.
// Heartbeat and RemoteHeartbeat renew a registration, Expired finds those that have lapsed.
//
// All instants must come from one monotonic clock. Applied must be called with each entry that is applied while the shard
// is owned. A LivenessTracker is not safe for concurrent use.
type LivenessTracker struct {
	options    LivenessOptions
	timeout    time.Duration // without a heartbeat, after which an instance is removed
	owned      bool
	lastCallAt time.Time
	graceUntil time.Time // nothing expires before

	instances      map[string]*instanceLiveness    // by ID
	recentExpiries map[string]map[string]time.Time // by service and ID: when the removal was proposed
}

// NewLivenessTracker returns the tracker of a shard that is not owned yet. heartbeat is the interval at which instances
// send heartbeats.
func NewLivenessTracker(heartbeat time.Duration, options LivenessOptions) *LivenessTracker {
	options = options.withDefaults()
	timeout := max(time.Duration(options.MissedHeartbeats)*heartbeat, options.MinTimeout)
	tracker := &LivenessTracker{options: options, timeout: timeout}
	tracker.OwnershipLost()
	return tracker
}

// OwnershipGained starts the ownership with the instances of the store. Each of them is given a full time-out, since the
// heartbeats that the previous owner received are unknown.
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

// OwnershipLost ends the ownership and drops all state.
func (t *LivenessTracker) OwnershipLost() {
	t.owned = false
	t.instances = map[string]*instanceLiveness{}
	t.recentExpiries = map[string]map[string]time.Time{}
}

// advanceClock records a call. After a gap above StallGap the process itself had stalled, and all instances are given a
// full time-out again. It returns the instant to decide by, which never decreases.
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

// Heartbeat renews the registration of an instance. It proposes a command where the heartbeat differs from known, the
// store's record of the instance or nil, and otherwise acknowledges at once. Heartbeats of NodesService count as
// unnumbered, since several processes send them.
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
		liveness.removalPending = false // the proposal was lost
	}
	if known != nil && !liveness.removalPending && SameRecord(*known, heartbeat.Instance) {
		return Decision{Action: Acknowledge}
	}
	return Decision{Action: Propose, Command: EncodePut(heartbeat.Instance, heartbeat.Sequence)}
}

// needsEntry reports whether a late heartbeat must be proposed nonetheless: its acknowledgement would promise that the
// instance is registered, or draining, and the store does not have that yet. The entry of the later heartbeat may be lost.
func needsEntry(heartbeat Heartbeat, known *Instance) bool {
	return known == nil || heartbeat.State == Draining && known.State != Draining
}

// RemoteHeartbeat renews the registration of an instance whose heartbeat another server has acknowledged, since it agrees
// with the replicated record. It has no effect for an instance that is not recorded or is being removed: that instance's
// next heartbeat is forwarded to the owner.
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

// SameRecord reports whether two records agree in all that heartbeats report; a nil list equals an empty one. Assigned is
// not compared.
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

// Deregister proposes the removal of an instance; known reports whether the store knows it. The removal of an unknown
// instance is proposed too: an owner that has been replaced may not know it, and its heartbeat may still arrive.
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

// Applied updates the tracker by a change that was applied to the store while the shard is owned.
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
			continue // the store encoded it itself: only a later format can be the cause
		}
		t.noteRecord(now, instance)
	}
}

// noteRecord marks an instance as registered by a new record of the store.
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
