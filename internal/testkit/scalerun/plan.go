package scalerun

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"ospreybend/internal/testkit/localfleet"
	"ospreybend/internal/testkit/scalereport"
)

// Plan describes what is played.
type Plan struct {
	Binary    string // the fleet's program
	Directory string // settings, data and logs go below it
	Sizes     []scalereport.Size
	Target    scalereport.Size
	Servers   int
	Tolerance int // servers that may be lost at once; 0: as many as leave a majority
	Edges     int // real ones among the nodes
	Routes    int
	WarmUp    time.Duration // after the start, before anything is measured
	Window    time.Duration // of a measurement at rest
	Windows   int
	Changes   int
	FarEvery  int             // one in so many hollow agents has the far link; 0: none
	Far       localfleet.Link // between these and the servers
	Heartbeat time.Duration   // of workers
	Limit     time.Duration   // of one step
	Progress  io.Writer
}

// Of one process of the fleet.
const (
	coresOfProcess  = 1
	memoryOfProcess = 256 // MB
)

// Play measures all sizes for which the machine has enough memory and descriptors. On an error the result has the steps before it.
func Play(ctx context.Context, plan Plan) (scalereport.Result, error) {
	result := scalereport.Result{Machine: machineName(runtime.NumCPU()), Target: plan.Target, Far: plan.farText()}
	bounds, err := machineBounds()
	if err != nil {
		return result, err
	}
	for i, size := range plan.Sizes {
		if why := bounds.Check(scalereport.NeedOf(size, plan.Servers, plan.Edges, plan.Routes)); why != nil {
			result.Cuts = append(result.Cuts, scalereport.Cut{Size: size, Why: why.Error()})
			plan.printf("%d nodes, %d workers: not played: %v", size.Nodes, size.Workers, why)
			continue
		}
		result.Load = append(result.Load, LoadAverage())
		step, err := plan.playStep(ctx, i, size, bounds)
		if err != nil {
			return result, fmt.Errorf("%d nodes, %d workers: %w", size.Nodes, size.Workers, err)
		}
		result.Steps = append(result.Steps, step)
	}
	result.Trends = scalereport.Trends(result.Steps, plan.Target)
	return result, nil
}

func (p Plan) farText() string {
	if p.FarEvery == 0 {
		return "none"
	}
	return fmt.Sprintf("one hollow agent in %d: %v one way, %.3g%% of segments lost", p.FarEvery, p.Far.Delay, 100*p.Far.Loss)
}

func (p Plan) printf(format string, values ...any) { fmt.Fprintf(p.Progress, format+"\n", values...) }

// playStep measures one size with a fleet of its own.
func (p Plan) playStep(ctx context.Context, index int, size scalereport.Size, bounds scalereport.Bounds) (scalereport.Step, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	directory := filepath.Join(p.Directory, fmt.Sprintf("step-%d", index+1))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return scalereport.Step{}, err
	}
	defer os.RemoveAll(directory)
	fleet, err := localfleet.New(localfleet.Layout{Binary: p.Binary, Directory: directory, Servers: p.Servers,
		Edges: p.Edges, Tolerance: p.Tolerance, LogLevel: "warn", Cores: coresOfProcess, MemoryMb: memoryOfProcess})
	if err != nil {
		return scalereport.Step{}, err
	}
	s := newStepRun(p, size, fleet, bounds)
	defer s.close()
	started := time.Now()
	p.printf("%d nodes, %d workers, %d control plane servers, %d routes (load average %.1f)", size.Nodes, size.Workers, p.Servers, p.Routes, LoadAverage())
	err = s.play(ctx)
	s.step.TookS = time.Since(started).Seconds()
	return s.step, err
}
