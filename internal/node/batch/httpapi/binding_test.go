package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/balance"
	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
)

// booking is a template of the non-idempotent class "buchen".
const booking = `{"remoteCommand":"buchen","args":["teil 1"],"input":"order","x_clientKey":"k1"}`

// scriptOf joins steps to one script.
func scriptOf(steps ...string) string { return strings.Join(steps, "\n") }

var (
	getJob         = request("anna", "GET", jobsPath+"/{id}", "")
	waitTerminated = request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":30}`)
	waitStarted    = request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":30,"for":"started"}`)
	terminate      = request("anna", "POST", jobsPath+"/{id}/control", `{"action":"terminate"}`)
)

// submitAndDispatch submits a booking as anna, keeps its ID as {id} and expects its request at a prep
// worker.
var submitAndDispatch = scriptOf("c dial batch", "c "+submit("anna", booking), "c expect HTTP/1.1 202",
	`c keep id "jobId":"`, "w accept workers", `w expect POST /buchen/teil%201 HTTP/1.1\r\n`, `w expect \r\n\r\norder`)

// A job goes through QUEUED and RUNNING to DONE, and its result is in the wait and in the list.
func TestHandler_submitToResult(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch,
		"c "+getJob, `c expect "jobState":"QUEUED"`, `c expect "x_mayHaveRun":true`,
		"c "+waitStarted, "w send {stream}{started}", `c expect "jobState":"RUNNING"`,
		"c "+waitTerminated, "w send {done}", `c expect "jobState":"DONE"`, `c expect "result":"fine"`,
		"c "+request("anna", "GET", jobsPath, ""), `c expect "jobs":[{"jobId":"{id}"`, `c expect "result":"fine"`))
}

// A booking submitted twice with the same client key runs once, and both callers get the same job.
// Different content with that key is an error.
func TestHandler_submitTwiceUnderOneKey(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf("a dial batch", "b dial batch", "a "+submit("anna", booking), "b "+submit("anna", booking),
		`a keep id "jobId":"`, `b expect "jobId":"{id}"`,
		"w accept workers", "w expect order", "w send {stream}{done}",
		"a "+waitTerminated, `a expect "jobState":"DONE"`,
		"b "+submit("anna", booking), `b expect "jobId":"{id}"`, `b expect "jobState":"DONE"`,
		"b "+submit("anna", strings.Replace(booking, "order", "other", 1)), "b expect HTTP/1.1 409",
		`b expect "error":"InvalidArgumentException"`))
	if n := f.sentSteps(); n != 1 {
		t.Errorf("%d steps were sent to prep workers, want 1", n)
	}
	// Another tenant may use the same key.
	f.Play(scriptOf("c dial batch", "c "+submit("ben", booking), "c expect HTTP/1.1 202", "v accept workers", "v expect order", "v send {stream}{done}"))
}

// A client key stays in use after its job is no longer held in memory.
func TestHandler_submitAgainAfterTheEnd(t *testing.T) {
	f := newFixtureWith(t, "", 2, 0)
	f.Play(scriptOf(submitAndDispatch, "w send {stream}{done}", "c "+waitTerminated, `c expect "jobState":"DONE"`))
	f.Play(scriptOf("c "+submit("anna", booking), `c expect "jobId":"{id}"`, `c expect "result":"fine"`,
		"c "+submit("anna", strings.Replace(booking, "order", "other", 1)), "c expect HTTP/1.1 409",
		"c "+getJob, `c expect "result":"fine"`, "c "+terminate, "c expect InvalidStateException"))
	if n := f.sentSteps(); n != 1 {
		t.Errorf("%d steps were sent to prep workers, want 1", n)
	}
}

// A job is terminated while it starts, and its start and its result arrive afterwards. The job has one
// final outcome, and it does not change.
func TestHandler_terminateWhileStarting(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "c "+terminate, "c expect HTTP/1.1 202", "w send {stream}{started}{done}",
		"c "+waitTerminated, `c expect "jobState":"FAILED"`, `c expect "jobSubState":"terminated"`, `c expect "x_mayHaveRun":true`,
		"w closed", "c "+terminate, "c expect HTTP/1.1 409", "c expect InvalidStateException",
		"c "+getJob, `c expect "jobState":"FAILED"`))
	// If the result arrives before the termination, it is the outcome.
	f.Play(scriptOf(`c `+submit("anna", `{"remoteCommand":"buchen"}`), `c keep id "jobId":"`, "w accept workers",
		"w expect Req-Id: {id}-1", "w send {stream}{started}{done}", "c "+waitTerminated, `c expect "jobState":"DONE"`,
		"c "+terminate, "c expect HTTP/1.1 409", "c "+getJob, `c expect "jobState":"DONE"`))
}

// A job that is terminated before it was sent never runs.
func TestHandler_terminateBeforeRecorded(t *testing.T) {
	f := newFixture(t, "")
	f.Loop.Call(func() {
		m := f.manager
		template, _ := drmaa.ReadTemplate([]byte(booking), m.Classes(), m.Now())
		m.Submit(m.Tenant("anna"), "s", template, func(j *jobs.Job, e *drmaa.Error) {
			if e == nil {
				f.Variables["id"] = j.ID
			}
		})
		for _, id := range m.IDs() {
			if _, e := m.TerminateID(id); e != nil {
				t.Errorf("terminate job %s: %v", id, e)
			}
		}
	})
	f.WaitUntil(func() bool { return f.Variables["id"] != "" })
	f.Play(scriptOf("c dial batch", "c "+waitTerminated, `c expect "jobState":"FAILED"`, `c expect "x_mayHaveRun":false`))
	if n := f.sentSteps(); n != 0 {
		t.Errorf("%d steps were sent to prep workers, want 0", n)
	}
}

// A worker fails while it runs a job. The job keeps its state until the failure is known; then it has
// failed and may have run. A non-idempotent job is not run again.
func TestHandler_workerFails(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "c "+waitStarted, "w send {stream}{started}", "c expect RUNNING", "wait 1s",
		"c "+getJob, "c expect RUNNING", "c "+waitTerminated, "w close",
		`c expect "jobState":"FAILED"`, "c expect not run again", `c expect "x_mayHaveRun":true`,
		"wait 10s", "c "+getJob, "c expect FAILED"))
	if n := f.sentSteps(); n != 1 {
		t.Errorf("%d steps were sent to prep workers, want 1", n)
	}
	// An idempotent job is requeued and sent to another worker.
	f.Play(scriptOf("c "+submit("anna", `{"remoteCommand":"pruefen"}`), `c keep id "jobId":"`, "w accept workers",
		"w send {stream}{started}", "c "+waitStarted, "c expect RUNNING", "w close", "v accept workers", "v expect Req-Id: {id}-1",
		"c "+getJob, "c expect REQUEUED", "v send {stream}{done}", "c "+waitTerminated, "c expect DONE"))
}

// A job whose worker never responds fails at its deadline.
func TestHandler_deadline(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "c "+waitTerminated, "wait 4s", "c expect FAILED", `c expect "x_mayHaveRun":true`, "w closed"))
}

// The timeout of a wait ends the wait only: the job continues.
func TestHandler_waitTimesOut(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "c "+request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":0.5}`)))
	f.WaitUntil(func() bool { return f.manager.Counts().Waits > 0 })
	f.Play(scriptOf("wait 500ms", "c expect HTTP/1.1 504", `c expect "error":"TimeoutException"`, `c expect "jobState":"QUEUED"`,
		"w send {stream}{done}", "c "+waitTerminated, "c expect DONE"))
}

// No prep worker accepts the job, so the core rejects it. The job is retried at the time that the core
// advises, until its deadline, and ends as one that never ran.
func TestHandler_rejectedIsRetriedUntilDeadline(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf("c dial batch", "c "+submit("anna", strings.Replace(booking, "{", `{"deadline":6,`, 1)), `c keep id "jobId":"`))
	for i := range 2 {
		name := []string{"w", "v"}[i]
		f.Play(scriptOf(name+" accept workers", name+" expect Req-Id: {id}-1", name+" send {stream}{returned}"))
	}
	f.WaitUntil(func() bool { return f.core.Counts().Outcomes[balance.Full] == 2 })
	f.Loop.Call(func() { f.core.PoolChanged(balance.ListUpdate{Kind: balance.ListFull}) })
	f.Play(scriptOf("c "+getJob, `c expect "jobState":"QUEUED"`, `c expect "x_mayHaveRun":false`, "wait 2500ms"))
	f.Play(scriptOf("c "+getJob, `c expect "jobState":"REQUEUED"`, `c expect "x_mayHaveRun":false`, "c "+waitTerminated, "wait 6s",
		`c expect "jobState":"FAILED"`, "c expect it never ran"))
}

// Invalid and unauthorized calls are rejected with the documented status and error.
func TestHandler_rejectedCalls(t *testing.T) {
	f := newFixture(t, "")
	f.Play("c dial batch")
	for _, c := range [][3]string{
		{submit("nobody", booking), "401", "DeniedByDrmsException"},
		{request("anna", "POST", "/drmaa/v2/sessions/none/jobs", booking), "404", "InvalidSessionException"},
		{request("anna", "GET", jobsPath+"/none", ""), "404", "InvalidArgumentException"},
		{request("anna", "GET", "/elsewhere", ""), "404", "UnsupportedOperationException"},
		{submit("anna", `{`), "400", "InvalidArgumentException"},
		{submit("anna", `{} {}`), "400", "InvalidArgumentException"},
		{submit("anna", `{"remoteCommand":"rm"}`), "400", "remoteCommand"},
		{submit("anna", `{"remoteCommand":"buchen","minSlots":-1}`), "400", "minSlots"},
		{submit("anna", `{"remoteCommand":"buchen","args":[".."]}`), "400", "args"},
		{submit("anna", `{"remoteCommand":"buchen","deadline":-1}`), "400", "deadline"},
		{submit("anna", `{"remoteCommand":"buchen","nativeSpecification":"-q"}`), "422", "UnsupportedAttributeException"},
		{request("anna", "POST", "/drmaa/v2/sessions", `{"name":"a/b"}`), "400", "InvalidArgumentException"},
	} {
		f.Play(scriptOf("c "+c[0], "c expect HTTP/1.1 "+c[1], "c expect "+c[2]))
	}
	// A tenant cannot see another tenant's job.
	f.Play(scriptOf(submitAndDispatch, "c "+request("ben", "GET", jobsPath+"/{id}", ""), "c expect HTTP/1.1 404", "c expect no such job",
		"c "+request("ben", "POST", jobsPath+"/{id}/control", `{"action":"terminate"}`), "c expect HTTP/1.1 404",
		"c "+request("anna", "POST", jobsPath+"/{id}/control", `{"action":"suspend"}`), "c expect UnsupportedOperationException"))
	// A submission over the quota is rejected with Retry-After.
	f.Play(scriptOf("c "+submit("anna", `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 202",
		"c "+submit("anna", `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 429", "c expect Retry-After: 1.000", "c expect TryLaterException"))
}

// After a restart a non-idempotent job that may have run has failed. Idempotent jobs, and jobs that were
// never sent, run.
func TestHandler_restart(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "c "+submit("anna", `{"remoteCommand":"pruefen","deadline":60,"x_clientKey":"k2"}`), `c keep id2 "jobId":"`))
	ctx := context.Background()
	var now int64
	f.Loop.Call(func() { now = f.manager.Now().UnixMicro() })
	f.stopStore()
	store := openStore(t, f.file)
	unsent := &jobs.Record{ID: "never-sent", Tenant: "ben", Session: "s", State: drmaa.Queued, Seq: 1,
		Template: &drmaa.JobTemplate{RemoteCommand: "buchen"}, DeadlineAt: now + 60e6}
	if _, err := store.Insert(ctx, []*jobs.Submission{{Jobs: []*jobs.Record{unsent}}}); err != nil {
		t.Fatal(err)
	}
	must(t, store.Close())
	restarted := newFixture(t, f.file)
	restarted.Variables["id"], restarted.Variables["id2"] = f.Variables["id"], f.Variables["id2"]
	restarted.Play(scriptOf("c dial batch", "c "+waitTerminated, "c expect FAILED", "c expect not run again", `c expect "x_mayHaveRun":true`,
		"a accept workers", "b accept workers", `a expect \r\n\r\n`, `b expect \r\n\r\n`, "a send {stream}{done}", "b send {stream}{done}",
		"c "+strings.ReplaceAll(waitTerminated, "{id}", "{id2}"), "c expect DONE",
		"c "+request("ben", "POST", jobsPath+"/never-sent/wait", `{"timeout":30}`), "c expect DONE",
		"c "+submit("anna", booking), `c expect "jobId":"{id}"`))
	if n := restarted.sentSteps(); n != 2 {
		t.Errorf("%d steps were sent to prep workers after the restart, want 2", n)
	}
}

// Tenants are created, changed, given a new token and disabled, and each change is in effect at once.
func TestAdminHandler_tenants(t *testing.T) {
	f := newFixture(t, "")
	admin := func(method, path, body string) string {
		return "a " + request(adminToken, method, "/admin/v1/"+path, body)
	}
	f.Play(scriptOf("a dial admin", "c dial batch",
		"a "+request("anna", "GET", "/admin/v1/tenants", ""), "a expect HTTP/1.1 401",
		admin("POST", "tenants", `{"name":"carl","maxUnfinishedJobs":1}`), "a expect HTTP/1.1 201", `a keep token "token":"`,
		admin("POST", "tenants", `{"name":"carl"}`), "a expect HTTP/1.1 409",
		"c "+request("{token}", "POST", "/drmaa/v2/sessions", `{"name":"s"}`), "c expect HTTP/1.1 201"))
	token := f.Variables["token"]
	f.Play(scriptOf("c "+submit(token, booking), "c expect HTTP/1.1 202", `c keep id "jobId":"`, "w accept workers", "w expect order",
		"c "+submit(token, `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 429",
		admin("PUT", "tenants/carl", `{"maxUnfinishedJobs":2}`), `a expect "maxUnfinishedJobs":2,"unfinishedJobs":1`,
		"c "+submit(token, `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 202",
		admin("GET", "tenants/carl/jobs", ""), "a expect {id}", admin("GET", "jobs", ""), `a expect "jobOwner":"carl"`,
		admin("POST", "jobs/{id}/terminate", ""), "a expect HTTP/1.1 202", "w closed",
		admin("POST", "tenants/carl/token", ""), `a keep new "token":"`,
		"c "+submit(token, booking), "c expect HTTP/1.1 401"))
	f.Play(scriptOf("c "+submit(f.Variables["new"], booking), `c expect "jobId":"{id}"`,
		admin("DELETE", "tenants/carl", ""), "a expect HTTP/1.1 204",
		"c "+submit(f.Variables["new"], booking), "c expect HTTP/1.1 401",
		admin("GET", "tenants/nobody/jobs", ""), "a expect HTTP/1.1 404"))
	// The store holds only the hashes of tokens.
	f.stopStore()
	store := openStore(t, f.file)
	defer store.Close()
	tenants, err := store.Tenants(context.Background())
	must(t, err)
	for _, tenant := range tenants {
		if tenant.TokenHash == tenant.Name || strings.Contains(tenant.TokenHash, token) {
			t.Errorf("tenant %s: the store holds the token in plain text: %q", tenant.Name, tenant.TokenHash)
		}
	}
}

const (
	arraysPath = "/drmaa/v2/sessions/s/arrays"
	bulk       = `{"jobTemplate":{"remoteCommand":"buchen","args":["teil-$DRMAA_INDEX$"],"x_clientKey":"b1"},"beginIndex":1,"endIndex":2}`
)

// The same bulk submitted at the same time over two connections creates one array, and each of its jobs
// runs once.
func TestHandler_sameBulkTwiceAtOnce(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf("a dial batch", "b dial batch", "a "+request("anna", "POST", arraysPath, bulk), "b "+request("anna", "POST", arraysPath, bulk),
		"a expect HTTP/1.1 202", `a keep id "jobArrayId":"`, "b expect HTTP/1.1 202", `b expect "jobArrayId":"{id}"`,
		"w accept workers", "v accept workers", "w expect POST /buchen/teil-", "v expect POST /buchen/teil-", `w expect \r\n\r\n`, `v expect \r\n\r\n`,
		"w send {stream}{done}", "v send {stream}{done}",
		"a "+request("anna", "POST", arraysPath+"/{id}/wait", `{"for":"allTerminated","timeout":30}`), `a expect "x_states":{"DONE":2}`,
		"b "+request("anna", "GET", jobsPath+"/{id}.2", ""), `b expect "x_arrayIndex":2`))
	if n := f.sentSteps(); n != 2 {
		t.Errorf("%d steps were sent to prep workers, want 2", n)
	}
}

// The wait of a client that disconnects is removed, and its job can be queried later.
func TestHandler_clientDisconnectsDuringWait(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf(submitAndDispatch, "d dial batch", "d "+waitTerminated))
	f.WaitUntil(func() bool { return f.manager.Counts().Waits == 1 })
	f.Play("d close")
	f.WaitUntil(func() bool { return f.manager.Counts().Waits == 0 })
	f.Play(scriptOf("w send {stream}{started}{done}", "e dial batch", "e "+waitTerminated, `e expect "jobState":"DONE"`, `e expect "result":"fine"`))
}

// A booking that may have run is listed as undecided and can be settled once. Its owner sees the decision.
func TestAdminHandler_settleUndecided(t *testing.T) {
	f := newFixture(t, "")
	admin := func(method, path, body string) string {
		return "a " + request(adminToken, method, "/admin/v1/"+path, body)
	}
	f.Play(scriptOf(submitAndDispatch, "c "+waitTerminated, "w send {stream}{started}", "w close", `c expect "jobState":"FAILED"`,
		"a dial admin", admin("GET", "undecided", ""), `a expect "jobId":"{id}"`,
		admin("POST", "jobs/{id}/settle", `{"reason":"x"}`), `a expect "attribute":"ran"`,
		admin("POST", "jobs/{id}/settle", `{"ran":false}`), `a expect "attribute":"reason"`,
		admin("POST", "jobs/{id}/settle", `{"ran":false,"reason":"not in the books"}`), "a expect HTTP/1.1 204",
		admin("POST", "jobs/{id}/settle", `{"ran":true,"reason":"x"}`), "a expect HTTP/1.1 409",
		admin("GET", "undecided", ""), `a expect "jobs":[]`, "c "+getJob, `c expect "x_settled":{"ran":false,"reason":"not in the books"`))
}

// A job submitted on hold is released, runs, ends and is reaped, and a stream has each of its events.
func TestHandler_holdAndEventStream(t *testing.T) {
	f := newFixture(t, "")
	control := func(action string) string {
		return "c " + request("anna", "POST", jobsPath+"/{id}/control", `{"action":"`+action+`"}`)
	}
	f.Play(scriptOf("e dial batch", "e "+request("anna", "GET", "/drmaa/v2/sessions/s/events?stream=1", ""), "e expect Transfer-Encoding: chunked",
		`e expect "events":[]`, "c dial batch", "c "+submit("anna", `{"remoteCommand":"buchen","submitAsHold":true}`),
		`c keep id "jobId":"`, `c expect "jobState":"QUEUED_HELD"`, "wait 5ms", `e expect "jobId":"{id}","jobState":"QUEUED_HELD"`,
		control("hold"), "c expect InvalidStateException", control("release"), "c expect HTTP/1.1 202", "wait 5ms", `e expect "jobState":"QUEUED"`,
		"w accept workers", `w expect \r\n\r\n`, "w send {stream}{started}", "c "+waitStarted, "c expect RUNNING",
		"wait 5ms", `e expect "jobState":"RUNNING"`, control("hold"), "c expect HTTP/1.1 409", "w send {done}", "c "+waitTerminated, "c expect DONE",
		"wait 5ms", `e expect "jobState":"DONE"`, "wait 11s", `e expect "events":[]`,
		control("reap"), "c expect HTTP/1.1 204", "c "+getJob, "c expect HTTP/1.1 404"))
}

// A client stops reading its connection. Once the socket buffers are full, nothing more is written, and
// events beyond the bound of the tenant's stream are dropped. When the client reads again, it gets the
// number of events missed. Each event is either received or counted as missed.
func TestHandler_events_slowReaderSeesMissedCount(t *testing.T) {
	f := newFixtureWith(t, "", 1_000_000, 10)
	conn, err := net.Dial("tcp", f.batchAddress)
	must(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET /drmaa/v2/sessions/s/events?stream=1 HTTP/1.1\r\nAuthorization: Bearer anna\r\n\r\n")
	must(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	must(t, err)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	lines.Scan() // the first line; the client then stops reading
	published := 0
	for range 100 {
		f.Loop.Call(func() {
			template := &drmaa.JobTemplate{RemoteCommand: "buchen", SubmitAsHold: true}
			f.manager.SubmitBulk(f.manager.Tenant("anna"), "s", &drmaa.Bulk{Template: template, Begin: 1, End: 1000, Step: 1},
				func(_ *jobs.Array, e *drmaa.Error) {
					if e == nil {
						published += 1000
					}
				})
		})
		before := published
		f.WaitUntil(func() bool { return published > before })
		f.Advance(100 * time.Millisecond)
	}
	var received, missed atomic.Int64
	go func() {
		for lines.Scan() {
			var got drmaa.Events
			if json.Unmarshal(lines.Bytes(), &got) != nil {
				return
			}
			received.Add(int64(len(got.Events)))
			missed.Add(got.Missed)
		}
	}()
	for end := time.Now().Add(20 * time.Second); received.Load()+missed.Load() < int64(published) && time.Now().Before(end); {
		f.Advance(50 * time.Millisecond) // the node polls whether it can write again
	}
	if total := received.Load() + missed.Load(); total != int64(published) || missed.Load() == 0 || received.Load() == 0 {
		t.Errorf("of %[3]d events %[1]d were received and %[2]d counted as missed; want both above 0 and %[3]d in total", received.Load(), missed.Load(), published)
	}
}

// An event stream ends when the token with which it was opened is revoked.
func TestHandler_events_streamEndsWhenTokenIsRevoked(t *testing.T) {
	f := newFixture(t, "")
	f.Play(scriptOf("e dial batch", "e "+request("anna", "GET", "/drmaa/v2/sessions/s/events?stream=1", ""), `e expect "events":[]`,
		"a dial admin", "a "+request(adminToken, "DELETE", "/admin/v1/tenants/anna", ""), "a expect HTTP/1.1 204",
		"wait 11s", `e expect 0\r\n\r\n`))
}

// docs/BATCH.md names each attribute, capability and state that the API can return.
func TestHandler_answersAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/BATCH.md")
	must(t, err)
	var names []string
	for name := range drmaa.UnsupportedAttributes {
		names = append(names, name)
	}
	for name := range drmaa.Supports() {
		names = append(names, name)
	}
	for _, v := range []any{drmaa.JobTemplate{}, drmaa.Bulk{}, drmaa.Job{}, drmaa.Error{}, drmaa.Events{}} {
		for i := range reflect.TypeOf(v).NumField() {
			if name, _, _ := strings.Cut(reflect.TypeOf(v).Field(i).Tag.Get("json"), ","); name != "" && name != "-" {
				names = append(names, name)
			}
		}
	}
	for _, s := range drmaa.States() {
		if s != drmaa.Undetermined && s != drmaa.Suspended {
			names = append(names, string(s))
		}
	}
	for _, name := range names {
		if !strings.Contains(string(page), name) {
			t.Errorf("docs/BATCH.md does not mention %s", name)
		}
	}
}
