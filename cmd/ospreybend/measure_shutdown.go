package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
)

const (
	shutdownWorkers         = 4
	shutdownSlots           = 64
	shutdownWarmUpResponses = 5 // of each client, before the signal
	// shutdownResponseTimeout is how long a client waits for a response before it counts as lost. No response takes so long:
	// the node ends the requests that it has before it ends itself.
	shutdownResponseTimeout = time.Minute

	maxShutdownTime = 4 * time.Second
	// maxUnreadPart is the part of the responses after the signal that the unread requests may come to.
	maxUnreadPart = 1. / 20
)

// Errors of the measurement of a shutdown.
var (
	errShutdownLost = errors.New("a request was lost, or ran though its connection was closed unread")
	errShutdownLate = errors.New("the process took too long to shut down, or left too many requests unread")
)

// measureShutdown sends a node SIGTERM under constant load and reports how long it takes to end and what became of the
// requests.
type measureShutdown struct {
	Clients int           `default:"100" help:"Each sends one request after the other."`
	JobRun  time.Duration `help:"Of a job at a prep worker." default:"40ms"`
	Hang    bool          `help:"One of the four prep workers reports the start of its jobs and nothing more."`
}

// shutdownResult is what became of the requests of clients that go on sending during a shutdown.
type shutdownResult struct {
	Took        float64  `json:"tookMs"` // from SIGTERM to the end of the process
	Answered    int      `json:"answered"`
	Unread      int      `json:"unread"`      // connections that were closed before their last request was read
	RanUnread   int      `json:"ranUnread"`   // unread requests that a worker began all the same
	Lost        []string `json:"lost"`        // requests without a complete response
	AfterSignal int      `json:"afterSignal"` // responses after SIGTERM
}

// Run plays the shutdown and fails if a request was lost or the process took too long.
func (c *measureShutdown) Run(env *cli.Env) error {
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, shutdownWorkers, shutdownSlots, fakeplatform.FixedRunTime(c.JobRun))
	if err != nil {
		return err
	}
	defer fleet.Stop()
	dir, err := os.MkdirTemp("", "ospreybend-shutdown-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	node, err := newChild(dir, fleet.Discovery.Address(), "")
	if err != nil {
		return err
	}
	if err := node.start(env.Ctx); err != nil {
		return errors.Join(err, node.kill())
	}
	result, err := c.play(env.Ctx, fleet, node)
	if err != nil {
		return errors.Join(err, node.kill())
	}
	if err := env.Show(result, func(w io.Writer) {
		fmt.Fprintln(w, "TOOK MS\tANSWERED\tAFTER SIGTERM\tUNREAD\tRAN UNREAD\tLOST")
		fmt.Fprintf(w, "%.0f\t%d\t%d\t%d\t%d\t%d\n", result.Took, result.Answered, result.AfterSignal, result.Unread, result.RanUnread, len(result.Lost))
	}); err != nil {
		return err
	}
	return result.check()
}

// check compares the result with what a shutdown promises.
func (r shutdownResult) check() error {
	switch {
	case len(r.Lost) > 0 || r.RanUnread > 0:
		return errShutdownLost
	case r.Took > milliseconds(maxShutdownTime) || float64(r.Unread) > maxUnreadPart*float64(r.AfterSignal):
		return errShutdownLate
	}
	return nil
}

// play loads the node, sends it SIGTERM once all clients are served, and waits for its end and theirs.
func (c *measureShutdown) play(ctx context.Context, fleet *fakeplatform.Fleet, node *child) (shutdownResult, error) {
	var result shutdownResult
	var unreadIDs []string
	var mutex sync.Mutex
	var all sync.WaitGroup
	warm := make(chan struct{})
	count := func(ended outcome, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch ended {
		case answered:
			if result.Answered++; result.Answered == shutdownWarmUpResponses*c.Clients {
				close(warm)
			}
		case unread:
			unreadIDs = append(unreadIDs, what)
		default:
			result.Lost = append(result.Lost, what)
		}
	}
	for i := range c.Clients {
		all.Go(func() { sendUntilClosed(strings.TrimPrefix(node.platform, "http://"), i, count) })
	}
	select {
	case <-warm:
	case <-ctx.Done():
		return result, ctx.Err()
	}
	if c.Hang {
		fleet.Workers[0].SetScript(func(fakeplatform.Job) fakeplatform.Act { return fakeplatform.Act{Kind: fakeplatform.Hang} })
	}
	mutex.Lock()
	before := result.Answered
	mutex.Unlock()
	began := time.Now()
	err := node.shutdown()
	result.Took = milliseconds(time.Since(began))
	all.Wait()
	begun := fleet.StartCounts()
	for _, id := range unreadIDs {
		result.RanUnread += begun[id]
	}
	result.Unread, result.AfterSignal = len(unreadIDs), result.Answered-before
	return result, err
}

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
			if _, err := fmt.Fprintf(c, "POST /modell-pruefen HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 25\r\nContent-Length: 2\r\n\r\nhi", id); err != nil {
				count(unread, id)
				break
			}
			_ = c.SetReadDeadline(time.Now().Add(shutdownResponseTimeout))
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
