package feedtransport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

const workerCount = 3000

// workerItem returns an item that resembles an encoded instance in its size and in how much it shares with other items.
func workerItem(random *rand.Rand, number int) feed.Item {
	id := fmt.Sprintf("i-%010x", random.Uint64()>>24)
	value := fmt.Sprintf("%s\x0evolo44a 10.%d.%d.%d:8609 halle-%c v1 ready decode m", id,
		number%4+1, 64+number/250, number%250, 'a'+rune(number%4))
	return feed.Item{Key: id, Value: []byte(value)}
}

func workerItems(seed uint64, count int) []feed.Item {
	random := rand.New(rand.NewPCG(seed, seed))
	items := make([]feed.Item, 0, count)
	for number := range count {
		items = append(items, workerItem(random, number))
	}
	return items
}

func TestCompressFrames_roundTrip(t *testing.T) {
	frames := mustEncode(t)(AppendSnapshotPart(nil, SnapshotPart{Shard: 2, Index: 9, Items: workerItems(1, 200), First: true, Last: true}))
	compressed, err := compressFrames(frames)
	if err != nil || len(compressed) > len(frames)/2 {
		t.Fatalf("compressed %d bytes to %d, want at most half; error %v", len(frames), len(compressed), err)
	}
	decompressed, err := decompressFrames(frameBody(t, compressed, KindCompressed))
	if err != nil || !bytes.Equal(decompressed, frames) {
		t.Errorf("decompressed %d bytes, error %v; want the original %d bytes", len(decompressed), err, len(frames))
	}
}

func TestCompressFrames_shortFramesUncompressed(t *testing.T) {
	frames := mustEncode(t)(AppendReport(nil, Report{Topic: "t", Body: make([]byte, minCompressBytes/2)}))
	if sent, err := compressFrames(frames); err != nil || !bytes.Equal(sent, frames) {
		t.Errorf("compressFrames returned %d bytes, error %v; want the %d bytes unchanged", len(sent), err, len(frames))
	}
}

func TestDecompressFrames_rejectsInvalidFrames(t *testing.T) {
	frames := bytes.Repeat(mustEncode(t)(AppendReport(nil, Report{Topic: "t", Body: make([]byte, 100)})), 10)
	content := frameBody(t, mustEncode(t)(compressFrames(frames)), KindCompressed)
	for cut := range len(content) {
		if _, err := decompressFrames(content[:cut]); err == nil {
			t.Errorf("decompressed a body truncated to %d of %d bytes without an error", cut, len(content))
		}
	}
	var message wireCompressed
	if err := decode(KindCompressed, compressedSchema, content, &message); err != nil {
		t.Fatal(err)
	}
	for _, length := range []int64{-1, 0, int64(len(frames)) - 1, int64(len(frames)) + 1, MaxFrameBytes + 1} {
		message.Length = length
		mismatched := frameBody(t, mustEncode(t)(appendMessage(nil, KindCompressed, compressedSchema, message)), KindCompressed)
		if _, err := decompressFrames(mismatched); err == nil {
			t.Errorf("decompressed %d bytes with the stated length %d without an error", len(frames), length)
		}
	}
}

func TestClient_handleCompressed_rejectsNestedFrames(t *testing.T) {
	inner := mustEncode(t)(appendMessage(nil, KindCompressed, compressedSchema, wireCompressed{}))
	outer := frameBody(t, mustEncode(t)(compressFrames(bytes.Repeat(inner, minCompressBytes))), KindCompressed)
	client := NewClient(ClientOptions{}, newRecorder())
	var kindError UnexpectedKindError
	if err := client.handleFrame(KindCompressed, outer); !errors.As(err, &kindError) || kindError.Kind != KindCompressed {
		t.Errorf("compressed frame within a compressed frame: got error %v, want UnexpectedKindError for kind %d", err, KindCompressed)
	}
}

// countingConnection counts the bytes that are written to it.
type countingConnection struct {
	net.Conn
	written *int
}

func (c countingConnection) Write(data []byte) (int, error) {
	*c.written += len(data)
	return c.Conn.Write(data)
}

// startSessionAndClient runs a session and a client that are connected by a pipe until stop is called. written is the number of
// bytes that the session has written.
func startSessionAndClient(source Source, encoder *Encoder, node string, handler Handler) (written *int, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written = new(int)
	clientEnd, serverEnd := net.Pipe()
	hello := Hello{Node: node, Role: RoleAgent, Compressed: true}
	dial := func(context.Context, string) (net.Conn, error) { return clientEnd, nil }
	client := NewClient(ClientOptions{Hello: hello, Selector: SelectorOptions{FixedServer: "server"}, Dial: dial}, handler)
	done := make(chan struct{}, 2)
	go func() {
		defer func() { done <- struct{}{} }()
		_, content, err := ReadFirstFrame(serverEnd, time.Second)
		if err != nil {
			return
		}
		decoded, err := DecodeHello(content)
		if err != nil {
			return
		}
		_ = NewSession(countingConnection{serverEnd, written}, decoded, source, SessionOptions{Encoder: encoder}).Run(ctx)
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		_ = client.Run(ctx)
	}()
	return written, func() {
		cancel()
		_ = clientEnd.Close()
		<-done
		<-done
	}
}

// After a restart of all nodes, a server sends all workers to each of them. The number of bytes grows with the product of nodes
// and workers, so the snapshot must be well compressed.
func TestSession_Run_compressedSnapshotSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		plain := 0
		for index, item := range workerItems(2, workerCount) {
			source.commit(1, feed.Change{Index: uint64(index) + 1, Put: []feed.Item{item}})
			plain += itemBytes(item)
		}
		source.compact(1)
		handler := newRecorder()
		written, stop := startSessionAndClient(source, NewEncoder(), "edge-1", handler)
		defer stop()
		time.Sleep(StatusInterval / 2)
		synctest.Wait()
		expectItems(t, handler, 1, source)
		if *written > plain/3 {
			t.Errorf("the session wrote %d bytes for %d workers, want at most a third of their %d bytes", *written, workerCount, plain)
		}
	})
}

// lastChangeIndex returns the index of the last encoded change of a shard.
func (e *Encoder) lastChangeIndex(shard shards.ID) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changeFrames[shard].to
}

// Changes that are committed within one batch interval are encoded once for all readers.
func TestEncoder_sharedByReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		encoder := NewEncoder()
		var handlers []*recorder
		for number := range 20 {
			handlers = append(handlers, newRecorder())
			_, stop := startSessionAndClient(source, encoder, fmt.Sprintf("edge-%d", number), handlers[number])
			defer stop()
		}
		time.Sleep(time.Second)
		encodings := 0
		last := encoder.lastChangeIndex(1)
		for index, item := range workerItems(3, 400) {
			source.commit(1, feed.Change{Index: uint64(index) + 1, Put: []feed.Item{item}})
			time.Sleep(time.Millisecond)
			synctest.Wait()
			if now := encoder.lastChangeIndex(1); now != last {
				encodings, last = encodings+1, now
			}
		}
		time.Sleep(BatchInterval)
		synctest.Wait()
		for _, handler := range handlers {
			expectItems(t, handler, 1, source)
		}
		if maxEncodings := int(400*time.Millisecond/BatchInterval) + 2; encodings > maxEncodings {
			t.Errorf("the changes were encoded %d times, want at most %d", encodings, maxEncodings)
		}
	})
}

func TestEncoder_distinguishesShardsAndIndexes(t *testing.T) {
	encoder := NewEncoder()
	change := func(index uint64, key string) feed.Change {
		return feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(key)}}}
	}
	decoded := func(shard shards.ID, from uint64, changes ...feed.Change) Changes {
		t.Helper()
		frames, err := encoder.changes(shard, from, changes)
		if err != nil || len(frames) != 1 {
			t.Fatalf("encoded shard %d above index %d as %d frames, error %v; want 1 frame", shard, from, len(frames), err)
		}
		decoded, err := DecodeChanges(frameBody(t, frames[0], KindChanges))
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	for _, want := range []Changes{
		{Shard: 1, Changes: []feed.Change{change(5, "a"), change(6, "b")}},
		{Shard: 1, Changes: []feed.Change{change(6, "b")}},
		{Shard: 2, Changes: []feed.Change{change(6, "c")}},
		{Shard: 1, Changes: []feed.Change{change(6, "b"), change(7, "d")}},
	} {
		got := decoded(want.Shard, want.Changes[0].Index-1, want.Changes...)
		if got.Shard != want.Shard || len(got.Changes) != len(want.Changes) || !reflect.DeepEqual(got.Changes[0].Put, want.Changes[0].Put) {
			t.Errorf("decoded %+v, want %+v", got, want)
		}
	}
}
