package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/scriptedpeer"
)

// outcome is what became of one request of a client that never stops sending.
type outcome int

const (
	answered outcome = iota // a complete response arrived
	unread                  // the connection was closed without a byte: the node did not read the request
	broken                  // anything else
)

// sendUntilClosed sends requests on one connection after the other, as fast as responses arrive, until nobody listens any
// more. It uses each connection until the node closes it.
func sendUntilClosed(address string, client int, count func(outcome, string)) {
	for n := 0; ; {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			id := fmt.Sprintf("h%dx%d", client, n)
			n++
			if _, err := fmt.Fprintf(c, "POST /modell-pruefen HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 3\r\nContent-Length: 2\r\n\r\nhi", id); err != nil {
				count(unread, id)
				break
			}
			_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
			if _, err := r.Peek(1); err != nil {
				var late net.Error
				if errors.As(err, &late) && late.Timeout() {
					count(broken, id+": no answer, and the connection stays open")
				} else {
					count(unread, id)
				}
				break
			}
			answer, err := http.ReadResponse(r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
			}
			if err != nil {
				count(broken, id+": "+err.Error())
				break
			}
			count(answered, id)
			if answer.Close {
				break
			}
		}
		c.Close()
	}
}

// After SIGTERM a hundred clients go on sending on every connection that stays open. Every request that the node has read
// is answered completely; each connection may close with one unread request; and the process ends in time, with exit
// code 0.
func TestShutdown_underConstantLoad(t *testing.T) {
	t.Run("all well", func(t *testing.T) { shutdownUnderLoad(t, false) })
	t.Run("a quarter hangs", func(t *testing.T) { shutdownUnderLoad(t, true) })
}

// shutdownUnderLoad runs the test. With hang, one of the four prep workers reports the start of its jobs and nothing more,
// from just before the signal on.
func shutdownUnderLoad(t *testing.T, hang bool) {
	fleet, n := startChild(t, 4, 64, 40*time.Millisecond)
	const clients = 100
	var mu sync.Mutex
	var all sync.WaitGroup
	var served atomic.Int64
	crossings, faults := 0, []string{}
	warm := make(chan struct{})
	for i := range clients {
		all.Go(func() {
			sendUntilClosed(strings.TrimPrefix(n.platform, "http://"), i, func(e outcome, what string) {
				switch e {
				case answered:
					if served.Add(1) == 5*clients {
						close(warm)
					}
				case unread:
					mu.Lock()
					crossings++
					mu.Unlock()
				default:
					mu.Lock()
					faults = append(faults, what)
					mu.Unlock()
				}
			})
		})
	}
	<-warm
	if hang {
		fleet.Workers[0].SetScript(func(fakeplatform.Job) fakeplatform.Act { return fakeplatform.Act{Kind: fakeplatform.Hang} })
	}
	before, began := served.Load(), time.Now()
	err := n.shutdown()
	took := time.Since(began)
	all.Wait()
	if err != nil {
		t.Errorf("the process ended with %v", err)
	}
	if took > 4*time.Second {
		t.Errorf("it took %v to shut down", took)
	}
	if len(faults) > 0 {
		t.Errorf("%d requests were lost, the first: %s", len(faults), faults[0])
	}
	// A new connection may be closed without an answer for one request in 200 at most.
	if after := served.Load() - before; crossings*20 > int(after) || after == 0 {
		t.Errorf("%d requests were not read before the end of a connection, %d were answered after the signal", crossings, after)
	}
}

// SIGTERM, SIGHUP and another SIGTERM arrive while a request is in flight. The request is answered, and the process ends
// without an error.
func TestShutdown_furtherSignals(t *testing.T) {
	fleet, n := startChild(t, 1, 4, 300*time.Millisecond)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.platform, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /auftrag-buchen HTTP/1.1\r\nHost: a\r\nReq-Id: s1\r\nReq-Deadline: 3\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
		t.Fatal(err)
	}
	if err := fakeplatform.WaitUntil(t.Context(), 5*time.Second, func() bool { return fleet.Begun()["s1"] == 1 }); err != nil {
		t.Fatal(err)
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := n.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("answer %v, %v", answer, err)
	}
	c.Close()
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	n.cmd = nil
}

// A process that is signalled to shut down before it was ever ready ends without an error, and soon.
func TestShutdown_beforeReady(t *testing.T) {
	n, err := newChild(t.TempDir(), scriptedpeer.FreeAddress(t), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.kill() })
	started := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { started <- n.start(ctx) }()
	if err := fakeplatform.WaitUntil(t.Context(), 10*time.Second, func() bool {
		answer, err := http.Get(n.platform + "/healthz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusServiceUnavailable
	}); err != nil {
		t.Fatal("it does not say that it is not ready: ", err)
	}
	stop()
	if err := <-started; err != nil {
		t.Log("the cancelled start: ", err)
	}
	began := time.Now()
	if err := n.shutdown(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("it took %v", took)
	}
}
