package main

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	_ "modernc.org/sqlite"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
)

// bareRowBytes is about what the row of a job takes in the store.
const bareRowBytes = 600

// measureSubmit compares submissions with a bare loop of SQLite commits, and measures a bulk.
type measureSubmit struct {
	Clients int           `help:"That submit at once." default:"32"`
	For     time.Duration `default:"5s"`
	Bulk    int           `help:"Jobs of the bulk." default:"10000"`
}

// submissionRate is how often one call was made, and how long it took.
type submissionRate struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"perSecond"`
	P50       float64 `json:"p50ms"`
	P99       float64 `json:"p99ms"`
}

// submitResult is all that the command measures, with members in alphabetical order.
type submitResult struct {
	BulkJobs        int              `json:"bulkJobs"`
	BulkSeconds     float64          `json:"bulkSeconds"`
	CPUMicrosPerJob int64            `json:"cpuMicrosPerJob"`
	MemoryAfter     int              `json:"memoryKiBAfter"`
	MemoryBefore    int              `json:"memoryKiBBefore"`
	MemoryPeak      int              `json:"memoryKiBMost"`
	Rates           []submissionRate `json:"rates"`
	RunSeconds      float64          `json:"runSeconds"`
}

// measureRate calls f from several goroutines for a while.
func measureRate(name string, clients int, duration time.Duration, call func(i int) error) (submissionRate, error) {
	histogram := hdrhistogram.New(1, 60_000_000, 3) // microseconds
	var mutex sync.Mutex                            // of histogram and errs
	var errs error
	var callers sync.WaitGroup
	began := time.Now()
	for caller := range clients {
		callers.Go(func() {
			for i := caller; time.Since(began) < duration; i += clients {
				called := time.Now()
				err := call(i)
				mutex.Lock()
				errs = errors.Join(errs, err)
				_ = histogram.RecordValue(time.Since(called).Microseconds())
				mutex.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	callers.Wait()
	took := time.Since(began).Seconds()
	return submissionRate{
		Name: name, PerSecond: float64(histogram.TotalCount()) / took,
		P50: float64(histogram.ValueAtQuantile(50)) / 1000, P99: float64(histogram.ValueAtQuantile(99)) / 1000,
	}, errs
}

// Run measures the rates and then the bulk.
func (c *measureSubmit) Run(env *cli.Env) error {
	dir, err := os.MkdirTemp("", "ospreybend-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 4, 16, fakeplatform.FixedRunTime(time.Millisecond))
	if err != nil {
		return err
	}
	defer fleet.Stop()
	node, err := newChild(dir, fleet.Discovery.Address(), "sockets = 128\n")
	if err != nil {
		return err
	}
	if err := node.start(env.Ctx); err != nil {
		return err
	}
	defer func() { _ = node.shutdown() }()
	session, err := node.tenant(env.Ctx, "submit", 1_000_000)
	if err != nil {
		return err
	}
	rates, err := c.measureRates(env.Ctx, dir, session)
	if err != nil {
		return err
	}
	result, err := c.measureBulk(env.Ctx, node, session)
	if err != nil {
		return err
	}
	result.Rates = rates
	return env.Show(result, func(w io.Writer) { c.print(w, result) })
}

// measureRates measures bare commits before and after the submissions, so that a drift of the disk shows.
func (c *measureSubmit) measureRates(ctx context.Context, dir string, session *client.Session) ([]submissionRate, error) {
	db, err := openBareStore(dir)
	if err != nil {
		return nil, err
	}
	defer db.Close()
	body := strings.Repeat("x", bareRowBytes)
	commit := func(int) error { _, err := db.Exec(`INSERT INTO t (body) VALUES (?)`, body); return err }
	submit := func(int) error {
		_, err := session.Run(ctx, drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true})
		return err
	}
	var rates []submissionRate
	for _, call := range []struct {
		name    string
		clients int
		f       func(int) error
	}{
		{"bare commits, one after the other", 1, commit},
		{"submissions, 1 client", 1, submit},
		{"submissions, " + strconv.Itoa(c.Clients) + " clients", c.Clients, submit},
		{"bare commits again", 1, commit},
	} {
		rate, err := measureRate(call.name, call.clients, c.For, call.f)
		if err != nil {
			return nil, err
		}
		rates = append(rates, rate)
	}
	return rates, nil
}

// openBareStore opens an SQLite file with one table that syncs each commit, as the store of record does.
func openBareStore(dir string) (*sql.DB, error) {
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "bare.db")+"?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)")
	if err != nil {
		return nil, err
	}
	db.SetMaxOpenConns(1)
	if _, err := db.Exec(`CREATE TABLE t (id INTEGER PRIMARY KEY, body TEXT)`); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

// measureBulk submits a bulk of pending jobs, releases them and waits until all have run.
func (c *measureSubmit) measureBulk(ctx context.Context, node *child, session *client.Session) (result submitResult, err error) {
	result.MemoryBefore, _ = node.memory()
	began := time.Now()
	array, err := session.RunBulk(ctx, drmaa.Bulk{Begin: 1, End: c.Bulk, Template: &drmaa.JobTemplate{RemoteCommand: "vorschau", SubmitAsHold: true}})
	if err != nil {
		return result, err
	}
	result.BulkJobs, result.BulkSeconds = array.Jobs, time.Since(began).Seconds()
	result.MemoryAfter, result.MemoryPeak = node.memory()
	cpu, began := node.cpuTime(), time.Now()
	if _, err := session.ActOnArray(ctx, array.ID, "release"); err != nil {
		return result, err
	}
	ended, err := session.WaitArray(ctx, array.ID)
	if err != nil {
		return result, err
	}
	result.RunSeconds = time.Since(began).Seconds()
	result.CPUMicrosPerJob = ((node.cpuTime() - cpu) / time.Duration(max(array.Jobs, 1))).Microseconds()
	if done := ended.States[drmaa.Done]; done != array.Jobs {
		return result, fmt.Errorf("of %d jobs %d are done: %v", array.Jobs, done, ended.States)
	}
	return result, nil
}

func (c *measureSubmit) print(w io.Writer, result submitResult) {
	fmt.Fprintln(w, "WHAT\tA SECOND\tP50 ms\tP99 ms")
	for _, rate := range result.Rates {
		fmt.Fprintf(w, "%s\t%.0f\t%.2f\t%.2f\n", rate.Name, rate.PerSecond, rate.P50, rate.P99)
	}
	bare := (result.Rates[0].PerSecond + result.Rates[3].PerSecond) / 2
	fmt.Fprintf(w, "\nsubmissions to bare commits: 1 client %.2f, %d clients %.2f\n", result.Rates[1].PerSecond/bare, c.Clients, result.Rates[2].PerSecond/bare)
	fmt.Fprintf(w, "bulk of %d: %.0f ms; the node's memory %d MiB before, %d after, %d at most\n", result.BulkJobs, result.BulkSeconds*1000,
		result.MemoryBefore>>10, result.MemoryAfter>>10, result.MemoryPeak>>10)
	fmt.Fprintf(w, "released and run to the end: %.1f s, %.0f jobs a second, the node's CPU %d us a job\n", result.RunSeconds,
		float64(result.BulkJobs)/result.RunSeconds, result.CPUMicrosPerJob)
}
