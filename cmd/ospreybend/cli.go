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

// exitTrialNotRun is the exit code of a trial that could not run; a trial that found violations exits with 1.
const exitTrialNotRun = 2

// commandLine is the command line as kong parses it; command and flag names are derived from field names. Without a
// command the program runs "serve", which is how the platform starts it.
type commandLine struct {
	JSON bool `help:"Write results as JSON." env:"OSPREYBEND_JSON"`

	Serve   serveCmd    `cmd:"" default:"1" help:"Serve as a node (the default command)."`
	Voter   voterCmd    `cmd:"" help:"Serve as one of the fleet's voters."`
	Job     cli.Job     `cmd:"" help:"Submit, list, wait for and control batch jobs."`
	Session cli.Session `cmd:"" help:"Create, open, close and destroy job sessions."`
	Tenant  cli.Tenant  `cmd:"" help:"Manage tenants through the administration API."`
	Store   cli.Store   `cmd:"" help:"List and settle undecided bookings."`
	Config  configCmd   `cmd:"" help:"Check configuration files."`
	Demo    demoCmd     `cmd:"" help:"Run a node with fake workers on loopback and show how it handles requests and jobs."`
	Conform conformCmd  `cmd:"" help:"Run the conformance suite of the DRMAA binding against a server."`
	Measure measureCmd  `cmd:"" help:"Measure a node with fake workers on loopback."`
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
	var commands commandLine
	exited := -1
	parser, err := kong.New(&commands, kong.Name("ospreybend"), kong.Description("A load balancer for job preparation, with a batch API based on DRMAA."),
		kong.UsageOnError(), kong.Writers(stdout, stderr), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		panic(err) // the tags of commandLine are invalid, which is a programming error
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
	env := &cli.Env{Ctx: ctx, Out: stdout, Getenv: os.Getenv, JSON: commands.JSON}
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
	CPUProfile string `help:"Write a CPU profile to this file." type:"path" env:"OSPREYBEND_CPU_PROFILE"`
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
	Check configCheck `cmd:"" help:"Read the configuration files as at startup and report all errors."`
}

// configCheck checks the configuration files that are read at startup, or those named by flags.
type configCheck struct {
	Node  string `help:"Configuration file of the node (default: the file named by BALANCER_CONFIG)." type:"path"`
	Batch string `help:"Configuration file of the batch API (default: the file named by OSPREYBEND_BATCH, else deploy/batch.toml)." type:"path"`
	Log   string `help:"Configuration file of the log (default: the file named by OSPREYBEND_LOG, else deploy/log.toml)." type:"path"`
	Fleet string `help:"Configuration file of the fleet (default: the file named by OSPREYBEND_FLEET, else deploy/fleet.toml)." type:"path"`
}

// checkResult is the result of a check that found no errors.
type checkResult struct {
	Batch   bool     `json:"batch"` // whether the batch API is enabled
	Checked []string `json:"checked"`
}

// Run reads the files as at startup and returns all errors joined.
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
		fmt.Fprintf(w, "valid: %v; the batch API is %s\n", checked, map[bool]string{true: "on", false: "off"}[batch.Enabled])
	})
}
