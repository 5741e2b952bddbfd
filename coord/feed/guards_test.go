package feed_test

import (
	"fmt"
	"reflect"
	"testing"

	"ospreybend/coord/feed"
)

// sequenceLength is the number of changes in each sequence of checkAllSequences.
const sequenceLength = 5

// sequenceBacklogBytes are backlog limits that hold no change, one or two changes, and all changes.
var sequenceBacklogBytes = []int{0, 120, 240, 2000}

// sequenceChange returns one of four kinds of changes to two keys.
func sequenceChange(index uint64, kind int) feed.Change {
	value := []byte(fmt.Sprint(index))
	switch kind {
	case 0:
		return feed.Change{Index: index, Put: []feed.Item{{Key: "a", Value: value}}}
	case 1:
		return feed.Change{Index: index, Put: []feed.Item{{Key: "b", Value: append(value, make([]byte, 100)...)}}}
	case 2:
		return feed.Change{Index: index, Delete: []string{"a"}}
	}
	return feed.Change{Index: index}
}

// checkAllSequences checks all sequences of changes with all backlog limits. It returns an error for the first
// one in which a reader does not catch up.
func checkAllSequences(omit ...feed.Guard) error {
	sequences := 1
	for range sequenceLength {
		sequences *= 4
	}
	for _, backlog := range sequenceBacklogBytes {
		for sequence := range sequences {
			if err := checkSequence(backlog, sequence, omit...); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSequence appends the changes of one sequence, whose base-4 digits are their kinds. One reader stops after
// each change and must catch up at the end.
func checkSequence(backlog, sequence int, omit ...feed.Guard) error {
	buffer := feed.NewBuffer(backlog, omit...)
	want := map[string]string{}
	readers := []map[string]string{{}}
	for index := uint64(1); index <= sequenceLength; index++ {
		change := sequenceChange(index, sequence%4)
		sequence /= 4
		if err := buffer.Append(change); err != nil {
			return err
		}
		applyChange(want, change)
		readers = append(readers, stateOf(feed.Snapshot{Items: buffer.Snapshot().Items}))
	}
	for index, state := range readers {
		changes, snapshot := buffer.CatchUp(uint64(index))
		at := uint64(index)
		if snapshot != nil {
			if snapshot.Index < at {
				return fmt.Errorf("a reader at %d gets an older snapshot, at %d", at, snapshot.Index)
			}
			state, at = stateOf(*snapshot), snapshot.Index
		}
		for _, change := range changes {
			if change.Index <= at {
				return fmt.Errorf("a reader at %d gets change %d, which it already has", at, change.Index)
			}
			at = change.Index
			applyChange(state, change)
		}
		if at != buffer.Index() || !reflect.DeepEqual(state, want) {
			return fmt.Errorf("a reader that resumes at %d, with a backlog of %d bytes, ends at %d with %v; want %d with %v",
				index, backlog, at, state, buffer.Index(), want)
		}
	}
	return nil
}

// TestBuffer_CatchUp_readerBehindBacklogHasNoGap shows that a reader that resumes from any index gets the complete
// state and nothing older than what it has, and that without GuardBacklogFloor some reader misses changes.
func TestBuffer_CatchUp_readerBehindBacklogHasNoGap(t *testing.T) {
	if err := checkAllSequences(); err != nil {
		t.Fatal(err)
	}
	err := checkAllSequences(feed.GuardBacklogFloor)
	if err == nil {
		t.Fatal("guard backlog-floor omitted: every reader caught up, want an error")
	}
	t.Logf("guard backlog-floor omitted: %v", err)
}

// TestBuffer_Append_guardPreventsStaleChange shows that without GuardIndexIncreases a change with a lower index
// overwrites a newer one.
func TestBuffer_Append_guardPreventsStaleChange(t *testing.T) {
	staleChangeApplied := func(omit ...feed.Guard) bool {
		buffer := feed.NewBuffer(largeBacklog, omit...)
		mustAppend(t, buffer, putChange(4, "a", "new"))
		err := buffer.Append(putChange(3, "a", "old"))
		return err == nil && string(buffer.Snapshot().Items[0].Value) == "old"
	}
	if staleChangeApplied() || !staleChangeApplied(feed.GuardIndexIncreases) {
		t.Fatalf("stale change applied with the guard: %t, want false; without: %t, want true", staleChangeApplied(), staleChangeApplied(feed.GuardIndexIncreases))
	}
}
