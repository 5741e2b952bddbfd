package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/testkit/fakemodelworker"
	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/util/http1"
)

const (
	demoServers      = 3
	demoEdges        = 2
	demoWorkers      = 4
	demoTimeout      = 30 * time.Second
	demoPollInterval = 50 * time.Millisecond
	demoDeadlineMs   = 4000
	demoWorkerSlots  = 8
)

// Routes of demoConfiguration.
const (
	chatRoute  = iota // streaming, in two stages: prefill and decode
	filesRoute        // plain requests
)

// demoConfiguration has one route to each of its two services: "model" streams chat tokens, "store" answers plain requests.
const demoConfiguration = `{"generation":1,"routes":[
{"name":"chat","hostname":"demo.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":500,"priority":0,"service":"model","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gap_aim_ms":200},
{"name":"files","hostname":"demo.example","pathPrefix":"/files/","routeType":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"store","maxAttempts":1}],
"services":[{"name":"model","healthPath":"/health","maxConnections":100,"engine":{"slots":8,"kvTokens":100000,"kvTokenBytes":1000,"linkMbps":10000,"stride":1,"handleTtlS":5,"switchS":1,"models":[{"name":"m"}]}},
{"name":"store","healthPath":"/health","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// demoCommand holds the flags of the demo sub-command.
type demoCommand struct {
	Requests int  `arg:"--requests" default:"12" help:"number of requests to send"`
	Keep     bool `arg:"--keep" help:"keep the temporary directory with settings, data and logs"`
}

// demoRun is one run of the demo: a fleet of separate processes, and fake workers and a client within this process.
type demoRun struct {
	out     io.Writer
	fleet   *localfleet.Fleet
	pool    *upstream.Pool
	workers []*fakemodelworker.Worker
	handles fakemodelworker.Handles
}

// run starts a complete fleet on the loopback interface, sends requests through it and prints the result of each.
func (c *demoCommand) run(stdout, stderr io.Writer) int {
	directory, err := os.MkdirTemp("", "inference-router-demo-")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	if c.Keep {
		fmt.Fprintln(stdout, "settings, data and logs:", directory)
	} else {
		defer os.RemoveAll(directory)
	}
	binary, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	fleet, err := localfleet.New(localfleet.Layout{Binary: binary, Directory: directory, Servers: demoServers, Edges: demoEdges})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	defer fleet.StopAll()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	demo := demoRun{out: stdout, fleet: fleet, pool: upstream.New(upstream.Options{})}
	if err := demo.execute(ctx, c.Requests); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return exitFailure
	}
	return exitOK
}

// execute starts the fleet and the workers, waits until each proxy serves both routes, and sends the requests.
func (d *demoRun) execute(ctx context.Context, requests int) error {
	started := time.Now()
	if err := d.fleet.StartAll(); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d control plane servers, %d agents and %d proxies started\n", demoServers, demoEdges, demoEdges)
	if err := d.startWorkers(ctx); err != nil {
		return err
	}
	if err := localfleet.Await(ctx, demoPollInterval, func() bool { return d.configure(ctx) }); err != nil {
		return fmt.Errorf("control plane did not accept the configuration: %w", err)
	}
	fmt.Fprintf(d.out, "configuration accepted after %s\n", elapsed(started))
	for edge := range demoEdges {
		if err := localfleet.Await(ctx, demoPollInterval, func() bool { return d.proxyReady(ctx, edge) }); err != nil {
			return fmt.Errorf("proxy %d did not become ready: %w", edge+1, err)
		}
	}
	if err := localfleet.Await(ctx, demoPollInterval, func() bool { return d.allRoutesServed(ctx) }); err != nil {
		return fmt.Errorf("not every proxy answers 200 on both routes: %w", err)
	}
	fmt.Fprintf(d.out, "all proxies ready and both routes served after %s\n", elapsed(started))
	for index := range requests {
		d.sendAndReport(ctx, index)
	}
	d.printSummary()
	return nil
}

// startWorkers starts two prefill and two decode workers of service "model" and one worker of service "store".
func (d *demoRun) startWorkers(ctx context.Context) error {
	for i := range demoWorkers + 1 {
		options := fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i+1), Zone: localfleet.Zone(i), Service: "model",
			Stage: []string{"prefill", "decode"}[i%2], Address: d.fleet.WorkerAddress(i), Slots: demoWorkerSlots, Control: d.fleet.ControlAddresses(),
			HeartbeatInterval: time.Second, PrefillRate: 40, TokenTime: 6 * time.Millisecond, PlainTime: 30 * time.Millisecond, Handles: &d.handles}
		if i == demoWorkers {
			options.Service, options.Stage = "store", ""
		}
		worker, err := fakemodelworker.Start(ctx, options)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, worker)
	}
	return nil
}

// configure sends the configuration to the first control plane server and reports whether the server accepted it.
func (d *demoRun) configure(ctx context.Context) bool {
	control := d.fleet.ControlAddresses()[0]
	response, failure := d.pool.RoundTrip(ctx, &upstream.Request{Address: control, Method: "POST", Target: "/-/Config.Replace",
		Header: http1.Header{{Name: "Host", Value: control}, {Name: "X-Base-Version", Value: "0"},
			{Name: "Content-Type", Value: "application/json"}}, Body: []byte(demoConfiguration)})
	return failure == nil && response.Status == 200
}

// proxyReady reports whether the proxy's readiness endpoint answers 200.
func (d *demoRun) proxyReady(ctx context.Context, edge int) bool {
	address := d.fleet.ReadinessAddress(edge)
	response, failure := d.pool.RoundTrip(ctx, &upstream.Request{Address: address, Method: "GET", Target: "/-/ready",
		Header: http1.Header{{Name: "Host", Value: address}}})
	return failure == nil && response.Status == 200
}

// allRoutesServed reports whether each proxy answers a probe on both routes with status 200.
func (d *demoRun) allRoutesServed(ctx context.Context) bool {
	for edge := range demoEdges {
		for _, route := range []int{chatRoute, filesRoute} {
			if status, _ := d.sendRequest(ctx, edge, route, "probe"); status != 200 {
				return false
			}
		}
	}
	return true
}

// sendAndReport sends one request and prints its status and duration. The proxies take turns; every third request goes to the
// files route, the others to the chat route.
func (d *demoRun) sendAndReport(ctx context.Context, index int) {
	edge, route := index%demoEdges, chatRoute
	if index%3 == 2 {
		route = filesRoute
	}
	started := time.Now()
	status, events := d.sendRequest(ctx, edge, route, fmt.Sprintf("demo-%d", index))
	summary := "file"
	if route == chatRoute {
		summary = fmt.Sprintf("chat, %d events", events)
	}
	fmt.Fprintf(d.out, "request %2d through proxy %d: status %d after %s (%s)\n", index+1, edge+1, status, elapsed(started), summary)
}

// sendRequest sends one request and returns its status and the number of events received. Status 0 means that there was no
// response or that its event stream broke off.
func (d *demoRun) sendRequest(ctx context.Context, edge, route int, id string) (status, events int) {
	request := &upstream.Request{Address: d.fleet.ProxyAddress(edge), Method: "POST", Target: []string{"/chat/talk", "/files/one"}[route],
		Header: http1.Header{{Name: "Host", Value: "demo.example"}, {Name: "X-Request-Id", Value: fmt.Sprintf("%s-%d-%d", id, edge, route)},
			{Name: "X-Request-Deadline", Value: fmt.Sprint(demoDeadlineMs)}}, Body: []byte("{}"), StreamEvents: true}
	if route == chatRoute {
		request.Header = append(request.Header, http1.HeaderField{Name: "X-Model", Value: "m"},
			http1.HeaderField{Name: "X-Token-Count", Value: "1200,8"},
			http1.HeaderField{Name: "X-Prompt-Prefix", Value: "a1:800,b" + fmt.Sprint(edge) + ":400"})
	}
	response, failure := d.pool.RoundTrip(ctx, request)
	if failure != nil {
		return 0, 0
	}
	if response.Stream == nil {
		return response.Status, 0
	}
	for {
		batch, err := response.Stream.Next()
		if errors.Is(err, io.EOF) {
			return response.Status, events
		}
		if err != nil {
			return 0, events
		}
		events += len(batch.Events)
	}
}

// printSummary prints what each worker has executed and how many KV handles were not released.
func (d *demoRun) printSummary() {
	for i, worker := range d.workers {
		counts := worker.Counts()
		fmt.Fprintf(d.out, "worker %d: %d prefills, %d runs, %d rejected\n", i+1, counts.Prefills, counts.Runs, counts.Rejected)
	}
	fmt.Fprintf(d.out, "KV handles not released: %d\n", d.handles.Open())
}

func elapsed(started time.Time) time.Duration { return time.Since(started).Round(time.Millisecond) }
