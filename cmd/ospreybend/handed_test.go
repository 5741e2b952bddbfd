package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/internal/standin"
)

// rawClient is a client's connection that a test writes to byte by byte.
type rawClient struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rawClient{t, c, bufio.NewReader(c)}
}

func request(class, id string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: 5.000\r\nContent-Length: 5\r\n\r\nmodel", class, id)
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// served reads one answer, and checks that it is a result and that the connection
// stays open.
func (c *rawClient) served(what string) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Errorf("%s: %v", what, err)
		return
	}
	answer.Body.Close()
	if answer.StatusCode != 200 || answer.Close {
		c.t.Errorf("%s: status %d, last %v", what, answer.StatusCode, answer.Close)
	}
}

// What an old process has in work, and every client's connection that it holds,
// goes on in the next one: a job that runs for longer than the old one may live, a
// job that waits for a prep worker, half a request, an idle connection, a client
// that walks away later.
func TestHandedOver(t *testing.T) {
	fleet, dir, socket, address := upgradeWorld(t)
	for _, w := range fleet.Workers {
		w.Follow(func(j standin.Job) standin.Act {
			if j.Class == "vorschau" {
				return standin.Act{Run: 2500 * time.Millisecond}
			}
			return standin.Act{Run: 20 * time.Millisecond}
		})
	}
	a := startInherited(t, dir, "a", socket)
	a.ready()
	long, idle, half, gone, ahead := dialRaw(t, address), dialRaw(t, address), dialRaw(t, address), dialRaw(t, address), dialRaw(t, address)
	long.send(request("vorschau", "long"))
	idle.send(request("auftrag-buchen", "before"))
	idle.served("before the upgrade")
	half.send(request("auftrag-buchen", "half")[:40])
	gone.send(request("vorschau", "gone"))
	// The second of two at once has come and is not begun.
	ahead.send(request("vorschau", "first") + request("auftrag-buchen", "second"))
	if err := standin.Until(t.Context(), 5*time.Second, func() bool { return len(fleet.Begun()) == 4 }); err != nil {
		t.Fatal(fleet.Begun())
	}
	b := startInherited(t, dir, "b", socket)
	b.ready()
	began := time.Now()
	a.leave()
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Errorf("the old process took %v to leave", took)
	}
	if _, text := b.call("GET", "/-/metrics"); !strings.Contains(text, "balancer.in_flight:3|g") {
		t.Errorf("in flight after the upgrade: %s", text)
	}
	gone.Close()
	half.send(request("auftrag-buchen", "half")[40:])
	half.served("half a request")
	idle.send(request("auftrag-buchen", "after"))
	idle.served("the idle connection")
	long.served("the long job")
	ahead.served("the first of two")
	ahead.served("the second of two")
	for id, n := range fleet.Begun() {
		if n != 1 {
			t.Errorf("%s was begun %d times", id, n)
		}
	}
	if err := standin.Until(t.Context(), 5*time.Second, func() bool {
		_, text := b.call("GET", "/-/metrics")
		return strings.Contains(text, "balancer.in_flight:0|g")
	}); err != nil {
		t.Error("the job of a client that walked away is still in work")
	}
	if _, text := b.call("GET", "/-/metrics"); !strings.Contains(text, "balancer.served.auftrag-buchen:3|c") {
		t.Errorf("figures: %s", text)
	}
	b.leave()
}

// descriptors is how many a process holds.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// In a crowd of idle connections two processes together hold no more descriptors
// than one node may, and the operators of both are answered.
func TestTwoProcessesShareTheLimits(t *testing.T) {
	const limit = 192
	_, dir, socket, address := upgradeWorld(t)
	path := filepath.Join(dir, "node.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	few := strings.Replace(string(text), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, limit), 1)
	if few == string(text) {
		t.Fatal("the limit is not where it was")
	}
	if err := os.WriteFile(path, []byte(few), 0o600); err != nil {
		t.Fatal(err)
	}
	a := startInherited(t, dir, "a", socket)
	a.ready()
	crowd := func(n int) {
		for range n {
			dialRaw(t, address).send("GET /healthz HTTP/1.1\r\n\r\n")
		}
	}
	crowd(150)
	if err := standin.Until(t.Context(), 5*time.Second, func() bool { return a.descriptors() > limit/3 }); err != nil {
		t.Fatalf("%d descriptors: no crowd", a.descriptors())
	}
	b := startInherited(t, dir, "b", socket)
	b.ready()
	crowd(300)
	// The old one has made room: it holds no more than its half.
	if err := standin.Until(t.Context(), 5*time.Second, func() bool {
		return a.descriptors() <= limit/3 && b.descriptors() > limit/6
	}); err != nil {
		t.Errorf("%d and %d descriptors", a.descriptors(), b.descriptors())
	}
	for range 20 {
		if n, m := a.descriptors(), b.descriptors(); n+m > limit {
			t.Errorf("%d and %d descriptors", n, m)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, p := range []*process{a, b} {
		if s, text := p.call("GET", "/-/ready"); s != 200 {
			t.Errorf("not answered in the crowd: %d %s", s, text)
		}
	}
	a.leave()
	if n := b.descriptors(); n > limit {
		t.Errorf("%d descriptors at the one that stays", n)
	}
	b.leave()
}
