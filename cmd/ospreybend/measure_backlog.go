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

// measureBacklog plays phases without and with a backlog in turn.
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

// backlogPhase is what one phase showed.
type backlogPhase struct {
	Backlog bool    `json:"backlog"`
	Sent    int     `json:"sent"`
	Service float64 `json:"service"`
	Refused int     `json:"refused"`
	Other   int     `json:"failedOrBroken"`
	P50     float64 `json:"p50ms"`
	P99     float64 `json:"p99ms"`
	P999    float64 `json:"p999ms"`
	CPU     float64 `json:"cpuMicrosPerRequest"` // of the whole node, batch jobs included
	Jobs    int     `json:"jobsDone"`
	Busy    float64 `json:"slotsInUse"`
	Window  float64 `json:"window"`

	cpu time.Duration
}

// Run measures.
func (c *measureBacklog) Run(env *cli.Env) error {
	dir, err := os.MkdirTemp("", "ospreybend-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, c.Workers, c.Slots, func(j fakeplatform.Job) fakeplatform.Act {
		if j.Class == "vorschau" {
			return fakeplatform.Act{Run: c.JobRun}
		}
		return fakeplatform.Act{Run: c.Request}
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	n, err := newChild(dir, fleet.Discovery.Address(), c.Extra)
	if err != nil {
		return err
	}
	if err := n.start(env.Ctx); err != nil {
		return err
	}
	defer func() { _ = n.shutdown() }()
	s, err := n.tenant(env.Ctx, "backlog", 4*c.Jobs)
	if err != nil {
		return err
	}
	if _, err := c.runPhase(env.Ctx, n, fleet, s, 0, false); err != nil { // the module learns the classes first
		return err
	}
	var all []backlogPhase
	for i := range 2 * c.Pairs {
		// Without and with, then with and without, so that a drift favours neither.
		p, err := c.runPhase(env.Ctx, n, fleet, s, uint64(1+i/2), (i%2 == 1) != (i/2%2 == 1))
		if err != nil {
			return err
		}
		all = append(all, p)
	}
	return env.Show(all, func(w io.Writer) {
		fmt.Fprintln(w, "BACKLOG\tSENT\tSERVICE\tREFUSED\tOTHER\tP50\tP99\tP99.9\tCPU us/REQUEST\tJOBS DONE\tSLOTS IN USE\tWINDOW")
		for _, p := range all {
			fmt.Fprintf(w, "%v\t%d\t%.4f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%.2f\t%.1f\n", p.Backlog, p.Sent, p.Service, p.Refused, p.Other, p.P50,
				p.P99, p.P999, p.CPU, p.Jobs, p.Busy, p.Window)
		}
		mean := func(backlog bool, f func(backlogPhase) float64) (sum float64) {
			for _, p := range all {
				if p.Backlog == backlog {
					sum += f(p) / float64(c.Pairs)
				}
			}
			return sum
		}
		service := func(p backlogPhase) float64 { return p.Service }
		fmt.Fprintf(w, "\nservice without %.4f, with %.4f: ratio %.4f\n", mean(false, service), mean(true, service), mean(true, service)/mean(false, service))
		cpu := func(p backlogPhase) float64 { return float64(p.cpu.Microseconds()) }
		jobs := mean(true, func(p backlogPhase) float64 { return float64(p.Jobs) })
		fmt.Fprintf(w, "node's CPU for a batch job: %.0f us\n", (mean(true, cpu)-mean(false, cpu))/max(jobs, 1))
	})
}

func (c *measureBacklog) runPhase(ctx context.Context, n *child, fleet *fakeplatform.Fleet, s *client.Session, seed uint64, backlog bool) (p backlogPhase, err error) {
	var array *drmaa.Array
	if backlog {
		array, err = s.RunBulk(ctx, drmaa.Bulk{Begin: 1, End: c.Jobs, Template: &drmaa.JobTemplate{RemoteCommand: "vorschau", Input: "preview"}})
		if err != nil {
			return p, err
		}
	}
	busy := func() (sum time.Duration, served int) {
		for _, w := range fleet.Workers {
			_, k, b := w.Totals()
			sum, served = sum+b, served+k
		}
		return sum, served
	}
	slots := float64(c.Workers * c.Slots)
	cpu, busyBefore, servedBefore, began := n.cpuTime(), time.Duration(0), 0, time.Now()
	busyBefore, servedBefore = busy()
	got := loadgen.Run(ctx, loadgen.Config{URL: n.platform, Rate: c.Load * slots / c.Request.Seconds(), For: c.For, Seed: seed,
		Prefix: strconv.FormatUint(seed, 10) + strconv.FormatBool(backlog) + "-",
		Classes: []loadgen.Class{{Name: "modell-pruefen", Share: 0.8, Target: 400 * time.Millisecond, Within: 5 * time.Second},
			{Name: "auftrag-buchen", Share: 0.2, Target: 800 * time.Millisecond, Within: 25 * time.Second}}})
	took := time.Since(began)
	p = backlogPhase{Backlog: backlog, Sent: got.Sent, Service: got.Service(), Refused: got.Refused, Other: got.Failed + got.Broken, cpu: n.cpuTime() - cpu}
	p.P50, p.P99, p.P999 = milliseconds(got.Percentile(50)), milliseconds(got.Percentile(99)), milliseconds(got.Percentile(99.9))
	p.CPU = float64(p.cpu.Microseconds()) / float64(max(got.Sent, 1))
	busyAfter, served := busy()
	p.Busy = (busyAfter - busyBefore).Seconds() / took.Seconds() / slots
	p.Jobs = served - servedBefore - got.Served
	if q, err := n.admin.Queue(ctx); err == nil {
		p.Window = q.Window.Slots
	}
	if array != nil {
		if _, err := s.ActOnArray(ctx, array.ID, "terminate"); err != nil {
			return p, err
		}
		if _, err := s.WaitArray(ctx, array.ID); err != nil {
			return p, err
		}
	}
	return p, nil
}
