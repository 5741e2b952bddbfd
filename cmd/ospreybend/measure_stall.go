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

// measureStall has the store stall under load, and looks at both fronts.
type measureStall struct {
	For     time.Duration `help:"Of a phase." default:"12s"`
	Stall   time.Duration `default:"5s"`
	Clients int           `help:"That book at once." default:"8"`
	Rate    float64       `help:"Platform requests a second." default:"100"`
	Kill    bool          `help:"Kill the node amid the stall, and start it again."`
}

// stallPhase is what one phase showed.
type stallPhase struct {
	Stalled          bool    `json:"stalled"`
	Sent             int     `json:"sent"`
	Service          float64 `json:"service"`
	Refused          int     `json:"refused"`
	P99              float64 `json:"p99ms"`
	Booked           int     `json:"bookingsAcknowledged"`
	Rejected         int     `json:"bookingsTurnedAway"`
	MaxAnswerTime    float64 `json:"longestAnswerMs"` // that a booking client waited for
	Done             int     `json:"done"`
	Undecided        int     `json:"undecided"`
	BegunTwiceOrLost int     `json:"begunTwiceOrForgotten"`
}

// Run measures.
func (c *measureStall) Run(env *cli.Env) error {
	var all []stallPhase
	for _, stalled := range []bool{false, true} {
		p, err := c.runPhase(env.Ctx, stalled)
		if err != nil {
			return err
		}
		all = append(all, p)
	}
	if err := env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "STALL\tSENT\tSERVICE\tREFUSED\tP99\tBOOKED\tTURNED AWAY\tLONGEST ANSWER ms\tDONE\tUNDECIDED\tTWICE OR FORGOTTEN")
		for _, p := range all {
			fmt.Fprintf(w, "%v\t%d\t%.4f\t%d\t%.1f\t%d\t%d\t%.0f\t%d\t%d\t%d\n", p.Stalled, p.Sent, p.Service, p.Refused, p.P99, p.Booked, p.Rejected,
				p.MaxAnswerTime, p.Done, p.Undecided, p.BegunTwiceOrLost)
		}
	}); err != nil {
		return err
	}
	if all[0].BegunTwiceOrLost+all[1].BegunTwiceOrLost > 0 {
		return errors.New("a booking was begun twice or forgotten")
	}
	return nil
}

func (c *measureStall) runPhase(ctx context.Context, stalled bool) (out stallPhase, err error) {
	out.Stalled = stalled
	dir, err := os.MkdirTemp("", "ospreybend-stall-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 4, 8, fakeplatform.For(50*time.Millisecond))
	if err != nil {
		return out, err
	}
	defer fleet.Stop()
	n, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return out, err
	}
	var env []string
	if stalled {
		env = append(env, "OSPREYBEND_FAULT=mark-before:100:"+c.Stall.String())
	}
	if err := n.startWithEnv(ctx, env...); err != nil {
		return out, err
	}
	defer func() { _ = n.kill() }()
	s, err := n.tenant(ctx, "anna", 1_000_000)
	if err != nil {
		return out, err
	}
	var taken []string
	var platform *loadgen.Result
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		platform = loadgen.Run(ctx, loadgen.Config{URL: n.platform, Rate: c.Rate, For: c.For, Seed: 1, Prefix: "p-",
			Classes: []loadgen.Class{{Name: "modell-pruefen", Share: 0.8, Target: 400 * time.Millisecond, Within: 5 * time.Second},
				{Name: "auftrag-buchen", Share: 0.2, Target: 800 * time.Millisecond, Within: 25 * time.Second}}})
	}()
	if c.Kill && stalled {
		time.AfterFunc(c.For/3, func() { _ = n.cmd.Process.Kill() })
	}
	taken = c.book(ctx, s, &out)
	both.Wait()
	if c.Kill && stalled {
		n.waitExit()
		if err := n.start(ctx); err != nil {
			return out, err
		}
	}
	out.Sent, out.Service, out.Refused, out.P99 = platform.Sent, platform.Service(), platform.Refused, milliseconds(platform.Percentile(99))
	for _, id := range taken {
		j, err := s.Wait(ctx, id, client.Terminated)
		begun := fleet.Begun()[id]
		switch {
		case errors.Is(err, &drmaa.Error{Name: drmaa.InvalidArgument}) || begun > 1:
			out.BegunTwiceOrLost++
		case err != nil:
			return out, err
		case j.State == drmaa.Done:
			out.Done++
		default:
			out.Undecided++
		}
	}
	return out, nil
}

// book books from several clients, ten times a second each at most, and returns
// the jobs that were acknowledged.
func (c *measureStall) book(ctx context.Context, s *client.Session, out *stallPhase) (acknowledged []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for range c.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for ; time.Since(began) < c.For; time.Sleep(100 * time.Millisecond) {
				at := time.Now()
				ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
				j, err := s.RunOnce(ctx, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen"})
				cancel()
				mu.Lock()
				out.MaxAnswerTime = max(out.MaxAnswerTime, milliseconds(time.Since(at)))
				switch {
				case err == nil:
					acknowledged = append(acknowledged, j.ID)
					out.Booked++
				case errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}):
					out.Rejected++
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return acknowledged
}
