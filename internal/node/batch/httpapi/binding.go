// Package httpapi binds the batch front to HTTP/1.1 and JSON, as docs/BATCH.md
// describes it, and has its administration. What calls mean package jobs
// decides; here they are read, handed on and answered.
package httpapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/batch/jobs"
	"ospreybend/internal/node/protocol"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/timerqueue"
)

const (
	root     = "/drmaa/v2"
	maxWait  = 10 * time.Minute
	jsonType = "Content-Type: application/json\r\n"
)

var (
	unknownPath = &drmaa.Error{Status: 404, Name: drmaa.UnsupportedOperation, Message: "no such operation"}
	denied      = &drmaa.Error{Status: 401, Name: drmaa.Denied, Message: "no valid token"}
)

// Front answers the calls of batch clients.
type Front struct {
	jobs    *jobs.Manager
	clock   routing.Clock
	timers  *timerqueue.Queue
	version string
}

// New makes a front. version is the program's.
func New(manager *jobs.Manager, clock routing.Clock, timers *timerqueue.Queue, version string) *Front {
	return &Front{jobs: manager, clock: clock, timers: timers, version: version}
}

// apiCall is one call with what was read of it.
type apiCall struct {
	*protocol.Call
	tenant *jobs.TenantState
	hash   string // of its token
	method string
	path   []string // what follows the root
	query  string
}

// Serve answers one call of the binding.
func (f *Front) Serve(in *protocol.Call) {
	call := &apiCall{Call: in, method: string(in.Method)}
	// Tokens are compared by their hashes alone, so that timing tells nothing of one.
	if token, ok := bearer(in); ok {
		call.hash = TokenHash(token)
		call.tenant = f.jobs.ByToken(call.hash)
	}
	if call.tenant == nil {
		replyError(call, denied)
		return
	}
	ok := false
	if call.path, call.query, ok = pathOf(in, root); !ok {
		replyError(call, unknownPath)
		return
	}
	serve := f.route(call)
	if serve == nil {
		replyError(call, unknownPath)
		return
	}
	serve(call)
}

// route finds what answers a call. A '*' stands for one part of the path.
func (f *Front) route(call *apiCall) func(*apiCall) {
	shape := slices.Clone(call.path)
	for _, at := range []int{1, 3} {
		if at < len(shape) && shape[0] == "sessions" {
			shape[at] = "*"
		}
	}
	switch call.method + " " + strings.Join(shape, "/") {
	case "GET ":
		return f.manager
	case "GET sessions":
		return f.sessions
	case "POST sessions":
		return f.newSession
	case "GET sessions/*":
		return f.session
	case "DELETE sessions/*":
		return func(call *apiCall) { f.setSession(call, jobs.SessionClosed) }
	case "POST sessions/*/control":
		return f.controlSession
	case "POST sessions/*/wait":
		return f.waitAny
	case "GET sessions/*/events":
		return f.events
	case "GET sessions/*/jobs":
		return f.listJobs
	case "POST sessions/*/jobs":
		return f.submit
	case "GET sessions/*/jobs/*":
		return f.job
	case "POST sessions/*/jobs/*/wait":
		return f.wait
	case "POST sessions/*/jobs/*/control":
		return f.control
	case "POST sessions/*/arrays":
		return f.submitBulk
	case "GET sessions/*/arrays/*":
		return f.array
	case "POST sessions/*/arrays/*/wait":
		return f.waitArray
	case "POST sessions/*/arrays/*/control":
		return f.controlArray
	case "GET monitoring/jobs":
		return f.listJobs
	case "GET monitoring/queues":
		return func(call *apiCall) { reply(call, 200, map[string]any{"queues": f.jobs.Queues(call.tenant)}) }
	case "GET monitoring/machines":
		return func(call *apiCall) { reply(call, 200, map[string]any{"machines": f.jobs.Machines(call.tenant)}) }
	case "GET monitoring/reservations", "GET reservations", "POST reservations":
		return func(call *apiCall) {
			replyError(call, drmaa.UnsupportedOperationError("there are no advance reservations"))
		}
	}
	return nil
}

// TokenHash is how tokens are stored.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func bearer(call *protocol.Call) (string, bool) {
	kind, token, _ := strings.Cut(string(call.Header("Authorization")), " ")
	return token, strings.EqualFold(kind, "Bearer") && token != ""
}

// pathOf splits what follows the root of a call's path.
func pathOf(call *protocol.Call, root string) (parts []string, query string, ok bool) {
	path, query, _ := strings.Cut(string(call.Target), "?")
	if path == root {
		return nil, query, true
	}
	rest, ok := strings.CutPrefix(path, root+"/")
	if !ok {
		return nil, "", false
	}
	parts = strings.Split(rest, "/")
	for i, p := range parts {
		plain, err := url.PathUnescape(p)
		if err != nil || plain == "" {
			return nil, "", false
		}
		parts[i] = plain
	}
	return parts, query, true
}

// answerer is a call that is owed an answer.
type answerer interface {
	Reply(status int, extra string, body []byte)
}

func reply(call answerer, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // all that is answered is made of plain fields
	}
	call.Reply(status, jsonType, append(body, '\n'))
}

func replyError(call answerer, e *drmaa.Error) {
	extra := jsonType
	if e.RetryAfter > 0 {
		extra += protocol.RetryAfter(e.RetryAfter)
	}
	body, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	call.Reply(e.Status, extra, append(body, '\n'))
}

// decodeBody reads the JSON object of a call's body, which may be absent.
func decodeBody(call *protocol.Call, into any) *drmaa.Error {
	if len(call.Body) == 0 {
		return nil
	}
	return drmaa.Decode(call.Body, into, "the body")
}

// FormatError writes the answer to a request that cannot be read as an error of the
// binding's, for a server's use.
func FormatError(status int, text string) (extra string, body []byte) {
	e := &drmaa.Error{Name: drmaa.InvalidArgument, Message: text}
	if status == 503 {
		e.Name = drmaa.TryLater
	}
	body, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return jsonType, append(body, '\n')
}

func checkName(name string) *drmaa.Error {
	if name == "" || len(name) > 64 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" ||
		name == "." || name == ".." {
		return drmaa.InvalidArgumentError("name", "wants 1 to 64 of letters, digits, '-', '_' and '.'")
	}
	return nil
}

// manager answers for the session manager's attributes and its supports().
func (f *Front) manager(call *apiCall) {
	reply(call, 200, drmaa.Manager{DrmsName: "ospreybend", DrmsVersion: f.version, DrmaaName: "ospreybend HTTP binding",
		DrmaaVersion: "2.2", Categories: slices.Sorted(maps.Keys(f.jobs.Classes())), Supports: drmaa.Supports(), UnsupportedAttributes: drmaa.UnsupportedAttributes,
		MaxBulkJobs: drmaa.MaxBulkJobs})
}

func (f *Front) sessions(call *apiCall) {
	all := f.jobs.Sessions(call.tenant)
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	reply(call, 200, map[string]any{"sessions": names, "x_sessions": all})
}

// newSession is createJobSession and openJobSession. Without a mode it makes the
// session or opens it, whichever is needed.
func (f *Front) newSession(call *apiCall) {
	var in struct {
		Name string `json:"name"`
		Mode string `json:"mode"`
	}
	e := decodeBody(call.Call, &in)
	if e == nil {
		e = checkName(in.Name)
	}
	must, ok := map[string]string{"": "", "create": "create", "open": "exist"}[in.Mode]
	if e == nil && !ok {
		e = drmaa.InvalidArgumentError("mode", "neither create nor open")
	}
	if e != nil {
		replyError(call, e)
		return
	}
	f.jobs.SetSession(call.tenant, in.Name, jobs.SessionOpen, must, f.showSession(call, 201))
}

func (f *Front) showSession(call *apiCall, status int) func(*jobs.Session, *drmaa.Error) {
	return func(s *jobs.Session, e *drmaa.Error) {
		switch {
		case e != nil:
			replyError(call, e)
		case status == 204:
			call.Reply(204, "", nil)
		default:
			reply(call, status, s.View())
		}
	}
}

func (f *Front) session(call *apiCall) {
	for _, s := range f.jobs.Sessions(call.tenant) {
		if s.Name == call.path[1] {
			reply(call, 200, s)
			return
		}
	}
	replyError(call, jobs.UnknownSession)
}

func (f *Front) setSession(call *apiCall, state string) {
	f.jobs.SetSession(call.tenant, call.path[1], state, "exist", f.showSession(call, 204))
}

func (f *Front) controlSession(call *apiCall) {
	action, e := readAction(call)
	switch {
	case e != nil:
		replyError(call, e)
	case action == "open":
		f.jobs.SetSession(call.tenant, call.path[1], jobs.SessionOpen, "exist", f.showSession(call, 200))
	case action == "close":
		f.jobs.SetSession(call.tenant, call.path[1], jobs.SessionClosed, "exist", f.showSession(call, 200))
	case action == "destroy":
		f.jobs.DestroySession(call.tenant, call.path[1], func(e *drmaa.Error) {
			if e != nil {
				replyError(call, e)
				return
			}
			call.Reply(204, "", nil)
		})
	default:
		replyError(call, drmaa.InvalidArgumentError("action", "%q is unknown", action))
	}
}

func readAction(call *apiCall) (string, *drmaa.Error) {
	var in struct {
		Action string `json:"action"`
	}
	e := decodeBody(call.Call, &in)
	if e == nil && in.Action == "" {
		e = drmaa.InvalidArgumentError("action", "missing")
	}
	return in.Action, e
}
