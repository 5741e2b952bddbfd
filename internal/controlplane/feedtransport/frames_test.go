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

func mustEncode(t *testing.T) func(frame []byte, err error) []byte {
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

func frameBody(t *testing.T, frame []byte, want Kind) []byte {
	t.Helper()
	kind, content, err := ReadFrame(bytes.NewReader(frame))
	if err != nil || kind != want {
		t.Fatalf("read a frame of kind %d, error %v; want kind %d", kind, err, want)
	}
	return content
}

func expectEqual(t *testing.T, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v; want %+v", got, err, want)
	}
}

func TestAppendDecode_roundTrip(t *testing.T) {
	frame := mustEncode(t)
	hello, err := DecodeHello(frameBody(t, frame(AppendHello(nil, sampleHello())), KindHello))
	expectEqual(t, hello, sampleHello(), err)

	wantPart := SnapshotPart{
		Shard: 3, Index: 12, First: true,
		Items: []feed.Item{{Key: "a", Value: []byte{0, 1}}, {Key: "b", Value: []byte("x")}},
	}
	part, err := DecodeSnapshotPart(frameBody(t, frame(AppendSnapshotPart(nil, wantPart)), KindSnapshot))
	expectEqual(t, part, wantPart, err)

	wantChanges := Changes{Shard: 2, Changes: []feed.Change{
		{Index: 5, Put: []feed.Item{{Key: "k", Value: []byte("v")}}, Delete: []string{"d", "e"}},
	}}
	changes, err := DecodeChanges(frameBody(t, frame(AppendChanges(nil, wantChanges)), KindChanges))
	expectEqual(t, changes, wantChanges, err)

	wantStatus := Status{
		Sequence: 9, Shards: []ShardStatus{{Shard: 1, Index: 3, Current: true}},
		Servers: []ServerEndpoint{{Address: "10.0.0.9:8146", Zone: "a", Region: "north"}},
	}
	status, err := DecodeStatus(frameBody(t, frame(AppendStatus(nil, wantStatus)), KindStatus))
	expectEqual(t, status, wantStatus, err)

	wantReport := Report{Topic: "budget", Body: []byte("body")}
	report, err := DecodeReport(frameBody(t, frame(AppendReport(nil, wantReport)), KindReport))
	expectEqual(t, report, wantReport, err)

	wantSuspicion := Suspicion{IP: "10.0.0.4", Suspected: true}
	encoded := frame(EncodeSuspicion(wantSuspicion))
	suspicion, err := DecodeSuspicion(encoded)
	expectEqual(t, suspicion, wantSuspicion, err)
}

// Decoded messages must not share memory with the frame, as handlers may retain them.
func TestDecode_copiesBytes(t *testing.T) {
	want := Changes{Shard: 2, Changes: []feed.Change{
		{Index: 5, Put: []feed.Item{{Key: "key", Value: []byte("value")}}, Delete: []string{"gone"}},
	}}
	content := frameBody(t, mustEncode(t)(AppendChanges(nil, want)), KindChanges)
	changes, err := DecodeChanges(content)
	clear(content)
	expectEqual(t, changes, want, err)

	content = frameBody(t, mustEncode(t)(AppendHello(nil, sampleHello())), KindHello)
	hello, err := DecodeHello(content)
	clear(content)
	expectEqual(t, hello, sampleHello(), err)
}

func TestAppendSnapshotPart_itemAboveOneMegabyte(t *testing.T) {
	want := SnapshotPart{Shard: 1, Index: 1, Items: []feed.Item{{Key: "k", Value: make([]byte, 3<<20)}}}
	frame := mustEncode(t)(AppendSnapshotPart(nil, want))
	part, err := DecodeSnapshotPart(frameBody(t, frame, KindSnapshot))
	if err != nil || len(part.Items) != 1 || len(part.Items[0].Value) != 3<<20 {
		t.Errorf("decoded %d items, error %v; want 1 item of %d bytes", len(part.Items), err, 3<<20)
	}
}

func TestReadFrame_truncated(t *testing.T) {
	frame := mustEncode(t)(AppendHello(nil, sampleHello()))
	for cut := range len(frame) {
		_, _, err := ReadFrame(bytes.NewReader(frame[:cut]))
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		if !errors.Is(err, want) {
			t.Errorf("frame truncated to %d bytes: got error %v, want %v", cut, err, want)
		}
	}
}

func TestReadFrame_tooLong(t *testing.T) {
	header := []byte{0xff, 0xff, 0xff, 0xff, byte(KindHello)}
	if _, _, err := ReadFrame(bytes.NewReader(header)); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("ReadFrame of a header with the maximum length: got error %v, want ErrFrameTooLong", err)
	}
	if _, err := AppendReport(nil, Report{Body: make([]byte, MaxFrameBytes)}); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("AppendReport of a body of %d bytes: got error %v, want ErrFrameTooLong", MaxFrameBytes, err)
	}
}

func TestDecode_rejectsTruncatedBodies(t *testing.T) {
	content := frameBody(t, mustEncode(t)(AppendHello(nil, sampleHello())), KindHello)
	v1Length := len(content) - 1 // without its last field, the body is complete in the first version of the schema
	hello, err := DecodeHello(content[:v1Length])
	want := sampleHello()
	want.Compressed = false
	expectEqual(t, hello, want, err)
	for cut := range v1Length {
		var decodeError *DecodeError
		if _, err := DecodeHello(content[:cut]); !errors.As(err, &decodeError) {
			t.Errorf("hello truncated to %d bytes: got error %v, want a DecodeError", cut, err)
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

func TestReadFirstFrame_readsNothingBeyondFrame(t *testing.T) {
	receiving, sending := net.Pipe()
	defer func() { _ = receiving.Close() }()
	go func() {
		frames := AppendFrame(nil, FirstPeerKind, []byte("peer"))
		frames = AppendFrame(frames, FirstPeerKind+1, []byte("next"))
		_, _ = sending.Write(frames)
	}()
	kind, content, err := ReadFirstFrame(receiving, time.Minute)
	if kind != FirstPeerKind || string(content) != "peer" || err != nil {
		t.Fatalf("first frame: got kind %d, body %q, error %v; want kind %d, body \"peer\"", kind, content, err, FirstPeerKind)
	}
	kind, content, err = ReadFrame(receiving)
	if kind != FirstPeerKind+1 || string(content) != "next" || err != nil {
		t.Errorf("second frame: got kind %d, body %q, error %v; want kind %d, body \"next\"", kind, content, err, FirstPeerKind+1)
	}
}

func TestFeedAddress(t *testing.T) {
	if address, ok := FeedAddress("10.1.0.37:8146", 7660); !ok || address != "10.1.0.37:7660" {
		t.Errorf("FeedAddress(\"10.1.0.37:8146\", 7660): got %q, %v; want \"10.1.0.37:7660\", true", address, ok)
	}
	if address, ok := FeedAddress("nowhere", 7660); ok {
		t.Errorf("FeedAddress of an invalid address: got %q, true; want false", address)
	}
}
