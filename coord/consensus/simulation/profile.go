package simulation

import (
	"math/rand/v2"
	"time"
)

// profile holds the random parameters of one schedule: how fast the hosts, disks and network are, how the
// core is configured and how often each fault occurs.
type profile struct {
	// The network.
	lossRate, duplicateRate, extraDelayRate float64       // fractions of the messages
	maxDelay                                time.Duration // of a message without an extra delay

	// The hosts.
	maxSyncTime    time.Duration // of a disk that is not stalled
	readyBatchRate float64       // probability that a call of Ready waits for further events

	// The core.
	electionTimeout    time.Duration
	compactionInterval int // entries applied between two compactions
	trailingEntries    int
	maxInflight        int
	maxAppendBytes     int

	// The client and the operator.
	clientInterval        time.Duration // mean, between two calls of the client
	removeBeforePromotion bool          // the former member of a host is removed before its successor becomes a voter

	// The faults.
	faultInterval           time.Duration // mean, between two faults
	faultWeights            [faultKindCount]int
	powerLossAtAckRate      float64 // probability that all hosts lose power when a command is acknowledged
	powerLossAtElectionRate float64 // probability that a new leader soon loses power
}

// faultKind identifies a fault. The order of the kinds determines the schedules that a seed produces.
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
	faultIsolateLeaderExceptOnePeer
	faultLoseCurrentTermEntries
	faultCompetingChanges
	faultStopAllDuringChange
	faultKindCount
)

// faults contains the function that injects each fault.
var faults = [faultKindCount]func(*cluster){
	faultIsolateHost:                (*cluster).isolateHost,
	faultPartitionOneWay:            (*cluster).partitionOneWay,
	faultFreezeProcess:              (*cluster).freezeProcess,
	faultKillProcess:                (*cluster).killProcess,
	faultLosePower:                  (*cluster).losePower,
	faultKillAllProcesses:           (*cluster).killAllProcesses,
	faultLoseAllPower:               (*cluster).loseAllPower,
	faultLoseDisk:                   (*cluster).loseDisk,
	faultStallDisk:                  (*cluster).stallDisk,
	faultTransferLeadership:         (*cluster).transferLeadership,
	faultRemoveVoter:                (*cluster).removeVoter,
	faultIsolateLeaderExceptOnePeer: (*cluster).isolateLeaderExceptOnePeer,
	faultLoseCurrentTermEntries:     (*cluster).loseCurrentTermEntries,
	faultCompetingChanges:           (*cluster).startCompetingChanges,
	faultStopAllDuringChange:        (*cluster).stopAllDuringChange,
}

// scenarioFaults are the faults that consist of a whole scenario. In a third of the schedules one of them has
// the weight scenarioWeight.
var scenarioFaults = []faultKind{faultLoseCurrentTermEntries, faultCompetingChanges}

const scenarioWeight = 40

// rareFaults are the faults that stop all hosts. They get a low weight.
var rareFaults = []faultKind{faultKillAllProcesses, faultLoseAllPower, faultStopAllDuringChange}

// drawProfile draws a schedule's profile. Values that are listed twice are twice as likely.
func drawProfile(random *rand.Rand) profile {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	millis := func(values ...float64) time.Duration {
		return time.Duration(pick(values...) * float64(time.Millisecond))
	}
	result := profile{
		lossRate:                pick(0, 0, 0.02, 0.1, 0.3),
		duplicateRate:           pick(0, 0.05, 0.2),
		extraDelayRate:          pick(0, 0.01, 0.1),
		maxDelay:                millis(2, 10, 40),
		maxSyncTime:             millis(1, 10, 60),
		readyBatchRate:          pick(0, 0.3, 0.8),
		clientInterval:          millis(8, 20, 80),
		faultInterval:           millis(100, 300, 800),
		powerLossAtAckRate:      pick(0, 0, 0.002, 0.02),
		powerLossAtElectionRate: pick(0, 0, 0.1, 0.5),
		electionTimeout:         millis(100, 200, 400),
		compactionInterval:      int(pick(3, 10, 50)),
		trailingEntries:         int(pick(-1, 4, 0)),
		maxInflight:             int(pick(1, 4, 64)),
		maxAppendBytes:          int(pick(1, 100, 4096)),
		removeBeforePromotion:   random.IntN(2) == 0,
	}
	result.electionTimeout = max(result.electionTimeout, 4*result.maxDelay+2*result.maxSyncTime)
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
