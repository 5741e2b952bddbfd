package schedule

import "time"

// Bounds that schedules are drawn for, as the deployment's pages state them.
const (
	CatchUp       = 4 * time.Second // a machine counts as lost for so long after it is back
	TriggerWindow = 2 * time.Second // an event whose trigger doesn't come within this time after At is dropped
)

// Schedule is everything that one simulated run is given. The first keepers' places are 0 to Keepers-1; a replaced
// machine's successor takes over its place at another address.
type Schedule struct {
	Seed      uint64        // of the network, the disks and all that is scripted
	Servers   int           // machines of the core at the start
	Tolerance int           // machines that may be lost at once; 2*Tolerance+1 voters are wanted
	Agents    int           // agents, each with the views that its proxy takes
	Operators int           // operators that send orders, each one after the other
	Workers   int           // workers that register
	Length    time.Duration // from the start to the last event; checks of recovery follow
	Omit      []string      // names of guards that are left out
	Events    []Event       // ordered by At
}

// Event is one thing that happens. Which fields count depends on Kind.
type Event struct {
	At        time.Duration // since the start; with a trigger: the earliest time
	On        Trigger       // what the event waits for, empty: nothing
	Delay     time.Duration // between the trigger and the event
	Kind      Kind
	Variant   Variant
	Servers   []int         // places that are struck
	Agents    []int         // agents that are struck, or that share the keepers' side of a cut
	Operators []int         // operators that are concerned
	Workers   []int         // workers that are concerned
	For       time.Duration // how long it lasts, or until what was stopped is started again
	Count     int           // number of orders
	Restart   bool          // of a cut: processes on the cut side are killed and started amid it, their seeds are the cut keepers
}

// Kind is what happens.
type Kind string

// Kinds of events.
const (
	Kill        Kind = "kill"         // Keepers' processes die and start again after For; disks stay
	Power       Kind = "power"        // Keepers lose power: writes that were not synced may be lost or torn; back after For
	Wipe        Kind = "wipe"         // Keepers lose their disks and start empty at the old address after For
	Freeze      Kind = "freeze"       // Keepers or Agents stand still for For, then take up what has arrived
	Cut         Kind = "cut"          // Keepers, and Agents along with them, are cut off for For
	Replace     Kind = "replace"      // Keepers end and empty machines at other addresses take their places after For
	Disk        Kind = "disk"         // the disks of Keepers are in trouble for For
	Link        Kind = "link"         // the links of Keepers or Agents are in trouble for For
	KillAll     Kind = "kill-all"     // all keepers' processes die at once; back after For, disks stay, but for those of Keepers
	PowerAll    Kind = "power-all"    // all keepers lose power at once; back after For; Keepers lose their disks too
	RestartAll  Kind = "restart-all"  // all keepers get SIGTERM at once; back after For
	Roll        Kind = "roll"         // Keepers get SIGTERM one after the other, For apart, and start again
	LoseReplies Kind = "lose-replies" // answers to Operators are lost for For
	Race        Kind = "race"         // Operators send at once on top of one version
	Burst       Kind = "storm"        // Operators send Count changes one upon the other without a pause
	Bad         Kind = "bad"          // Operators send a configuration that must be refused
	Worker      Kind = "worker"       // Workers leave, crash or are late
)

// Variant says more about a Kind.
type Variant string

// Variants of Cut. All are between Keepers and the other keepers; all but the first also concern agents. Operators and
// Workers that are named reach Keepers alone while it lasts.
const (
	CutServers Variant = "keepers"  // from the other keepers alone: every agent, operator and worker still reaches them
	CutSide    Variant = "side"     // from all but the Agents that are named, and from operators and workers as DEPLOY allows: either side may be reached
	CutInward  Variant = "inward"   // what others send to Keepers is lost; what they send arrives
	CutOutward Variant = "outward"  // what Keepers send is lost; what others send arrives
	CutAll     Variant = "isolated" // from everybody
)

// Variants of Replace.
const (
	Planned   Variant = "planned"   // the old machine gets SIGTERM when the new one has started
	Unplanned Variant = "unplanned" // the old machine is gone without a word before the new one starts
)

// Variants of Disk.
const (
	DiskHang Variant = "hang" // writes and syncs wait until the trouble is over
	DiskSlow Variant = "slow" // writes and syncs take a hundred times as long
	DiskFull Variant = "full" // every write is refused
)

// Variants of Link.
const (
	LinkReset Variant = "reset" // every connection is reset once
	LinkHold  Variant = "hold"  // what was sent is held up and delivered after For, new connections with it
	LinkSlow  Variant = "slow"  // delays of hundreds of milliseconds, datagrams are lost, repeated and reordered
)

// Variants of Race.
const (
	RaceBodies Variant = "bodies" // one number, a different body from each operator
	RaceSame   Variant = "same"   // the same body by each operator, each at another keeper
	RaceRepeat Variant = "repeat" // an operator sends its order again at another keeper while the first is under way
	RaceOld    Variant = "old"    // an accepted body is sent again after newer ones
)

// Variants of Bad.
const (
	BadBytes      Variant = "bytes"      // cannot be read whole
	BadService    Variant = "service"    // a route names an unknown service
	BadRoutes     Variant = "routes"     // two routes have the same host and prefix
	BadWeights    Variant = "weights"    // a route's weights sum to 0
	BadTimeout    Variant = "timeout"    // a timeoutMs is 0
	BadGeneration Variant = "generation" // the generation is not above the current one
)

// Variants of Worker.
const (
	WorkerDrain           Variant = "drain"            // says draining, then deregisters; a new incarnation follows after For
	WorkerDeregister      Variant = "deregister"       // deregisters without ever draining and ends
	WorkerDeregisterFirst Variant = "deregister-first" // deregisters, serves on, ends
	WorkerCrash           Variant = "crash"            // ends without a word; a new incarnation at the same address after For
	WorkerLate            Variant = "late"             // its heartbeats come For late
)

// Trigger is what an event waits for.
type Trigger string

// Triggers of events.
const (
	Acknowledgement Trigger = "acknowledgement" // an operator's order is acknowledged
	Sent            Trigger = "sent"            // an operator's order is sent
	Election        Trigger = "election"        // a keeper becomes leader of the configuration's group
	Drain           Trigger = "drain"           // a worker's drain or departure is acknowledged
)

// variants lists what each kind may have; the kinds that are missing have none.
var variants = map[Kind][]Variant{
	Cut:     {CutServers, CutSide, CutInward, CutOutward, CutAll},
	Replace: {Planned, Unplanned},
	Disk:    {DiskHang, DiskSlow, DiskFull},
	Link:    {LinkReset, LinkHold, LinkSlow},
	Race:    {RaceBodies, RaceSame, RaceRepeat, RaceOld},
	Bad:     {BadBytes, BadService, BadRoutes, BadWeights, BadTimeout, BadGeneration},
	Worker:  {WorkerDrain, WorkerDeregister, WorkerDeregisterFirst, WorkerCrash, WorkerLate},
}

// kinds lists every kind.
var kinds = []Kind{Kill, Power, Wipe, Freeze, Cut, Replace, Disk, Link, KillAll, PowerAll, RestartAll, Roll, LoseReplies, Race, Burst, Bad, Worker}

// triggers lists every trigger.
var triggers = []Trigger{Acknowledgement, Sent, Election, Drain}

// End is the latest time at which the event is over, without the time to catch up.
func (e Event) End() time.Duration {
	end := e.At + e.Delay + e.For
	if e.On != "" {
		end += TriggerWindow
	}
	if e.Kind == Roll && len(e.Servers) > 1 {
		end += e.For * time.Duration(len(e.Servers)-1)
	}
	return end
}

// End is the time at which every event is over.
func (s Schedule) End() time.Duration {
	end := s.Length
	for _, event := range s.Events {
		end = max(end, event.End())
	}
	return end
}
