package conformance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// NumCases returns the number of test cases in the suite.
func NumCases() int { return len(cases()) }

func cases() []testCase {
	all := slices.Concat(managerCases, sessionCases, templateCases, jobCases, arrayCases, waitCases, listCases, eventCases, monitoringCases)
	for _, name := range slices.Sorted(maps.Keys(drmaa.UnsupportedAttributes)) {
		value := `"x"`
		if name == "jobEnvironment" {
			value = `{"A":"b"}`
		}
		all = append(all, testCase{"template.refused." + name, "GFD.194 8.4", "an attribute that is not supported is rejected by name: " + name, func(t *run) {
			t.wantError(t.call("POST", t.path("/jobs"), t.template(name, value)), 422, drmaa.UnsupportedAttribute, name)
		}})
	}
	return all
}

var jobCases = []testCase{
	{"job.hold-release", "GFD.194 7.3", "a job with submitAsHold stays QUEUED_HELD until release, and then runs to its end", func(t *run) {
		j := t.submitOnHold()
		t.wantState(j.ID, drmaa.QueuedHeld)
		t.must(t.session.Act(t.ctx, j.ID, "release"))
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if !done.State.Final() || done.Finished == "" || done.Dispatched == "" || len(done.Steps) == 0 {
			t.fail("released job after waitTerminated: got %+v, want a final state, dispatch and finish times and at least one step", done)
		}
	}},
	{"job.info", "GFD.194 8.5", "an ended job reports its machine, its times and its outcome", func(t *run) {
		j := t.submit(drmaa.JobTemplate{})
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Done {
			t.fail("job %s ended as %s (%s), want %s", j.ID, done.State, done.SubState, drmaa.Done)
		}
		if done.ExitStatus == nil || *done.ExitStatus != 0 || done.Result == nil || !done.MayHaveRun || len(done.Machines) != 1 ||
			done.Submitted > done.Dispatched || done.Dispatched > done.Finished || done.Steps[len(done.Steps)-1].Outcome != "served" {
			t.fail("info of a job that is DONE: got %+v, want exit status 0, a result, one machine, ordered times and a served last step", done)
		}
		if again := t.wantState(j.ID, drmaa.Done); *again.Result != *done.Result {
			t.fail("job %s: the second read returned the result %q, the first %q", j.ID, *again.Result, *done.Result)
		}
	}},
	{"job.hold.state", "GFD.194 7.3", "hold of a held job and release of a job that is not held are rejected with InvalidStateException", func(t *run) {
		j := t.submitOnHold()
		t.wantClientError(t.session.Act(t.ctx, j.ID, "hold"), drmaa.InvalidState)
		later := t.submit(drmaa.JobTemplate{StartTime: drmaa.FormatTime(time.Now().Add(time.Hour).UnixMicro())})
		t.wantClientError(t.session.Act(t.ctx, later.ID, "release"), drmaa.InvalidState)
		t.must(t.session.Act(t.ctx, later.ID, "hold"))
		t.wantState(later.ID, drmaa.QueuedHeld)
		t.must(t.session.Act(t.ctx, later.ID, "release"))
		t.wantState(later.ID, drmaa.Queued)
	}},
	{"job.terminate", "GFD.194 7.3", "terminate ends a job as FAILED and is rejected afterwards; a job that was never dispatched has not run", func(t *run) {
		j := t.submitOnHold()
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Failed || done.MayHaveRun || done.SubState == "" {
			t.fail("held job after terminate: got %+v, want FAILED with a substate and without a run", done)
		}
		for _, action := range []string{"terminate", "hold", "release"} {
			t.wantClientError(t.session.Act(t.ctx, j.ID, action), drmaa.InvalidState)
		}
	}},
	{"job.suspend", "GFD.194 7.3", "suspend and resume are rejected with UnsupportedOperationException", func(t *run) {
		j := t.submitOnHold()
		for _, action := range []string{"suspend", "resume"} {
			t.wantClientError(t.session.Act(t.ctx, j.ID, action), drmaa.UnsupportedOperation)
		}
		t.wantError(t.call("POST", t.path("/jobs/"+j.ID+"/control"), `{"action":"fly"}`), 400, drmaa.InvalidArgument, "action")
		t.wantError(t.call("POST", t.path("/jobs/"+j.ID+"/control"), `{}`), 400, drmaa.InvalidArgument, "action")
	}},
	{"job.reap", "GFD.194 7.3", "reap removes an ended job and is rejected for a job that has not ended", func(t *run) {
		j := t.submitOnHold()
		t.wantClientError(t.session.Act(t.ctx, j.ID, "reap"), drmaa.InvalidState)
		t.must(t.session.Act(t.ctx, j.ID, "terminate"))
		_, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		t.must(t.session.Act(t.ctx, j.ID, "reap"))
		_, err = t.session.Job(t.ctx, j.ID)
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
	{"job.unknown", "binding, Errors", "a call on an unknown job is rejected with InvalidArgumentException", func(t *run) {
		t.wantError(t.call("GET", t.path("/jobs/none"), ""), 404, drmaa.InvalidArgument, "")
		t.wantError(t.call("POST", t.path("/jobs/none/wait"), `{}`), 404, drmaa.InvalidArgument, "")
		t.wantError(t.call("POST", t.path("/jobs/none/control"), `{"action":"hold"}`), 404, drmaa.InvalidArgument, "")
	}},
	{"job.start-time", "GFD.194 8.4", "a job is not dispatched before its startTime", func(t *run) {
		at := time.Now().Add(700 * time.Millisecond)
		j := t.submit(drmaa.JobTemplate{StartTime: drmaa.FormatTime(at.UnixMicro())})
		t.wantState(j.ID, drmaa.Queued)
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.Dispatched < drmaa.FormatTime(at.UnixMicro()) {
			t.fail("job %s was dispatched at %s, before its startTime %s", j.ID, done.Dispatched, drmaa.FormatTime(at.UnixMicro()))
		}
	}},
	{"job.deadline", "GFD.194 8.4", "a job whose deadlineTime passes while it waits ends as FAILED without a run", func(t *run) {
		j := t.submit(drmaa.JobTemplate{SubmitAsHold: true, DeadlineTime: drmaa.FormatTime(time.Now().Add(500 * time.Millisecond).UnixMicro())})
		done, err := t.session.Wait(t.ctx, j.ID, client.Terminated)
		t.must(err)
		if done.State != drmaa.Failed || done.MayHaveRun {
			t.fail("held job after its deadline: got %+v, want FAILED without a run", done)
		}
	}},
}

var arrayCases = []testCase{
	{"array.bulk", "GFD.194 7.2", "runBulkJobs creates one job for each index from beginIndex to endIndex by step", func(t *run) {
		a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Template: &drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true}, Begin: 3, End: 12, Step: 4})
		t.must(err)
		if a.Jobs != 3 || a.States[drmaa.QueuedHeld] != 3 || a.AllEnded {
			t.fail("bulk of indexes 3 to 12 by 4: got %+v, want 3 held jobs", a)
		}
		var indexes []int
		for j, err := range t.session.Jobs(t.ctx, drmaa.Filter{Array: a.ID}) {
			t.must(err)
			if j.Array != a.ID || j.ID != drmaa.JobID(a.ID, j.Index) {
				t.fail("job of array %s: got %+v, want ID %s", a.ID, j, drmaa.JobID(a.ID, j.Index))
			}
			indexes = append(indexes, j.Index)
		}
		if slices.Sort(indexes); !slices.Equal(indexes, []int{3, 7, 11}) {
			t.fail("bulk of indexes 3 to 12 by 4: got jobs with the indexes %v, want [3 7 11]", indexes)
		}
	}},
	{"array.bounds", "binding, Bulk jobs", "an invalid range is rejected with the name of the attribute, and no job is created", func(t *run) {
		body := func(rest string) string {
			return fmt.Sprintf(`{"jobTemplate":{"remoteCommand":%q,"submitAsHold":true}%s}`, t.class, rest)
		}
		for _, c := range [][2]string{{`,"beginIndex":0,"endIndex":3`, "beginIndex"}, {`,"beginIndex":5,"endIndex":3`, "endIndex"},
			{`,"beginIndex":1,"endIndex":3,"step":-1`, "step"}, {`,"beginIndex":1,"endIndex":3,"maxParallel":-1`, "maxParallel"},
			{`,"beginIndex":1,"endIndex":10001`, "endIndex"}, {`,"beginIndex":"x"`, "beginIndex"}} {
			t.wantError(t.call("POST", t.path("/arrays"), body(c[0])), 400, drmaa.InvalidArgument, c[1])
		}
		t.wantError(t.call("POST", t.path("/arrays"), `{"beginIndex":1,"endIndex":2}`), 400, drmaa.InvalidArgument, "jobTemplate")
		t.wantError(t.call("POST", t.path("/arrays"), body(`,"beginIndex":1,"endIndex":3,"what":1`)), 422, drmaa.UnsupportedAttribute, "what")
		for j, err := range t.session.Jobs(t.ctx, drmaa.Filter{}) {
			t.must(err)
			t.fail("job %s exists although every bulk submission was rejected", j.ID)
		}
	}},
	{"array.key", "binding, Client keys", "a bulk submission repeated under one client key returns the first array; another one under that key is rejected", func(t *run) {
		b := drmaa.Bulk{Template: &drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true, ClientKey: "conform " + t.session.Name}, Begin: 1, End: 3}
		first, err := t.session.RunBulk(t.ctx, b)
		t.must(err)
		second, err := t.session.RunBulk(t.ctx, b)
		t.must(err)
		if first.ID != second.ID {
			t.fail("one client key, submitted twice: got the arrays %s and %s, want one", first.ID, second.ID)
		}
		b.End = 4
		_, err = t.session.RunBulk(t.ctx, b)
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
	{"array.control", "GFD.194 7.4", "release, hold, terminate and reap of an array apply to all its jobs", func(t *run) {
		a := t.submitBulk(6, 1)
		n, err := t.session.ActOnArray(t.ctx, a.ID, "release")
		t.must(err)
		if n.Applied != 6 {
			t.fail("release of an array of 6 held jobs applied to %d", n.Applied)
		}
		_, err = t.session.ActOnArray(t.ctx, a.ID, "reap")
		t.wantClientError(err, drmaa.InvalidState)
		_, err = t.session.ActOnArray(t.ctx, a.ID, "terminate")
		t.must(err)
		ended, err := t.session.WaitArray(t.ctx, a.ID)
		t.must(err)
		if !ended.AllEnded || ended.States[drmaa.Done]+ended.States[drmaa.Failed] != 6 {
			t.fail("array after terminate: got %+v, want 6 jobs DONE or FAILED", ended)
		}
		_, err = t.session.ActOnArray(t.ctx, a.ID, "hold")
		t.wantClientError(err, drmaa.InvalidState)
		_, err = t.session.ActOnArray(t.ctx, a.ID, "reap")
		t.must(err)
		_, err = t.session.Array(t.ctx, a.ID)
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
	{"array.index", "GFD.194 8.4", "the index placeholder is replaced in args and input", func(t *run) {
		a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Begin: 7, End: 8, Template: &drmaa.JobTemplate{RemoteCommand: t.class,
			Args: []string{"part-" + drmaa.IndexPlaceholder}}})
		t.must(err)
		ended, err := t.session.WaitArray(t.ctx, a.ID)
		t.must(err)
		if ended.States[drmaa.Done] != 2 {
			t.fail("array of 2 jobs with the placeholder in args: got %+v, want both DONE", ended)
		}
	}},
	{"array.parallel", "GFD.194 7.2", "no more than maxParallel jobs of an array run at once", func(t *run) {
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
				t.fail("maxParallel 1: two jobs ran at once, during %v and %v", spans[i-1], spans[i])
			}
		}
	}},
}
