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

// simulateCommand holds the flags of measure simulate.
type simulateCommand struct {
	Servers       string        `arg:"--servers" default:"3,5,9" help:"counts of servers joined by commas, one part of the campaign each"`
	Tolerate      int           `arg:"--tolerate" default:"0" help:"servers that may be lost at once; 0: as many as leave a majority"`
	Schedules     int           `arg:"--schedules" default:"200" help:"for each count of servers, and at most for each guard that is left out"`
	Seed          uint64        `arg:"--seed" default:"1" help:"of the first schedule; the others follow"`
	Length        time.Duration `arg:"--length" default:"45s" help:"simulated time in which faults and orders come"`
	Agents        int           `arg:"--agents" default:"4"`
	Operators     int           `arg:"--operators" default:"2"`
	Workers       int           `arg:"--workers" default:"6"`
	SlowDisks     bool          `arg:"--slow-disks" help:"all disks are slow now and then, and all servers lose power amid it"`
	Omit          []string      `arg:"--omit,separate" help:"guard to leave out, played until its absence is found; may be given again, each is a part of its own"`
	General       bool          `arg:"--general" help:"with --omit: draw the general mix of events, not those that the guard is against"`
	Schedule      string        `arg:"--schedule" help:"file with one schedule, which alone is played"`
	Processes     int           `arg:"--processes" default:"0" help:"that play at once, each on one core; 0: half as many as there are cores"`
	Limit         time.Duration `arg:"--limit" default:"2m" help:"real time for one schedule"`
	Shrink        time.Duration `arg:"--shrink" default:"2m" help:"real time for shrinking each failure; 0: none is shrunk"`
	MaxViolations int           `arg:"--most-found" default:"5" help:"violations after which a part is ended; 0: all schedules are played"`
	Resume        string        `arg:"--resume" help:"file that records what was played: the command continues what it lacks and prints all parts"`
	JSON          string        `arg:"--json" help:"file for the whole result"`
}

// run plays the schedules and prints the violations. The exit code is exitFault if there is any, or if an omitted guard was not missed.
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
		if failure := writeFile(c.JSON, result.WriteJSON); failure != nil {
			fmt.Fprintln(stderr, "measure simulate:", failure)
			return exitFault
		}
	}
	if err != nil || result.FailedSchedules() > 0 || len(result.UndetectedGuards()) > 0 {
		return exitFault
	}
	return exitOK
}

// play builds the simulation and plays the campaign, or the one schedule of a file.
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
		part, err := campaign.PlaySchedule(ctx, player, string(text))
		return []campaign.ShapeResult{part}, err
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

// shapes returns the parts of the campaign: each number of servers, without each of the omitted guards.
func (c *simulateCommand) shapes() ([]schedule.Shape, error) {
	if c.Tolerate < 0 || c.Schedules < 1 || c.Length <= 0 || c.Agents < 1 || c.Operators < 1 || c.Workers < 0 || c.Processes < 0 || c.Limit <= 0 {
		return nil, fmt.Errorf("schedules, length, agents, operators and limit must be positive, the other counts not negative")
	}
	var shapes []schedule.Shape
	for _, word := range strings.Split(c.Servers, ",") {
		servers, err := strconv.Atoi(word)
		if err != nil || servers < 1 {
			return nil, fmt.Errorf("servers must be positive numbers joined by commas, not %q", c.Servers)
		}
		shape := schedule.Shape{Servers: servers, Tolerance: c.tolerance(servers), Agents: c.Agents, Operators: c.Operators, Workers: c.Workers, Length: c.Length,
			SlowDisks: c.SlowDisks}
		if len(c.Omit) == 0 {
			shapes = append(shapes, shape)
		}
		for _, guard := range c.Omit {
			omitting := shape
			omitting.Omit = []string{guard}
			if !c.General {
				omitting = campaign.Focused(omitting)
			}
			shapes = append(shapes, omitting)
		}
	}
	return shapes, nil
}

// tolerance returns how many of the servers may be lost at once.
func (c *simulateCommand) tolerance(servers int) int {
	if c.Tolerate > 0 {
		return c.Tolerate
	}
	return (servers - 1) / 2
}

// processes returns how many schedules play at once.
func (c *simulateCommand) processes() int {
	if c.Processes > 0 {
		return c.Processes
	}
	return max(1, runtime.NumCPU()/2)
}

// commandLine returns the command line with the defaults that determine the schedules, for the report.
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
