// Command ospreybend is one real node: it takes operations from clients,
// decides by package balance where each goes, and answers them. It also has the
// commands that call such a node's batch front; see docs/CLI.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"ospreybend/internal/node/nodeconfig"
)

// version is the program's, as the batch front tells it.
const version = "0.3.0"

// signals are those that the program has caught and not acted on yet.
type signals struct {
	shutdown chan os.Signal
	reload   chan os.Signal // holds one: what comes meanwhile is served by the same rereading
}

// catchSignals has the signals caught from now on; one that is not would end the
// program. SIGHUP may come at any time, above all while the node leaves.
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

// serve runs the node until it is told to leave.
func serve(caught signals) error {
	cfg, err := nodeconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	batch, err := nodeconfig.LoadBatch(os.Getenv)
	if err != nil {
		return err
	}
	if err := cfg.ReserveBatch(batch); err != nil {
		return err
	}
	fleet, err := nodeconfig.LoadFleet(os.Getenv)
	if err != nil {
		return err
	}
	if err := cfg.ReserveFleet(fleet); err != nil {
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
