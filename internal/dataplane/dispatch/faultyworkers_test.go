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
	rig          *testHarness
	random       *rand.Rand
	runs         int             // begun by a worker
	attempts     int             // calls that reached a worker and count as attempts
	prefills     int             // accepted by a worker
	handles      map[string]bool // issued handles; true if used by a run
	clientWait   clientWait
	receiveDelay time.Duration // time between the request's first byte and its last
}

// clientDeadline is a client's X-Request-Deadline fields and the time limit that results on a route with a timeout of 4 s.
type clientWait struct {
	fields []string
	means  time.Duration
}

var clientWaits = []clientWait{
	{[]string{"3000"}, 3 * time.Second}, {nil, 4 * time.Second}, {[]string{""}, 4 * time.Second}, {[]string{"-5"}, 4 * time.Second},
	{[]string{"99999999999999999999"}, 4 * time.Second}, {[]string{"soon"}, 4 * time.Second}, {[]string{"0"}, 0},
	{[]string{"3000", "500"}, 500 * time.Millisecond}, {[]string{"x", "2500"}, 2500 * time.Millisecond}, {[]string{"700, 900"}, 700 * time.Millisecond},
}

// send sends a random request from a client that may disconnect.
func (c *faultyWorkers) ask(asked *recordingClient) {
	if c.random.Intn(6) == 0 {
		asked.cancelAfter = time.Duration(1+c.random.Intn(1500)) * time.Millisecond
	}
	c.clientWait = clientWaits[c.random.Intn(len(clientWaits))]
	if c.random.Intn(4) == 0 {
		c.receiveDelay = time.Duration(c.random.Intn(1000)) * time.Millisecond
	}
	c.rig.askAs(asked, func(request *httpserver.Request) {
		request.Header = request.Header.Without(fieldRequestDeadline)
		for _, value := range c.clientWait.fields {
			request.Header = append(request.Header, http1.HeaderField{Name: "x-request-DEADLINE", Value: value})
		}
		request.ReadAt = time.Now()
		request.FirstByteAt = request.ReadAt.Add(-c.receiveDelay)
	})
}

// deadlineViolation returns a violation by the calls to workers, or an empty string: each must carry the remaining time as its deadline,
// and none may be sent after the client has disconnected.
func (c *faultyWorkers) callFault(asked *recordingClient) string {
	end := asked.sentAt + c.clientWait.means - c.receiveDelay
	for _, call := range c.rig.calls {
		millis, err := strconv.Atoi(call.field(fieldRequestDeadline))
		timeout := time.Duration(millis) * time.Millisecond
		switch {
		case call.call.Header.Count(fieldRequestDeadline) != 1 || err != nil || timeout <= 0:
			return fmt.Sprintf("deadline fields of a call to %s are %q, want one with a positive number", call.worker, call.field(fieldRequestDeadline))
		case call.at+timeout > end || call.at+timeout < end-time.Millisecond:
			return fmt.Sprintf("the deadline of a call to %s is %v with %v left", call.worker, timeout, end-call.at)
		case asked.cancelAfter > 0 && call.at > asked.sentAt+asked.cancelAfter:
			return fmt.Sprintf("worker %s was called after the client had disconnected", call.worker)
		}
	}
	return ""
}

func newFaultyWorkers(r *testHarness, seed int64) *faultyWorkers {
	c := &faultyWorkers{rig: r, random: rand.New(rand.NewSource(seed)), handles: map[string]bool{}}
	types := []configuration.RouteType{configuration.NonIdempotent, configuration.Idempotent, configuration.Streaming}
	r.route.Type = types[c.random.Intn(len(types))]
	r.route.Resumable = r.route.Type == configuration.Streaming && c.random.Intn(2) == 0
	r.route.MaxAttempts = 1 + c.random.Intn(4)
	r.setRoute()
	r.defaultScript = c.script
	r.chooser.draws = c.choose
	return c
}

func (c *faultyWorkers) choose(excluded []string) (selection.Choice, bool) {
	choice := selection.Choice{TimeToFirstEvent: time.Duration(c.random.Intn(200)) * time.Millisecond}
	runs := remaining([]string{"d1", "d2", "d3"}, excluded)
	if len(runs) == 0 || c.random.Intn(12) == 0 {
		return choice, false
	}
	choice.Run = testWorker(runs[c.random.Intn(len(runs))])
	reads := remaining([]string{"p1", "p2"}, excluded)
	if len(reads) > 0 && c.random.Intn(3) > 0 {
		choice.Prefill = testWorker(reads[c.random.Intn(len(reads))])
	}
	return choice, true
}

func remaining(all, excluded []string) []string {
	return slices.DeleteFunc(all, func(id string) bool { return slices.Contains(excluded, id) })
}

// script returns a random behavior for a call.
func (c *faultyWorkers) script(_ string, call *upstream.Request) script {
	var drawn script
	if call.Header.Get(fieldServingStage) == stagePrefill {
		drawn = c.readScript()
	} else {
		drawn = c.runScript(call)
	}
	if c.random.Intn(3) == 0 {
		drawn = after(time.Duration(c.random.Intn(900))*time.Millisecond, drawn)
	}
	return drawn
}

func (c *faultyWorkers) readScript() script {
	switch c.random.Intn(8) {
	case 0:
		return fails(upstream.NotSent, upstream.DialFailed)
	case 1:
		return c.rejecting()
	case 2:
		return respondsWith(421, "", nil)
	case 3:
		c.noteRead()
		return breaksConnection()
	case 4:
		c.noteRead()
		return hangs()
	case 5:
		return c.mistakenRun()
	default:
		c.noteRead()
		return c.giveHandle()
	}
}

// executePrefill executes a request of which only a prefill was requested, and responds without a signature.
func (c *faultyWorkers) mistakenRun() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		return c.running(call, respondsWith(200, "no handle", nil))(ctx, call)
	}
}

// countRejection rejects a call and counts the attempt when it does: a call that is canceled before is dropped by the worker.
func (c *faultyWorkers) rejecting() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		c.attempts++
		return rejects()(ctx, call)
	}
}

func (c *faultyWorkers) noteRead() {
	if c.prefills > 0 {
		c.attempts++
	}
	c.prefills++
}

// issueHandle responds with a new handle, which counts as issued only when the response is sent.
func (c *faultyWorkers) giveHandle() script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		handle := "h" + strconv.Itoa(len(c.handles))
		c.handles[handle] = false
		return givesHandle(handle)(ctx, call)
	}
}

func (c *faultyWorkers) runScript(call *upstream.Request) script {
	switch c.random.Intn(10) {
	case 0:
		return fails(upstream.NotSent, upstream.PoolExhausted)
	case 1:
		return c.rejecting()
	case 2:
		return respondsWith(421, "", nil)
	}
	return c.running(call, c.begunScript(call))
}

// recordRun records the start of a run and the use of its handle, and returns the script unchanged.
func (c *faultyWorkers) running(call *upstream.Request, then script) script {
	c.attempts++
	c.runs++
	if _, handle, found := strings.Cut(call.Header.Get(fieldKVFrom), "/"); found {
		c.handles[handle] = true
	}
	return then
}

func (c *faultyWorkers) begunScript(call *upstream.Request) script {
	switch c.random.Intn(9) {
	case 0:
		return breaksConnection()
	case 1:
		return hangs()
	case 2:
		return respondsWith(500, "own error", signed)
	case 3:
		return respondsWith(503, "unclear", signed)
	case 4:
		return respondsWith(200, "unsigned", nil)
	}
	if !call.StreamEvents {
		return respondsWith(200, "complete", signed)
	}
	from, _ := strconv.Atoi(call.Header.Get(fieldLastEventID))
	return c.stream(from + 1)
}

func (c *faultyWorkers) stream(from int) script {
	to := from + c.random.Intn(lastEvent-from+2) - 1
	if c.random.Intn(2) == 0 {
		to = lastEvent
	}
	from = max(1, from-c.random.Intn(2)) // a worker may repeat events
	if to >= lastEvent && c.random.Intn(4) > 0 {
		return streams(from, lastEvent, nil)
	}
	if c.random.Intn(2) == 0 {
		return streams(from, min(to, lastEvent), cut)
	}
	return streams(from, min(to, lastEvent), hang)
}

// violation returns the invariant that the dispatcher has violated, or an empty string.
func (c *faultyWorkers) fault(t *testing.T, seen *recordingClient) string {
	route := c.rig.route
	retryable := route.Type == configuration.Idempotent || route.Resumable
	notExecuted := slices.Contains([]int{503, 429, 408, 421}, seen.status)
	switch {
	case !retryable && c.runs > 1:
		return fmt.Sprintf("%d runs of a request that must not be retried", c.runs)
	case notExecuted && c.runs > 0:
		return fmt.Sprintf("status %d guarantees that nothing was executed, but there were %d runs", seen.status, c.runs)
	case c.attempts > route.MaxAttempts:
		return fmt.Sprintf("%d attempts, the route allows %d", c.attempts, route.MaxAttempts)
	case seen.responses > 1 || seen.responses == 0 && !seen.aborted:
		return fmt.Sprintf("%d responses, aborted %v; want one response or an abort", seen.responses, seen.aborted)
	case seen.finished && seen.aborted:
		return "the response is both complete and aborted"
	case seen.took > max(0, c.clientWait.means-c.receiveDelay)+20*time.Millisecond:
		return fmt.Sprintf("the response took %v, the time limit is %v", seen.took, c.clientWait.means-c.receiveDelay)
	}
	if body := c.bodyFault(seen); body != "" {
		return body
	}
	if call := c.callFault(seen); call != "" {
		return call
	}
	c.rig.chooser.endings(t)
	return c.handleFault()
}

func (c *faultyWorkers) bodyFault(seen *recordingClient) string {
	switch {
	case seen.status == 200 && seen.fields.Get(fieldSignature) == "":
		return "a success without a signature was forwarded"
	case seen.status == 200 && seen.body != "complete" && !strings.HasPrefix(texts(1, lastEvent), seen.body):
		return fmt.Sprintf("body %q has lost or repeated events", seen.body)
	case seen.status == 200 && seen.finished && seen.body != "complete" && seen.body != texts(1, lastEvent):
		return fmt.Sprintf("the response ended as complete with the incomplete body %q", seen.body)
	default:
		return ""
	}
}

// leakedHandle reports a handle that was issued and neither used nor freed.
func (c *faultyWorkers) handleFault() string {
	for handle, taken := range c.handles {
		freed := slices.ContainsFunc(c.rig.deletes, func(call recordedCall) bool { return call.call.Target == kvHandlePath+handle })
		if !taken && !freed {
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
		found := ""
		synctest.Test(t, func(t *testing.T) {
			r := newTestHarness(t)
			c := newFaultyWorkers(r, seed)
			asked := &recordingClient{r: r}
			c.ask(asked)
			found = c.fault(t, asked)
		})
		return found
	}, gen.Int64()))
	properties.TestingRun(t)
}
