package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ospreybend/internal/testkit/controlplanesim/campaign"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/scalerun"
)

// simulateCommand holds the flags of the measure simulate sub-command.
type simulateCommand struct {
	Servers       string        `arg:"--servers" default:"3,5,9" help:"numbers of servers joined by commas; each is a separate part of the campaign"`
	Tolerate      int           `arg:"--tolerate" default:"0" help:"servers that may fail at once; 0: the most that leave a majority"`
	Schedules     int           `arg:"--schedules" default:"200" help:"schedules to run for each number of servers; with --omit the maximum for each guard"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of the first schedule; the others use the seeds that follow"`
	Length        time.Duration `arg:"--length" default:"45s" help:"simulated time during which faults and operator commands occur"`
	Agents        int           `arg:"--agents" default:"4" help:"simulated agents"`
	Operators     int           `arg:"--operators" default:"2" help:"simulated operators, who send commands"`
	Workers       int           `arg:"--workers" default:"6" help:"simulated workers"`
	SlowDisks     bool          `arg:"--slow-disks" help:"make all disks slow at times, and have all servers lose power meanwhile"`
	RoleCommands  bool          `arg:"--role-commands" help:"workers have roles and take role commands, some of which are delayed on the way; needs two workers for each of six services"`
	Omit          []string      `arg:"--omit,separate" help:"protocol guard to disable; schedules run until one shows its absence; may be repeated, each guard is a separate part"`
	General       bool          `arg:"--general" help:"with --omit: draw the general mix of events, not mainly those against which the guard protects"`
	Schedule      string        `arg:"--schedule" help:"file with a schedule; only this one is run"`
	Processes     int           `arg:"--processes" default:"0" help:"simulation processes that run in parallel, each on one core; 0: half the number of cores"`
	Limit         time.Duration `arg:"--limit" default:"2m" help:"limit of real time for one schedule"`
	Shrink        time.Duration `arg:"--shrink" default:"2m" help:"limit of real time for shrinking the schedule of a failure; 0: failures are not shrunk"`
	MaxViolations int           `arg:"--most-found" default:"5" help:"violations after which a part ends; 0: all schedules are run"`
	Resume        string        `arg:"--resume" help:"progress file: schedules recorded in it are not run again, and the results of all parts are printed"`
	JSON          string        `arg:"--json" help:"write the whole result to this file (JSON)"`
}

// run plays the schedules and prints the violations. It returns exitFailure if there is any, or if no schedule showed the absence
// of an omitted guard.
func (c *simulateCommand) run(stdout, stderr io.Writer) int {
	shapes, err := c.shapes()
	if err != nil {
		fmt.Fprintln(stderr, "measure simulate:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := campaign.Result{Command: c.commandLine(), Build: buildRevision(), Load: fmt.Sprint(scalerun.LoadAverage())}
	result.Parts, err = c.play(ctx, shapes, stdout)
	result.WriteText(stdout)
	if err != nil {
		fmt.Fprintln(stderr, "measure simulate:", err)
	}
	if c.JSON != "" {
		if writeErr := writeFile(c.JSON, result.WriteJSON); writeErr != nil {
			fmt.Fprintln(stderr, "measure simulate:", writeErr)
			return exitFailure
		}
	}
	if err != nil || result.FailedSchedules() > 0 || len(result.UndetectedGuards()) > 0 {
		return exitFailure
	}
	return exitOK
}

// play builds the simulation and plays the campaign, or only the schedule given by --schedule.
func (c *simulateCommand) play(ctx context.Context, shapes []schedule.Shape, stdout io.Writer) ([]campaign.ShapeResult, error) {
	var text []byte
	if c.Schedule != "" {
		var err error
		if text, err = os.ReadFile(c.Schedule); err != nil {
			return nil, err
		}
	}
	directory, err := os.MkdirTemp("", "inference-router-simulate-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(directory)
	fmt.Fprintln(stdout, "building the simulation")
	binary, err := campaign.Build(ctx, directory)
	if err != nil {
		return nil, err
	}
	player := campaign.Player{Binary: binary, Limit: c.Limit}
	if c.Schedule != "" {
		result, err := campaign.PlaySchedule(ctx, player, string(text))
		return []campaign.ShapeResult{result}, err
	}
	plan := campaign.Plan{Player: player, Shapes: shapes, FirstSeed: c.Seed, Schedules: c.Schedules, Processes: c.processes(),
		ShrinkLimit: c.Shrink, MaxFailures: c.MaxViolations, Progress: stdout}
	if c.Resume == "" {
		return campaign.Play(ctx, plan)
	}
	if plan.Checkpoint, err = campaign.LoadCheckpoint(c.Resume); err != nil {
		return nil, err
	}
	_, err = campaign.Play(ctx, plan)
	return plan.Checkpoint.Results(), err
}

// shapes validates the flags and returns the parts of the campaign: one for each number of servers, or with --omit one for each
// combination of a number of servers and an omitted guard.
func (c *simulateCommand) shapes() ([]schedule.Shape, error) {
	if c.Tolerate < 0 || c.Schedules < 1 || c.Length <= 0 || c.Agents < 1 || c.Operators < 1 || c.Workers < 0 || c.Processes < 0 || c.Limit <= 0 {
		return nil, fmt.Errorf("--schedules, --length, --agents, --operators and --limit must be positive, the other counts not negative")
	}
	var shapes []schedule.Shape
	for _, field := range strings.Split(c.Servers, ",") {
		servers, err := strconv.Atoi(field)
		if err != nil || servers < 1 {
			return nil, fmt.Errorf("--servers must be positive numbers joined by commas, not %q", c.Servers)
		}
		shape := schedule.Shape{Servers: servers, Tolerance: c.tolerance(servers), Agents: c.Agents, Operators: c.Operators, Workers: c.Workers, Length: c.Length,
			SlowDisks: c.SlowDisks, RoleCommands: c.RoleCommands}
		if len(c.Omit) == 0 {
			shapes = append(shapes, shape)
		}
		for _, guard := range c.Omit {
			withoutGuard := shape
			withoutGuard.Omit = []string{guard}
			if !c.General {
				withoutGuard = campaign.Focused(withoutGuard)
			}
			shapes = append(shapes, withoutGuard)
		}
	}
	return shapes, nil
}

// tolerance returns how many of the servers may fail at once, by default the most that leave a majority.
func (c *simulateCommand) tolerance(servers int) int {
	if c.Tolerate > 0 {
		return c.Tolerate
	}
	return (servers - 1) / 2
}

// processes returns the number of simulation processes that run in parallel.
func (c *simulateCommand) processes() int {
	if c.Processes > 0 {
		return c.Processes
	}
	return max(1, runtime.NumCPU()/2)
}

// commandLine returns the command line for the report, with the defaults of the flags that determine the schedules filled in.
func (c *simulateCommand) commandLine() string {
	if c.Schedule != "" {
		return "inference-router measure simulate --schedule " + c.Schedule
	}
	text := fmt.Sprintf("inference-router measure simulate --servers %s --tolerate %d --schedules %d --seed %d --length %v --agents %d --operators %d --workers %d --processes %d",
		c.Servers, c.Tolerate, c.Schedules, c.Seed, c.Length, c.Agents, c.Operators, c.Workers, c.processes())
	if c.SlowDisks {
		text += " --slow-disks"
	}
	for _, guard := range c.Omit {
		text += " --omit " + guard
	}
	return text
}
