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
	demoServers  = 3
	demoEdges    = 2
	demoWorkers  = 4
	demoTimeout  = 30 * time.Second
	demoPoll     = 50 * time.Millisecond
	demoDeadline = 4000 // ms
	demoSlots    = 8
)

// demoConfiguration has one route to each of the two services of the demonstration.
const demoConfiguration = `{"generation":1,"routes":[
{"name":"chat","hostname":"demo.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":4000,"targetLatencyMs":500,"priority":0,"service":"model","maxAttempts":2,"sessionAffinity":true,"resumable":true,"gap_aim_ms":200},
{"name":"files","hostname":"demo.example","pathPrefix":"/files/","routeType":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":1,"service":"store","maxAttempts":1}],
"services":[{"name":"model","healthPath":"/health","maxConnections":100,"engine":{"slots":8,"kvTokens":100000,"kvTokenBytes":1000,"linkMbps":10000,"stride":1,"handleTtlS":5,"switchS":1,"models":[{"name":"m"}]}},
{"name":"store","healthPath":"/health","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// demoCommand holds the flags of demo.
type demoCommand struct {
	Requests int  `arg:"--requests" default:"12" help:"requests to send"`
	Keep     bool `arg:"--keep" help:"keep the directory with settings, data and logs"`
}

// demoRun is one run of the demonstration: a fleet of processes, fake workers in this process and a client.
type demoRun struct {
	out     io.Writer
	fleet   *localfleet.Fleet
	pool    *upstream.Pool
	workers []*fakemodelworker.Worker
	handles fakemodelworker.Handles
}

// run starts a whole fleet on loopback, sends requests through it and prints the outcome of each.
func (c *demoCommand) run(stdout, stderr io.Writer) int {
	directory, err := os.MkdirTemp("", "inference-router-demo-")
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFault
	}
	if c.Keep {
		fmt.Fprintln(stdout, "settings, data and logs:", directory)
	} else {
		defer os.RemoveAll(directory)
	}
	binary, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFault
	}
	fleet, err := localfleet.New(localfleet.Layout{Binary: binary, Directory: directory, Servers: demoServers, Edges: demoEdges})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFault
	}
	defer fleet.StopAll()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	demo := demoRun{out: stdout, fleet: fleet, pool: upstream.New(upstream.Options{})}
	if err := demo.execute(ctx, c.Requests); err != nil {
		fmt.Fprintln(stderr, "demo:", err)
		return exitFault
	}
	return exitOK
}

// execute runs the steps of the demonstration.
func (d *demoRun) execute(ctx context.Context, requests int) error {
	started := time.Now()
	if err := d.fleet.StartAll(); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d control plane servers, %d agents and %d proxies started\n", demoServers, demoEdges, demoEdges)
	if err := d.startWorkers(ctx); err != nil {
		return err
	}
	if err := localfleet.Await(ctx, demoPoll, func() bool { return d.configure(ctx) }); err != nil {
		return fmt.Errorf("the configuration was not accepted: %w", err)
	}
	fmt.Fprintf(d.out, "configuration accepted after %s\n", elapsed(started))
	for edge := range demoEdges {
		if err := localfleet.Await(ctx, demoPoll, func() bool { return d.proxyReady(ctx, edge) }); err != nil {
			return fmt.Errorf("a proxy is not ready: %w", err)
		}
	}
	if err := localfleet.Await(ctx, demoPoll, func() bool { return d.allRoutesServed(ctx) }); err != nil {
		return fmt.Errorf("no worker became known: %w", err)
	}
	fmt.Fprintf(d.out, "all proxies ready and workers known after %s\n", elapsed(started))
	for number := range requests {
		d.sendAndReport(ctx, number)
	}
	d.printSummary()
	return nil
}

// startWorkers starts two prefill workers, two decode workers and one worker of the plain service.
func (d *demoRun) startWorkers(ctx context.Context) error {
	for i := range demoWorkers + 1 {
		options := fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i+1), Zone: localfleet.Zone(i), Service: "model",
			Stage: []string{"prefill", "decode"}[i%2], Address: d.fleet.WorkerAddress(i), Slots: demoSlots, Control: d.fleet.ControlAddresses(),
			Heartbeat: time.Second, PrefillRate: 40, TokenTime: 6 * time.Millisecond, PlainTime: 30 * time.Millisecond, Handles: &d.handles}
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

// configure sends the configuration to one control plane server and reports whether it was accepted.
func (d *demoRun) configure(ctx context.Context) bool {
	control := d.fleet.ControlAddresses()[0]
	response, failure := d.pool.RoundTrip(ctx, &upstream.Request{Address: control, Method: "POST", Target: "/-/Config.Replace",
		Header: http1.Header{{Name: "Host", Value: control}, {Name: "X-Base-Version", Value: "0"},
			{Name: "Content-Type", Value: "application/json"}}, Body: []byte(demoConfiguration)})
	return failure == nil && response.Status == 200
}

// proxyReady reports whether a proxy says that it is ready.
func (d *demoRun) proxyReady(ctx context.Context, edge int) bool {
	address := d.fleet.ReadinessAddress(edge)
	response, failure := d.pool.RoundTrip(ctx, &upstream.Request{Address: address, Method: "GET", Target: "/-/ready",
		Header: http1.Header{{Name: "Host", Value: address}}})
	return failure == nil && response.Status == 200
}

// allRoutesServed reports whether each proxy answers on both routes.
func (d *demoRun) allRoutesServed(ctx context.Context) bool {
	for edge := range demoEdges {
		for kind := range 2 {
			if status, _ := d.sendRequest(ctx, edge, kind, "probe"); status != 200 {
				return false
			}
		}
	}
	return true
}

// sendAndReport sends one request and prints its outcome.
func (d *demoRun) sendAndReport(ctx context.Context, number int) {
	edge, kind := number%demoEdges, number%3/2
	started := time.Now()
	status, events := d.sendRequest(ctx, edge, kind, fmt.Sprintf("demo-%d", number))
	what := "file"
	if kind == 0 {
		what = fmt.Sprintf("chat, %d events", events)
	}
	fmt.Fprintf(d.out, "request %2d by proxy %d: %d in %s (%s)\n", number+1, edge+1, status, elapsed(started), what)
}

// sendRequest sends one request and returns its status and the number of events received; status 0 stands for a failed response.
func (d *demoRun) sendRequest(ctx context.Context, edge, kind int, id string) (status, events int) {
	call := &upstream.Request{Address: d.fleet.ProxyAddress(edge), Method: "POST", Target: []string{"/chat/talk", "/files/one"}[kind],
		Header: http1.Header{{Name: "Host", Value: "demo.example"}, {Name: "X-Request-Id", Value: fmt.Sprintf("%s-%d-%d", id, edge, kind)},
			{Name: "X-Request-Deadline", Value: fmt.Sprint(demoDeadline)}}, Body: []byte("{}"), StreamEvents: true}
	if kind == 0 {
		call.Header = append(call.Header, http1.HeaderField{Name: "X-Model", Value: "m"},
			http1.HeaderField{Name: "X-Token-Count", Value: "1200,8"},
			http1.HeaderField{Name: "X-Prompt-Prefix", Value: "a1:800,b" + fmt.Sprint(edge) + ":400"})
	}
	response, failure := d.pool.RoundTrip(ctx, call)
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

// printSummary prints what the workers have done.
func (d *demoRun) printSummary() {
	for i, worker := range d.workers {
		counts := worker.Counts()
		fmt.Fprintf(d.out, "worker %d: %d prefills, %d runs, %d rejected\n", i+1, counts.Prefills, counts.Runs, counts.Rejected)
	}
	fmt.Fprintf(d.out, "KV handles left over: %d\n", d.handles.Open())
}

func elapsed(started time.Time) time.Duration { return time.Since(started).Round(time.Millisecond) }
