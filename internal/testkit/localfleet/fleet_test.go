package localfleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/testkit/fakemodelworker"
	"ospreybend/internal/testkit/localfleet"
)

const (
	pollInterval = 20 * time.Millisecond
	testTimeout  = 40 * time.Second
	serverCount  = 3
	edgeCount    = 2
	testHost     = "whole.example"
)

// binary is the path of the fleet's executable, built once for all tests.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "inference-router-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "inference-router")
	if output, err := exec.Command("go", "build", "-o", binary, "ospreybend/cmd/inference-router").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// fleetTest is a test with a running fleet and an operator client.
type fleetTest struct {
	*testing.T
	ctx      context.Context
	fleet    *localfleet.Fleet
	operator *localfleet.Operator
}

// newFleetTest starts a fleet and kills its processes at the end of the test.
func newFleetTest(t *testing.T) *fleetTest {
	t.Helper()
	return startFleet(t, localfleet.Layout{Binary: binary, Directory: t.TempDir(), Servers: serverCount, Edges: edgeCount}, testTimeout)
}

// startFleet starts all processes of a fleet and kills them at the end of the test.
func startFleet(t *testing.T, layout localfleet.Layout, timeout time.Duration) *fleetTest {
	t.Helper()
	fleet, err := localfleet.New(layout)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	operator := localfleet.NewOperator(fleet.ControlAddresses())
	t.Cleanup(func() {
		cancel()
		operator.Close()
		fleet.KillAll()
	})
	r := &fleetTest{T: t, ctx: ctx, fleet: fleet, operator: operator}
	if err := fleet.StartAll(); err != nil {
		t.Fatal(err)
	}
	return r
}

// await polls a condition and fails the test if it is not met in time.
func (r *fleetTest) await(what string, check func() bool) {
	r.Helper()
	if err := localfleet.Await(r.ctx, pollInterval, check); err != nil {
		r.Fatalf("waiting for %s: %v", what, err)
	}
}

// worker starts the i-th fake worker, for the given service.
func (r *fleetTest) worker(i int, service string, tokenTime time.Duration) *fakemodelworker.Worker {
	r.Helper()
	options := fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i), Zone: localfleet.Zone(i), Service: service,
		Address: r.fleet.WorkerAddress(i), Slots: 8, Control: r.fleet.ControlAddresses(), HeartbeatInterval: 300 * time.Millisecond,
		TokenTime: tokenTime, Handles: new(fakemodelworker.Handles)}
	if service == "model" {
		options.Stage = "decode"
	}
	worker, err := fakemodelworker.Start(r.ctx, options)
	if err != nil {
		r.Fatal(err)
	}
	return worker
}

// firstConfiguration returns a complete configuration of generation 1 with an idempotent route for each name and one
// streaming route.
func firstConfiguration(names ...string) []byte {
	routes := []string{fmt.Sprintf(`{"name":"stream","hostname":%q,"pathPrefix":"/stream/","routeType":"streaming","timeoutMs":8000,"service":"model","maxAttempts":1}`, testHost)}
	for _, name := range names {
		routes = append(routes, plainRoute(name))
	}
	return fmt.Appendf(nil, `{"generation":1,"routes":[%s],"services":[{"name":"store","healthPath":"/health","maxConnections":50},
		{"name":"model","healthPath":"/health","maxConnections":50}],"limits":{}}`, strings.Join(routes, ","))
}

func plainRoute(name string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":"/%s/","routeType":"idempotent","timeoutMs":2000,"service":"store","maxAttempts":2}`,
		name, testHost, name)
}

// addRoute returns a configuration change that adds one route.
func addRoute(generation int, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"upsert":{"routes":[%s]}}`, generation, plainRoute(name))
}

// sendFirstConfiguration sends the first configuration, which has base version 0.
func (r *fleetTest) sendFirstConfiguration(body []byte) {
	r.Helper()
	if err := r.operator.Replace(r.ctx, 0, body); err != nil {
		r.Fatalf("Config.Replace of the first configuration: %v", err)
	}
}

func (r *fleetTest) update(base uint64, body []byte) {
	r.Helper()
	if err := r.operator.Update(r.ctx, base, body); err != nil {
		r.Fatalf("Config.Update on base version %d: %v", base, err)
	}
}

// generation returns the generation of the configuration in force.
func (r *fleetTest) generation() int {
	r.Helper()
	body, err := r.operator.Read(r.ctx)
	if err != nil {
		r.Fatalf("Config.Read: %v", err)
	}
	var read struct{ Generation int }
	if err := json.Unmarshal(body, &read); err != nil {
		r.Fatalf("Config.Read: decode: %v: %s", err, body)
	}
	return read.Generation
}

// request sends one request through the proxy of an edge.
func (r *fleetTest) request(edge int, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.ctx, "POST", "http://"+r.fleet.ProxyAddress(edge)+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	request.Host = testHost
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(path, "/", "-"), edge, time.Now().UnixNano()))
	request.Header.Set("X-Token-Count", "10,20")
	return http.DefaultTransport.RoundTrip(request)
}

// allProxiesAnswer returns a check that every proxy answers a request for path with the given status.
func (r *fleetTest) allProxiesAnswer(path string, status int) func() bool {
	return func() bool {
		for edge := range edgeCount {
			response, err := r.request(edge, path)
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != status {
				return false
			}
		}
		return true
	}
}

// serverStatus is the part of the response of /-/status that the tests use.
type serverStatus struct {
	Member string
	Shards []struct {
		Shard   int
		Current bool
		Members []struct {
			Member string
			Voter  bool
		}
	}
}

func (r *fleetTest) status(server int) (status serverStatus, ok bool) {
	response, err := r.operator.Ask(r.ctx, r.fleet.ControlAddresses()[server], "GET", "/-/status", 0, nil)
	if err != nil || response.Status != http.StatusOK {
		return status, false
	}
	return status, json.Unmarshal(response.Body, &status) == nil
}

// isCurrentVoter reports whether a server is current and a voter in every shard, each with exactly serverCount members.
func (r *fleetTest) isCurrentVoter(server int) bool {
	status, ok := r.status(server)
	if !ok || len(status.Shards) == 0 {
		return false
	}
	for _, shard := range status.Shards {
		votes := false
		for _, member := range shard.Members {
			votes = votes || member.Member == status.Member && member.Voter
		}
		if !votes || !shard.Current || len(shard.Members) != serverCount {
			return false
		}
	}
	return true
}

// Accepted changes must survive the loss of one server, a restart of all servers, and the loss of one server's disk.
func TestFleet_configurationOutlivesServers(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "store", 0)
	r.sendFirstConfiguration(firstConfiguration("first"))
	r.await("the first route at all proxies", r.allProxiesAnswer("/first/x", http.StatusOK))

	r.fleet.Server(0).Kill()
	r.update(1, addRoute(2, "second"))
	r.await("the second route at all proxies, with one server down", r.allProxiesAnswer("/second/x", http.StatusOK))

	r.restartAllServers()
	if got := r.generation(); got != 2 {
		t.Fatalf("generation after all servers were killed and restarted: got %d, want 2", got)
	}
	r.replaceDisk(1)
	r.fleet.Server(2).Kill() // a majority now needs the server with the new disk
	r.update(2, addRoute(3, "third"))
	r.await("the third route at all proxies, accepted with the vote of the server with the new disk", r.allProxiesAnswer("/third/x", http.StatusOK))
	if got := r.generation(); got != 3 {
		t.Fatalf("generation after the disk was replaced: got %d, want 3", got)
	}
}

// restartAllServers kills all servers before it starts any of them again.
func (r *fleetTest) restartAllServers() {
	r.Helper()
	for i := range serverCount {
		r.fleet.Server(i).Kill()
	}
	for i := range serverCount {
		if _, err := r.fleet.StartServer(i, false); err != nil {
			r.Fatal(err)
		}
	}
}

// replaceDisk kills a server, deletes its data and waits until it has joined again as a voter under a new member ID.
func (r *fleetTest) replaceDisk(server int) {
	r.Helper()
	before, _ := r.status(server)
	r.fleet.Server(server).Kill()
	if err := r.fleet.WipeServer(server); err != nil {
		r.Fatal(err)
	}
	if _, err := r.fleet.StartServer(server, false); err != nil {
		r.Fatal(err)
	}
	r.await("the server with an empty disk to become a current voter", func() bool { return r.isCurrentVoter(server) })
	if after, ok := r.status(server); ok && after.Member == before.Member {
		r.Errorf("server that lost its disk: still member %s, want a new member ID", after.Member)
	}
}

// A proxy keeps serving known routes while its agent is down, and answers 503, not 404, for routes that it does not
// know, since it may have missed a change.
func TestFleet_proxyServesWithoutItsAgent(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "store", 0)
	r.sendFirstConfiguration(firstConfiguration("first"))
	r.await("the first route at all proxies", r.allProxiesAnswer("/first/x", http.StatusOK))
	for edge := range edgeCount {
		r.fleet.Agent(edge).Kill()
	}
	if !r.allProxiesAnswer("/first/x", http.StatusOK)() {
		t.Error("known route with the agents killed: want status 200 from every proxy")
	}
	r.update(1, addRoute(2, "second"))
	// Without its agent a proxy cannot know whether the route exists by now; 404 would claim that it does not.
	if !r.allProxiesAnswer("/second/x", http.StatusServiceUnavailable)() {
		t.Error("route added while the agents are down: want status 503 from every proxy; any other shows that a proxy got the change without its agent, or denies the route")
	}
	for edge := range edgeCount {
		if _, err := r.fleet.StartAgent(edge); err != nil {
			t.Fatal(err)
		}
	}
	r.await("the second route at all proxies after the agents restarted", r.allProxiesAnswer("/second/x", http.StatusOK))
	r.await("status 404 for an unknown route after the agents restarted", r.allProxiesAnswer("/third/x", http.StatusNotFound))
}

// A proxy that receives SIGTERM completes the streams in progress before it exits.
func TestFleet_streamCompletesAfterSIGTERM(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "model", 60*time.Millisecond)
	r.sendFirstConfiguration(firstConfiguration())
	r.await("the streaming route at all proxies", r.allProxiesAnswer("/stream/x", http.StatusOK))

	response, err := r.request(0, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	if !lines.Scan() {
		t.Fatalf("stream ended before its first line: %v", lines.Err())
	}
	proxy := r.fleet.Proxy(0)
	proxy.Terminate()
	events := 1
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if lines.Err() != nil || events != 20 {
		t.Errorf("stream after SIGTERM: got %d events, want 20; error %v", events, lines.Err())
	}
	if err := proxy.Stop(); err != nil {
		t.Errorf("proxy exit after SIGTERM: %v", err)
	}
}
