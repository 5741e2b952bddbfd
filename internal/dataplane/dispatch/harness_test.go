package dispatch

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/feed"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/retrybudget"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	testRequestID = "9c41d07be2a35f68"
	testHost      = "ficu95.example"
	testPath      = "/lohu930/2f"
	testService   = "huvo11a"
)

// script is the behavior of a simulated worker for one call. It runs on the fake clock.
type script func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure)

// recordedCall is a call that was made to a simulated worker.
type recordedCall struct {
	worker  string
	request *upstream.Request
	at      time.Duration
}

func (c recordedCall) field(name string) string { return c.request.Header.Get(name) }

// testHarness is a Dispatcher with a scripted chooser and simulated workers, on a fake clock. It implements WorkerClient.
type testHarness struct {
	t          *testing.T
	started    time.Time
	dispatcher *Dispatcher
	view       *fleetview.View
	route      *configuration.Route
	chooser    *scriptedChooser

	mutex         sync.Mutex
	scripts       map[string][]script                                // remaining scripts by worker ID, one for each call
	defaultScript func(worker string, call *upstream.Request) script // for calls without a script; if nil, connecting fails
	calls         []recordedCall
	deletes       []recordedCall
	// deleteDelay is the time a worker takes to free a handle.
	deleteDelay time.Duration
}

// withFakeClock runs a test with a new harness in a synctest bubble, whose clock is fake.
func withFakeClock(t *testing.T, test func(t *testing.T, h *testHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newTestHarness(t)) })
}

// testRoute returns a streaming route that is not resumable, so that executed requests are not retried.
func testRoute() *configuration.Route {
	return &configuration.Route{
		Name: "r1", Hostname: testHost, PathPrefix: "/lohu930/", Type: configuration.Streaming,
		Timeout: 4 * time.Second, TargetLatency: 400 * time.Millisecond, Priority: 1, MaxAttempts: 3,
		Targets: []configuration.Target{{Service: testService, Weight: 1}}, InterTokenTarget: 200 * time.Millisecond,
	}
}

func newTestHarness(t *testing.T) *testHarness {
	t.Helper()
	h := &testHarness{t: t, started: time.Now(), scripts: map[string][]script{}}
	h.route = testRoute()
	h.chooser = &scriptedChooser{results: map[*selection.Call][]string{}}
	h.dispatcher = New(Options{
		WorkerClient: h, Chooser: h.chooser, Now: h.now, Random: func() float64 { return 0.5 },
		Budget: retrybudget.Rules{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	time.Sleep(10 * time.Second) // on the fake clock: the first window of the retry budget
	h.view = testView(h.route)
	h.dispatcher.SetView(h.view)
	return h
}

func (h *testHarness) now() time.Duration { return time.Since(h.started) }

// testView returns a view with the prefill workers p1 and p2 and the decode workers d1, d2 and d3.
func testView(route *configuration.Route) *fleetview.View {
	service := &configuration.Service{Name: testService, Engine: &configuration.Engine{Slots: 64}}
	other := &configuration.Service{Name: "other"}
	view := viewWithRoute(route)
	view.Generation = 1
	view.Services = map[string]*configuration.Service{testService: service, "other": other}
	view.EdgeNodeCount = 1
	view.Workers = map[string][]*fleetview.Worker{testService: {
		testWorker("d1"), testWorker("d2"), testWorker("d3"), testWorker("p1"), testWorker("p2")}}
	return view
}

func testWorker(id string) *fleetview.Worker {
	return &fleetview.Worker{Instance: registry.Instance{ID: id, Service: testService, Address: id + ":80"}}
}

// viewWithRoute returns a view with one route, built from a feed snapshot.
func viewWithRoute(route *configuration.Route) *fleetview.View {
	builder := fleetview.NewBuilder()
	raw := `{"name":"r1","hostname":"` + testHost + `","pathPrefix":"/lohu930/","routeType":"streaming",` +
		`"timeoutMs":4000,"targetLatencyMs":400,"priority":1,"service":"` + testService + `","maxAttempts":3}`
	builder.ApplySnapshot(0, feed.Snapshot{Index: 1, Items: []feed.Item{
		{Key: configuration.KeyGeneration, Value: []byte("1")},
		{Key: configuration.KeyRoutePrefix + "r1", Value: []byte(raw)},
		{Key: configuration.KeyServicePrefix + testService, Value: []byte(`{"name":"` + testService + `"}`)},
	}})
	view := *builder.View()
	if found := view.MatchRoute(testHost, testPath); found != nil {
		*found = *route
	}
	return &view
}

// addScripts adds scripts for a worker, one for each call to it.
func (h *testHarness) addScripts(worker string, scripts ...script) {
	h.scripts[worker] = append(h.scripts[worker], scripts...)
}

// Do implements WorkerClient by running the next script of the called worker.
func (h *testHarness) Do(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
	worker := call.Header.Get(fieldTargetInstance)
	next := h.record(worker, call)
	if next == nil {
		return nil, &upstream.Failure{Result: upstream.NotSent, Reason: upstream.DialFailed}
	}
	return next(ctx, call)
}

func (h *testHarness) record(worker string, call *upstream.Request) script {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	entry := recordedCall{worker: worker, request: call, at: h.now()}
	if call.Method == methodDelete {
		h.deletes = append(h.deletes, entry)
		return delayed(h.deleteDelay, respondWith(200, "", nil))
	}
	h.calls = append(h.calls, entry)
	scripts := h.scripts[worker]
	if len(scripts) == 0 && h.defaultScript != nil {
		return h.defaultScript(worker, call)
	}
	if len(scripts) == 0 {
		return nil
	}
	h.scripts[worker] = scripts[1:]
	return scripts[0]
}

// respondWith returns a script that sends a complete response.
func respondWith(status int, body string, fields http1.Header) script {
	return func(context.Context, *upstream.Request) (*Response, *upstream.Failure) {
		all := append(http1.Header{{Name: fieldRequestID, Value: testRequestID}}, fields...)
		result := upstream.Answered
		if all.Has(fieldNotExecuted) {
			result = upstream.NotExecuted
		}
		if status == statusMisdirected {
			result = upstream.Misdirected
		}
		return &Response{Response: &upstream.Response{Result: result, Status: status, Header: all, Body: []byte(body)}}, nil
	}
}

var (
	signedFields      = http1.Header{{Name: fieldSignature, Value: "3e1b"}}
	notExecutedFields = http1.Header{{Name: fieldNotExecuted, Value: "1"}, {Name: fieldSignature, Value: "ff"}}
)

func respondWithHandle(handle string) script {
	return respondWith(200, `{"prefillHandle":"`+handle+`","tokens":1460,"generation":1}`, nil)
}

func rejectCall() script { return respondWith(503, "full", notExecutedFields) }

func failWith(result upstream.Result, reason upstream.Reason) script {
	return func(context.Context, *upstream.Request) (*Response, *upstream.Failure) {
		return nil, &upstream.Failure{Result: result, Reason: reason}
	}
}

func breakConnection() script { return failWith(upstream.Broken, upstream.ReadError) }

// hangUntilCanceled returns a script that does not respond until the call is canceled.
func hangUntilCanceled() script {
	return func(ctx context.Context, _ *upstream.Request) (*Response, *upstream.Failure) {
		<-ctx.Done()
		return nil, &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled, Err: ctx.Err()}
	}
}

// delayed returns a script that waits on the fake clock before it runs another script.
func delayed(wait time.Duration, then script) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		select {
		case <-time.After(wait):
			return then(ctx, call)
		case <-ctx.Done():
			return hangUntilCanceled()(ctx, call)
		}
	}
}

// scriptedEvents implements Events with predefined events and a predefined end.
type scriptedEvents struct {
	ctx       context.Context
	gap       time.Duration
	events    []upstream.Event
	truncated bool                     // the connection closes without the last chunk
	stalled   bool                     // nothing more is sent until the call is canceled
	pauses    map[string]time.Duration // before the event with the ID
	closed    bool
}

func (s *scriptedEvents) Next() (*upstream.Batch, error) {
	if len(s.events) == 0 {
		return s.end()
	}
	select {
	case <-time.After(s.gap + s.pauses[s.events[0].ID]):
	case <-s.ctx.Done():
		return nil, &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled}
	}
	event := s.events[0]
	s.events = s.events[1:]
	return &upstream.Batch{Raw: event.Raw, Events: []upstream.Event{event}}, nil
}

func (s *scriptedEvents) end() (*upstream.Batch, error) {
	switch {
	case s.stalled:
		<-s.ctx.Done()
		return nil, &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled}
	case s.truncated:
		return nil, &upstream.Failure{Result: upstream.Broken, Reason: upstream.ConnClosed, Partial: []byte("id: 9")}
	case s.closed:
		return nil, io.EOF
	default:
		return &upstream.Batch{Last: true}, nil
	}
}

func (s *scriptedEvents) Close() { s.closed = true }

func numberedEvent(id int) upstream.Event {
	text := strconv.Itoa(id)
	return upstream.Event{Raw: []byte(eventText(id)), ID: text, HasID: true, Versions: -1}
}

func eventText(id int) string { return "id: " + strconv.Itoa(id) + "\ndata: x\n\n" }

func eventTexts(from, to int) string {
	all := ""
	for id := from; id <= to; id++ {
		all += eventText(id)
	}
	return all
}

// streamEvents returns a script that responds with a stream of the events numbered from to to, 10 ms apart. If change is not nil, it
// adjusts the stream.
func streamEvents(from, to int, change func(*scriptedEvents)) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		response, _ := respondWith(200, "", append(signedFields, http1.HeaderField{Name: "Versions", Value: call.Header.Get(fieldTargetInstance)}))(ctx, call)
		stream := &scriptedEvents{ctx: ctx, gap: 10 * time.Millisecond}
		for id := from; id <= to; id++ {
			stream.events = append(stream.events, numberedEvent(id))
		}
		if change != nil {
			change(stream)
		}
		response.Events = stream
		return response, nil
	}
}

// pausedBefore returns a change that has the stream pause for ordinaryPause before an event.
func pausedBefore(id string) func(*scriptedEvents) {
	return func(s *scriptedEvents) { s.pauses = map[string]time.Duration{id: ordinaryPause} }
}

func truncated(s *scriptedEvents) { s.truncated = true }
func stalled(s *scriptedEvents)   { s.stalled = true }

// recordingClient is a Responder that records what the client receives.
type recordingClient struct {
	harness         *testHarness
	disconnectAfter time.Duration // 0 if it stays connected
	status          int
	fields          http1.Header
	body            string
	responses       int
	finished        bool
	aborted         bool
	writesFail      bool          // writes of chunks fail
	sentAt          time.Duration // time of the request
	duration        time.Duration
	writeDeadline   time.Duration
	eventTimes      []time.Duration
}

func (c *recordingClient) WriteResponse(status int, fields http1.Header, body []byte) error {
	c.status, c.fields, c.body, c.finished = status, fields, string(body), true
	c.responses++
	return nil
}

func (c *recordingClient) WriteHeader(status int, fields http1.Header) error {
	c.status, c.fields = status, fields
	c.responses++
	return nil
}

func (c *recordingClient) WriteChunk(chunk []byte) error {
	if c.writesFail {
		return httpserver.ErrConnectionClosed
	}
	c.body += string(chunk)
	c.eventTimes = append(c.eventTimes, c.harness.now())
	return nil
}

func (c *recordingClient) Finish(last []byte) error {
	c.body += string(last)
	c.finished = true
	return nil
}

func (c *recordingClient) Abort() { c.aborted = true }

func (c *recordingClient) SetWriteTimeout(after time.Duration) {
	c.writeDeadline = c.harness.now() + after
}

// send sends a request, adjusted by change if that is not nil, and returns what the client has received at its end.
func (h *testHarness) send(change func(*httpserver.Request)) *recordingClient {
	client := &recordingClient{harness: h}
	h.sendAs(client, change)
	return client
}

func (h *testHarness) sendAs(client *recordingClient, change func(*httpserver.Request)) {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	if client.disconnectAfter > 0 {
		time.AfterFunc(client.disconnectAfter, cancel)
	}
	request := &httpserver.Request{
		Context: ctx, Method: "POST", Target: testPath + "?q=1", Path: testPath, Host: "Ficu95.example:8144",
		Header: http1.Header{
			{Name: "Host", Value: "Ficu95.example:8144"}, {Name: "x-request-id", Value: testRequestID},
			{Name: fieldModel, Value: "m"}, {Name: fieldTokenCount, Value: "1460,80"},
			{Name: fieldPromptPrefix, Value: "5c1e07a2:800,91bd3f06:660"}, {Name: fieldRequestDeadline, Value: "3000"},
		},
		Body: []byte("prompt"),
	}
	if change != nil {
		change(request)
	}
	client.sentAt = h.now()
	h.dispatcher.Serve(client, request)
	client.duration = h.now() - client.sentAt
	synctest.Wait()
}

// workersCalled returns the IDs of the workers that were called, in order.
func (h *testHarness) workersCalled() string {
	names := ""
	for _, call := range h.calls {
		names += call.worker + " "
	}
	return names
}

// setRoute copies the harness's route, after a change, into the view.
func (h *testHarness) setRoute() { *h.view.MatchRoute(testHost, testPath) = *h.route }

// neverConnect is a script that does not establish a connection until the call is canceled.
func neverConnect(ctx context.Context, _ *upstream.Request) (*Response, *upstream.Failure) {
	<-ctx.Done()
	return nil, &upstream.Failure{Result: upstream.NotSent, Reason: upstream.Canceled, Err: ctx.Err()}
}
