package server

import "time"

// Timing of the replica groups.
const (
	groupHeartbeatInterval = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
)

// Timing of calls. Callers retry elsewhere after one second without an answer, later for large bodies.
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

// Timing and limits of the control loops.
const (
	maintenanceInterval       = 500 * time.Millisecond // expiry, membership, leadership balance
	nodeHeartbeatInterval     = 1200 * time.Millisecond
	livenessReportInterval    = 400 * time.Millisecond  // well below the time-out of instances
	demandReportInterval      = 250 * time.Millisecond  // between two demand reports to a shard's owner
	demandReportMaxAge        = 1600 * time.Millisecond // a demand report older than this does not count
	rolePlanInterval          = 250 * time.Millisecond  // between two planning steps
	roleLogInterval           = 5 * time.Second         // between two log lines on a service with an unchanged plan
	leaseSafetyMargin         = 500 * time.Millisecond  // beyond the lease, before a new owner sends commands
	workerCommandTimeout      = 500 * time.Millisecond  // of one command or poll
	assignmentTimeout         = time.Second             // of recording assignments
	joinInterval              = 300 * time.Millisecond
	joinIdleInterval          = time.Second
	maxEagerJoinRequests      = 40                     // sent at joinInterval, later ones at joinIdleInterval
	currentMaxAge             = 800 * time.Millisecond // of the last contact with a majority of a current replica
	contactLostAfter          = 1500 * time.Millisecond
	proposalTimeout           = 2 * time.Second        // of one membership change, round of expiry or ownership barrier
	joinRequestMaxAge         = 2 * time.Second        // a server that wants to join asks every joinInterval
	voterTimeout              = 2 * time.Second        // a voter unresponsive for so long is replaced
	missedHeartbeatsAge       = 300 * time.Millisecond // a voter unresponsive for longer has missed two heartbeats
	stableAfter               = time.Second            // how long a learner must be promotable before a group grows by it
	readinessGap              = time.Second            // a learner not promotable for longer starts over
	newLeaderGracePeriod      = time.Second            // see timeSinceHeard
	learnerTimeout            = 10 * time.Second       // a learner unresponsive for so long, without a join request, is removed
	preferredOwnerStableFor   = 5 * time.Second        // how long the preferred owner must be able to lead
	minLeaderTransferInterval = 2 * time.Second        // between two moves of leadership
	leaderTransferTimeout     = time.Second
	leaderDiscoveryTimeout    = 300 * time.Millisecond
	vacancyFillTimeout        = 500 * time.Millisecond
	releasePollInterval       = 10 * time.Millisecond
	leavingNoticeMaxAge       = 3 * time.Second  // a member that announced its shutdown longer ago and still votes is back
	successorMaxUptime        = 60 * time.Second // of a process that was started to replace a leaving voter
	apiShutdownTimeout        = 300 * time.Millisecond
	openRetryInterval         = 500 * time.Millisecond
	minSpareLearners          = 2  // learners beyond the vacancies; more if more losses are tolerated
	unlimitedProposals        = -1 // no limit, see errgroup.Group.SetLimit
	maxConcurrentProposals    = 16 // of one round of expiry or node heartbeats
	feedBacklogBytes          = 2 << 20
	memoryLimitPercent        = 75 // of the machine's memory
	gcPercent                 = 50 // growth of the heap between two collections; low, since peak memory counts
)
