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

// Idle clients use up the descriptors of a node with a low limit while discovery is unavailable. A new client is still
// served, and the endpoint list is applied in time when discovery is back: both need descriptors.
func TestNode_idleClientsDuringDiscoveryOutage(t *testing.T) {
	const sockets, idlers, known = 128, 200, 6 * time.Second
	fleet, n := startChild(t, 2, 8, time.Millisecond)
	if err := n.kill(); err != nil { // it is restarted with few descriptors and without its batch API
		t.Fatal(err)
	}
	path := filepath.Join(n.dir, "node.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	few := strings.Replace(string(text), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	if err := os.WriteFile(path, []byte(few), 0o600); err != nil || few == string(text) {
		t.Fatal("no limit to change", err)
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
	address, asked := strings.TrimPrefix(n.platform, "http://"), 0
	ask := func(c net.Conn) (status int, worker string) {
		asked++
		if _, err := fmt.Fprintf(c, "POST /modell-pruefen HTTP/1.1\r\nHost: a\r\nReq-Id: i%d\r\nReq-Deadline: 3\r\nContent-Length: 2\r\n\r\nhi", asked); err != nil {
			return 0, ""
		}
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, ""
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		for _, w := range fleet.Workers {
			if w.StartCounts()[fmt.Sprint("i", asked)] > 0 {
				worker = w.Name
			}
		}
		return answer.StatusCode, worker
	}
	comes := func() (int, string) {
		c, err := net.DialTimeout("tcp", address, known)
		if err != nil {
			return 0, ""
		}
		defer c.Close()
		return ask(c)
	}
	refused := func(times int) {
		if err := fakeplatform.WaitUntil(t.Context(), 2*known, func() bool { return fleet.Discovery.Rejected() >= times }); err != nil {
			t.Fatalf("%d calls for the list while it is down: %v", fleet.Discovery.Rejected(), err)
		}
	}
	fleet.Discovery.SetUnavailable(true)
	refused(1) // the watch has ended, and with it its connection
	for range idlers {
		c, err := net.DialTimeout("tcp", address, known)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal("an idle client got no answer: ", err)
		}
	}
	for range 20 {
		if status, _ := comes(); status != http.StatusOK {
			t.Fatalf("a client among idle ones got %d", status)
		}
	}
	refused(fleet.Discovery.Rejected() + 2) // it finds a descriptor for its calls among those of the idle clients
	fleet.SetDraining(fleet.Workers[0], true)
	fleet.Discovery.SetUnavailable(false)
	back, other := time.Now(), 0
	for other < 30 {
		status, worker := comes()
		if status != http.StatusOK {
			t.Fatalf("a client got %d after the return", status)
		}
		if other++; worker == fleet.Workers[0].Name {
			other = 0
			if time.Since(back) > known {
				t.Fatalf("%v after the return a draining worker still gets requests", time.Since(back))
			}
		}
	}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err != nil || len(open) > sockets {
		t.Errorf("%d descriptors, %v", len(open), err)
	}
}
