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
	shutdownWarmUpResponses = 5 // to each client, on average, before the signal
	// shutdownResponseTimeout is how long a client waits for a response before it counts the request as lost. No response
	// takes that long, because the node finishes its requests before it exits.
	shutdownResponseTimeout = time.Minute

	maxShutdownTime = 4 * time.Second
	// maxUnreadFraction is the highest allowed ratio of unread requests to responses after the signal.
	maxUnreadFraction = 1. / 20
)

// Errors returned if a shutdown does not keep its guarantees.
var (
	errShutdownLost = errors.New("a request was lost, or ran although its connection was closed before it was read")
	errShutdownLate = errors.New("the process took too long to shut down, or left too many requests unread")
)

// measureShutdown sends SIGTERM to a node under constant load and reports how long it takes to exit and what the outcome
// of the requests was.
type measureShutdown struct {
	Clients int           `default:"100" help:"Number of clients; each sends one request after the other."`
	JobRun  time.Duration `help:"Run time of a job on a prep worker." default:"40ms"`
	Hang    bool          `help:"Let one of the four prep workers hang: it reports the start of its jobs and nothing more."`
}

// shutdownResult counts the outcomes of the requests of clients that keep sending during a shutdown.
type shutdownResult struct {
	Took        float64  `json:"tookMs"` // from SIGTERM to the exit of the process
	Answered    int      `json:"answered"`
	Unread      int      `json:"unread"`      // connections closed before their last request was read
	RanUnread   int      `json:"ranUnread"`   // unread requests that a worker began nevertheless
	Lost        []string `json:"lost"`        // requests without a complete response
	AfterSignal int      `json:"afterSignal"` // responses after SIGTERM
}

// Run measures the shutdown and returns an error if a request was lost or the process took too long.
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
	result, err := c.shutDownUnderLoad(env.Ctx, fleet, node)
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

// check returns an error if the result violates the guarantees of a shutdown.
func (r shutdownResult) check() error {
	switch {
	case len(r.Lost) > 0 || r.RanUnread > 0:
		return errShutdownLost
	case r.Took > milliseconds(maxShutdownTime) || float64(r.Unread) > maxUnreadFraction*float64(r.AfterSignal):
		return errShutdownLate
	}
	return nil
}

// shutDownUnderLoad puts the node under load, sends SIGTERM after the warm-up responses, and waits for the node and all
// clients to end.
func (c *measureShutdown) shutDownUnderLoad(ctx context.Context, fleet *fakeplatform.Fleet, node *child) (shutdownResult, error) {
	var result shutdownResult
	var unreadIDs []string
	var mutex sync.Mutex
	var clients sync.WaitGroup
	warm := make(chan struct{})
	count := func(requestOutcome outcome, detail string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch requestOutcome {
		case answered:
			if result.Answered++; result.Answered == shutdownWarmUpResponses*c.Clients {
				close(warm)
			}
		case unread:
			unreadIDs = append(unreadIDs, detail)
		default:
			result.Lost = append(result.Lost, detail)
		}
	}
	for i := range c.Clients {
		clients.Go(func() { sendUntilRefused(strings.TrimPrefix(node.platform, "http://"), i, count) })
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
	clients.Wait()
	begun := fleet.StartCounts()
	for _, id := range unreadIDs {
		result.RanUnread += begun[id]
	}
	result.Unread, result.AfterSignal = len(unreadIDs), result.Answered-before
	return result, err
}

// outcome is the outcome of one request of a client that keeps sending.
type outcome int

const (
	answered outcome = iota // a complete response arrived
	unread                  // the connection was closed without a response byte: the node did not read the request
	broken                  // anything else
)

// sendUntilRefused sends requests one after the other, as fast as responses arrive, until the node refuses connections. It
// uses each connection until the node closes it.
func sendUntilRefused(address string, client int, count func(outcome, string)) {
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
				var netErr net.Error
				if errors.As(err, &netErr) && netErr.Timeout() {
					count(broken, id+": no response, and the connection stays open")
				} else {
					count(unread, id)
				}
				break
			}
			response, err := http.ReadResponse(r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				count(broken, id+": "+err.Error())
				break
			}
			count(answered, id)
			if response.Close {
				break
			}
		}
		c.Close()
	}
}
