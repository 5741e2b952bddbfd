// Package httpapi is the HTTP/1.1 and JSON binding of the batch front, as docs/BATCH.md describes
// it, and its administration. It parses and validates calls, authenticates tenants, and writes
// the answers; what a call does is in package jobs.
//
// Front and Admin serve calls of a protocol.Server, on the event loop.
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

// Front serves the calls of batch clients.
type Front struct {
	jobs    *jobs.Manager
	clock   routing.Clock
	timers  *timerqueue.Queue
	version string
}

// New returns a front. version is the program's.
func New(manager *jobs.Manager, clock routing.Clock, timers *timerqueue.Queue, version string) *Front {
	return &Front{jobs: manager, clock: clock, timers: timers, version: version}
}

// apiCall is one authenticated call.
type apiCall struct {
	*protocol.Call
	tenant *jobs.TenantState
	hash   string // of its token; see TokenHash
	method string
	path   []string // the path's parts after the root
	query  string
}

// Serve serves one call of the binding.
func (f *Front) Serve(in *protocol.Call) {
	call := &apiCall{Call: in, method: string(in.Method)}
	// Tokens are looked up by their hashes, so that timing reveals nothing of a token.
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
	serve := route(call)
	if serve == nil {
		replyError(call, unknownPath)
		return
	}
	serve(f, call)
}

// routes are the handlers by method and path. A '*' stands for a session's name, a job's or an
// array's ID.
var routes = map[string]func(*Front, *apiCall){
	"GET ":                             (*Front).manager,
	"GET sessions":                     (*Front).sessions,
	"POST sessions":                    (*Front).newSession,
	"GET sessions/*":                   (*Front).session,
	"DELETE sessions/*":                (*Front).closeSession,
	"POST sessions/*/control":          (*Front).controlSession,
	"POST sessions/*/wait":             (*Front).waitAny,
	"GET sessions/*/events":            (*Front).events,
	"GET sessions/*/jobs":              (*Front).listJobs,
	"POST sessions/*/jobs":             (*Front).submit,
	"GET sessions/*/jobs/*":            (*Front).job,
	"POST sessions/*/jobs/*/wait":      (*Front).wait,
	"POST sessions/*/jobs/*/control":   (*Front).control,
	"POST sessions/*/arrays":           (*Front).submitBulk,
	"GET sessions/*/arrays/*":          (*Front).array,
	"POST sessions/*/arrays/*/wait":    (*Front).waitArray,
	"POST sessions/*/arrays/*/control": (*Front).controlArray,
	"GET monitoring/jobs":              (*Front).listJobs,
	"GET monitoring/queues":            (*Front).queues,
	"GET monitoring/machines":          (*Front).machines,
	"GET monitoring/reservations":      (*Front).reservations,
	"GET reservations":                 (*Front).reservations,
	"POST reservations":                (*Front).reservations,
}

// route returns the handler of a call, or nil.
func route(call *apiCall) func(*Front, *apiCall) {
	shape := slices.Clone(call.path)
	for _, at := range []int{1, 3} {
		if at < len(shape) && shape[0] == "sessions" {
			shape[at] = "*"
		}
	}
	return routes[call.method+" "+strings.Join(shape, "/")]
}

// queues answers with the classes of jobs.
func (f *Front) queues(call *apiCall) {
	reply(call, 200, struct {
		Queues []drmaa.Queue `json:"queues"`
	}{f.jobs.Queues(call.tenant)})
}

// machines answers with the prep workers.
func (f *Front) machines(call *apiCall) {
	reply(call, 200, struct {
		Machines []drmaa.Machine `json:"machines"`
	}{f.jobs.Machines(call.tenant)})
}

// reservations rejects all calls on advance reservations.
func (f *Front) reservations(call *apiCall) {
	replyError(call, drmaa.UnsupportedOperationError("there are no advance reservations"))
}

// TokenHash returns the hexadecimal SHA-256 of a token, by which the store has it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// bearer returns the bearer token of a call.
func bearer(call *protocol.Call) (string, bool) {
	kind, token, _ := strings.Cut(string(call.Header("Authorization")), " ")
	return token, strings.EqualFold(kind, "Bearer") && token != ""
}

// pathOf returns the unescaped parts of a call's path after the root, and the query. ok is false
// if the path is not under the root.
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

// answerer is a call to be answered.
type answerer interface {
	Reply(status int, extra string, body []byte)
}

// reply answers a call with a JSON document.
func reply(call answerer, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: answers have plain fields alone
	}
	call.Reply(status, jsonType, append(body, '\n'))
}

// replyError answers a call with an error of the binding.
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

// decodeBody decodes the JSON object in a call's body, which may be empty.
func decodeBody(call *protocol.Call, into any) *drmaa.Error {
	if len(call.Body) == 0 {
		return nil
	}
	return drmaa.Decode(call.Body, into, "the body")
}

// FormatError returns header lines and body of an error of the binding, for the answer to a
// request that a server rejects; see protocol.Server.FormatError.
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

// checkName checks the name of a session or tenant.
func checkName(name string) *drmaa.Error {
	if name == "" || len(name) > 64 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" ||
		name == "." || name == ".." {
		return drmaa.InvalidArgumentError("name", "wants 1 to 64 of letters, digits, '-', '_' and '.'")
	}
	return nil
}

// manager answers with the session manager's attributes and its supports().
func (f *Front) manager(call *apiCall) {
	reply(call, 200, drmaa.Manager{DrmsName: "ospreybend", DrmsVersion: f.version, DrmaaName: "ospreybend HTTP binding",
		DrmaaVersion: "2.2", Categories: slices.Sorted(maps.Keys(f.jobs.Classes())), Supports: drmaa.Supports(), UnsupportedAttributes: drmaa.UnsupportedAttributes,
		MaxBulkJobs: drmaa.MaxBulkJobs})
}

// sessions answers with the tenant's sessions.
func (f *Front) sessions(call *apiCall) {
	all := f.jobs.Sessions(call.tenant)
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	reply(call, 200, struct {
		Names    []string        `json:"sessions"`
		Sessions []drmaa.Session `json:"x_sessions"`
	}{names, all})
}

// newSession is createJobSession and openJobSession. Without a mode it creates the session or
// opens it, as needed.
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

// showSession returns a callback that answers with a session, or without a body for status 204.
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

// session answers with a session in any state.
func (f *Front) session(call *apiCall) {
	for _, s := range f.jobs.Sessions(call.tenant) {
		if s.Name == call.path[1] {
			reply(call, 200, s)
			return
		}
	}
	replyError(call, jobs.UnknownSession)
}

// closeSession is closeJobSession.
func (f *Front) closeSession(call *apiCall) {
	f.jobs.SetSession(call.tenant, call.path[1], jobs.SessionClosed, "exist", f.showSession(call, 204))
}

// controlSession opens, closes or destroys a session.
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

// readAction returns the action that a call's body names.
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
