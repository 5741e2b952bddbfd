package drmaa

import (
	"encoding/json"
	"errors"
	"flag"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var (
	classes = map[string]Class{"pruefen": {0, false}, "buchen": {1, true}}
	now     = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func TestReadTemplate_errorsNameTheAttribute(t *testing.T) {
	for _, c := range []struct {
		body, attribute string
		status          int
	}{
		{`{"remoteCommand":"buchen","colour":1}`, "colour", 422},
		{`{"remoteCommand":"buchen","email":["a"]}`, "email", 422},
		{`{"remoteCommand":"buchen","jobEnvironment":{"A":"b"}}`, "jobEnvironment", 422},
		{`{"remoteCommand":"buchen","rerunnable":true}`, "rerunnable", 422},
		{`{}`, "remoteCommand", 400},
		{`{"remoteCommand":"x"}`, "remoteCommand", 400},
		{`{"remoteCommand":"buchen","jobCategory":"pruefen"}`, "jobCategory", 400},
		{`{"remoteCommand":"buchen","queueName":"pruefen"}`, "queueName", 400},
		{`{"remoteCommand":"buchen","minSlots":"many"}`, "minSlots", 400},
		{`{"remoteCommand":"buchen","minSlots":65}`, "minSlots", 400},
		{`{"remoteCommand":"buchen","minSlots":4,"maxSlots":2}`, "maxSlots", 400},
		{`{"remoteCommand":"buchen","priority":1001}`, "priority", 400},
		{`{"remoteCommand":"buchen","startTime":"tomorrow"}`, "startTime", 400},
		{`{"remoteCommand":"buchen","startTime":"2030-01-01T00:00:00Z"}`, "startTime", 400},
		{`{"remoteCommand":"buchen","deadlineTime":"2026-12-01T11:59:59Z"}`, "deadlineTime", 400},
		{`{"remoteCommand":"buchen","startTime":"2026-12-02T00:00:00Z","deadlineTime":"2026-12-01T13:00:00Z"}`, "deadlineTime", 400},
		{`{"remoteCommand":"buchen","deadline":5,"deadlineTime":"2026-12-01T13:00:00Z"}`, "deadlineTime", 400},
		{`{"remoteCommand":"buchen","deadline":5,"startTime":"2026-12-01T13:00:00Z"}`, "deadline", 400},
		{`{"remoteCommand":"buchen","deadline":1e9}`, "deadline", 400},
		{`{"remoteCommand":"buchen","x_costHint":-1}`, "x_costHint", 400},
		{`{"remoteCommand":"buchen","x_clientKey":"a\nb"}`, "x_clientKey", 400},
		{`{"remoteCommand":"buchen","jobName":"` + strings.Repeat("n", MaxNameBytes+1) + `"}`, "jobName", 400},
		{`{"remoteCommand":"buchen","args":["a",".."]}`, "args", 400},
		{`{"remoteCommand":"buchen","args":[]} 5`, "", 400},
		{`[]`, "", 400},
		{`{`, "", 400},
	} {
		_, e := ReadTemplate([]byte(c.body), classes, now)
		if e == nil || e.Attribute != c.attribute || e.Status != c.status || e.Message == "" {
			t.Errorf("reading template %s: got error %+v, want status %d, attribute %q and a message", c.body, e, c.status, c.attribute)
		}
	}
}

func TestJobTemplate(t *testing.T) {
	in, e := ReadTemplate([]byte(`{"jobCategory":"pruefen","args":["a b","p-$DRMAA_INDEX$"],"input":"x$DRMAA_INDEX$","rerunnable":true,
		"startTime":"2026-12-01T14:00:00+01:00","deadlineTime":"2026-12-01T14:00:00Z"}`), classes, now)
	if e != nil {
		t.Fatal(e)
	}
	if got := in.Target("7"); got != "/pruefen/a%20b/p-7" || in.Body("7") != "x7" || in.Body("") != "x$DRMAA_INDEX$" {
		t.Errorf("path for index 7 %q, body for index 7 %q, body for no index %q; want /pruefen/a%%20b/p-7, x7 and x$DRMAA_INDEX$",
			got, in.Body("7"), in.Body(""))
	}
	if in.StartMicros() != now.Add(time.Hour).UnixMicro() || in.DeadlineMicros(5) != now.Add(2*time.Hour).UnixMicro() || in.Slots() != 1 {
		t.Errorf("start %d, deadline %d, %v slots; want %d, %d and 1 slot", in.StartMicros(), in.DeadlineMicros(5), in.Slots(),
			now.Add(time.Hour).UnixMicro(), now.Add(2*time.Hour).UnixMicro())
	}
	if got := (&JobTemplate{Deadline: 2}).DeadlineMicros(5); got != 2_000_005 {
		t.Errorf("deadline of a job submitted at 5 µs with a deadline of 2 s: got %d µs, want 2000005 µs", got)
	}
	first, again := in.Digest(""), in.Digest("")
	if first == in.Digest("x") || first != again {
		t.Errorf("digests %s and %s of one template, %s with extra contents; want the first two equal, the third different",
			first, again, in.Digest("x"))
	}
}

// Any document is either rejected with status 400 or 422 or read as a template, and a template that was
// read is read again after encoding, with the same digest.
func FuzzReadTemplate(f *testing.F) {
	f.Add([]byte(`{"remoteCommand":"buchen","args":["a"],"minSlots":2}`))
	f.Add([]byte(`{"remoteCommand":"pruefen","startTime":"2026-12-01T14:00:00Z","x_costHint":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		in, e := ReadTemplate(body, classes, now)
		if e != nil {
			if e.Status != 400 && e.Status != 422 {
				t.Errorf("rejected with %+v, want status 400 or 422", e)
			}
			return
		}
		text, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		again, e := ReadTemplate(text, classes, now)
		if e != nil || again.Digest("") != in.Digest("") || !strings.HasPrefix(in.Target("1"), "/"+in.RemoteCommand) || strings.ContainsAny(in.Target("1"), " \r\n") {
			t.Errorf("reading the encoded template %s again: error %v, path %q", text, e, in.Target("1"))
		}
	})
}

func TestBulk_Validate(t *testing.T) {
	template := &JobTemplate{RemoteCommand: "buchen"}
	for _, c := range []struct {
		b         Bulk
		attribute string
		n         int
	}{{Bulk{Begin: 1, End: 10, Template: template}, "", 10}, {Bulk{Begin: 3, End: 12, Step: 4, Template: template}, "", 3},
		{Bulk{Begin: 1, End: 10_000, Template: template}, "", 10_000}, {Bulk{Begin: 1, End: 10_001, Template: template}, "endIndex", 0},
		{Bulk{Begin: 1, End: 1 << 40, Template: template}, "endIndex", 0}, {Bulk{Begin: 0, End: 1, Template: template}, "beginIndex", 0},
		{Bulk{Begin: 2, End: 1, Template: template}, "endIndex", 0}, {Bulk{Begin: 1, End: 1, Step: -1, Template: template}, "step", 0},
		{Bulk{Begin: 1, End: 1, MaxParallel: -1, Template: template}, "maxParallel", 0}, {Bulk{Begin: 1, End: 1}, "jobTemplate", 0}} {
		e := c.b.Validate()
		if c.attribute == "" && (e != nil || c.b.Count() != c.n) || c.attribute != "" && (e == nil || e.Attribute != c.attribute) {
			t.Errorf("validating %+v: got error %v, want attribute %q; if valid, want %d jobs", c.b, e, c.attribute, c.n)
		}
	}
	if array, index := SplitJobID(JobID("a1", 7)); array != "a1" || index != 7 {
		t.Errorf("splitting the ID of job 7 of array a1: got array %q, index %d", array, index)
	}
	if array, _ := SplitJobID("a1"); array != "" {
		t.Errorf("splitting the ID of a single job: got array %q, want none", array)
	}
}

// Encoding a filter as a query and reading that query returns the same filter.
func TestReadFilter_readsQuery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stamp := func(name string) int64 { return rapid.Int64Range(0, 4e15).Draw(t, name) }
		text := rapid.StringN(0, 20, -1)
		f := Filter{Category: text.Draw(t, "category"), Name: text.Draw(t, "name"), AccountingID: text.Draw(t, "account"), Array: text.Draw(t, "array"),
			SubmittedFrom: stamp("sf"), SubmittedTo: stamp("st"), FinishedFrom: stamp("ff"), FinishedTo: stamp("ft"),
			Limit: rapid.IntRange(1, MaxListed).Draw(t, "limit"), States: rapid.SliceOfN(rapid.SampledFrom(States()), 0, 4).Draw(t, "states")}
		if rapid.Bool().Draw(t, "paged") {
			f.Before = Cursor{rapid.Int64Range(1, 1<<60).Draw(t, "seq"), rapid.StringMatching(`[a-f0-9]{24}(\.[1-9][0-9]?)?`).Draw(t, "id")}
		}
		got, e := ReadFilter(f.Query())
		if len(f.States) == 0 {
			f.States = nil
		}
		if e != nil || !reflect.DeepEqual(got, f) {
			t.Fatalf("reading the query of %+v: got %+v, error %v", f, got, e)
		}
	})
}

// No transition leaves a final state, and each held state can be released.
func TestState_transitions(t *testing.T) {
	for _, from := range States() {
		for _, to := range States() {
			if from.Final() && from.CanTransitionTo(to) {
				t.Errorf("final state %s may become %s", from, to)
			}
		}
		if from.Waiting() && (from.Hold().Release() != from.Release() || !from.CanTransitionTo(Failed)) {
			t.Errorf("%s: hold gives %s, release gives %s, may become FAILED: %v; want hold and release to agree and FAILED to be allowed",
				from, from.Hold(), from.Release(), from.CanTransitionTo(Failed))
		}
	}
	if State("ASLEEP").Known() || !Requeued.Waiting() || Running.Waiting() || !RequeuedHeld.Held() {
		t.Errorf("ASLEEP known: %v, REQUEUED waiting: %v, RUNNING waiting: %v, REQUEUED_HELD held: %v; want false, true, false, true",
			State("ASLEEP").Known(), Requeued.Waiting(), Running.Waiting(), RequeuedHeld.Held())
	}
}

func TestError_Is_matchesByName(t *testing.T) {
	err := error(InvalidStateError("the job is %s", Done))
	if !errors.Is(err, &Error{Name: InvalidState}) || errors.Is(err, &Error{Name: Timeout}) || err.Error() != "InvalidStateException: the job is DONE" {
		t.Errorf("got %v; want it to match InvalidStateException only, with the text InvalidStateException: the job is DONE", err)
	}
}
