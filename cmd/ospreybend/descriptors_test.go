package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ospreybend/internal/testkit/fakeplatform"
)

// A node must not run out of file descriptors. Idle clients use up the descriptors of a node with a low limit
// while discovery is unavailable. New clients must still be served, and once discovery is available again the endpoint
// list must be applied in time: both need descriptors.
func TestNode_idleClientsDuringDiscoveryOutage(t *testing.T) {
	const sockets, idleClients, maxUpdateTime = 128, 200, 6 * time.Second
	fleet, n := startChild(t, 2, 8, time.Millisecond)
	if err := n.kill(); err != nil { // restarted below with few descriptors and without the batch API
		t.Fatal(err)
	}
	path := filepath.Join(n.dir, "node.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	limited := strings.Replace(string(text), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	if err := os.WriteFile(path, []byte(limited), 0o600); err != nil || limited == string(text) {
		t.Fatalf("lower the sockets limit in %s: replaced %v, error %v", path, limited != string(text), err)
	}
	if err := os.WriteFile(filepath.Join(n.dir, "batch.toml"), []byte("enabled = false\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.batchDisabled = true
	if err := n.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	limit := unix.Rlimit{Cur: sockets, Max: sockets}
	if err := unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	address, requests := strings.TrimPrefix(n.platform, "http://"), 0
	sendRequest := func(c net.Conn) (status int, worker string) {
		requests++
		if _, err := fmt.Fprintf(c, "POST /modell-pruefen HTTP/1.1\r\nHost: a\r\nReq-Id: i%d\r\nReq-Deadline: 3\r\nContent-Length: 2\r\n\r\nhi", requests); err != nil {
			return 0, ""
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, ""
		}
		_, _ = io.Copy(io.Discard, response.Body)
		for _, w := range fleet.Workers {
			if w.StartCounts()[fmt.Sprint("i", requests)] > 0 {
				worker = w.Name
			}
		}
		return response.StatusCode, worker
	}
	requestFromNewClient := func() (int, string) {
		c, err := net.DialTimeout("tcp", address, maxUpdateTime)
		if err != nil {
			return 0, ""
		}
		defer c.Close()
		return sendRequest(c)
	}
	waitForRejections := func(times int) {
		if err := fakeplatform.WaitUntil(t.Context(), 2*maxUpdateTime, func() bool { return fleet.Discovery.Rejected() >= times }); err != nil {
			t.Fatalf("%d calls rejected by the unavailable discovery, want at least %d: %v", fleet.Discovery.Rejected(), times, err)
		}
	}
	fleet.Discovery.SetUnavailable(true)
	waitForRejections(1) // the watch has ended and its connection is closed
	for range idleClients {
		c, err := net.DialTimeout("tcp", address, maxUpdateTime)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal("health check of an idle client got no response: ", err)
		}
	}
	for range 20 {
		if status, _ := requestFromNewClient(); status != http.StatusOK {
			t.Fatalf("request of a new client besides %d idle clients: status %d, want 200", idleClients, status)
		}
	}
	waitForRejections(fleet.Discovery.Rejected() + 2) // discovery calls still get descriptors, taken from idle clients
	fleet.SetDraining(fleet.Workers[0], true)
	fleet.Discovery.SetUnavailable(false)
	availableSince, elsewhere := time.Now(), 0
	for elsewhere < 30 {
		status, worker := requestFromNewClient()
		if status != http.StatusOK {
			t.Fatalf("request after discovery became available again: status %d, want 200", status)
		}
		if elsewhere++; worker == fleet.Workers[0].Name {
			elsewhere = 0
			if time.Since(availableSince) > maxUpdateTime {
				t.Fatalf("a draining worker got a request %v after discovery became available again, want at most %v", time.Since(availableSince), maxUpdateTime)
			}
		}
	}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err != nil || len(open) > sockets {
		t.Errorf("%d open descriptors, want at most %d (error %v)", len(open), sockets, err)
	}
}
