package main

import (
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
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
)

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
