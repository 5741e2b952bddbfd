package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// measureBacklog plays phases without and with a backlog of batch jobs in turn.
type measureBacklog struct {
	Jobs    int           `help:"Jobs of the backlog." default:"10000"`
	Workers int           `default:"8"`
	Slots   int           `help:"Of a worker." default:"4"`
	Request time.Duration `help:"What a platform request takes." default:"100ms"`
	JobRun  time.Duration `help:"Of a batch job." default:"200ms"`
	Load    float64       `help:"Of the platform's requests on the slots." default:"0.5"`
	For     time.Duration `help:"Of a phase." default:"15s"`
	Pairs   int           `default:"3"`
	Extra   string        `help:"Further lines of the batch front's file."`
}

// backlogPhase is the result of one phase.
type backlogPhase struct {
	Backlog bool    `json:"backlog"`
	Sent    int     `json:"sent"`
	Service float64 `json:"service"`
	Refused int     `json:"refused"`
	Other   int     `json:"failedOrBroken"`
	P50     float64 `json:"p50ms"`
	P99     float64 `json:"p99ms"`
	P999    float64 `json:"p999ms"`
	CPU     float64 `json:"cpuMicrosPerRequest"` // of the node, batch jobs included
	Jobs    int     `json:"jobsDone"`
	Busy    float64 `json:"slotsInUse"`
	Window  float64 `json:"window"`

	cpu time.Duration
}

// backlogRun is what all phases share.
type backlogRun struct {
	command *measureBacklog
	node    *child
	fleet   *fakeplatform.Fleet
	session *client.Session // of the tenant whose jobs are the backlog
}

// Run measures the phases after one to warm up.
func (c *measureBacklog) Run(env *cli.Env) error {
	dir, err := os.MkdirTemp("", "ospreybend-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, c.Workers, c.Slots, func(job fakeplatform.Job) fakeplatform.Act {
		if job.Class == "vorschau" {
			return fakeplatform.Act{Run: c.JobRun}
		}
		return fakeplatform.Act{Run: c.Request}
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	node, err := newChild(dir, fleet.Discovery.Address(), c.Extra)
	if err != nil {
		return err
	}
	if err := node.start(env.Ctx); err != nil {
		return err
	}
	defer func() { _ = node.shutdown() }()
	session, err := node.tenant(env.Ctx, "backlog", 4*c.Jobs)
	if err != nil {
		return err
	}
	phases, err := backlogRun{c, node, fleet, session}.phases(env.Ctx)
	if err != nil {
		return err
	}
	return env.Show(phases, func(w io.Writer) {
		printBacklogPhases(w, phases)
		c.printSummary(w, phases)
	})
}

// phases measures all phases. The first one is dropped: in it the decision module learns the classes.
func (r backlogRun) phases(ctx context.Context) (phases []backlogPhase, err error) {
	if _, err := r.phase(ctx, 0, false); err != nil {
		return nil, err
	}
	for i := range 2 * r.command.Pairs {
		// Without and with, then with and without, so that a drift favours neither.
		backlog := (i%2 == 1) != (i/2%2 == 1)
		phase, err := r.phase(ctx, uint64(1+i/2), backlog)
		if err != nil {
			return nil, err
		}
		phases = append(phases, phase)
	}
	return phases, nil
}

func printBacklogPhases(w io.Writer, phases []backlogPhase) {
	fmt.Fprintln(w, "BACKLOG\tSENT\tSERVICE\tREFUSED\tOTHER\tP50\tP99\tP99.9\tCPU us/REQUEST\tJOBS DONE\tSLOTS IN USE\tWINDOW")
	for _, phase := range phases {
		fmt.Fprintf(w, "%v\t%d\t%.4f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%.2f\t%.1f\n", phase.Backlog, phase.Sent, phase.Service,
			phase.Refused, phase.Other, phase.P50, phase.P99, phase.P999, phase.CPU, phase.Jobs, phase.Busy, phase.Window)
	}
}

// printSummary prints the means of the phases without and with a backlog side by side.
func (c *measureBacklog) printSummary(w io.Writer, phases []backlogPhase) {
	mean := func(backlog bool, figure func(backlogPhase) float64) (sum float64) {
		for _, phase := range phases {
			if phase.Backlog == backlog {
				sum += figure(phase) / float64(c.Pairs)
			}
		}
		return sum
	}
	service := func(p backlogPhase) float64 { return p.Service }
	without, with := mean(false, service), mean(true, service)
	fmt.Fprintf(w, "\nservice without %.4f, with %.4f: ratio %.4f\n", without, with, with/without)
	cpu := func(p backlogPhase) float64 { return float64(p.cpu.Microseconds()) }
	jobs := mean(true, func(p backlogPhase) float64 { return float64(p.Jobs) })
	fmt.Fprintf(w, "node's CPU for a batch job: %.0f us\n", (mean(true, cpu)-mean(false, cpu))/max(jobs, 1))
}

// phase measures one phase, with a backlog if that is asked for.
func (r backlogRun) phase(ctx context.Context, seed uint64, backlog bool) (phase backlogPhase, err error) {
	var array *drmaa.Array
	if backlog {
		array, err = r.session.RunBulk(ctx, drmaa.Bulk{Begin: 1, End: r.command.Jobs, Template: &drmaa.JobTemplate{RemoteCommand: "vorschau", Input: "preview"}})
		if err != nil {
			return phase, err
		}
	}
	phase = r.load(ctx, seed, backlog)
	if queue, err := r.node.admin.Queue(ctx); err == nil {
		phase.Window = queue.Window.Slots
	}
	if array == nil {
		return phase, nil
	}
	if _, err := r.session.ActOnArray(ctx, array.ID, "terminate"); err != nil {
		return phase, err
	}
	_, err = r.session.WaitArray(ctx, array.ID)
	return phase, err
}

// load sends the platform's requests of one phase and measures the node and its workers meanwhile.
func (r backlogRun) load(ctx context.Context, seed uint64, backlog bool) backlogPhase {
	slots := float64(r.command.Workers * r.command.Slots)
	cpuBefore, began := r.node.cpuTime(), time.Now()
	busyBefore, servedBefore := r.workerTotals()
	got := loadgen.Run(ctx, loadgen.Config{
		URL: r.node.platform, Rate: r.command.Load * slots / r.command.Request.Seconds(), Duration: r.command.For, Seed: seed,
		Prefix: strconv.FormatUint(seed, 10) + strconv.FormatBool(backlog) + "-", Classes: platformClasses(),
	})
	took, cpu := time.Since(began), r.node.cpuTime()-cpuBefore
	busy, served := r.workerTotals()
	return backlogPhase{
		Backlog: backlog, Sent: got.Sent, Service: got.FractionWithinTarget(), Refused: got.Refused, Other: got.Failed + got.Broken,
		P50: milliseconds(got.Percentile(50)), P99: milliseconds(got.Percentile(99)), P999: milliseconds(got.Percentile(99.9)),
		CPU: float64(cpu.Microseconds()) / float64(max(got.Sent, 1)), cpu: cpu,
		Jobs: served - servedBefore - got.Served,
		Busy: (busy - busyBefore).Seconds() / took.Seconds() / slots,
	}
}

// workerTotals returns how long all slots of the workers were busy together since their start, and how much they served.
func (r backlogRun) workerTotals() (busy time.Duration, served int) {
	for _, worker := range r.fleet.Workers {
		_, workerServed, workerBusy := worker.Totals()
		busy, served = busy+workerBusy, served+workerServed
	}
	return busy, served
}
