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

// errBookingLostOrDuplicated is returned after an audit that found a booking lost or begun more than once.
var errBookingLostOrDuplicated = errors.New("a booking was lost or began more than once")

// measureKill kills a node while bookings are submitted and audits the outcome of each.
type measureKill struct {
	Rounds  int           `help:"Number of rounds, at each fault point if --points is set." default:"5"`
	Clients int           `help:"Number of concurrent clients that submit bookings." default:"32"`
	For     time.Duration `help:"Time from the first booking to the kill." default:"800ms"`
	JobRun  time.Duration `help:"Run time of a booking on a prep worker." default:"50ms"`
	Points  bool          `help:"Make the node kill itself at each fault point in turn, instead of killing it after a fixed time."`
}

// bookingAudit counts the outcomes of the bookings of one round.
type bookingAudit struct {
	Point        string `json:"point,omitempty"`
	Occurrence   int    `json:"passing,omitempty"`
	Acknowledged int    `json:"acknowledged"`
	Begun        int    `json:"begunBeforeTheKill"` // on prep workers
	Done         int    `json:"done"`
	Undecided    int    `json:"undecided"` // FAILED, may have run
	NeverBegun   int    `json:"undecidedThatNeverBegan"`
	BegunTwice   int    `json:"begunTwice"`
	Lost         int    `json:"forgotten"`
	OtherFailed  int    `json:"otherwiseFailed"`
}

// Run runs the rounds, prints their audits and returns an error if one of them found a booking lost or begun more than
// once.
func (c *measureKill) Run(env *cli.Env) error {
	var audits []bookingAudit
	points := []string{""}
	if c.Points {
		points = faultinjection.Points()
	}
	for i := range c.Rounds {
		for _, point := range points {
			occurrence := 1 + 7*i
			audit, err := c.runRound(env.Ctx, point, occurrence)
			if err != nil {
				return fmt.Errorf("fault point %q, occurrence %d: %w", point, occurrence, err)
			}
			audits = append(audits, audit)
		}
	}
	if err := env.Show(audits, func(w io.Writer) { printAudits(w, audits) }); err != nil {
		return err
	}
	for _, audit := range audits {
		if audit.BegunTwice+audit.Lost > 0 {
			return errBookingLostOrDuplicated
		}
	}
	return nil
}

func printAudits(w io.Writer, audits []bookingAudit) {
	fmt.Fprintln(w, "POINT\tACKNOWLEDGED\tBEGUN BEFORE\tDONE\tUNDECIDED\tOF THESE NEVER BEGUN\tBEGUN TWICE\tLOST\tOTHERWISE FAILED")
	for _, audit := range audits {
		fmt.Fprintf(w, "%s:%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", audit.Point, audit.Occurrence, audit.Acknowledged, audit.Begun, audit.Done,
			audit.Undecided, audit.NeverBegun, audit.BegunTwice, audit.Lost, audit.OtherFailed)
	}
}

// runRound kills a node during bookings, restarts it and audits the bookings. With a fault point, the node kills itself
// when it reaches that point for the given time (1: the first).
func (c *measureKill) runRound(ctx context.Context, point string, occurrence int) (bookingAudit, error) {
	audit := bookingAudit{Point: point, Occurrence: occurrence}
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
		env = append(env, "OSPREYBEND_FAULT="+point+":"+strconv.Itoa(occurrence))
	}
	if err := node.startWithEnv(ctx, env...); err != nil {
		return audit, err
	}
	defer func() { _ = node.kill() }()
	session, err := node.createTenantSession(ctx, "anna", 1_000_000)
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

// add waits for each of the acknowledged bookings and counts its outcome.
func (a *bookingAudit) add(ctx context.Context, session *client.Session, fleet *fakeplatform.Fleet, acknowledged []string) error {
	for _, id := range acknowledged {
		job, err := session.Wait(ctx, id, client.Terminated)
		switch {
		case errors.Is(err, &drmaa.Error{Name: drmaa.InvalidArgument}):
			a.Lost++
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
			a.BegunTwice++
		}
	}
	return nil
}

// killDuringBookings submits bookings from concurrent clients and kills the node, or waits until it has killed itself. It
// returns the identifiers of the acknowledged jobs.
func (c *measureKill) killDuringBookings(ctx context.Context, node *child, session *client.Session, killsItself bool) (acknowledged []string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mutex sync.Mutex // guards acknowledged
	var clients sync.WaitGroup
	for range c.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				job, err := session.Run(ctx, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen"})
				if err != nil {
					return // the node has been killed
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
