package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
	"ospreybend/internal/testkit/scalerun"
)

// scaleHeartbeat is the heartbeat interval of the simulated workers; the servers' settings have the same.
const scaleHeartbeat = time.Second // of the hollow workers; the keepers' settings have the same

// measureCommand holds the measurements, one sub-command each.
type measureCommand struct {
	Catchup  *catchupCommand  `arg:"subcommand:catchup" help:"have members of a replica group be away and come back amid changes, and measure how long each takes to be current and what it is sent"`
	Traffic  *trafficCommand  `arg:"subcommand:traffic" help:"give one proxy rates of requests and measure what each request and each event takes"`
	Simulate *simulateCommand `arg:"subcommand:simulate" help:"play drawn schedules of faults, orders and workers against the whole control plane on a fake clock, and check every history"`
	Scale    *scaleCommand    `arg:"subcommand:scale" help:"play whole fleets of several sizes on loopback, most nodes and all workers hollow, and measure the control plane"`
}

// scaleCommand holds the flags of measure scale.
type scaleCommand struct {
	Sizes    string        `arg:"--sizes" default:"30x60,100x200,360x600,30x600,360x60" help:"NODESxWORKERS joined by commas; sizes in other proportions tell what a node costs from what a worker costs"`
	Target   string        `arg:"--target" default:"360x600" help:"size that the figures are carried to"`
	Servers  int           `arg:"--servers" default:"3" help:"control plane servers, each a process"`
	Tolerate int           `arg:"--tolerate" default:"0" help:"servers that may be lost at once, which sets the members of each group; 0: as many as leave a majority"`
	Edges    int           `arg:"--edges" default:"1" help:"nodes with a real agent and proxy, each a process; the others are hollow"`
	Routes   int           `arg:"--routes" default:"3700" help:"routes of the configuration, as many as tenants"`
	WarmUp   time.Duration `arg:"--settle" default:"20s" help:"after the start of a size, before it is measured"`
	Window   time.Duration `arg:"--window" default:"10s" help:"of a measurement at rest"`
	Windows  int           `arg:"--windows" default:"3" help:"measurements at rest for each size"`
	Changes  int           `arg:"--changes" default:"12" help:"changes of the configuration for each size"`
	FarEvery int           `arg:"--far-every" default:"3" help:"each so-manieth hollow agent is behind a slow link; 0: none"`
	FarDelay time.Duration `arg:"--far-delay" default:"100ms" help:"of the slow link, one way"`
	FarLoss  float64       `arg:"--far-loss" default:"0.01" help:"share of the slow link's segments that are lost at first"`
	Limit    time.Duration `arg:"--limit" default:"4m" help:"for each size"`
	JSON     string        `arg:"--json" help:"file for the whole result"`
	Plot     string        `arg:"--plot" help:"file for the plot (SVG)"`
}

// run measures each size and prints the results.
func (c *scaleCommand) run(stdout, stderr io.Writer) int {
	plan, err := c.plan(stdout)
	if err != nil {
		fmt.Fprintln(stderr, "measure scale:", err)
		return exitUsage
	}
	defer os.RemoveAll(plan.Directory)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result, err := scalerun.Run(ctx, plan)
	result.Command, result.Build = c.commandLine(), buildRevision()
	result.WriteText(stdout)
	if err != nil {
		fmt.Fprintln(stderr, "measure scale:", err)
	}
	if failure := c.writeFiles(result); failure != nil {
		fmt.Fprintln(stderr, "measure scale:", failure)
		return exitFault
	}
	if err != nil {
		return exitFault
	}
	return exitOK
}

// plan validates the flags and creates the working directory.
func (c *scaleCommand) plan(stdout io.Writer) (scalerun.Plan, error) {
	sizes, err := scalereport.ParseSizes(c.Sizes)
	if err != nil {
		return scalerun.Plan{}, err
	}
	target, err := scalereport.ParseSizes(c.Target)
	if err != nil {
		return scalerun.Plan{}, err
	}
	if c.Servers < 1 || c.Edges < 0 || c.Routes < 1 || c.Window <= 0 || c.Windows < 1 || c.FarLoss < 0 || c.FarLoss >= 1 {
		return scalerun.Plan{}, fmt.Errorf("servers, routes, window and windows must be positive, edges not negative, far-loss from 0 to under 1")
	}
	binary, err := os.Executable()
	if err != nil {
		return scalerun.Plan{}, err
	}
	directory, err := os.MkdirTemp("", "inference-router-scale-")
	if err != nil {
		return scalerun.Plan{}, err
	}
	return scalerun.Plan{Binary: binary, Directory: directory, Sizes: sizes, Target: target[0], Servers: c.Servers, Tolerance: c.Tolerate, Edges: c.Edges,
		Routes: c.Routes, WarmUp: c.WarmUp, Window: c.Window, Windows: c.Windows, Changes: c.Changes, FarEvery: c.FarEvery,
		Far: localfleet.Link{Delay: c.FarDelay, Loss: c.FarLoss}, Heartbeat: scaleHeartbeat, Limit: c.Limit, Progress: stdout}, nil
}

// commandLine returns the command line with the defaults filled in, for the report.
func (c *scaleCommand) commandLine() string {
	words := []string{"inference-router measure scale --sizes", c.Sizes, "--servers", fmt.Sprint(c.Servers), "--tolerate", fmt.Sprint(c.Tolerate), "--edges", fmt.Sprint(c.Edges),
		"--routes", fmt.Sprint(c.Routes), "--window", c.Window.String(), "--windows", fmt.Sprint(c.Windows), "--changes", fmt.Sprint(c.Changes)}
	return strings.Join(words, " ")
}

// buildRevision returns the source revision that the build recorded, "unknown" without one.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	named := map[string]string{}
	for _, setting := range info.Settings {
		named[setting.Key] = setting.Value
	}
	switch {
	case named["vcs.revision"] == "":
		return "unknown"
	case named["vcs.modified"] == "true":
		return named["vcs.revision"] + ", changed"
	}
	return named["vcs.revision"]
}

// writeFiles writes the files that the flags ask for.
func (c *scaleCommand) writeFiles(result scalereport.Result) error {
	files := []struct {
		path  string
		write func(io.Writer) error
	}{{c.JSON, result.WriteJSON}, {c.Plot, result.WriteSVG}}
	for _, file := range files {
		if file.path == "" {
			continue
		}
		if err := writeFile(file.path, file.write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
