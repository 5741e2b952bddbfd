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

// scaleHeartbeat is the heartbeat interval of the simulated workers. It equals the interval in the servers' settings.
const scaleHeartbeat = time.Second

// measureCommand holds the sub-commands of measure, one for each measurement.
type measureCommand struct {
	Catchup  *catchupCommand  `arg:"subcommand:catchup" help:"take members of a replica group offline during changes, and measure how long each takes to catch up and how much it is sent"`
	Traffic  *trafficCommand  `arg:"subcommand:traffic" help:"load one proxy at several request rates and measure the cost of each request and each event"`
	Simulate *simulateCommand `arg:"subcommand:simulate" help:"run random schedules of faults, operator commands and worker events against the whole control plane on a simulated clock, and check every history"`
	Scale    *scaleCommand    `arg:"subcommand:scale" help:"run fleets of several sizes on loopback, most nodes and all workers simulated without traffic (hollow), and measure the control plane"`
}

// scaleCommand holds the flags of the measure scale sub-command.
type scaleCommand struct {
	Sizes    string        `arg:"--sizes" default:"30x60,100x200,360x600,30x600,360x60" help:"fleet sizes to measure, NODESxWORKERS joined by commas; sizes of different proportions separate the cost of a node from that of a worker"`
	Target   string        `arg:"--target" default:"360x600" help:"fleet size to which the results are extrapolated"`
	Servers  int           `arg:"--servers" default:"3" help:"number of control plane servers, each a process"`
	Tolerate int           `arg:"--tolerate" default:"0" help:"servers that may fail at once, which determines the size of each replica group; 0: the most that leave a majority"`
	Edges    int           `arg:"--edges" default:"1" help:"nodes with a real agent and a real proxy, each a process; the others are simulated"`
	Routes   int           `arg:"--routes" default:"3700" help:"routes of the configuration, one for each tenant"`
	WarmUp   time.Duration `arg:"--settle" default:"20s" help:"wait between the start of a fleet and its first measurement"`
	Window   time.Duration `arg:"--window" default:"10s" help:"duration of one measurement of the idle fleet"`
	Windows  int           `arg:"--windows" default:"3" help:"measurements of the idle fleet for each size"`
	Changes  int           `arg:"--changes" default:"12" help:"configuration changes made for each size"`
	FarEvery int           `arg:"--far-every" default:"3" help:"every N-th simulated agent is behind a slow link; 0: none"`
	FarDelay time.Duration `arg:"--far-delay" default:"100ms" help:"one-way delay of the slow link"`
	FarLoss  float64       `arg:"--far-loss" default:"0.01" help:"share of segments on the slow link whose first transmission is lost; from 0 to below 1"`
	Limit    time.Duration `arg:"--limit" default:"4m" help:"time limit for each size"`
	JSON     string        `arg:"--json" help:"write the whole result to this file (JSON)"`
	Plot     string        `arg:"--plot" help:"write the plot to this file (SVG)"`
}

// run measures each fleet size and prints the results. After a failed measurement it still reports the sizes before it.
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
	if writeErr := c.writeFiles(result); writeErr != nil {
		fmt.Fprintln(stderr, "measure scale:", writeErr)
		return exitFailure
	}
	if err != nil {
		return exitFailure
	}
	return exitOK
}

// plan validates the flags and creates the temporary working directory, which the caller removes.
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
		return scalerun.Plan{}, fmt.Errorf("--servers, --routes, --window and --windows must be positive, --edges not negative, --far-loss from 0 to below 1")
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

// commandLine returns the command line for the report, with the values of the flags that determine sizes, load and windows.
func (c *scaleCommand) commandLine() string {
	words := []string{"inference-router measure scale --sizes", c.Sizes, "--servers", fmt.Sprint(c.Servers), "--tolerate", fmt.Sprint(c.Tolerate), "--edges", fmt.Sprint(c.Edges),
		"--routes", fmt.Sprint(c.Routes), "--window", c.Window.String(), "--windows", fmt.Sprint(c.Windows), "--changes", fmt.Sprint(c.Changes)}
	return strings.Join(words, " ")
}

// buildRevision returns the VCS revision recorded in the binary, marked if the working tree was modified, or "unknown" if none is
// recorded.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	settings := map[string]string{}
	for _, setting := range info.Settings {
		settings[setting.Key] = setting.Value
	}
	switch {
	case settings["vcs.revision"] == "":
		return "unknown"
	case settings["vcs.modified"] == "true":
		return settings["vcs.revision"] + ", changed"
	}
	return settings["vcs.revision"]
}

// writeFiles writes the result to the files given by --json and --plot.
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

// writeFile creates or truncates the file and fills it with write.
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
