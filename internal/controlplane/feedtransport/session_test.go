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

// servers connects a client to scripted sources by address, over pipes.
type servers struct {
	mu      sync.Mutex
	sources map[string]*scriptedSource
	hung    map[string]bool // a connection opens, and nothing is ever sent
}

func (s *servers) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	source, ok := s.sources[address]
	hung := s.hung[address]
	s.mu.Unlock()
	if !ok {
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	if hung {
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		return ours, nil
	}
	go func() {
		_, content, err := ReadFirstFrame(theirs, time.Second)
		if err != nil {
			return
		}
		hello, err := DecodeHello(content)
		if err != nil {
			return
		}
		_ = NewSession(theirs, hello, source, SessionOptions{}).Run(ctx)
	}()
	return ours, nil
}

func (s *servers) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func address(place int) string { return fmt.Sprintf("10.0.0.%d:%d", place, feedPort) }

// runClient runs a client of the given number of servers in the background until stop is called.
func runClient(reachable *servers, count int, handler Handler) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var seeds []string
	for place := 1; place <= count; place++ {
		seeds = append(seeds, address(place))
	}
	client := NewClient(ClientOptions{
		Hello:    Hello{Node: "edge-1", Role: RoleAgent},
		Selector: SelectorOptions{Node: "edge-1", Seeds: seeds, FeedPort: feedPort},
		Dial:     reachable.dial,
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

func put(index uint64, key, value string) feed.Change {
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
	for _, fault := range handler.faults {
		t.Error(fault)
	}
}

func TestClient_Run_receivesSnapshotChangesAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0, 1)
		source.commit(0, put(3, "route/a", "1"))
		source.commit(0, put(5, "route/b", "2"))
		source.compact(0)
		source.commit(1, put(2, "worker", "x"))
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		expectItems(t, handler, 0, source)
		expectItems(t, handler, 1, source)
		if handler.seen().snapshots != 1 || len(handler.seen().statuses) != 1 {
			t.Errorf("%d snapshots, %d statuses", handler.seen().snapshots, len(handler.seen().statuses))
		}

		time.Sleep(50 * time.Millisecond)
		source.commit(0, feed.Change{Index: 9, Delete: []string{"route/a"}})
		synctest.Wait()
		expectItems(t, handler, 0, source)
		if handler.seen().snapshots != 1 {
			t.Errorf("%d snapshots", handler.seen().snapshots)
		}
	})
}

func TestSession_Run_statusInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		for range 25 {
			before := len(handler.seen().statuses)
			time.Sleep(StatusInterval)
			synctest.Wait()
			if len(handler.seen().statuses) != before+1 {
				t.Fatalf("%d statuses in one interval", len(handler.seen().statuses)-before)
			}
		}
		if len(handler.seen().events) != 1 {
			t.Errorf("connections: %v", handler.seen().events)
		}
	})
}

func TestSession_Run_staleStatusIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		time.Sleep(StatusInterval / 4)
		source.setCurrent(false)
		time.Sleep(BatchInterval)
		synctest.Wait()
		if last := handler.seen().statuses[len(handler.seen().statuses)-1]; last.Current() {
			t.Errorf("the last status is current: %+v", last)
		}
	})
}

func TestSession_Run_batchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		time.Sleep(time.Second)
		const commits = 1000
		for index := range uint64(commits) {
			source.commit(0, put(index+1, fmt.Sprintf("key-%d", index%10), fmt.Sprint(index)))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(BatchInterval)
		synctest.Wait()
		expectItems(t, handler, 0, source)
		most := int(commits*time.Millisecond/BatchInterval) + 5
		if handler.seen().batches > most {
			t.Errorf("%d batches, want at most %d", handler.seen().batches, most)
		}
	})
}

func TestSession_Run_splitsLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		for index := range uint64(300) {
			source.commit(0, put(index+1, fmt.Sprintf("key-%d", index), string(make([]byte, 2000))))
		}
		source.compact(0)
		handler := newRecorder()
		stop := runClient(&servers{sources: map[string]*scriptedSource{address(1): source}}, 1, handler)
		defer stop()
		synctest.Wait()
		expectItems(t, handler, 0, source)
		if handler.seen().snapshots != 1 {
			t.Errorf("%d snapshots", handler.seen().snapshots)
		}
	})
}

func TestClient_Run_leavesSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		source.commit(0, put(1, "k", "v"))
		reachable := &servers{sources: make(map[string]*scriptedSource), hung: make(map[string]bool)}
		for place := 1; place <= 3; place++ {
			reachable.sources[address(place)] = source
			reachable.hung[address(place)] = true
		}
		handler := newRecorder()
		stop := runClient(reachable, 3, handler)
		defer stop()
		synctest.Wait()
		hung := handler.seen().events[0]
		reachable.set(func() { reachable.hung = map[string]bool{hung: true} })
		time.Sleep(ReceiveTimeout + 2*minRetryBackoff)
		synctest.Wait()
		expectItems(t, handler, 0, source)
		want := []string{hung, ErrReceiveTimeout.Error()}
		if len(handler.seen().events) != 3 || !reflect.DeepEqual(handler.seen().events[:2], want) {
			t.Errorf("connections: %v", handler.seen().events)
		}
	})
}

func TestClient_Run_leavesStaleServerWithoutRegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := newScriptedSource(0), newScriptedSource(0)
		reachable := &servers{sources: map[string]*scriptedSource{address(1): ahead, address(2): ahead}}
		handler := newRecorder()
		ahead.commit(0, put(1, "k", "old"))
		behind.commit(0, put(1, "k", "old"))
		behind.compact(0)
		ahead.commit(0, put(2, "k", "new"))
		stop := runClient(reachable, 2, handler)
		defer stop()
		time.Sleep(time.Second)
		synctest.Wait()
		used := handler.seen().events[0]
		reachable.set(func() { reachable.sources[used] = behind })
		ahead.setCurrent(false)
		behind.setCurrent(false)
		time.Sleep(3 * time.Second)
		ahead.setCurrent(true)
		ahead.commit(0, put(3, "k", "newest"))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		expectItems(t, handler, 0, ahead)
	})
}

func TestSession_Run_reportsBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		ours, theirs := net.Pipe()
		session := NewSession(theirs, sampleHello(), source, SessionOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- session.Run(ctx) }()
		handler := newRecorder()
		client := NewClient(ClientOptions{
			Selector: SelectorOptions{FixedServer: "agent"},
			Dial:     func(context.Context, string) (net.Conn, error) { return ours, nil },
		}, handler)
		client.Report("budget", []byte("1"))
		session.Send("finding", []byte("2"))
		client.selector.Next(time.Now())
		client.selector.Connected(time.Now())
		go func() { _ = client.receive(ours) }()
		synctest.Wait()
		frames, err := appendReports(nil, client.outbox.drain())
		if err != nil {
			t.Fatal(err)
		}
		if err := writeAll(ours, frames, WriteTimeout); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		expectEqual(t, source.reports, []Report{{Topic: "budget", Body: []byte("1")}}, nil)
		expectEqual(t, handler.seen().reports, []Report{{Topic: "finding", Body: []byte("2")}}, nil)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("the session ended with %v", err)
		}
	})
}

func TestSession_Run_writeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newScriptedSource(0)
		source.commit(0, put(1, "k", "v"))
		_, theirs := net.Pipe()
		begun := time.Now()
		err := NewSession(theirs, sampleHello(), source, SessionOptions{}).Run(t.Context())
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || time.Since(begun) != WriteTimeout {
			t.Errorf("after %v: %v", time.Since(begun), err)
		}
		if len(source.wakes) != 0 {
			t.Error("the session is still subscribed")
		}
	})
}

func TestSession_Run_endsWithReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, ours, 1)
			_ = ours.Close()
		}()
		session := NewSession(theirs, sampleHello(), newScriptedSource(0), SessionOptions{})
		if err := session.Run(t.Context()); err == nil {
			t.Error("no reason")
		}
	})
}
