package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// measureStall stalls the store of record under load and measures both servers.
type measureStall struct {
	For     time.Duration `help:"Of a phase." default:"12s"`
	Stall   time.Duration `default:"5s"`
	Clients int           `help:"That book at once." default:"8"`
	Rate    float64       `help:"Platform requests a second." default:"100"`
	Kill    bool          `help:"Kill the node amid the stall, and start it again."`
}

// stallPhase is the result of one phase.
type stallPhase struct {
	Stalled          bool    `json:"stalled"`
	Sent             int     `json:"sent"`
	Service          float64 `json:"service"`
	Refused          int     `json:"refused"`
	P99              float64 `json:"p99ms"`
	Booked           int     `json:"bookingsAcknowledged"`
	Rejected         int     `json:"bookingsTurnedAway"`
	MaxAnswerTime    float64 `json:"longestAnswerMs"` // of a booking client
	Done             int     `json:"done"`
	Undecided        int     `json:"undecided"`
	BegunTwiceOrLost int     `json:"begunTwiceOrForgotten"`
}

// Run plays a phase without and one with a stall, and fails if a booking was lost or begun twice.
func (c *measureStall) Run(env *cli.Env) error {
	var phases []stallPhase
	for _, stalled := range []bool{false, true} {
		phase, err := c.runPhase(env.Ctx, stalled)
		if err != nil {
			return err
		}
		phases = append(phases, phase)
	}
	if err := env.Show(phases, func(w io.Writer) { printStallPhases(w, phases) }); err != nil {
		return err
	}
	if phases[0].BegunTwiceOrLost+phases[1].BegunTwiceOrLost > 0 {
		return errWronglyBegun
	}
	return nil
}

func printStallPhases(w io.Writer, phases []stallPhase) {
	fmt.Fprintln(w, "STALL\tSENT\tSERVICE\tREFUSED\tP99\tBOOKED\tTURNED AWAY\tLONGEST ANSWER ms\tDONE\tUNDECIDED\tTWICE OR FORGOTTEN")
	for _, phase := range phases {
		fmt.Fprintf(w, "%v\t%d\t%.4f\t%d\t%.1f\t%d\t%d\t%.0f\t%d\t%d\t%d\n", phase.Stalled, phase.Sent, phase.Service, phase.Refused,
			phase.P99, phase.Booked, phase.Rejected, phase.MaxAnswerTime, phase.Done, phase.Undecided, phase.BegunTwiceOrLost)
	}
}

// runPhase starts a node, which stalls its store if that is asked for, and loads both of its servers.
func (c *measureStall) runPhase(ctx context.Context, stalled bool) (stallPhase, error) {
	phase := stallPhase{Stalled: stalled}
	dir, err := os.MkdirTemp("", "ospreybend-stall-")
	if err != nil {
		return phase, err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 4, 8, fakeplatform.FixedRunTime(50*time.Millisecond))
	if err != nil {
		return phase, err
	}
	defer fleet.Stop()
	node, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return phase, err
	}
	var env []string
	if stalled {
		env = append(env, "OSPREYBEND_FAULT=mark-before:100:"+c.Stall.String())
	}
	if err := node.startWithEnv(ctx, env...); err != nil {
		return phase, err
	}
	defer func() { _ = node.kill() }()
	session, err := node.tenant(ctx, "anna", 1_000_000)
	if err != nil {
		return phase, err
	}
	acknowledged, err := c.loadBothServers(ctx, node, session, &phase)
	if err != nil {
		return phase, err
	}
	return phase, phase.audit(ctx, session, fleet, acknowledged)
}

// loadBothServers sends requests to the platform's server and bookings to the batch server for the length of a phase. It
// kills the node meanwhile, and starts it again, if that is asked for. It returns the acknowledged bookings.
func (c *measureStall) loadBothServers(ctx context.Context, node *child, session *client.Session, phase *stallPhase) (acknowledged []string, err error) {
	var platform *loadgen.Result
	var requests sync.WaitGroup
	requests.Go(func() {
		platform = loadgen.Run(ctx, loadgen.Config{URL: node.platform, Rate: c.Rate, Duration: c.For, Seed: 1, Prefix: "p-", Classes: platformClasses()})
	})
	kills := c.Kill && phase.Stalled
	if kills {
		time.AfterFunc(c.For/3, func() { _ = node.cmd.Process.Kill() })
	}
	acknowledged = c.submitBookings(ctx, session, phase)
	requests.Wait()
	if kills {
		node.waitExit()
		if err := node.start(ctx); err != nil {
			return nil, err
		}
	}
	phase.Sent, phase.Service, phase.Refused = platform.Sent, platform.FractionWithinTarget(), platform.Refused
	phase.P99 = milliseconds(platform.Percentile(99))
	return acknowledged, nil
}

// audit waits for each of the acknowledged bookings and counts what became of it.
func (p *stallPhase) audit(ctx context.Context, session *client.Session, fleet *fakeplatform.Fleet, acknowledged []string) error {
	for _, id := range acknowledged {
		job, err := session.Wait(ctx, id, client.Terminated)
		begun := fleet.StartCounts()[id]
		switch {
		case errors.Is(err, &drmaa.Error{Name: drmaa.InvalidArgument}) || begun > 1:
			p.BegunTwiceOrLost++
		case err != nil:
			return err
		case job.State == drmaa.Done:
			p.Done++
		default:
			p.Undecided++
		}
	}
	return nil
}

// submitBookings submits bookings from several clients, each ten times a second at most, and returns the identifiers of the
// acknowledged jobs.
func (c *measureStall) submitBookings(ctx context.Context, session *client.Session, phase *stallPhase) (acknowledged []string) {
	var mutex sync.Mutex // of acknowledged and phase
	var clients sync.WaitGroup
	began := time.Now()
	for range c.Clients {
		clients.Go(func() {
			for ; time.Since(began) < c.For; time.Sleep(100 * time.Millisecond) {
				sent := time.Now()
				ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
				job, err := session.RunOnce(ctx, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen"})
				cancel()
				mutex.Lock()
				phase.MaxAnswerTime = max(phase.MaxAnswerTime, milliseconds(time.Since(sent)))
				switch {
				case err == nil:
					acknowledged = append(acknowledged, job.ID)
					phase.Booked++
				case errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}):
					phase.Rejected++
				}
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	return acknowledged
}
