package feed_test

import (
	"fmt"
	"reflect"
	"testing"

	"ospreybend/coord/feed"
)

// lagLength is the number of changes in the tests' sequences.
const lagLength = 5

// lagBacklogs are bounds of the backlog: for no change, one or two changes, all.
var lagBacklogs = []int{0, 120, 240, 2000}

// lagChange is one of four changes of two keys.
func lagChange(index uint64, kind int) feed.Change {
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

// checkAllSequences plays all sequences of changes, with readers that stop after each change and resume at
// the end. It returns the first difference.
func checkAllSequences(omit ...feed.Guard) error {
	sequences := 1
	for range lagLength {
		sequences *= 4
	}
	for _, backlog := range lagBacklogs {
		for sequence := range sequences {
			if err := checkSequence(backlog, sequence, omit...); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSequence plays one sequence, whose digits to the base of 4 are the kinds of its changes.
func checkSequence(backlog, sequence int, omit ...feed.Guard) error {
	buffer := feed.NewBuffer(backlog, omit...)
	want := map[string]string{}
	readers := []map[string]string{{}}
	for index := uint64(1); index <= lagLength; index++ {
		change := lagChange(index, sequence%4)
		sequence /= 4
		if err := buffer.Append(change); err != nil {
			return err
		}
		applyChange(want, change)
		readers = append(readers, stateOf(feed.Snapshot{Items: buffer.Snapshot().Items}))
	}
	for index, state := range readers {
		changes, snapshot := buffer.From(uint64(index))
		at := uint64(index)
		if snapshot != nil {
			if snapshot.Index < at {
				return fmt.Errorf("a reader at %d gets a snapshot of %d", at, snapshot.Index)
			}
			state, at = stateOf(*snapshot), snapshot.Index
		}
		for _, change := range changes {
			if change.Index <= at {
				return fmt.Errorf("a reader at %d gets change %d", at, change.Index)
			}
			at = change.Index
			applyChange(state, change)
		}
		if at != buffer.Index() || !reflect.DeepEqual(state, want) {
			return fmt.Errorf("a reader from %d with a backlog of %d bytes ends at %d with %v, not %v", index, backlog, at, state, want)
		}
	}
	return nil
}

// TestBuffer_From_readerBehindBacklogHasNoGap shows that a reader that stopped at any index ends with the
// complete state and never goes back, and that it would not without the snapshot for readers behind the
// backlog.
func TestBuffer_From_readerBehindBacklogHasNoGap(t *testing.T) {
	if err := checkAllSequences(); err != nil {
		t.Fatal(err)
	}
	without := checkAllSequences(feed.GuardBacklogFloor)
	if without == nil {
		t.Fatal("backlog-floor omitted: not detected")
	}
	t.Log(without)
}

// TestBuffer_Append_guardPreventsStaleChange shows that a change whose index does not increase would
// overwrite a newer one.
func TestBuffer_Append_guardPreventsStaleChange(t *testing.T) {
	harm := func(omit ...feed.Guard) bool {
		buffer := feed.NewBuffer(largeBacklog, omit...)
		mustAppend(t, buffer, put(4, "a", "new"))
		err := buffer.Append(put(3, "a", "old"))
		return err == nil && string(buffer.Snapshot().Items[0].Value) == "old"
	}
	if harm() || !harm(feed.GuardIndexIncreases) {
		t.Fatalf("harm with the guard: %t, without: %t", harm(), harm(feed.GuardIndexIncreases))
	}
}
