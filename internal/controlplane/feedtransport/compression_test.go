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

const manyWorkers = 3000

// workerItem has the size of an instance and, like one, much in common with the others.
func workerItem(random *rand.Rand, number int) feed.Item {
	id := fmt.Sprintf("i-%010x", random.Uint64()>>24)
	value := fmt.Sprintf("%s\x0evolo44a 10.%d.%d.%d:8609 halle-%c v1 ready decode m", id,
		number%4+1, 64+number/250, number%250, 'a'+rune(number%4))
	return feed.Item{Key: id, Value: []byte(value)}
}

func manyItems(seed uint64, count int) []feed.Item {
	random := rand.New(rand.NewPCG(seed, seed))
	items := make([]feed.Item, 0, count)
	for number := range count {
		items = append(items, workerItem(random, number))
	}
	return items
}

func TestCompressFrames_roundTrip(t *testing.T) {
	frames := must(t)(AppendSnapshotPart(nil, SnapshotPart{Shard: 2, Index: 9, Items: manyItems(1, 200), First: true, Last: true}))
	compressed, err := compressFrames(frames)
	if err != nil || len(compressed) > len(frames)/2 {
		t.Fatalf("%d bytes of %d, %v", len(compressed), len(frames), err)
	}
	back, err := decompressFrames(body(t, compressed, KindCompressed))
	if err != nil || !bytes.Equal(back, frames) {
		t.Errorf("%d bytes of %d came back, %v", len(back), len(frames), err)
	}
}

func TestCompressFrames_shortFramesUncompressed(t *testing.T) {
	frames := must(t)(AppendReport(nil, Report{Topic: "t", Body: make([]byte, minCompressBytes/2)}))
	if sent, err := compressFrames(frames); err != nil || !bytes.Equal(sent, frames) {
		t.Errorf("%d bytes for %d, %v", len(sent), len(frames), err)
	}
}

func TestDecompressFrames_rejectsInvalidFrames(t *testing.T) {
	frames := bytes.Repeat(must(t)(AppendReport(nil, Report{Topic: "t", Body: make([]byte, 100)})), 10)
	content := body(t, must(t)(compressFrames(frames)), KindCompressed)
	for cut := range len(content) {
		if _, err := decompressFrames(content[:cut]); err == nil {
			t.Errorf("cut at %d: no error", cut)
		}
	}
	var message wireCompressed
	if err := decode(KindCompressed, compressedSchema, content, &message); err != nil {
		t.Fatal(err)
	}
	for _, length := range []int64{-1, 0, int64(len(frames)) - 1, int64(len(frames)) + 1, MaxFrameBytes + 1} {
		message.Length = length
		mismatched := body(t, must(t)(appendMessage(nil, KindCompressed, compressedSchema, message)), KindCompressed)
		if _, err := decompressFrames(mismatched); err == nil {
			t.Errorf("length %d: no error", length)
		}
	}
}

func TestClient_handleCompressed_rejectsNestedFrames(t *testing.T) {
	inner := must(t)(appendMessage(nil, KindCompressed, compressedSchema, wireCompressed{}))
	outer := body(t, must(t)(compressFrames(bytes.Repeat(inner, minCompressBytes))), KindCompressed)
	client := NewClient(ClientOptions{}, newRecorder())
	var wanted UnexpectedKindError
	if err := client.handleFrame(KindCompressed, outer); !errors.As(err, &wanted) || wanted.Kind != KindCompressed {
		t.Errorf("got %v", err)
	}
}

// countedConnection counts what is written to it.
type countedConnection struct {
	net.Conn
	written *int
}

func (c countedConnection) Write(data []byte) (int, error) {
	*c.written += len(data)
	return c.Conn.Write(data)
}

// serveOne runs a session and a client on a pipe until stop, and returns the bytes that the session has written.
func serveOne(source Source, encoder *Encoder, node string, handler Handler) (written *int, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	written = new(int)
	near, far := net.Pipe()
	hello := Hello{Node: node, Role: RoleAgent, Compressed: true}
	dial := func(context.Context, string) (net.Conn, error) { return near, nil }
	client := NewClient(ClientOptions{Hello: hello, Selector: SelectorOptions{FixedServer: "server"}, Dial: dial}, handler)
	done := make(chan struct{}, 2)
	go func() {
		defer func() { done <- struct{}{} }()
		_, content, err := ReadFirstFrame(far, time.Second)
		if err != nil {
			return
		}
		decoded, err := DecodeHello(content)
		if err != nil {
			return
		}
		_ = NewSession(countedConnection{far, written}, decoded, source, SessionOptions{Encoder: encoder}).Run(ctx)
	}()
	go func() {
		defer func() { done <- struct{}{} }()
		_ = client.Run(ctx)
	}()
	return written, func() {
		cancel()
		_ = near.Close()
		<-done
		<-done
	}
}

// After a restart of all nodes a server sends all workers to each of them: the bytes grow with both numbers.
func TestSession_Run_compressedSnapshotSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		plain := 0
		for index, item := range manyItems(2, manyWorkers) {
			source.commit(1, feed.Change{Index: uint64(index) + 1, Put: []feed.Item{item}})
			plain += itemBytes(item)
		}
		source.compact(1)
		handler := newRecorder()
		written, stop := serveOne(source, NewEncoder(), "edge-1", handler)
		defer stop()
		time.Sleep(StatusInterval / 2)
		synctest.Wait()
		expectItems(t, handler, 1, source)
		if *written > plain/3 {
			t.Errorf("%d bytes for %d workers of %d bytes", *written, manyWorkers, plain)
		}
	})
}

// reaches returns the index of the last encoded change of a shard.
func (e *Encoder) reaches(shard shards.ID) uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.changeFrames[shard].to
}

// Changes that are committed together are sent together, and encoded once for all readers.
func TestEncoder_sharedByReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(1)
		encoder := NewEncoder()
		var handlers []*recorder
		for number := range 20 {
			handlers = append(handlers, newRecorder())
			_, stop := serveOne(source, encoder, fmt.Sprintf("edge-%d", number), handlers[number])
			defer stop()
		}
		time.Sleep(time.Second)
		made := 0
		before := encoder.reaches(1)
		for index, item := range manyItems(3, 400) {
			source.commit(1, feed.Change{Index: uint64(index) + 1, Put: []feed.Item{item}})
			time.Sleep(time.Millisecond)
			synctest.Wait()
			if now := encoder.reaches(1); now != before {
				made, before = made+1, now
			}
		}
		time.Sleep(BatchInterval)
		synctest.Wait()
		for _, handler := range handlers {
			expectItems(t, handler, 1, source)
		}
		if most := int(400*time.Millisecond/BatchInterval) + 2; made > most {
			t.Errorf("encoded %d times, want at most %d", made, most)
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
			t.Fatalf("%d frames, %v", len(frames), err)
		}
		decoded, err := DecodeChanges(body(t, frames[0], KindChanges))
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	for _, wanted := range []Changes{
		{Shard: 1, Changes: []feed.Change{change(5, "a"), change(6, "b")}},
		{Shard: 1, Changes: []feed.Change{change(6, "b")}},
		{Shard: 2, Changes: []feed.Change{change(6, "c")}},
		{Shard: 1, Changes: []feed.Change{change(6, "b"), change(7, "d")}},
	} {
		got := decoded(wanted.Shard, wanted.Changes[0].Index-1, wanted.Changes...)
		if got.Shard != wanted.Shard || len(got.Changes) != len(wanted.Changes) || !reflect.DeepEqual(got.Changes[0].Put, wanted.Changes[0].Put) {
			t.Errorf("got %+v, want %+v", got, wanted)
		}
	}
}
