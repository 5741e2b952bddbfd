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

const booking = `{"remoteCommand":"buchen","args":["teil 1"],"input":"order","x_clientKey":"k1"}`

func join(steps ...string) string { return strings.Join(steps, "\n") }

var (
	status    = request("anna", "GET", jobsPath+"/{id}", "")
	ended     = request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":30}`)
	begun     = request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":30,"for":"started"}`)
	terminate = request("anna", "POST", jobsPath+"/{id}/control", `{"action":"terminate"}`)
)

// sendBooking submits a booking of anna's, records its ID and has it sent to a prep worker.
var sendBooking = join("c dial batch", "c "+submit("anna", booking), "c expect HTTP/1.1 202",
	`c keep id "jobId":"`, "w accept workers", `w expect POST /buchen/teil%201 HTTP/1.1\r\n`, `w expect \r\n\r\norder`)

func TestFront_submitToResult(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking,
		"c "+status, `c expect "jobState":"QUEUED"`, `c expect "x_mayHaveRun":true`,
		"c "+begun, "w send {stream}{started}", `c expect "jobState":"RUNNING"`,
		"c "+ended, "w send {done}", `c expect "jobState":"DONE"`, `c expect "result":"fine"`,
		"c "+request("anna", "GET", jobsPath, ""), `c expect "jobs":[{"jobId":"{id}"`, `c expect "result":"fine"`))
}

// A booking submitted twice under one client key runs once, and both callers
// see the same job; other content under that key is an error.
func TestFront_submitTwiceUnderOneKey(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join("a dial batch", "b dial batch", "a "+submit("anna", booking), "b "+submit("anna", booking),
		`a keep id "jobId":"`, `b expect "jobId":"{id}"`,
		"w accept workers", "w expect order", "w send {stream}{done}",
		"a "+ended, `a expect "jobState":"DONE"`,
		"b "+submit("anna", booking), `b expect "jobId":"{id}"`, `b expect "jobState":"DONE"`,
		"b "+submit("anna", strings.Replace(booking, "order", "other", 1)), "b expect HTTP/1.1 409",
		`b expect "error":"InvalidArgumentException"`))
	if n := w.steps(); n != 1 {
		t.Errorf("%d route steps", n)
	}
	// The key is the tenant's own.
	w.Play(join("c dial batch", "c "+submit("ben", booking), "c expect HTTP/1.1 202", "v accept workers", "v expect order", "v send {stream}{done}"))
}

// A key stays taken when its job is not in memory any more.
func TestFront_submitAgainAfterTheEnd(t *testing.T) {
	w := newFixtureWith(t, "", 2, 0)
	w.Play(join(sendBooking, "w send {stream}{done}", "c "+ended, `c expect "jobState":"DONE"`))
	w.Play(join("c "+submit("anna", booking), `c expect "jobId":"{id}"`, `c expect "result":"fine"`,
		"c "+submit("anna", strings.Replace(booking, "order", "other", 1)), "c expect HTTP/1.1 409",
		"c "+status, `c expect "result":"fine"`, "c "+terminate, "c expect InvalidStateException"))
	if n := w.steps(); n != 1 {
		t.Errorf("%d route steps", n)
	}
}

// Terminated while the job starts: the start, and even the result, arrive after it. There is one
// final outcome, and it does not change.
func TestFront_terminateWhileStarting(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "c "+terminate, "c expect HTTP/1.1 202", "w send {stream}{started}{done}",
		"c "+ended, `c expect "jobState":"FAILED"`, `c expect "jobSubState":"terminated"`, `c expect "x_mayHaveRun":true`,
		"w closed", "c "+terminate, "c expect HTTP/1.1 409", "c expect InvalidStateException",
		"c "+status, `c expect "jobState":"FAILED"`))
	// If the result arrives first, it is the outcome.
	w.Play(join(`c `+submit("anna", `{"remoteCommand":"buchen"}`), `c keep id "jobId":"`, "w accept workers",
		"w expect Req-Id: {id}-1", "w send {stream}{started}{done}", "c "+ended, `c expect "jobState":"DONE"`,
		"c "+terminate, "c expect HTTP/1.1 409", "c "+status, `c expect "jobState":"DONE"`))
}

// Terminated before it was sent: it never runs.
func TestFront_terminateBeforeRecorded(t *testing.T) {
	w := newFixture(t, "")
	w.Loop.Call(func() {
		m := w.service
		template, _ := drmaa.ReadTemplate([]byte(booking), m.Classes(), m.Now())
		m.Submit(m.Tenant("anna"), "s", template, func(j *jobs.Job, e *drmaa.Error) {
			if e == nil {
				w.Variables["id"] = j.ID
			}
		})
		for _, id := range m.IDs() {
			if _, e := m.TerminateID(id); e != nil {
				t.Error(e)
			}
		}
	})
	w.WaitUntil(func() bool { return w.Variables["id"] != "" })
	w.Play(join("c dial batch", "c "+ended, `c expect "jobState":"FAILED"`, `c expect "x_mayHaveRun":false`))
	if n := w.steps(); n != 0 {
		t.Errorf("%d route steps", n)
	}
}

// The worker vanishes: until that is known the job keeps its state, then it has failed and may
// have run, and a booking is not run again.
func TestFront_workerVanishes(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "c "+begun, "w send {stream}{started}", "c expect RUNNING", "wait 1s",
		"c "+status, "c expect RUNNING", "c "+ended, "w close",
		`c expect "jobState":"FAILED"`, "c expect not run again", `c expect "x_mayHaveRun":true`,
		"wait 10s", "c "+status, "c expect FAILED"))
	if n := w.steps(); n != 1 {
		t.Errorf("%d route steps", n)
	}
	// An idempotent job is retried.
	w.Play(join("c "+submit("anna", `{"remoteCommand":"pruefen"}`), `c keep id "jobId":"`, "w accept workers",
		"w send {stream}{started}", "c "+begun, "c expect RUNNING", "w close", "v accept workers", "v expect Req-Id: {id}-1",
		"c "+status, "c expect REQUEUED", "v send {stream}{done}", "c "+ended, "c expect DONE"))
}

// A worker that is silent to the end: the job's deadline ends it.
func TestFront_deadline(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "c "+ended, "wait 4s", "c expect FAILED", `c expect "x_mayHaveRun":true`, "w closed"))
}

// The wait's own timeout is not the job's deadline.
func TestFront_waitTimesOut(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "c "+request("anna", "POST", jobsPath+"/{id}/wait", `{"timeout":0.5}`)))
	w.WaitUntil(func() bool { return w.service.Counts().Waits > 0 })
	w.Play(join("wait 500ms", "c expect HTTP/1.1 504", `c expect "error":"TimeoutException"`, `c expect "jobState":"QUEUED"`,
		"w send {stream}{done}", "c "+ended, "c expect DONE"))
}

// No prep worker accepts the job: the core refuses it and it is retried as advised, until its
// deadline. It never ran.
func TestFront_rejectedIsRetriedUntilDeadline(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join("c dial batch", "c "+submit("anna", strings.Replace(booking, "{", `{"deadline":6,`, 1)), `c keep id "jobId":"`))
	for i := range 2 {
		name := []string{"w", "v"}[i]
		w.Play(join(name+" accept workers", name+" expect Req-Id: {id}-1", name+" send {stream}{returned}"))
	}
	w.WaitUntil(func() bool { return w.core.Counts().Outcomes[balance.Full] == 2 })
	w.Loop.Call(func() { w.core.PoolChanged(balance.ListUpdate{Kind: balance.ListFull}) })
	w.Play(join("c "+status, `c expect "jobState":"QUEUED"`, `c expect "x_mayHaveRun":false`, "wait 2500ms"))
	w.Play(join("c "+status, `c expect "jobState":"REQUEUED"`, `c expect "x_mayHaveRun":false`, "c "+ended, "wait 6s",
		`c expect "jobState":"FAILED"`, "c expect it never ran"))
}

func TestFront_rejectedCalls(t *testing.T) {
	w := newFixture(t, "")
	w.Play("c dial batch")
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
		w.Play(join("c "+c[0], "c expect HTTP/1.1 "+c[1], "c expect "+c[2]))
	}
	// Another tenant's job is unknown.
	w.Play(join(sendBooking, "c "+request("ben", "GET", jobsPath+"/{id}", ""), "c expect HTTP/1.1 404", "c expect no such job",
		"c "+request("ben", "POST", jobsPath+"/{id}/control", `{"action":"terminate"}`), "c expect HTTP/1.1 404",
		"c "+request("anna", "POST", jobsPath+"/{id}/control", `{"action":"suspend"}`), "c expect UnsupportedOperationException"))
	// Over the quota, and with no prep worker: rejected with Retry-After.
	w.Play(join("c "+submit("anna", `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 202",
		"c "+submit("anna", `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 429", "c expect Retry-After: 1.000", "c expect TryLaterException"))
}

// After a restart a non-idempotent job that may have run has failed; idempotent ones, and those
// never sent, run.
func TestFront_restart(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "c "+submit("anna", `{"remoteCommand":"pruefen","deadline":60,"x_clientKey":"k2"}`), `c keep id2 "jobId":"`))
	ctx := context.Background()
	var now int64
	w.Loop.Call(func() { now = w.service.Now().UnixMicro() })
	w.stopStore()
	store := openStore(t, w.file)
	unsent := &jobs.Record{ID: "never-sent", Tenant: "ben", Session: "s", State: drmaa.Queued, Seq: 1,
		Template: &drmaa.JobTemplate{RemoteCommand: "buchen"}, DeadlineAt: now + 60e6}
	if _, err := store.Insert(ctx, []*jobs.Submission{{Jobs: []*jobs.Record{unsent}}}); err != nil {
		t.Fatal(err)
	}
	must(t, store.Close())
	again := newFixture(t, w.file)
	again.Variables["id"], again.Variables["id2"] = w.Variables["id"], w.Variables["id2"]
	again.Play(join("c dial batch", "c "+ended, "c expect FAILED", "c expect not run again", `c expect "x_mayHaveRun":true`,
		"a accept workers", "b accept workers", `a expect \r\n\r\n`, `b expect \r\n\r\n`, "a send {stream}{done}", "b send {stream}{done}",
		"c "+strings.ReplaceAll(ended, "{id}", "{id2}"), "c expect DONE",
		"c "+request("ben", "POST", jobsPath+"/never-sent/wait", `{"timeout":30}`), "c expect DONE",
		"c "+submit("anna", booking), `c expect "jobId":"{id}"`))
	if n := again.steps(); n != 2 {
		t.Errorf("%d route steps after the restart", n)
	}
}

func TestAdmin_tenants(t *testing.T) {
	w := newFixture(t, "")
	admin := func(method, path, body string) string {
		return "a " + request(adminToken, method, "/admin/v1/"+path, body)
	}
	w.Play(join("a dial admin", "c dial batch",
		"a "+request("anna", "GET", "/admin/v1/tenants", ""), "a expect HTTP/1.1 401",
		admin("POST", "tenants", `{"name":"carl","maxUnfinishedJobs":1}`), "a expect HTTP/1.1 201", `a keep token "token":"`,
		admin("POST", "tenants", `{"name":"carl"}`), "a expect HTTP/1.1 409",
		"c "+request("{token}", "POST", "/drmaa/v2/sessions", `{"name":"s"}`), "c expect HTTP/1.1 201"))
	token := w.Variables["token"]
	w.Play(join("c "+submit(token, booking), "c expect HTTP/1.1 202", `c keep id "jobId":"`, "w accept workers", "w expect order",
		"c "+submit(token, `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 429",
		admin("PUT", "tenants/carl", `{"maxUnfinishedJobs":2}`), `a expect "maxUnfinishedJobs":2,"unfinishedJobs":1`,
		"c "+submit(token, `{"remoteCommand":"pruefen"}`), "c expect HTTP/1.1 202",
		admin("GET", "tenants/carl/jobs", ""), "a expect {id}", admin("GET", "jobs", ""), `a expect "jobOwner":"carl"`,
		admin("POST", "jobs/{id}/terminate", ""), "a expect HTTP/1.1 202", "w closed",
		admin("POST", "tenants/carl/token", ""), `a keep new "token":"`,
		"c "+submit(token, booking), "c expect HTTP/1.1 401"))
	w.Play(join("c "+submit(w.Variables["new"], booking), `c expect "jobId":"{id}"`,
		admin("DELETE", "tenants/carl", ""), "a expect HTTP/1.1 204",
		"c "+submit(w.Variables["new"], booking), "c expect HTTP/1.1 401",
		admin("GET", "tenants/nobody/jobs", ""), "a expect HTTP/1.1 404"))
	// Tokens are stored as hashes alone.
	w.stopStore()
	store := openStore(t, w.file)
	defer store.Close()
	tenants, err := store.Tenants(context.Background())
	must(t, err)
	for _, tenant := range tenants {
		if tenant.TokenHash == tenant.Name || strings.Contains(tenant.TokenHash, token) {
			t.Errorf("tenant %s: the store has the token", tenant.Name)
		}
	}
}

const (
	arraysPath = "/drmaa/v2/sessions/s/arrays"
	bulk       = `{"jobTemplate":{"remoteCommand":"buchen","args":["teil-$DRMAA_INDEX$"],"x_clientKey":"b1"},"beginIndex":1,"endIndex":2}`
)

// The same bulk sent at once over two connections is one array, and each of its
// jobs runs once.
func TestFront_sameBulkTwiceAtOnce(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join("a dial batch", "b dial batch", "a "+request("anna", "POST", arraysPath, bulk), "b "+request("anna", "POST", arraysPath, bulk),
		"a expect HTTP/1.1 202", `a keep id "jobArrayId":"`, "b expect HTTP/1.1 202", `b expect "jobArrayId":"{id}"`,
		"w accept workers", "v accept workers", "w expect POST /buchen/teil-", "v expect POST /buchen/teil-", `w expect \r\n\r\n`, `v expect \r\n\r\n`,
		"w send {stream}{done}", "v send {stream}{done}",
		"a "+request("anna", "POST", arraysPath+"/{id}/wait", `{"for":"allTerminated","timeout":30}`), `a expect "x_states":{"DONE":2}`,
		"b "+request("anna", "GET", jobsPath+"/{id}.2", ""), `b expect "x_arrayIndex":2`))
	if n := w.steps(); n != 2 {
		t.Errorf("%d route steps", n)
	}
}

// The wait of a client that disconnects is removed, and the client finds its job later.
func TestFront_clientVanishesInAWait(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join(sendBooking, "d dial batch", "d "+ended))
	w.WaitUntil(func() bool { return w.service.Counts().Waits == 1 })
	w.Play("d close")
	w.WaitUntil(func() bool { return w.service.Counts().Waits == 0 })
	w.Play(join("w send {stream}{started}{done}", "e dial batch", "e "+ended, `e expect "jobState":"DONE"`, `e expect "result":"fine"`))
}

// A lost booking is listed for the administration, settled once, and its owner sees that.
func TestAdmin_settleUndecided(t *testing.T) {
	w := newFixture(t, "")
	admin := func(method, path, body string) string {
		return "a " + request(adminToken, method, "/admin/v1/"+path, body)
	}
	w.Play(join(sendBooking, "c "+ended, "w send {stream}{started}", "w close", `c expect "jobState":"FAILED"`,
		"a dial admin", admin("GET", "undecided", ""), `a expect "jobId":"{id}"`,
		admin("POST", "jobs/{id}/settle", `{"reason":"x"}`), `a expect "attribute":"ran"`,
		admin("POST", "jobs/{id}/settle", `{"ran":false}`), `a expect "attribute":"reason"`,
		admin("POST", "jobs/{id}/settle", `{"ran":false,"reason":"not in the books"}`), "a expect HTTP/1.1 204",
		admin("POST", "jobs/{id}/settle", `{"ran":true,"reason":"x"}`), "a expect HTTP/1.1 409",
		admin("GET", "undecided", ""), `a expect "jobs":[]`, "c "+status, `c expect "x_settled":{"ran":false,"reason":"not in the books"`))
}

// The life of a held job over HTTP, with its events on a stream.
func TestFront_holdAndEventStream(t *testing.T) {
	w := newFixture(t, "")
	control := func(action string) string {
		return "c " + request("anna", "POST", jobsPath+"/{id}/control", `{"action":"`+action+`"}`)
	}
	w.Play(join("e dial batch", "e "+request("anna", "GET", "/drmaa/v2/sessions/s/events?stream=1", ""), "e expect Transfer-Encoding: chunked",
		`e expect "events":[]`, "c dial batch", "c "+submit("anna", `{"remoteCommand":"buchen","submitAsHold":true}`),
		`c keep id "jobId":"`, `c expect "jobState":"QUEUED_HELD"`, "wait 5ms", `e expect "jobId":"{id}","jobState":"QUEUED_HELD"`,
		control("hold"), "c expect InvalidStateException", control("release"), "c expect HTTP/1.1 202", "wait 5ms", `e expect "jobState":"QUEUED"`,
		"w accept workers", `w expect \r\n\r\n`, "w send {stream}{started}", "c "+begun, "c expect RUNNING",
		"wait 5ms", `e expect "jobState":"RUNNING"`, control("hold"), "c expect HTTP/1.1 409", "w send {done}", "c "+ended, "c expect DONE",
		"wait 5ms", `e expect "jobState":"DONE"`, "wait 11s", `e expect "events":[]`,
		control("reap"), "c expect HTTP/1.1 204", "c "+status, "c expect HTTP/1.1 404"))
}

// A client that does not read its connection: once the socket buffers are full nothing more is
// written, events that it has not fetched are dropped from the bounded stream, and when it reads
// again it gets the number missed. Each event is received or counted.
func TestFront_events_slowReaderSeesMissedCount(t *testing.T) {
	w := newFixtureWith(t, "", 1_000_000, 10)
	conn, err := net.Dial("tcp", w.batchAddress)
	must(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET /drmaa/v2/sessions/s/events?stream=1 HTTP/1.1\r\nAuthorization: Bearer anna\r\n\r\n")
	must(t, err)
	in := bufio.NewReader(conn)
	answer, err := http.ReadResponse(in, nil)
	must(t, err)
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, 1<<20)
	lines.Scan() // the first line; from here on it reads nothing
	published := 0
	for range 100 {
		w.Loop.Call(func() {
			template := &drmaa.JobTemplate{RemoteCommand: "buchen", SubmitAsHold: true}
			w.service.SubmitBulk(w.service.Tenant("anna"), "s", &drmaa.Bulk{Template: template, Begin: 1, End: 1000, Step: 1},
				func(_ *jobs.Array, e *drmaa.Error) {
					if e == nil {
						published += 1000
					}
				})
		})
		before := published
		w.WaitUntil(func() bool { return published > before })
		w.Advance(100 * time.Millisecond)
	}
	var came, missed atomic.Int64
	go func() {
		for lines.Scan() {
			var got drmaa.Events
			if json.Unmarshal(lines.Bytes(), &got) != nil {
				return
			}
			came.Add(int64(len(got.Events)))
			missed.Add(got.Missed)
		}
	}()
	for end := time.Now().Add(20 * time.Second); came.Load()+missed.Load() < int64(published) && time.Now().Before(end); {
		w.Advance(50 * time.Millisecond) // the node looks again at what it could not send
	}
	if total := came.Load() + missed.Load(); total != int64(published) || missed.Load() == 0 || came.Load() == 0 {
		t.Errorf("%d events came and %d are told as missed, of %d", came.Load(), missed.Load(), published)
	}
}

// A stream ends when the tenant's token is replaced.
func TestFront_events_streamEndsWithTheToken(t *testing.T) {
	w := newFixture(t, "")
	w.Play(join("e dial batch", "e "+request("anna", "GET", "/drmaa/v2/sessions/s/events?stream=1", ""), `e expect "events":[]`,
		"a dial admin", "a "+request(adminToken, "DELETE", "/admin/v1/tenants/anna", ""), "a expect HTTP/1.1 204",
		"wait 11s", `e expect 0\r\n\r\n`))
}

// Each attribute and method is documented.
func TestFront_answersAreDocumented(t *testing.T) {
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
			t.Errorf("docs/BATCH.md says nothing of %s", name)
		}
	}
}
