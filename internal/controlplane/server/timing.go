package server

import "time"

// Times of the replica groups.
const (
	groupHeartbeatInterval = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
)

// Times of calls. A caller moves on after a second of silence, later for large bodies.
const (
	smallCallBudget = 850 * time.Millisecond
	largeCallBudget = 2500 * time.Millisecond
	largeBodyBytes  = 64 << 10
	ownerRetryPause = 50 * time.Millisecond
)

// Bounds of the HTTP API.
const (
	maxBodyBytes   = 8 << 20
	maxBeatBytes   = 64 << 10
	keepBodyBytes  = 64 << 10 // a larger body's memory is not kept for the next call
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
)

// Times of what a keeper does by itself.
const (
	maintainInterval   = 500 * time.Millisecond // expiry, membership, spread
	nodesInterval      = 1200 * time.Millisecond
	presenceInterval   = 400 * time.Millisecond  // a good deal shorter than the span after which an instance is gone
	demandInterval     = 250 * time.Millisecond  // between two reports of demand to the owner of a shard
	demandLife         = 1600 * time.Millisecond // of a report of demand
	stagesInterval     = 250 * time.Millisecond  // between two looks at the stages of workers
	stagesLogged       = 5 * time.Second         // between two lines on a service whose stages do not change
	holderMargin       = 500 * time.Millisecond  // beyond the lease, before a new owner gives orders
	orderBudget        = 500 * time.Millisecond  // of one order to a worker
	assignBudget       = time.Second             // of recording which stages workers are to have
	joinInterval       = 300 * time.Millisecond
	joinIdleInterval   = time.Second
	joinEagerRequests  = 40                     // so many go out at joinInterval, the further ones at joinIdleInterval
	currencyAge        = 800 * time.Millisecond // a replica confirmed longer ago is not current
	lostContactAge     = 1500 * time.Millisecond
	changeBudget       = 2 * time.Second        // of one change of members
	candidateFresh     = 2 * time.Second        // a candidate asks every joinInterval
	goneAfter          = 2 * time.Second        // a voter that is silent so long gives way to a candidate
	answersWithin      = 300 * time.Millisecond // a voter that is silent for longer has missed two heartbeats
	steadyAfter        = time.Second            // for how long a learner must have been ready before a group grows by it
	readyGap           = time.Second            // a learner that was not seen ready for longer begins anew
	newLeaderPatience  = time.Second            // see silence
	lostLearnerAfter   = 10 * time.Second       // a learner that is silent so long and does not ask goes
	spreadCalm         = 5 * time.Second        // how long a better owner must be current
	spreadInterval     = 2 * time.Second        // least time between two moves
	transferBudget     = time.Second
	leaderKnownBudget  = 300 * time.Millisecond
	takePlaceBudget    = 500 * time.Millisecond
	releasePoll        = 10 * time.Millisecond
	leavingFresh       = 3 * time.Second  // a member that said so longer ago and still votes has come back
	successorAge       = 60 * time.Second // of a process that was started to take a leaving voter's place
	shutdownBudget     = 300 * time.Millisecond
	openRetryInterval  = 500 * time.Millisecond
	leastSpares        = 2  // learners that a group keeps beyond its voters; more if it bears more losses
	proposalsAtOnce    = 16 // of one round of expiry or of nodes
	feedBacklogBytes   = 2 << 20
	memoryLimitPercent = 75 // of the machine's memory
	collectorPercent   = 50 // growth of the heap between two collections; memory is priced at its peak
)
