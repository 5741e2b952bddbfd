package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/testkit/fakeplatform"
)

// errWronglyBegun is an audit that has found a booking lost or begun twice.
var errWronglyBegun = errors.New("a booking was begun twice or forgotten")

// measureKill kills a node while bookings are submitted and audits what became of each.
type measureKill struct {
	Rounds  int           `default:"5"`
	Clients int           `help:"That book at once." default:"32"`
	For     time.Duration `help:"From the first booking to the kill." default:"800ms"`
	JobRun  time.Duration `help:"Of a booking at a prep worker." default:"50ms"`
	Points  bool          `help:"Have the node kill itself at each fault point in turn, instead of at a time."`
}

// bookingAudit is what became of the bookings of one round.
type bookingAudit struct {
	Point        string `json:"point,omitempty"`
	Passing      int    `json:"passing,omitempty"`
	Acknowledged int    `json:"acknowledged"`
	Begun        int    `json:"begunBeforeTheKill"` // at prep workers
	Done         int    `json:"done"`
	Undecided    int    `json:"undecided"` // FAILED, may have run
	NeverBegun   int    `json:"undecidedThatNeverBegan"`
	Twice        int    `json:"begunTwice"`
	Forgotten    int    `json:"forgotten"`
	OtherFailed  int    `json:"otherwiseFailed"`
}

// Run plays the rounds, prints their audits and fails if one of them found a booking lost or begun twice.
func (c *measureKill) Run(env *cli.Env) error {
	var audits []bookingAudit
	points := []string{""}
	if c.Points {
		points = faultinjection.Points()
	}
	for i := range c.Rounds {
		for _, point := range points {
			passing := 1 + 7*i
			audit, err := c.runRound(env.Ctx, point, passing)
			if err != nil {
				return fmt.Errorf("%s:%d: %w", point, passing, err)
			}
			audits = append(audits, audit)
		}
	}
	if err := env.Show(audits, func(w io.Writer) { printAudits(w, audits) }); err != nil {
		return err
	}
	for _, audit := range audits {
		if audit.Twice+audit.Forgotten > 0 {
			return errWronglyBegun
		}
	}
	return nil
}

func printAudits(w io.Writer, audits []bookingAudit) {
	fmt.Fprintln(w, "POINT\tACKNOWLEDGED\tBEGUN BEFORE\tDONE\tUNDECIDED\tOF THESE NEVER BEGUN\tBEGUN TWICE\tFORGOTTEN\tOTHERWISE FAILED")
	for _, audit := range audits {
		fmt.Fprintf(w, "%s:%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", audit.Point, audit.Passing, audit.Acknowledged, audit.Begun, audit.Done,
			audit.Undecided, audit.NeverBegun, audit.Twice, audit.Forgotten, audit.OtherFailed)
	}
}

// runRound kills a node and starts it again. With a fault point the node kills itself the given time it passes there.
func (c *measureKill) runRound(ctx context.Context, point string, passing int) (bookingAudit, error) {
	audit := bookingAudit{Point: point, Passing: passing}
	dir, err := os.MkdirTemp("", "ospreybend-kill-")
	if err != nil {
		return audit, err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 2, 8, fakeplatform.FixedRunTime(c.JobRun))
	if err != nil {
		return audit, err
	}
	defer fleet.Stop()
	node, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return audit, err
	}
	var env []string
	if point != "" {
		env = append(env, "OSPREYBEND_FAULT="+point+":"+strconv.Itoa(passing))
	}
	if err := node.startWithEnv(ctx, env...); err != nil {
		return audit, err
	}
	defer func() { _ = node.kill() }()
	session, err := node.tenant(ctx, "anna", 1_000_000)
	if err != nil {
		return audit, err
	}
	acknowledged, err := c.killDuringBookings(ctx, node, session, point != "")
	if err != nil {
		return audit, err
	}
	audit.Acknowledged, audit.Begun = len(acknowledged), len(fleet.StartCounts())
	if err := node.start(ctx); err != nil {
		return audit, err
	}
	return audit, audit.add(ctx, session, fleet, acknowledged)
}

// add waits for each of the acknowledged bookings and counts what became of it.
func (a *bookingAudit) add(ctx context.Context, session *client.Session, fleet *fakeplatform.Fleet, acknowledged []string) error {
	for _, id := range acknowledged {
		job, err := session.Wait(ctx, id, client.Terminated)
		switch {
		case errors.Is(err, &drmaa.Error{Name: drmaa.InvalidArgument}):
			a.Forgotten++
			continue
		case err != nil:
			return err
		}
		begun := fleet.StartCounts()[id]
		switch {
		case job.State == drmaa.Done:
			a.Done++
		case job.MayHaveRun:
			a.Undecided++
			if begun == 0 {
				a.NeverBegun++
			}
		default:
			a.OtherFailed++
		}
		if begun > 1 {
			a.Twice++
		}
	}
	return nil
}

// killDuringBookings submits bookings from several clients, kills the node, or waits until it has killed itself, and
// returns the identifiers of the acknowledged jobs.
func (c *measureKill) killDuringBookings(ctx context.Context, node *child, session *client.Session, killsItself bool) (acknowledged []string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mutex sync.Mutex // of acknowledged
	var clients sync.WaitGroup
	for range c.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				job, err := session.Run(ctx, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen"})
				if err != nil {
					return // the node is gone
				}
				mutex.Lock()
				acknowledged = append(acknowledged, job.ID)
				mutex.Unlock()
			}
		})
	}
	if killsItself {
		node.waitExit()
	} else {
		time.Sleep(c.For)
		err = node.kill()
	}
	stop()
	clients.Wait()
	return acknowledged, err
}
