package feedtransport

import (
	"errors"
	"reflect"
	"testing"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// handleFrames passes frames to a client as if they had been received.
func handleFrames(t *testing.T, client *Client, frames ...[]byte) error {
	t.Helper()
	var sent []byte
	for _, frame := range frames {
		sent = append(sent, frame...)
	}
	return receiveFrames(client, sent)
}

func changesFrame(t *testing.T, changes ...feed.Change) []byte {
	t.Helper()
	return mustEncode(t)(AppendChanges(nil, Changes{Shard: 1, Changes: changes}))
}

func partFrame(t *testing.T, part SnapshotPart) []byte {
	t.Helper()
	part.Shard = 1
	return mustEncode(t)(AppendSnapshotPart(nil, part))
}

func singleItem(key, value string) []feed.Item { return []feed.Item{{Key: key, Value: []byte(value)}} }

func TestReceiver_dropsWhatIsNotAboveOffset(t *testing.T) {
	handler := newRecorder()
	client := newConnectedClient(handler)
	err := handleFrames(t, client,
		changesFrame(t, putChange(5, "k", "five")),
		changesFrame(t, putChange(4, "k", "four"), putChange(5, "k", "five again"), putChange(6, "k", "six")),
		partFrame(t, SnapshotPart{Index: 5, First: true, Last: true, Items: singleItem("k", "lower")}),
		partFrame(t, SnapshotPart{Index: 6, First: true, Last: true, Items: singleItem("k", "same")}),
	)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"k": "six"}
	if !reflect.DeepEqual(handler.items[1], want) || handler.snapshots != 0 || len(handler.violations) > 0 {
		t.Errorf("got items %v, %d snapshots, violations %v; want items %v, no snapshots and no violations",
			handler.items[1], handler.snapshots, handler.violations, want)
	}
	if offsets := client.receiver.reset(); !reflect.DeepEqual(offsets, []Offset{{Shard: 1, Index: 6}}) {
		t.Errorf("got offsets %v, want index 6 of shard 1", offsets)
	}
}

func TestReceiver_addPart_completesWithLastPart(t *testing.T) {
	handler := newRecorder()
	client := newConnectedClient(handler)
	first := partFrame(t, SnapshotPart{Index: 9, First: true, Items: singleItem("a", "1")})
	if err := handleFrames(t, client, changesFrame(t, putChange(2, "old", "x")), first); err != nil {
		t.Fatal(err)
	}
	if _, ok := handler.items[1]["old"]; !ok || handler.snapshots != 0 {
		t.Error("the first part of a snapshot replaced the items before the last part arrived")
	}
	last := partFrame(t, SnapshotPart{Index: 9, Last: true, Items: singleItem("b", "2")})
	if err := handleFrames(t, client, last); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"a": "1", "b": "2"}
	if !reflect.DeepEqual(handler.items[1], want) || handler.offsets[1] != 9 {
		t.Errorf("got items %v at offset %d, want %v at 9", handler.items[1], handler.offsets[1], want)
	}
}

func TestReceiver_addPart_mismatchedParts(t *testing.T) {
	first := partFrame(t, SnapshotPart{Index: 9, First: true, Items: singleItem("a", "1")})
	other := partFrame(t, SnapshotPart{Index: 8, Last: true})
	rest := partFrame(t, SnapshotPart{Index: 9, Last: true})
	client := newConnectedClient(newRecorder())
	if err := handleFrames(t, client, first, other); !errors.Is(err, ErrInconsistentSnapshot) {
		t.Errorf("parts with the indexes 9 and 8: got error %v, want ErrInconsistentSnapshot", err)
	}
	client = newConnectedClient(newRecorder())
	if err := handleFrames(t, client, first); err != nil {
		t.Fatal(err)
	}
	client.receiver.reset()
	if err := handleFrames(t, client, rest); !errors.Is(err, ErrInconsistentSnapshot) {
		t.Errorf("parts from two connections: got error %v, want ErrInconsistentSnapshot", err)
	}
}

// A change between the parts of a snapshot would raise the offset above the snapshot, which would then be dropped as outdated.
func TestReceiver_accept_duringSnapshot(t *testing.T) {
	handler := newRecorder()
	client := newConnectedClient(handler)
	err := handleFrames(t, client,
		partFrame(t, SnapshotPart{Index: 9, First: true, Items: singleItem("a", "1")}),
		changesFrame(t, putChange(10, "k", "ten")),
	)
	if !errors.Is(err, ErrInconsistentSnapshot) || len(handler.items[1]) != 0 {
		t.Fatalf("change between the parts: got error %v, items %v; want ErrInconsistentSnapshot, no items", err, handler.items[1])
	}
	if offsets := client.receiver.reset(); len(offsets) > 0 && offsets[0].Index > 0 {
		t.Fatalf("the change raised the offsets to %v, want none above 0", offsets)
	}
}

func TestFeedWriter_writeShard_sendsOnlyAboveOffset(t *testing.T) {
	connection := &recordingConnection{}
	writer := newFeedWriter(connection, []Offset{{Shard: 1, Index: 5}}, WriteTimeout)
	snapshot := feed.Snapshot{Index: 5, Items: singleItem("k", "v")}
	changes := []feed.Change{putChange(4, "k", "4"), putChange(5, "k", "5")}
	if err := writer.writeShard(shards.ID(1), changes, &snapshot); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil || connection.written.Len() != 0 {
		t.Errorf("wrote %d bytes, error %v; want none, as nothing is above the offset 5", connection.written.Len(), err)
	}
	if err := writer.writeShard(shards.ID(1), append(changes, putChange(6, "k", "6")), nil); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil {
		t.Fatal(err)
	}
	sent, err := DecodeChanges(frameBody(t, connection.written.Bytes(), KindChanges))
	if err != nil || len(sent.Changes) != 1 || sent.Changes[0].Index != 6 {
		t.Errorf("sent %+v, error %v; want the change with index 6 alone", sent, err)
	}
}

func TestOutbox_add_dropsOldest(t *testing.T) {
	queue := newOutbox()
	for number := range maxOutboxReports + 10 {
		queue.add(Report{Topic: "t", Body: []byte{byte(number)}})
	}
	reports := queue.drain()
	if len(reports) != maxOutboxReports || reports[0].Body[0] != 10 {
		t.Errorf("got %d reports, the first being %v; want %d, the first being number 10", len(reports), reports[0], maxOutboxReports)
	}
	queue.add(Report{Body: make([]byte, maxOutboxBytes)})
	queue.add(Report{Body: make([]byte, 1)})
	if reports := queue.drain(); len(reports) != 1 || len(reports[0].Body) != 1 {
		t.Errorf("got %d reports, want only the last one, of 1 byte", len(reports))
	}
}
