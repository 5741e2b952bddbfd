package dispatch

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const lastEvent = 6

// faultyWorkers simulates workers that behave at random in any way that the protocol allows, and records what they did.
type faultyWorkers struct {
	harness      *testHarness
	random       *rand.Rand
	runs         int             // begun by a worker
	attempts     int             // calls that reached a worker and count as attempts
	prefills     int             // accepted by a worker
	handles      map[string]bool // issued handles; true if used by a run
	deadline     clientDeadline
	receiveDelay time.Duration // time between the request's first byte and its last
}

// clientDeadline is a client's X-Request-Deadline fields and the time limit that results on a route with a timeout of 4 s.
type clientDeadline struct {
	values []string
	limit  time.Duration
}

var clientDeadlines = []clientDeadline{
	{[]string{"3000"}, 3 * time.Second}, {nil, 4 * time.Second}, {[]string{""}, 4 * time.Second}, {[]string{"-5"}, 4 * time.Second},
	{[]string{"99999999999999999999"}, 4 * time.Second}, {[]string{"soon"}, 4 * time.Second}, {[]string{"0"}, 0},
	{[]string{"3000", "500"}, 500 * time.Millisecond}, {[]string{"x", "2500"}, 2500 * time.Millisecond}, {[]string{"700, 900"}, 700 * time.Millisecond},
}

// send sends a random request from a client that may disconnect.
func (w *faultyWorkers) send(client *recordingClient) {
	if w.random.Intn(6) == 0 {
		client.disconnectAfter = time.Duration(1+w.random.Intn(1500)) * time.Millisecond
	}
	w.deadline = clientDeadlines[w.random.Intn(len(clientDeadlines))]
	if w.random.Intn(4) == 0 {
		w.receiveDelay = time.Duration(w.random.Intn(1000)) * time.Millisecond
	}
	w.harness.sendAs(client, func(request *httpserver.Request) {
		request.Header = request.Header.Without(fieldRequestDeadline)
		for _, value := range w.deadline.values {
			request.Header = append(request.Header, http1.HeaderField{Name: "x-request-DEADLINE", Value: value})
		}
		request.ReadAt = time.Now()
		request.FirstByteAt = request.ReadAt.Add(-w.receiveDelay)
	})
}

// deadlineViolation returns a violation by the calls to workers, or an empty string: each must carry the remaining time as its deadline,
// and none may be sent after the client has disconnected.
func (w *faultyWorkers) deadlineViolation(client *recordingClient) string {
	end := client.sentAt + w.deadline.limit - w.receiveDelay
	for _, call := range w.harness.calls {
		millis, err := strconv.Atoi(call.field(fieldRequestDeadline))
		timeout := time.Duration(millis) * time.Millisecond
		switch {
		case call.request.Header.Count(fieldRequestDeadline) != 1 || err != nil || timeout <= 0:
			return fmt.Sprintf("deadline fields of a call to %s are %q, want one with a positive number",
				call.worker, call.field(fieldRequestDeadline))
		case call.at+timeout > end || call.at+timeout < end-time.Millisecond:
			return fmt.Sprintf("the deadline of a call to %s is %v with %v left", call.worker, timeout, end-call.at)
		case client.disconnectAfter > 0 && call.at > client.sentAt+client.disconnectAfter:
			return fmt.Sprintf("worker %s was called after the client had disconnected", call.worker)
		}
	}
	return ""
}

func newFaultyWorkers(h *testHarness, seed int64) *faultyWorkers {
	w := &faultyWorkers{harness: h, random: rand.New(rand.NewSource(seed)), handles: map[string]bool{}}
	types := []configuration.RouteType{configuration.NonIdempotent, configuration.Idempotent, configuration.Streaming}
	h.route.Type = types[w.random.Intn(len(types))]
	h.route.Resumable = h.route.Type == configuration.Streaming && w.random.Intn(2) == 0
	h.route.MaxAttempts = 1 + w.random.Intn(4)
	h.setRoute()
	h.defaultScript = w.script
	h.chooser.chooseFunc = w.choose
	h.chooser.admitsFunc = func(excluded []string) bool { // without w.random, which the request's goroutine uses meanwhile
		return len(withoutExcluded([]string{"d1", "d2", "d3"}, excluded)) > 0
	}
	return w
}

func (w *faultyWorkers) choose(excluded []string) (selection.Choice, bool) {
	choice := selection.Choice{TimeToFirstEvent: time.Duration(w.random.Intn(200)) * time.Millisecond}
	decodeIDs := withoutExcluded([]string{"d1", "d2", "d3"}, excluded)
	if len(decodeIDs) == 0 || w.random.Intn(12) == 0 {
		return choice, false
	}
	choice.Run = testWorker(decodeIDs[w.random.Intn(len(decodeIDs))])
	prefillIDs := withoutExcluded([]string{"p1", "p2"}, excluded)
	if len(prefillIDs) > 0 && w.random.Intn(3) > 0 {
		choice.Prefill = testWorker(prefillIDs[w.random.Intn(len(prefillIDs))])
	}
	return choice, true
}

func withoutExcluded(all, excluded []string) []string {
	return slices.DeleteFunc(all, func(id string) bool { return slices.Contains(excluded, id) })
}

// script returns a random behavior for a call.
func (w *faultyWorkers) script(_ string, call *upstream.Request) script {
	var result script
	if call.Header.Get(fieldServingStage) == stagePrefill {
		result = w.prefillScript()
	} else {
		result = w.runScript(call)
	}
	if w.random.Intn(3) == 0 {
		result = delayed(time.Duration(w.random.Intn(900))*time.Millisecond, result)
	}
	return result
}

func (w *faultyWorkers) prefillScript() script {
	switch w.random.Intn(8) {
	case 0:
		return failWith(upstream.NotSent, upstream.DialFailed)
	case 1:
		return w.countRejection()
	case 2:
		return respondWith(421, "", nil)
	case 3:
		w.recordPrefill()
		return breakConnection()
	case 4:
		w.recordPrefill()
		return hangUntilCanceled()
	case 5:
		return w.executePrefill()
	default:
		w.recordPrefill()
		return w.issueHandle()
	}
}

// executePrefill executes a request of which only a prefill was requested, and responds without a signature.
func (w *faultyWorkers) executePrefill() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		return w.recordRun(call, respondWith(200, "no handle", nil))(ctx, call)
	}
}

// countRejection rejects a call and counts the attempt when it does: a call that is canceled before is dropped by the worker.
func (w *faultyWorkers) countRejection() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		w.attempts++
		return rejectCall()(ctx, call)
	}
}

func (w *faultyWorkers) recordPrefill() {
	if w.prefills > 0 {
		w.attempts++
	}
	w.prefills++
}

// issueHandle responds with a new handle, which counts as issued only when the response is sent.
func (w *faultyWorkers) issueHandle() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		handle := "h" + strconv.Itoa(len(w.handles))
		w.handles[handle] = false
		return respondWithHandle(handle)(ctx, call)
	}
}

func (w *faultyWorkers) runScript(call *upstream.Request) script {
	switch w.random.Intn(10) {
	case 0:
		return failWith(upstream.NotSent, upstream.PoolExhausted)
	case 1:
		return w.countRejection()
	case 2:
		return respondWith(421, "", nil)
	}
	return w.recordRun(call, w.executedScript(call))
}

// recordRun records the start of a run and the use of its handle, and returns the script unchanged.
func (w *faultyWorkers) recordRun(call *upstream.Request, then script) script {
	w.attempts++
	w.runs++
	if _, handle, found := strings.Cut(call.Header.Get(fieldKVFrom), "/"); found {
		w.handles[handle] = true
	}
	return then
}

func (w *faultyWorkers) executedScript(call *upstream.Request) script {
	switch w.random.Intn(9) {
	case 0:
		return breakConnection()
	case 1:
		return hangUntilCanceled()
	case 2:
		return respondWith(500, "own error", signedFields)
	case 3:
		return respondWith(503, "unclear", signedFields)
	case 4:
		return respondWith(200, "unsigned", nil)
	}
	if !call.StreamEvents {
		return respondWith(200, "complete", signedFields)
	}
	from, _ := strconv.Atoi(call.Header.Get(fieldLastEventID))
	return w.streamScript(from + 1)
}

func (w *faultyWorkers) streamScript(from int) script {
	to := from + w.random.Intn(lastEvent-from+2) - 1
	if w.random.Intn(2) == 0 {
		to = lastEvent
	}
	from = max(1, from-w.random.Intn(2)) // a worker may repeat events
	if to >= lastEvent && w.random.Intn(4) > 0 {
		return streamEvents(from, lastEvent, nil)
	}
	if w.random.Intn(2) == 0 {
		return streamEvents(from, min(to, lastEvent), truncated)
	}
	return streamEvents(from, min(to, lastEvent), stalled)
}

// violation returns the invariant that the dispatcher has violated, or an empty string.
func (w *faultyWorkers) violation(t *testing.T, client *recordingClient) string {
	route := w.harness.route
	retryable := route.Type == configuration.Idempotent || route.Resumable
	notExecuted := slices.Contains([]int{503, 429, 408, 421}, client.status)
	switch {
	case !retryable && w.runs > 1:
		return fmt.Sprintf("%d runs of a request that must not be retried", w.runs)
	case notExecuted && w.runs > 0:
		return fmt.Sprintf("status %d guarantees that nothing was executed, but there were %d runs", client.status, w.runs)
	case w.attempts > route.MaxAttempts:
		return fmt.Sprintf("%d attempts, the route allows %d", w.attempts, route.MaxAttempts)
	case client.responses > 1 || client.responses == 0 && !client.aborted:
		return fmt.Sprintf("%d responses, aborted %v; want one response or an abort", client.responses, client.aborted)
	case client.finished && client.aborted:
		return "the response is both complete and aborted"
	case client.duration > max(0, w.deadline.limit-w.receiveDelay)+20*time.Millisecond:
		return fmt.Sprintf("the response took %v, the time limit is %v", client.duration, w.deadline.limit-w.receiveDelay)
	}
	if violation := w.bodyViolation(client); violation != "" {
		return violation
	}
	if violation := w.deadlineViolation(client); violation != "" {
		return violation
	}
	w.harness.chooser.callResults(t)
	return w.leakedHandle()
}

func (w *faultyWorkers) bodyViolation(client *recordingClient) string {
	switch {
	case client.status == 200 && client.fields.Get(fieldSignature) == "":
		return "a success without a signature was forwarded"
	case client.status == 200 && client.body != "complete" && !strings.HasPrefix(eventTexts(1, lastEvent), client.body):
		return fmt.Sprintf("body %q has lost or repeated events", client.body)
	case client.status == 200 && client.finished && client.body != "complete" && client.body != eventTexts(1, lastEvent):
		return fmt.Sprintf("the response ended as complete with the incomplete body %q", client.body)
	default:
		return ""
	}
}

// leakedHandle reports a handle that was issued and neither used nor freed.
func (w *faultyWorkers) leakedHandle() string {
	for handle, used := range w.handles {
		freed := slices.ContainsFunc(w.harness.deletes, func(call recordedCall) bool { return call.request.Target == kvHandlePath+handle })
		if !used && !freed {
			return "handle " + handle + " was neither used nor freed"
		}
	}
	return ""
}

// TestDispatcher_Serve_invariantsHoldForFaultyWorkers sends random requests to workers that fail at random, and checks the invariants of
// the response, of the calls to workers and of the handles.
func TestDispatcher_Serve_invariantsHoldForFaultyWorkers(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 1500
	properties := gopter.NewProperties(parameters)
	properties.Property("all invariants hold", prop.ForAll(func(seed int64) string {
		violation := ""
		synctest.Test(t, func(t *testing.T) {
			h := newTestHarness(t)
			w := newFaultyWorkers(h, seed)
			client := &recordingClient{harness: h}
			w.send(client)
			violation = w.violation(t, client)
		})
		return violation
	}, gen.Int64()))
	properties.TestingRun(t)
}
