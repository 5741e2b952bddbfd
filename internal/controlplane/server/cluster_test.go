package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/util/bootconfig"
)

const (
	clusterTimeout = 30 * time.Second
	pollInterval   = 10 * time.Millisecond // between checks of a condition
)

// serverProcess is a server that a test starts and stops. stop is nil while it is not running.
type serverProcess struct {
	config bootconfig.Settings
	stop   context.CancelFunc
	exited chan error
}

// testCluster is a set of servers on loopback addresses.
type testCluster struct {
	t         *testing.T
	processes []*serverProcess
	client    *http.Client
}

// Ports of clusters. They are below those that Linux assigns by itself (net.ipv4.ip_local_port_range), so that a server that is
// stopped finds its port free when it starts again.
const (
	lowestPort   = 10000
	highestPort  = 32000
	portAttempts = 50
)

// freePort returns a port that is free on all given addresses.
func freePort(t *testing.T, ips []string) int {
	t.Helper()
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if portIsFree(port, ips) {
			return port
		}
	}
	t.Fatalf("found no port that is free on all of %v", ips)
	return 0
}

// loopbackIPs returns consecutive addresses of a random loopback network, which other tests hardly use.
func loopbackIPs(count int) []string {
	second, third := 1+rand.IntN(76), rand.IntN(256) // local fleets begin at 127.77
	ips := make([]string, count)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", second, third, 2+i)
	}
	return ips
}

// TestFreePort_notAssignedByKernel guards against a port that another process is given while a server of a cluster is stopped.
func TestFreePort_notAssignedByKernel(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range of ports that the kernel assigns is not known: ", err)
	}
	var lowest, highest int
	if _, err := fmt.Sscan(string(text), &lowest, &highest); err != nil {
		t.Fatal(err)
	}
	for range portAttempts {
		if port := freePort(t, loopbackIPs(3)); port >= lowest && port <= highest {
			t.Fatalf("got port %d, want one outside of %d to %d", port, lowest, highest)
		}
	}
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

// newTestCluster prepares servers without starting them. The first three are the seeds.
func newTestCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	ips := loopbackIPs(count)
	control, peers := freePort(t, ips), freePort(t, ips)
	c := &testCluster{t: t, client: &http.Client{
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
		c.processes = append(c.processes, &serverProcess{config: config})
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *testCluster) start(i int) {
	p := c.processes[i]
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.exited = cancel, make(chan error, 1)
	go func() { p.exited <- Run(ctx, p.config, nil, zap.NewNop()) }()
}

// bootstrap starts the first count servers and waits until they have formed the cluster.
func (c *testCluster) bootstrap(count int) {
	c.t.Helper()
	var servers []int
	for i := range count {
		c.start(i)
		servers = append(servers, i)
	}
	c.awaitConverged("bootstrap", servers...)
}

// awaitConverged waits until each of the servers has a current replica of every shard, with exactly these servers as voters.
func (c *testCluster) awaitConverged(description string, servers ...int) {
	c.t.Helper()
	c.await(description, func() bool {
		for _, i := range servers {
			if !c.isConverged(i, len(servers)) {
				return false
			}
		}
		return true
	})
}

// terminate stops a server as a SIGTERM does and returns how long it took.
func (c *testCluster) terminate(index int) time.Duration {
	c.t.Helper()
	p := c.processes[index]
	startedAt := time.Now()
	p.stop()
	select {
	case err := <-p.exited:
		if err != nil {
			c.t.Fatalf("server %d failed: %v", index, err)
		}
	case <-time.After(clusterTimeout):
		c.t.Fatalf("server %d has not shut down within %s", index, clusterTimeout)
	}
	p.stop = nil
	return time.Since(startedAt)
}

func (c *testCluster) stopAll() {
	for i, p := range c.processes {
		if p.stop != nil {
			c.terminate(i)
		}
	}
}

// await waits until a condition holds, and fails the test after clusterTimeout.
func (c *testCluster) await(description string, condition func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), clusterTimeout)
	defer cancel()
	if err := localfleet.Await(ctx, pollInterval, condition); err != nil {
		c.t.Fatalf("%s: condition not met within %s", description, clusterTimeout)
	}
}

// do sends one request to a server. A status of 0 means that no response arrived.
func (c *testCluster) do(i int, method, path string, base uint64, body string) (status int, content []byte) {
	request, err := http.NewRequest(method, "http://"+c.processes[i].config.Listen.Control+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set(headerBaseVersion, strconv.FormatUint(base, 10))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, _ = io.ReadAll(response.Body)
	return response.StatusCode, content
}

// doUntilDefinitive repeats a request, as clients do, until it gets a response other than a server error.
func (c *testCluster) doUntilDefinitive(i int, method, path string, base uint64, body string) (status int, content []byte) {
	c.t.Helper()
	c.await(method+" "+path, func() bool {
		status, content = c.do(i, method, path, base, body)
		return status != 0 && status < http.StatusInternalServerError
	})
	return status, content
}

func (c *testCluster) status(i int) (report statusReport, reachable bool) {
	code, body := c.do(i, http.MethodGet, "/-/status", 0, "")
	if code != http.StatusOK {
		return report, false
	}
	return report, json.Unmarshal(body, &report) == nil
}

// isConverged reports whether a server has a current replica of every shard and is one of the given number of voters, with no learners.
func (c *testCluster) isConverged(index, voters int) bool {
	report, ok := c.status(index)
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

func configurationJSON(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/p/",`+
		`"routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":400,"priority":0,"service":"s","maxAttempts":2}],`+
		`"services":[{"name":"s","healthPath":"/health","maxConnections":10}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, generation)
}

func heartbeatJSON(state string, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:80","zone":"z","generation":"v1","slots":4,"state":%q,"sequence":%d}`,
		state, sequence)
}

func (c *testCluster) requireStatus(want, got int, content []byte) {
	c.t.Helper()
	if got != want {
		c.t.Fatalf("got status %d, want %d: %s", got, want, content)
	}
}

func TestCluster_threeServersBootstrapServeAndRepair(t *testing.T) {
	c := newTestCluster(t, 3)
	startedAt := time.Now()
	c.bootstrap(3)
	t.Logf("cluster formed in %s", time.Since(startedAt))

	replace, read := "/-/Config.Replace", "/-/Config.Read"
	for i := range 3 {
		base, next := i, i+1
		status, content := c.doUntilDefinitive(i, http.MethodPost, replace, uint64(base), configurationJSON(next))
		c.requireStatus(http.StatusOK, status, content)
		status, content = c.doUntilDefinitive((i+1)%3, http.MethodPost, replace, uint64(base), configurationJSON(next)) // a repeated change is accepted
		c.requireStatus(http.StatusOK, status, content)
	}
	status, content := c.doUntilDefinitive(0, http.MethodPost, replace, 1, configurationJSON(9))
	c.requireStatus(http.StatusPreconditionFailed, status, content)
	status, content = c.doUntilDefinitive(1, http.MethodPost, replace, 3, `{"generation":4`)
	c.requireStatus(http.StatusBadRequest, status, content)

	took := c.terminate(0)
	t.Logf("graceful shutdown of one server took %s", took)
	if took > 2*time.Second {
		t.Errorf("graceful shutdown took %s, want at most 2s", took)
	}
	startedAt = time.Now()
	status, content = c.doUntilDefinitive(1, http.MethodPost, replace, 3, configurationJSON(4))
	c.requireStatus(http.StatusOK, status, content)
	t.Logf("configuration change with two of three servers took %s", time.Since(startedAt))

	// Restart the stopped server with an empty disk.
	c.processes[0].config.DataDir = t.TempDir()
	c.processes[0].config.Bootstrap = false
	c.start(0)
	startedAt = time.Now()
	for i := range 3 {
		c.await("rejoin after a lost disk", func() bool { return c.isConverged(i, 3) })
	}
	t.Logf("all three servers are voters again after %s", time.Since(startedAt))
	c.terminate(1)
	status, content = c.doUntilDefinitive(0, http.MethodPost, replace, 4, configurationJSON(5))
	c.requireStatus(http.StatusOK, status, content)
	status, content = c.doUntilDefinitive(0, http.MethodGet, read, 0, "")
	c.requireStatus(http.StatusOK, status, content)
	var document struct{ Generation int }
	if err := json.Unmarshal(content, &document); err != nil || document.Generation != 5 {
		t.Fatalf("read configuration: got %s (error %v), want generation 5", content, err)
	}
}

func TestCluster_anyServerAcceptsInstanceCalls(t *testing.T) {
	c := newTestCluster(t, 3)
	c.bootstrap(3)
	for i := range 3 {
		status, content := c.doUntilDefinitive(i, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, heartbeatJSON("ready", 1+i))
		c.requireStatus(http.StatusOK, status, content)
	}
	status, content := c.doUntilDefinitive(1, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, heartbeatJSON("draining", 9))
	c.requireStatus(http.StatusOK, status, content)
	status, content = c.doUntilDefinitive(2, http.MethodPost, "/-/Instances.Heartbeat/i-1", 0, `{"service":`)
	c.requireStatus(http.StatusBadRequest, status, content)
	status, content = c.doUntilDefinitive(2, http.MethodPost, "/-/Instances.Deregister/i-1", 0, "{}")
	c.requireStatus(http.StatusOK, status, content)
	status, content = c.doUntilDefinitive(0, http.MethodPost, "/-/Instances.Deregister/i-unknown", 0, "{}")
	c.requireStatus(http.StatusOK, status, content)
	status, content = c.doUntilDefinitive(0, http.MethodGet, "/-/nothing", 0, "")
	c.requireStatus(http.StatusNotFound, status, content)
	status, content = c.doUntilDefinitive(0, http.MethodGet, "/-/metrics", 0, "")
	c.requireStatus(http.StatusOK, status, content)
}
