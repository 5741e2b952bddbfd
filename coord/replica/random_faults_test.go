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
	fullDiskFreeBytes = 200 // exclusive upper limit of the free bytes on a full disk
	actionChoices     = 12  // each named action is one choice; the remaining choices are proposals
	faultOneIn        = 3   // a chosen member becomes faulty once in this many times, and healthy otherwise
)

// pendingCall is a proposal or read that is not answered yet.
type pendingCall struct {
	command            string // empty for a read
	replica            *testReplica
	acknowledgedBefore int // number of commands acknowledged when a read began
	done               chan outcome
}

// randomFaultRun makes proposals and reads in a cluster while it injects faults.
type randomFaultRun struct {
	*testCluster
	random       *rand.Rand
	pending      []pendingCall
	acknowledged []string
	rejected     map[string]bool
	failure      error
}

// TestGroup_randomFaults checks that every acknowledged command is applied exactly once on all members, that rejected commands
// are never applied, and that reads observe all commands acknowledged before them.
func TestGroup_randomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(randomSeed)
	parameters.MinSuccessfulTests = randomRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("acknowledged commands persist, rejected ones are not applied, reads are current", prop.ForAll(
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

// runRandomFaults runs random actions, ends all faults and returns a violation, if any. The given guards are disabled.
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

// Actions of a random run. Any other choice is a proposal.
const (
	actionPartition = iota
	actionStall
	actionRestart
	actionFillDisk
	actionFreeDisk
	actionTransfer
	actionRead
)

// runRandomAction injects a random fault into, or makes a random call to, a random member.
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

// collectOutcomes records the outcomes that have arrived.
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
			r.failure = fmt.Errorf("a read at member %d does not observe %q, which was acknowledged before it",
				read.replica.member.ID, command)
		}
	}
}

// heal ends all faults and waits until all calls are answered and all members are up to date.
func (r *randomFaultRun) heal() {
	r.t.Helper()
	for _, replica := range r.replicas {
		replica.partitioned, replica.stalled = false, false
		replica.disk.FreeBytes = seglogtest.Unlimited
	}
	r.stepUntil("all calls are answered", func() bool {
		r.collectOutcomes()
		return len(r.pending) == 0
	})
	last := r.commitLast()
	r.stepUntil("all members have applied the last command", func() bool { return r.allHave(last) })
}

// commitLast commits a command and returns it. It retries, since a leadership transfer may still be in progress.
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
	r.t.Fatalf("no command was committed within %v after all faults ended", testTimeout)
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
			return fmt.Errorf("members %d and %d applied different commands: %q and %q",
				r.replicas[0].member.ID, replica.member.ID, commands, replica.stateMachine.Commands)
		}
	}
	counts := map[string]int{}
	for _, command := range commands {
		counts[command]++
		if counts[command] > 1 || r.rejected[command] {
			return fmt.Errorf("%q was applied %d times, rejected: %t; want at most once, and never if rejected",
				command, counts[command], r.rejected[command])
		}
	}
	for _, command := range r.acknowledged {
		if counts[command] != 1 {
			return fmt.Errorf("%q was acknowledged but applied %d times, want 1", command, counts[command])
		}
	}
	return nil
}
