package main

import (
	"fmt"
	"io"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/nodesim"
)

// measureFleet plays emulated days of a whole fleet, with the decisions as they are.
type measureFleet struct {
	Nodes   int     `default:"80"`
	Workers int     `default:"60"`
	Days    int     `help:"Of each kind, with seeds of their own." default:"30"`
	First   uint64  `help:"The first seed." default:"1"`
	Load    float64 `help:"Asked for, as a part of what warm prep workers can do." default:"0.62"`
}

// daysRow is the mean of a kind of days.
type daysRow struct {
	Kind              string  `json:"kind"`
	G                 float64 `json:"g"`
	Error             float64 `json:"error"` // of the mean
	Served            float64 `json:"served"`
	Refused           float64 `json:"refused"`
	RunLate           float64 `json:"lateByRun"`
	QueueLate         float64 `json:"lateByQueue"`
	PendingLate       float64 `json:"lateByHold"`
	RejectedValue     float64 `json:"refusedWorth"`
	Failed            float64 `json:"failedWorth"` // or lost
	Probes            float64 `json:"probesARequest"`
	Handshakes        float64 `json:"handshakesARequest"`
	Messages          float64 `json:"messagesARequest"`
	Overloaded        int     `json:"felled"`       // the rule is broken
	OverloadedUnknown int     `json:"felledUntold"` // fallen by nodes that had not been told of the start
	MaxWarmUpLoad     float64 `json:"coldMost"`     // the most that a cold one got, as a part of what the rules allow
}

// Run plays.
func (c *measureFleet) Run(env *cli.Env) error {
	if c.Days < 1 {
		return fmt.Errorf("--days: %d, at least one is wanted", c.Days)
	}
	kinds := []struct {
		name string
		of   func(nodesim.Day) nodesim.Day
	}{
		{"calm", func(d nodesim.Day) nodesim.Day { return d }},
		{"released", nodesim.Day.Released}, {"returned", nodesim.Day.Returned}, {"killed", nodesim.Day.Killed},
	}
	rows := make([]daysRow, len(kinds))
	for i, k := range kinds {
		days, results := make([]nodesim.Day, c.Days), make([]nodesim.Result, c.Days)
		var g errgroup.Group
		g.SetLimit(runtime.NumCPU())
		for j := range c.Days {
			days[j] = k.of(nodesim.Workshop(c.Nodes, c.Workers, c.First+uint64(j)))
			days[j].Load = c.Load
			g.Go(func() (err error) {
				results[j], err = nodesim.Play(days[j])
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		row := daysRow{Kind: k.name}
		sum, squares, n := 0.0, 0.0, float64(c.Days)
		for j, r := range results {
			v := r.G(days[j])
			sum, squares = sum+v, squares+v*v
			asked := r.Asked()
			row.Served += r.Served / r.Value / n
			row.Refused += float64(r.Rejected) / asked / n
			row.RunLate += r.RunLate / r.Value / n
			row.QueueLate += r.QueueLate / r.Value / n
			row.PendingLate += r.PendingLate / r.Value / n
			row.RejectedValue += r.RejectedValue / r.Value / n
			row.Failed += r.FailedValue / r.Value / n
			row.Probes += float64(r.Probes) / asked / n
			row.Handshakes += float64(r.Handshakes) / asked / n
			row.Messages += r.Messages / asked / n
			row.Overloaded += r.Overloaded
			row.OverloadedUnknown += r.OverloadedUnknown
			row.MaxWarmUpLoad = max(row.MaxWarmUpLoad, r.MaxWarmUpLoad)
		}
		row.G = sum / n
		row.Error = math.Sqrt(max(0, squares/n-row.G*row.G) / n)
		rows[i] = row
	}
	return env.Show(rows, func(w io.Writer) {
		fmt.Fprintln(w, "DAYS\tG\t+-\tSERVED\tREFUSED\tLATE: RUN\tQUEUE\tHELD\tLOST: REFUSED\tFAILED\tPROBES\tHANDSHAKES\tMESSAGES\tFELLED\tUNTOLD\tCOLD MOST")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.2f\t%.3f\t%d\t%d\t%.2f\n", r.Kind, r.G, r.Error,
				r.Served, r.Refused, r.RunLate, r.QueueLate, r.PendingLate, r.RejectedValue, r.Failed, r.Probes, r.Handshakes, r.Messages, r.Overloaded, r.OverloadedUnknown, r.MaxWarmUpLoad)
		}
	})
}
