// Command ospreybend is the load-balancing node: it accepts operations from clients, uses package balance to choose a
// worker for each, and returns the worker's response. Its other commands run a voter of a fleet of zones, call a node's
// batch API, check configuration files and run measurements on loopback; see docs/CLI.md.
//
// node.go starts a node, shutdown.go shuts it down gracefully, hot_restart.go hands its connections over to the next
// process, reload.go applies a changed configuration and readiness.go signals that the node is ready.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"ospreybend/internal/node/nodeconfig"
)

// version is the program's version. The batch API reports it too.
const version = "0.3.0"

// signals receives the caught signals that the program has not handled yet.
type signals struct {
	shutdown chan os.Signal
	reload   chan os.Signal // buffers one signal: one pending reload covers all SIGHUPs that arrive meanwhile
}

// catchSignals starts to catch signals. An uncaught SIGHUP would terminate the program, and SIGHUP may arrive at any time,
// also during a shutdown.
func catchSignals() signals {
	s := signals{shutdown: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.shutdown, syscall.SIGTERM, syscall.SIGINT)
	return s
}

func main() {
	caught := catchSignals()
	os.Exit(runCommand(caught, os.Args[1:], os.Stdout, os.Stderr))
}

// serve runs the node until the process is signalled to shut down.
func serve(caught signals) error {
	cfg, batch, err := loadNodeConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(maxProcs)
	n, err := start(cfg)
	if err != nil {
		return err
	}
	if batch.Enabled {
		if n.batch, err = n.startBatch(batch); err != nil {
			return err
		}
	}
	go func() {
		for range caught.reload {
			n.reload(os.Getenv)
		}
	}()
	if os.Getenv("OSPREYBEND_READY_FD") != "" {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.signalNodeReady(ctx)
	}
	<-caught.shutdown
	n.shutdown()
	return nil
}

// loadNodeConfig reads the configuration files of the node, its batch API and its fleet, and reserves the file
// descriptors that the latter two need.
func loadNodeConfig(getenv func(string) string) (*nodeconfig.Node, nodeconfig.Batch, error) {
	cfg, err := nodeconfig.Load(getenv)
	if err != nil {
		return nil, nodeconfig.Batch{}, err
	}
	batch, err := nodeconfig.LoadBatch(getenv)
	if err != nil {
		return nil, batch, err
	}
	if err := cfg.ReserveBatch(batch); err != nil {
		return nil, batch, err
	}
	fleet, err := nodeconfig.LoadFleet(getenv)
	if err != nil {
		return nil, batch, err
	}
	return cfg, batch, cfg.ReserveFleet(fleet)
}
