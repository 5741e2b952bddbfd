package feedtransport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"ospreybend/coord/feed"
)

func must(t *testing.T) func(frame []byte, err error) []byte {
	return func(frame []byte, err error) []byte {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
}

func sampleHello() Hello {
	return Hello{
		Node: "edge-1", Zone: "a", Region: "north", IP: "10.0.0.1", Role: RoleAgent,
		Incarnation: 1<<64 - 1, Offsets: []Offset{{Shard: 0, Index: 7}, {Shard: 4, Index: 1<<63 + 5}},
		Compressed: true,
	}
}

func body(t *testing.T, frame []byte, wanted Kind) []byte {
	t.Helper()
	kind, content, err := ReadFrame(bytes.NewReader(frame))
	if err != nil || kind != wanted {
		t.Fatalf("kind %d, %v", kind, err)
	}
	return content
}

func expectEqual(t *testing.T, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

func TestAppendDecode_roundTrip(t *testing.T) {
	frame := must(t)
	hello, err := DecodeHello(body(t, frame(AppendHello(nil, sampleHello())), KindHello))
	expectEqual(t, hello, sampleHello(), err)

	wantPart := SnapshotPart{
		Shard: 3, Index: 12, First: true,
		Items: []feed.Item{{Key: "a", Value: []byte{0, 1}}, {Key: "b", Value: []byte("x")}},
	}
	part, err := DecodeSnapshotPart(body(t, frame(AppendSnapshotPart(nil, wantPart)), KindSnapshot))
	expectEqual(t, part, wantPart, err)

	wantChanges := Changes{Shard: 2, Changes: []feed.Change{
		{Index: 5, Put: []feed.Item{{Key: "k", Value: []byte("v")}}, Delete: []string{"d", "e"}},
	}}
	changes, err := DecodeChanges(body(t, frame(AppendChanges(nil, wantChanges)), KindChanges))
	expectEqual(t, changes, wantChanges, err)

	wantStatus := Status{
		Sequence: 9, Shards: []ShardStatus{{Shard: 1, Index: 3, Current: true}},
		Servers: []ServerEndpoint{{Address: "10.0.0.9:8146", Zone: "a", Region: "north"}},
	}
	status, err := DecodeStatus(body(t, frame(AppendStatus(nil, wantStatus)), KindStatus))
	expectEqual(t, status, wantStatus, err)

	wantReport := Report{Topic: "budget", Body: []byte("body")}
	report, err := DecodeReport(body(t, frame(AppendReport(nil, wantReport)), KindReport))
	expectEqual(t, report, wantReport, err)

	wantSuspicion := Suspicion{IP: "10.0.0.4", Suspected: true}
	encoded := frame(EncodeSuspicion(wantSuspicion))
	suspicion, err := DecodeSuspicion(encoded)
	expectEqual(t, suspicion, wantSuspicion, err)
}

// Decoded messages must not share memory with the frame.
func TestDecode_copiesBytes(t *testing.T) {
	want := Changes{Shard: 2, Changes: []feed.Change{
		{Index: 5, Put: []feed.Item{{Key: "key", Value: []byte("value")}}, Delete: []string{"gone"}},
	}}
	content := body(t, must(t)(AppendChanges(nil, want)), KindChanges)
	changes, err := DecodeChanges(content)
	clear(content)
	expectEqual(t, changes, want, err)

	content = body(t, must(t)(AppendHello(nil, sampleHello())), KindHello)
	hello, err := DecodeHello(content)
	clear(content)
	expectEqual(t, hello, sampleHello(), err)
}

func TestAppendChanges_itemAboveOneMegabyte(t *testing.T) {
	want := SnapshotPart{Shard: 1, Index: 1, Items: []feed.Item{{Key: "k", Value: make([]byte, 3<<20)}}}
	frame := must(t)(AppendSnapshotPart(nil, want))
	part, err := DecodeSnapshotPart(body(t, frame, KindSnapshot))
	if err != nil || len(part.Items) != 1 || len(part.Items[0].Value) != 3<<20 {
		t.Errorf("%d items, %v", len(part.Items), err)
	}
}

func TestReadFrame_truncated(t *testing.T) {
	frame := must(t)(AppendHello(nil, sampleHello()))
	for cut := range len(frame) {
		_, _, err := ReadFrame(bytes.NewReader(frame[:cut]))
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		if !errors.Is(err, want) {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
}

func TestReadFrame_tooLong(t *testing.T) {
	header := []byte{0xff, 0xff, 0xff, 0xff, byte(KindHello)}
	if _, _, err := ReadFrame(bytes.NewReader(header)); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("got %v", err)
	}
	if _, err := AppendReport(nil, Report{Body: make([]byte, MaxFrameBytes)}); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("got %v", err)
	}
}

func TestDecode_rejectsTruncatedBodies(t *testing.T) {
	content := body(t, must(t)(AppendHello(nil, sampleHello())), KindHello)
	earlier := len(content) - 1 // without the last field it is complete in the earlier schema
	hello, err := DecodeHello(content[:earlier])
	want := sampleHello()
	want.Compressed = false
	expectEqual(t, hello, want, err)
	for cut := range earlier {
		var wanted *DecodeError
		if _, err := DecodeHello(content[:cut]); !errors.As(err, &wanted) {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	frame, err := AppendHello(nil, sampleHello())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame[headerBytes:])
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = DecodeHello(content)
		_, _ = DecodeSnapshotPart(content)
		_, _ = DecodeChanges(content)
		_, _ = DecodeStatus(content)
		_, _ = DecodeReport(content)
		_, _ = decompressFrames(content)
	})
}

func TestReadFirstFrame_readsNoFurther(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	go func() {
		frames := AppendFrame(nil, FirstPeerKind, []byte("peer"))
		frames = AppendFrame(frames, FirstPeerKind+1, []byte("next"))
		_, _ = theirs.Write(frames)
	}()
	kind, content, err := ReadFirstFrame(ours, time.Minute)
	if kind != FirstPeerKind || string(content) != "peer" || err != nil {
		t.Fatalf("got %d %q %v", kind, content, err)
	}
	kind, content, err = ReadFrame(ours)
	if kind != FirstPeerKind+1 || string(content) != "next" || err != nil {
		t.Errorf("got %d %q %v", kind, content, err)
	}
}

func TestFeedAddress(t *testing.T) {
	if address, ok := FeedAddress("10.1.0.37:8146", 7660); !ok || address != "10.1.0.37:7660" {
		t.Errorf("got %q, %v", address, ok)
	}
	if address, ok := FeedAddress("nowhere", 7660); ok {
		t.Errorf("got %q", address)
	}
}
