package server

import "time"

// Timing of the replica groups.
const (
	groupHeartbeatInterval = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
)

// Timing of calls. Callers retry at another server after one second without an answer, or later for large bodies.
const (
	smallCallTimeout   = 850 * time.Millisecond
	largeCallTimeout   = 2500 * time.Millisecond
	largeBodyBytes     = 64 << 10
	ownerRetryInterval = 50 * time.Millisecond
)

// Limits of the HTTP API.
const (
	maxBodyBytes         = 8 << 20
	maxHeartbeatBytes    = 64 << 10
	maxRetainedBodyBytes = 64 << 10 // a larger body's buffer is not reused for the next call
	maxHeaderBytes       = 16 << 10
	readTimeout          = 10 * time.Second
	idleTimeout          = 60 * time.Second
)

// Freshness of replicas, and maintenance.
const (
	maintenanceInterval = 500 * time.Millisecond  // of instance expiry, membership changes and leadership balance
	currentMaxAge       = 800 * time.Millisecond  // a replica is current if its last contact with a majority is no older
	contactLostAfter    = 1500 * time.Millisecond // without contact with a majority: log it, ask to join, and ask other servers for the owner
	proposalTimeout     = 2 * time.Second         // of one membership change, expiry round or ownership barrier
	openRetryInterval   = 500 * time.Millisecond  // while the disk cannot be used at startup
)

// Reports to the owners of shards.
const (
	nodeHeartbeatInterval  = 1200 * time.Millisecond // for the connected edge nodes
	livenessReportInterval = 400 * time.Millisecond  // must be well below the timeout of instances
	demandReportInterval   = 250 * time.Millisecond  // between demand reports to the owner of a shard
	demandReportMaxAge     = 1600 * time.Millisecond // older demand reports are ignored
)

// Planning of workers' roles.
const (
	rolePlanInterval  = 250 * time.Millisecond // between planning steps
	roleLogInterval   = 5 * time.Second        // between log messages about a service whose plan has not changed
	leaseSafetyMargin = 500 * time.Millisecond // that a new owner waits after the end of the lease before it sends commands
	workerCallTimeout = 500 * time.Millisecond // of a poll, and of what precedes a command on its connection
	assignmentTimeout = time.Second            // for recording assignments

	commandDeliveryTimeout = 500 * time.Millisecond // from the write of a command to its delivery to the worker's machine, or its loss; also for the answer
	commandDeliveryMargin  = 200 * time.Millisecond // for delays of links and clocks
	clearancePollInterval  = time.Second            // between polls of a worker that has not answered the new owner yet
)

// Joining and group membership.
const (
	joinInterval         = 300 * time.Millisecond // between the first join requests; also the timeout of calls to one server about joining or membership
	joinIdleInterval     = time.Second            // between later join requests, and between checks while there is nothing to join
	firstContactTimeout  = 500 * time.Millisecond // without contact with a majority after startup, before a server asks to join
	maxEagerJoinRequests = 40                     // requests sent every joinInterval; later ones every joinIdleInterval
	joinRequestMaxAge    = 2 * time.Second        // older join requests are dropped
	voterTimeout         = 2 * time.Second        // a voter that is unresponsive for this long is replaced
	missedHeartbeatsAge  = 300 * time.Millisecond // a voter that is unresponsive for this long has missed two heartbeats
	stableAfter          = time.Second            // how long a learner must have been promotable before a group grows to an even number of voters with it
	readinessGap         = time.Second            // a longer interruption resets the time for which a learner has been promotable
	newLeaderGracePeriod = time.Second            // see timeSinceHeard
	learnerTimeout       = 10 * time.Second       // a learner without a join request that is unresponsive for this long is removed
	vacancyFillTimeout   = 500 * time.Millisecond // for a learner to become promotable after a membership change
	minSpareLearners     = 2                      // learners in addition to the vacancies; more if the settings tolerate more losses
)

// Leadership transfers and graceful shutdown.
const (
	preferredOwnerStableFor   = 5 * time.Second        // how long the preferred owner must have been able to lead
	minLeaderTransferInterval = 2 * time.Second        // between transfers to preferred owners
	leaderTransferTimeout     = time.Second            // of one transfer
	handOverTimeout           = time.Second            // of handing over the leaderships and votes at shutdown, if a majority of the voters stays
	leavingNoticeInterval     = time.Second            // between announcements of a shutdown; must be below leavingNoticeMaxAge
	releasePollInterval       = 10 * time.Millisecond  // between checks of a group while a vote is released or a vacancy is filled
	leavingNoticeMaxAge       = 3 * time.Second        // a member that announced its shutdown longer ago and is still a voter has returned
	successorMaxUptime        = 60 * time.Second       // a learner that has run for longer was not started to replace a leaving voter
	serverStartTime           = 500 * time.Millisecond // from the start of a machine's process to that of its server
	apiShutdownTimeout        = 300 * time.Millisecond // for API calls in progress
)

// Limits of concurrency and memory.
const (
	unlimitedProposals     = -1      // no limit, see errgroup.Group.SetLimit
	maxConcurrentProposals = 16      // in one expiry round or one batch of node heartbeats
	feedBacklogBytes       = 2 << 20 // of changes buffered per shard for the feed
	memoryLimitPercent     = 75      // of the machine's memory, as the garbage collector's memory limit
	gcPercent              = 50      // heap growth between collections; low because peak memory matters
)
