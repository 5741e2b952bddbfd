package feedtransport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// serverNetwork connects a client, over pipes, to the scripted sources that serve its addresses.
type serverNetwork struct {
	mu           sync.Mutex
	sources      map[string]*scriptedSource
	unresponsive map[string]bool // servers that accept connections and send nothing
}

func (s *serverNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	source, ok := s.sources[address]
	unresponsive := s.unresponsive[address]
	s.mu.Unlock()
	if !ok {
		return nil, errors.New("refused")
	}
	clientEnd, serverEnd := net.Pipe()
	if unresponsive {
		go func() { _, _ = io.Copy(io.Discard, serverEnd) }()
		return clientEnd, nil
	}
	go func() {
		_, content, err := ReadFirstFrame(serverEnd, time.Second)
		if err != nil {
			return
		}
		hello, err := DecodeHello(content)
		if err != nil {
			return
		}
		_ = NewSession(serverEnd, hello, source, SessionOptions{}).Run(ctx)
	}()
	return clientEnd, nil
}

func (s *serverNetwork) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func serverAddress(number int) string { return fmt.Sprintf("10.0.0.%d:%d", number, feedPort) }

// runClient runs a client whose seeds are count servers of network in the background, until stop is called.
func runClient(network *serverNetwork, count int, handler Handler) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var seeds []string
	for number := 1; number <= count; number++ {
		seeds = append(seeds, serverAddress(number))
	}
	client := NewClient(ClientOptions{
		Hello:    Hello{Node: "edge-1", Role: RoleAgent},
		Selector: SelectorOptions{Node: "edge-1", Seeds: seeds, FeedPort: feedPort},
		Dial:     network.dial,
	}, handler)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
		synctest.Wait()
	}
}

func putChange(index uint64, key, value string) feed.Change {
	return feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(value)}}}
}

func expectItems(t *testing.T, handler *recorder, shard shards.ID, source *scriptedSource) {
	t.Helper()
	handler.mu.Lock()
	defer handler.mu.Unlock()
	want := itemsOf(source.logs[shard])
	if len(want) > 0 && !reflect.DeepEqual(handler.items[shard], want) {
		t.Errorf("shard %d: got %v, want %v", shard, handler.items[shard], want)
	}
	for _, violation := range handler.violations {
		t.Errorf("violation recorded by the handler: %s", violation)
	}
}

func TestClient_Run_receivesSnapshotChangesAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0, 1)
		source.commit(0, putChange(3, "route/a", "1"))
		source.commit(0, putChange(5, "route/b", "2"))
		source.compact(0)
		source.commit(1, putChange(2, "worker", "x"))
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		expectItems(t, handler, 0, source)
		expectItems(t, handler, 1, source)
		if handler.state().snapshots != 1 || len(handler.state().statuses) != 1 {
			t.Errorf("got %d snapshots and %d statuses, want 1 of each", handler.state().snapshots, len(handler.state().statuses))
		}

		time.Sleep(50 * time.Millisecond)
		source.commit(0, feed.Change{Index: 9, Delete: []string{"route/a"}})
		synctest.Wait()
		expectItems(t, handler, 0, source)
		if handler.state().snapshots != 1 {
			t.Errorf("got %d snapshots after a further change, want 1 as before", handler.state().snapshots)
		}
	})
}

func TestSession_Run_statusInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		for range 25 {
			before := len(handler.state().statuses)
			time.Sleep(StatusInterval)
			synctest.Wait()
			if len(handler.state().statuses) != before+1 {
				t.Fatalf("got %d statuses in one StatusInterval, want 1", len(handler.state().statuses)-before)
			}
		}
		if len(handler.state().connectionEvents) != 1 {
			t.Errorf("connection events: got %v, want a single connection", handler.state().connectionEvents)
		}
	})
}

func TestSession_Run_staleStatusIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		time.Sleep(StatusInterval / 4)
		source.setCurrent(false)
		time.Sleep(BatchInterval)
		synctest.Wait()
		if last := handler.state().statuses[len(handler.state().statuses)-1]; last.Current() {
			t.Errorf("the last status is %+v, want it not current", last)
		}
	})
}

func TestSession_Run_batchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		time.Sleep(time.Second)
		const commits = 1000
		for index := range uint64(commits) {
			source.commit(0, putChange(index+1, fmt.Sprintf("key-%d", index%10), fmt.Sprint(index)))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(BatchInterval)
		synctest.Wait()
		expectItems(t, handler, 0, source)
		maxBatches := int(commits*time.Millisecond/BatchInterval) + 5
		if handler.state().batches > maxBatches {
			t.Errorf("%d changes were sent in %d batches, want at most %d", commits, handler.state().batches, maxBatches)
		}
	})
}

func TestSession_Run_splitsLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		for index := range uint64(300) {
			source.commit(0, putChange(index+1, fmt.Sprintf("key-%d", index), string(make([]byte, 2000))))
		}
		source.compact(0)
		handler := newRecorder()
		stop := runClient(&serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		expectItems(t, handler, 0, source)
		if handler.state().snapshots != 1 {
			t.Errorf("got %d snapshots, want 1", handler.state().snapshots)
		}
	})
}

func TestClient_Run_leavesSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		source.commit(0, putChange(1, "k", "v"))
		network := &serverNetwork{sources: make(map[string]*scriptedSource), unresponsive: make(map[string]bool)}
		for number := 1; number <= 3; number++ {
			network.sources[serverAddress(number)] = source
			network.unresponsive[serverAddress(number)] = true
		}
		handler := newRecorder()
		stop := runClient(network, 3, handler)
		defer stop()
		synctest.Wait()
		unresponsive := handler.state().connectionEvents[0]
		network.update(func() { network.unresponsive = map[string]bool{unresponsive: true} })
		time.Sleep(ReceiveTimeout + 2*minRetryBackoff)
		synctest.Wait()
		expectItems(t, handler, 0, source)
		want := []string{unresponsive, ErrReceiveTimeout.Error()}
		if len(handler.state().connectionEvents) != 3 || !reflect.DeepEqual(handler.state().connectionEvents[:2], want) {
			t.Errorf("connection events: got %v, want %v and one further connection", handler.state().connectionEvents, want)
		}
	})
}

func TestClient_Run_leavesStaleServerWithoutRegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := newScriptedSource(0), newScriptedSource(0)
		network := &serverNetwork{sources: map[string]*scriptedSource{serverAddress(1): ahead, serverAddress(2): ahead}}
		handler := newRecorder()
		ahead.commit(0, putChange(1, "k", "old"))
		behind.commit(0, putChange(1, "k", "old"))
		behind.compact(0)
		ahead.commit(0, putChange(2, "k", "new"))
		stop := runClient(network, 2, handler)
		defer stop()
		time.Sleep(time.Second)
		synctest.Wait()
		connectedTo := handler.state().connectionEvents[0]
		network.update(func() { network.sources[connectedTo] = behind })
		ahead.setCurrent(false)
		behind.setCurrent(false)
		time.Sleep(3 * time.Second)
		ahead.setCurrent(true)
		ahead.commit(0, putChange(3, "k", "newest"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		expectItems(t, handler, 0, ahead)
	})
}

func TestSession_Run_reportsBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		clientEnd, serverEnd := net.Pipe()
		session := NewSession(serverEnd, sampleHello(), source, SessionOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- session.Run(ctx) }()
		handler := newRecorder()
		client := NewClient(ClientOptions{
			Selector: SelectorOptions{FixedServer: "agent"},
			Dial:     func(context.Context, string) (net.Conn, error) { return clientEnd, nil },
		}, handler)
		client.Report("budget", []byte("1"))
		session.Send("finding", []byte("2"))
		client.selector.Next(time.Now())
		client.selector.Connected(time.Now())
		go func() { _ = client.receive(clientEnd) }()
		synctest.Wait()
		frames, err := appendReports(nil, client.outbox.drain())
		if err != nil {
			t.Fatal(err)
		}
		if err := writeAll(clientEnd, frames, WriteTimeout); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		expectEqual(t, source.reports, []Report{{Topic: "budget", Body: []byte("1")}}, nil)
		expectEqual(t, handler.state().reports, []Report{{Topic: "finding", Body: []byte("2")}}, nil)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("the session returned %v, want context.Canceled", err)
		}
	})
}

func TestSession_Run_writeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		source.commit(0, putChange(1, "k", "v"))
		_, serverEnd := net.Pipe()
		startedAt := time.Now()
		err := NewSession(serverEnd, sampleHello(), source, SessionOptions{}).Run(t.Context())
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || time.Since(startedAt) != WriteTimeout {
			t.Errorf("the session returned after %v: %v; want a timeout after %v", time.Since(startedAt), err, WriteTimeout)
		}
		if len(source.subscribers) != 0 {
			t.Error("the session is still subscribed to its source after it has returned")
		}
	})
}

func TestSession_Run_endsWhenReaderDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, clientEnd, 1)
			_ = clientEnd.Close()
		}()
		session := NewSession(serverEnd, sampleHello(), newScriptedSource(0), SessionOptions{})
		if err := session.Run(t.Context()); err == nil {
			t.Error("the session returned nil after its reader disconnected, want an error")
		}
	})
}
