package schedule

import "time"

// Time limits that generated schedules respect, as the deployment documents state them.
const (
	CatchUp       = 4 * time.Second // a machine still counts as lost for this time after its return
	TriggerWindow = 2 * time.Second // an event is dropped if its trigger does not occur within this time after At
)

// Schedule is the input of one simulated run. The slots of the initial servers are 0 to Servers-1. The successor of a replaced
// machine takes over its slot at another address.
type Schedule struct {
	Seed      uint64        // random seed of the network, the disks and the scripted callers
	Servers   int           // number of control plane servers at the start
	Tolerance int           // number of servers that may be lost at the same time; groups aim for 2*Tolerance+1 voters
	Agents    int           // number of agents, each of which applies views for its proxy
	Operators int           // number of operators, each of which sends its orders one after the other
	Workers   int           // number of workers that register
	Length    time.Duration // time from the start to the last event; recovery checks follow

	SnapshotEntries   int // number of log entries after which servers compact their logs; 0 means the production value
	RememberedChanges int // number of accepted changes that servers remember; 0 means the production value

	Routes  int // routes of every complete configuration in addition to those that the operators change
	Changes int // small changes that the first operator makes right after the first configuration, one after the other

	RoleCommands bool // workers have roles and take role commands

	Omit   []string // names of guards (safety checks in the code under test) that are disabled
	Events []Event  // sorted by At
}

// Event is one fault or action. Kind determines which fields apply.
type Event struct {
	At        time.Duration // time since the start; with a trigger, the earliest time
	Trigger   Trigger       // trigger that the event waits for; empty means none
	Delay     time.Duration // time between the trigger and the event
	Kind      Kind
	Variant   Variant
	Servers   []int         // slots of the affected servers
	Agents    []int         // affected agents, or those on the servers' side of a partition
	Operators []int         // affected operators
	Workers   []int         // affected workers
	Duration  time.Duration // duration of the event, or downtime until a restart
	Count     int           // number of orders; for Quota, the CPU share in percent
	Leader    bool          // the leader of the configuration group replaces the first entry of Servers
	Restart   bool          // for a partition: processes on the isolated side are killed and restarted during it, with the isolated servers as their seeds
}

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	Kill           Kind = "kill"         // processes of Servers are killed and restart after Duration; disks are kept
	Power          Kind = "power"        // Servers lose power and return after Duration; writes that were not synced may be lost or torn
	Wipe           Kind = "wipe"         // Servers lose their disks and start empty at the same address after Duration
	Freeze         Kind = "freeze"       // Servers, Agents or Workers are paused for Duration, then process what has arrived
	Partition      Kind = "cut"          // Servers, together with Agents, are partitioned from the rest for Duration
	Replace        Kind = "replace"      // Servers stop; empty machines at other addresses take over their slots after Duration
	Disk           Kind = "disk"         // disks of Servers are faulty for Duration
	Link           Kind = "link"         // links of Servers, Agents or Workers are faulty for Duration
	KillAll        Kind = "kill-all"     // processes of all servers are killed at once and restart after Duration; disks are kept except those of Servers
	PowerAll       Kind = "power-all"    // all servers lose power at once and return after Duration; Servers also lose their disks
	RestartAll     Kind = "restart-all"  // all servers receive SIGTERM at once and restart after Duration
	RollingRestart Kind = "roll"         // Servers receive SIGTERM one after the other at intervals of Duration, and restart
	LoseReplies    Kind = "lose-replies" // answers to Operators are lost for Duration
	Race           Kind = "race"         // Operators send orders concurrently on the same base
	Burst          Kind = "storm"        // Operators send Count changes, each based on the one before, without a pause
	InvalidConfig  Kind = "bad"          // Operators send a configuration that must be rejected
	Worker         Kind = "worker"       // Workers leave, crash or send late heartbeats
	Quota          Kind = "quota"        // processes of Servers and Agents run for only Count of every 100 ms, for Duration
	Stall          Kind = "stall"        // goroutines of Servers pause at random between reading the clock and acting on it, for Duration
	Retire         Kind = "retire"       // empty machines at other addresses start beside Servers; CatchUp later Servers receive SIGTERM for good, at intervals of Duration; Agents are cut off meanwhile
	WipeTwice      Kind = "rewipe"       // Servers lose their disks, and lose them again soon after their return over slow links; Duration apart
)

// Variant distinguishes events of the same Kind.
type Variant string

// Variants of Partition. Each partitions Servers from the other servers, and all but the first also affect agents. The given Operators
// and Workers reach only Servers during the partition.
const (
	PartitionServers  Variant = "keepers"  // only from the other servers; every agent, operator and worker still reaches them
	PartitionSide     Variant = "side"     // from all agents but the given Agents, and from operators and workers as the deployment guide allows: they may reach either side
	PartitionInbound  Variant = "inward"   // messages to Servers are lost; messages from Servers arrive
	PartitionOutbound Variant = "outward"  // messages from Servers are lost; messages to Servers arrive
	PartitionAll      Variant = "isolated" // from everything else
)

// Variants of Replace.
const (
	Planned   Variant = "planned"   // the old machine receives SIGTERM after the new one has started
	Unplanned Variant = "unplanned" // the old machine fails without notice before the new one starts
)

// Variants of Disk.
const (
	DiskHang Variant = "hang" // writes and syncs block until the fault ends
	DiskSlow Variant = "slow" // writes and syncs take 100 times as long
	DiskFull Variant = "full" // every write fails
)

// Variants of Link.
const (
	LinkReset Variant = "reset" // every connection is reset once
	LinkHold  Variant = "hold"  // data in flight and new connections are delayed until Duration has passed
	LinkSlow  Variant = "slow"  // delays of hundreds of milliseconds; datagrams are lost, duplicated and reordered
)

// Variants of Race.
const (
	RaceBodies Variant = "bodies" // same generation with a different body from each operator
	RaceSame   Variant = "same"   // same body from each operator, each at another server
	RaceRepeat Variant = "repeat" // an operator sends its order again to another server while the first attempt is in flight
	RaceOld    Variant = "old"    // an accepted body is sent again after newer ones were accepted
	RaceAhead  Variant = "ahead"  // an order based on one that is still in flight, sent twice
	RaceBase   Variant = "base"   // an accepted body is sent with an older base
)

// Variants of InvalidConfig.
const (
	InvalidBytes      Variant = "bytes"      // truncated or malformed body
	InvalidService    Variant = "service"    // a route names an unknown service
	InvalidRoutes     Variant = "routes"     // two routes have the same host and prefix
	InvalidWeights    Variant = "weights"    // a route's weights sum to 0
	InvalidTimeout    Variant = "timeout"    // a route has a timeoutMs of 0
	InvalidGeneration Variant = "generation" // the generation is not above the current one
)

// Variants of Worker.
const (
	WorkerDrain           Variant = "drain"            // reports draining, then deregisters; a new incarnation starts after Duration
	WorkerDeregister      Variant = "deregister"       // deregisters without draining and stops
	WorkerDeregisterFirst Variant = "deregister-first" // deregisters, continues to serve, then stops
	WorkerCrash           Variant = "crash"            // stops without notice; a new incarnation starts at the same address after Duration
	WorkerLate            Variant = "late"             // its heartbeats are delayed by Duration
)

// Trigger is a condition that an event waits for.
type Trigger string

// Triggers of events.
const (
	Acknowledgement Trigger = "acknowledgement" // an operator's order is acknowledged
	Sent            Trigger = "sent"            // an operator's order is sent
	Election        Trigger = "election"        // a server becomes leader of the configuration group
	Drain           Trigger = "drain"           // a worker's drain or departure is acknowledged
	Candidacy       Trigger = "candidacy"       // a server becomes a candidate in the configuration group
	Sync            Trigger = "sync"            // one of the event's Servers begins a disk sync
	RoleCommand     Trigger = "role-command"    // a server writes a role command; Leader stands for its sender
)

// variants lists the variants of each kind. Kinds without an entry have none.
var variants = map[Kind][]Variant{
	Partition:     {PartitionServers, PartitionSide, PartitionInbound, PartitionOutbound, PartitionAll},
	Replace:       {Planned, Unplanned},
	Disk:          {DiskHang, DiskSlow, DiskFull},
	Link:          {LinkReset, LinkHold, LinkSlow},
	Race:          {RaceBodies, RaceSame, RaceRepeat, RaceOld, RaceAhead, RaceBase},
	InvalidConfig: {InvalidBytes, InvalidService, InvalidRoutes, InvalidWeights, InvalidTimeout, InvalidGeneration},
	Worker:        {WorkerDrain, WorkerDeregister, WorkerDeregisterFirst, WorkerCrash, WorkerLate},
}

var kinds = []Kind{Kill, Power, Wipe, Freeze, Partition, Replace, Disk, Link, KillAll, PowerAll, RestartAll, RollingRestart, LoseReplies, Race, Burst, InvalidConfig, Worker, Quota, Stall, Retire, WipeTwice}

var triggers = []Trigger{Acknowledgement, Sent, Election, Drain, Candidacy, Sync, RoleCommand}

// End returns the latest time at which the event can end, not including CatchUp.
func (e Event) End() time.Duration {
	end := e.At + e.Delay + e.Duration
	if e.Trigger != "" {
		end += TriggerWindow
	}
	if e.Kind == WipeTwice {
		end += e.Duration + CatchUp/2
	}
	if e.Kind == Retire {
		end += CatchUp
	}
	if (e.Kind == RollingRestart || e.Kind == Retire) && len(e.Servers) > 1 {
		end += e.Duration * time.Duration(len(e.Servers)-1)
	}
	return end
}

// End returns the time at which all events have ended, at least Length.
func (s Schedule) End() time.Duration {
	end := s.Length
	for _, event := range s.Events {
		end = max(end, event.End())
	}
	return end
}
