package scalerun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/testkit/fakemodelworker"
	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
	"ospreybend/internal/util/http1"
)

// TrafficPlan describes a measurement of one proxy under load.
type TrafficPlan struct {
	Binary    string
	Directory string
	Rates     []scalereport.Rate
	Workers   int
	TokenTime time.Duration // time between two tokens of a stream
	Window    time.Duration
	Windows   int
	Limit     time.Duration
	Progress  io.Writer
}

const (
	promptTokens = 1200
	prefillEvery = 3 // every prefillEvery-th worker is a prefill worker
	statusServed = 200
)

var errIncompleteResponse = errors.New("response is not a complete stream with status 200")

// trafficRun generates open-loop load on one proxy.
type trafficRun struct {
	plan         TrafficPlan
	fleet        *localfleet.Fleet
	pool         *upstream.Pool
	served       atomic.Int64
	failed       atomic.Int64
	events       atomic.Int64
	number       atomic.Int64
	mutex        sync.Mutex
	firstEventMs []float64 // milliseconds to the first event
	requests     sync.WaitGroup
}

// RunTraffic measures one proxy at each rate. If it returns an error, the result has the rates measured so far.
func RunTraffic(ctx context.Context, plan TrafficPlan) ([]scalereport.TrafficStep, error) {
	ctx, cancel := context.WithTimeout(ctx, plan.Limit)
	defer cancel()
	fleet, err := localfleet.New(localfleet.Layout{Binary: plan.Binary, Directory: plan.Directory, Servers: 1, Edges: 1,
		LogLevel: "warn", Cores: coresPerProcess, MemoryMb: memoryPerProcess})
	if err != nil {
		return nil, err
	}
	l := &trafficRun{plan: plan, fleet: fleet, pool: upstream.New(upstream.Options{})}
	defer func() {
		cancel()
		fleet.KillAll()
		l.requests.Wait()
		l.pool.Close()
	}()
	if err := l.startFleet(ctx); err != nil {
		return nil, err
	}
	var steps []scalereport.TrafficStep
	for _, rate := range plan.Rates {
		steps = append(steps, l.measureRate(ctx, rate))
		if ctx.Err() != nil {
			return steps, ctx.Err()
		}
	}
	return steps, nil
}

// startFleet starts the fleet and its workers and waits until the proxy serves a request.
func (l *trafficRun) startFleet(ctx context.Context) error {
	if err := l.fleet.StartAll(); err != nil {
		return err
	}
	handles := new(fakemodelworker.Handles)
	for i := range l.plan.Workers {
		stage := "decode"
		if i%prefillEvery == 0 {
			stage = "prefill"
		}
		_, err := fakemodelworker.Start(ctx, fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i+1), Zone: localfleet.Zone(i),
			Service: modelService(0), Stage: stage, Address: l.fleet.WorkerAddress(i), Slots: workerSlots, Control: l.fleet.ControlAddresses(),
			HeartbeatInterval: time.Second, TokenTime: l.plan.TokenTime, Handles: handles})
		if err != nil {
			return err
		}
	}
	operator := localfleet.NewOperator(l.fleet.ControlAddresses())
	defer operator.Close()
	if err := operator.Replace(ctx, 0, configurationDocument(1, 1)); err != nil {
		return err
	}
	return localfleet.Await(ctx, pollInterval, func() bool { return l.send(ctx, 1) == nil })
}

// measureRate sends requests at a rate, waits until the number of open streams is steady, and measures.
func (l *trafficRun) measureRate(ctx context.Context, rate scalereport.Rate) scalereport.TrafficStep {
	ctx, cancel := context.WithCancel(ctx)
	defer l.requests.Wait()
	defer cancel()
	l.requests.Go(func() { l.sendAtRate(ctx, rate) })
	pause(ctx, time.Duration(rate.Tokens)*l.plan.TokenTime+time.Second)
	step := scalereport.TrafficStep{Rate: rate}
	l.mutex.Lock()
	l.firstEventMs = nil
	l.mutex.Unlock()
	served, failed, events, started := l.served.Load(), l.failed.Load(), l.events.Load(), time.Now()
	for window := range l.plan.Windows {
		before, at := l.events.Load(), time.Now()
		use := l.measure(ctx)
		observed := float64(l.events.Load()-before) / time.Since(at).Seconds()
		step.Windows = append(step.Windows, scalereport.TrafficUsage{Window: window, Events: observed, Proxy: use})
	}
	seconds := time.Since(started).Seconds()
	step.Served, step.Events = float64(l.served.Load()-served)/seconds, float64(l.events.Load()-events)/seconds
	step.Failed = l.failed.Load() - failed
	l.mutex.Lock()
	step.First = scalereport.PercentilesOf(l.firstEventMs)
	l.mutex.Unlock()
	fmt.Fprintf(l.plan.Progress, "%d requests/s of %d tokens: %.1f served/s, %.0f events/s, %d failed, first event p50 %.0f, p95 %.0f ms\n",
		rate.Requests, rate.Tokens, step.Served, step.Events, step.Failed, step.First.P50, step.First.P95)
	return step
}

// measure returns the proxy's resource usage over one window.
func (l *trafficRun) measure(ctx context.Context) scalereport.Usage {
	pid := l.fleet.Proxy(0).PID()
	before, err := readCounters(pid)
	at := time.Now()
	pause(ctx, l.plan.Window)
	after, failure := readCounters(pid)
	if err != nil || failure != nil {
		return scalereport.Usage{}
	}
	return scalereport.UsageBetween(before, after, time.Since(at))
}

// sendAtRate sends requests at a fixed rate, independent of their outcome, until ctx ends.
func (l *trafficRun) sendAtRate(ctx context.Context, rate scalereport.Rate) {
	ticker := time.NewTicker(time.Second / time.Duration(rate.Requests))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.requests.Go(func() {
			switch err := l.send(ctx, rate.Tokens); {
			case err == nil:
				l.served.Add(1)
			case ctx.Err() == nil:
				l.failed.Add(1)
			}
		})
	}
}

// send sends one request and reads its stream to the end.
func (l *trafficRun) send(ctx context.Context, tokens int) error {
	number, sent := l.number.Add(1), time.Now()
	response, failure := l.pool.RoundTrip(ctx, &upstream.Request{Address: l.fleet.ProxyAddress(0), Method: "POST", Target: "/v1/chat", StreamEvents: true,
		Body: []byte("{}"), Header: http1.Header{{Name: "Host", Value: "tenant-0.example"},
			{Name: "X-Request-Id", Value: fmt.Sprintf("scale-%d", number)}, {Name: "X-Model", Value: "m"},
			{Name: "X-Token-Count", Value: fmt.Sprintf("%d,%d", promptTokens, tokens)},
			{Name: "X-Prompt-Prefix", Value: fmt.Sprintf("a1:800,%x:400", number)},
			{Name: "X-Request-Deadline", Value: "60000"}}})
	if failure != nil {
		return failure
	}
	if response.Stream == nil || response.Status != statusServed {
		return errIncompleteResponse
	}
	return l.readStream(response.Stream, sent, tokens)
}

func (l *trafficRun) readStream(stream *upstream.Stream, sent time.Time, tokens int) error {
	for came := 0; ; {
		batch, err := stream.Next()
		if err != nil {
			if errors.Is(err, io.EOF) && came == tokens {
				return nil
			}
			return errIncompleteResponse
		}
		if came == 0 {
			l.recordFirstEvent(milliseconds(time.Since(sent)))
		}
		came += len(batch.Events)
		l.events.Add(int64(len(batch.Events)))
	}
}

func (l *trafficRun) recordFirstEvent(after float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.firstEventMs = append(l.firstEventMs, after)
}
