package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
)

const (
	helloLimit       = 2 * time.Second       // for the first frame of a connection
	acceptRetryAfter = 50 * time.Millisecond // after a failure of accept, such as too few descriptors
)

// proxyFront serves the feed to the proxy of this machine.
type proxyFront struct {
	listener net.Listener
	source   feedtransport.Source
	origin   time.Time       // of the grid of statuses
	whole    <-chan struct{} // closed once there is something to serve
	stopping <-chan struct{} // closed with the signal to stop

	cancel context.CancelFunc
	ctx    context.Context // of the sessions: it goes on after the signal to stop

	mu       sync.Mutex
	closed   bool
	sessions map[*feedtransport.Session]struct{}
	idle     chan struct{} // closed once closed is set and the last session has ended
}

func newProxyFront(
	ctx context.Context, port int, options Options, store *store, report func(topic string, body []byte),
) (*proxyFront, error) {
	listener, err := options.Listen(ctx, feedtransport.LoopbackAddress(port))
	if err != nil {
		return nil, err
	}
	front := &proxyFront{
		listener: listener,
		source:   proxySource{store: store, report: report},
		origin:   options.Origin,
		whole:    store.whole,
		stopping: ctx.Done(),
		sessions: make(map[*feedtransport.Session]struct{}),
		idle:     make(chan struct{}),
	}
	front.ctx, front.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return front, nil
}

// accept serves connections until the listener is closed.
func (f *proxyFront) accept() {
	for {
		connection, err := f.listener.Accept()
		if err == nil {
			go f.serve(connection)
			continue
		}
		if f.isClosed() {
			return
		}
		time.Sleep(acceptRetryAfter)
	}
}

func (f *proxyFront) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	kind, body, err := feedtransport.ReadFirstFrame(connection, helloLimit)
	if err != nil || kind != feedtransport.KindHello {
		return
	}
	hello, err := feedtransport.DecodeHello(body)
	if err != nil {
		return
	}
	if !f.awaitWhole() {
		return
	}
	options := feedtransport.SessionOptions{StatusInterval: feedtransport.LoopbackStatusInterval, Origin: f.origin}
	session := feedtransport.NewSession(connection, hello, f.source, options)
	if !f.add(session) {
		return
	}
	defer f.remove(session)
	_ = session.Run(f.ctx)
}

// awaitWhole waits until there is something to serve. It is false if the agent stops before.
func (f *proxyFront) awaitWhole() bool {
	select {
	case <-f.whole:
		return true
	case <-f.stopping:
		return false
	}
}

func (f *proxyFront) add(session *feedtransport.Session) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.sessions[session] = struct{}{}
	return true
}

func (f *proxyFront) remove(session *feedtransport.Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sessions, session)
	if f.closed && len(f.sessions) == 0 {
		close(f.idle)
	}
}

func (f *proxyFront) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// broadcast passes a report of the keeper on.
func (f *proxyFront) broadcast(report feedtransport.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for session := range f.sessions {
		session.Send(report.Topic, report.Body)
	}
}

// close takes no more connections.
func (f *proxyFront) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	_ = f.listener.Close()
	if len(f.sessions) == 0 {
		close(f.idle)
	}
}

// drain takes no more connections and returns once those that are open have ended, or after limit.
func (f *proxyFront) drain(limit time.Duration) {
	f.close()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.idle:
	case <-timer.C:
	}
	f.cancel()
}

// proxySource is the store together with the way that the proxy's reports take.
type proxySource struct {
	store  *store
	report func(topic string, body []byte)
}

func (s proxySource) Shards() []shards.ID { return s.store.Shards() }

func (s proxySource) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	return s.store.Since(shard, index)
}

func (s proxySource) Status() feedtransport.Status { return s.store.Status() }

func (s proxySource) Subscribe(wake chan<- struct{}) func() { return s.store.Subscribe(wake) }

func (s proxySource) OnReport(_ feedtransport.Hello, topic string, body []byte) {
	s.report(topic, body)
}
