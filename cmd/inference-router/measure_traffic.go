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

// trafficCommand holds the flags of measure traffic.
type trafficCommand struct {
	Rates     string        `arg:"--rates" default:"3x20,6x200,12x200,12x20,24x100" help:"REQUESTSxTOKENS joined by commas: requests a second and the tokens of each, an event a token"`
	Target    string        `arg:"--target" default:"12x207" help:"rate that the processor is carried to"`
	Workers   int           `arg:"--workers" default:"9" help:"stand-in workers, each third of which reads prompts"`
	TokenTime time.Duration `arg:"--token-time" default:"27ms" help:"between two tokens of a stream"`
	Window    time.Duration `arg:"--window" default:"5s" help:"of a measurement"`
	Windows   int           `arg:"--windows" default:"3" help:"measurements for each rate"`
	Limit     time.Duration `arg:"--limit" default:"5m" help:"for all rates"`
	JSON      string        `arg:"--json" help:"file for the whole result"`
}

// run measures each rate and prints the results.
func (c *trafficCommand) run(stdout, stderr io.Writer) int {
	rates, err := scalereport.ParseRates(c.Rates)
	target, failure := scalereport.ParseRates(c.Target)
	if err != nil || failure != nil || c.Workers < 1 || c.Windows < 1 || c.Window <= 0 || c.TokenTime <= 0 {
		fmt.Fprintln(stderr, "measure traffic: workers, token-time, window and windows must be positive;", scalereport.ErrRates)
		return exitUsage
	}
	directory, err := os.MkdirTemp("", "inference-router-traffic-")
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFault
	}
	defer os.RemoveAll(directory)
	binary, err := os.Executable()
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFault
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := scalereport.TrafficResult{Build: buildRevision(), Target: target[0], Machine: fmt.Sprintf("%d processors", runtime.NumCPU()), Load: scalerun.LoadAverage(),
		Command: fmt.Sprintf("inference-router measure traffic --rates %s --workers %d --token-time %v", c.Rates, c.Workers, c.TokenTime)}
	result.Steps, err = scalerun.RunTraffic(ctx, scalerun.TrafficPlan{Binary: binary, Directory: directory, Rates: rates, Workers: c.Workers,
		TokenTime: c.TokenTime, Window: c.Window, Windows: c.Windows, Limit: c.Limit, Progress: stdout})
	if err != nil {
		fmt.Fprintln(stderr, "measure traffic:", err)
		return exitFault
	}
	if result.FitProcessor() {
		result.WriteText(stdout)
	}
	if c.JSON != "" {
		if err := writeFile(c.JSON, result.WriteJSON); err != nil {
			fmt.Fprintln(stderr, "measure traffic:", err)
			return exitFault
		}
	}
	return exitOK
}
