package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/seglog/seglogtest"
)

const (
	randomSeed        = 20260102
	randomRuns        = 300
	actionsPerRun     = 150
	fullDiskFreeBytes = 200 // bytes, exclusive
	actionChoices     = 12  // the named actions have weight 1, a proposal the rest
	faultOneIn        = 3   // a chosen member becomes faulty one time in this many, and healthy otherwise
)

// attempt is one proposal or read of a random run.
type pendingCall struct {
	command            string // empty: a read
	replica            *testReplica
	acknowledgedBefore int // acknowledged commands at the time of a read
	done               chan outcome
}

// randomFaultRun makes proposals and reads while faults are injected.
type randomFaultRun struct {
	*testCluster
	random       *rand.Rand
	pending      []pendingCall
	acknowledged []string
	rejected     map[string]bool
	failure      error
}

// TestGroup_randomFaults checks that acknowledged commands persist, rejected ones are never applied, and reads observe
// everything that was acknowledged before them.
func TestGroup_randomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(randomSeed)
	parameters.MinSuccessfulTests = randomRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged commands persist", prop.ForAll(
		func(seed uint64) string {
			if err := runRandomFaults(t, seed); err != nil {
				return err.Error()
			}
			return ""
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func runRandomFaults(t *testing.T, seed uint64, omit ...Guard) error {
	run := &randomFaultRun{testCluster: newTestCluster(t, 3), random: seglogtest.NewRandom(seed), rejected: map[string]bool{}}
	run.setOmittedGuards(omit)
	for number := range actionsPerRun {
		run.runRandomAction(number)
		for range run.random.IntN(12) {
			run.step()
			run.collectOutcomes()
		}
	}
	run.heal()
	if run.failure != nil {
		return run.failure
	}
	return run.checkCommands()
}

// Actions of a random run. Any other number is a proposal.
const (
	actionPartition = iota
	actionStall
	actionRestart
	actionFillDisk
	actionFreeDisk
	actionTransfer
	actionRead
)

// injectFault makes one random fault or call at a random member.
func (r *randomFaultRun) runRandomAction(number int) {
	replica := r.replicas[r.random.IntN(len(r.replicas))]
	switch r.random.IntN(actionChoices) {
	case actionPartition:
		replica.partitioned = r.random.IntN(faultOneIn) == 0
	case actionStall:
		replica.stalled = r.random.IntN(faultOneIn) == 0
	case actionRestart:
		r.restart(replica, r.random.IntN(2) == 0, r.random.Uint64())
	case actionFillDisk:
		replica.disk.FreeBytes = int64(r.random.IntN(fullDiskFreeBytes))
	case actionFreeDisk:
		replica.disk.FreeBytes = seglogtest.Unlimited
	case actionTransfer:
		replica.group.queue.push(transferEvent{done: newOutcomeChannel()})
	case actionRead:
		r.read(replica)
	default:
		r.proposeAt(replica, fmt.Sprint("command ", number))
	}
}

func (r *randomFaultRun) proposeAt(replica *testReplica, command string) {
	r.pending = append(r.pending, pendingCall{command: command, replica: replica, done: replica.propose(command)})
}

func (r *randomFaultRun) read(replica *testReplica) {
	done := newOutcomeChannel()
	replica.group.queue.push(readEvent{done})
	r.pending = append(r.pending, pendingCall{replica: replica, acknowledgedBefore: len(r.acknowledged), done: done})
}

// collect processes the answers that have arrived.
func (r *randomFaultRun) collectOutcomes() {
	var left []pendingCall
	for _, pending := range r.pending {
		select {
		case received := <-pending.done:
			r.record(pending, received)
		default:
			left = append(left, pending)
		}
	}
	r.pending = left
}

func (r *randomFaultRun) record(pending pendingCall, received outcome) {
	switch {
	case pending.command == "" && received.err == nil:
		r.checkRead(pending)
	case pending.command == "":
	case received.err == nil:
		r.acknowledged = append(r.acknowledged, pending.command)
	case !errors.Is(received.err, ErrUnknownOutcome):
		r.rejected[pending.command] = true
	}
}

func (r *randomFaultRun) checkRead(read pendingCall) {
	for _, command := range r.acknowledged[:read.acknowledgedBefore] {
		if !slices.Contains(read.replica.stateMachine.Commands, command) {
			r.failure = fmt.Errorf("a read at member %d does not see %q", read.replica.member.ID, command)
		}
	}
}

// heal ends all faults and waits until all members are up to date.
func (r *randomFaultRun) heal() {
	r.t.Helper()
	for _, replica := range r.replicas {
		replica.partitioned, replica.stalled = false, false
		replica.disk.FreeBytes = seglogtest.Unlimited
	}
	r.stepUntil("no pending attempt", func() bool {
		r.collectOutcomes()
		return len(r.pending) == 0
	})
	last := r.commitLast()
	r.stepUntil("all members up to date", func() bool { return r.allHave(last) })
}

// commitLast retries until the leader has accepted a command: a transfer may still be in progress.
func (r *randomFaultRun) commitLast() string {
	r.t.Helper()
	limit := r.clock.now + testTimeout
	for number := 0; r.clock.now < limit; number++ {
		command := fmt.Sprint("last ", number)
		if r.awaitOutcome(r.awaitLeader().propose(command)).err == nil {
			return command
		}
		r.step()
	}
	r.t.Fatal("no leader accepts a command")
	return ""
}

func (r *randomFaultRun) allHave(command string) bool {
	for _, replica := range r.replicas {
		if !slices.Contains(replica.stateMachine.Commands, command) {
			return false
		}
	}
	return true
}

func (r *randomFaultRun) checkCommands() error {
	commands := r.replicas[0].stateMachine.Commands
	for _, replica := range r.replicas {
		if !slices.Equal(replica.stateMachine.Commands, commands) {
			return fmt.Errorf("members differ: %q and %q", commands, replica.stateMachine.Commands)
		}
	}
	counts := map[string]int{}
	for _, command := range commands {
		counts[command]++
		if counts[command] > 1 || r.rejected[command] {
			return fmt.Errorf("%q was applied %d times, rejected: %v", command, counts[command], r.rejected[command])
		}
	}
	for _, command := range r.acknowledged {
		if counts[command] != 1 {
			return fmt.Errorf("%q was acknowledged and not applied", command)
		}
	}
	return nil
}
