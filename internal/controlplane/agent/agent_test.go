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
	serverIP  = "127.0.0.2"
	agentIP   = "127.0.0.3"
	waitLimit = 20 * time.Second // generous: the machine may be busy
)

// fakeServer serves a store of the agent's own type as a control plane server would.
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

// listenWithFreePorts opens the server's listener on a port after which the agent's are free. Ports come
// from below those that the system gives to outgoing connections.
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
	t.Fatal("no free ports")
	return nil, 0
}

func portsAreFree(t *testing.T, port int) bool {
	t.Helper()
	forProxy, err := feedtransport.Listen(t.Context(), feedtransport.LoopbackAddress(port+proxyPortOffset))
	if err != nil {
		return false
	}
	_ = forProxy.Close()
	forProbes, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(agentIP), Port: port + probePortOffset})
	if err != nil {
		return false
	}
	_ = forProbes.Close()
	return true
}

func (k *fakeServer) serve(ctx context.Context) {
	for {
		connection, err := k.listener.Accept()
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
		session := feedtransport.NewSession(connection, hello, k, feedtransport.SessionOptions{})
		k.mu.Lock()
		k.sessions = append(k.sessions, session)
		k.mu.Unlock()
		go func() { _ = session.Run(ctx) }()
	}
}

func (k *fakeServer) OnReport(_ feedtransport.Hello, topic string, body []byte) {
	k.reports <- feedtransport.Report{Topic: topic, Body: body}
}

func (k *fakeServer) commit(t *testing.T, shard shards.ID, index uint64, key, value string) {
	t.Helper()
	change := feed.Change{Index: index, Put: []feed.Item{{Key: key, Value: []byte(value)}}}
	if err := k.change(shard, change); err != nil {
		t.Fatal(err)
	}
	status := k.Status().Shards
	for place := range status {
		status[place].Current = true
	}
	k.setCurrent(status)
	k.wakeAll()
}

func (k *fakeServer) broadcast(topic string, body []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, session := range k.sessions {
		session.Send(topic, body)
	}
}

// fakeProxy passes to a test what it receives.
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

// expect waits for an event and ignores others.
func (p fakeProxy) expect(t *testing.T, wanted string) {
	t.Helper()
	limit := time.After(waitLimit)
	for {
		select {
		case event := <-p.events:
			if event == wanted {
				return
			}
		case <-limit:
			t.Fatalf("%q did not come", wanted)
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

// startAgent runs an agent until stop is called; done receives its result.
func startAgent(t *testing.T, config bootconfig.Settings) (stop context.CancelFunc, done chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- Run(ctx, config, zap.NewNop()) }()
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

func awaitEnd(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitLimit):
		t.Fatal("the agent did not end")
	}
}

func TestRunWith_forwardsCommittedChanges(t *testing.T) {
	server, port := startServer(t)
	server.commit(t, 0, 3, "route/a", "1")
	stop, done := startAgent(t, agentSettings(port))
	client, proxy, stopProxy := startProxy(t, port+proxyPortOffset)
	proxy.expect(t, "route/a=1")
	proxy.expect(t, "current true")

	server.commit(t, 0, 5, "route/b", "2")
	proxy.expect(t, "route/b=2")
	server.broadcast("finding", nil)
	proxy.expect(t, "report finding")
	client.Report("budget", []byte("x"))
	select {
	case report := <-server.reports:
		if report.Topic != "budget" || string(report.Body) != "x" {
			t.Errorf("got %+v", report)
		}
	case <-time.After(waitLimit):
		t.Error("the report did not arrive")
	}

	stop()
	proxy.expect(t, "current false")
	select {
	case err := <-done:
		t.Errorf("the agent ended before its proxy: %v", err)
	default:
	}
	stopProxy()
	awaitEnd(t, done)
}

func TestRunWith_servesNothingBeforeReady(t *testing.T) {
	server, port := startServer(t)
	_, _ = startAgent(t, agentSettings(port))
	_, proxy, _ := startProxy(t, port+proxyPortOffset)
	proxy.expect(t, "connected")
	server.commit(t, 0, 3, "route/a", "1")
	server.commit(t, 1, 4, "worker", "2")
	var seen []string
	for len(seen) == 0 || seen[len(seen)-1] != "current true" {
		select {
		case event := <-proxy.events:
			seen = append(seen, event)
		case <-time.After(waitLimit):
			t.Fatalf("saw %v", seen)
		}
	}
	want := []string{"route/a=1", "worker=2", "current true"}
	if !slices.Equal(seen, want) {
		t.Errorf("saw %v, want %v", seen, want)
	}
}

func TestRunWith_servesStaleConfigurationSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		from := &feedHandler{store: store, log: zap.NewNop()}
		from.Snapshot(shards.ConfigurationShard, feed.Snapshot{Index: 7})
		from.Status(feedtransport.Status{Shards: []feedtransport.ShardStatus{{Shard: shards.ConfigurationShard}}})
		time.Sleep(staleStateDelay - 1)
		synctest.Wait()
		select {
		case <-store.ready:
			t.Error("too early: a current server may answer meanwhile")
		default:
		}
		time.Sleep(time.Nanosecond)
		<-store.ready
	})
}

func TestRunWith_servesStaleStateAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		from := &feedHandler{store: store, log: zap.NewNop()}
		notCurrent := feedtransport.Status{Shards: []feedtransport.ShardStatus{{Shard: 0}}}
		from.Status(notCurrent)
		time.Sleep(maxReadyDelay - 1)
		from.Status(notCurrent)
		select {
		case <-store.ready:
			t.Error("too early")
		default:
		}
		time.Sleep(time.Nanosecond)
		from.Status(notCurrent)
		<-store.ready
	})
}

func TestRunWith_endsAtOnceWithoutProxy(t *testing.T) {
	_, port := startServer(t)
	stop, done := startAgent(t, agentSettings(port))
	stop()
	awaitEnd(t, done)
}

func TestRunWith_portRangeTooShort(t *testing.T) {
	config := agentSettings(7000)
	config.PortRange[1] = 7001
	if err := Run(t.Context(), config, zap.NewNop()); !errors.Is(err, ErrPorts) {
		t.Errorf("got %v", err)
	}
}

func TestRunWith_drainTimeout(t *testing.T) {
	store := newStore()
	store.markReady()
	proxies, err := newProxyServer(t.Context(), 0, Options{}.withDefaults(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	go proxies.accept()
	_, proxy, _ := startProxy(t, proxies.listener.Addr().(*net.TCPAddr).Port)
	proxy.expect(t, "connected")
	proxy.expect(t, "current false")
	proxies.drain(time.Millisecond)
	proxy.expect(t, "disconnected")
}

func TestRunWith_probesBetweenAgents(t *testing.T) {
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
	question := membership.Packet{Kind: membership.Ping, Sequence: 42}
	if _, err := peer.Write(question.Encode(nil)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, maxPacketBytes)
	_ = peer.SetReadDeadline(time.Now().Add(waitLimit))
	count, err := peer.Read(answer)
	if err != nil {
		t.Fatal(err)
	}
	packet, err := membership.DecodePacket(answer[:count])
	if err != nil || packet.Kind != membership.Ack || packet.Sequence != question.Sequence {
		t.Errorf("got %+v, %v", packet, err)
	}
}
