package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/membership"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/bootconfig"
)

const (
	serverIP    = "127.0.0.2"
	agentIP     = "127.0.0.3"
	testTimeout = 20 * time.Second // long enough for a busy machine
)

// fakeServer is a control plane server that serves a store of the agent's own type.
type fakeServer struct {
	*store
	listener net.Listener
	reports  chan feedtransport.Report

	mu       sync.Mutex
	sessions []*feedtransport.Session
}

func startServer(t *testing.T) (server *fakeServer, port int) {
	t.Helper()
	listener, port := listenWithFreePorts(t)
	server = &fakeServer{store: newStore(), listener: listener, reports: make(chan feedtransport.Report, 10)}
	go server.serve(t.Context())
	t.Cleanup(func() { _ = listener.Close() })
	return server, port
}

// listenWithFreePorts opens the server's listener on a port that is followed by free ports for the agent. The ports are below
// the range from which the system assigns ports to outgoing connections.
func listenWithFreePorts(t *testing.T) (listener net.Listener, port int) {
	t.Helper()
	const lowest, count, attempts = 20000, 10000, 100
	for range attempts {
		port = lowest + rand.IntN(count)
		listener, err := feedtransport.Listen(t.Context(), net.JoinHostPort(serverIP, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		if portsAreFree(t, port) {
			return listener, port
		}
		_ = listener.Close()
	}
	t.Fatalf("no consecutive free ports after %d attempts", attempts)
	return nil, 0
}

func portsAreFree(t *testing.T, port int) bool {
	t.Helper()
	listener, err := feedtransport.Listen(t.Context(), feedtransport.LoopbackAddress(port+proxyPortOffset))
	if err != nil {
		return false
	}
	_ = listener.Close()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(agentIP), Port: port + probePortOffset})
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

func (s *fakeServer) serve(ctx context.Context) {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, content, err := feedtransport.ReadFirstFrame(connection, time.Second)
		if err != nil {
			continue
		}
		hello, err := feedtransport.DecodeHello(content)
		if err != nil {
			continue
		}
		session := feedtransport.NewSession(connection, hello, s, feedtransport.SessionOptions{})
		s.mu.Lock()
		s.sessions = append(s.sessions, session)
		s.mu.Unlock()
		go func() { _ = session.Run(ctx) }()
	}
}

func (s *fakeServer) OnReport(_ feedtransport.Hello, topic string, body []byte) {
	s.reports <- feedtransport.Report{Topic: topic, Body: body}
}

func (s *fakeServer) commit(t *testing.T, shard shards.ID, index uint64, key, value string) {
	t.Helper()
	change := feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(value)}}}
	if err := s.applyChange(shard, change); err != nil {
		t.Fatal(err)
	}
	status := s.Status().Shards
	for i := range status {
		status[i].Current = true
	}
	s.setCurrent(status)
	s.wakeAll()
}

func (s *fakeServer) broadcast(topic string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.Send(topic, body)
	}
}

// fakeProxy is a feed handler that records each call as an event.
type fakeProxy struct{ events chan string }

func (p fakeProxy) Snapshot(_ shards.ID, snapshot feed.Snapshot) {
	for _, item := range snapshot.Items {
		p.events <- item.Key + "=" + string(item.Value)
	}
}

func (p fakeProxy) Change(_ shards.ID, change feed.Change) {
	p.Snapshot(0, feed.Snapshot{Items: change.Put})
}

func (p fakeProxy) Status(status feedtransport.Status) {
	p.events <- "current " + strconv.FormatBool(status.Current())
}

func (p fakeProxy) Connected(string) { p.events <- "connected" }

func (p fakeProxy) Disconnected(error) { p.events <- "disconnected" }

func (p fakeProxy) Report(report feedtransport.Report) { p.events <- "report " + report.Topic }

// awaitEvent waits for an event and ignores all others.
func (p fakeProxy) awaitEvent(t *testing.T, wanted string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case event := <-p.events:
			if event == wanted {
				return
			}
		case <-timeout:
			t.Fatalf("no event %q within %v", wanted, testTimeout)
		}
	}
}

func agentSettings(feedPort int) bootconfig.Settings {
	return bootconfig.Settings{
		NodeName:  "edge-1",
		IP:        agentIP,
		Zone:      "a",
		PortRange: [2]int{feedPort, feedPort + portsNeeded - 1},
		Seeds:     []string{serverIP + ":1"},
		Limits:    bootconfig.Limits{MemoryMb: 200},
		Bounds:    bootconfig.Bounds{GraceS: 8},
	}
}

// startAgent runs an agent until stop is called. done receives the result of Run.
func startAgent(t *testing.T, config bootconfig.Settings) (stop context.CancelFunc, done chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- Run(ctx, config, nil, zap.NewNop()) }()
	t.Cleanup(cancel)
	return cancel, done
}

func startProxy(t *testing.T, agentPort int) (client *feedtransport.Client, proxy fakeProxy, stop func()) {
	t.Helper()
	proxy = fakeProxy{events: make(chan string, 100)}
	client = feedtransport.NewProxyClient(feedtransport.Hello{Node: "edge-1"}, agentPort, proxy)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return client, proxy, stop
}

func awaitExit(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the agent returned the error %v, want nil", err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the agent did not return within %v after it was stopped", testTimeout)
	}
}

func TestRunWith_forwardsCommittedChanges(t *testing.T) {
	server, port := startServer(t)
	server.commit(t, 0, 3, "route/a", "1")
	stop, done := startAgent(t, agentSettings(port))
	client, proxy, stopProxy := startProxy(t, port+proxyPortOffset)
	proxy.awaitEvent(t, "route/a=1")
	proxy.awaitEvent(t, "current true")

	server.commit(t, 0, 5, "route/b", "2")
	proxy.awaitEvent(t, "route/b=2")
	server.broadcast("finding", nil)
	proxy.awaitEvent(t, "report finding")
	client.Report("budget", []byte("x"))
	select {
	case report := <-server.reports:
		if report.Topic != "budget" || string(report.Body) != "x" {
			t.Errorf("the server received the report %+v, want topic \"budget\" with body \"x\"", report)
		}
	case <-time.After(testTimeout):
		t.Errorf("the proxy's report did not reach the server within %v", testTimeout)
	}

	stop()
	proxy.awaitEvent(t, "current false")
	select {
	case err := <-done:
		t.Errorf("the agent returned while its proxy was still connected: %v", err)
	default:
	}
	stopProxy()
	awaitExit(t, done)
}

func TestRunWith_servesNothingBeforeReady(t *testing.T) {
	server, port := startServer(t)
	_, _ = startAgent(t, agentSettings(port))
	_, proxy, _ := startProxy(t, port+proxyPortOffset)
	proxy.awaitEvent(t, "connected")
	server.commit(t, 0, 3, "route/a", "1")
	server.commit(t, 1, 4, "worker", "2")
	var seen []string
	for len(seen) == 0 || seen[len(seen)-1] != "current true" {
		select {
		case event := <-proxy.events:
			seen = append(seen, event)
		case <-time.After(testTimeout):
			t.Fatalf("no further event within %v; the proxy received %v, want a current status at the end", testTimeout, seen)
		}
	}
	want := []string{"route/a=1", "worker=2", "current true"}
	if !slices.Equal(seen, want) {
		t.Errorf("the proxy received %v, want %v", seen, want)
	}
}

func TestFeedHandler_Status_servesStaleConfigurationAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		handler := &feedHandler{store: store, log: zap.NewNop()}
		handler.Snapshot(shards.ConfigurationShard, feed.Snapshot{Index: 7})
		handler.Status(feedtransport.Status{Shards: []feedtransport.ShardStatus{{Shard: shards.ConfigurationShard}}})
		time.Sleep(staleStateDelay - 1)
		synctest.Wait()
		select {
		case <-store.ready:
			t.Error("the store is ready before staleStateDelay, within which a current server might still answer")
		default:
		}
		time.Sleep(time.Nanosecond)
		<-store.ready
	})
}

func TestFeedHandler_Status_servesStaleStateAfterMaxDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		handler := &feedHandler{store: store, log: zap.NewNop()}
		notCurrent := feedtransport.Status{Shards: []feedtransport.ShardStatus{{Shard: 0}}}
		handler.Status(notCurrent)
		time.Sleep(maxReadyDelay - 1)
		handler.Status(notCurrent)
		select {
		case <-store.ready:
			t.Error("the store is ready before maxReadyDelay without a configuration or a current status")
		default:
		}
		time.Sleep(time.Nanosecond)
		handler.Status(notCurrent)
		<-store.ready
	})
}

func TestRunWith_exitsImmediatelyWithoutProxy(t *testing.T) {
	_, port := startServer(t)
	stop, done := startAgent(t, agentSettings(port))
	stop()
	awaitExit(t, done)
}

func TestRunWith_portRangeTooShort(t *testing.T) {
	config := agentSettings(7000)
	config.PortRange[1] = 7001
	if err := Run(t.Context(), config, nil, zap.NewNop()); !errors.Is(err, ErrPortRange) {
		t.Errorf("Run with the port range %v: got error %v, want ErrPortRange", config.PortRange, err)
	}
}

func TestProxyServer_drain_closesSessionsAfterTimeout(t *testing.T) {
	store := newStore()
	store.markReady()
	server, err := newProxyServer(t.Context(), 0, Options{}.withDefaults(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	go server.accept()
	_, proxy, _ := startProxy(t, server.listener.Addr().(*net.TCPAddr).Port)
	proxy.awaitEvent(t, "connected")
	proxy.awaitEvent(t, "current false")
	server.drain(time.Millisecond)
	proxy.awaitEvent(t, "disconnected")
}

func TestStartProbing_answersPing(t *testing.T) {
	ips := []string{"127.0.0.3", "127.0.0.4"}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ips[0])})
	if err != nil {
		t.Fatal(err)
	}
	port := socket.LocalAddr().(*net.UDPAddr).Port
	_ = socket.Close()
	stop, err := startProbing(t.Context(), ips[0], port, membership.Options{}, newStore(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	peer, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ips[1])}, &net.UDPAddr{IP: net.ParseIP(ips[0]), Port: port})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	ping := membership.Packet{Kind: membership.Ping, Sequence: 42}
	if _, err := peer.Write(ping.Encode(nil)); err != nil {
		t.Fatal(err)
	}
	reply := make([]byte, maxPacketBytes)
	_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
	count, err := peer.Read(reply)
	if err != nil {
		t.Fatal(err)
	}
	packet, err := membership.DecodePacket(reply[:count])
	if err != nil || packet.Kind != membership.Ack || packet.Sequence != ping.Sequence {
		t.Errorf("reply to the ping: got %+v, error %v; want an Ack of sequence %d", packet, err, ping.Sequence)
	}
}
