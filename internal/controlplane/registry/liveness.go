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
	Refuse      Action = 3 // answer with Refusal
)

// Decision is what the owner of a shard does with one call.
type Decision struct {
	Action  Action
	Command []byte
	Refusal *Refusal
}

// Defaults of OwnerOptions.
const (
	defaultSilentBeats   = 4
	defaultSilentAtLeast = 4 * time.Second
	defaultStallGap      = time.Second
	defaultShareWindow   = 10 * time.Second
)

// OwnerOptions are the bounds of the expiry; a field that is 0 has its default.
type OwnerOptions struct {
	SilentBeats   int           // heartbeats missed before an instance is removed: 4
	SilentAtLeast time.Duration // and at least: 4 s
	StallGap      time.Duration // between two calls, above which the owner stood still: 1 s
	ShareWindow   time.Duration // span in which at most half of a service's instances expire: 10 s
}

func (o OwnerOptions) withDefaults() OwnerOptions {
	if o.SilentBeats == 0 {
		o.SilentBeats = defaultSilentBeats
	}
	if o.SilentAtLeast == 0 {
		o.SilentAtLeast = defaultSilentAtLeast
	}
	if o.StallGap == 0 {
		o.StallGap = defaultStallGap
	}
	if o.ShareWindow == 0 {
		o.ShareWindow = defaultShareWindow
	}
	return o
}

// presence is what the owner knows of one instance.
type presence struct {
	service    string
	state      State
	registered bool      // the store has a record of it
	heard      time.Time // when it was heard last, or its record was seen first
	sequence   uint64    // the highest of its heartbeats
	removing   bool      // its removal was proposed at proposed and not applied yet
	proposed   time.Time
}

// Owner is what the owner of a shard knows of its instances beside the replicated store: who was
// heard when. It has no clock: now must come from the monotonic clock. Every entry that is applied
// while the shard is owned is to be told by Applied. It is not safe for concurrent use.
type Owner struct {
	options    OwnerOptions
	span       time.Duration // of silence, after which an instance is removed
	owned      bool
	lastCall   time.Time
	quietUntil time.Time // nothing expires before
	instances  map[string]*presence
	expired    map[string]map[string]time.Time // service, ID: when its removal was proposed
}

// NewOwner returns an owner that does not own its shard yet. heartbeat is the time between two
// heartbeats of an instance.
func NewOwner(heartbeat time.Duration, options OwnerOptions) *Owner {
	options = options.withDefaults()
	span := max(time.Duration(options.SilentBeats)*heartbeat, options.SilentAtLeast)
	owner := &Owner{options: options, span: span}
	owner.Lost()
	return owner
}

// Gained starts the ownership with the instances of the store: each is given a full span.
func (o *Owner) Gained(now time.Time, instances []Instance) {
	o.Lost()
	o.owned = true
	o.lastCall = now
	o.quietUntil = now.Add(o.span)
	for _, instance := range instances {
		o.instances[instance.ID] = &presence{
			service:    instance.Service,
			state:      instance.State,
			registered: true,
			heard:      now,
		}
	}
}

// Lost ends the ownership and forgets all.
func (o *Owner) Lost() {
	o.owned = false
	o.instances = map[string]*presence{}
	o.expired = map[string]map[string]time.Time{}
}

// arrive notes a call. After a gap in which the owner stood still everyone has a full span again.
// It returns the time that is decided by, which never falls.
func (o *Owner) arrive(now time.Time) time.Time {
	if now.Before(o.lastCall) {
		return o.lastCall
	}
	if now.Sub(o.lastCall) > o.options.StallGap {
		o.quietUntil = now.Add(o.span)
	}
	o.lastCall = now
	return now
}

// Beat decides on a heartbeat; known is the store's record of that instance, or nil. A heartbeat
// of NodesService is taken as not numbered, since several processes send them.
func (o *Owner) Beat(now time.Time, beat Beat, known *Instance) Decision {
	if !o.owned {
		return Decision{Action: Refuse, Refusal: refuse(NotOwner, "")}
	}
	now = o.arrive(now)
	if beat.Service == NodesService {
		beat.Sequence = unknownSequence
	}
	held := o.instances[beat.ID]
	if held == nil {
		held = &presence{service: beat.Service, state: beat.State}
		o.instances[beat.ID] = held
	}
	if beat.Sequence != unknownSequence && beat.Sequence < held.sequence && !awaitsEntry(beat, known) {
		return Decision{Action: Acknowledge}
	}
	held.heard = now
	held.sequence = max(held.sequence, beat.Sequence)
	held.registered = held.registered || known != nil
	if held.removing && now.Sub(held.proposed) >= o.span {
		held.removing = false // the removal came to nothing
	}
	if known != nil && !held.removing && SameRecord(*known, beat.Instance) {
		return Decision{Action: Acknowledge}
	}
	return Decision{Action: Propose, Command: EncodePut(beat.Instance, beat.Sequence)}
}

// awaitsEntry tells whether a late heartbeat says what its acknowledgement would promise and the store does not have yet:
// that the instance is registered, or that it is draining. The later heartbeat's entry may still be lost.
func awaitsEntry(beat Beat, known *Instance) bool {
	return known == nil || beat.State == Draining && known.State != Draining
}

// Heard notes a heartbeat that another keeper has acknowledged, since it changes nothing. One of an instance that is not
// recorded, or is being removed, says nothing: the instance's next heartbeat comes to the owner.
func (o *Owner) Heard(now time.Time, id string, sequence uint64) {
	held := o.instances[id]
	if !o.owned || held == nil || held.removing {
		return
	}
	now = o.arrive(now)
	if sequence != unknownSequence && sequence < held.sequence {
		return
	}
	held.heard = now
	held.sequence = max(held.sequence, sequence)
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
func (o *Owner) Deregister(now time.Time, id string, known bool) Decision {
	if !o.owned {
		return Decision{Action: Refuse, Refusal: refuse(NotOwner, "")}
	}
	o.arrive(now)
	held := o.instances[id]
	if held == nil && !known {
		return Decision{Action: Propose, Command: EncodeRemove(id, Unheard, unknownSequence)}
	}
	sequence := uint64(unknownSequence)
	if held != nil {
		sequence = held.sequence
	}
	return Decision{Action: Propose, Command: EncodeRemove(id, Deregistered, sequence)}
}

// Applied follows what was applied to the store while the shard is owned.
func (o *Owner) Applied(now time.Time, change feed.Change) {
	if !o.owned {
		return
	}
	now = o.arrive(now)
	for _, id := range change.Delete {
		delete(o.instances, id)
	}
	for _, item := range change.Put {
		instance, err := DecodeItem(item.Value)
		if err != nil {
			continue // the store itself wrote it: it can only be of another form
		}
		o.recorded(now, instance)
	}
}

// recorded notes that the store has a new record of an instance.
func (o *Owner) recorded(now time.Time, instance Instance) {
	held := o.instances[instance.ID]
	if held == nil {
		held = &presence{heard: now}
		o.instances[instance.ID] = held
	}
	held.service = instance.Service
	held.state = instance.State
	held.registered = true
	held.removing = false
	delete(o.expired[instance.Service], instance.ID)
}
