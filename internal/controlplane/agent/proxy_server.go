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
	helloTimeout     = 2 * time.Second       // time within which the first frame of a connection must arrive
	acceptRetryAfter = 50 * time.Millisecond // delay after a failed accept, for example for lack of file descriptors
)

// proxyServer serves the feed to the proxy on this machine. One goroutine runs accept, and each session has a goroutine of its
// own, which ends with the connection or when drain cancels it.
type proxyServer struct {
	listener net.Listener
	source   feedtransport.Source
	origin   time.Time       // see feedtransport.SessionOptions
	ready    <-chan struct{} // closed once the store is ready to be served
	stopping <-chan struct{} // closed when the agent is asked to stop

	cancel context.CancelFunc
	ctx    context.Context // of the sessions, which continue after stopping is closed

	mu       sync.Mutex // guards closed and sessions
	closed   bool
	sessions map[*feedtransport.Session]struct{}
	drained  chan struct{} // closed once no connections are accepted and the last session has ended
}

// newProxyServer opens the loopback port. It passes the proxy's reports to report.
func newProxyServer(
	ctx context.Context, port int, options Options, store *store, report func(topic string, body []byte),
) (*proxyServer, error) {
	listener, err := options.Listen(ctx, feedtransport.LoopbackAddress(port))
	if err != nil {
		return nil, err
	}
	server := &proxyServer{
		listener: listener,
		source:   proxySource{store: store, report: report},
		origin:   options.IntervalOrigin,
		ready:    store.ready,
		stopping: ctx.Done(),
		sessions: make(map[*feedtransport.Session]struct{}),
		drained:  make(chan struct{}),
	}
	server.ctx, server.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return server, nil
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

// serve serves one connection until it ends.
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
	options := feedtransport.SessionOptions{StatusInterval: feedtransport.LoopbackStatusInterval, IntervalOrigin: s.origin}
	session := feedtransport.NewSession(connection, hello, s.source, options)
	if !s.add(session) {
		return
	}
	defer s.remove(session)
	_ = session.Run(s.ctx)
}

// awaitReady waits until the store is ready to be served. It returns false if the agent is asked to stop first.
func (s *proxyServer) awaitReady() bool {
	select {
	case <-s.ready:
		return true
	case <-s.stopping:
		return false
	}
}

// add registers an open session. It returns false if close has been called.
func (s *proxyServer) add(session *feedtransport.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

// remove unregisters a session that has ended.
func (s *proxyServer) remove(session *feedtransport.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	if s.closed && len(s.sessions) == 0 {
		close(s.drained)
	}
}

// sessionCount returns the number of open sessions.
func (s *proxyServer) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// isClosed reports whether close was called.
func (s *proxyServer) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// broadcast forwards a report of the control plane server to all sessions.
func (s *proxyServer) broadcast(report feedtransport.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Send(report.Topic, report.Body)
	}
}

// close stops accepting connections.
func (s *proxyServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	_ = s.listener.Close()
	if len(s.sessions) == 0 {
		close(s.drained)
	}
}

// drain stops accepting connections, waits up to timeout for the open sessions to end, and cancels those that remain.
func (s *proxyServer) drain(timeout time.Duration) {
	s.close()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.drained:
	case <-timer.C:
	}
	s.cancel()
}

// proxySource is the feedtransport.Source of the proxy's sessions. It serves the store and passes reports to a function.
type proxySource struct {
	store  *store
	report func(topic string, body []byte)
}

// Shards implements feedtransport.Source.
func (s proxySource) Shards() []shards.ID { return s.store.Shards() }

// Since implements feedtransport.Source.
func (s proxySource) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	return s.store.Since(shard, index)
}

// Status implements feedtransport.Source.
func (s proxySource) Status() feedtransport.Status { return s.store.Status() }

// Subscribe implements feedtransport.Source.
func (s proxySource) Subscribe(wake chan<- struct{}) func() { return s.store.Subscribe(wake) }

// OnReport implements feedtransport.Source.
func (s proxySource) OnReport(_ feedtransport.Hello, topic string, body []byte) {
	s.report(topic, body)
}
