package store

import (
	"database/sql"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// unusedCore is a jobs.Core and a clock for a manager that dispatches no jobs.
type unusedCore struct{}

func (unusedCore) Accept(routing.Operation) slottable.Handle                 { return 0 }
func (unusedCore) Route(slottable.Handle)                                    {}
func (unusedCore) Withdraw(slottable.Handle)                                 {}
func (unusedCore) MayHaveRun(slottable.Handle) bool                          { return false }
func (unusedCore) AnyReady() bool                                            { return false }
func (unusedCore) EachWorker(func(balance.WorkerID, balance.State, float64)) {}
func (unusedCore) Now() time.Duration {
	return time.Duration(time.Now().UnixMicro()) * time.Microsecond
}

// BenchmarkSubmit submits jobs from many concurrent clients to a manager with a SQLite store, without
// HTTP, and reports the rate relative to that of bare commits in the same run.
func BenchmarkSubmit(b *testing.B) {
	dir := b.TempDir()
	s, err := Open(b.Context(), "sqlite", filepath.Join(dir, "x.db"))
	if err != nil {
		b.Fatal(err)
	}
	results := make(chan func(), 4096)
	executor := NewExecutor(s, func(f func()) { results <- f })
	m := jobs.New(jobs.Config{Classes: map[string]int{"c": 0}, Settings: balance.Settings{Classes: []balance.Class{{Timeout: time.Second}}},
		MaxSlots: 1, DelayTarget: jobs.DefaultDelayTarget, MaxWait: time.Hour, MaxEvents: 1024, MaxEndedJobs: 10}, unusedCore{}, executor, unusedCore{}, &timerqueue.Queue{})
	m.Load([]jobs.Tenant{{Name: "anna", TokenHash: "h", Quota: 1 << 30}}, []jobs.SessionRecord{{Tenant: "anna", Name: "s", State: jobs.SessionOpen}}, nil, nil)
	t := &drmaa.JobTemplate{RemoteCommand: "c", SubmitAsHold: true, Input: strings.Repeat("x", 300)}
	const clients = 64
	asked, done := 0, 0
	began := time.Now()
	submit := func() {
		asked++
		m.Submit(m.Tenant("anna"), "s", t, func(_ *jobs.Job, e *drmaa.Error) {
			if e != nil {
				b.Fatal(e)
			}
			done++
		})
	}
	for b.Loop() {
		for asked-done >= clients {
			(<-results)()
		}
		submit()
	}
	for done < asked {
		(<-results)()
	}
	rate := float64(done) / time.Since(began).Seconds()
	executor.Shutdown()
	if err := executor.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(rate, "jobs/s")
	b.ReportMetric(rate/bareCommitRate(b, dir), "jobs/bare-commit")
}

// bareCommitRate returns how many single-row inserts SQLite commits per second on this machine.
func bareCommitRate(b *testing.B, dir string) float64 {
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "bare.db")+"?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)")
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	if _, err := db.Exec(`CREATE TABLE t (id INTEGER PRIMARY KEY, body TEXT)`); err != nil {
		b.Fatal(err)
	}
	body := strings.Repeat("x", 600)
	n, began := 0, time.Now()
	for ; time.Since(began) < time.Second; n++ {
		if _, err := db.Exec(`INSERT INTO t (body) VALUES (?)`, body); err != nil {
			b.Fatal(err)
		}
	}
	return float64(n) / time.Since(began).Seconds()
}
