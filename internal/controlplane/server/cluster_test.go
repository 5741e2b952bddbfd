package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/util/bootconfig"
)

const (
	fleetLimit = 30 * time.Second
	pollPause  = 10 * time.Millisecond // between two looks at a condition
)

// process is a keeper that a test runs.
type process struct {
	config bootconfig.Settings
	stop   context.CancelFunc
	ended  chan error
}

// fleet is a set of keepers on loopback addresses of this machine.
type fleet struct {
	t         *testing.T
	processes []*process
	client    *http.Client
}

// freePort returns a port that is free on all of the given addresses.
func freePort(t *testing.T, ips []string) int {
	t.Helper()
	for range 50 {
		listener, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			t.Fatal(err)
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if portIsFree(port, ips) {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func portIsFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newFleet prepares keepers of which the first three are the seeds. None is started.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	ips := make([]string, count)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.0.%d", 2+i)
	}
	control, peers := freePort(t, ips), freePort(t, ips)
	f := &fleet{t: t, client: &http.Client{
		Timeout:   5 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i, ip := range ips {
		config := bootconfig.Defaults()
		config.NodeName = fmt.Sprintf("core-%d", i)
		config.IP, config.Zone = ip, fmt.Sprintf("zone-%d", i)
		config.PortRange = [2]int{peers, peers + 15}
		config.Listen.Control = net.JoinHostPort(ip, strconv.Itoa(control))
		config.Bootstrap = true
		config.DataDir = t.TempDir()
		config.FaultTolerance.Machines = 1
		config.Limits.MemoryMb = 0
		for _, seed := range ips[:min(count, 3)] {
			config.Seeds = append(config.Seeds, net.JoinHostPort(seed, strconv.Itoa(control)))
		}
		f.processes = append(f.processes, &process{config: config})
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) start(i int) {
	p := f.processes[i]
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.ended = cancel, make(chan error, 1)
	go func() { p.ended <- Run(ctx, p.config, zap.NewNop()) }()
}

// finish stops a keeper as a SIGTERM does and returns how long it took.
func (f *fleet) finish(i int) time.Duration {
	f.t.Helper()
	p := f.processes[i]
	began := time.Now()
	p.stop()
	select {
	case err := <-p.ended:
		if err != nil {
			f.t.Fatalf("keeper %d: %v", i, err)
		}
	case <-time.After(fleetLimit):
		f.t.Fatalf("keeper %d does not end", i)
	}
	p.stop = nil
	return time.Since(began)
}

func (f *fleet) stopAll() {
	for i, p := range f.processes {
		if p.stop != nil {
			f.finish(i)
		}
	}
}

// await looks until a condition holds.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), fleetLimit)
	defer cancel()
	if err := localfleet.Await(ctx, pollPause, holds); err != nil {
		f.t.Fatalf("%s: not within %s", what, fleetLimit)
	}
}

// do sends one call to a keeper; a status of 0 means that no answer came.
func (f *fleet) do(i int, method, path string, base uint64, body string) (status int, content []byte) {
	request, err := http.NewRequest(method, "http://"+f.processes[i].config.Listen.Control+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set(headerBase, strconv.FormatUint(base, 10))
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, _ = io.ReadAll(response.Body)
	return response.StatusCode, content
}

// insist repeats a call, as callers do, until it has a clear answer.
func (f *fleet) insist(i int, method, path string, base uint64, body string) (status int, content []byte) {
	f.t.Helper()
	f.await(method+" "+path, func() bool {
		status, content = f.do(i, method, path, base, body)
		return status != 0 && status < http.StatusInternalServerError
	})
	return status, content
}

func (f *fleet) status(i int) (report statusReport, ok bool) {
	code, body := f.do(i, http.MethodGet, "/-/status", 0, "")
	if code != http.StatusOK {
		return report, false
	}
	return report, json.Unmarshal(body, &report) == nil
}

// settled tells whether a keeper sees every shard with the given voters, current.
func (f *fleet) settled(i, voters int) bool {
	report, ok := f.status(i)
	if !ok {
		return false
	}
	for _, shard := range report.Shards {
		count, voter := 0, false
		for _, member := range shard.Members {
			if member.Voter {
				count++
				voter = voter || member.Address == report.Address
			}
		}
		if count != voters || len(shard.Members) != voters || !voter || !shard.Current || shard.Leader == "" {
			return false
		}
	}
	return true
}

func configurationOf(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/p/",`+
		`"routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":400,"priority":0,"service":"s","maxAttempts":2}],`+
		`"services":[{"name":"s","healthPath":"/health","maxConnections":10}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, generation)
}

func beatOf(state string, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:80","zone":"z","generation":"v1","slots":4,"state":%q,"sequence":%d}`,
		state, sequence)
}

func (f *fleet) expect(want, got int, content []byte) {
	f.t.Helper()
	if got != want {
		f.t.Fatalf("status %d, not %d: %s", got, want, content)
	}
}

func TestThreeKeepersFormTakeACallAndRepair(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.start(i)
	}
	began := time.Now()
	for i := range 3 {
		f.await("formation", func() bool { return f.settled(i, 3) })
	}
	t.Logf("formed in %s", time.Since(began))

	replace, read := "/-/Config.Replace", "/-/Config.Read"
	for i := range 3 {
		base, next := i, i+1
		status, content := f.insist(i, http.MethodPost, replace, uint64(base), configurationOf(next))
		f.expect(http.StatusOK, status, content)
		status, content = f.insist((i+1)%3, http.MethodPost, replace, uint64(base), configurationOf(next)) // sent again
		f.expect(http.StatusOK, status, content)
	}
	status, content := f.insist(0, http.MethodPost, replace, 1, configurationOf(9))
	f.expect(http.StatusPreconditionFailed, status, content)
	status, content = f.insist(1, http.MethodPost, replace, 3, `{"generation":4`)
	f.expect(http.StatusBadRequest, status, content)

	took := f.finish(0)
	t.Logf("one keeper left in %s", took)
	if took > 2*time.Second {
		t.Errorf("leaving took %s", took)
	}
	began = time.Now()
	status, content = f.insist(1, http.MethodPost, replace, 3, configurationOf(4))
	f.expect(http.StatusOK, status, content)
	t.Logf("a configuration with two of three in %s", time.Since(began))

	// The keeper comes back without its disk.
	f.processes[0].config.DataDir = t.TempDir()
	f.processes[0].config.Bootstrap = false
	f.start(0)
	began = time.Now()
	for i := range 3 {
		f.await("repair", func() bool { return f.settled(i, 3) })
	}
	t.Logf("repaired in %s", time.Since(began))
	f.finish(1)
	status, content = f.insist(0, http.MethodPost, replace, 4, configurationOf(5))
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(0, http.MethodGet, read, 0, "")
	f.expect(http.StatusOK, status, content)
	var document struct{ Generation int }
	if err := json.Unmarshal(content, &document); err != nil || document.Generation != 5 {
		t.Fatalf("read %s: %v", content, err)
	}
}

func TestInstancesAreTakenByAnyKeeper(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.start(i)
	}
	f.await("formation", func() bool { return f.settled(0, 3) && f.settled(1, 3) && f.settled(2, 3) })
	for i := range 3 {
		status, content := f.insist(i, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, beatOf("ready", 1+i))
		f.expect(http.StatusOK, status, content)
	}
	status, content := f.insist(1, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, beatOf("draining", 9))
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(2, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, `{"service":`)
	f.expect(http.StatusBadRequest, status, content)
	status, content = f.insist(2, http.MethodPost, "/-/Instances.Deregister/i-1", 0, "{}")
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(0, http.MethodPost, "/-/Instances.Deregister/i-unknown", 0, "{}")
	f.expect(http.StatusOK, status, content)
	status, content = f.insist(0, http.MethodGet, "/-/nothing", 0, "")
	f.expect(http.StatusNotFound, status, content)
	status, content = f.insist(0, http.MethodGet, "/-/metrics", 0, "")
	f.expect(http.StatusOK, status, content)
}
