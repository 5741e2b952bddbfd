package simulation

import (
	"math/rand/v2"
	"time"
)

// profile is what one schedule is like: how fast the hosts, disks and network are, how the core is
// configured and how often each fault occurs.
type profile struct {
	// The network.
	lossRate, duplicateRate, delayedRate float64       // parts of the messages
	maxDelay                             time.Duration // of a message that is not delayed further

	// The hosts.
	maxSync   time.Duration // of a disk that does not stall
	batchRate float64       // how often a call of Ready waits for further events

	// The core.
	electionTimeout    time.Duration
	compactionInterval int // entries applied between two snapshots
	trailingEntries    int
	maxInflight        int
	maxAppendBytes     int

	// The client and the operator.
	clientInterval time.Duration // mean, between two calls of the client
	removeFirst    bool          // a lost member is removed before its successor becomes a voter

	// The faults.
	faultInterval           time.Duration // mean, between two faults
	faultWeights            [faultKindCount]int
	powerLossAtAckRate      float64 // how often all power is lost when a command is acknowledged
	powerLossAtElectionRate float64 // how often a new leader soon loses its power
}

// faultKind numbers a fault. The order enters into the schedules that a seed gives.
type faultKind int

// The faults.
const (
	faultIsolateHost faultKind = iota
	faultPartitionOneWay
	faultFreezeProcess
	faultKillProcess
	faultLosePower
	faultKillAllProcesses
	faultLoseAllPower
	faultLoseDisk
	faultStallDisk
	faultTransferLeadership
	faultRemoveVoter
	faultIsolateLeaderButOne
	faultLoseCurrentTermEntries
	faultCompetingChanges
	faultStopAllDuringChange
	faultKindCount
)

// faults are the functions that inject each fault.
var faults = [faultKindCount]func(*cluster){
	faultIsolateHost:            (*cluster).isolateHost,
	faultPartitionOneWay:        (*cluster).partitionOneWay,
	faultFreezeProcess:          (*cluster).freezeProcess,
	faultKillProcess:            (*cluster).killProcess,
	faultLosePower:              (*cluster).losePower,
	faultKillAllProcesses:       (*cluster).killAllProcesses,
	faultLoseAllPower:           (*cluster).loseAllPower,
	faultLoseDisk:               (*cluster).loseDisk,
	faultStallDisk:              (*cluster).stallDisk,
	faultTransferLeadership:     (*cluster).transferLeadership,
	faultRemoveVoter:            (*cluster).removeVoter,
	faultIsolateLeaderButOne:    (*cluster).isolateLeaderButOne,
	faultLoseCurrentTermEntries: (*cluster).loseCurrentTermEntries,
	faultCompetingChanges:       (*cluster).startCompetingChanges,
	faultStopAllDuringChange:    (*cluster).stopAllDuringChange,
}

// scenarioFaults are the faults that play a whole scenario. In a third of the schedules one of them
// has the weight scenarioWeight.
var scenarioFaults = []faultKind{faultLoseCurrentTermEntries, faultCompetingChanges}

const scenarioWeight = 40

// rareFaults are the faults that stop all hosts.
var rareFaults = []faultKind{faultKillAllProcesses, faultLoseAllPower, faultStopAllDuringChange}

// drawProfile draws a schedule's profile.
func drawProfile(random *rand.Rand) profile {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	millis := func(values ...float64) time.Duration {
		return time.Duration(pick(values...) * float64(time.Millisecond))
	}
	result := profile{
		lossRate:                pick(0, 0, 0.02, 0.1, 0.3),
		duplicateRate:           pick(0, 0.05, 0.2),
		delayedRate:             pick(0, 0.01, 0.1),
		maxDelay:                millis(2, 10, 40),
		maxSync:                 millis(1, 10, 60),
		batchRate:               pick(0, 0.3, 0.8),
		clientInterval:          millis(8, 20, 80),
		faultInterval:           millis(100, 300, 800),
		powerLossAtAckRate:      pick(0, 0, 0.002, 0.02),
		powerLossAtElectionRate: pick(0, 0, 0.1, 0.5),
		electionTimeout:         millis(100, 200, 400),
		compactionInterval:      int(pick(3, 10, 50)),
		trailingEntries:         int(pick(-1, 4, 0)),
		maxInflight:             int(pick(1, 4, 64)),
		maxAppendBytes:          int(pick(1, 100, 4096)),
		removeFirst:             random.IntN(2) == 0,
	}
	result.electionTimeout = max(result.electionTimeout, 4*result.maxDelay+2*result.maxSync)
	for kind := range result.faultWeights {
		result.faultWeights[kind] = int(pick(0, 2, 6))
	}
	if random.IntN(3) == 0 {
		result.faultWeights[scenarioFaults[random.IntN(len(scenarioFaults))]] = scenarioWeight
	}
	for _, rare := range rareFaults {
		result.faultWeights[rare] = int(pick(0, 0, 1))
	}
	return result
}
