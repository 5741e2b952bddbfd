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
	poll        = 20 * time.Millisecond
	testLimit   = 40 * time.Second
	serverCount = 3
	edges       = 2
	hostOfTests = "whole.example"
)

// binary is the fleet's program, built once for all tests.
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

// fleetTest is a running fleet with an operator.
type fleetTest struct {
	*testing.T
	ctx      context.Context
	fleet    *localfleet.Fleet
	operator *localfleet.Operator
}

// newFleetTest starts a fleet, whose processes are killed at the end of the test.
func newFleetTest(t *testing.T) *fleetTest {
	t.Helper()
	fleet, err := localfleet.New(localfleet.Layout{Binary: binary, Directory: t.TempDir(), Servers: serverCount, Edges: edges})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	operator := localfleet.NewOperator(fleet.Control())
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

// await fails the test if a condition does not come about.
func (r *fleetTest) await(what string, check func() bool) {
	r.Helper()
	if err := localfleet.Await(r.ctx, poll, check); err != nil {
		r.Fatalf("%s: %v", what, err)
	}
}

// worker starts a fake worker of a service.
func (r *fleetTest) worker(i int, service string, tokenTime time.Duration) *fakemodelworker.Worker {
	r.Helper()
	options := fakemodelworker.Options{ID: fmt.Sprintf("worker-%d", i), Zone: localfleet.Zone(i), Service: service,
		Address: r.fleet.Worker(i), Slots: 8, Control: r.fleet.Control(), HeartbeatInterval: 300 * time.Millisecond,
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

// firstConfiguration is a complete configuration of generation 1 with a plain route for each name and one streaming route.
func firstConfiguration(names ...string) []byte {
	routes := []string{fmt.Sprintf(`{"name":"stream","hostname":%q,"pathPrefix":"/stream/","routeType":"streaming","timeoutMs":8000,"service":"model","maxAttempts":1}`, hostOfTests)}
	for _, name := range names {
		routes = append(routes, plainRoute(name))
	}
	return fmt.Appendf(nil, `{"generation":1,"routes":[%s],"services":[{"name":"store","healthPath":"/health","maxConnections":50},
		{"name":"model","healthPath":"/health","maxConnections":50}],"limits":{}}`, strings.Join(routes, ","))
}

func plainRoute(name string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":"/%s/","routeType":"idempotent","timeoutMs":2000,"service":"store","maxAttempts":2}`,
		name, hostOfTests, name)
}

// addRoute is a change that adds one route.
func addRoute(generation int, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"upsert":{"routes":[%s]}}`, generation, plainRoute(name))
}

// replaceFirst sends the first configuration, which has no base.
func (r *fleetTest) replaceFirst(body []byte) {
	r.Helper()
	if err := r.operator.Replace(r.ctx, 0, body); err != nil {
		r.Fatalf("replace on no configuration: %v", err)
	}
}

func (r *fleetTest) update(base uint64, body []byte) {
	r.Helper()
	if err := r.operator.Update(r.ctx, base, body); err != nil {
		r.Fatalf("update on %d: %v", base, err)
	}
}

// generation reads the configuration back.
func (r *fleetTest) generation() int {
	r.Helper()
	body, err := r.operator.Read(r.ctx)
	if err != nil {
		r.Fatalf("read: %v", err)
	}
	var read struct{ Generation int }
	if err := json.Unmarshal(body, &read); err != nil {
		r.Fatalf("read: %v: %s", err, body)
	}
	return read.Generation
}

// request sends one request through a proxy.
func (r *fleetTest) request(edge int, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.ctx, "POST", "http://"+r.fleet.Front(edge)+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	request.Host = hostOfTests
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(path, "/", "-"), edge, time.Now().UnixNano()))
	request.Header.Set("X-Token-Count", "10,20")
	return http.DefaultTransport.RoundTrip(request)
}

// answers reports whether each proxy answers on a route with a status.
func (r *fleetTest) answers(path string, status int) func() bool {
	return func() bool {
		for edge := range edges {
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

// serverStatus is the part of a server's status that the tests read.
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
	response, err := r.operator.Ask(r.ctx, r.fleet.Control()[server], "GET", "/-/status", 0, nil)
	if err != nil || response.Status != http.StatusOK {
		return status, false
	}
	return status, json.Unmarshal(response.Body, &status) == nil
}

// votes reports whether a server is a current voter of all groups that have exactly the wanted members.
func (r *fleetTest) votes(server int) bool {
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

func TestFleet_configurationOutlivesServers(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "store", 0)
	r.replaceFirst(firstConfiguration("first"))
	r.await("the first route at all proxies", r.answers("/first/x", http.StatusOK))

	r.fleet.Server(0).Kill()
	r.update(1, addRoute(2, "second"))
	r.await("a change accepted without one server", r.answers("/second/x", http.StatusOK))

	r.restartAllServers()
	if got := r.generation(); got != 2 {
		t.Fatalf("read back after all servers were killed: generation %d, want 2", got)
	}
	r.replaceDisk(1)
	r.fleet.Server(2).Kill() // what is acknowledged now needs the server with the new disk
	r.update(2, addRoute(3, "third"))
	r.await("a change taken with the new disk's vote", r.answers("/third/x", http.StatusOK))
	if got := r.generation(); got != 3 {
		t.Fatalf("generation %d, want 3", got)
	}
}

// restartAllServers kills all servers before any starts again.
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

// replaceDisk kills a server, removes its disk and has it join again.
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
	r.await("a server with an empty disk to be a voter again", func() bool { return r.votes(server) })
	if after, ok := r.status(server); ok && after.Member == before.Member {
		r.Errorf("the server that lost its disk is still member %s", after.Member)
	}
}

func TestFleet_proxyServesWithoutItsAgent(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "store", 0)
	r.replaceFirst(firstConfiguration("first"))
	r.await("the first route at all proxies", r.answers("/first/x", http.StatusOK))
	for edge := range edges {
		r.fleet.Agent(edge).Kill()
	}
	if !r.answers("/first/x", http.StatusOK)() {
		t.Error("a proxy without its agent does not serve")
	}
	r.update(1, addRoute(2, "second"))
	// Without an agent nobody knows whether there is such a route by now, and 404 would report that there is none.
	if !r.answers("/second/x", http.StatusServiceUnavailable)() {
		t.Error("a change has come without an agent, or is denied: the proxies do not read from their own agents")
	}
	for edge := range edges {
		if _, err := r.fleet.StartAgent(edge); err != nil {
			t.Fatal(err)
		}
	}
	r.await("the change after the agents are back", r.answers("/second/x", http.StatusOK))
	r.await("a route that there is not, after the agents are back", r.answers("/third/x", http.StatusNotFound))
}

func TestFleet_streamCompletesAfterSIGTERM(t *testing.T) {
	t.Parallel()
	r := newFleetTest(t)
	r.worker(0, "model", 60*time.Millisecond)
	r.replaceFirst(firstConfiguration())
	r.await("the streaming route at all proxies", r.answers("/stream/x", http.StatusOK))

	response, err := r.request(0, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	if !lines.Scan() {
		t.Fatalf("no first line: %v", lines.Err())
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
		t.Errorf("the stream ended after %d events of 20: %v", events, lines.Err())
	}
	if err := proxy.Stop(); err != nil {
		t.Errorf("the proxy ended badly: %v", err)
	}
}
