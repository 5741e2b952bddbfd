package main

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	_ "modernc.org/sqlite"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// measureCmd is the measurements: a node in a process of its own among stand-ins
// in this one, on loopback.
type measureCmd struct {
	Backlog measureBacklog `cmd:"" help:"What a backlog of batch jobs costs the platform's requests."`
	Fleet   measureFleet   `cmd:"" help:"Play emulated days of a whole fleet with the decisions as they are."`
	Kill    measureKill    `cmd:"" help:"Kill a node amid bookings and audit each."`
	Stall   measureStall   `cmd:"" help:"Stall the store under load, and look at both fronts."`
	Submit  measureSubmit  `cmd:"" help:"Submissions a second beside a bare loop of SQLite commits, and a bulk."`
	Trial   measureTrial   `cmd:"" help:"Play many processes over loopback against faults between them, and audit what became of all."`
	Upgrade measureUpgrade `cmd:"" help:"Upgrade a node again and again under load and audit every job."`
}

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

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// measureSubmit measures submissions.
type measureSubmit struct {
	Clients int           `help:"That submit at once." default:"32"`
	For     time.Duration `default:"5s"`
	Bulk    int           `help:"Jobs of the bulk." default:"10000"`
}

type submissionRate struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"perSecond"`
	P50       float64 `json:"p50ms"`
	P99       float64 `json:"p99ms"`
}

// measureRate calls f from some goroutines for a while.
func measureRate(name string, clients int, span time.Duration, f func(i int) error) (submissionRate, error) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	var fault error
	began := time.Now()
	for k := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := k; time.Since(began) < span; i += clients {
				at := time.Now()
				err := f(i)
				mu.Lock()
				fault = errors.Join(fault, err)
				_ = h.RecordValue(time.Since(at).Microseconds())
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	all.Wait()
	took := time.Since(began).Seconds()
	return submissionRate{name, float64(h.TotalCount()) / took, float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000}, fault
}

// Run measures.
func (c *measureSubmit) Run(env *cli.Env) error {
	dir, err := os.MkdirTemp("", "ospreybend-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 4, 16, fakeplatform.For(time.Millisecond))
	if err != nil {
		return err
	}
	defer fleet.Stop()
	n, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return err
	}
	if err := n.start(env.Ctx); err != nil {
		return err
	}
	defer func() { _ = n.shutdown() }()
	s, err := n.tenant(env.Ctx, "submit", 1_000_000)
	if err != nil {
		return err
	}
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "bare.db")+"?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)")
	if err != nil {
		return err
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	if _, err := db.Exec(`CREATE TABLE t (id INTEGER PRIMARY KEY, body TEXT)`); err != nil {
		return err
	}
	body := string(slices.Repeat([]byte("x"), 600)) // about what a job's row takes
	bare := func(int) error { _, err := db.Exec(`INSERT INTO t (body) VALUES (?)`, body); return err }
	submit := func(int) error {
		_, err := s.Run(env.Ctx, drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true})
		return err
	}
	var rates []submissionRate
	for _, m := range []struct {
		name    string
		clients int
		f       func(int) error
	}{{"bare commits, one after the other", 1, bare}, {"submissions, 1 client", 1, submit},
		{"submissions, " + strconv.Itoa(c.Clients) + " clients", c.Clients, submit}, {"bare commits again", 1, bare}} {
		r, err := measureRate(m.name, m.clients, c.For, m.f)
		if err != nil {
			return err
		}
		rates = append(rates, r)
	}
	before, _ := n.memory()
	began := time.Now()
	a, err := s.RunBulk(env.Ctx, drmaa.Bulk{Begin: 1, End: c.Bulk, Template: &drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true}})
	if err != nil {
		return err
	}
	took := time.Since(began)
	after, peak := n.memory()
	cpu, began := n.cpuTime(), time.Now()
	if _, err := s.ActOnArray(env.Ctx, a.ID, "release"); err != nil {
		return err
	}
	over, err := s.WaitArray(env.Ctx, a.ID)
	if err != nil {
		return err
	}
	ran, each := time.Since(began), (n.cpuTime()-cpu)/time.Duration(max(a.Jobs, 1))
	if over.States[drmaa.Done] != a.Jobs {
		return fmt.Errorf("of %d jobs %d are done: %v", a.Jobs, over.States[drmaa.Done], over.States)
	}
	out := map[string]any{"rates": rates, "bulkJobs": a.Jobs, "bulkSeconds": took.Seconds(), "memoryKiBBefore": before, "memoryKiBAfter": after, "memoryKiBMost": peak,
		"runSeconds": ran.Seconds(), "cpuMicrosPerJob": each.Microseconds()}
	return env.Show(out, func(w io.Writer) {
		fmt.Fprintln(w, "WHAT\tA SECOND\tP50 ms\tP99 ms")
		for _, r := range rates {
			fmt.Fprintf(w, "%s\t%.0f\t%.2f\t%.2f\n", r.Name, r.PerSecond, r.P50, r.P99)
		}
		bare := (rates[0].PerSecond + rates[3].PerSecond) / 2
		fmt.Fprintf(w, "\nsubmissions to bare commits: 1 client %.2f, %d clients %.2f\n", rates[1].PerSecond/bare, c.Clients, rates[2].PerSecond/bare)
		fmt.Fprintf(w, "bulk of %d: %.0f ms; the node's memory %d MiB before, %d after, %d at most\n", a.Jobs, milliseconds(took), before>>10, after>>10, peak>>10)
		fmt.Fprintf(w, "released and run to the end: %.1f s, %.0f jobs a second, the node's CPU %d us a job\n", ran.Seconds(),
			float64(a.Jobs)/ran.Seconds(), each.Microseconds())
	})
}
