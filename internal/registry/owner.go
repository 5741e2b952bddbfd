package registry

import (
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

// OwnerOptions are the bounds of the expiry; a field that is 0 has its default.
type OwnerOptions struct {
	SilentBeats   int           // heartbeats missed before an instance is removed: 4
	SilentAtLeast time.Duration // and at least: 4 s
	StallGap      time.Duration // between two calls, above which the owner stood still: 1 s
	ShareWindow   time.Duration // span in which at most half of a service's instances expire: 10 s
}

// Owner is what the owner of a shard knows of its instances beside the replicated store: who was
// heard when. It has no clock: now must come from the monotonic clock and not fall.
type Owner struct{}

// NewOwner returns an owner that does not own its shard yet.
func NewOwner(heartbeat time.Duration, options OwnerOptions) *Owner { return &Owner{} }

// Gained starts the ownership with the instances of the store: each is given a full span.
func (o *Owner) Gained(now time.Time, instances []Instance) { panic("not built yet") }

// Lost ends the ownership and forgets all.
func (o *Owner) Lost() { panic("not built yet") }

// Beat decides on a heartbeat; known is the store's record of that instance, or nil.
func (o *Owner) Beat(now time.Time, beat Beat, known *Instance) Decision { panic("not built yet") }

// Deregister decides on a departure; known is the store's record of that instance, or nil.
func (o *Owner) Deregister(now time.Time, id string, known *Instance) Decision {
	panic("not built yet")
}

// Applied follows what was applied to the store while the shard is owned.
func (o *Owner) Applied(now time.Time, change feed.Change) { panic("not built yet") }

// Expired returns the commands to propose for instances that fell silent. It is to be called
// several times in each StallGap.
func (o *Owner) Expired(now time.Time) [][]byte { panic("not built yet") }
