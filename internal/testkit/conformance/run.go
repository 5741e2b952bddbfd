// Package conformance is a conformance test suite for servers of the batch API. Each case has a name, the requirement that
// it checks, and the source of the requirement: a clause of GFD.194 (DRMAA version 2) or of its HTTP binding
// (docs/BATCH.md).
package conformance

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"ospreybend/drmaa"
	"ospreybend/drmaa/client"
)

// Config is the server under test, the tenant's token and the selection of cases.
type Config struct {
	URL, Token string
	Only       string        // runs only the cases whose names contain it; empty: all
	Within     time.Duration // time limit of one case; 0: 30 s
}

// Result is the outcome of one case.
type Result struct {
	Name   string  `json:"name"`
	Source string  `json:"source"`
	Demand string  `json:"demand"`
	Passed bool    `json:"passed"`
	Fault  string  `json:"fault,omitempty"`
	Millis float64 `json:"ms"`
}

// Report is the outcome of a run of the suite.
type Report struct {
	Server  string   `json:"server"`
	Passed  int      `json:"passed"`
	Failed  int      `json:"failed"`
	Results []Result `json:"results"`
}

type testCase struct {
	name, source, demand string
	run                  func(*run)
}

// run is the state of one running case.
type run struct {
	ctx                context.Context
	config             Config
	client             *client.Client
	session            *client.Session
	class              string // of the jobs that cases submit
	nonIdempotentClass string // a class whose jobs must not run twice; empty: the server has none
}

// failure is the panic value that ends a failed case.
type failure struct{ text string }

func (t *run) fail(format string, a ...any) { panic(failure{fmt.Sprintf(format, a...)}) }

func (t *run) must(err error) {
	if err != nil {
		t.fail("%v", err)
	}
}

// errNoClass is returned when the server offers no class for the jobs of the cases.
var errNoClass = errors.New("the server lists no class in jobCategories")

// Run runs the selected cases, each in a session of its own, which is destroyed afterwards. It calls onResult after each.
func Run(ctx context.Context, config Config, onResult func(Result)) (*Report, error) {
	if config.Within == 0 {
		config.Within = 30 * time.Second
	}
	cl, err := client.New(config.URL, config.Token, client.WithMaxAttempts(3))
	if err != nil {
		return nil, err
	}
	template := run{config: config, client: cl}
	m, err := cl.Manager(ctx)
	if err != nil {
		return nil, fmt.Errorf("the session manager of %s does not answer as the binding requires: %w", config.URL, err)
	}
	if len(m.Categories) == 0 {
		return nil, errNoClass
	}
	template.class = m.Categories[0]
	queues, err := cl.Queues(ctx)
	if err != nil {
		return nil, err
	}
	for _, q := range queues {
		if q.NonIdempotent {
			template.nonIdempotentClass = q.Name
		} else {
			template.class = q.Name
		}
	}
	report := &Report{Server: m.DrmsName + " " + m.DrmsVersion}
	for _, c := range cases() {
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		if !strings.Contains(c.name, config.Only) {
			continue
		}
		r := runCase(ctx, template, c)
		if r.Passed {
			report.Passed++
		} else {
			report.Failed++
		}
		report.Results = append(report.Results, r)
		onResult(r)
	}
	return report, nil
}

func runCase(ctx context.Context, t run, testCase testCase) (r Result) {
	r = Result{Name: testCase.name, Source: testCase.source, Demand: testCase.demand}
	ctx, cancel := context.WithTimeout(ctx, t.config.Within)
	defer cancel()
	t.ctx = ctx
	started := time.Now()
	defer func() {
		r.Millis = float64(time.Since(started).Microseconds()) / 1000
		switch v := recover().(type) {
		case nil:
			r.Passed = true
		case failure:
			r.Fault = v.text
		default:
			panic(v)
		}
	}()
	s, err := t.client.CreateSession(ctx, "conform-"+strings.ToLower(rand.Text()[:10]))
	t.must(err)
	t.session = s
	defer func() {
		cleanup, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer cancel()
		_ = s.Destroy(cleanup) // the case may have destroyed the session itself
	}()
	testCase.run(&t)
	return r
}

// answer is an HTTP response, with its error decoded if it has one.
type answer struct {
	status int
	header http.Header
	body   []byte
	fault  drmaa.Error
}

// call makes one call with the tenant's token, without the retries of the client.
func (t *run) call(method, path, body string) answer {
	return t.callAs(t.config.Token, method, path, body)
}

func (t *run) callAs(token, method, path, body string) answer {
	r, err := http.NewRequestWithContext(t.ctx, method, t.config.URL+"/drmaa/v2"+path, bytes.NewReader([]byte(body)))
	t.must(err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	got, err := http.DefaultClient.Do(r)
	t.must(err)
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	t.must(err)
	a := answer{status: got.StatusCode, header: got.Header, body: text}
	if a.status >= 400 {
		if err := json.Unmarshal(text, &a.fault); err != nil || a.fault.Name == "" || a.fault.Message == "" {
			t.fail("%s %s: the body of status %d is not an error of the binding: %q", method, path, a.status, text)
		}
	}
	return a
}

// wantError fails the case unless the answer is the given error. An empty attribute matches any.
func (t *run) wantError(a answer, status int, name drmaa.ErrorName, attribute string) {
	switch {
	case a.status != status || a.fault.Name != name:
		t.fail("got status %d %s, want %d %s: %s", a.status, a.fault.Name, status, name, a.body)
	case attribute != "" && a.fault.Attribute != attribute:
		t.fail("the error has the attribute %q, want %q", a.fault.Attribute, attribute)
	}
}

// wantClientError fails the case unless the client returned the given error.
func (t *run) wantClientError(err error, name drmaa.ErrorName) {
	if !errors.Is(err, &drmaa.Error{Name: name}) {
		t.fail("got the error %v, want %s", err, name)
	}
}

// path returns the path of a resource in the session of the case.
func (t *run) path(rest string) string { return "/sessions/" + t.session.Name + rest }

// submitOnHold submits a job that is held until its release.
func (t *run) submitOnHold() *drmaa.Job { return t.submit(drmaa.JobTemplate{SubmitAsHold: true}) }

func (t *run) submit(template drmaa.JobTemplate) *drmaa.Job {
	if template.RemoteCommand == "" {
		template.RemoteCommand = t.class
	}
	j, err := t.session.Run(t.ctx, template)
	t.must(err)
	return j
}

func (t *run) submitBulk(n, parallel int) *drmaa.Array {
	a, err := t.session.RunBulk(t.ctx, drmaa.Bulk{Template: &drmaa.JobTemplate{RemoteCommand: t.class, SubmitAsHold: true},
		Begin: 1, End: n, MaxParallel: parallel})
	t.must(err)
	return a
}

func (t *run) wantState(id string, want ...drmaa.State) *drmaa.Job {
	j, err := t.session.Job(t.ctx, id)
	t.must(err)
	if !slices.Contains(want, j.State) {
		t.fail("job %s is %s (%s), want one of %v", id, j.State, j.SubState, want)
	}
	return j
}

// template returns the JSON of a job template on hold with one more attribute, whose value is given as JSON.
func (t *run) template(attribute, value string) string {
	return fmt.Sprintf(`{"remoteCommand":%q,"submitAsHold":true,%q:%s}`, t.class, attribute, value)
}

// decode decodes the body of an answer and fails the case if that is an error.
func (t *run) decode(a answer, into any) {
	if a.status >= 300 {
		t.fail("got status %d, want below 300: %s", a.status, a.body)
	}
	t.must(json.Unmarshal(a.body, into))
}
