// Command inference-router is the router fleet: each of its processes is one sub-command of it. See
// docs/design/router-fleet.md for the roles and docs/OPERATORS-FLEET.md for running them.
package main

import (
	"context"
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
	exitOK    = 0
	exitFault = 1 // the process could not do its work
	exitUsage = 2 // the command line or a file that it names is wrong
)

// arguments is the command line.
type arguments struct {
	Proxy        *roleCommand    `arg:"subcommand:proxy" help:"take clients' requests and forward them to workers"`
	Agent        *roleCommand    `arg:"subcommand:agent" help:"keep the link to the control plane for the proxy beside it"`
	ControlPlane *roleCommand    `arg:"subcommand:control-plane" help:"hold the control plane's state and serve its API"`
	Check        *checkCommand   `arg:"subcommand:check" help:"check a settings file or a configuration and exit"`
	Measure      *measureCommand `arg:"subcommand:measure" help:"measure the fleet on this machine"`
	Demo         *demoCommand    `arg:"subcommand:demo" help:"run a whole fleet with stand-in workers on loopback and send requests through it"`
}

// roleCommand are the flags of a process.
type roleCommand struct {
	Settings string `arg:"--settings,env:OSPREYBEND_CONFIG" default:"/etc/ospreybend/boot.json" help:"settings file of this process (JSON)"`
	LogLevel string `arg:"--log-level,env:OSPREYBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "inference-router runs one process of the router fleet, or checks its files."
}

// roleRunner is the entry point of a role.
type roleRunner func(context.Context, bootconfig.Settings, *zap.Logger) error

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line and does what it says.
func run(line []string, out, errors io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "inference-router", Out: out}, &parsed)
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	switch err := parser.Parse(line); {
	case err == arg.ErrHelp:
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	switch {
	case parsed.Proxy != nil:
		return runRole("proxy", parsed.Proxy, proxy.Run, errors)
	case parsed.Agent != nil:
		return runRole("agent", parsed.Agent, agent.Run, errors)
	case parsed.ControlPlane != nil:
		return runRole("controlplane", parsed.ControlPlane, server.Run, errors)
	case parsed.Check != nil:
		return parsed.Check.run(out, errors)
	case parsed.Demo != nil:
		return parsed.Demo.run(out, errors)
	case parsed.Measure != nil && parsed.Measure.Catchup != nil:
		return parsed.Measure.Catchup.run(out, errors)
	case parsed.Measure != nil && parsed.Measure.Scale != nil:
		return parsed.Measure.Scale.run(out, errors)
	case parsed.Measure != nil && parsed.Measure.Traffic != nil:
		return parsed.Measure.Traffic.run(out, errors)
	case parsed.Measure != nil && parsed.Measure.Simulate != nil:
		return parsed.Measure.Simulate.run(out, errors)
	}
	_ = parser.WriteHelpForSubcommand(errors, parser.SubcommandNames()...)
	return exitUsage
}

// runRole runs one process until it is told to end by SIGTERM or SIGINT.
func runRole(role string, command *roleCommand, run roleRunner, errors io.Writer) int {
	loaded, err := bootconfig.LoadWithRetry(command.Settings)
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUsage
	}
	logger, err := logging.New(command.LogLevel, role, loaded.NodeName)
	if err != nil {
		fmt.Fprintln(errors, "log level:", err)
		return exitUsage
	}
	// A signal that nobody catches ends the process: both are caught before the role starts.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, loaded, logger); err != nil {
		logger.Error("process failed", zap.Error(err))
		return exitFault
	}
	return exitOK
}
