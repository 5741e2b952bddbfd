package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// errJobsLost is returned after an audit that has found a job not served or begun twice.
var errJobsLost = errors.New("a job was not served, or begun twice")

// measureUpgrade hot-restarts a node again and again under load and audits every job.
type measureUpgrade struct {
	Upgrades int           `default:"10"`
	Rate     float64       `help:"Of jobs, a second." default:"150"`
	JobRun   time.Duration `help:"Of a job at a prep worker." default:"200ms"`
	Every    time.Duration `help:"From one upgrade to the next." default:"1s"`
}

// upgradeResult is what became of the jobs, and how long the processes took.
type upgradeResult struct {
	Sent         int       `json:"sent"`
	Served       int       `json:"served"`
	Refused      int       `json:"refused"`
	Lost         int       `json:"failedOrBroken"`
	Twice        int       `json:"begunTwice"`
	ReadyTime    []float64 `json:"readyMs"`
	ShutdownTime []float64 `json:"leftMs"` // from SIGTERM
}

// Run loads the node during all upgrades and fails if a job was not served, or begun twice.
func (c *measureUpgrade) Run(env *cli.Env) error {
	site, err := newRestartSite(4, 16, 1024, fakeplatform.FixedRunTime(c.JobRun))
	if err != nil {
		return err
	}
	defer site.close()
	result, err := c.upgradeUnderLoad(env.Ctx, site)
	if err != nil {
		return err
	}
	if err := env.Show(result, func(w io.Writer) {
		fmt.Fprintln(w, "SENT\tSERVED\tREFUSED\tLOST\tBEGUN TWICE\tREADY MS\tLEFT MS")
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", result.Sent, result.Served, result.Refused, result.Lost, result.Twice,
			result.ReadyTime, result.ShutdownTime)
	}); err != nil {
		return err
	}
	if result.Served != result.Sent || result.Twice > 0 {
		return errJobsLost
	}
	return nil
}

// upgradeUnderLoad starts one process after the other on the same socket, and has each shut down once the next is ready.
func (c *measureUpgrade) upgradeUnderLoad(ctx context.Context, site *restartSite) (result upgradeResult, err error) {
	current, err := site.start(ctx)
	if err != nil {
		return result, err
	}
	defer func() { _ = current.kill() }()
	loaded := make(chan *loadgen.Result, 1)
	go func() { loaded <- loadgen.Run(ctx, site.load("u", c.Rate, time.Duration(c.Upgrades+1)*c.Every)) }()
	for range c.Upgrades {
		select {
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(c.Every):
		}
		next, err := site.start(ctx)
		if err != nil {
			return result, err
		}
		began, old := time.Now(), current
		current = next
		if err := old.shutdown(); err != nil {
			return result, err
		}
		result.ReadyTime = append(result.ReadyTime, milliseconds(next.readyTime))
		result.ShutdownTime = append(result.ShutdownTime, milliseconds(time.Since(began)))
	}
	load := <-loaded
	result.Sent, result.Served, result.Refused = load.Sent, load.Served, load.Refused
	result.Lost, result.Twice = load.Failed+load.Broken, site.begunTwice()
	return result, nil
}
