package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/endtoend"
)

// measureTrial runs many processes of this program and injects faults between them.
type measureTrial struct {
	Kind    string        `arg:"" enum:"zone" help:"What fails: zone."`
	Seed    uint64        `help:"Draws the faults and the clients." default:"1"`
	Alone   bool          `help:"The same faults, with each process for itself."`
	Without string        `help:"Leave out a check of the protocol: share, majority."`
	Calm    time.Duration `help:"Before the trouble." default:"4s"`
	Trouble time.Duration `help:"Its length." default:"8s"`
	After   time.Duration `help:"After it." default:"22s"`
	Rate    float64       `help:"Requests a second at each node." default:"40"`
	Keep    string        `help:"Keep the processes' files and logs in this folder." type:"path"`
}

// errTrialViolations is returned after a trial that has found violations.
var errTrialViolations = errors.New("the trial has found violations")

// errTrialNotRun is wrapped by the errors of a trial that could not run.
var errTrialNotRun = errors.New("the trial could not run")

// Run runs the trial and prints what it found.
func (c *measureTrial) Run(env *cli.Env) error {
	if c.Without != "" && !slices.Contains([]string{"share", "majority"}, c.Without) {
		return fmt.Errorf("%w: --without: %q is no check of the trial's", errTrialNotRun, c.Without)
	}
	if c.Calm <= 0 || c.Trouble <= 0 || c.After <= 0 || !(c.Rate > 0) {
		return fmt.Errorf("%w: --calm, --trouble, --after and --rate have to be above 0", errTrialNotRun)
	}
	result, err := c.runTrial(env.Ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errTrialNotRun, err)
	}
	if err := env.Show(result, func(w io.Writer) { printTrial(w, result) }); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errTrialViolations
	}
	return nil
}

// runTrial runs the trial in the folder that is to be kept, or in a temporary one.
func (c *measureTrial) runTrial(ctx context.Context) (endtoend.Report, error) {
	program, err := os.Executable()
	if err != nil {
		return endtoend.Report{}, err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ospreybend-trial-"); err != nil {
			return endtoend.Report{}, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return endtoend.Report{}, err
	}
	return endtoend.Zone(ctx, endtoend.Plan{
		Program: program, Env: []string{childEnv + "=1", "OSPREYBEND_BATCH=" + os.DevNull}, Dir: dir,
		Seed: c.Seed, NoVoters: c.Alone, DisabledCheck: c.Without, Rate: c.Rate,
		DurationBefore: c.Calm, FaultDuration: c.Trouble, DurationAfter: c.After,
	})
}

func printTrial(w io.Writer, result endtoend.Report) {
	for _, line := range result.Events {
		fmt.Fprintln(w, line)
	}
	for _, violation := range result.Violations {
		fmt.Fprintln(w, "violation:", violation)
	}
	for _, name := range slices.Sorted(maps.Keys(result.Figures)) {
		fmt.Fprintf(w, "%s\t%.3f\n", name, result.Figures[name])
	}
}
