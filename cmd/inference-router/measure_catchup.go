package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"ospreybend/internal/testkit/catchupbench"
)

// catchupCommand holds the flags of the measure catchup sub-command.
type catchupCommand struct {
	Absences     string        `arg:"--away" default:"100ms,300ms,1s,3s,10s,30s,60s" help:"durations joined by commas for which a member is offline; the changes of that time are made as fast as the group accepts them"`
	Routes       int           `arg:"--routes" default:"450" help:"routes of the configuration"`
	Rate         int           `arg:"--rate" default:"30" help:"configuration changes per second, which continue while a member catches up"`
	ReplaceEvery int           `arg:"--replace-every" default:"10" help:"every N-th change replaces the whole configuration, the others a single route"`
	Limit        time.Duration `arg:"--limit" default:"30s" help:"time within which a member must have caught up"`
	JSON         string        `arg:"--json" help:"write the whole result to this file (JSON)"`
	Plot         string        `arg:"--plot" help:"write the plot to this file (SVG)"`
}

// run measures the catch-up after each offline duration and prints the results.
func (c *catchupCommand) run(stdout, stderr io.Writer) int {
	absences, err := parseDurations(c.Absences)
	if err == nil && (c.Routes < 1 || c.Rate < 1 || c.ReplaceEvery < 1 || c.Limit <= 0) {
		err = fmt.Errorf("--routes, --rate, --replace-every and --limit must be positive")
	}
	if err != nil {
		fmt.Fprintln(stderr, "measure catchup:", err)
		return exitUsage
	}
	directory, err := os.MkdirTemp("", "inference-router-catchup-")
	if err != nil {
		fmt.Fprintln(stderr, "measure catchup:", err)
		return exitFailure
	}
	defer os.RemoveAll(directory)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := catchupbench.Result{Build: buildRevision(), Command: fmt.Sprintf("inference-router measure catchup --away %s --routes %d --rate %d --replace-every %d",
		c.Absences, c.Routes, c.Rate, c.ReplaceEvery)}
	result.Steps, err = catchupbench.Run(ctx, catchupbench.Plan{Directory: directory, Routes: c.Routes, Rate: c.Rate, ReplaceEvery: c.ReplaceEvery,
		Offline: absences, Limit: c.Limit, Progress: stdout})
	if err != nil {
		fmt.Fprintln(stderr, "measure catchup:", err)
	}
	fmt.Fprintf(stdout, "%d catch-ups measured, the slowest took %v\n", len(result.Steps), result.Slowest().Round(time.Millisecond))
	if writeErr := c.writeFiles(result); writeErr != nil {
		fmt.Fprintln(stderr, "measure catchup:", writeErr)
		return exitFailure
	}
	if err != nil {
		return exitFailure
	}
	return exitOK
}

// writeFiles writes the result to the files given by --json and --plot.
func (c *catchupCommand) writeFiles(result catchupbench.Result) error {
	if c.JSON != "" {
		if err := writeFile(c.JSON, result.WriteJSON); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return writeFile(c.Plot, result.WriteSVG)
}

// parseDurations parses a comma-separated list of durations; none may be negative.
func parseDurations(text string) ([]time.Duration, error) {
	var durations []time.Duration
	for _, field := range strings.Split(text, ",") {
		duration, err := time.ParseDuration(strings.TrimSpace(field))
		if err != nil || duration < 0 {
			return nil, fmt.Errorf("--away must be durations joined by commas, none negative; %q is not one", field)
		}
		durations = append(durations, duration)
	}
	return durations, nil
}
