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

// catchupCommand holds the flags of measure catchup.
type catchupCommand struct {
	Absences     string        `arg:"--away" default:"100ms,300ms,1s,3s,10s,30s,60s" help:"spans joined by commas that a member is away; the changes of that time are made as fast as the group takes them"`
	Routes       int           `arg:"--routes" default:"450" help:"routes of the configuration"`
	Rate         int           `arg:"--rate" default:"30" help:"changes a second, which go on while a member catches up"`
	ReplaceEvery int           `arg:"--replace-every" default:"10" help:"each so-manieth change replaces the whole configuration, the others one route"`
	Limit        time.Duration `arg:"--limit" default:"30s" help:"until a member must be current"`
	JSON         string        `arg:"--json" help:"file for the whole result"`
	Plot         string        `arg:"--plot" help:"file for the plot (SVG)"`
}

// run measures each absence and prints the results.
func (c *catchupCommand) run(stdout, stderr io.Writer) int {
	absences, err := parseDurations(c.Absences)
	if err != nil || c.Routes < 1 || c.Rate < 1 || c.ReplaceEvery < 1 || c.Limit <= 0 {
		fmt.Fprintln(stderr, "measure catchup: away must be spans joined by commas; routes, rate, replace-every and limit must be positive")
		return exitUsage
	}
	directory, err := os.MkdirTemp("", "inference-router-catchup-")
	if err != nil {
		fmt.Fprintln(stderr, "measure catchup:", err)
		return exitFault
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
	fmt.Fprintf(stdout, "%d returns, the slowest took %v\n", len(result.Steps), result.Slowest().Round(time.Millisecond))
	if failure := c.writeFiles(result); failure != nil {
		fmt.Fprintln(stderr, "measure catchup:", failure)
		return exitFault
	}
	if err != nil {
		return exitFault
	}
	return exitOK
}

// writeFiles writes the files that the flags ask for.
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

// parseDurations parses durations separated by commas.
func parseDurations(text string) ([]time.Duration, error) {
	var durations []time.Duration
	for _, word := range strings.Split(text, ",") {
		duration, err := time.ParseDuration(strings.TrimSpace(word))
		if err != nil || duration < 0 {
			return nil, fmt.Errorf("measure catchup: %q is no span", word)
		}
		durations = append(durations, duration)
	}
	return durations, nil
}
