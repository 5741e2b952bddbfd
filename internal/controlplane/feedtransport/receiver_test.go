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
	return receiveAll(client, sent)
}

func changesFrame(t *testing.T, changes ...feed.Change) []byte {
	t.Helper()
	return must(t)(AppendChanges(nil, Changes{Shard: 1, Changes: changes}))
}

func partFrame(t *testing.T, part SnapshotPart) []byte {
	t.Helper()
	part.Shard = 1
	return must(t)(AppendSnapshotPart(nil, part))
}

func items(key, value string) []feed.Item { return []feed.Item{{Key: key, Value: []byte(value)}} }

func TestReceiver_dropsWhatIsNotAboveOffset(t *testing.T) {
	handler := newRecorder()
	client := propertyClient(handler)
	err := handleFrames(t, client,
		changesFrame(t, put(5, "k", "five")),
		changesFrame(t, put(4, "k", "four"), put(5, "k", "five again"), put(6, "k", "six")),
		partFrame(t, SnapshotPart{Index: 5, First: true, Last: true, Items: items("k", "lower")}),
		partFrame(t, SnapshotPart{Index: 6, First: true, Last: true, Items: items("k", "same")}),
	)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"k": "six"}
	if !reflect.DeepEqual(handler.items[1], want) || handler.snapshots != 0 || len(handler.faults) > 0 {
		t.Errorf("%v, %d snapshots, %v", handler.items[1], handler.snapshots, handler.faults)
	}
	if offsets := client.receiver.reset(); !reflect.DeepEqual(offsets, []Offset{{Shard: 1, Index: 6}}) {
		t.Errorf("offsets %v", offsets)
	}
}

func TestReceiver_addPart_completesWithLastPart(t *testing.T) {
	handler := newRecorder()
	client := propertyClient(handler)
	first := partFrame(t, SnapshotPart{Index: 9, First: true, Items: items("a", "1")})
	if err := handleFrames(t, client, changesFrame(t, put(2, "old", "x")), first); err != nil {
		t.Fatal(err)
	}
	if _, ok := handler.items[1]["old"]; !ok || handler.snapshots != 0 {
		t.Error("an incomplete snapshot took effect")
	}
	last := partFrame(t, SnapshotPart{Index: 9, Last: true, Items: items("b", "2")})
	if err := handleFrames(t, client, last); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"a": "1", "b": "2"}
	if !reflect.DeepEqual(handler.items[1], want) || handler.index[1] != 9 {
		t.Errorf("%v at %d", handler.items[1], handler.index[1])
	}
}

func TestReceiver_addPart_mismatchedParts(t *testing.T) {
	first := partFrame(t, SnapshotPart{Index: 9, First: true, Items: items("a", "1")})
	other := partFrame(t, SnapshotPart{Index: 8, Last: true})
	rest := partFrame(t, SnapshotPart{Index: 9, Last: true})
	client := propertyClient(newRecorder())
	if err := handleFrames(t, client, first, other); !errors.Is(err, ErrBrokenSnapshot) {
		t.Errorf("another index: %v", err)
	}
	client = propertyClient(newRecorder())
	if err := handleFrames(t, client, first); err != nil {
		t.Fatal(err)
	}
	client.receiver.reset()
	if err := handleFrames(t, client, rest); !errors.Is(err, ErrBrokenSnapshot) {
		t.Errorf("parts of two connections: %v", err)
	}
}

// A change between the parts of a snapshot would raise the offset above the snapshot, which then would be dropped as old.
func TestReceiver_accept_duringSnapshot(t *testing.T) {
	handler := newRecorder()
	client := propertyClient(handler)
	err := handleFrames(t, client,
		partFrame(t, SnapshotPart{Index: 9, First: true, Items: items("a", "1")}),
		changesFrame(t, put(10, "k", "ten")),
	)
	if !errors.Is(err, ErrBrokenSnapshot) || len(handler.items[1]) != 0 {
		t.Fatalf("%v, %v", err, handler.items[1])
	}
	if offsets := client.receiver.reset(); len(offsets) > 0 && offsets[0].Index > 0 {
		t.Fatalf("offsets %v", offsets)
	}
}

func TestFeedWriter_writeShard_sendsOnlyAboveOffset(t *testing.T) {
	connection := &capture{}
	writer := newFeedWriter(connection, []Offset{{Shard: 1, Index: 5}}, WriteTimeout)
	snapshot := feed.Snapshot{Index: 5, Items: items("k", "v")}
	changes := []feed.Change{put(4, "k", "4"), put(5, "k", "5")}
	if err := writer.writeShard(shards.ID(1), changes, &snapshot); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil || connection.written.Len() != 0 {
		t.Errorf("%d bytes were sent, %v", connection.written.Len(), err)
	}
	if err := writer.writeShard(shards.ID(1), append(changes, put(6, "k", "6")), nil); err != nil {
		t.Fatal(err)
	}
	if err := writer.flush(); err != nil {
		t.Fatal(err)
	}
	sent, err := DecodeChanges(body(t, connection.written.Bytes(), KindChanges))
	if err != nil || len(sent.Changes) != 1 || sent.Changes[0].Index != 6 {
		t.Errorf("sent %+v, %v", sent, err)
	}
}

func TestOutbox_add_dropsOldest(t *testing.T) {
	waiting := newOutbox()
	for number := range maxOutboxReports + 10 {
		waiting.add(Report{Topic: "t", Body: []byte{byte(number)}})
	}
	reports := waiting.drain()
	if len(reports) != maxOutboxReports || reports[0].Body[0] != 10 {
		t.Errorf("%d reports, the first is %v", len(reports), reports[0])
	}
	waiting.add(Report{Body: make([]byte, maxOutboxBytes)})
	waiting.add(Report{Body: make([]byte, 1)})
	if reports := waiting.drain(); len(reports) != 1 || len(reports[0].Body) != 1 {
		t.Errorf("%d reports", len(reports))
	}
}
