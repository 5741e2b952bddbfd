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

// measureFleet simulates days of a whole fleet with the program's own decisions.
type measureFleet struct {
	Nodes   int     `default:"80"`
	Workers int     `default:"60"`
	Days    int     `help:"Of each kind, with seeds of their own." default:"30"`
	First   uint64  `help:"The first seed." default:"1"`
	Load    float64 `help:"Asked for, as a part of what warm prep workers can do." default:"0.62"`
}

// daysRow is the mean of the days of one kind. Values are parts of the value of all requests, counts are per request.
type daysRow struct {
	Kind              string  `json:"kind"`
	G                 float64 `json:"g"`
	Error             float64 `json:"error"` // standard error of the mean
	Served            float64 `json:"served"`
	Refused           float64 `json:"refused"`
	RunLate           float64 `json:"lateByRun"`
	QueueLate         float64 `json:"lateByQueue"`
	PendingLate       float64 `json:"lateByHold"`
	RejectedValue     float64 `json:"refusedWorth"`
	Failed            float64 `json:"failedWorth"` // failed or lost
	Probes            float64 `json:"probesARequest"`
	Handshakes        float64 `json:"handshakesARequest"`
	Messages          float64 `json:"messagesARequest"`
	Overloaded        int     `json:"felled"`       // workers overloaded while warming up, against the rules
	OverloadedUnknown int     `json:"felledUntold"` // overloaded by nodes that had not been notified of the start
	MaxWarmUpLoad     float64 `json:"coldMost"`     // highest load of a worker that warms up, as a part of the allowed one
}

// dayKind is a kind of simulated days, made from an ordinary one.
type dayKind struct {
	name string
	of   func(nodesim.Day) nodesim.Day
}

// dayKinds returns all kinds, in the order of the rows.
func dayKinds() []dayKind {
	return []dayKind{
		{"calm", func(d nodesim.Day) nodesim.Day { return d }},
		{"released", nodesim.Day.WithRelease},
		{"returned", nodesim.Day.WithWorkerLoss},
		{"killed", nodesim.Day.WithNodeKill},
	}
}

// Run simulates the days of all kinds and prints one row for each kind.
func (c *measureFleet) Run(env *cli.Env) error {
	if c.Days < 1 {
		return fmt.Errorf("--days: %d, at least one is wanted", c.Days)
	}
	var rows []daysRow
	for _, kind := range dayKinds() {
		row, err := c.measureKind(kind)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return env.Show(rows, func(w io.Writer) { printDays(w, rows) })
}

// measureKind simulates the days of one kind, as many at once as there are processors.
func (c *measureFleet) measureKind(kind dayKind) (daysRow, error) {
	days, results := make([]nodesim.Day, c.Days), make([]nodesim.Result, c.Days)
	var group errgroup.Group
	group.SetLimit(runtime.NumCPU())
	for i := range c.Days {
		days[i] = kind.of(nodesim.ReferenceDay(c.Nodes, c.Workers, c.First+uint64(i)))
		days[i].Load = c.Load
		group.Go(func() (err error) {
			results[i], err = nodesim.Simulate(days[i])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return daysRow{}, err
	}
	return meanOfDays(kind.name, days, results), nil
}

// meanOfDays returns the row of one kind of days.
func meanOfDays(kind string, days []nodesim.Day, results []nodesim.Result) daysRow {
	row := daysRow{Kind: kind}
	sum, squares, count := 0.0, 0.0, float64(len(days))
	for i, result := range results {
		g := result.Score(days[i])
		sum, squares = sum+g, squares+g*g
		row.add(result, count)
	}
	row.G = sum / count
	row.Error = math.Sqrt(max(0, squares/count-row.G*row.G) / count)
	return row
}

// add adds the figures of one of count days.
func (row *daysRow) add(result nodesim.Result, count float64) {
	requests := result.Requests()
	row.Served += result.Served / result.Value / count
	row.Refused += float64(result.Rejected) / requests / count
	row.RunLate += result.RunLate / result.Value / count
	row.QueueLate += result.QueueLate / result.Value / count
	row.PendingLate += result.PendingLate / result.Value / count
	row.RejectedValue += result.RejectedValue / result.Value / count
	row.Failed += result.FailedValue / result.Value / count
	row.Probes += float64(result.Probes) / requests / count
	row.Handshakes += float64(result.Handshakes) / requests / count
	row.Messages += result.Messages / requests / count
	row.Overloaded += result.Overloaded
	row.OverloadedUnknown += result.OverloadedUnknown
	row.MaxWarmUpLoad = max(row.MaxWarmUpLoad, result.MaxWarmUpLoad)
}

func printDays(w io.Writer, rows []daysRow) {
	fmt.Fprintln(w, "DAYS\tG\t+-\tSERVED\tREFUSED\tLATE: RUN\tQUEUE\tHELD\tLOST: REFUSED\tFAILED\tPROBES\tHANDSHAKES\tMESSAGES\tFELLED\tUNTOLD\tCOLD MOST")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.2f\t%.3f\t%d\t%d\t%.2f\n", row.Kind, row.G, row.Error,
			row.Served, row.Refused, row.RunLate, row.QueueLate, row.PendingLate, row.RejectedValue, row.Failed,
			row.Probes, row.Handshakes, row.Messages, row.Overloaded, row.OverloadedUnknown, row.MaxWarmUpLoad)
	}
}
