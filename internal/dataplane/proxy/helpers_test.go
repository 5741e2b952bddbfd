package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/bootconfig"
)

const (
	testHost    = "ficu95.example"
	testTimeout = 20 * time.Second
	requestBody = "the prompt"
)

const (
	testRoute = `{"name":"r1","hostname":"ficu95.example","pathPrefix":"/a/","routeType":"non_idempotent",` +
		`"timeoutMs":4000,"targetLatencyMs":300,"priority":0,"service":"s","maxAttempts":2}`
	testStreamRoute = `{"name":"r2","hostname":"ficu95.example","pathPrefix":"/stream/","routeType":"streaming",` +
		`"timeoutMs":4000,"targetLatencyMs":300,"priority":0,"service":"s","maxAttempts":2,"resumable":true,"gap_aim_ms":200}`
	testServiceItem = `{"name":"s","healthPath":"/health","maxConnections":100}`
)

func configurationItems(generation string) []feed.Item {
	return []feed.Item{
		{Key: configuration.KeyGeneration, Value: []byte(generation)},
		{Key: configuration.KeyRoutePrefix + "r1", Value: []byte(testRoute)},
		{Key: configuration.KeyRoutePrefix + "r2", Value: []byte(testStreamRoute)},
		{Key: configuration.KeyServicePrefix + "s", Value: []byte(testServiceItem)},
	}
}

// fakeAgent serves a feed whose items never change.
type fakeAgent struct {
	snapshots   map[shards.ID]feed.Snapshot
	unconfirmed bool // its status does not confirm that its configuration is the newest
}

func (a *fakeAgent) Shards() []shards.ID { return []shards.ID{0, 1} }

func (a *fakeAgent) Since(shard shards.ID, index uint64) ([]feed.Change, *feed.Snapshot) {
	snapshot := a.snapshots[shard]
	if index >= snapshot.Index {
		return nil, nil
	}
	return nil, &snapshot
}

func (a *fakeAgent) Status() feedtransport.Status {
	return feedtransport.Status{Shards: []feedtransport.ShardStatus{{Index: 4, Current: !a.unconfirmed}, {Shard: 1, Index: 9, Current: true}}}
}

func (a *fakeAgent) Subscribe(chan<- struct{}) func() { return func() {} }

func (a *fakeAgent) OnReport(feedtransport.Hello, string, []byte) {}

// serve serves the feed in the background, to any number of proxies, until the listener is closed and the test ends.
func (a *fakeAgent) serve(t *testing.T, listener net.Listener) {
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serveSession(t.Context(), connection)
		}
	}()
}

func (a *fakeAgent) serveSession(ctx context.Context, connection net.Conn) {
	_, body, err := feedtransport.ReadFirstFrame(connection, testTimeout)
	if err != nil {
		return
	}
	hello, err := feedtransport.DecodeHello(body)
	if err != nil {
		return
	}
	_ = feedtransport.NewSession(connection, hello, a, feedtransport.SessionOptions{}).Run(ctx)
}

// fakeWorker echoes requests, or streams events for paths below /stream/.
type fakeWorker struct {
	release chan struct{} // a request to /a/pending is answered once this is closed
	arrived chan struct{} // receives one value for each request to /a/pending
}

func (w *fakeWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Target-Instance") != "w1" {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	writer.Header().Set("X-Response-Signature", "3e1b")
	if request.URL.Path == "/a/pending" {
		w.arrived <- struct{}{}
		<-w.release
	}
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		streamEvents(writer, request)
		return
	}
	body, _ := io.ReadAll(request.Body)
	fmt.Fprintf(writer, "%s %s %s", request.Method, request.RequestURI, body)
}

// streamEvents sends events 1 to 3 of a stream, and aborts the response to /stream/cut after them. A request with a Last-Event-Id gets
// the events after that ID, up to event 5.
func streamEvents(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	from, to := 1, 3
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &from)
		from, to = from+1, 5
	}
	for id := from; id <= to; id++ {
		fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id)
		writer.(http.Flusher).Flush()
	}
	if to < 5 && request.URL.Path == "/stream/cut" {
		panic(http.ErrAbortHandler)
	}
}

// testSystem is a proxy on the loopback interface, with a fake agent and a fake worker.
type testSystem struct {
	t                *testing.T
	agent            *fakeAgent
	proxy            *proxy
	worker           *fakeWorker
	clientAddress    string
	readinessAddress string
	client           *http.Client
	deadlineHeader   string // X-Request-Deadline of the client's requests; empty: no such header
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	return newTestSystemWithAgent(t, &fakeAgent{})
}

// newTestSystemWithAgent starts a proxy that follows the given agent, with a configuration and one worker as the agent's items.
func newTestSystemWithAgent(t *testing.T, agent *fakeAgent) *testSystem {
	t.Helper()
	s := &testSystem{t: t, agent: agent, worker: &fakeWorker{release: make(chan struct{}), arrived: make(chan struct{}, 8)}}
	server := httptest.NewServer(s.worker)
	t.Cleanup(server.Close)
	feedListener := listenLoopback(t)
	agent.snapshots = map[shards.ID]feed.Snapshot{
		0: {Index: 4, Items: configurationItems("7")},
		1: {Index: 9, Items: []feed.Item{workerItem("w1", server.Listener.Addr().String())}},
	}
	agent.serve(t, feedListener)
	s.startProxy(feedListener.Addr().(*net.TCPAddr).Port)
	s.client = &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	t.Cleanup(s.client.CloseIdleConnections)
	return s
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func workerItem(id, address string) feed.Item {
	instance := registry.Instance{ID: id, Service: "s", Address: address, Slots: 8}
	return feed.Item{Key: id, Value: registry.EncodeItem(instance)}
}

func (s *testSystem) startProxy(feedPort int) {
	settings := bootconfig.Defaults()
	settings.PortRange = [2]int{feedPort - 1, feedPort + 10}
	settings.Bounds.GraceS = 8
	settings.Bounds.BudgetWindowS = 0.001
	settings.Bounds.RetryBudgetSlack = 50
	clientListener, readinessListener := listenLoopback(s.t), listenLoopback(s.t)
	s.clientAddress, s.readinessAddress = clientListener.Addr().String(), readinessListener.Addr().String()
	started, err := startOnListeners(settings, zap.NewNop(), clientListener, readinessListener)
	if err != nil {
		s.t.Fatal(err)
	}
	s.proxy = started
	s.t.Cleanup(started.close)
}

// waitFor polls a condition until it is true, and fails the test after testTimeout.
func (s *testSystem) waitFor(description string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %v waiting for %s", testTimeout, description)
		}
	}
}

// readinessStatus returns the status of a readiness check, or 0 if the check failed to get a response.
func (s *testSystem) readinessStatus() int {
	response, err := s.client.Get("http://" + s.readinessAddress + "/-/ready")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// request sends a request and returns the status and body of the response, and any error of sending the request or reading the response.
func (s *testSystem) request(path string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.clientAddress+path, strings.NewReader(requestBody))
	if err != nil {
		return 0, "", err
	}
	request.Host = testHost
	request.Header.Set("X-Request-Id", "9c41d07be2a35f68")
	if s.deadlineHeader != "" {
		request.Header.Set("X-Request-Deadline", s.deadlineHeader)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func (s *testSystem) waitUntilReady() {
	s.t.Helper()
	s.waitFor("the proxy to become ready", func() bool { return s.readinessStatus() == http.StatusOK })
}

// statusOf sends a request and returns the status of the response, or 0 if there was none.
func (s *testSystem) statusOf(path string) int {
	status, _, _ := s.request(path)
	return status
}

// requireResponse sends a request and fails the test unless the response has the given status and body.
func (s *testSystem) requireResponse(path string, status int, body string) {
	s.t.Helper()
	gotStatus, gotBody, err := s.request(path)
	if gotStatus != status || gotBody != body || err != nil {
		s.t.Fatalf("request to %s: got status %d, body %q and error %v, want status %d and body %q", path, gotStatus, gotBody, err, status, body)
	}
}

// pendingResponse is the body of the response to the request of startPendingRequest.
const pendingResponse = "POST /a/pending " + requestBody

// startPendingRequest sends a request that the worker answers only once its channel release is closed. It returns when the request has
// arrived at the worker. The returned channel receives the body of the response.
func (s *testSystem) startPendingRequest() <-chan string {
	answered := make(chan string, 1)
	go func() {
		_, body, _ := s.request("/a/pending")
		answered <- body
	}()
	<-s.worker.arrived
	return answered
}

// startDrain starts the graceful shutdown. The returned channel is closed when it has ended.
func (s *testSystem) startDrain() <-chan struct{} {
	drained := make(chan struct{})
	go func() {
		s.proxy.drain()
		close(drained)
	}()
	return drained
}
