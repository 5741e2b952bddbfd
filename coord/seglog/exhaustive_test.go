package seglog_test

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/seglog"
	"ospreybend/coord/seglog/seglogtest"
)

// Calls of the log, each written as one letter, of which the tests make all short sequences.
const (
	callAppend       = 'a' // appends one entry
	callReplace      = 'r' // replaces the last entry by one of a later term
	callVote         = 'v' // saves a hard state
	callCompact      = 'c' // compacts the log with a local snapshot at the last entry
	callInstall      = 's' // saves a received snapshot that is newer than the log
	allCalls         = "arvcs"
	sequenceLength   = 3
	tinySegmentBytes = 60 // so small that each record fills a segment
)

// sequences returns all sequences of the given number of calls, each preceded by two appended entries.
func sequences(length int) []string {
	all := []string{"aa"}
	for range length {
		var longer []string
		for _, prefix := range all {
			for _, call := range allCalls {
				longer = append(longer, prefix+string(call))
			}
		}
		all = longer
	}
	return all
}

// operationFor returns the operation that a call stands for in the given state. A call that needs an entry appends one if
// there is none.
func operationFor(call rune, state consensus.PersistedState) operation {
	last, term := lastIndex(state), max(lastTerm(state), 1)
	entry := func(index, term uint64) operation {
		entries := []consensus.Entry{{Term: term, Index: index, Data: []byte{byte(index), byte(term)}}}
		return operation{batch: []*consensus.PersistRequest{{Entries: entries}}}
	}
	snapshot := func(index, term uint64) *consensus.Snapshot {
		members := []consensus.Member{{ID: 1, Voter: true}}
		return &consensus.Snapshot{Index: index, Term: term, Members: members, Data: []byte{byte(index)}}
	}
	switch {
	case call == callVote:
		vote := state.HardState.Vote + 1
		return operation{batch: []*consensus.PersistRequest{{HardState: &consensus.HardState{Term: term + uint64(vote), Vote: vote}}}}
	case call == callCompact && len(state.Entries) > 0:
		return operation{compact: snapshot(last, lastTerm(state))}
	case call == callInstall:
		hardState := state.HardState
		hardState.Term++
		return operation{batch: []*consensus.PersistRequest{{Snapshot: snapshot(last+2, term+1), HardState: &hardState}}}
	case call == callReplace && len(state.Entries) > 0:
		return entry(last, term+1)
	}
	return entry(last+1, term)
}

// openWithTinySegments opens a log that fills a segment with each record.
func openWithTinySegments(disk *seglogtest.MemoryDisk, omit ...seglog.Guard) (*seglog.Log, consensus.PersistedState, error) {
	return seglog.Open(seglog.Options{FileSystem: disk, Directory: directory, SegmentBytes: tinySegmentBytes, OmitGuards: omit})
}

// runCalls opens a log and makes the calls until one fails. It calls afterCall, if not nil, after each of them.
func runCalls(disk *seglogtest.MemoryDisk, calls string, afterCall func(), omit ...seglog.Guard) (*history, error) {
	log, stored, err := openWithTinySegments(disk, omit...)
	expected := newHistory(stored)
	for _, call := range calls {
		if err != nil {
			return expected, err
		}
		operation := operationFor(call, expected.last())
		expected.attempt(operation)
		if err = runOperation(log, operation); err == nil {
			expected.acknowledge()
		}
		if afterCall != nil {
			afterCall()
		}
	}
	return expected, err
}

// powerLossCheck counts the power losses that were simulated and the resulting disk states that were checked.
type powerLossCheck struct{ powerLosses, diskStates int }

// checkSequence repeats the calls with a power loss, and with a process restart, before each disk operation. For each
// outcome of the power loss, everything acknowledged must be recovered, and a second power loss must not change the
// recovered state.
func (c *powerLossCheck) checkSequence(calls string, omit ...seglog.Guard) error {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		expected, failure := runCalls(disk, calls, nil, omit...)
		c.powerLosses++
		err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
			c.diskStates++
			return checkTwoRecoveries(lost, expected, omit...)
		})
		if err == nil {
			killed := disk.Clone()
			killed.Restart()
			err = checkTwoRecoveries(killed, expected, omit...)
		}
		if err != nil {
			return fmt.Errorf("calls %s, power lost after %d operations: %w", calls, operations, err)
		}
		if failure == nil {
			return nil
		}
	}
}

// checkTwoRecoveries opens the log, and opens it again after each outcome of a power loss: the first state must contain
// everything acknowledged, and the second must be the same.
func checkTwoRecoveries(disk *seglogtest.MemoryDisk, expected *history, omit ...seglog.Guard) error {
	_, first, err := openWithTinySegments(disk, omit...)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if err := expected.check(first); err != nil {
		return err
	}
	return disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
		_, second, err := openWithTinySegments(lost, omit...)
		if err != nil {
			return errors.Join(errNotRecovered, err)
		}
		if stateText(first) != stateText(second) {
			return fmt.Errorf("first recovery %s\nsecond recovery %s", stateText(first), stateText(second))
		}
		return nil
	})
}

// TestOpen_afterEachDirectoryOutcome runs all sequences of calls, loses power before each disk operation, and persists or
// loses each unsynced directory change independently.
func TestOpen_afterEachDirectoryOutcome(t *testing.T) {
	check := powerLossCheck{}
	for _, calls := range sequences(sequenceLength) {
		if err := check.checkSequence(calls); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d call sequences, %d power losses, %d disk states",
		len(sequences(sequenceLength)), check.powerLosses, check.diskStates)
}

// TestLog_failedOperationThenPowerLoss fails each disk operation of each sequence once, retries the failed call as the
// callers of the log do, continues the sequence, and checks all outcomes of a power loss after each call.
func TestLog_failedOperationThenPowerLoss(t *testing.T) {
	for _, calls := range sequences(sequenceLength - 1) {
		if err := failEachOperation(calls); err != nil {
			t.Fatal(err)
		}
	}
}

// failEachOperation runs the calls, followed by an append and a vote, once per disk operation. In each run that disk
// operation fails; a failed call is retried once and must then succeed. After each call, every outcome of a power loss must
// be recovered.
func failEachOperation(calls string, omit ...seglog.Guard) error {
	for position := int64(1); ; position++ {
		disk := seglogtest.NewMemoryDisk()
		log, stored, err := openWithTinySegments(disk, omit...)
		if err != nil {
			return err
		}
		expected := newHistory(stored)
		disk.FailOperation = position
		for _, call := range calls + "av" {
			operation := operationFor(call, expected.last())
			expected.attempt(operation)
			err := runOperation(log, operation)
			if err != nil {
				err = runOperation(log, operation)
			}
			if err != nil {
				return fmt.Errorf("calls %s, operation %d fails: %w", calls, position, err)
			}
			expected.acknowledge()
			err = disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error { return checkTwoRecoveries(lost, expected, omit...) })
			if err != nil {
				return fmt.Errorf("calls %s, operation %d fails: %w", calls, position, err)
			}
		}
		if disk.FailOperation > 0 {
			return nil
		}
	}
}

// diskImage is the content of the directory, and the state stored in it, after one call of a sequence.
type diskImage struct {
	files map[string][]byte
	state consensus.PersistedState
}

// imagesAfterEachCall runs the calls and returns the disk image after each of them.
func imagesAfterEachCall(t *testing.T, calls string) []diskImage {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	var directories []map[string][]byte
	expected, err := runCalls(disk, calls, func() { directories = append(directories, readAllFiles(t, disk)) })
	if err != nil {
		t.Fatal(err)
	}
	var images []diskImage
	for i, files := range directories {
		state, err := runCalls(seglogtest.NewMemoryDisk(), calls[:i+1], nil)
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, diskImage{files: files, state: state.last()})
	}
	if stateText(expected.last()) != stateText(images[len(images)-1].state) {
		t.Fatalf("calls %s, run twice: first state %s, second state %s",
			calls, stateText(expected.last()), stateText(images[len(images)-1].state))
	}
	return images
}

// combineImages returns a disk with the segments of one image and the snapshots of another.
func combineImages(segments, snapshots diskImage) *seglogtest.MemoryDisk {
	disk := seglogtest.NewMemoryDisk()
	for name, data := range segments.files {
		if strings.HasSuffix(name, ".segment") {
			disk.WriteFile(filepath.Join(directory, name), data)
		}
	}
	for name, data := range snapshots.files {
		if strings.HasSuffix(name, ".snapshot") {
			disk.WriteFile(filepath.Join(directory, name), data)
		}
	}
	return disk
}

// TestOpen_segmentsAndSnapshotOfDifferentMoments combines the segments of each disk image of a sequence with the snapshot
// of each image. Open must reject such a disk or recover a state that the log has passed through and that is not older than
// the snapshot. Segments that are newer than the snapshot must be recovered completely.
func TestOpen_segmentsAndSnapshotOfDifferentMoments(t *testing.T) {
	rejected, accepted := 0, 0
	for _, calls := range sequences(sequenceLength + 1) {
		images := imagesAfterEachCall(t, calls)
		for log := range images {
			for snapshot := range images {
				_, recovered, err := openWithTinySegments(combineImages(images[log], images[snapshot]))
				switch {
				case errors.Is(err, seglog.ErrCorrupt):
					rejected++
					if log == snapshot {
						t.Fatalf("calls %s: the unchanged disk after call %d is rejected: %v", calls, log, err)
					}
				case err != nil:
					t.Fatalf("calls %s, segments after call %d, snapshot after call %d: %v", calls, log, snapshot, err)
				default:
					accepted++
					if err := checkCombined(images, log, snapshot, recovered); err != nil {
						t.Fatalf("calls %s, segments after call %d, snapshot after call %d: %v", calls, log, snapshot, err)
					}
				}
			}
		}
	}
	t.Logf("%d combinations rejected, %d accepted", rejected, accepted)
	if rejected == 0 || accepted == 0 {
		t.Fatalf("%d combinations rejected, %d accepted; want some of each", rejected, accepted)
	}
}

// checkCombined checks the state recovered from combined images that Open has not rejected. Older segments with a newer
// snapshot are like newer segments without their end. Newer segments with an older snapshot must be recovered completely.
func checkCombined(images []diskImage, log, snapshot int, recovered consensus.PersistedState) error {
	if recovered.Snapshot.Index < images[snapshot].state.Snapshot.Index {
		return fmt.Errorf("recovered %s, which lacks the snapshot at index %d",
			stateText(recovered), images[snapshot].state.Snapshot.Index)
	}
	if log > snapshot && images[log].hasSegments() && !sameLastEntryAndVote(images[log].state, recovered) {
		return fmt.Errorf("recovered %s\nwant the last entry, term and vote of %s", stateText(recovered), stateText(images[log].state))
	}
	for _, image := range images {
		if sameLastEntryAndVote(image.state, recovered) {
			return nil
		}
	}
	return checkSnapshotOnly(images, recovered)
}

// hasSegments reports whether the image contains segments. A received snapshot discards all of them.
func (m diskImage) hasSegments() bool {
	for name := range m.files {
		if strings.HasSuffix(name, ".segment") {
			return true
		}
	}
	return false
}

// sameLastEntryAndVote reports whether two states have the same last entry, term and vote.
func sameLastEntryAndVote(state, other consensus.PersistedState) bool {
	return lastIndex(state) == lastIndex(other) && lastTerm(state) == lastTerm(other) &&
		state.HardState.Term == other.HardState.Term && state.HardState.Vote == other.HardState.Vote
}

// checkSnapshotOnly returns an error unless the recovered state consists of the snapshot of an image, without entries.
func checkSnapshotOnly(images []diskImage, recovered consensus.PersistedState) error {
	sameSnapshot := func(image diskImage) bool { return image.state.Snapshot.Index == recovered.Snapshot.Index }
	if len(recovered.Entries) == 0 && slices.ContainsFunc(images, sameSnapshot) {
		return nil
	}
	return fmt.Errorf("recovered %s, which is not a state of the log after any call", stateText(recovered))
}

// TestGuards_omissionIsDetected omits each guard of the log: the checks of this file must detect it.
func TestGuards_omissionIsDetected(t *testing.T) {
	for _, guard := range seglog.Guards() {
		detected := detectOmission(guard)
		if detected == nil {
			t.Errorf("no check has detected that guard %s is omitted", guard)
			continue
		}
		t.Logf("%s: %s", guard, strings.SplitN(detected.Error(), "\n", 2)[0])
	}
}

// detectOmission runs the checks of this file without a guard until one detects the omission.
func detectOmission(guard seglog.Guard) error {
	if err := checkTruncations(guard); err != nil {
		return err
	}
	for _, calls := range sequences(1) {
		if err := failEachOperation(calls, guard); err != nil {
			return err
		}
	}
	for _, calls := range sequences(sequenceLength) {
		if err := (&powerLossCheck{}).checkSequence(calls, guard); err != nil {
			return err
		}
	}
	return nil
}

// errCorruptLogAccepted means that Open has not rejected a corrupt log.
var errCorruptLogAccepted = errors.New("want ErrCorrupt from Open")

// checkTruncations truncates each segment except the last at each byte: Open must return ErrCorrupt.
func checkTruncations(omit ...seglog.Guard) error {
	for _, calls := range sequences(sequenceLength) {
		disk := seglogtest.NewMemoryDisk()
		if _, err := runCalls(disk, calls, nil, omit...); err != nil {
			return err
		}
		files, err := disk.List(directory)
		if err != nil {
			return err
		}
		slices.SortFunc(files, func(a, b seglog.FileInfo) int { return strings.Compare(a.Name, b.Name) })
		files = slices.DeleteFunc(files, func(file seglog.FileInfo) bool { return !strings.HasSuffix(file.Name, ".segment") })
		for _, file := range files[:max(len(files), 1)-1] {
			path := filepath.Join(directory, file.Name)
			complete, err := disk.ReadFile(path)
			if err != nil {
				return err
			}
			for length := range complete {
				shorter := disk.Clone()
				shorter.WriteFile(path, complete[:length])
				if _, _, err := openWithTinySegments(shorter, omit...); !errors.Is(err, seglog.ErrCorrupt) {
					return fmt.Errorf("calls %s, %s truncated to %d bytes: %w",
						calls, file.Name, length, errors.Join(errCorruptLogAccepted, err))
				}
			}
		}
	}
	return nil
}

func TestOpen_truncatedSealedSegment(t *testing.T) {
	if err := checkTruncations(); err != nil {
		t.Fatal(err)
	}
}
