// Package conformance checks a server against the batch API's binding
// (docs/BATCH.md), clause by clause. Each case is named and has the text of what
// it demands, with its source: a clause of GFD.194 (DRMAA version 2) or of the
// binding.
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

// Config names the server and the tenant.
type Config struct {
	URL, Token string
	Only       string        // cases whose name contains it; empty: all
	Within     time.Duration // of one case
}

// Result is the outcome of a case.
type Result struct {
	Name   string  `json:"name"`
	Source string  `json:"source"`
	Demand string  `json:"demand"`
	Passed bool    `json:"passed"`
	Fault  string  `json:"fault,omitempty"`
	Millis float64 `json:"ms"`
}

// Report is the outcome of a run.
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

// run is one case while it runs.
type run struct {
	ctx     context.Context
	config  Config
	client  *client.Client
	session *client.Session
	class   string // one of the server's
	once    string // one whose jobs must not run twice; empty: none
}

// fault is the panic value with which a case fails.
type fault struct{ text string }

func (t *run) fail(format string, a ...any) { panic(fault{fmt.Sprintf(format, a...)}) }

func (t *run) must(err error) {
	if err != nil {
		t.fail("%v", err)
	}
}

// errNoClass is returned when there is no class to submit jobs of.
var errNoClass = errors.New("the server names no class (jobCategories)")

// Run runs the cases, each in a session of its own, which it destroys.
func Run(ctx context.Context, config Config, each func(Result)) (*Report, error) {
	if config.Within == 0 {
		config.Within = 30 * time.Second
	}
	cl, err := client.New(config.URL, config.Token, client.WithMaxAttempts(3))
	if err != nil {
		return nil, err
	}
	first := run{config: config, client: cl}
	m, err := cl.Manager(ctx)
	if err != nil {
		return nil, fmt.Errorf("the server does not answer as this binding's: %w", err)
	}
	if len(m.Categories) == 0 {
		return nil, errNoClass
	}
	first.class = m.Categories[0]
	queues, err := cl.Queues(ctx)
	if err != nil {
		return nil, err
	}
	for _, q := range queues {
		if q.NonIdempotent {
			first.once = q.Name
		} else {
			first.class = q.Name
		}
	}
	report := &Report{Server: m.DrmsName + " " + m.DrmsVersion}
	for _, k := range cases() {
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		if !strings.Contains(k.name, config.Only) {
			continue
		}
		r := runCase(ctx, first, k)
		if r.Passed {
			report.Passed++
		} else {
			report.Failed++
		}
		report.Results = append(report.Results, r)
		each(r)
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
		case fault:
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
		_ = s.Destroy(cleanup) // a case may have done so itself
	}()
	testCase.run(&t)
	return r
}

// answer is a response without interpretation.
type answer struct {
	status int
	header http.Header
	body   []byte
	fault  drmaa.Error
}

// call makes one call without the client's retries.
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
			t.fail("%s %s: status %d without an error of the binding's: %q", method, path, a.status, text)
		}
	}
	return a
}

// wantError fails unless the answer is the given error; attribute may be empty.
func (t *run) wantError(a answer, status int, name drmaa.ErrorName, attribute string) {
	switch {
	case a.status != status || a.fault.Name != name:
		t.fail("status %d %s, not %d %s: %s", a.status, a.fault.Name, status, name, a.body)
	case attribute != "" && a.fault.Attribute != attribute:
		t.fail("the error names the attribute %q, not %q", a.fault.Attribute, attribute)
	}
}

// wantClientError fails unless the client returns the given error.
func (t *run) wantClientError(err error, name drmaa.ErrorName) {
	if !errors.Is(err, &drmaa.Error{Name: name}) {
		t.fail("%v, not %s", err, name)
	}
}

// path returns a path below the case's session.
func (t *run) path(rest string) string { return "/sessions/" + t.session.Name + rest }

// submitOnHold submits a job that is on hold until its release.
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
		t.fail("job %s is %s (%s), not %v", id, j.State, j.SubState, want)
	}
	return j
}

// template returns a job template with one more attribute.
func (t *run) template(attribute, value string) string {
	return fmt.Sprintf(`{"remoteCommand":%q,"submitAsHold":true,%q:%s}`, t.class, attribute, value)
}

// decode decodes an answer that must not be an error.
func (t *run) decode(a answer, into any) {
	if a.status >= 300 {
		t.fail("status %d: %s", a.status, a.body)
	}
	t.must(json.Unmarshal(a.body, into))
}
