// Command inference-router runs the router fleet. Each process of the fleet is a sub-command: proxy takes clients' requests,
// agent keeps the proxy beside it connected to the control plane, control-plane holds the configuration and the registry of
// workers. The other sub-commands check files, measure a fleet and run a demo.
//
// This package only parses flags and prints results: the packages proxy, agent and server implement the processes, packages below
// internal/testkit the measurements. See docs/design/router-fleet.md for the roles and docs/OPERATORS-FLEET.md for how to run them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"ospreybend/internal/controlplane/agent"
	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/dataplane/proxy"
	"ospreybend/internal/util/bootconfig"
	"ospreybend/internal/util/logging"
)

// Exit codes of the command.
const (
	exitOK      = 0
	exitFailure = 1 // the process or measurement failed, or a checked file is invalid
	exitUsage   = 2 // the command line is invalid, or the settings file of the process to run is
)

const maxPort = 65535

// arguments holds the sub-commands; the parser sets only the one that the command line names.
type arguments struct {
	Proxy        *roleCommand    `arg:"subcommand:proxy" help:"accept client requests and forward them to workers"`
	Agent        *roleCommand    `arg:"subcommand:agent" help:"connect the proxy on the same node to the control plane"`
	ControlPlane *roleCommand    `arg:"subcommand:control-plane" help:"store the control plane state and serve its API"`
	Check        *checkCommand   `arg:"subcommand:check" help:"check a settings file or a configuration and exit"`
	Measure      *measureCommand `arg:"subcommand:measure" help:"measure the fleet on this machine"`
	Demo         *demoCommand    `arg:"subcommand:demo" help:"run a complete fleet with fake workers on loopback and send requests through it"`
}

// roleCommand holds the flags of the sub-commands that run a process of the fleet.
type roleCommand struct {
	Settings    string `arg:"--settings,env:OSPREYBEND_CONFIG" default:"/etc/ospreybend/boot.json" help:"settings file of this process (JSON)"`
	LogLevel    string `arg:"--log-level,env:OSPREYBEND_LOG_LEVEL" default:"info" help:"lowest level that is logged: debug, info, warn or error"`
	MetricsPort int    `arg:"--metrics-port,env:OSPREYBEND_METRICS_PORT" default:"0" help:"TCP port that serves /metrics; 0: no such port is opened"`
}

// Description returns the text that --help shows above the options.
func (arguments) Description() string {
	return "inference-router runs one process of the router fleet, checks its files, or measures a fleet."
}

// roleRunner runs a process of the fleet until the context is done. The channel carries the settings that change meanwhile.
type roleRunner func(context.Context, bootconfig.Settings, <-chan bootconfig.Settings, *zap.Logger) error

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line, executes the sub-command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "inference-router", Out: stdout}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	switch {
	case parsed.Proxy != nil:
		return runRole("proxy", parsed.Proxy, proxy.Run, stderr)
	case parsed.Agent != nil:
		return runRole("agent", parsed.Agent, agent.Run, stderr)
	case parsed.ControlPlane != nil:
		return runRole("controlplane", parsed.ControlPlane, server.Run, stderr)
	case parsed.Check != nil:
		return parsed.Check.run(stdout, stderr)
	case parsed.Demo != nil:
		return parsed.Demo.run(stdout, stderr)
	case parsed.Measure != nil && parsed.Measure.Catchup != nil:
		return parsed.Measure.Catchup.run(stdout, stderr)
	case parsed.Measure != nil && parsed.Measure.Scale != nil:
		return parsed.Measure.Scale.run(stdout, stderr)
	case parsed.Measure != nil && parsed.Measure.Traffic != nil:
		return parsed.Measure.Traffic.run(stdout, stderr)
	case parsed.Measure != nil && parsed.Measure.Simulate != nil:
		return parsed.Measure.Simulate.run(stdout, stderr)
	}
	_ = parser.WriteHelpForSubcommand(stderr, parser.SubcommandNames()...)
	return exitUsage
}

// runRole runs one process of the fleet until SIGTERM or SIGINT. It follows the settings file, which is read at once at a SIGHUP.
func runRole(role string, command *roleCommand, run roleRunner, stderr io.Writer) int {
	settings, err := bootconfig.LoadWithRetry(command.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logger, err := logging.New(command.LogLevel, role, settings.NodeName)
	if err != nil {
		fmt.Fprintln(stderr, "--log-level:", err)
		return exitUsage
	}
	if command.MetricsPort < 0 || command.MetricsPort > maxPort {
		fmt.Fprintf(stderr, "--metrics-port: %d is not from 0 to %d\n", command.MetricsPort, maxPort)
		return exitUsage
	}
	settings.MetricsPort = command.MetricsPort
	// By default these signals terminate the process, so they are handled before the role starts.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	changes := bootconfig.Follow(following, command.Settings, settings, hangups, func(err error) {
		logger.Warn("settings reload failed; the previous settings stay in force", zap.Error(err))
	})
	if err := run(ctx, settings, changes, logger); err != nil {
		logger.Error("process failed", zap.Error(err))
		return exitFailure
	}
	return exitOK
}
