package conformance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ospreybend/drmaa"
)

var managerCases = []testCase{
	{"manager.attributes", "GFD.194 7.1", "the session manager reports the names and versions of DRMS and DRMAA", func(t *run) {
		m, err := t.client.Manager(t.ctx)
		t.must(err)
		if m.DrmsName == "" || m.DrmsVersion == "" || m.DrmaaName == "" || m.DrmaaVersion == "" || m.MaxBulkJobs < 1 {
			t.fail("session manager: got %+v, want all names and versions and maxBulkJobs of at least 1", m)
		}
	}},
	{"manager.supports", "GFD.194 7.1", "supports covers every capability and agrees with the attributes that the server does not support", func(t *run) {
		m, err := t.client.Manager(t.ctx)
		t.must(err)
		for name := range drmaa.Supports() {
			if _, ok := m.Supports[name]; !ok {
				t.fail("supports has no entry for the capability %s", name)
			}
		}
		if m.Supports["JT_EMAIL"] != (m.UnsupportedAttributes["email"] == "") || m.Supports["JT_STAGING"] != (m.UnsupportedAttributes["stageInFiles"] == "") {
			t.fail("supports %v contradicts the unsupported attributes %v", m.Supports, m.UnsupportedAttributes)
		}
	}},
	{"auth.none", "binding, Errors", "a call without a token is rejected", func(t *run) {
		t.wantError(t.callAs("", "GET", "/sessions", ""), 401, drmaa.Denied, "")
	}},
	{"auth.wrong", "binding, Errors", "a call with an unknown token is rejected", func(t *run) {
		t.wantError(t.callAs("no-such-token", "GET", "/sessions", ""), 401, drmaa.Denied, "")
	}},
	{"http.path", "binding, Errors", "an unknown path or method is rejected with UnsupportedOperationException", func(t *run) {
		t.wantError(t.call("GET", "/nowhere", ""), 404, drmaa.UnsupportedOperation, "")
		t.wantError(t.call("PATCH", t.path(""), ""), 404, drmaa.UnsupportedOperation, "")
	}},
	{"http.large", "binding, Errors", "a body over the size limit is rejected with an error of the binding", func(t *run) {
		a := t.call("POST", t.path("/jobs"), t.template("input", `"`+strings.Repeat("x", 70_000)+`"`))
		t.wantError(a, 413, drmaa.InvalidArgument, "")
	}},
	{"http.body", "binding, Errors", "a body that is not one JSON object is rejected with InvalidArgumentException", func(t *run) {
		for _, body := range []string{"{", "[]", `{} {}`, "\x00", `"x"`} {
			t.wantError(t.call("POST", t.path("/jobs"), body), 400, drmaa.InvalidArgument, "")
		}
	}},
}

var sessionCases = []testCase{
	{"session.create", "GFD.194 7.1", "createJobSession with the name of an existing session is rejected", func(t *run) {
		_, err := t.client.CreateSession(t.ctx, t.session.Name)
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
	{"session.open.unknown", "GFD.194 7.1", "openJobSession with an unknown name is rejected", func(t *run) {
		_, err := t.client.OpenSession(t.ctx, t.session.Name+"-not")
		t.wantClientError(err, drmaa.InvalidSession)
	}},
	{"session.close", "GFD.194 7.1", "a closed session rejects calls, and its jobs are available once it is open again", func(t *run) {
		j := t.submitOnHold()
		t.must(t.session.Close(t.ctx))
		_, err := t.session.Job(t.ctx, j.ID)
		t.wantClientError(err, drmaa.InvalidSession)
		_, err = t.client.OpenSession(t.ctx, t.session.Name)
		t.must(err)
		t.wantState(j.ID, drmaa.QueuedHeld)
	}},
	{"session.names", "GFD.194 7.1", "getJobSessionNames lists open and closed sessions", func(t *run) {
		t.must(t.session.Close(t.ctx))
		all, err := t.client.Sessions(t.ctx)
		t.must(err)
		i := slices.IndexFunc(all, func(s drmaa.Session) bool { return s.Name == t.session.Name })
		if i < 0 || all[i].State != "closed" {
			t.fail("session %s is not listed as closed among %v", t.session.Name, all)
		}
	}},
	{"session.destroy", "GFD.194 7.1", "destroyJobSession removes the session with its jobs, and its name can be used again", func(t *run) {
		j := t.submitOnHold()
		t.submitBulk(5, 0)
		t.must(t.session.Destroy(t.ctx))
		_, err := t.session.Job(t.ctx, j.ID)
		t.wantClientError(err, drmaa.InvalidSession)
		_, err = t.client.CreateSession(t.ctx, t.session.Name)
		t.must(err)
		_, err = t.session.Job(t.ctx, j.ID)
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
	{"session.bad-name", "binding, Sessions", "an invalid session name, mode or action is rejected with the name of the attribute", func(t *run) {
		for _, name := range []string{"", "a/b", "..", strings.Repeat("x", 65)} {
			t.wantError(t.call("POST", "/sessions", fmt.Sprintf(`{"name":%q}`, name)), 400, drmaa.InvalidArgument, "name")
		}
		t.wantError(t.call("POST", "/sessions", `{"name":"a","mode":"x"}`), 400, drmaa.InvalidArgument, "mode")
		t.wantError(t.call("POST", t.path("/control"), `{"action":"x"}`), 400, drmaa.InvalidArgument, "action")
	}},
}

var templateCases = []testCase{
	{"template.unknown", "GFD.194 8.4", "an attribute that is not in the standard is rejected by name", func(t *run) {
		t.wantError(t.call("POST", t.path("/jobs"), t.template("noSuchThing", "1")), 422, drmaa.UnsupportedAttribute, "noSuchThing")
	}},
	{"template.class", "binding, Job template", "remoteCommand must be the name of a class", func(t *run) {
		t.wantError(t.call("POST", t.path("/jobs"), `{"remoteCommand":"rm -rf"}`), 400, drmaa.InvalidArgument, "remoteCommand")
		t.wantError(t.call("POST", t.path("/jobs"), `{}`), 400, drmaa.InvalidArgument, "remoteCommand")
	}},
	{"template.bounds", "binding, Job template", "a value outside its bounds is rejected with the name of the attribute", func(t *run) {
		for _, c := range [][2]string{{"minSlots", "-1"}, {"minSlots", "1e9"}, {"maxSlots", "-1"}, {"maxSlots", "0.5"}, {"priority", "5000"},
			{"priority", `"high"`}, {"deadline", "-1"}, {"deadlineTime", `"soon"`}, {"deadlineTime", `"2001-01-01T00:00:00Z"`},
			{"startTime", `"9999-01-01T00:00:00Z"`}, {"startTime", "5"}, {"x_costHint", "-1"}, {"args", `[".."]`}, {"args", `[""]`},
			{"jobName", `"\u0007"`}, {"jobCategory", `"no such class"`}, {"input", `"` + strings.Repeat("x", drmaa.MaxInputBytes+1) + `"`}} {
			t.wantError(t.call("POST", t.path("/jobs"), t.template(c[0], c[1])), 400, drmaa.InvalidArgument, c[0])
		}
	}},
	{"template.honoured", "GFD.194 8.4", "supported attributes are returned with the job", func(t *run) {
		no := false
		in := drmaa.JobTemplate{RemoteCommand: t.class, Args: []string{"a b", "c"}, JobName: "name", JobCategory: t.class, SubmitAsHold: true,
			Rerunnable: &no, MinSlots: 2, MaxSlots: 4, Priority: 7, AccountingID: "acc", QueueName: t.class, CostHint: 1.5,
			StartTime: drmaa.FormatTime(time.Now().Add(time.Hour).UnixMicro()), DeadlineTime: drmaa.FormatTime(time.Now().Add(2 * time.Hour).UnixMicro())}
		j := t.submit(in)
		got := t.wantState(j.ID, drmaa.QueuedHeld)
		v := got.Template
		if v.JobName != "name" || v.Priority != 7 || v.AccountingID != "acc" || len(v.Args) != 2 || v.StartTime != in.StartTime ||
			v.DeadlineTime != in.DeadlineTime || got.Slots != 2 || got.Queue != t.class || got.Name != "name" || got.Submitted == "" {
			t.fail("submitted %+v, got the job %+v with the template %+v", in, got, v)
		}
	}},
	{"template.rerunnable", "binding, Job template", "rerunnable is rejected for a class whose jobs must not run twice", func(t *run) {
		if t.nonIdempotentClass == "" {
			return
		}
		t.wantError(t.call("POST", t.path("/jobs"), fmt.Sprintf(`{"remoteCommand":%q,"rerunnable":true}`, t.nonIdempotentClass)), 422, drmaa.UnsupportedAttribute, "rerunnable")
	}},
	{"template.key", "binding, Client keys", "the same template under one client key is one job; another template under that key is rejected", func(t *run) {
		in := drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true, ClientKey: "conform " + t.session.Name}
		a, b := t.submit(in), t.submit(in)
		if a.ID != b.ID {
			t.fail("one client key, submitted twice: got the jobs %s and %s, want one", a.ID, b.ID)
		}
		in.JobName = "other"
		_, err := t.session.Run(t.ctx, in)
		t.wantClientError(err, drmaa.InvalidArgument)
		in.JobName = ""
		_, err = t.session.RunBulk(t.ctx, drmaa.Bulk{Template: &in, Begin: 1, End: 2})
		t.wantClientError(err, drmaa.InvalidArgument)
	}},
}
