package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
	"ospreybend/internal/testkit/loadgen"
)

// measureUpgrade upgrades a node again and again under load and audits every job.
type measureUpgrade struct {
	Upgrades int           `default:"10"`
	Rate     float64       `help:"Of jobs, a second." default:"150"`
	JobRun   time.Duration `help:"Of a job at a prep worker." default:"200ms"`
	Every    time.Duration `help:"From one upgrade to the next." default:"1s"`
}

// upgradeResult is what became of the jobs, and how long the processes took.
type upgradeResult struct {
	Sent         int       `json:"sent"`
	Served       int       `json:"served"`
	Refused      int       `json:"refused"`
	Lost         int       `json:"failedOrBroken"`
	Twice        int       `json:"begunTwice"`
	ReadyTime    []float64 `json:"readyMs"`
	ShutdownTime []float64 `json:"leftMs"` // from SIGTERM
}

// Run measures.
func (c *measureUpgrade) Run(env *cli.Env) error {
	s, err := newRestartSite(4, 16, 1024, fakeplatform.For(c.JobRun))
	if err != nil {
		return err
	}
	defer s.close()
	now, err := s.start(env.Ctx)
	if err != nil {
		return err
	}
	defer func() { _ = now.kill() }()
	result := make(chan *loadgen.Result, 1)
	go func() { result <- loadgen.Run(env.Ctx, s.load("u", c.Rate, time.Duration(c.Upgrades+1)*c.Every)) }()
	out := upgradeResult{}
	for range c.Upgrades {
		select {
		case <-env.Ctx.Done():
			return env.Ctx.Err()
		case <-time.After(c.Every):
		}
		next, err := s.start(env.Ctx)
		if err != nil {
			return err
		}
		began, old := time.Now(), now
		now = next
		if err := old.shutdown(); err != nil {
			return err
		}
		out.ReadyTime = append(out.ReadyTime, float64(next.readyTime.Microseconds())/1000)
		out.ShutdownTime = append(out.ShutdownTime, float64(time.Since(began).Microseconds())/1000)
	}
	r := <-result
	out.Sent, out.Served, out.Refused, out.Lost, out.Twice = r.Sent, r.Served, r.Refused, r.Failed+r.Broken, s.begunTwice()
	if err := env.Show(out, func(w io.Writer) {
		fmt.Fprintln(w, "SENT\tSERVED\tREFUSED\tLOST\tBEGUN TWICE\tREADY MS\tLEFT MS")
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", out.Sent, out.Served, out.Refused, out.Lost, out.Twice, out.ReadyTime, out.ShutdownTime)
	}); err != nil {
		return err
	}
	if out.Served != out.Sent || out.Twice > 0 {
		return errors.New("a job was not served, or begun twice")
	}
	return nil
}
