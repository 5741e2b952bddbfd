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
	helloTimeout     = 2 * time.Second       // for the first frame of a connection
	acceptRetryAfter = 50 * time.Millisecond // after a failure of accept, such as too few descriptors
)

// proxyServer serves the feed to the proxy of this machine.
type proxyServer struct {
	listener net.Listener
	source   feedtransport.Source
	origin   time.Time       // of the grid of statuses
	ready    <-chan struct{} // closed once there is something to serve
	stopping <-chan struct{} // closed with the signal to stop

	cancel context.CancelFunc
	ctx    context.Context // of the sessions: it goes on after the signal to stop

	mu       sync.Mutex
	closed   bool
	sessions map[*feedtransport.Session]struct{}
	idle     chan struct{} // closed once closed is set and the last session has ended
}

func newProxyServer(
	ctx context.Context, port int, options Options, store *store, report func(topic string, body []byte),
) (*proxyServer, error) {
	listener, err := options.Listen(ctx, feedtransport.LoopbackAddress(port))
	if err != nil {
		return nil, err
	}
	proxies := &proxyServer{
		listener: listener,
		source:   proxySource{store: store, report: report},
		origin:   options.Origin,
		ready:    store.ready,
		stopping: ctx.Done(),
		sessions: make(map[*feedtransport.Session]struct{}),
		idle:     make(chan struct{}),
	}
	proxies.ctx, proxies.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return proxies, nil
}

// accept serves connections until the listener is closed.
func (s *proxyServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err == nil {
			go s.serve(connection)
			continue
		}
		if s.isClosed() {
			return
		}
		time.Sleep(acceptRetryAfter)
	}
}

func (s *proxyServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	kind, body, err := feedtransport.ReadFirstFrame(connection, helloTimeout)
	if err != nil || kind != feedtransport.KindHello {
		return
	}
	hello, err := feedtransport.DecodeHello(body)
	if err != nil {
		return
	}
	if !s.awaitReady() {
		return
	}
	options := feedtransport.SessionOptions{StatusInterval: feedtransport.LoopbackStatusInterval, Origin: s.origin}
	session := feedtransport.NewSession(connection, hello, s.source, options)
	if !s.add(session) {
		return
	}
	defer s.remove(session)
	_ = session.Run(s.ctx)
}

// awaitReady waits until there is something to serve. It is false if the agent stops before.
func (s *proxyServer) awaitReady() bool {
	select {
	case <-s.ready:
		return true
	case <-s.stopping:
		return false
	}
}

func (s *proxyServer) add(session *feedtransport.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *proxyServer) remove(session *feedtransport.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	if s.closed && len(s.sessions) == 0 {
		close(s.idle)
	}
}

func (s *proxyServer) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// broadcast passes a report of the keeper on.
func (s *proxyServer) broadcast(report feedtransport.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Send(report.Topic, report.Body)
	}
}

// close takes no more connections.
func (s *proxyServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	_ = s.listener.Close()
	if len(s.sessions) == 0 {
		close(s.idle)
	}
}

// drain takes no more connections and returns once those that are open have ended, or after limit.
func (s *proxyServer) drain(timeout time.Duration) {
	s.close()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.idle:
	case <-timer.C:
	}
	s.cancel()
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
