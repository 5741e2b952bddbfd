package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/endtoend"
)

// measureTrial plays many processes of this program against faults between them.
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

// errTrialViolations is a trial in which something was not as it must be.
var errTrialViolations = errors.New("the trial has found violations")

// errTrialNotRun is a trial that could not run.
var errTrialNotRun = errors.New("the trial could not run")

// Run plays, and shows what was found.
func (c *measureTrial) Run(env *cli.Env) error {
	if c.Without != "" && !slices.Contains([]string{"share", "majority"}, c.Without) {
		return fmt.Errorf("%w: --without: %q is no check of the trial's", errTrialNotRun, c.Without)
	}
	if c.Calm <= 0 || c.Trouble <= 0 || c.After <= 0 || !(c.Rate > 0) {
		return fmt.Errorf("%w: --calm, --trouble, --after and --rate have to be above 0", errTrialNotRun)
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("%w: %w", errTrialNotRun, err)
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ospreybend-trial-"); err != nil {
			return fmt.Errorf("%w: %w", errTrialNotRun, err)
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("%w: %w", errTrialNotRun, err)
	}
	r, err := endtoend.Zone(env.Ctx, endtoend.Plan{Program: program, Env: []string{childEnv + "=1", "OSPREYBEND_BATCH=" + os.DevNull}, Seed: c.Seed,
		Alone: c.Alone, Without: c.Without, QuietBefore: c.Calm, Faulty: c.Trouble, After: c.After, Rate: c.Rate, Dir: dir})
	if err != nil {
		return fmt.Errorf("%w: %w", errTrialNotRun, err)
	}
	if err := env.Show(r, func(w io.Writer) {
		for _, line := range r.Story {
			fmt.Fprintln(w, line)
		}
		for _, v := range r.Violations {
			fmt.Fprintln(w, "violation:", v)
		}
		names := make([]string, 0, len(r.Figures))
		for name := range r.Figures {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(w, "%s\t%.3f\n", name, r.Figures[name])
		}
	}); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errTrialViolations
	}
	return nil
}
