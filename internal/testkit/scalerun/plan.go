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

// Plan describes a scale run.
type Plan struct {
	Binary    string // path of the fleet's executable
	Directory string // parent of settings, data and logs
	Sizes     []scalereport.Size
	Target    scalereport.Size
	Servers   int
	Tolerance int // servers that may fail at the same time; 0: the most that leave a majority
	Edges     int // nodes that run as real processes
	Routes    int
	WarmUp    time.Duration   // wait after the start, before anything is measured
	Window    time.Duration   // length of one measurement in the idle phase
	Windows   int             // measurements in the idle phase
	Changes   int             // configuration changes that are measured
	FarEvery  int             // every FarEvery-th hollow agent has a far link; 0: none
	Far       localfleet.Link // link between these agents and the servers
	Heartbeat time.Duration   // heartbeat interval of workers
	Limit     time.Duration   // time limit of one step
	Progress  io.Writer
}

// Limits of each fleet process.
const (
	coresPerProcess  = 1
	memoryPerProcess = 256 // MB
)

// Run measures all sizes for which the machine has enough memory and file descriptors. If it returns an error, the
// result has the steps completed before.
func Run(ctx context.Context, plan Plan) (scalereport.Result, error) {
	result := scalereport.Result{Machine: machineName(runtime.NumCPU()), Target: plan.Target, FarLink: plan.farText()}
	bounds, err := machineBounds()
	if err != nil {
		return result, err
	}
	for i, size := range plan.Sizes {
		if why := bounds.Check(scalereport.EstimateNeed(size, plan.Servers, plan.Edges, plan.Routes)); why != nil {
			result.Skipped = append(result.Skipped, scalereport.SkippedSize{Size: size, Reason: why.Error()})
			plan.printf("%d nodes, %d workers: skipped: %v", size.Nodes, size.Workers, why)
			continue
		}
		result.Load = append(result.Load, LoadAverage())
		step, err := plan.runStep(ctx, i, size, bounds)
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

// runStep measures one size with a new fleet.
func (p Plan) runStep(ctx context.Context, index int, size scalereport.Size, bounds scalereport.Bounds) (scalereport.Step, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	directory := filepath.Join(p.Directory, fmt.Sprintf("step-%d", index+1))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return scalereport.Step{}, err
	}
	defer os.RemoveAll(directory)
	fleet, err := localfleet.New(localfleet.Layout{Binary: p.Binary, Directory: directory, Servers: p.Servers,
		Edges: p.Edges, Tolerance: p.Tolerance, LogLevel: "warn", Cores: coresPerProcess, MemoryMb: memoryPerProcess})
	if err != nil {
		return scalereport.Step{}, err
	}
	s := newStepRun(p, size, fleet, bounds)
	defer s.close()
	started := time.Now()
	p.printf("%d nodes, %d workers, %d control plane servers, %d routes (load average %.1f)", size.Nodes, size.Workers, p.Servers, p.Routes, LoadAverage())
	err = s.run(ctx)
	s.step.DurationSeconds = time.Since(started).Seconds()
	return s.step, err
}
