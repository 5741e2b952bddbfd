package feedtransport

import (
	"testing"

	"ospreybend/coord/feed"
)

// guardClient returns a client without some guards, and the recorder of what its handler received.
func guardClient(omit []Guard, offsets ...Offset) (*Client, *recorder) {
	handler := newRecorder()
	client := NewClient(ClientOptions{Hello: Hello{Offsets: offsets}, Selector: SelectorOptions{FixedServer: "agent"}, Omit: omit}, handler)
	return client, handler
}

// guardScenarios has for each guard a sequence of frames that does harm without it, and reports whether it did.
var guardScenarios = map[Guard]func(t *testing.T, omit ...Guard) (harm bool){
	// A server that is behind sends an old state.
	GuardAboveOffset: func(t *testing.T, omit ...Guard) bool {
		client, handler := guardClient(omit, Offset{Shard: 1, Index: 7})
		old := SnapshotPart{Index: 5, First: true, Last: true, Items: items("key", "old")}
		if err := handleFrames(t, client, partFrame(t, old), changesFrame(t, put(6, "key", "old"))); err != nil {
			t.Fatal(err)
		}
		return len(handler.items[1]) > 0
	},
	// The parts of two snapshots arrive mixed.
	GuardCompleteSnapshot: func(t *testing.T, omit ...Guard) bool {
		client, handler := guardClient(omit)
		first := SnapshotPart{Index: 5, First: true, Items: items("key", "old")}
		other := SnapshotPart{Index: 9, Last: true, Items: items("other", "new")}
		err := handleFrames(t, client, partFrame(t, first), partFrame(t, other))
		return err == nil && handler.items[1]["key"] == "old" && handler.items[1]["other"] == "new"
	},
	// A change arrives before the snapshot that it builds on is complete: the snapshot would be dropped.
	GuardNoChangeDuringSnapshot: func(t *testing.T, omit ...Guard) bool {
		client, handler := guardClient(omit)
		first := SnapshotPart{Index: 5, First: true, Items: items("key", "kept")}
		last := SnapshotPart{Index: 5, Last: true, Items: items("other", "kept")}
		err := handleFrames(t, client, partFrame(t, first), changesFrame(t, put(6, "third", "new")), partFrame(t, last))
		return err == nil && handler.items[1]["third"] == "new" && handler.items[1]["key"] == ""
	},
}

// allGuards returns the guards that a client can leave out.
func allGuards() []Guard {
	return []Guard{GuardAboveOffset, GuardCompleteSnapshot, GuardNoChangeDuringSnapshot}
}

func TestReceiver_guards(t *testing.T) {
	for _, guard := range allGuards() {
		scenario := guardScenarios[guard]
		if scenario == nil {
			t.Errorf("%s: no scenario", guard)
			continue
		}
		if scenario(t) {
			t.Errorf("%s: harm in spite of the guard", guard)
		}
		if !scenario(t, guard) {
			t.Errorf("%s: no harm without the guard", guard)
		}
	}
}

// changeCount is the number of changes that an agent lags behind.
const changeCount = 400

// TestClient_behindBacklogReceivesSnapshot has an agent that stopped anywhere amid hundreds of changes read on from a
// server whose backlog holds only the last few: it gets one snapshot at most, no gap, and nothing older.
func TestClient_behindBacklogReceivesSnapshot(t *testing.T) {
	buffer := feed.NewBuffer(10 << 10)
	r := &replicas{}
	for index := uint64(1); index <= changeCount; index++ {
		change := put(index, "key-"+string(rune('a'+index%20)), "value")
		r.log = append(r.log, change)
		if err := buffer.Append(change); err != nil {
			t.Fatal(err)
		}
	}
	for stopped := range changeCount {
		handler := newRecorder()
		client := propertyClient(handler)
		if stopped > 0 {
			readFrom(t, client, r.log[:stopped], buffer, false)
		}
		readFrom(t, client, r.log, buffer, true)
		if problem := r.compare(handler); problem != "" || handler.index[0] != changeCount {
			t.Fatalf("stopped at %d: at %d, %s", stopped, handler.index[0], problem)
		}
	}
}

// readFrom brings the client up to date: from the whole log, or from the buffer with its short backlog.
func readFrom(t *testing.T, client *Client, log []feed.Change, buffer *feed.Buffer, short bool) {
	t.Helper()
	connection := &capture{}
	writer := newFeedWriter(connection, client.receiver.reset(), WriteTimeout)
	changes, snapshot := log, (*feed.Snapshot)(nil)
	if short {
		changes, snapshot = buffer.CatchUp(client.receiver.offsets[0])
	}
	if err := writer.writeShard(0, changes, snapshot); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil {
		t.Fatal(err)
	}
	if err := receiveAll(client, connection.written.Bytes()); err != nil {
		t.Fatal(err)
	}
}
