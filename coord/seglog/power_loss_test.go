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
	randomSeed           = 20260101
	workloadCalls        = 14
	powerLossesPerMoment = 6
	maxOperations        = 400 // of the disk in one workload; more than any makes
	randomHistories      = 150
	roundsOfHistory      = 4
)

// TestOpen_afterPowerLossAtEachOperation stops the same workloads before each of their disk operations, and loses power with
// several outcomes of what was not synced.
func TestOpen_afterPowerLossAtEachOperation(t *testing.T) {
	for seed := range uint64(4) {
		points := 0
		for ; points < maxOperations; points++ {
			finished, err := checkPowerLossAfter(seed, int64(points))
			if err != nil {
				t.Fatalf("workload %d, power lost after %d operations: %v", seed, points, err)
			}
			if finished {
				break
			}
		}
		if points == maxOperations {
			t.Fatalf("workload %d is longer than %d operations", seed, maxOperations)
		}
	}
}

// checkPowerLossAfter reports whether the workload finished before the power loss.
func checkPowerLossAfter(seed uint64, operations int64) (finished bool, err error) {
	disk := seglogtest.NewMemoryDisk()
	disk.RemainingOperations = operations
	expected, failure := runOnDisk(disk, seed)
	for outcome := range uint64(powerLossesPerMoment) {
		lost := disk.Clone()
		lost.LosePower(newRandom(outcome))
		if err := recoverTwice(lost, expected, outcome); err != nil {
			return false, fmt.Errorf("outcome %d: %w", outcome, err)
		}
	}
	killed := disk.Clone()
	killed.Restart()
	if err := recoverTwice(killed, expected, seed); err != nil {
		return false, fmt.Errorf("killed: %w", err)
	}
	return failure == nil, nil
}

func runOnDisk(disk *seglogtest.MemoryDisk, seed uint64) (*history, error) {
	log, stored, err := open(disk)
	expected := newHistory(stored)
	if err != nil {
		return expected, err
	}
	return expected, runUntilFailure(log, workload{random: newRandom(seed)}, expected, workloadCalls)
}

// recoverTwice opens the disk, and again after a power loss: what the first recovery returned must be recovered again.
func recoverTwice(disk *seglogtest.MemoryDisk, expected *history, outcome uint64) error {
	_, first, err := open(disk)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if err := expected.check(first); err != nil {
		return err
	}
	disk.LosePower(newRandom(outcome + 100))
	_, second, err := open(disk)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if stateText(first) != stateText(second) {
		return fmt.Errorf("first %s\nthen %s", stateText(first), stateText(second))
	}
	return nil
}

// TestOpen_afterPowerLossDuringRecovery stops recovery itself at each of its operations.
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
			checkRecoveryStops(t, disk, expected)
		}
	}
}

func checkRecoveryStops(t *testing.T, disk *seglogtest.MemoryDisk, expected *history) {
	t.Helper()
	for operations := int64(0); ; operations++ {
		stopped := disk.Clone()
		stopped.RemainingOperations = operations
		_, _, failure := open(stopped)
		stopped.LosePower(newRandom(uint64(operations)))
		if err := recoverTwice(stopped, expected, uint64(operations)); err != nil {
			t.Fatalf("recovery stopped after %d operations: %v", operations, err)
		}
		if failure == nil {
			return
		}
	}
}

// TestOpen_afterRandomHistories continues after each power loss with more calls.
func TestOpen_afterRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(randomSeed)
	parameters.MinSuccessfulTests = randomHistories
	properties := gopter.NewProperties(parameters)
	properties.Property("recovery yields a prefix that has all that was acknowledged", prop.ForAll(
		func(seed uint64, stops []int64) string { return errorText(runHistory(seed, stops)) },
		gen.UInt64(),
		gen.SliceOfN(roundsOfHistory, gen.Int64Range(0, 60)),
	))
	properties.TestingRun(t)
}

// errorText returns the reason of a failure for gopter, to which an empty text means success.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func runHistory(seed uint64, stops []int64) error {
	disk := seglogtest.NewMemoryDisk()
	random := newRandom(seed)
	expected := newHistory(emptyDisk)
	for _, stop := range stops {
		log, stored, err := open(disk)
		if err != nil {
			return errors.Join(errNotRecovered, err)
		}
		if err := expected.check(stored); err != nil {
			return err
		}
		expected = newHistory(stored)
		disk.RemainingOperations = stop
		_ = runUntilFailure(log, workload{random: random}, expected, workloadCalls)
		disk.LosePower(random)
	}
	return recoverTwice(disk, expected, seed)
}
