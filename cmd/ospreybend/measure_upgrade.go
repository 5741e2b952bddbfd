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

// errJobLostOrDuplicated is returned after an audit that found a job not served or begun more than once.
var errJobLostOrDuplicated = errors.New("a job was not served, or began more than once")

// measureUpgrade hot-restarts a node repeatedly under load and audits every job.
type measureUpgrade struct {
	Upgrades int           `help:"Number of hot restarts." default:"10"`
	Rate     float64       `help:"Jobs per second." default:"150"`
	JobRun   time.Duration `help:"Run time of a job on a prep worker." default:"200ms"`
	Every    time.Duration `help:"Time between hot restarts." default:"1s"`
}

// upgradeResult counts the outcomes of the jobs and has the start and shutdown times of the processes.
type upgradeResult struct {
	Sent         int       `json:"sent"`
	Served       int       `json:"served"`
	Refused      int       `json:"refused"`
	Lost         int       `json:"failedOrBroken"`
	BegunTwice   int       `json:"begunTwice"`
	ReadyTime    []float64 `json:"readyMs"`
	ShutdownTime []float64 `json:"leftMs"` // from SIGTERM
}

// Run loads the node during all hot restarts and returns an error if a job was not served or began more than once.
func (c *measureUpgrade) Run(env *cli.Env) error {
	testbed, err := newRestartTestbed(4, 16, 1024, fakeplatform.FixedRunTime(c.JobRun))
	if err != nil {
		return err
	}
	defer testbed.close()
	result, err := c.upgradeUnderLoad(env.Ctx, testbed)
	if err != nil {
		return err
	}
	if err := env.Show(result, func(w io.Writer) {
		fmt.Fprintln(w, "SENT\tSERVED\tREFUSED\tLOST\tBEGUN TWICE\tREADY MS\tSHUTDOWN MS")
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", result.Sent, result.Served, result.Refused, result.Lost, result.BegunTwice,
			result.ReadyTime, result.ShutdownTime)
	}); err != nil {
		return err
	}
	if result.Served != result.Sent || result.BegunTwice > 0 {
		return errJobLostOrDuplicated
	}
	return nil
}

// upgradeUnderLoad starts one process after the other on the same socket and shuts each down once the next is ready.
func (c *measureUpgrade) upgradeUnderLoad(ctx context.Context, testbed *restartTestbed) (result upgradeResult, err error) {
	current, err := testbed.start(ctx)
	if err != nil {
		return result, err
	}
	defer func() { _ = current.kill() }()
	loadResult := make(chan *loadgen.Result, 1)
	go func() {
		loadResult <- loadgen.Run(ctx, testbed.loadConfig("u", c.Rate, time.Duration(c.Upgrades+1)*c.Every))
	}()
	for range c.Upgrades {
		select {
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(c.Every):
		}
		next, err := testbed.start(ctx)
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
	load := <-loadResult
	result.Sent, result.Served, result.Refused = load.Sent, load.Served, load.Refused
	result.Lost, result.BegunTwice = load.Failed+load.Broken, testbed.begunTwice()
	return result, nil
}
