package feedtransport

import (
	"testing"

	"ospreybend/coord/feed"
)

// newGuardClient returns a client with some guards disabled, and its handler.
func newGuardClient(omit []Guard, offsets ...Offset) (*Client, *recorder) {
	handler := newRecorder()
	client := NewClient(ClientOptions{Hello: Hello{Offsets: offsets}, Selector: SelectorOptions{FixedServer: "agent"}, Omit: omit}, handler)
	return client, handler
}

// guardScenarios has for each guard a scenario that passes frames to a client without the omitted guards, and reports whether
// they corrupted the state of its handler. Without the guard, they do.
var guardScenarios = map[Guard]func(t *testing.T, omit ...Guard) (harm bool){
	// A lagging server sends a snapshot and a change that are older than what the client has.
	GuardAboveOffset: func(t *testing.T, omit ...Guard) bool {
		client, handler := newGuardClient(omit, Offset{Shard: 1, Index: 7})
		old := SnapshotPart{Index: 5, First: true, Last: true, Items: singleItem("key", "old")}
		if err := handleFrames(t, client, partFrame(t, old), changesFrame(t, putChange(6, "key", "old"))); err != nil {
			t.Fatal(err)
		}
		return len(handler.items[1]) > 0
	},
	// The first part of one snapshot is followed by the last part of another.
	GuardCompleteSnapshot: func(t *testing.T, omit ...Guard) bool {
		client, handler := newGuardClient(omit)
		first := SnapshotPart{Index: 5, First: true, Items: singleItem("key", "old")}
		other := SnapshotPart{Index: 9, Last: true, Items: singleItem("other", "new")}
		err := handleFrames(t, client, partFrame(t, first), partFrame(t, other))
		return err == nil && handler.items[1]["key"] == "old" && handler.items[1]["other"] == "new"
	},
	// A change arrives before the snapshot that it builds on is complete. It would raise the offset, and the snapshot would be
	// dropped.
	GuardNoChangeDuringSnapshot: func(t *testing.T, omit ...Guard) bool {
		client, handler := newGuardClient(omit)
		first := SnapshotPart{Index: 5, First: true, Items: singleItem("key", "kept")}
		last := SnapshotPart{Index: 5, Last: true, Items: singleItem("other", "kept")}
		err := handleFrames(t, client, partFrame(t, first), changesFrame(t, putChange(6, "third", "new")), partFrame(t, last))
		return err == nil && handler.items[1]["third"] == "new" && handler.items[1]["key"] == ""
	},
}

// allGuards returns all guards of a client.
func allGuards() []Guard {
	return []Guard{GuardAboveOffset, GuardCompleteSnapshot, GuardNoChangeDuringSnapshot}
}

func TestReceiver_guards(t *testing.T) {
	for _, guard := range allGuards() {
		scenario := guardScenarios[guard]
		if scenario == nil {
			t.Errorf("guard %s has no scenario", guard)
			continue
		}
		if scenario(t) {
			t.Errorf("guard %s: the frames corrupted the state although the guard is enabled", guard)
		}
		if !scenario(t, guard) {
			t.Errorf("guard %s: the frames did not corrupt the state although the guard is disabled", guard)
		}
	}
}

// logLength is the number of changes in the log that the client reads.
const logLength = 400

// A client that stopped after any of several hundred changes continues with a server whose backlog holds only the last few of
// them. It must reach the end of the log, with at most one snapshot, without gaps and without receiving anything older than it has.
func TestClient_behindBacklogReceivesSnapshot(t *testing.T) {
	buffer := feed.NewBuffer(10 << 10)
	r := &replicas{}
	for index := uint64(1); index <= logLength; index++ {
		change := putChange(index, "key-"+string(rune('a'+index%20)), "value")
		r.log = append(r.log, change)
		if err := buffer.Append(change); err != nil {
			t.Fatal(err)
		}
	}
	for stopped := range logLength {
		handler := newRecorder()
		client := newConnectedClient(handler)
		if stopped > 0 {
			catchUp(t, client, r.log[:stopped], buffer, false)
		}
		catchUp(t, client, r.log, buffer, true)
		if problem := r.difference(handler); problem != "" || handler.offsets[0] != logLength {
			t.Fatalf("client that stopped at %d: reached offset %d, want %d; problem: %s", stopped, handler.offsets[0], logLength, problem)
		}
	}
}

// catchUp brings the client up to date, either from the whole log or from the buffer with its short backlog.
func catchUp(t *testing.T, client *Client, log []feed.Change, buffer *feed.Buffer, fromBuffer bool) {
	t.Helper()
	connection := &recordingConnection{}
	writer := newFeedWriter(connection, client.receiver.reset(), WriteTimeout)
	changes, snapshot := log, (*feed.Snapshot)(nil)
	if fromBuffer {
		changes, snapshot = buffer.CatchUp(client.receiver.offsets[0])
	}
	if err := writer.writeShard(0, changes, snapshot); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil {
		t.Fatal(err)
	}
	if err := receiveFrames(client, connection.written.Bytes()); err != nil {
		t.Fatal(err)
	}
}
