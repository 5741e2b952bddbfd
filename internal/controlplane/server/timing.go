package server

import "time"

// Times of the replica groups.
const (
	groupHeartbeatInterval = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
)

// Times of calls. A caller moves on after a second of silence, later for large bodies.
const (
	smallCallTimeout   = 850 * time.Millisecond
	largeCallTimeout   = 2500 * time.Millisecond
	largeBodyBytes     = 64 << 10
	ownerRetryInterval = 50 * time.Millisecond
)

// Bounds of the HTTP API.
const (
	maxBodyBytes         = 8 << 20
	maxHeartbeatBytes    = 64 << 10
	maxRetainedBodyBytes = 64 << 10 // a larger body's memory is not kept for the next call
	maxHeaderBytes       = 16 << 10
	readTimeout          = 10 * time.Second
	idleTimeout          = 60 * time.Second
)

// Times of what a keeper does by itself.
const (
	maintenanceInterval       = 500 * time.Millisecond // expiry, membership, spread
	nodeHeartbeatInterval     = 1200 * time.Millisecond
	livenessReportInterval    = 400 * time.Millisecond  // a good deal shorter than the span after which an instance is gone
	demandReportInterval      = 250 * time.Millisecond  // between two reports of demand to the owner of a shard
	demandReportMaxAge        = 1600 * time.Millisecond // of a report of demand
	rolePlanInterval          = 250 * time.Millisecond  // between two looks at the stages of workers
	roleLogInterval           = 5 * time.Second         // between two lines on a service whose stages do not change
	leaseSafetyMargin         = 500 * time.Millisecond  // beyond the lease, before a new owner gives orders
	workerCommandTimeout      = 500 * time.Millisecond  // of one order to a worker
	assignmentTimeout         = time.Second             // of recording which stages workers are to have
	joinInterval              = 300 * time.Millisecond
	joinIdleInterval          = time.Second
	maxEagerJoinRequests      = 40                     // so many go out at joinInterval, the further ones at joinIdleInterval
	currentMaxAge             = 800 * time.Millisecond // a replica confirmed longer ago is not current
	contactLostAfter          = 1500 * time.Millisecond
	membershipChangeTimeout   = 2 * time.Second        // of one change of members
	joinRequestMaxAge         = 2 * time.Second        // a candidate asks every joinInterval
	voterTimeout              = 2 * time.Second        // a voter that is silent so long gives way to a candidate
	missedHeartbeatsAge       = 300 * time.Millisecond // a voter that is silent for longer has missed two heartbeats
	stableAfter               = time.Second            // for how long a learner must have been ready before a group grows by it
	readinessGap              = time.Second            // a learner that was not seen ready for longer begins anew
	newLeaderGracePeriod      = time.Second            // see silence
	learnerTimeout            = 10 * time.Second       // a learner that is silent so long and does not ask goes
	preferredOwnerStableFor   = 5 * time.Second        // how long a better owner must be current
	minLeaderTransferInterval = 2 * time.Second        // least time between two moves
	leaderTransferTimeout     = time.Second
	leaderDiscoveryTimeout    = 300 * time.Millisecond
	vacancyFillTimeout        = 500 * time.Millisecond
	releasePollInterval       = 10 * time.Millisecond
	leavingNoticeMaxAge       = 3 * time.Second  // a member that said so longer ago and still votes has come back
	successorMaxUptime        = 60 * time.Second // of a process that was started to take a leaving voter's place
	apiShutdownTimeout        = 300 * time.Millisecond
	openRetryInterval         = 500 * time.Millisecond
	minSpareLearners          = 2  // learners that a group keeps beyond its voters; more if it bears more losses
	maxConcurrentProposals    = 16 // of one round of expiry or of nodes
	feedBacklogBytes          = 2 << 20
	memoryLimitPercent        = 75 // of the machine's memory
	gcPercent                 = 50 // growth of the heap between two collections; memory is priced at its peak
)
