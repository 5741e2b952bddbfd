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
	callReceive  = 's' // a received snapshot behind the log
	callAlphabet = "arvcs"
	sequenceSize = 3
	tinySegment  = 60 // bytes: each record fills a segment
)

// sequences returns all sequences of calls of a length, each behind two appended entries.
func sequences(length int) []string {
	all := []string{"aa"}
	for range length {
		var longer []string
		for _, one := range all {
			for _, call := range callAlphabet {
				longer = append(longer, one+string(call))
			}
		}
		all = longer
	}
	return all
}

// callOf makes the call that a letter stands for; it fits the state.
func callOf(letter rune, state consensus.PersistedState) operation {
	last, term := lastIndex(state), max(lastTerm(state), 1)
	entry := func(index, term uint64) operation {
		entries := []consensus.Entry{{Term: term, Index: index, Data: []byte{byte(index), byte(term)}}}
		return operation{batch: []*consensus.PersistRequest{{Entries: entries}}}
	}
	snapshot := func(index, term uint64) *consensus.Snapshot {
		return &consensus.Snapshot{Index: index, Term: term, Members: []consensus.Member{{ID: 1, Voter: true}}, Data: []byte{byte(index)}}
	}
	switch {
	case letter == callVote:
		vote := state.HardState.Vote + 1
		return operation{batch: []*consensus.PersistRequest{{HardState: &consensus.HardState{Term: term + uint64(vote), Vote: vote}}}}
	case letter == callCompact && len(state.Entries) > 0:
		return operation{compact: snapshot(last, lastTerm(state))}
	case letter == callReceive:
		hard := state.HardState
		hard.Term++
		return operation{batch: []*consensus.PersistRequest{{Snapshot: snapshot(last+2, term+1), HardState: &hard}}}
	case letter == callReplace && len(state.Entries) > 0:
		return entry(last, term+1)
	}
	return entry(last+1, term)
}

// tinyLog opens a log whose segments hold one record each.
func tinyLog(disk *seglogtest.Disk, omit ...seglog.Guard) (*seglog.Log, consensus.PersistedState, error) {
	return seglog.Open(seglog.Options{FileSystem: disk, Directory: directory, SegmentBytes: tinySegment, Omit: omit})
}

// runSequence makes the calls until one fails, and shows each state on the way.
func runSequence(disk *seglogtest.Disk, calls string, passed func(), omit ...seglog.Guard) (*history, error) {
	log, stored, err := tinyLog(disk, omit...)
	record := newHistory(stored)
	for _, letter := range calls {
		if err != nil {
			return record, err
		}
		one := callOf(letter, record.last())
		record.attempt(one)
		if err = carryOut(log, one); err == nil {
			record.acknowledge()
		}
		if passed != nil {
			passed()
		}
	}
	return record, err
}

// losses counts what was played.
type losses struct{ points, outcomes int }

// checkSequence loses power before each operation of the disk, in all ways, and opens the disk twice: what was
// acknowledged must be there, and what was found once must be there again whatever a second loss of power leaves.
func (l *losses) checkSequence(calls string, omit ...seglog.Guard) error {
	for operations := int64(0); ; operations++ {
		disk := seglogtest.NewDisk()
		disk.Operations = operations
		record, failure := runSequence(disk, calls, nil, omit...)
		l.points++
		err := disk.EachPowerLoss(func(lost *seglogtest.Disk) error {
			l.outcomes++
			return checkTwice(lost, record, omit...)
		})
		if err == nil {
			killed := disk.Clone()
			killed.Restart()
			err = checkTwice(killed, record, omit...)
		}
		if err != nil {
			return fmt.Errorf("calls %s, power lost after %d operations: %w", calls, operations, err)
		}
		if failure == nil {
			return nil
		}
	}
}

func checkTwice(disk *seglogtest.Disk, record *history, omit ...seglog.Guard) error {
	_, first, err := tinyLog(disk, omit...)
	if err != nil {
		return errors.Join(errNotRecovered, err)
	}
	if err := record.check(first); err != nil {
		return err
	}
	return disk.EachPowerLoss(func(lost *seglogtest.Disk) error {
		_, second, err := tinyLog(lost, omit...)
		if err != nil {
			return errors.Join(errNotRecovered, err)
		}
		if text(first) != text(second) {
			return fmt.Errorf("first %s\nthen %s", text(first), text(second))
		}
		return nil
	})
}

// TestEachNameKeptOrLostByItself plays all sequences of calls, stops each before each operation of the disk, and has
// each file that was made, renamed or removed without a sync of its folder kept or lost by itself.
func TestEachNameKeptOrLostByItself(t *testing.T) {
	played := losses{}
	for _, calls := range sequences(sequenceSize) {
		if err := played.checkSequence(calls); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d sequences, %d moments, %d outcomes", len(sequences(sequenceSize)), played.points, played.outcomes)
}

// TestOneOperationFailsThenPowerGoes fails each operation of each sequence once, has the call made again as its callers
// do, goes on with the sequence, and then loses power in all ways.
func TestOneOperationFailsThenPowerGoes(t *testing.T) {
	for _, calls := range sequences(sequenceSize - 1) {
		if err := failEachOperation(calls); err != nil {
			t.Fatal(err)
		}
	}
}

func failEachOperation(calls string, omit ...seglog.Guard) error {
	for position := int64(1); ; position++ {
		disk := seglogtest.NewDisk()
		log, stored, err := tinyLog(disk, omit...)
		if err != nil {
			return err
		}
		record := newHistory(stored)
		disk.FailIn = position
		for _, letter := range calls + "av" {
			one := callOf(letter, record.last())
			record.attempt(one)
			err := carryOut(log, one)
			if err != nil {
				err = carryOut(log, one)
			}
			if err != nil {
				return fmt.Errorf("calls %s, operation %d fails: %w", calls, position, err)
			}
			record.acknowledge()
			err = disk.EachPowerLoss(func(lost *seglogtest.Disk) error { return checkTwice(lost, record, omit...) })
			if err != nil {
				return fmt.Errorf("calls %s, operation %d fails: %w", calls, position, err)
			}
		}
		if disk.FailIn > 0 {
			return nil
		}
	}
}

// mixedMoment is what the folder held at one moment of a sequence.
type mixedMoment struct {
	files map[string][]byte
	state consensus.PersistedState
}

// momentsOf returns the folder and the state after each call.
func momentsOf(t *testing.T, calls string) []mixedMoment {
	t.Helper()
	disk := seglogtest.NewDisk()
	var folders []map[string][]byte
	record, err := runSequence(disk, calls, func() { folders = append(folders, contents(t, disk)) })
	if err != nil {
		t.Fatal(err)
	}
	var moments []mixedMoment
	for at, folder := range folders {
		state, err := runSequence(seglogtest.NewDisk(), calls[:at+1], nil)
		if err != nil {
			t.Fatal(err)
		}
		moments = append(moments, mixedMoment{files: folder, state: state.last()})
	}
	if text(record.last()) != text(moments[len(moments)-1].state) {
		t.Fatal("the same calls give other states")
	}
	return moments
}

// mixed returns a disk with the segments of one moment and the snapshots of another.
func mixed(segments, snapshots mixedMoment) *seglogtest.Disk {
	disk := seglogtest.NewDisk()
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

// TestOldLogBesideNewSnapshotAndTheReverse puts the segments of each moment of each sequence beside the snapshot of
// each other moment. Such a disk is refused, or it yields a state that the log has passed through, with the snapshot's
// state at least; a log that is newer than its snapshot never yields less than its segments hold.
func TestOldLogBesideNewSnapshotAndTheReverse(t *testing.T) {
	refused, taken := 0, 0
	for _, calls := range sequences(sequenceSize + 1) {
		moments := momentsOf(t, calls)
		for log := range moments {
			for snapshot := range moments {
				_, found, err := tinyLog(mixed(moments[log], moments[snapshot]))
				switch {
				case errors.Is(err, seglog.ErrDamaged):
					refused++
					if log == snapshot {
						t.Fatalf("%s: the folder of moment %d is refused: %v", calls, log, err)
					}
				case err != nil:
					t.Fatal(err)
				default:
					taken++
					if err := checkMixed(moments, log, snapshot, found); err != nil {
						t.Fatalf("calls %s, segments of %d, snapshot of %d: %v", calls, log, snapshot, err)
					}
				}
			}
		}
	}
	t.Logf("%d folders were refused, %d taken", refused, taken)
	if refused == 0 || taken == 0 {
		t.Fatal("one of the kinds has not been met")
	}
}

// checkMixed checks what a mixed folder yields. An older log beside a newer snapshot is like the newer log without
// its end; a newer log beside an older snapshot holds all, or is refused.
func checkMixed(moments []mixedMoment, log, snapshot int, found consensus.PersistedState) error {
	if found.Snapshot.Index < moments[snapshot].state.Snapshot.Index {
		return fmt.Errorf("the snapshot is lost: %s", text(found))
	}
	if log > snapshot && moments[log].hasSegments() && !sameEnd(moments[log].state, found) {
		return fmt.Errorf("found %s\nthe log held %s", text(found), text(moments[log].state))
	}
	for _, moment := range moments {
		if sameEnd(moment.state, found) {
			return nil
		}
	}
	return snapshotAlone(moments, found)
}

// hasSegments tells whether the folder has any: a received snapshot voids all of them.
func (m mixedMoment) hasSegments() bool {
	for name := range m.files {
		if strings.HasSuffix(name, ".segment") {
			return true
		}
	}
	return false
}

// sameEnd tells whether two states have the same last entry, term and vote.
func sameEnd(one, other consensus.PersistedState) bool {
	return lastIndex(one) == lastIndex(other) && lastTerm(one) == lastTerm(other) &&
		one.HardState.Term == other.HardState.Term && one.HardState.Vote == other.HardState.Vote
}

// snapshotAlone allows the snapshot of a moment with no segment that counts.
func snapshotAlone(moments []mixedMoment, found consensus.PersistedState) error {
	same := func(moment mixedMoment) bool { return moment.state.Snapshot.Index == found.Snapshot.Index }
	if len(found.Entries) == 0 && slices.ContainsFunc(moments, same) {
		return nil
	}
	return fmt.Errorf("found %s, which never was", text(found))
}

// TestAbsentGuardsAreNoticed leaves out each guard of the log by name.
func TestAbsentGuardsAreNoticed(t *testing.T) {
	for _, guard := range seglog.Guards() {
		noticed := checkWithout(guard)
		if noticed == nil {
			t.Errorf("%s: not noticed", guard)
			continue
		}
		t.Logf("%s: %s", guard, strings.SplitN(noticed.Error(), "\n", 2)[0])
	}
}

// checkWithout plays all that the tests of this file play until the absence of a guard is noticed.
func checkWithout(guard seglog.Guard) error {
	if err := checkCuts(guard); err != nil {
		return err
	}
	for _, calls := range sequences(1) {
		if err := failEachOperation(calls, guard); err != nil {
			return err
		}
	}
	for _, calls := range sequences(sequenceSize) {
		if err := (&losses{}).checkSequence(calls, guard); err != nil {
			return err
		}
	}
	return nil
}

// checkCuts cuts each segment but the last at each byte: the log must be refused.
func checkCuts(omit ...seglog.Guard) error {
	for _, calls := range sequences(sequenceSize) {
		disk := seglogtest.NewDisk()
		if _, err := runSequence(disk, calls, nil, omit...); err != nil {
			return err
		}
		files, err := disk.List(directory)
		if err != nil {
			return err
		}
		slices.SortFunc(files, func(a, b seglog.FileInfo) int { return strings.Compare(a.Name, b.Name) })
		files = slices.DeleteFunc(files, func(one seglog.FileInfo) bool { return !strings.HasSuffix(one.Name, ".segment") })
		for _, file := range files[:max(len(files), 1)-1] {
			path := filepath.Join(directory, file.Name)
			whole, err := disk.ReadFile(path)
			if err != nil {
				return err
			}
			for cut := range whole {
				shorter := disk.Clone()
				shorter.WriteFile(path, whole[:cut])
				if _, _, err := tinyLog(shorter, omit...); !errors.Is(err, seglog.ErrDamaged) {
					return fmt.Errorf("calls %s, %s cut to %d bytes: %v", calls, file.Name, cut, err)
				}
			}
		}
	}
	return nil
}

func TestCutSegmentsOfAllSequences(t *testing.T) {
	if err := checkCuts(); err != nil {
		t.Fatal(err)
	}
}
