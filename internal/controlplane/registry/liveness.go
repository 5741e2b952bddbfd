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
	// Acknowledge answers with status 200 immediately, without a log entry.
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

// Decision is how the owner of a shard handles one heartbeat or deregistration.
type Decision struct {
	Action    Action
	Command   []byte     // set for Propose
	Rejection *Rejection // set for Reject
}

// Defaults of LivenessOptions.
const (
	defaultMissedHeartbeats = 4
	defaultMinTimeout       = 4 * time.Second
	defaultStallGap         = time.Second
	defaultExpiryWindow     = 10 * time.Second
)

// LivenessOptions are the limits for the expiry of instances; a field that is 0 has its default value.
type LivenessOptions struct {
	MissedHeartbeats int           // timeout in heartbeat intervals; default 4
	MinTimeout       time.Duration // lower bound of the timeout; default 4 s
	StallGap         time.Duration // time between two calls above which the process counts as stalled; default 1 s
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
	registered        bool      // the store has a record of the instance
	lastHeartbeat     time.Time // when its last heartbeat arrived, or its record was first seen
	sequence          uint64    // highest sequence of its heartbeats
	removalPending    bool      // its removal was proposed but is not applied yet
	removalProposedAt time.Time
}

// LivenessTracker is the soft state that a shard's owner keeps in addition to the replicated Store: the time of each
// instance's last heartbeat. Heartbeat and RemoteHeartbeat renew a registration, Expired finds those that have lapsed.
//
// All times must come from one monotonic clock. Applied must be called with the change of each entry that is applied while
// the shard is owned. A LivenessTracker is not safe for concurrent use.
type LivenessTracker struct {
	options    LivenessOptions
	timeout    time.Duration // time without a heartbeat after which an instance is removed
	owned      bool
	lastCallAt time.Time
	graceUntil time.Time // no instance expires before this time

	instances      map[string]*instanceLiveness    // by ID
	recentExpiries map[string]map[string]time.Time // by service and ID: when the removal was proposed
}

// NewLivenessTracker returns the tracker of a shard that is not owned yet. heartbeatInterval is the interval at which
// instances send heartbeats.
func NewLivenessTracker(heartbeatInterval time.Duration, options LivenessOptions) *LivenessTracker {
	tracker := &LivenessTracker{options: options.withDefaults()}
	tracker.SetHeartbeatInterval(heartbeatInterval)
	tracker.OwnershipLost()
	return tracker
}

// SetHeartbeatInterval changes the interval at which instances send heartbeats, and with it the time after which they expire.
func (t *LivenessTracker) SetHeartbeatInterval(interval time.Duration) {
	t.timeout = max(time.Duration(t.options.MissedHeartbeats)*interval, t.options.MinTimeout)
}

// OwnershipGained starts the ownership with the instances of the store. Each of them is given a full timeout, since the
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

// advanceClock records a call and returns the time to use for decisions, which never decreases. If the time since the
// previous call exceeds StallGap, this process was stalled, and all instances are given a full timeout again.
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

// Heartbeat renews the registration of an instance. stored is the store's record of the instance, or nil. If the heartbeat
// differs from it, Heartbeat proposes a command, otherwise it acknowledges immediately. The sequences of heartbeats of
// NodesService are ignored, since several processes send them.
func (t *LivenessTracker) Heartbeat(now time.Time, heartbeat Heartbeat, stored *Instance) Decision {
	if !t.owned {
		return Decision{Action: Reject, Rejection: reject(NotOwner, "")}
	}
	now = t.advanceClock(now)
	if heartbeat.Service == NodesService {
		heartbeat.Sequence = noSequence
	}
	liveness := t.instances[heartbeat.ID]
	if liveness == nil {
		liveness = &instanceLiveness{service: heartbeat.Service, state: heartbeat.State}
		t.instances[heartbeat.ID] = liveness
	}
	if heartbeat.Sequence != noSequence && heartbeat.Sequence < liveness.sequence && !mustPropose(heartbeat, stored) {
		return Decision{Action: Acknowledge}
	}
	liveness.lastHeartbeat = now
	liveness.sequence = max(liveness.sequence, heartbeat.Sequence)
	liveness.registered = liveness.registered || stored != nil
	if liveness.removalPending && now.Sub(liveness.removalProposedAt) >= t.timeout {
		liveness.removalPending = false // the proposal was lost
	}
	if stored != nil && !liveness.removalPending && SameRecord(*stored, heartbeat.Instance) {
		return Decision{Action: Acknowledge}
	}
	return Decision{Action: Propose, Command: EncodePut(heartbeat.Instance, heartbeat.Sequence)}
}

// mustPropose reports whether a heartbeat must be proposed even though it is late: acknowledging it would promise that the
// instance is registered, or draining, but the store has not recorded that yet, and the entry of the later heartbeat may be
// lost.
func mustPropose(heartbeat Heartbeat, stored *Instance) bool {
	return stored == nil || heartbeat.State == Draining && stored.State != Draining
}

// RemoteHeartbeat renews the registration of an instance whose heartbeat another server has acknowledged because it matches
// the replicated record. It has no effect for an instance that is not recorded or is being removed: the next heartbeat of
// that instance is forwarded to the owner.
func (t *LivenessTracker) RemoteHeartbeat(now time.Time, id string, sequence uint64) {
	liveness := t.instances[id]
	if !t.owned || liveness == nil || liveness.removalPending {
		return
	}
	now = t.advanceClock(now)
	if sequence != noSequence && sequence < liveness.sequence {
		return
	}
	liveness.lastHeartbeat = now
	liveness.sequence = max(liveness.sequence, sequence)
}

// SameRecord reports whether two records are equal in all fields that heartbeats report; a nil list equals an empty one.
// Assigned is not compared, since heartbeats do not report it.
func SameRecord(left, right Instance) bool {
	sameModels := slices.EqualFunc(left.Models, right.Models, func(leftModel, rightModel Model) bool {
		return leftModel.Name == rightModel.Name && leftModel.Generation == rightModel.Generation && slices.Equal(leftModel.Adapters, rightModel.Adapters)
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

// Deregister proposes the removal of an instance. known says whether the store has, or had, a record of it. The removal of
// an unknown instance is proposed too: an owner that has been replaced may not have its record, and a heartbeat of the
// instance may still arrive.
func (t *LivenessTracker) Deregister(now time.Time, id string, known bool) Decision {
	if !t.owned {
		return Decision{Action: Reject, Rejection: reject(NotOwner, "")}
	}
	t.advanceClock(now)
	liveness := t.instances[id]
	if liveness == nil && !known {
		return Decision{Action: Propose, Command: EncodeRemove(id, NeverRegistered, noSequence)}
	}
	sequence := uint64(noSequence)
	if liveness != nil {
		sequence = liveness.sequence
	}
	return Decision{Action: Propose, Command: EncodeRemove(id, Deregistered, sequence)}
}

// Applied updates the tracker with a change that was applied to the store while the shard is owned.
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
			continue // the store encoded the item itself, so only a newer format can be the cause
		}
		t.markRegistered(now, instance)
	}
}

// markRegistered marks an instance as registered after the store has recorded it.
func (t *LivenessTracker) markRegistered(now time.Time, instance Instance) {
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
