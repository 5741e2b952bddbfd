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

// measureKill kills a node amid bookings and audits what became of each.
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

// Run measures.
func (c *measureKill) Run(env *cli.Env) error {
	var all []bookingAudit
	points := []string{""}
	if c.Points {
		points = faultinjection.Points()
	}
	for i := range c.Rounds {
		for _, point := range points {
			a, err := c.runRound(env.Ctx, point, 1+7*i)
			if err != nil {
				return fmt.Errorf("%s:%d: %w", point, 1+7*i, err)
			}
			all = append(all, a)
		}
	}
	if err := env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "POINT\tACKNOWLEDGED\tBEGUN BEFORE\tDONE\tUNDECIDED\tOF THESE NEVER BEGUN\tBEGUN TWICE\tFORGOTTEN\tOTHERWISE FAILED")
		for _, a := range all {
			fmt.Fprintf(w, "%s:%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", a.Point, a.Passing, a.Acknowledged, a.Begun, a.Done, a.Undecided, a.NeverBegun, a.Twice, a.Forgotten, a.OtherFailed)
		}
	}); err != nil {
		return err
	}
	for _, a := range all {
		if a.Twice+a.Forgotten > 0 {
			return errors.New("a booking was begun twice or forgotten")
		}
	}
	return nil
}

func (c *measureKill) runRound(ctx context.Context, point string, passing int) (out bookingAudit, err error) {
	out.Point, out.Passing = point, passing
	dir, err := os.MkdirTemp("", "ospreybend-kill-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 2, 8, fakeplatform.For(c.JobRun))
	if err != nil {
		return out, err
	}
	defer fleet.Stop()
	n, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return out, err
	}
	var env []string
	if point != "" {
		env = append(env, "OSPREYBEND_FAULT="+point+":"+strconv.Itoa(passing))
	}
	if err := n.startWithEnv(ctx, env...); err != nil {
		return out, err
	}
	defer func() { _ = n.kill() }()
	s, err := n.tenant(ctx, "anna", 1_000_000)
	if err != nil {
		return out, err
	}
	taken, err := c.killDuringBookings(ctx, n, s, point != "")
	if err != nil {
		return out, err
	}
	out.Acknowledged, out.Begun = len(taken), len(fleet.Begun())
	if err := n.start(ctx); err != nil {
		return out, err
	}
	for _, id := range taken {
		j, err := s.Wait(ctx, id, client.Terminated)
		switch {
		case errors.Is(err, &drmaa.Error{Name: drmaa.InvalidArgument}):
			out.Forgotten++
			continue
		case err != nil:
			return out, err
		}
		begun := fleet.Begun()[id]
		switch {
		case j.State == drmaa.Done:
			out.Done++
		case j.MayHaveRun:
			out.Undecided++
			if begun == 0 {
				out.NeverBegun++
			}
		default:
			out.OtherFailed++
		}
		if begun > 1 {
			out.Twice++
		}
	}
	return out, nil
}

// killDuringBookings books from several clients, kills the node and returns the jobs that were
// acknowledged.
func (c *measureKill) killDuringBookings(ctx context.Context, n *child, s *client.Session, itself bool) (acknowledged []string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	var all sync.WaitGroup
	for range c.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for ctx.Err() == nil {
				j, err := s.Run(ctx, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen"})
				if err != nil {
					return // the node is gone
				}
				mu.Lock()
				acknowledged = append(acknowledged, j.ID)
				mu.Unlock()
			}
		}()
	}
	if itself {
		n.waitExit()
	} else {
		time.Sleep(c.For)
		err = n.kill()
	}
	stop()
	all.Wait()
	return acknowledged, err
}
