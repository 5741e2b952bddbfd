package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/pprof"

	"github.com/alecthomas/kong"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/nodeconfig"
)

// exitTrialNotRun is the exit code of a trial that could not run; one with a violation has 1.
const exitTrialNotRun = 2

// commandLine is the command line. Without a command the program serves, as the platform starts it. Names of commands
// and flags come from the names of the fields.
type commandLine struct {
	JSON bool `help:"Write JSON." env:"OSPREYBEND_JSON"`

	Serve   serveCmd    `cmd:"" default:"1" help:"Serve as a node (what a bare call does)."`
	Voter   voterCmd    `cmd:"" help:"Serve as one of the fleet's voters."`
	Job     cli.Job     `cmd:"" help:"Submit, list, wait for and control batch jobs."`
	Session cli.Session `cmd:"" help:"Create, open, close and destroy job sessions."`
	Tenant  cli.Tenant  `cmd:"" help:"Manage tenants by the administration."`
	Store   cli.Store   `cmd:"" help:"List and settle undecided bookings."`
	Config  configCmd   `cmd:"" help:"Check configuration files."`
	Demo    demoCmd     `cmd:"" help:"Run a node with stand-ins on loopback and show some jobs."`
	Conform conformCmd  `cmd:"" help:"Hold a server against the binding, clause by clause."`
	Measure measureCmd  `cmd:"" help:"Measure a node among stand-ins on loopback."`
	Version versionCmd  `cmd:"" help:"Show the version."`
}

// runCommand runs the program with the given arguments and returns its exit code.
func runCommand(caught signals, args []string, stdout, stderr io.Writer) int {
	log, err := nodeconfig.LoadLog(os.Getenv)
	if err != nil {
		fmt.Fprintln(stderr, "ospreybend:", err)
		return cli.ExitError
	}
	slog.SetDefault(slog.New(log.Handler(stderr)))
	var line commandLine
	exited := -1
	parser, err := kong.New(&line, kong.Name("ospreybend"), kong.Description("A load balancer for job preparation, with a batch front after DRMAA."),
		kong.UsageOnError(), kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		panic(err) // commandLine is invalid
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited // --help
	}
	if err != nil {
		fmt.Fprintln(stderr, "ospreybend:", err)
		return cli.ExitUsage
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if name := parsed.Command(); name != "serve" && name != "voter" {
		go func() {
			<-caught.shutdown
			cancel()
		}()
	}
	env := &cli.Env{Ctx: ctx, Out: stdout, Getenv: os.Getenv, JSON: line.JSON}
	err = parsed.Run(env, caught)
	if err != nil {
		fmt.Fprintln(stderr, "ospreybend:", err)
	}
	if errors.Is(err, errTrialNotRun) {
		return exitTrialNotRun
	}
	return cli.ExitCode(err)
}

// serveCmd serves as a node.
type serveCmd struct {
	CPUProfile string `help:"Write a profile of the processor's time into this file." type:"path" env:"OSPREYBEND_CPU_PROFILE"`
}

// Run serves until the process is signalled to shut down.
func (c *serveCmd) Run(_ *cli.Env, caught signals) error {
	if text := os.Getenv("OSPREYBEND_FAULT"); text != "" {
		if err := faultinjection.Arm(text); err != nil {
			return err
		}
		slog.Warn("fault injection armed: the process will be killed", "fault", text)
	}
	if c.CPUProfile == "" {
		return serve(caught)
	}
	f, err := os.Create(c.CPUProfile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return errors.Join(err, f.Close())
	}
	err = serve(caught)
	pprof.StopCPUProfile()
	return errors.Join(err, f.Close())
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the versions of the program and of Go.
func (versionCmd) Run(env *cli.Env) error {
	versions := map[string]string{"version": version, "go": runtime.Version()}
	return env.Show(versions, func(w io.Writer) { fmt.Fprintf(w, "ospreybend %s, %s\n", version, runtime.Version()) })
}

// configCmd groups the commands for configuration files.
type configCmd struct {
	Check configCheck `cmd:"" help:"Read the files as a start would, and say what is wrong."`
}

// configCheck reads the files that a start would read, or those that are named.
type configCheck struct {
	Node  string `help:"The node's file; else BALANCER_CONFIG names it." type:"path"`
	Batch string `help:"The batch front's file; else OSPREYBEND_BATCH names it, or it is deploy/batch.toml." type:"path"`
	Log   string `help:"The log's file; else OSPREYBEND_LOG names it, or it is deploy/log.toml." type:"path"`
	Fleet string `help:"The fleet's file; else OSPREYBEND_FLEET names it, or it is deploy/fleet.toml." type:"path"`
}

// checkResult is the outcome of a check without errors.
type checkResult struct {
	Batch   bool     `json:"batch"` // whether the batch API is enabled
	Checked []string `json:"checked"`
}

// Run reads the files as a start would and returns all errors.
func (c *configCheck) Run(env *cli.Env) error {
	getenv := func(key string) string {
		if v := map[string]string{"BALANCER_CONFIG": c.Node, "OSPREYBEND_BATCH": c.Batch, "OSPREYBEND_LOG": c.Log,
			"OSPREYBEND_FLEET": c.Fleet}[key]; v != "" {
			return v
		}
		return env.Getenv(key)
	}
	var errs []error
	if _, err := nodeconfig.LoadLog(getenv); err != nil {
		errs = append(errs, err)
	}
	batch, err := nodeconfig.LoadBatch(getenv)
	if err != nil {
		errs = append(errs, err)
	}
	fleet, err := nodeconfig.LoadFleet(getenv)
	if err != nil {
		errs = append(errs, err)
	}
	checked := []string{"log", "batch", "fleet"}
	if getenv("BALANCER_CONFIG") != "" {
		node, err := nodeconfig.Load(getenv)
		if err == nil {
			err = errors.Join(node.ReserveBatch(batch), node.ReserveFleet(fleet))
		}
		if err != nil {
			errs = append(errs, err)
		}
		checked = append(checked, "node")
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	return env.Show(checkResult{Batch: batch.Enabled, Checked: checked}, func(w io.Writer) {
		fmt.Fprintf(w, "well: %v; the batch front is %s\n", checked, map[bool]string{true: "on", false: "off"}[batch.Enabled])
	})
}
