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

// ReturnMode is the way in which a member returns to the group.
type ReturnMode string

// Return modes.
const (
	Restarted ReturnMode = "restarted" // with its disk and ID
	Wiped     ReturnMode = "wiped"     // at the same address with an empty disk and a new ID
	Replaced  ReturnMode = "replaced"  // by a new member at another address
)

// ReturnModes returns all return modes in the order in which they are measured.
func ReturnModes() []ReturnMode { return []ReturnMode{Restarted, Wiped, Replaced} }

// Plan holds the parameters of a measurement.
type Plan struct {
	Directory    string          // parent of the members' directories
	Routes       int             // number of routes in the configuration
	Rate         int             // changes per second, also while a member catches up
	ReplaceEvery int             // one in this many changes replaces the complete document
	Offline      []time.Duration // times that members are offline, each measured with every ReturnMode
	Limit        time.Duration   // time limit for a member to catch up, and for each other wait
	Progress     io.Writer       // receives one line per step; may be nil
}

// Step is the measurement of one return of a member. The JSON names are those of earlier results and must not change.
type Step struct {
	Mode            ReturnMode    `json:"Manner"`
	Offline         time.Duration `json:"Away"`
	MissedChanges   int           `json:"Lacked"`  // changes made while it was offline
	CatchUpTime     time.Duration `json:"Took"`    // from its start until it had caught up with the leader
	TimeToVoter     time.Duration `json:"Voting"`  // from its start until it was a voter again
	Bytes           int64         `json:"Bytes"`   // bytes sent to it until it had caught up
	DiskBytes       int64         `json:"OnDisk"`  // disk usage of its replica at that time
	LeaderDiskBytes int64         `json:"Leading"` // disk usage of the leader's replica at that time
}

// Errors of a measurement.
var (
	errNoLeader   = errors.New("catchup: no leader was elected within the limit")
	errNotCurrent = errors.New("catchup: the member did not catch up within the limit")
	errRejected   = errors.New("catchup: the configuration rejected a change")
)

// testGroup is the replica group that is measured.
type testGroup struct {
	plan       Plan
	traffic    *traffic
	lastID     consensus.MemberID
	generation uint64

	mutex   sync.Mutex
	members []*member
}

// running returns the members that are running.
func (g *testGroup) running() []*member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.members)
}

// add adds a member that was started.
func (g *testGroup) add(started *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members = append(g.members, started)
}

// remove removes a member before it is stopped.
func (g *testGroup) remove(stopped *member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members = slices.DeleteFunc(g.members, func(m *member) bool { return m == stopped })
}

// groupSize is the number of members of the group.
const groupSize = 3

// pollInterval is the interval at which the state of a replica is polled.
const pollInterval = time.Millisecond

// Run measures the return of a member for each offline time of the plan and each return mode. On an error it also returns the completed
// steps.
func Run(ctx context.Context, plan Plan) ([]Step, error) {
	g := &testGroup{plan: plan, traffic: newTraffic()}
	defer g.stop()
	if err := g.bootstrap(); err != nil {
		return nil, err
	}
	var steps []Step
	for _, offline := range plan.Offline {
		for _, mode := range ReturnModes() {
			step, err := g.measure(ctx, mode, offline)
			if err != nil {
				return steps, fmt.Errorf("measure a member that is %s after %v offline: %w", mode, offline, err)
			}
			steps = append(steps, step)
			if plan.Progress != nil {
				fmt.Fprintln(plan.Progress, step)
			}
		}
	}
	return steps, nil
}

func (g *testGroup) stop() {
	for _, m := range g.running() {
		_ = m.stop()
	}
}

// bootstrap starts the initial members.
func (g *testGroup) bootstrap() error {
	var listeners []net.Listener
	var founders []consensus.Member
	for range groupSize {
		listener, err := peertransport.Listen(context.Background(), "127.0.0.1:0")
		if err != nil {
			return err
		}
		g.lastID++
		listeners = append(listeners, listener)
		founders = append(founders, consensus.Member{ID: g.lastID, Address: listener.Addr().String(), Voter: true})
	}
	for i, self := range founders {
		started, err := startMember(self, founders, memberDirectory(g.plan.Directory, self.ID), listeners[i], g.traffic)
		if err != nil {
			return err
		}
		g.add(started)
	}
	return nil
}

// pollUntil polls until done returns true. It returns failure when the plan's limit has passed.
func (g *testGroup) pollUntil(ctx context.Context, failure error, done func() bool) error {
	limit := time.NewTimer(g.plan.Limit)
	defer limit.Stop()
	ticker := time.NewTicker(pollInterval)
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

// leader returns the current leader, and waits for an election if there is none.
func (g *testGroup) leader(ctx context.Context) (*member, error) {
	var found *member
	err := g.pollUntil(ctx, errNoLeader, func() bool {
		for _, m := range g.running() {
			if m.group.Status().IsLeader() {
				found = m
			}
		}
		return found != nil
	})
	return found, err
}

// proposeNextChange proposes the next change and tries again, with a new leader if needed, until it is applied.
func (g *testGroup) proposeNextChange(ctx context.Context) error {
	command := g.plan.nextCommand(g.generation)
	encoded := configuration.EncodeCommand(command)
	for {
		leader, err := g.leader(ctx)
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
			return fmt.Errorf("%w: %d %s", errRejected, outcome.Code, outcome.Text)
		}
		g.generation++
		return nil
	}
}

// makeChanges makes changes at the rate of the plan until ctx ends.
func (g *testGroup) makeChanges(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / time.Duration(g.plan.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := g.proposeNextChange(ctx); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// measure stops a follower, makes the changes that occur while it is offline, and has it return in the given mode.
func (g *testGroup) measure(ctx context.Context, mode ReturnMode, offline time.Duration) (Step, error) {
	if err := g.proposeNextChange(ctx); err != nil {
		return Step{}, err
	}
	leader, err := g.leader(ctx)
	if err != nil {
		return Step{}, err
	}
	followers := slices.DeleteFunc(g.running(), func(m *member) bool { return m == leader })
	stopped := followers[0]
	g.remove(stopped)
	if err := stopped.stop(); err != nil {
		return Step{}, err
	}
	missed := max(1, int(offline.Seconds()*float64(g.plan.Rate)))
	for range missed {
		if err := g.proposeNextChange(ctx); err != nil {
			return Step{}, err
		}
	}
	step := Step{Mode: mode, Offline: offline, MissedChanges: missed}
	changesCtx, endChanges := context.WithCancel(ctx)
	changes := make(chan error, 1)
	go func() { changes <- g.makeChanges(changesCtx) }()
	err = g.returnMember(ctx, stopped, &step)
	endChanges()
	return step, errors.Join(err, <-changes)
}

// returnMember starts the stopped member or its replacement and measures how long it takes to catch up.
func (g *testGroup) returnMember(ctx context.Context, stopped *member, step *Step) error {
	self, address := stopped.self, stopped.self.Address
	if step.Mode != Restarted {
		g.lastID++
		if err := stopped.deleteDisk(); err != nil {
			return err
		}
		if step.Mode == Replaced {
			address = "127.0.0.1:0"
		}
	}
	listener, err := peertransport.Listen(ctx, address)
	if err != nil {
		return err
	}
	if step.Mode != Restarted {
		self = consensus.Member{ID: g.lastID, Address: listener.Addr().String()}
	}
	sent := g.traffic.sentTo(self.Address)
	before, began := sent.Load(), time.Now()
	returned, err := startMember(self, nil, memberDirectory(g.plan.Directory, self.ID), listener, g.traffic)
	if err != nil {
		return err
	}
	leader, err := g.leader(ctx)
	g.add(returned)
	if err != nil {
		return err
	}
	if step.Mode != Restarted {
		err = errors.Join(g.changeMembership(ctx, replica.MembershipChange{Remove: stopped.self.ID}), g.changeMembership(ctx, replica.MembershipChange{Add: &self}))
	}
	if err != nil {
		return err
	}
	err = g.pollUntil(ctx, errNotCurrent, func() bool { return returned.applied() > 1 && returned.applied()+1 >= leader.applied() })
	step.CatchUpTime, step.Bytes, step.DiskBytes = time.Since(began), sent.Load()-before, returned.group.Status().DiskBytes
	step.LeaderDiskBytes = leader.group.Status().DiskBytes
	if err != nil {
		return err
	}
	if step.Mode == Restarted {
		step.TimeToVoter = step.CatchUpTime
		return nil
	}
	self.Voter = true
	err = g.changeMembership(ctx, replica.MembershipChange{Add: &self})
	step.TimeToVoter = time.Since(began)
	return err
}

// changeMembership changes the members of the group. It tries again while the group rejects the change, up to the plan's limit.
func (g *testGroup) changeMembership(ctx context.Context, change replica.MembershipChange) error {
	limit := time.Now().Add(g.plan.Limit)
	for {
		leader, err := g.leader(ctx)
		if err != nil {
			return err
		}
		err = leader.group.ChangeMembers(ctx, change)
		if err == nil || ctx.Err() != nil || time.Now().After(limit) {
			return err
		}
		if err := g.pollUntil(ctx, nil, afterPause()); err != nil {
			return err
		}
	}
}

// afterPause returns a condition that becomes true after 10 poll intervals.
func afterPause() func() bool {
	later := time.Now().Add(10 * pollInterval)
	return func() bool { return time.Now().After(later) }
}
