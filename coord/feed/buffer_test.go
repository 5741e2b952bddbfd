package feed_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/coord/feed"
)

const (
	largeBacklog   = 1 << 20
	randomSeed     = 20261
	randomKeyCount = 7
)

// putChange returns a change that puts one item.
func putChange(index uint64, key, value string) feed.Change {
	return feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(value)}}}
}

// mustAppend appends a change and fails the test if the buffer rejects it.
func mustAppend(t *testing.T, buffer *feed.Buffer, change feed.Change) {
	t.Helper()
	if err := buffer.Append(change); err != nil {
		t.Fatalf("appending the change at %d: %v", change.Index, err)
	}
}

func TestBuffer_Append_rejectsIndexThatDoesNotIncrease(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, putChange(4, "a", "1"))
	for _, index := range []uint64{0, 3, 4} {
		if err := buffer.Append(putChange(index, "a", "2")); !errors.Is(err, feed.ErrIndexNotIncreasing) {
			t.Fatalf("appending a change at %d after one at 4: got error %v, want %v", index, err, feed.ErrIndexNotIncreasing)
		}
	}
	if got := string(buffer.Snapshot().Items[0].Value); got != "1" {
		t.Fatalf("after rejected changes: item a has value %q, want 1", got)
	}
}

func TestBuffer_Since_returnsLaterChanges(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, putChange(2, "a", "1"))
	mustAppend(t, buffer, feed.Change{Index: 5})
	mustAppend(t, buffer, putChange(9, "b", "1"))
	for reader, expected := range map[uint64][]uint64{0: {2, 5, 9}, 2: {5, 9}, 4: {5, 9}, 5: {9}, 9: nil, 12: nil} {
		changes, ok := buffer.Since(reader)
		if !ok {
			t.Fatalf("Since(%d): got no changes, want those at %v", reader, expected)
		}
		var indexes []uint64
		for _, change := range changes {
			indexes = append(indexes, change.Index)
		}
		if !reflect.DeepEqual(indexes, expected) {
			t.Fatalf("Since(%d): got changes at %v, want %v", reader, indexes, expected)
		}
	}
}

func TestBuffer_Append_boundsBacklog(t *testing.T) {
	buffer := feed.NewBuffer(1000)
	for index := uint64(1); index <= 100; index++ {
		mustAppend(t, buffer, putChange(index, "key", "0123456789"))
	}
	if _, ok := buffer.Since(0); ok {
		t.Fatal("Since(0) returns changes although some have been dropped")
	}
	changes, ok := buffer.Since(95)
	if !ok || len(changes) != 5 {
		t.Fatalf("Since(95): got %d changes, %t; want 5, true", len(changes), ok)
	}
	mustAppend(t, buffer, putChange(101, "large", string(make([]byte, 2000))))
	if _, ok := buffer.Since(100); ok {
		t.Fatal("Since(100) returns changes although the one at 101 is larger than the backlog's limit")
	}
	if changes, ok := buffer.Since(101); !ok || len(changes) != 0 {
		t.Fatalf("Since(101), the last change: got %d changes, %t; want 0, true", len(changes), ok)
	}
}

func TestBuffer_Reset_dropsBacklog(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, putChange(3, "a", "1"))
	buffer.Reset(feed.Snapshot{Index: 8, Items: []feed.Item{{Key: "z"}, {Key: "b"}}})
	if _, ok := buffer.Since(7); ok {
		t.Fatal("Since(7) returns changes after a reset to a snapshot at 8")
	}
	if _, ok := buffer.Since(8); !ok || buffer.Index() != 8 {
		t.Fatalf("after a reset to a snapshot at 8: Since(8) returns %t, want true; the index is %d, want 8", ok, buffer.Index())
	}
	items := buffer.Snapshot().Items
	if len(items) != 2 || items[0].Key != "b" || items[1].Key != "z" {
		t.Fatalf("items after the reset: got %v, want b and z", items)
	}
}

// randomChange derives a change from a random number.
func randomChange(index uint64, number uint32) feed.Change {
	change := feed.Change{Index: index}
	key := fmt.Sprintf("key%d", number%randomKeyCount)
	other := fmt.Sprintf("key%d", number/randomKeyCount%randomKeyCount)
	switch number % 4 {
	case 0:
		change.Delete = []string{key}
	case 1:
		change.Delete = []string{other}
		change.Put = []feed.Item{{Key: key, Value: []byte(fmt.Sprint(number))}}
	case 2:
		change.Put = []feed.Item{{Key: key, Value: []byte(fmt.Sprint(number))}}
	}
	return change
}

// applyChange applies a change to a plain map.
func applyChange(state map[string]string, change feed.Change) {
	for _, key := range change.Delete {
		delete(state, key)
	}
	for _, item := range change.Put {
		state[item.Key] = string(item.Value)
	}
}

// stateOf returns the items of a snapshot as a map.
func stateOf(snapshot feed.Snapshot) map[string]string {
	state := map[string]string{}
	applyChange(state, feed.Change{Put: snapshot.Items})
	return state
}

func TestBuffer_Since_fromAnyOffsetGivesSameState(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(randomSeed))
	properties.Property("readers from all offsets end in the same state", prop.ForAll(
		func(numbers []uint32, backlog int) bool {
			buffer := feed.NewBuffer(backlog)
			expected := map[string]string{}
			starts := []feed.Snapshot{buffer.Snapshot()}
			for position, number := range numbers {
				change := randomChange(uint64(2*position+1), number)
				applyChange(expected, change)
				if buffer.Append(change) != nil {
					return false
				}
				starts = append(starts, buffer.Snapshot())
			}
			for _, start := range starts {
				state := stateOf(start)
				changes, ok := buffer.Since(start.Index)
				if !ok {
					state = stateOf(buffer.Snapshot())
				}
				for _, change := range changes {
					applyChange(state, change)
				}
				if !reflect.DeepEqual(state, expected) {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.UInt32()), gen.IntRange(0, 2000),
	))
	properties.TestingRun(t)
}

// applyCatchUp applies the results of Buffer.CatchUp to a reader's items.
func applyCatchUp(items map[string]string, changes []feed.Change, snapshot *feed.Snapshot) {
	if snapshot != nil {
		clear(items)
		for _, item := range snapshot.Items {
			items[item.Key] = string(item.Value)
		}
	}
	for _, change := range changes {
		for _, key := range change.Delete {
			delete(items, key)
		}
		for _, item := range change.Put {
			items[item.Key] = string(item.Value)
		}
	}
}

// itemsOf returns the items of a buffer as a map.
func itemsOf(buffer *feed.Buffer) map[string]string {
	items := make(map[string]string)
	snapshot := buffer.Snapshot()
	applyCatchUp(items, nil, &snapshot)
	return items
}

func TestBuffer_CatchUp_anyReaderCatchesUp(t *testing.T) {
	buffer := feed.NewBuffer(1500)
	indexes := []uint64{0}
	states := []map[string]string{{}}
	for index := uint64(1); index <= 400; index++ {
		change := putChange(index, fmt.Sprintf("key-%d", index%60), fmt.Sprint(index))
		if index%3 == 0 {
			change.Delete = []string{fmt.Sprintf("key-%d", index%7)}
		}
		mustAppend(t, buffer, change)
		indexes = append(indexes, index)
		states = append(states, itemsOf(buffer))
	}
	for position, index := range indexes {
		changes, snapshot := buffer.CatchUp(index)
		state := states[position]
		applyCatchUp(state, changes, snapshot)
		if want := itemsOf(buffer); !reflect.DeepEqual(state, want) {
			t.Fatalf("reader that resumes at %d: got items %v, want %v", index, state, want)
		}
		if snapshot != nil && len(changes) > 0 && changes[0].Index <= snapshot.Index {
			t.Fatalf("reader that resumes at %d: got change %d with a snapshot at %d, want later changes only", index, changes[0].Index, snapshot.Index)
		}
	}
	if changes, snapshot := buffer.CatchUp(400); changes != nil || snapshot != nil {
		t.Fatalf("reader at the last change: got %v and %v, want neither changes nor a snapshot", changes, snapshot)
	}
}

func TestBuffer_CatchUp_readersShareSnapshot(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	for index := uint64(1); index <= 100; index++ {
		mustAppend(t, buffer, putChange(index, fmt.Sprintf("key-%d", index), "1"))
	}
	_, first := buffer.CatchUp(0)
	mustAppend(t, buffer, putChange(101, "key-1", "2"))
	changes, second := buffer.CatchUp(0)
	if first == nil || second != first || len(changes) != 1 || changes[0].Index != 101 {
		t.Fatalf("second reader: got snapshot %p and %d changes, want the first reader's snapshot %p and change 101", second, len(changes), first)
	}
	mustAppend(t, buffer, putChange(102, "large", string(make([]byte, 64<<10))))
	if changes, third := buffer.CatchUp(0); third == nil || third.Index != 102 || len(changes) != 0 {
		t.Fatalf("reader after a large change: got an old snapshot or none, and %d changes; want a snapshot at 102 and no changes", len(changes))
	}
	buffer.Reset(feed.Snapshot{Index: 200, Items: []feed.Item{{Key: "a"}}})
	if _, fourth := buffer.CatchUp(0); fourth == nil || fourth.Index != 200 {
		t.Fatal("reader after a reset: got an old snapshot or none, want the one at 200")
	}
}
