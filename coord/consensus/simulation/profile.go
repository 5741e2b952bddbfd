package simulation

import (
	"math/rand/v2"
	"time"
)

// profile is what a schedule is like.
type profile struct {
	lossRate, duplicateRate, lateRate float64       // of messages
	maxDelay                          time.Duration // the most that a message usually takes
	maxSync                           time.Duration // the most that a sync usually takes
	batchRate                         float64       // how often a Take waits for more
	clientPause                       time.Duration // mean pause between two calls of the client
	faultPause                        time.Duration // mean pause between two faults
	powerLossAtAckRate                float64       // how often the power goes after an acknowledgement
	powerLossAtElectionRate           float64       // how often a new leader's power goes soon
	electionTimeout                   time.Duration // election timeout
	compactionInterval                int           // entries between two snapshots
	trailingEntries                   int
	maxInflight                       int
	maxAppendBytes                    int
	removeFirst                       bool // a lost member is removed before its successor votes
	faultWeights                      [faultCount]int
}

// fault is something that strikes in a schedule.
type fault func(*cluster)

// faultCount is how many faults there are.
const faultCount = 15

// Places of the faults that strike all machines, and are rare.
const (
	faultKillAllProcesses    = 5
	faultLoseAllPower        = 6
	faultStopAllDuringChange = 14
)

// scenarioFaults are the places of the faults that play a whole course of events. In a third of the schedules one of
// them prevails.
var scenarioFaults = []int{12, 13}

// scenarioWeight is the weight of a course that prevails.
const scenarioWeight = 40

// faults are all that may strike.
var faults = [faultCount]fault{
	(*cluster).isolateHost, (*cluster).partitionOneWay, (*cluster).freezeProcess, (*cluster).killProcess, (*cluster).losePower,
	(*cluster).killAllProcesses, (*cluster).loseAllPower, (*cluster).loseDisk, (*cluster).stallDisk, (*cluster).transferLeadership,
	(*cluster).removeVoter, (*cluster).isolateLeaderButOne, (*cluster).loseCurrentTermEntries, (*cluster).startCompetingChanges, (*cluster).stopAllDuringChange,
}

func drawProfile(random *rand.Rand) profile {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	millis := func(values ...float64) time.Duration {
		return time.Duration(pick(values...) * float64(time.Millisecond))
	}
	drawn := profile{
		lossRate:                pick(0, 0, 0.02, 0.1, 0.3),
		duplicateRate:           pick(0, 0.05, 0.2),
		lateRate:                pick(0, 0.01, 0.1),
		maxDelay:                millis(2, 10, 40),
		maxSync:                 millis(1, 10, 60),
		batchRate:               pick(0, 0.3, 0.8),
		clientPause:             millis(8, 20, 80),
		faultPause:              millis(100, 300, 800),
		powerLossAtAckRate:      pick(0, 0, 0.002, 0.02),
		powerLossAtElectionRate: pick(0, 0, 0.1, 0.5),
		electionTimeout:         millis(100, 200, 400),
		compactionInterval:      int(pick(3, 10, 50)),
		trailingEntries:         int(pick(-1, 4, 0)),
		maxInflight:             int(pick(1, 4, 64)),
		maxAppendBytes:          int(pick(1, 100, 4096)),
		removeFirst:             random.IntN(2) == 0,
	}
	drawn.electionTimeout = max(drawn.electionTimeout, 4*drawn.maxDelay+2*drawn.maxSync)
	for at := range drawn.faultWeights {
		drawn.faultWeights[at] = int(pick(0, 2, 6))
	}
	if random.IntN(3) == 0 {
		drawn.faultWeights[scenarioFaults[random.IntN(len(scenarioFaults))]] = scenarioWeight
	}
	for _, rare := range []int{faultKillAllProcesses, faultLoseAllPower, faultStopAllDuringChange} {
		drawn.faultWeights[rare] = int(pick(0, 0, 1))
	}
	return drawn
}
