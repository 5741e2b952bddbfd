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
	largeBacklog = 1 << 20
	drawnSeed    = 20261
	drawnKeys    = 7
)

func put(index uint64, key, value string) feed.Change {
	return feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(value)}}}
}

func mustAppend(t *testing.T, buffer *feed.Buffer, change feed.Change) {
	t.Helper()
	if err := buffer.Append(change); err != nil {
		t.Fatal(err)
	}
}

func TestIndexMustRise(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, put(4, "a", "1"))
	for _, index := range []uint64{0, 3, 4} {
		if err := buffer.Append(put(index, "a", "2")); !errors.Is(err, feed.ErrIndexNotRising) {
			t.Fatalf("index %d: %v", index, err)
		}
	}
	if got := string(buffer.Snapshot().Items[0].Value); got != "1" {
		t.Fatalf("a refused change was taken: %s", got)
	}
}

func TestSinceGivesWhatIsAbove(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, put(2, "a", "1"))
	mustAppend(t, buffer, feed.Change{Index: 5})
	mustAppend(t, buffer, put(9, "b", "1"))
	for reader, expected := range map[uint64][]uint64{0: {2, 5, 9}, 2: {5, 9}, 4: {5, 9}, 5: {9}, 9: nil, 12: nil} {
		changes, ok := buffer.Since(reader)
		if !ok {
			t.Fatalf("reader at %d needs a snapshot", reader)
		}
		var indices []uint64
		for _, change := range changes {
			indices = append(indices, change.Index)
		}
		if !reflect.DeepEqual(indices, expected) {
			t.Fatalf("reader at %d: %v, not %v", reader, indices, expected)
		}
	}
}

func TestBacklogIsBounded(t *testing.T) {
	buffer := feed.NewBuffer(1000)
	for index := uint64(1); index <= 100; index++ {
		mustAppend(t, buffer, put(index, "key", "0123456789"))
	}
	if _, ok := buffer.Since(0); ok {
		t.Fatal("a reader at 0 was not told that changes are gone")
	}
	changes, ok := buffer.Since(95)
	if !ok || len(changes) != 5 {
		t.Fatalf("%d changes, %v", len(changes), ok)
	}
	mustAppend(t, buffer, put(101, "large", string(make([]byte, 2000))))
	if _, ok := buffer.Since(100); ok {
		t.Fatal("a change above the bound is held")
	}
	if changes, ok := buffer.Since(101); !ok || len(changes) != 0 {
		t.Fatal("a current reader needs nothing")
	}
}

func TestResetDropsTheBacklog(t *testing.T) {
	buffer := feed.NewBuffer(largeBacklog)
	mustAppend(t, buffer, put(3, "a", "1"))
	buffer.Reset(feed.Snapshot{Index: 8, Items: []feed.Item{{Key: "z"}, {Key: "b"}}})
	if _, ok := buffer.Since(7); ok {
		t.Fatal("changes before the snapshot are not held")
	}
	if _, ok := buffer.Since(8); !ok || buffer.Index() != 8 {
		t.Fatal("a reader at the snapshot is current")
	}
	items := buffer.Snapshot().Items
	if len(items) != 2 || items[0].Key != "b" || items[1].Key != "z" {
		t.Fatalf("%v", items)
	}
}

// drawnChange turns a drawn number into a change.
func drawnChange(index uint64, number uint32) feed.Change {
	change := feed.Change{Index: index}
	key := fmt.Sprintf("key%d", number%drawnKeys)
	other := fmt.Sprintf("key%d", number/drawnKeys%drawnKeys)
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

// follow applies changes to items by the plainest means.
func follow(state map[string]string, change feed.Change) {
	for _, key := range change.Delete {
		delete(state, key)
	}
	for _, item := range change.Put {
		state[item.Key] = string(item.Value)
	}
}

func stateOf(snapshot feed.Snapshot) map[string]string {
	state := map[string]string{}
	follow(state, feed.Change{Put: snapshot.Items})
	return state
}

func TestSnapshotAndChangesAreTheState(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(drawnSeed))
	properties.Property("a reader from any moment ends in the same state", prop.ForAll(
		func(numbers []uint32, backlog int) bool {
			buffer := feed.NewBuffer(backlog)
			expected := map[string]string{}
			starts := []feed.Snapshot{buffer.Snapshot()}
			for position, number := range numbers {
				change := drawnChange(uint64(2*position+1), number)
				follow(expected, change)
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
					follow(state, change)
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
