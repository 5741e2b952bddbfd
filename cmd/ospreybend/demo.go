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
)

// demoCmd shows the program at work.
type demoCmd struct {
	Log bool `help:"Show the node's log too."`
}

// Run runs the demonstration.
func (c *demoCmd) Run(env *cli.Env) (err error) {
	say := func(format string, a ...any) { fmt.Fprintf(env.Out, format+"\n", a...) }
	if !c.Log {
		old := slog.Default()
		slog.SetDefault(slog.New(slog.DiscardHandler))
		defer slog.SetDefault(old)
	}
	ctx, cancel := context.WithTimeout(env.Ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "ospreybend-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet, err := fakeplatform.NewFleet(demoZone, demoKind, 3, 2, func(j fakeplatform.Job) fakeplatform.Act {
		if strings.HasSuffix(j.Path, "/fails") {
			return fakeplatform.Act{Kind: fakeplatform.Fail, Run: 100 * time.Millisecond}
		}
		return fakeplatform.Act{Run: 200 * time.Millisecond}
	})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	r, err := newLocalNode(dir, fleet, nil)
	if err != nil {
		return err
	}
	defer func() { r.shutdown(); say("\nThe node has left; all that it took is answered.") }()
	if err := r.ready(ctx); err != nil {
		return err
	}
	say("Three stand-in prep workers of two slots each, discovery, and a node:")
	say("  platform front   http://%s", r.node.cfg.Listen)
	say("  batch front      http://%s/drmaa/v2   (store: SQLite in a temporary folder)", r.batch.Listen)
	say("  administration   http://%s/admin/v1\n", r.batch.AdminListen)
	if err := demoPlatform(ctx, r, say); err != nil {
		return err
	}
	return demoBatch(ctx, r, env, say)
}

// demoPlatform sends a few requests as the platform's clients do.
func demoPlatform(ctx context.Context, r *localNode, say func(string, ...any)) error {
	say("Through the platform front, three requests:")
	for i, class := range []string{"modell-pruefen", "vorschau", "auftrag-buchen"} {
		in, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.node.cfg.Listen+"/"+class+"/"+strconv.Itoa(i+1), strings.NewReader("model"))
		if err != nil {
			return err
		}
		in.Header.Set("Req-Id", "demo-"+strconv.Itoa(i+1))
		in.Header.Set("Req-Deadline", "5")
		started := time.Now()
		out, err := http.DefaultClient.Do(in)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(out.Body)
		out.Body.Close()
		if err != nil {
			return err
		}
		say("  %-16s %d in %3d ms: %s", class, out.StatusCode, time.Since(started).Milliseconds(), strings.TrimSpace(string(text)))
	}
	return nil
}

// demoBatch hands in jobs as a batch client does, and tells of each.
func demoBatch(ctx context.Context, r *localNode, env *cli.Env, say func(string, ...any)) error {
	_, s, err := r.tenant(ctx, "workshop", 100)
	if err != nil {
		return err
	}
	say("\nThrough the batch front, as tenant 'workshop': a booking, one that fails, a held")
	say("one, one to terminate, and an array of eight with two at once:")
	run := func(t drmaa.JobTemplate) *drmaa.Job {
		if err != nil {
			return &drmaa.Job{}
		}
		var j *drmaa.Job
		j, err = s.Run(ctx, t)
		return j
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	listening := make(chan struct{})
	names := map[string]string{}
	booking := run(drmaa.JobTemplate{RemoteCommand: "auftrag-buchen", JobName: "booking", SubmitAsHold: true})
	failing := run(drmaa.JobTemplate{RemoteCommand: "modell-pruefen", JobName: "failing", Args: []string{"fails"}, SubmitAsHold: true})
	onHold := run(drmaa.JobTemplate{RemoteCommand: "vorschau", JobName: "held", SubmitAsHold: true})
	toTerminate := run(drmaa.JobTemplate{RemoteCommand: "vorschau", JobName: "doomed", SubmitAsHold: true})
	if err != nil {
		return err
	}
	array, err := s.RunBulk(ctx, drmaa.Bulk{Begin: 1, End: 8, MaxParallel: 2,
		Template: &drmaa.JobTemplate{RemoteCommand: "vorschau", JobName: "array", Args: []string{"part-" + drmaa.IndexPlaceholder}, SubmitAsHold: true}})
	if err != nil {
		return err
	}
	for _, j := range []*drmaa.Job{booking, failing, onHold, toTerminate} {
		names[j.ID] = j.Name
	}
	arrayID := array.ID
	go func() {
		defer close(ended)
		first := true
		for got, err := range s.Events(watch, "oldest") {
			if err != nil {
				return
			}
			if first {
				close(listening)
				first = false
			}
			for _, v := range got.Events {
				name := names[v.Job]
				if id, index := drmaa.SplitJobID(v.Job); id == arrayID {
					name = "array " + strconv.Itoa(index)
				}
				if v.State != drmaa.QueuedHeld && v.Event == drmaa.NewState {
					say("  %s  %-9s %-9s %s", v.Time[11:23], name, v.State, v.SubState)
				}
			}
		}
	}()
	select {
	case <-listening:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, step := range []error{s.Act(ctx, booking.ID, "release"), s.Act(ctx, failing.ID, "release"), s.Act(ctx, toTerminate.ID, "terminate"),
		func() error { _, err := s.ActOnArray(ctx, array.ID, "release"); return err }()} {
		if step != nil {
			return step
		}
	}
	if array, err = s.WaitArray(ctx, array.ID); err != nil {
		return err
	}
	if err := s.Act(ctx, onHold.ID, "release"); err != nil {
		return err
	}
	for _, j := range []*drmaa.Job{booking, failing, onHold, toTerminate} {
		if _, err := s.Wait(ctx, j.ID, client.Terminated); err != nil {
			return err
		}
	}
	time.Sleep(100 * time.Millisecond) // the last events
	stop()
	<-ended
	say("\nWhat became of each, as the store of record has it:")
	type row struct {
		Name    string `json:"name"`
		ID      string `json:"jobId"`
		State   string `json:"state"`
		Told    string `json:"told"`
		Machine string `json:"machine"`
	}
	var rows []row
	for j, err := range s.Jobs(ctx, drmaa.Filter{}) {
		if err != nil {
			return err
		}
		v := row{Name: j.Name, ID: j.ID, State: string(j.State), Told: j.SubState}
		if j.Result != nil {
			v.Told = strings.TrimSpace(*j.Result)
		}
		if len(j.Steps) > 0 {
			v.Machine = j.Steps[len(j.Steps)-1].Machine
		}
		rows = append(rows, v)
	}
	if err := env.Show(rows, func(w io.Writer) {
		for _, v := range rows {
			fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\n", v.Name, v.ID, v.State, v.Machine, v.Told)
		}
	}); err != nil {
		return err
	}
	if len(rows) != 12 || array.States[drmaa.Done] != 8 {
		return fmt.Errorf("%d jobs on record, %d of the array done", len(rows), array.States[drmaa.Done])
	}
	return nil
}
