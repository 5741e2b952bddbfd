package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"ospreybend/internal/testkit/scalereport"
	"ospreybend/internal/testkit/scalerun"
)

// trafficCommand holds the flags of the measure traffic sub-command.
type trafficCommand struct {
	Rates     string        `arg:"--rates" default:"3x20,6x200,12x200,12x20,24x100" help:"rates to measure, REQUESTSxTOKENS joined by commas: requests per second and tokens of each request; each token is one event"`
	Target    string        `arg:"--target" default:"12x207" help:"rate to which the CPU usage is extrapolated"`
	Workers   int           `arg:"--workers" default:"9" help:"fake workers; every third one is a prefill worker"`
	TokenTime time.Duration `arg:"--token-time" default:"27ms" help:"interval between two tokens of a stream"`
	Window    time.Duration `arg:"--window" default:"5s" help:"duration of one measurement"`
	Windows   int           `arg:"--windows" default:"3" help:"measurements for each rate"`
	Limit     time.Duration `arg:"--limit" default:"5m" help:"time limit for all rates together"`
	JSON      string        `arg:"--json" help:"write the whole result to this file (JSON)"`
}

// run measures each rate and prints the results, if the rates suffice to extrapolate to the target.
func (c *trafficCommand) run(stdout, stderr io.Writer) int {
	rates, err := scalereport.ParseRates(c.Rates)
	target, targetErr := scalereport.ParseRates(c.Target)
	if err != nil || targetErr != nil || c.Workers < 1 || c.Windows < 1 || c.Window <= 0 || c.TokenTime <= 0 {
		fmt.Fprintln(stderr, "measure traffic: --workers, --token-time, --window and --windows must be positive;", scalereport.ErrRates)
		return exitUsage
	}
	directory, err := os.MkdirTemp("", "inference-router-traffic-")
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFailure
	}
	defer os.RemoveAll(directory)
	binary, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := scalereport.TrafficResult{Build: buildRevision(), Target: target[0], Machine: fmt.Sprintf("%d processors", runtime.NumCPU()), Load: scalerun.LoadAverage(),
		Command: fmt.Sprintf("inference-router measure traffic --rates %s --workers %d --token-time %v", c.Rates, c.Workers, c.TokenTime)}
	result.Steps, err = scalerun.RunTraffic(ctx, scalerun.TrafficPlan{Binary: binary, Directory: directory, Rates: rates, Workers: c.Workers,
		TokenTime: c.TokenTime, Window: c.Window, Windows: c.Windows, Limit: c.Limit, Progress: stdout})
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFailure
	}
	if result.FitProcessor() {
		result.WriteText(stdout)
	}
	if c.JSON != "" {
		if err := writeFile(c.JSON, result.WriteJSON); err != nil {
			fmt.Fprintln(stderr, "measure traffic:", err)
			return exitFailure
		}
	}
	return exitOK
}
