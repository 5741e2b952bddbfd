package conformance

import (
	"slices"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

var waitCases = []testCase{
	{"wait.timeout", "GFD.194 7.3", "a wait that times out fails with TimeoutException and leaves the job as it is", func(t *run) {
		j := t.submitOnHold()
		for _, timeout := range []string{"0", "0.2"} {
			a := t.call("POST", t.path("/jobs/"+j.ID+"/wait"), `{"timeout":`+timeout+`}`)
			t.wantError(a, 504, drmaa.Timeout, "")
			if a.fault.Job == nil || a.fault.Job.State != drmaa.QueuedHeld {
				t.fail("wait of %s s for held job %s: the error does not have the job as %s: %s", timeout, j.ID, drmaa.QueuedHeld, a.body)
			}
		}
	}},
	{"wait.bad", "binding, Waits", "an invalid wait is rejected with the name of the attribute", func(t *run) {
		j := t.submitOnHold()
		for _, c := range [][2]string{{`{"timeout":-1}`, "timeout"}, {`{"timeout":1e9}`, "timeout"}, {`{"for":"rain"}`, "for"}} {
			t.wantError(t.call("POST", t.path("/jobs/"+j.ID+"/wait"), c[0]), 400, drmaa.InvalidArgument, c[1])
		}
		t.wantError(t.call("POST", t.path("/wait"), `{"jobs":[]}`), 400, drmaa.InvalidArgument, "jobs")
		t.wantError(t.call("POST", t.path("/wait"), `{"jobs":["none"]}`), 404, drmaa.InvalidArgument, "")
	}},
	{"wait.started", "GFD.194 7.3", "waitStarted returns once the job has started or ended", func(t *run) {
		j, err := t.session.Wait(t.ctx, t.submit(drmaa.JobTemplate{}).ID, client.Started)
		t.must(err)
		if !j.State.Started() && !j.State.Final() {
			t.fail("job %s after waitStarted is %s, want one that has started or ended", j.ID, j.State)
		}
	}},
	{"wait.any", "GFD.194 7.2", "waitAnyTerminated returns an ended job of the list", func(t *run) {
		a, b := t.submitOnHold(), t.submitOnHold()
		t.must(t.session.Act(t.ctx, b.ID, "terminate"))
		j, err := t.session.WaitAny(t.ctx, client.Terminated, "", a.ID, b.ID)
		t.must(err)
		if j.ID != b.ID {
			t.fail("waitAnyTerminated returned job %s, want %s, the one that has ended", j.ID, b.ID)
		}
	}},
	{"wait.any.session", "GFD.194 7.2", "waitAnyTerminated over the session returns a job that ended before the call and is not reaped", func(t *run) {
		t.submitOnHold()
		b := t.submitOnHold()
		t.must(t.session.Act(t.ctx, b.ID, "terminate"))
		_, err := t.session.Wait(t.ctx, b.ID, client.Terminated)
		t.must(err)
		j, err := t.session.WaitAny(t.ctx, client.Terminated, "")
		t.must(err)
		if j.ID != b.ID {
			t.fail("waitAnyTerminated returned job %s, want %s, the one that has ended", j.ID, b.ID)
		}
	}},
	{"wait.any.array", "GFD.194 7.2", "waitAnyStarted and waitAnyTerminated accept an array", func(t *run) {
		a := t.submitBulk(2, 0)
		t.must(t.session.Act(t.ctx, drmaa.JobID(a.ID, 2), "release"))
		for _, event := range []string{client.Started, client.Terminated} {
			j, err := t.session.WaitAny(t.ctx, event, a.ID)
			t.must(err)
			if j.ID != drmaa.JobID(a.ID, 2) {
				t.fail("wait for %q over array %s returned job %s, want %s, the one that was released", event, a.ID, j.ID, drmaa.JobID(a.ID, 2))
			}
		}
	}},
}

var listCases = []testCase{
	{"list.pages", "binding, Lists", "pages neither repeat nor omit a job while others are submitted", func(t *run) {
		t.submitBulk(11, 0)
		seen := map[string]int{}
		next := ""
		for range 10 {
			path := t.path("/jobs?limit=3&state=QUEUED_HELD")
			if next != "" {
				path += "&next=" + next
			}
			a := t.call("GET", path, "")
			var page drmaa.Page
			t.decode(a, &page)
			for _, j := range page.Jobs {
				seen[j.ID]++
			}
			if next = page.Next; next == "" {
				break
			}
			t.submitOnHold() // newer than the jobs of the remaining pages
		}
		if len(seen) != 11 {
			t.fail("the pages listed %d jobs, want 11", len(seen))
		}
		for id, n := range seen {
			if n > 1 {
				t.fail("the pages listed job %s %d times, want once", id, n)
			}
		}
	}},
	{"list.filter", "GFD.194 7.2", "getJobs matches state, category, name, account and times", func(t *run) {
		t.submit(drmaa.JobTemplate{SubmitAsHold: true, JobName: "x", AccountingID: "acc"})
		before := drmaa.FormatTime(time.Now().Add(-time.Hour).UnixMicro())
		for _, c := range []struct {
			query string
			want  int
		}{{"state=QUEUED_HELD", 1}, {"state=DONE,FAILED", 0}, {"name=x", 1}, {"name=y", 0}, {"accountingId=acc", 1}, {"category=" + t.class, 1},
			{"category=none", 0}, {"submittedFrom=" + before, 1}, {"submittedTo=" + before, 0}, {"finishedFrom=" + before, 0}} {
			var page drmaa.Page
			t.decode(t.call("GET", t.path("/jobs?"+c.query), ""), &page)
			if len(page.Jobs) != c.want {
				t.fail("list with %s returned %d jobs, want %d", c.query, len(page.Jobs), c.want)
			}
		}
	}},
	{"list.bad", "binding, Lists", "an unknown filter or an invalid value is rejected with the name of the filter", func(t *run) {
		for _, c := range [][2]string{{"colour=red", "colour"}, {"state=SLEEPING", "state"}, {"limit=0", "limit"}, {"limit=9999", "limit"},
			{"next=zzz", "next"}, {"submittedFrom=yesterday", "submittedFrom"}, {"name=a&name=b", "name"}} {
			t.wantError(t.call("GET", t.path("/jobs?"+c[0]), ""), 400, drmaa.InvalidArgument, c[1])
		}
	}},
}

var eventCases = []testCase{
	{"events.cursor", "GFD.194 8.7", "a cursor resumes the stream: each state change is returned once, in order", func(t *run) {
		var position drmaa.Events
		t.decode(t.call("GET", t.path("/events"), ""), &position)
		j := t.submitOnHold()
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		var states []drmaa.State
		for range 10 {
			var got drmaa.Events
			t.decode(t.call("GET", t.path("/events?timeout=5&limit=1&cursor="+position.Cursor), ""), &got)
			if got.Missed != 0 {
				t.fail("%d events were missed after the cursor %s, want none", got.Missed, position.Cursor)
			}
			for _, e := range got.Events {
				if e.Job != j.ID || e.Event != drmaa.EventNewState || e.Session != t.session.Name {
					t.fail("got the event %+v, want %s of job %s in session %s", e, drmaa.EventNewState, j.ID, t.session.Name)
				}
				states = append(states, e.State)
			}
			position = got
			if len(states) == 2 {
				break
			}
		}
		if !slices.Equal(states, []drmaa.State{drmaa.QueuedHeld, drmaa.Failed}) {
			t.fail("states after submission on hold and terminate: got %v, want [%s %s]", states, drmaa.QueuedHeld, drmaa.Failed)
		}
	}},
	{"events.stream", "binding, Events", "a stream sends events as they occur, and its cursors resume it", func(t *run) {
		var position drmaa.Events
		t.decode(t.call("GET", t.path("/events"), ""), &position)
		j := t.submitOnHold()
		seen := 0
		for range 2 {
			for got, err := range t.session.Events(t.ctx, position.Cursor) {
				t.must(err)
				seen += len(got.Events)
				position = *got
				break
			}
			if seen == 1 {
				t.must(t.session.Act(t.ctx, j.ID, "terminate"))
			}
		}
		if seen != 2 {
			t.fail("the streams sent %d events, want 2: submission on hold and terminate", seen)
		}
	}},
	{"events.bad", "binding, Events", "an invalid cursor or parameter is rejected with its name", func(t *run) {
		for _, c := range [][2]string{{"cursor=zz", "cursor"}, {"timeout=-1", "timeout"}, {"limit=0", "limit"}, {"stream=maybe", "stream"}, {"x=1", "x"}} {
			t.wantError(t.call("GET", t.path("/events?"+c[0]), ""), 400, drmaa.InvalidArgument, c[1])
		}
	}},
}

var monitoringCases = []testCase{
	{"monitoring.queues", "GFD.194 7.5", "getAllQueues lists the classes with their waiting jobs", func(t *run) {
		t.submitOnHold()
		all, err := t.client.Queues(t.ctx)
		t.must(err)
		i := slices.IndexFunc(all, func(q drmaa.Queue) bool { return q.Name == t.class })
		if i < 0 || all[i].Held < 1 {
			t.fail("queues with a held job of class %s: got %+v, want that class with at least 1 held job", t.class, all)
		}
	}},
	{"monitoring.machines", "GFD.194 7.5", "getAllMachines lists the prep workers", func(t *run) {
		all, err := t.client.Machines(t.ctx)
		t.must(err)
		for _, m := range all {
			if m.Name == "" || m.State == "" {
				t.fail("machine %+v has no name or no state", m)
			}
		}
	}},
	{"monitoring.jobs", "GFD.194 7.5", "getAllJobs lists the jobs of all sessions", func(t *run) {
		j := t.submitOnHold()
		for got, err := range t.client.Jobs(t.ctx, drmaa.Filter{States: []drmaa.State{drmaa.QueuedHeld}}) {
			t.must(err)
			if got.ID == j.ID {
				return
			}
		}
		t.fail("held job %s is not among the jobs of all sessions", j.ID)
	}},
	{"monitoring.reservations", "GFD.194 7.5", "reservations are rejected with UnsupportedOperationException", func(t *run) {
		t.wantError(t.call("GET", "/monitoring/reservations", ""), 422, drmaa.UnsupportedOperation, "")
	}},
}
