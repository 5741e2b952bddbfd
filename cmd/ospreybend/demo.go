package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
	"ospreybend/internal/node/batch/cli"
	"ospreybend/internal/testkit/fakeplatform"
)

const (
	demoZone, demoKind = "demo", "demo"
	demoAdminToken     = "demo-admin"
	demoReadyTimeout   = 10 * time.Second
	demoTimeout        = time.Minute

	lastEventsTime = 100 * time.Millisecond // for the last events of a session to arrive
	demoArrayJobs  = 8
	demoJobs       = 4 + demoArrayJobs
)

// printLine prints one line of the demonstration.
type printLine func(format string, args ...any)

// demoCmd demonstrates a node, its platform server and its batch API on loopback.
type demoCmd struct {
	Log bool `help:"Show the node's log too."`
}

// Run starts a node among fake workers and sends it requests and batch jobs.
func (c *demoCmd) Run(env *cli.Env) (err error) {
	say := func(format string, args ...any) { fmt.Fprintf(env.Out, format+"\n", args...) }
	if !c.Log {
		logger := slog.Default()
		slog.SetDefault(slog.New(slog.DiscardHandler))
		defer slog.SetDefault(logger)
	}
	ctx, cancel := context.WithTimeout(env.Ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "ospreybend-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 3, 2, demoScript)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	node, err := newLocalNode(dir, fleet)
	if err != nil {
		return err
	}
	defer func() { node.shutdown(); say("\nThe node has left; all that it took is answered.") }()
	if err := node.ready(ctx); err != nil {
		return err
	}
	say("Three stand-in prep workers of two slots each, discovery, and a node:")
	say("  platform front   http://%s", node.node.cfg.Listen)
	say("  batch front      http://%s/drmaa/v2   (store: SQLite in a temporary folder)", node.batch.Listen)
	say("  administration   http://%s/admin/v1\n", node.batch.AdminListen)
	if err := demoPlatform(ctx, node, say); err != nil {
		return err
	}
	return demoBatch(ctx, node, env, say)
}

// demoScript has the workers take a while for each job, and fail those whose path says so.
func demoScript(job fakeplatform.Job) fakeplatform.Act {
	if strings.HasSuffix(job.Path, "/fails") {
		return fakeplatform.Act{Kind: fakeplatform.Fail, Run: 100 * time.Millisecond}
	}
	return fakeplatform.Act{Run: 200 * time.Millisecond}
}

// demoPlatform sends a few requests as the platform's clients do.
func demoPlatform(ctx context.Context, node *localNode, say printLine) error {
	say("Through the platform front, three requests:")
	for i, class := range []string{"modell-pruefen", "vorschau", "auftrag-buchen"} {
		number := strconv.Itoa(i + 1)
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+node.node.cfg.Listen+"/"+class+"/"+number, strings.NewReader("model"))
		if err != nil {
			return err
		}
		request.Header.Set("Req-Id", "demo-"+number)
		request.Header.Set("Req-Deadline", "5")
		started := time.Now()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return err
		}
		say("  %-16s %d in %3d ms: %s", class, response.StatusCode, time.Since(started).Milliseconds(), strings.TrimSpace(string(text)))
	}
	return nil
}

// batchDemo is the batch part of the demonstration: one tenant's session and its jobs, all submitted on hold.
type batchDemo struct {
	session *client.Session
	say     printLine

	booking, failing, onHold, toTerminate *drmaa.Job
	array                                 *drmaa.Array
}

// demoBatch submits jobs as a batch client does, and prints what becomes of each.
func demoBatch(ctx context.Context, node *localNode, env *cli.Env, say printLine) error {
	session, err := node.tenant(ctx, "workshop", 100)
	if err != nil {
		return err
	}
	say("\nThrough the batch front, as tenant 'workshop': a booking, one that fails, a held")
	say("one, one to terminate, and an array of eight with two at once:")
	demo := &batchDemo{session: session, say: say}
	if err := demo.submit(ctx); err != nil {
		return err
	}
	stop, err := demo.printEvents(ctx)
	if err != nil {
		return err
	}
	defer stop()
	if err := demo.runJobs(ctx); err != nil {
		return err
	}
	time.Sleep(lastEventsTime)
	stop()
	say("\nWhat became of each, as the store of record has it:")
	return demo.printJobs(ctx, env)
}

// submit submits all jobs on hold.
func (d *batchDemo) submit(ctx context.Context) error {
	for _, job := range []struct {
		made     **drmaa.Job
		template drmaa.JobTemplate
	}{
		{&d.booking, drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", JobName: "booking", SubmitAsHold: true}},
		{&d.failing, drmaa.JobTemplate{RemoteCommand: "modell-pruefen", JobName: "failing", Args: []string{"fails"}, SubmitAsHold: true}},
		{&d.onHold, drmaa.JobTemplate{RemoteCommand: "vorschau", JobName: "held", SubmitAsHold: true}},
		{&d.toTerminate, drmaa.JobTemplate{RemoteCommand: "vorschau", JobName: "doomed", SubmitAsHold: true}},
	} {
		made, err := d.session.Run(ctx, job.template)
		if err != nil {
			return err
		}
		*job.made = made
	}
	var err error
	d.array, err = d.session.RunBulk(ctx, drmaa.Bulk{Begin: 1, End: demoArrayJobs, MaxParallel: 2, Template: &drmaa.JobTemplate{
		RemoteCommand: "vorschau", JobName: "array", Args: []string{"part-" + drmaa.IndexPlaceholder}, SubmitAsHold: true,
	}})
	return err
}

// singleJobs returns the jobs that are not part of the array.
func (d *batchDemo) singleJobs() []*drmaa.Job {
	return []*drmaa.Job{d.booking, d.failing, d.onHold, d.toTerminate}
}

// printEvents prints the session's events from a goroutine, and returns once it receives them. stop ends the goroutine;
// it may be called again.
func (d *batchDemo) printEvents(ctx context.Context) (stop func(), err error) {
	watch, cancel := context.WithCancel(ctx)
	ended, listening := make(chan struct{}), make(chan struct{})
	names := map[string]string{}
	for _, job := range d.singleJobs() {
		names[job.ID] = job.Name
	}
	arrayID := d.array.ID
	go func() {
		defer close(ended)
		first := true
		for batch, err := range d.session.Events(watch, "oldest") {
			if err != nil {
				return
			}
			if first {
				close(listening)
				first = false
			}
			for _, event := range batch.Events {
				name := names[event.Job]
				if id, index := drmaa.SplitJobID(event.Job); id == arrayID {
					name = "array " + strconv.Itoa(index)
				}
				if event.State != drmaa.QueuedHeld && event.Event == drmaa.EventNewState {
					d.say("  %s  %-9s %-9s %s", event.Time[11:23], name, event.State, event.SubState)
				}
			}
		}
	}()
	stop = func() { cancel(); <-ended }
	select {
	case <-listening:
		return stop, nil
	case <-ctx.Done():
		stop()
		return nil, ctx.Err()
	}
}

// runJobs releases or terminates each job and waits until all have ended. The one on hold is released last.
func (d *batchDemo) runJobs(ctx context.Context) error {
	for _, step := range []func() error{
		func() error { return d.session.Act(ctx, d.booking.ID, "release") },
		func() error { return d.session.Act(ctx, d.failing.ID, "release") },
		func() error { return d.session.Act(ctx, d.toTerminate.ID, "terminate") },
		func() error { _, err := d.session.ActOnArray(ctx, d.array.ID, "release"); return err },
		func() (err error) { d.array, err = d.session.WaitArray(ctx, d.array.ID); return err },
		func() error { return d.session.Act(ctx, d.onHold.ID, "release") },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	for _, job := range d.singleJobs() {
		if _, err := d.session.Wait(ctx, job.ID, client.Terminated); err != nil {
			return err
		}
	}
	return nil
}

// jobRow is one job as the store of record has it.
type jobRow struct {
	Name    string `json:"name"`
	ID      string `json:"jobId"`
	State   string `json:"state"`
	Outcome string `json:"told"` // the result, or the sub-state where there is none
	Machine string `json:"machine"`
}

// printJobs prints all jobs of the session and fails if they are not those that were submitted.
func (d *batchDemo) printJobs(ctx context.Context, env *cli.Env) error {
	var rows []jobRow
	for job, err := range d.session.Jobs(ctx, drmaa.Filter{}) {
		if err != nil {
			return err
		}
		row := jobRow{Name: job.Name, ID: job.ID, State: string(job.State), Outcome: job.SubState}
		if job.Result != nil {
			row.Outcome = strings.TrimSpace(*job.Result)
		}
		if len(job.Steps) > 0 {
			row.Machine = job.Steps[len(job.Steps)-1].Machine
		}
		rows = append(rows, row)
	}
	if err := env.Show(rows, func(w io.Writer) {
		for _, row := range rows {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\n", row.Name, row.ID, row.State, row.Machine, row.Outcome)
		}
	}); err != nil {
		return err
	}
	if done := d.array.States[drmaa.Done]; len(rows) != demoJobs || done != demoArrayJobs {
		return fmt.Errorf("%d jobs on record, %d of the array done", len(rows), done)
	}
	return nil
}
