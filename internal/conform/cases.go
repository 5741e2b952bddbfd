package conform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// Cases returns how many cases there are.
func Cases() int { return len(cases()) }

func cases() []kase {
	all := slices.Concat(managerCases, sessionCases, templateCases, jobCases, arrayCases, waitCases, listCases, eventCases, monitoringCases)
	for _, name := range slices.Sorted(maps.Keys(drmaa.Refused)) {
		value := `"x"`
		if name == "jobEnvironment" {
			value = `{"A":"b"}`
		}
		all = append(all, kase{"template.refused." + name, "GFD.194 8.4", "what cannot be honoured is refused by its name: " + name, func(t *trial) {
			t.refused(t.call("POST", t.path("/jobs"), t.template(name, value)), 422, drmaa.UnsupportedAttribute, name)
		}})
	}
	return all
}

var managerCases = []kase{
	{"manager.attributes", "GFD.194 7.1", "the session manager tells its names and versions", func(t *trial) {
		m, err := t.client.Manager(t.ctx)
		t.must(err)
		if m.DrmsName == "" || m.DrmsVersion == "" || m.DrmaaName == "" || m.DrmaaVersion == "" || m.MostBulk < 1 {
			t.fail("%+v", m)
		}
	}},
	{"manager.supports", "GFD.194 7.1", "supports answers for each capability, and truly for what the binding refuses", func(t *trial) {
		m, err := t.client.Manager(t.ctx)
		t.must(err)
		for name := range drmaa.Supports() {
			if _, ok := m.Supports[name]; !ok {
				t.fail("nothing is said of %s", name)
			}
		}
		if m.Supports["JT_EMAIL"] != (m.Refused["email"] == "") || m.Supports["JT_STAGING"] != (m.Refused["stageInFiles"] == "") {
			t.fail("supports and the refused attributes disagree")
		}
	}},
	{"auth.none", "binding, Errors", "a call without a token is denied", func(t *trial) {
		t.refused(t.callAs("", "GET", "/sessions", ""), 401, drmaa.Denied, "")
	}},
	{"auth.wrong", "binding, Errors", "a call with an unknown token is denied", func(t *trial) {
		t.refused(t.callAs("no-such-token", "GET", "/sessions", ""), 401, drmaa.Denied, "")
	}},
	{"http.path", "binding, Errors", "an unknown path is UnsupportedOperationException", func(t *trial) {
		t.refused(t.call("GET", "/nowhere", ""), 404, drmaa.UnsupportedOperation, "")
		t.refused(t.call("PATCH", t.path(""), ""), 404, drmaa.UnsupportedOperation, "")
	}},
	{"http.large", "binding, Errors", "a body over the limit is refused with an error of the binding's", func(t *trial) {
		a := t.call("POST", t.path("/jobs"), t.template("input", `"`+strings.Repeat("x", 70_000)+`"`))
		t.refused(a, 413, drmaa.InvalidArgument, "")
	}},
	{"http.body", "binding, Errors", "what is no JSON object is InvalidArgumentException", func(t *trial) {
		for _, body := range []string{"{", "[]", `{} {}`, "\x00", `"x"`} {
			t.refused(t.call("POST", t.path("/jobs"), body), 400, drmaa.InvalidArgument, "")
		}
	}},
}

var sessionCases = []kase{
	{"session.create", "GFD.194 7.1", "createJobSession of a name that is there is an error", func(t *trial) {
		_, err := t.client.CreateSession(t.ctx, t.session.Name)
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
	{"session.open.unknown", "GFD.194 7.1", "openJobSession of a name that is not there is an error", func(t *trial) {
		_, err := t.client.OpenSession(t.ctx, t.session.Name+"-not")
		t.ruledOut(err, drmaa.InvalidSession)
	}},
	{"session.close", "GFD.194 7.1", "a closed session takes no calls, and its jobs are there once it is open again", func(t *trial) {
		j := t.held()
		t.must(t.session.Close(t.ctx))
		_, err := t.session.Job(t.ctx, j.ID)
		t.ruledOut(err, drmaa.InvalidSession)
		_, err = t.client.OpenSession(t.ctx, t.session.Name)
		t.must(err)
		t.state(j.ID, drmaa.QueuedHeld)
	}},
	{"session.names", "GFD.194 7.1", "getJobSessionNames lists sessions open and closed", func(t *trial) {
		t.must(t.session.Close(t.ctx))
		all, err := t.client.Sessions(t.ctx)
		t.must(err)
		at := slices.IndexFunc(all, func(s drmaa.Session) bool { return s.Name == t.session.Name })
		if at < 0 || all[at].State != "closed" {
			t.fail("not among %v as closed", all)
		}
	}},
	{"session.destroy", "GFD.194 7.1", "destroyJobSession ends all that is in it, and its name is free", func(t *trial) {
		j := t.held()
		t.bulk(5, 0)
		t.must(t.session.Destroy(t.ctx))
		_, err := t.session.Job(t.ctx, j.ID)
		t.ruledOut(err, drmaa.InvalidSession)
		_, err = t.client.CreateSession(t.ctx, t.session.Name)
		t.must(err)
		_, err = t.session.Job(t.ctx, j.ID)
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
	{"session.bad-name", "binding, Sessions", "a name of other characters is refused by attribute", func(t *trial) {
		for _, name := range []string{"", "a/b", "..", strings.Repeat("x", 65)} {
			t.refused(t.call("POST", "/sessions", fmt.Sprintf(`{"name":%q}`, name)), 400, drmaa.InvalidArgument, "name")
		}
		t.refused(t.call("POST", "/sessions", `{"name":"a","mode":"x"}`), 400, drmaa.InvalidArgument, "mode")
		t.refused(t.call("POST", t.path("/control"), `{"action":"x"}`), 400, drmaa.InvalidArgument, "action")
	}},
}

var templateCases = []kase{
	{"template.unknown", "GFD.194 8.4", "an attribute that the standard does not have is refused by its name", func(t *trial) {
		t.refused(t.call("POST", t.path("/jobs"), t.template("noSuchThing", "1")), 422, drmaa.UnsupportedAttribute, "noSuchThing")
	}},
	{"template.class", "binding, Job template", "remoteCommand names a class", func(t *trial) {
		t.refused(t.call("POST", t.path("/jobs"), `{"remoteCommand":"rm -rf"}`), 400, drmaa.InvalidArgument, "remoteCommand")
		t.refused(t.call("POST", t.path("/jobs"), `{}`), 400, drmaa.InvalidArgument, "remoteCommand")
	}},
	{"template.bounds", "binding, Job template", "a value out of its bounds is refused by the attribute's name", func(t *trial) {
		for _, c := range [][2]string{{"minSlots", "-1"}, {"minSlots", "1e9"}, {"maxSlots", "-1"}, {"maxSlots", "0.5"}, {"priority", "5000"},
			{"priority", `"high"`}, {"deadline", "-1"}, {"deadlineTime", `"soon"`}, {"deadlineTime", `"2001-01-01T00:00:00Z"`},
			{"startTime", `"9999-01-01T00:00:00Z"`}, {"startTime", "5"}, {"x_costHint", "-1"}, {"args", `[".."]`}, {"args", `[""]`},
			{"jobName", `"\u0007"`}, {"jobCategory", `"no such class"`}, {"input", `"` + strings.Repeat("x", drmaa.MostInput+1) + `"`}} {
			t.refused(t.call("POST", t.path("/jobs"), t.template(c[0], c[1])), 400, drmaa.InvalidArgument, c[0])
		}
	}},
	{"template.honoured", "GFD.194 8.4", "attributes that are honoured come back with the job", func(t *trial) {
		no := false
		in := drmaa.JobTemplate{RemoteCommand: t.class, Args: []string{"a b", "c"}, JobName: "name", JobCategory: t.class, SubmitAsHold: true,
			Rerunnable: &no, MinSlots: 2, MaxSlots: 4, Priority: 7, AccountingID: "acc", QueueName: t.class, CostHint: 1.5,
			StartTime: drmaa.Stamp(time.Now().Add(time.Hour).UnixMicro()), DeadlineTime: drmaa.Stamp(time.Now().Add(2 * time.Hour).UnixMicro())}
		j := t.run(in)
		got := t.state(j.ID, drmaa.QueuedHeld)
		v := got.Template
		if v.JobName != "name" || v.Priority != 7 || v.AccountingID != "acc" || len(v.Args) != 2 || v.StartTime != in.StartTime ||
			v.DeadlineTime != in.DeadlineTime || got.Slots != 2 || got.Queue != t.class || got.Name != "name" || got.Submitted == "" {
			t.fail("%+v with %+v", got, v)
		}
	}},
	{"template.rerunnable", "binding, Job template", "rerunnable is refused for a class whose jobs never run twice", func(t *trial) {
		if t.once == "" {
			return
		}
		t.refused(t.call("POST", t.path("/jobs"), fmt.Sprintf(`{"remoteCommand":%q,"rerunnable":true}`, t.once)), 422, drmaa.UnsupportedAttribute, "rerunnable")
	}},
	{"template.key", "binding, Client keys", "the same template under one client key is one job; another is an error", func(t *trial) {
		in := drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true, ClientKey: "conform " + t.session.Name}
		a, b := t.run(in), t.run(in)
		if a.ID != b.ID {
			t.fail("two jobs: %s, %s", a.ID, b.ID)
		}
		in.JobName = "other"
		_, err := t.session.Run(t.ctx, in)
		t.ruledOut(err, drmaa.InvalidArgument)
		in.JobName = ""
		_, err = t.session.RunBulk(t.ctx, drmaa.Bulk{Template: &in, Begin: 1, End: 2})
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
}

var jobCases = []kase{
	{"job.hold-release", "GFD.194 7.3", "submitAsHold waits in QUEUED_HELD; release lets it go on to its end", func(t *trial) {
		j := t.held()
		t.state(j.ID, drmaa.QueuedHeld)
		t.must(t.session.Act(t.ctx, j.ID, "release"))
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if !done.State.Final() || done.Finished == "" || done.Dispatched == "" || len(done.Steps) == 0 {
			t.fail("%+v", done)
		}
	}},
	{"job.info", "GFD.194 8.5", "an ended job tells where it went, when, and how it ended", func(t *trial) {
		j := t.run(drmaa.JobTemplate{})
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Done {
			t.fail("%s: %s", done.State, done.SubState)
		}
		if done.ExitStatus == nil || *done.ExitStatus != 0 || done.Result == nil || !done.MayHaveRun || len(done.Machines) != 1 ||
			!(done.Submitted <= done.Dispatched && done.Dispatched <= done.Finished) || done.Steps[len(done.Steps)-1].Outcome != "served" {
			t.fail("%+v", done)
		}
		if again := t.state(j.ID, drmaa.Done); *again.Result != *done.Result {
			t.fail("the result has changed")
		}
	}},
	{"job.hold.state", "GFD.194 7.3", "hold of a held job and release of one that is not are InvalidStateException", func(t *trial) {
		j := t.held()
		t.ruledOut(t.session.Act(t.ctx, j.ID, "hold"), drmaa.InvalidState)
		later := t.run(drmaa.JobTemplate{StartTime: drmaa.Stamp(time.Now().Add(time.Hour).UnixMicro())})
		t.ruledOut(t.session.Act(t.ctx, later.ID, "release"), drmaa.InvalidState)
		t.must(t.session.Act(t.ctx, later.ID, "hold"))
		t.state(later.ID, drmaa.QueuedHeld)
		t.must(t.session.Act(t.ctx, later.ID, "release"))
		t.state(later.ID, drmaa.Queued)
	}},
	{"job.terminate", "GFD.194 7.3", "terminate ends a job as FAILED, once; one that never went out has not run", func(t *trial) {
		j := t.held()
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Failed || done.MayHaveRun || done.SubState == "" {
			t.fail("%+v", done)
		}
		for _, action := range []string{"terminate", "hold", "release"} {
			t.ruledOut(t.session.Act(t.ctx, j.ID, action), drmaa.InvalidState)
		}
	}},
	{"job.suspend", "GFD.194 7.3", "suspend and resume are UnsupportedOperationException", func(t *trial) {
		j := t.held()
		for _, action := range []string{"suspend", "resume"} {
			t.ruledOut(t.session.Act(t.ctx, j.ID, action), drmaa.UnsupportedOperation)
		}
		t.refused(t.call("POST", t.path("/jobs/"+j.ID+"/control"), `{"action":"fly"}`), 400, drmaa.InvalidArgument, "action")
		t.refused(t.call("POST", t.path("/jobs/"+j.ID+"/control"), `{}`), 400, drmaa.InvalidArgument, "action")
	}},
	{"job.reap", "GFD.194 7.3", "reap forgets an ended job, and no other", func(t *trial) {
		j := t.held()
		t.ruledOut(t.session.Act(t.ctx, j.ID, "reap"), drmaa.InvalidState)
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		_, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		t.must(t.session.Act(t.ctx, j.ID, "reap"))
		_, err = t.session.Job(t.ctx, j.ID)
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
	{"job.unknown", "binding, Errors", "an unknown job is InvalidArgumentException", func(t *trial) {
		t.refused(t.call("GET", t.path("/jobs/none"), ""), 404, drmaa.InvalidArgument, "")
		t.refused(t.call("POST", t.path("/jobs/none/wait"), `{}`), 404, drmaa.InvalidArgument, "")
		t.refused(t.call("POST", t.path("/jobs/none/control"), `{"action":"hold"}`), 404, drmaa.InvalidArgument, "")
	}},
	{"job.start-time", "GFD.194 8.4", "a job is not begun before its startTime", func(t *trial) {
		at := time.Now().Add(700 * time.Millisecond)
		j := t.run(drmaa.JobTemplate{StartTime: drmaa.Stamp(at.UnixMicro())})
		t.state(j.ID, drmaa.Queued)
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.Dispatched < drmaa.Stamp(at.UnixMicro()) {
			t.fail("dispatched at %s, before %s", done.Dispatched, drmaa.Stamp(at.UnixMicro()))
		}
	}},
	{"job.deadline", "GFD.194 8.4", "a job whose deadlineTime passes while it waits is FAILED and has not run", func(t *trial) {
		j := t.run(drmaa.JobTemplate{SubmitAsHold: true, DeadlineTime: drmaa.Stamp(time.Now().Add(500 * time.Millisecond).UnixMicro())})
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Failed || done.MayHaveRun {
			t.fail("%+v", done)
		}
	}},
}

var arrayCases = []kase{
	{"array.bulk", "GFD.194 7.2", "runBulkJobs makes one job for each index from begin to end by step", func(t *trial) {
		a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Template: &drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true}, Begin: 3, End: 12, Step: 4})
		t.must(err)
		if a.Jobs != 3 || a.States[drmaa.QueuedHeld] != 3 || a.Over {
			t.fail("%+v", a)
		}
		var indexes []int
		for j, err := range t.session.Jobs(t.ctx, drmaa.Filter{Array: a.ID}) {
			t.must(err)
			if j.Array != a.ID || j.ID != drmaa.JobID(a.ID, j.Index) {
				t.fail("%+v", j)
			}
			indexes = append(indexes, j.Index)
		}
		if slices.Sort(indexes); !slices.Equal(indexes, []int{3, 7, 11}) {
			t.fail("indexes %v", indexes)
		}
	}},
	{"array.bounds", "binding, Bulk jobs", "a bad range is refused by its attribute, and nothing of it is taken", func(t *trial) {
		in := func(rest string) string {
			return fmt.Sprintf(`{"jobTemplate":{"remoteCommand":%q,"submitAsHold":true}%s}`, t.class, rest)
		}
		for _, c := range [][2]string{{`,"beginIndex":0,"endIndex":3`, "beginIndex"}, {`,"beginIndex":5,"endIndex":3`, "endIndex"},
			{`,"beginIndex":1,"endIndex":3,"step":-1`, "step"}, {`,"beginIndex":1,"endIndex":3,"maxParallel":-1`, "maxParallel"},
			{`,"beginIndex":1,"endIndex":10001`, "endIndex"}, {`,"beginIndex":"x"`, "beginIndex"}} {
			t.refused(t.call("POST", t.path("/arrays"), in(c[0])), 400, drmaa.InvalidArgument, c[1])
		}
		t.refused(t.call("POST", t.path("/arrays"), `{"beginIndex":1,"endIndex":2}`), 400, drmaa.InvalidArgument, "jobTemplate")
		t.refused(t.call("POST", t.path("/arrays"), in(`,"beginIndex":1,"endIndex":3,"what":1`)), 422, drmaa.UnsupportedAttribute, "what")
		for range t.session.Jobs(t.ctx, drmaa.Filter{}) {
			t.fail("a job of a refused bulk is there")
		}
	}},
	{"array.key", "binding, Client keys", "the client key covers the whole array", func(t *trial) {
		b := drmaa.Bulk{Template: &drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true, ClientKey: "conform " + t.session.Name}, Begin: 1, End: 3}
		one, err := t.session.RunBulk(t.ctx, b)
		t.must(err)
		two, err := t.session.RunBulk(t.ctx, b)
		t.must(err)
		if one.ID != two.ID {
			t.fail("two arrays")
		}
		b.End = 4
		_, err = t.session.RunBulk(t.ctx, b)
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
	{"array.control", "GFD.194 7.4", "release, hold, terminate and reap of an array apply to all of its jobs", func(t *trial) {
		a := t.bulk(6, 1)
		n, err := t.session.ActOnArray(t.ctx, a.ID, "release")
		t.must(err)
		if n.Applied != 6 {
			t.fail("released %d", n.Applied)
		}
		_, err = t.session.ActOnArray(t.ctx, a.ID, "reap")
		t.ruledOut(err, drmaa.InvalidState)
		_, err = t.session.ActOnArray(t.ctx, a.ID, "terminate")
		t.must(err)
		over, err := t.session.WaitArray(t.ctx, a.ID)
		t.must(err)
		if !over.Over || over.States[drmaa.Done]+over.States[drmaa.Failed] != 6 {
			t.fail("%+v", over)
		}
		_, err = t.session.ActOnArray(t.ctx, a.ID, "hold")
		t.ruledOut(err, drmaa.InvalidState)
		_, err = t.session.ActOnArray(t.ctx, a.ID, "reap")
		t.must(err)
		_, err = t.session.Array(t.ctx, a.ID)
		t.ruledOut(err, drmaa.InvalidArgument)
	}},
	{"array.index", "GFD.194 8.4", "the index placeholder is replaced in args and input", func(t *trial) {
		a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Begin: 7, End: 8, Template: &drmaa.JobTemplate{RemoteCommand: t.class,
			Args: []string{"part-" + drmaa.IndexPlaceholder}}})
		t.must(err)
		over, err := t.session.WaitArray(t.ctx, a.ID)
		t.must(err)
		if over.States[drmaa.Done] != 2 {
			t.fail("%+v", over)
		}
	}},
	{"array.parallel", "GFD.194 7.2", "no more than maxParallel jobs of an array run at once", func(t *trial) {
		a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Begin: 1, End: 6, MaxParallel: 1, Template: &drmaa.JobTemplate{RemoteCommand: t.class}})
		t.must(err)
		_, err = t.session.WaitArray(t.ctx, a.ID)
		t.must(err)
		type span struct{ from, to string }
		var spans []span
		for j, err := range t.session.Jobs(t.ctx, drmaa.Filter{Array: a.ID}) {
			t.must(err)
			if len(j.Steps) > 0 {
				spans = append(spans, span{j.Steps[0].Sent, j.Steps[len(j.Steps)-1].Ended})
			}
		}
		slices.SortFunc(spans, func(a, b span) int { return strings.Compare(a.from, b.from) })
		for i := 1; i < len(spans); i++ {
			if spans[i].from < spans[i-1].to {
				t.fail("two ran at once: %v, %v", spans[i-1], spans[i])
			}
		}
	}},
}

var waitCases = []kase{
	{"wait.timeout", "GFD.194 7.3", "a wait that times out is TimeoutException, and the job goes on", func(t *trial) {
		j := t.held()
		for _, span := range []string{"0", "0.2"} {
			a := t.call("POST", t.path("/jobs/"+j.ID+"/wait"), `{"timeout":`+span+`}`)
			t.refused(a, 504, drmaa.Timeout, "")
			if a.fault.Job == nil || a.fault.Job.State != drmaa.QueuedHeld {
				t.fail("the error does not tell of the job: %s", a.body)
			}
		}
	}},
	{"wait.bad", "binding, Waits", "a wait for nothing sensible is refused by attribute", func(t *trial) {
		j := t.held()
		for _, c := range [][2]string{{`{"timeout":-1}`, "timeout"}, {`{"timeout":1e9}`, "timeout"}, {`{"for":"rain"}`, "for"}} {
			t.refused(t.call("POST", t.path("/jobs/"+j.ID+"/wait"), c[0]), 400, drmaa.InvalidArgument, c[1])
		}
		t.refused(t.call("POST", t.path("/wait"), `{"jobs":[]}`), 400, drmaa.InvalidArgument, "jobs")
		t.refused(t.call("POST", t.path("/wait"), `{"jobs":["none"]}`), 404, drmaa.InvalidArgument, "")
	}},
	{"wait.started", "GFD.194 7.3", "waitStarted returns once the job has started or ended", func(t *trial) {
		j, err := t.session.Wait(t.ctx, t.run(drmaa.JobTemplate{}).ID, client.Started)
		t.must(err)
		if !j.State.Started() && !j.State.Final() {
			t.fail("%s", j.State)
		}
	}},
	{"wait.any", "GFD.194 7.2", "waitAnyTerminated returns a job of the list that has ended", func(t *trial) {
		a, b := t.held(), t.held()
		t.must(t.session.Act(t.ctx, b.ID, "terminate"))
		j, err := t.session.WaitAny(t.ctx, client.Terminated, "", a.ID, b.ID)
		t.must(err)
		if j.ID != b.ID {
			t.fail("%s, not %s", j.ID, b.ID)
		}
	}},
	{"wait.any.session", "GFD.194 7.2", "waitAnyTerminated over the session returns what has ended before and is not reaped", func(t *trial) {
		t.held()
		b := t.held()
		t.must(t.session.Act(t.ctx, b.ID, "terminate"))
		_, err := t.session.Wait(t.ctx, b.ID, client.Terminated)
		t.must(err)
		j, err := t.session.WaitAny(t.ctx, client.Terminated, "")
		t.must(err)
		if j.ID != b.ID {
			t.fail("%s, not %s", j.ID, b.ID)
		}
	}},
	{"wait.any.array", "GFD.194 7.2", "waitAnyStarted and waitAnyTerminated work over an array", func(t *trial) {
		a := t.bulk(2, 0)
		t.must(t.session.Act(t.ctx, drmaa.JobID(a.ID, 2), "release"))
		for _, what := range []string{client.Started, client.Terminated} {
			j, err := t.session.WaitAny(t.ctx, what, a.ID)
			t.must(err)
			if j.ID != drmaa.JobID(a.ID, 2) {
				t.fail("%s", j.ID)
			}
		}
	}},
}

var listCases = []kase{
	{"list.pages", "binding, Lists", "pages neither repeat nor leave out jobs, while others come", func(t *trial) {
		t.bulk(11, 0)
		seen := map[string]int{}
		next := ""
		for range 10 {
			path := t.path("/jobs?limit=3&state=QUEUED_HELD")
			if next != "" {
				path += "&next=" + next
			}
			a := t.call("GET", path, "")
			var page drmaa.Page
			t.read(a, &page)
			for _, j := range page.Jobs {
				seen[j.ID]++
			}
			if next = page.Next; next == "" {
				break
			}
			t.held() // newer than the pages to come
		}
		if len(seen) != 11 {
			t.fail("%d jobs of 11", len(seen))
		}
		for id, n := range seen {
			if n > 1 {
				t.fail("%s comes %d times", id, n)
			}
		}
	}},
	{"list.filter", "GFD.194 7.2", "getJobs matches state, category, name, account and times", func(t *trial) {
		t.run(drmaa.JobTemplate{SubmitAsHold: true, JobName: "x", AccountingID: "acc"})
		before := drmaa.Stamp(time.Now().Add(-time.Hour).UnixMicro())
		for _, c := range []struct {
			query string
			want  int
		}{{"state=QUEUED_HELD", 1}, {"state=DONE,FAILED", 0}, {"name=x", 1}, {"name=y", 0}, {"accountingId=acc", 1}, {"category=" + t.class, 1},
			{"category=none", 0}, {"submittedFrom=" + before, 1}, {"submittedTo=" + before, 0}, {"finishedFrom=" + before, 0}} {
			var page drmaa.Page
			t.read(t.call("GET", t.path("/jobs?"+c.query), ""), &page)
			if len(page.Jobs) != c.want {
				t.fail("%s: %d jobs, not %d", c.query, len(page.Jobs), c.want)
			}
		}
	}},
	{"list.bad", "binding, Lists", "an unknown filter or a bad value is refused by its name", func(t *trial) {
		for _, c := range [][2]string{{"colour=red", "colour"}, {"state=SLEEPING", "state"}, {"limit=0", "limit"}, {"limit=9999", "limit"},
			{"next=zzz", "next"}, {"submittedFrom=yesterday", "submittedFrom"}, {"name=a&name=b", "name"}} {
			t.refused(t.call("GET", t.path("/jobs?"+c[0]), ""), 400, drmaa.InvalidArgument, c[1])
		}
	}},
}

var eventCases = []kase{
	{"events.cursor", "GFD.194 8.7", "a cursor resumes the stream: each change of state comes once, in order", func(t *trial) {
		var at drmaa.Events
		t.read(t.call("GET", t.path("/events"), ""), &at)
		j := t.held()
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		var states []drmaa.State
		for range 10 {
			var got drmaa.Events
			t.read(t.call("GET", t.path("/events?timeout=5&limit=1&cursor="+at.Cursor), ""), &got)
			if got.Missed != 0 {
				t.fail("%d missed", got.Missed)
			}
			for _, e := range got.Events {
				if e.Job != j.ID || e.Event != drmaa.NewState || e.Session != t.session.Name {
					t.fail("%+v", e)
				}
				states = append(states, e.State)
			}
			at = got
			if len(states) == 2 {
				break
			}
		}
		if !slices.Equal(states, []drmaa.State{drmaa.QueuedHeld, drmaa.Failed}) {
			t.fail("%v", states)
		}
	}},
	{"events.stream", "binding, Events", "a stream brings events as they come, and its cursors resume it", func(t *trial) {
		var at drmaa.Events
		t.read(t.call("GET", t.path("/events"), ""), &at)
		j := t.held()
		seen := 0
		for range 2 {
			for got, err := range t.session.Events(t.ctx, at.Cursor) {
				t.must(err)
				seen += len(got.Events)
				at = *got
				break
			}
			if seen == 1 {
				t.must(t.session.Act(t.ctx, j.ID, "terminate"))
			}
		}
		if seen != 2 {
			t.fail("%d events", seen)
		}
	}},
	{"events.bad", "binding, Events", "a bad cursor or parameter is refused by its name", func(t *trial) {
		for _, c := range [][2]string{{"cursor=zz", "cursor"}, {"timeout=-1", "timeout"}, {"limit=0", "limit"}, {"stream=maybe", "stream"}, {"x=1", "x"}} {
			t.refused(t.call("GET", t.path("/events?"+c[0]), ""), 400, drmaa.InvalidArgument, c[1])
		}
	}},
}

var monitoringCases = []kase{
	{"monitoring.queues", "GFD.194 7.5", "getAllQueues lists the classes with what waits in them", func(t *trial) {
		t.held()
		all, err := t.client.Queues(t.ctx)
		t.must(err)
		at := slices.IndexFunc(all, func(q drmaa.Queue) bool { return q.Name == t.class })
		if at < 0 || all[at].Held < 1 {
			t.fail("%+v", all)
		}
	}},
	{"monitoring.machines", "GFD.194 7.5", "getAllMachines lists the prep workers", func(t *trial) {
		all, err := t.client.Machines(t.ctx)
		t.must(err)
		for _, m := range all {
			if m.Name == "" || m.State == "" {
				t.fail("%+v", m)
			}
		}
	}},
	{"monitoring.jobs", "GFD.194 7.5", "getAllJobs lists the jobs of all sessions", func(t *trial) {
		j := t.held()
		for got, err := range t.client.Jobs(t.ctx, drmaa.Filter{States: []drmaa.State{drmaa.QueuedHeld}}) {
			t.must(err)
			if got.ID == j.ID {
				return
			}
		}
		t.fail("not listed")
	}},
	{"monitoring.reservations", "GFD.194 7.5", "reservations are UnsupportedOperationException", func(t *trial) {
		t.refused(t.call("GET", "/monitoring/reservations", ""), 422, drmaa.UnsupportedOperation, "")
	}},
}
