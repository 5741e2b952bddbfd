package history

import (
	"fmt"
	"time"
)

// History is the recorded behavior of one run. All times are relative to the start of the run, and each slice is sorted by time.
type History struct {
	Bounds        Bounds
	Tolerance     int // number of machines that may be lost at the same time
	TargetVoters  int // target number of voters per group, at most the number of machines
	Agents        int
	End           time.Duration
	Operations    []Operation
	Views         []View
	Heartbeats    []Heartbeat
	Departures    []Departure
	Presences     []Presence
	Faults        []Fault
	GroupStates   []GroupState
	Silences      []Silence
	RoleCommands  []RoleCommand
	Exemptions    []Exemption   // of role commands
	PresenceUntil time.Duration // time up to which Presences are complete; 0 means End
}

// Bounds are the time limits that the control plane guarantees.
type Bounds struct {
	Contact      time.Duration // setting contactMs
	ConfigApply  time.Duration // setting configApplyMs
	Drain        time.Duration // setting drainMs
	Registration time.Duration // from the acknowledgement of a registration until every agent in contact shows the worker
	Lease        time.Duration // setting leaseMs
	ServeAgain   time.Duration // from a disruption until the first order or read is answered
}

// Kind is the type of an operation.
type Kind string

// Kinds of operations.
const (
	Replace Kind = "replace"
	Update  Kind = "update"
	Read    Kind = "read"
)

// Outcome is the result of an operation as the caller saw it.
type Outcome string

// Outcomes of operations.
const (
	Acknowledged Outcome = "acknowledged" // 200
	Rejected     Outcome = "refused"      // a 4xx status that ends the operator's call
	Unknown      Outcome = "unknown"      // any other result: the order may take effect later, at most once
)

// Operation is one call by an operator: one attempt to send an order, or a read. An order is a configuration change, which may
// be sent in several attempts.
type Operation struct {
	Client     int
	Server     int    // slot of the server that was called
	Machine    string // machine in that slot at the time of the call
	Call       time.Duration
	Return     time.Duration // not meaningful if Outcome is Unknown
	Kind       Kind
	Base       uint64 // generation that the order builds on
	Generation uint64 // generation that the order creates, or that was read
	Order      string // identifies kind, base and body: two attempts have the same name only if all three are equal; for a read, the order that created the generation that was read
	Invalid    bool   // the content of the order is invalid regardless of the current configuration
	Outcome    Outcome
	Status     int
}

// String describes the operation for the text of a violation.
func (o Operation) String() string {
	return fmt.Sprintf("%s %q %d on %d by client %d at server %d from %v to %v: %s (%d)", o.Kind, o.Order, o.Generation, o.Base, o.Client, o.Server, o.Call, o.Return, o.Outcome, o.Status)
}

// View is a configuration that the proxy of an agent applied.
type View struct {
	Agent       int
	Incarnation int // counts the starts of the agent
	At          time.Duration
	Generation  uint64
	Order       string
}

// Heartbeat is an acknowledged heartbeat from a worker.
type Heartbeat struct {
	Instance string
	Call     time.Duration // time at which the acknowledged call was made
	At       time.Duration // time of the acknowledgement
	Machine  string        // machine that acknowledged it
	Draining bool
}

// Departure is the end of a worker, announced or by a crash.
type Departure struct {
	Instance     string
	From         time.Duration // time of the first call that announces it, or of the crash; views may omit the worker from then on
	Acknowledged time.Duration // 0 if never
}

// Silence is a time in which a worker is paused or cut off, so that its heartbeats stop and it may expire.
type Silence struct {
	Instance string
	From, To time.Duration // To is 0 while it lasts
}

// State is the state of a worker in a view.
type State string

// States of a worker.
const (
	Absent   State = "absent"
	Ready    State = "ready"
	Draining State = "draining"
)

// Presence is a change in the state of a worker in an agent's view.
type Presence struct {
	Agent       int
	Incarnation int
	At          time.Duration
	Instance    string
	State       State
}

// Fault is a fault injected into the core (the control plane servers) or into agents.
type Fault struct {
	Description string
	From        time.Duration
	To          time.Duration
	Core        bool  // the core is unstable for Bounds.Contact after From and after To
	Lasting     bool  // the core is also unstable between From and To
	Agents      []int // agents out of contact from From until Bounds.Contact after To
	Lost        []int // slots of the core that count as lost between From and Until
	Until       time.Duration

	Isolated []string      // machines partitioned from the other servers between From and To
	Lease    time.Duration // time after From for which the isolated machines may still know that they are current

	Stalled  []string      // machines whose goroutines pause between reading the clock and acting on it
	MaxStall time.Duration // longest single pause
}

// GroupState is the membership of a group and the durable log index of each voter. It holds until the next GroupState of the group.
type GroupState struct {
	At        time.Duration
	Group     int
	Committed uint64 // highest log index whose effect was reported to any caller
	Voters    []Voter
}

// Voter is a voting member of a group.
type Voter struct {
	ID      uint64
	Slot    int
	Lost    bool   // its disk was lost or its machine was replaced
	Durable uint64 // highest log index that is durable on its disk
}

// String returns the voter's ID, slot and highest durable index.
func (v Voter) String() string {
	lost := ""
	if v.Lost {
		lost = ", lost"
	}
	return fmt.Sprintf("%x at slot %d, durable to %d%s", v.ID, v.Slot, v.Durable, lost)
}

// Violation is a violated guarantee.
type Violation struct {
	Check string
	At    time.Duration
	Text  string
}

// String returns the violation on one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Check, v.At, v.Text) }

// Names of the checks.
const (
	CheckOrders         = "orders"        // no order is both accepted and rejected; no invalid order is accepted
	CheckOneBody        = "one-body"      // each generation has exactly one content
	CheckLinearizable   = "linearizable"  // some sequential execution of orders and reads explains all answers
	CheckFreshViews     = "fresh-views"   // an agent in contact shows every change within ConfigApply of its acknowledgement
	CheckMonotonicViews = "forward-views" // an agent's generation never decreases within an incarnation
	CheckDepartures     = "departures"    // no acknowledged drain or departure is lost
	CheckRegistration   = "registrations" // an agent in contact shows every worker whose heartbeat was acknowledged
	CheckServeAgain     = "serve-again"   // some operation is answered within ServeAgain of each disruption
	CheckMajority       = "majority"      // a majority survives any further loss within the tolerance
	CheckOneOwner       = "one-owner"     // role commands that reach a worker show one owner at a time
	CheckIsolated       = "isolated"      // servers isolated from a majority acknowledge nothing
)

// Check runs every check and returns the first violation that each one found.
func (h History) Check() []Violation {
	checks := []func(History) []Violation{checkOrders, checkOneBody, checkLinearizable, checkFreshViews, checkMonotonicViews, checkDepartures,
		checkRegistrations, checkServeAgain, checkMajority, checkIsolated, checkOneOwner}
	var found []Violation
	for _, check := range checks {
		if violations := check(h); len(violations) > 0 {
			found = append(found, violations[0])
		}
	}
	return found
}
