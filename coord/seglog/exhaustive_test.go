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

// The calls from which all short sequences are made.
const (
	callAppend   = 'a' // one entry
	callReplace  = 'r' // the last entry, by one of a later term
	callVote     = 'v' // a hard state
	callCompact  = 'c' // a local snapshot of all
	callInstall  = 's' // a received snapshot beyond the log
	callAlphabet = "arvcs"
	sequenceSize = 3
	tinySegment  = 60 // bytes, so that each record fills a segment
)

// sequences returns all sequences of calls of a length, each after two appended entries.
func sequences(length int) []string {
	all := []string{"aa"}
	for range length {
		var longer []string
		for _, prefix := range all {
			for _, call := range callAlphabet {
				longer = append(longer, prefix+string(call))
			}
		}
		all = longer
	}
	return all
}

// operationFor returns the operation that a call's letter stands for in the given state.
func operationFor(call rune, state consensus.PersistedState) operation {
	last, term := lastIndex(state), max(lastTerm(state), 1)
	entry := func(index, term uint64) operation {
		entries := []consensus.Entry{{Term: term, Index: index, Data: []byte{byte(index), byte(term)}}}
		return operation{batch: []*consensus.PersistRequest{{Entries: entries}}}
	}
	snapshot := func(index, term uint64) *consensus.Snapshot {
		return &consensus.Snapshot{Index: index, Term: term, Members: []consensus.Member{{ID: 1, Voter: true}}, Data: []byte{byte(index)}}
	}
	switch {
	case call == callVote:
		vote := state.HardState.Vote + 1
		return operation{batch: []*consensus.PersistRequest{{HardState: &consensus.HardState{Term: term + uint64(vote), Vote: vote}}}}
	case call == callCompact && len(state.Entries) > 0:
		return operation{compact: snapshot(last, lastTerm(state))}
	case call == callInstall:
		hard := state.HardState
		hard.Term++
		return operation{batch: []*consensus.PersistRequest{{Snapshot: snapshot(last+2, term+1), HardState: &hard}}}
	case call == callReplace && len(state.Entries) > 0:
		return entry(last, term+1)
	}
	return entry(last+1, term)
}

// tinyLog opens a log whose segments contain one record each.
func tinyLog(disk *seglogtest.MemoryDisk, omit ...seglog.Guard) (*seglog.Log, consensus.PersistedState, error) {
	return seglog.Open(seglog.Options{FileSystem: disk, Directory: directory, SegmentBytes: tinySegment, OmitGuards: omit})
}

// runCalls makes the calls until one fails, and calls passed, if not nil, after each.
func runCalls(disk *seglogtest.MemoryDisk, calls string, passed func(), omit ...seglog.Guard) (*history, error) {
	log, stored, err := tinyLog(disk, omit...)
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
		if passed != nil {
			passed()
		}
	}
	return expected, err
}

// powerLossCheck counts what was checked.
type powerLossCheck struct{ moments, outcomes int }

// checkSequence loses power before each operation of the disk, with all outcomes, and opens the disk twice: what was
// acknowledged must be there, and what was recovered once must be recovered again whatever a second power loss leaves.
func (l *powerLossCheck) checkSequence(calls string, omit ...seglog.Guard) error {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewMemoryDisk()
		disk.RemainingOperations = operations
		expected, failure := runCalls(disk, calls, nil, omit...)
		l.moments++
		err := disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
			l.outcomes++
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

func checkTwoRecoveries(disk *seglogtest.MemoryDisk, expected *history, omit ...seglog.Guard) error {
	_, first, err := tinyLog(disk, omit...)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if err := expected.check(first); err != nil {
		return err
	}
	return disk.ForEachPowerLoss(func(lost *seglogtest.MemoryDisk) error {
		_, second, err := tinyLog(lost, omit...)
		if err != nil {
			return errors.Join(errNotRecovered, err)
		}
		if stateText(first) != stateText(second) {
			return fmt.Errorf("first %s\nthen %s", stateText(first), stateText(second))
		}
		return nil
	})
}

// TestOpen_afterEachDirectoryOutcome runs all sequences of calls, stops each before each operation of the disk, and persists or
// loses each unsynced directory change independently.
func TestOpen_afterEachDirectoryOutcome(t *testing.T) {
	played := powerLossCheck{}
	for _, calls := range sequences(sequenceSize) {
		if err := played.checkSequence(calls); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d sequences, %d moments, %d outcomes", len(sequences(sequenceSize)), played.moments, played.outcomes)
}

// TestLog_failedOperationThenPowerLoss fails each operation of each sequence once, retries the call as its callers do, continues
// the sequence, and then loses power with all outcomes.
func TestLog_failedOperationThenPowerLoss(t *testing.T) {
	for _, calls := range sequences(sequenceSize - 1) {
		if err := failEachOperation(calls); err != nil {
			t.Fatal(err)
		}
	}
}

func failEachOperation(calls string, omit ...seglog.Guard) error {
	for position := int64(1); ; position++ {
		disk := seglogtest.NewMemoryDisk()
		log, stored, err := tinyLog(disk, omit...)
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

// diskMoment is the directory and the state at one moment of a sequence.
type diskMoment struct {
	files map[string][]byte
	state consensus.PersistedState
}

// momentsAfterEachCall returns the directory and the state after each call.
func momentsAfterEachCall(t *testing.T, calls string) []diskMoment {
	t.Helper()
	disk := seglogtest.NewMemoryDisk()
	var folders []map[string][]byte
	expected, err := runCalls(disk, calls, func() { folders = append(folders, contents(t, disk)) })
	if err != nil {
		t.Fatal(err)
	}
	var moments []diskMoment
	for at, folder := range folders {
		state, err := runCalls(seglogtest.NewMemoryDisk(), calls[:at+1], nil)
		if err != nil {
			t.Fatal(err)
		}
		moments = append(moments, diskMoment{files: folder, state: state.last()})
	}
	if stateText(expected.last()) != stateText(moments[len(moments)-1].state) {
		t.Fatal("the same calls give other states")
	}
	return moments
}

// combineMoments returns a disk with the segments of one moment and the snapshots of another.
func combineMoments(segments, snapshots diskMoment) *seglogtest.MemoryDisk {
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

// TestOpen_segmentsAndSnapshotOfDifferentMoments combines the segments of each moment of each sequence with the snapshot of each
// other moment. Such a disk is rejected, or it yields a state that the log has passed through, with the snapshot's state at
// least; a log that is newer than its snapshot never yields less than its segments contain.
func TestOpen_segmentsAndSnapshotOfDifferentMoments(t *testing.T) {
	rejected, accepted := 0, 0
	for _, calls := range sequences(sequenceSize + 1) {
		moments := momentsAfterEachCall(t, calls)
		for log := range moments {
			for snapshot := range moments {
				_, found, err := tinyLog(combineMoments(moments[log], moments[snapshot]))
				switch {
				case errors.Is(err, seglog.ErrCorrupt):
					rejected++
					if log == snapshot {
						t.Fatalf("%s: the directory of moment %d is rejected: %v", calls, log, err)
					}
				case err != nil:
					t.Fatal(err)
				default:
					accepted++
					if err := checkMixed(moments, log, snapshot, found); err != nil {
						t.Fatalf("calls %s, segments of %d, snapshot of %d: %v", calls, log, snapshot, err)
					}
				}
			}
		}
	}
	t.Logf("%d directories were rejected, %d accepted", rejected, accepted)
	if rejected == 0 || accepted == 0 {
		t.Fatal("one of the two cases did not occur")
	}
}

// checkMixed checks the state recovered from combined moments. An older log with a newer snapshot is like the newer log without
// its end; a newer log with an older snapshot yields everything, or is rejected.
func checkMixed(moments []diskMoment, log, snapshot int, found consensus.PersistedState) error {
	if found.Snapshot.Index < moments[snapshot].state.Snapshot.Index {
		return fmt.Errorf("the snapshot is lost: %s", stateText(found))
	}
	if log > snapshot && moments[log].hasSegments() && !sameEnd(moments[log].state, found) {
		return fmt.Errorf("found %s\nthe log contained %s", stateText(found), stateText(moments[log].state))
	}
	for _, moment := range moments {
		if sameEnd(moment.state, found) {
			return nil
		}
	}
	return snapshotAlone(moments, found)
}

// hasSegments reports whether the directory contains segments: a received snapshot discards all of them.
func (m diskMoment) hasSegments() bool {
	for name := range m.files {
		if strings.HasSuffix(name, ".segment") {
			return true
		}
	}
	return false
}

// sameEnd reports whether two states have the same last entry, term and vote.
func sameEnd(state, other consensus.PersistedState) bool {
	return lastIndex(state) == lastIndex(other) && lastTerm(state) == lastTerm(other) &&
		state.HardState.Term == other.HardState.Term && state.HardState.Vote == other.HardState.Vote
}

// snapshotAlone accepts the snapshot of a moment without any valid segment.
func snapshotAlone(moments []diskMoment, found consensus.PersistedState) error {
	same := func(moment diskMoment) bool { return moment.state.Snapshot.Index == found.Snapshot.Index }
	if len(found.Entries) == 0 && slices.ContainsFunc(moments, same) {
		return nil
	}
	return fmt.Errorf("found %s, which never existed", stateText(found))
}

// TestGuards_omissionIsDetected omits each guard of the log.
func TestGuards_omissionIsDetected(t *testing.T) {
	for _, guard := range seglog.Guards() {
		detected := detectOmission(guard)
		if detected == nil {
			t.Errorf("%s: not detected", guard)
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
	for _, calls := range sequences(sequenceSize) {
		if err := (&powerLossCheck{}).checkSequence(calls, guard); err != nil {
			return err
		}
	}
	return nil
}

// errNotRejected reports a log that was opened although it is corrupt.
var errNotRejected = errors.New("the log was not rejected as corrupt")

// checkTruncations truncates each segment but the last at each byte: the log must be rejected.
func checkTruncations(omit ...seglog.Guard) error {
	for _, calls := range sequences(sequenceSize) {
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
				if _, _, err := tinyLog(shorter, omit...); !errors.Is(err, seglog.ErrCorrupt) {
					return fmt.Errorf("calls %s, %s truncated to %d bytes: %w", calls, file.Name, length, errors.Join(errNotRejected, err))
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
