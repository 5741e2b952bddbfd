package catchupbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
)

// Manner is how a member comes back.
type Manner string

// The manners.
const (
	Restarted Manner = "restarted" // with its disk
	Wiped     Manner = "wiped"     // at its address, without its disk, under a new ID
	Replaced  Manner = "replaced"  // by a new one at another address
)

// Manners returns all manners.
func Manners() []Manner { return []Manner{Restarted, Wiped, Replaced} }

// Plan describes what is measured.
type Plan struct {
	Directory    string
	Routes       int
	Rate         int // changes a second, which go on
	ReplaceEvery int // one in so many changes replaces the complete document
	Offline      []time.Duration
	Limit        time.Duration // until a member must be current
	Progress     io.Writer     // nil: none
}

// Step is one return of a member. Its JSON members have the names that earlier results have.
type Step struct {
	Manner  Manner        `json:"Manner"`
	Offline time.Duration `json:"Away"`
	Lacked  int           `json:"Lacked"`  // changes made meanwhile
	Took    time.Duration `json:"Took"`    // from its start until it had applied what the leader had
	Voting  time.Duration `json:"Voting"`  // until it had a vote again
	Bytes   int64         `json:"Bytes"`   // sent to it until it was current
	OnDisk  int64         `json:"OnDisk"`  // bytes of its replica then
	Leading int64         `json:"Leading"` // bytes of the leader's replica
}

// Errors of a measurement.
var (
	errNoLeader   = errors.New("catchup: no leader is elected")
	errNotCurrent = errors.New("catchup: a member is not current in time")
	errRefused    = errors.New("catchup: a change was refused")
)

// fleet is the group under measurement.
type fleet struct {
	plan       Plan
	counted    *traffic
	lastID     consensus.MemberID
	generation uint64

	mutex   sync.Mutex
	members []*member
}

// present returns the members that run.
func (f *fleet) present() []*member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.members)
}

// add adds a member that has been started.
func (f *fleet) add(one *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.members = append(f.members, one)
}

// remove takes out a member that is to be stopped.
func (f *fleet) remove(gone *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.members = slices.DeleteFunc(f.members, func(one *member) bool { return one == gone })
}

// founders is how many members the group has.
const founders = 3

// pollPause is the pause between two looks at a replica's state.
const pollPause = time.Millisecond

// Play measures all returns.
func Play(ctx context.Context, plan Plan) ([]Step, error) {
	f := &fleet{plan: plan, counted: newTraffic()}
	defer f.stop()
	if err := f.bootstrap(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, offline := range plan.Offline {
		for _, manner := range Manners() {
			step, err := f.measure(ctx, manner, offline)
			if err != nil {
				return steps, fmt.Errorf("%s after %v: %w", manner, offline, err)
			}
			steps = append(steps, step)
			if plan.Progress != nil {
				fmt.Fprintln(plan.Progress, step)
			}
		}
	}
	return steps, nil
}

func (f *fleet) stop() {
	for _, one := range f.present() {
		_ = one.stop()
	}
}

// bootstrap starts the founders.
func (f *fleet) bootstrap() error {
	var listeners []net.Listener
	var first []consensus.Member
	for range founders {
		listener, err := peertransport.Listen(context.Background(), "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.lastID++
		listeners = append(listeners, listener)
		first = append(first, consensus.Member{ID: f.lastID, Address: listener.Addr().String(), Voter: true})
	}
	for at, self := range first {
		started, err := startMember(self, first, memberDirectory(f.plan.Directory, self.ID), listeners[at], f.counted)
		if err != nil {
			return err
		}
		f.add(started)
	}
	return nil
}

// until polls until a condition holds.
func (f *fleet) until(ctx context.Context, failure error, done func() bool) error {
	limit := time.NewTimer(f.plan.Limit)
	defer limit.Stop()
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return failure
		case <-ticker.C:
		}
	}
	return nil
}

func (f *fleet) leader(ctx context.Context) (*member, error) {
	var found *member
	err := f.until(ctx, errNoLeader, func() bool {
		for _, one := range f.present() {
			if one.group.Status().IsLeader() {
				found = one
			}
		}
		return found != nil
	})
	return found, err
}

// change makes the next change, also over a change of leader.
func (f *fleet) change(ctx context.Context) error {
	command := f.plan.change(f.generation)
	encoded := configuration.EncodeCommand(command)
	for {
		leader, err := f.leader(ctx)
		if err != nil {
			return err
		}
		result, _, err := leader.group.Propose(ctx, encoded)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		outcome := result.(configuration.Outcome)
		if outcome.HTTPStatus != 200 {
			return fmt.Errorf("%w: %d %s", errRefused, outcome.Code, outcome.Text)
		}
		f.generation++
		return nil
	}
}

// makeChanges makes changes at the plan's rate until the context ends.
func (f *fleet) makeChanges(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / time.Duration(f.plan.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := f.change(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// measure has a follower go, makes the changes of the time that it is away, and has it come back.
func (f *fleet) measure(ctx context.Context, manner Manner, offline time.Duration) (Step, error) {
	if err := f.change(ctx); err != nil {
		return Step{}, err
	}
	leader, err := f.leader(ctx)
	if err != nil {
		return Step{}, err
	}
	followers := slices.DeleteFunc(f.present(), func(one *member) bool { return one == leader })
	gone := followers[0]
	f.remove(gone)
	if err := gone.stop(); err != nil {
		return Step{}, err
	}
	lacked := max(1, int(offline.Seconds()*float64(f.plan.Rate)))
	for range lacked {
		if err := f.change(ctx); err != nil {
			return Step{}, err
		}
	}
	step := Step{Manner: manner, Offline: offline, Lacked: lacked}
	going, endChanges := context.WithCancel(ctx)
	changes := make(chan error, 1)
	go func() { changes <- f.makeChanges(going) }()
	err = f.bringBack(ctx, gone, &step)
	endChanges()
	return step, errors.Join(err, <-changes)
}

// bringBack starts the member, or its replacement, and measures how long it takes to catch up.
func (f *fleet) bringBack(ctx context.Context, gone *member, step *Step) error {
	self, address := gone.self, gone.self.Address
	if step.Manner != Restarted {
		f.lastID++
		if err := gone.wipe(); err != nil {
			return err
		}
		if step.Manner == Replaced {
			address = "127.0.0.1:0"
		}
	}
	listener, err := peertransport.Listen(ctx, address)
	if err != nil {
		return err
	}
	if step.Manner != Restarted {
		self = consensus.Member{ID: f.lastID, Address: listener.Addr().String()}
	}
	sent := f.counted.to(self.Address)
	before, began := sent.Load(), time.Now()
	back, err := startMember(self, nil, memberDirectory(f.plan.Directory, self.ID), listener, f.counted)
	if err != nil {
		return err
	}
	leader, err := f.leader(ctx)
	f.add(back)
	if err != nil {
		return err
	}
	if step.Manner != Restarted {
		err = errors.Join(f.changeMembership(ctx, replica.MembershipChange{Remove: gone.self.ID}), f.changeMembership(ctx, replica.MembershipChange{Add: &self}))
	}
	if err != nil {
		return err
	}
	err = f.until(ctx, errNotCurrent, func() bool { return back.applied() > 1 && back.applied()+1 >= leader.applied() })
	step.Took, step.Bytes, step.OnDisk = time.Since(began), sent.Load()-before, back.group.Status().DiskBytes
	step.Leading = leader.group.Status().DiskBytes
	if err != nil {
		return err
	}
	if step.Manner == Restarted {
		step.Voting = step.Took
		return nil
	}
	self.Voter = true
	err = f.changeMembership(ctx, replica.MembershipChange{Add: &self})
	step.Voting = time.Since(began)
	return err
}

// changeMembership makes a change of members, and tries again while the group refuses it.
func (f *fleet) changeMembership(ctx context.Context, change replica.MembershipChange) error {
	limit := time.Now().Add(f.plan.Limit)
	for {
		leader, err := f.leader(ctx)
		if err != nil {
			return err
		}
		err = leader.group.ChangeMembers(ctx, change)
		if err == nil || ctx.Err() != nil || time.Now().After(limit) {
			return err
		}
		if err := f.until(ctx, nil, afterNow()); err != nil {
			return err
		}
	}
}

// afterNow is a condition that holds a little later.
func afterNow() func() bool {
	later := time.Now().Add(10 * pollPause)
	return func() bool { return time.Now().After(later) }
}
