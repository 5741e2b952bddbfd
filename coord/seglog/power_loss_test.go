package seglog_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/seglog/seglogtest"
)

const (
	randomSeed              = 20260101
	workloadCalls           = 14
	powerLossesPerOperation = 6
	maxOperations           = 400 // limit of disk operations in a workload; no workload reaches it
	randomHistories         = 150
	powerLossesPerHistory   = 4
)

// TestOpen_afterPowerLossAtEachOperation loses power before each disk operation of several workloads, with several random
// outcomes for the unsynced changes.
func TestOpen_afterPowerLossAtEachOperation(t *testing.T) {
	for seed := range uint64(4) {
		operations := 0
		for ; operations < maxOperations; operations++ {
			finished, err := checkPowerLossAfter(seed, int64(operations))
			if err != nil {
				t.Fatalf("workload %d, power lost after %d operations: %v", seed, operations, err)
			}
			if finished {
				break
			}
		}
		if operations == maxOperations {
			t.Fatalf("workload %d has not finished after %d disk operations", seed, maxOperations)
		}
	}
}

// checkPowerLossAfter runs a workload that is stopped by a power loss, or by a process restart, after a number of disk
// operations, and checks recovery. finished reports whether the workload ended before that.
func checkPowerLossAfter(seed uint64, operations int64) (finished bool, err error) {
	disk := seglogtest.NewMemoryDisk()
	disk.RemainingOperations = operations
	expected, failure := runOnDisk(disk, seed)
	for lossSeed := range uint64(powerLossesPerOperation) {
		lost := disk.Clone()
		lost.LosePower(newRandom(lossSeed))
		if err := recoverTwice(lost, expected, lossSeed); err != nil {
			return false, fmt.Errorf("power loss with seed %d: %w", lossSeed, err)
		}
	}
	killed := disk.Clone()
	killed.Restart()
	if err := recoverTwice(killed, expected, seed); err != nil {
		return false, fmt.Errorf("process restart without power loss: %w", err)
	}
	return failure == nil, nil
}

// runOnDisk opens a log and runs a workload until a call fails.
func runOnDisk(disk *seglogtest.MemoryDisk, seed uint64) (*history, error) {
	log, stored, err := open(disk)
	expected := newHistory(stored)
	if err != nil {
		return expected, err
	}
	return expected, runUntilFailure(log, workload{random: newRandom(seed)}, expected, workloadCalls)
}

// recoverTwice opens the log, and opens it again after a power loss: the first state must contain everything acknowledged,
// and the second must be the same.
func recoverTwice(disk *seglogtest.MemoryDisk, expected *history, lossSeed uint64) error {
	_, first, err := open(disk)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if err := expected.check(first); err != nil {
		return err
	}
	disk.LosePower(newRandom(lossSeed + 100))
	_, second, err := open(disk)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if stateText(first) != stateText(second) {
		return fmt.Errorf("first recovery %s\nsecond recovery %s", stateText(first), stateText(second))
	}
	return nil
}

// TestOpen_afterPowerLossDuringRecovery loses power before each disk operation of recovery itself.
func TestOpen_afterPowerLossDuringRecovery(t *testing.T) {
	for seed := range uint64(3) {
		for operations := int64(5); operations < 60; operations += 4 {
			disk := seglogtest.NewMemoryDisk()
			disk.RemainingOperations = operations
			expected, failure := runOnDisk(disk, seed)
			if failure == nil {
				break
			}
			disk.LosePower(newRandom(seed))
			checkInterruptedRecovery(t, disk, expected)
		}
	}
}

// checkInterruptedRecovery interrupts recovery before each of its disk operations, and checks that the next recovery
// succeeds.
func checkInterruptedRecovery(t *testing.T, disk *seglogtest.MemoryDisk, expected *history) {
	t.Helper()
	for operations := int64(0); ; operations++ {
		interrupted := disk.Clone()
		interrupted.RemainingOperations = operations
		_, _, failure := open(interrupted)
		interrupted.LosePower(newRandom(uint64(operations)))
		if err := recoverTwice(interrupted, expected, uint64(operations)); err != nil {
			t.Fatalf("recovery interrupted after %d disk operations: %v", operations, err)
		}
		if failure == nil {
			return
		}
	}
}

// TestOpen_afterRandomHistories checks recovery after random histories with several power losses and more calls after each.
func TestOpen_afterRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(randomSeed)
	parameters.MinSuccessfulTests = randomHistories
	properties := gopter.NewProperties(parameters)
	properties.Property("recovery yields a prefix of the history that contains everything acknowledged", prop.ForAll(
		func(seed uint64, stops []int64) string { return errorText(runHistory(seed, stops)) },
		gen.UInt64(),
		gen.SliceOfN(powerLossesPerHistory, gen.Int64Range(0, 60)),
	))
	properties.TestingRun(t)
}

// errorText returns the text of an error for gopter, which takes an empty text as success.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runHistory runs workloads on one disk, each of which loses power after the given number of disk operations.
func runHistory(seed uint64, operationLimits []int64) error {
	disk := seglogtest.NewMemoryDisk()
	random := newRandom(seed)
	expected := newHistory(emptyState)
	for _, limit := range operationLimits {
		log, stored, err := open(disk)
		if err != nil {
			return errors.Join(errNotRecovered, err)
		}
		if err := expected.check(stored); err != nil {
			return err
		}
		expected = newHistory(stored)
		disk.RemainingOperations = limit
		_ = runUntilFailure(log, workload{random: random}, expected, workloadCalls)
		disk.LosePower(random)
	}
	return recoverTwice(disk, expected, seed)
}
