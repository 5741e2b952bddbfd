// Package httpapi is the HTTP/1.1 and JSON binding of the batch API, described in docs/BATCH.md, and of
// its administration API. It parses and validates calls, authenticates tenants and writes the
// responses; package jobs implements the operations.
//
// Handler and AdminHandler serve the calls of a protocol.Server, on the event loop.
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
	apiRoot  = "/drmaa/v2"
	maxWait  = 10 * time.Minute
	jsonType = "Content-Type: application/json\r\n"
)

var (
	unknownPath  = &drmaa.Error{Status: 404, Name: drmaa.UnsupportedOperation, Message: "no such operation"}
	invalidToken = &drmaa.Error{Status: 401, Name: drmaa.Denied, Message: "no valid token"}
)

// Handler serves the batch API.
type Handler struct {
	jobs    *jobs.Manager
	clock   routing.Clock
	timers  *timerqueue.Queue
	version string
}

// NewHandler returns the handler of the batch API. version is the version of the program.
func NewHandler(manager *jobs.Manager, clock routing.Clock, timers *timerqueue.Queue, version string) *Handler {
	return &Handler{jobs: manager, clock: clock, timers: timers, version: version}
}

// apiCall is one authenticated call.
type apiCall struct {
	*protocol.Call
	tenant *jobs.TenantState
	hash   string // TokenHash of its token
	method string
	path   []string // the path's segments after apiRoot
	query  string
}

// Serve serves one call of the batch API.
func (h *Handler) Serve(in *protocol.Call) {
	call := &apiCall{Call: in, method: string(in.Method)}
	// Tokens are looked up by their hashes, so that response times reveal nothing about a valid token.
	if token, ok := bearerToken(in); ok {
		call.hash = TokenHash(token)
		call.tenant = h.jobs.ByToken(call.hash)
	}
	if call.tenant == nil {
		replyError(call, invalidToken)
		return
	}
	ok := false
	if call.path, call.query, ok = splitTarget(in, apiRoot); !ok {
		replyError(call, unknownPath)
		return
	}
	serve := route(call)
	if serve == nil {
		replyError(call, unknownPath)
		return
	}
	serve(h, call)
}

// routes maps method and path to the handler. A '*' stands for the name of a session or the ID of a job
// or an array.
var routes = map[string]func(*Handler, *apiCall){
	"GET ":                             (*Handler).getManager,
	"GET sessions":                     (*Handler).listSessions,
	"POST sessions":                    (*Handler).createSession,
	"GET sessions/*":                   (*Handler).getSession,
	"DELETE sessions/*":                (*Handler).closeSession,
	"POST sessions/*/control":          (*Handler).controlSession,
	"POST sessions/*/wait":             (*Handler).waitAny,
	"GET sessions/*/events":            (*Handler).readEvents,
	"GET sessions/*/jobs":              (*Handler).listJobs,
	"POST sessions/*/jobs":             (*Handler).submit,
	"GET sessions/*/jobs/*":            (*Handler).getJob,
	"POST sessions/*/jobs/*/wait":      (*Handler).waitJob,
	"POST sessions/*/jobs/*/control":   (*Handler).controlJob,
	"POST sessions/*/arrays":           (*Handler).submitBulk,
	"GET sessions/*/arrays/*":          (*Handler).getArray,
	"POST sessions/*/arrays/*/wait":    (*Handler).waitArray,
	"POST sessions/*/arrays/*/control": (*Handler).controlArray,
	"GET monitoring/jobs":              (*Handler).listJobs,
	"GET monitoring/queues":            (*Handler).listQueues,
	"GET monitoring/machines":          (*Handler).listMachines,
	"GET monitoring/reservations":      (*Handler).rejectReservations,
	"GET reservations":                 (*Handler).rejectReservations,
	"POST reservations":                (*Handler).rejectReservations,
}

// route returns the handler of a call, or nil if the path or the method is unknown.
func route(call *apiCall) func(*Handler, *apiCall) {
	pattern := slices.Clone(call.path)
	for _, position := range []int{1, 3} {
		if position < len(pattern) && pattern[0] == "sessions" {
			pattern[position] = "*"
		}
	}
	return routes[call.method+" "+strings.Join(pattern, "/")]
}

// listQueues responds with the job classes.
func (h *Handler) listQueues(call *apiCall) {
	reply(call, 200, struct {
		Queues []drmaa.Queue `json:"queues"`
	}{h.jobs.Queues(call.tenant)})
}

// listMachines responds with the prep workers.
func (h *Handler) listMachines(call *apiCall) {
	reply(call, 200, struct {
		Machines []drmaa.Machine `json:"machines"`
	}{h.jobs.Machines(call.tenant)})
}

// rejectReservations rejects all calls on advance reservations.
func (h *Handler) rejectReservations(call *apiCall) {
	replyError(call, drmaa.UnsupportedOperationError("there are no advance reservations"))
}

// TokenHash returns the hexadecimal SHA-256 of a token, the form in which the store holds it.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// bearerToken returns the bearer token of a call. ok is false if there is none.
func bearerToken(call *protocol.Call) (token string, ok bool) {
	kind, token, _ := strings.Cut(string(call.Header("Authorization")), " ")
	return token, strings.EqualFold(kind, "Bearer") && token != ""
}

// splitTarget returns the unescaped segments of a call's path after root, and the query. ok is false if
// the path is not below root or has an empty or invalid segment.
func splitTarget(call *protocol.Call, root string) (parts []string, query string, ok bool) {
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
		unescaped, err := url.PathUnescape(p)
		if err != nil || unescaped == "" {
			return nil, "", false
		}
		parts[i] = unescaped
	}
	return parts, query, true
}

// responder is a call that waits for its response.
type responder interface {
	Reply(status int, extra string, body []byte)
}

// reply responds to a call with v as a JSON document.
func reply(call responder, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: every field of a response can be encoded
	}
	call.Reply(status, jsonType, append(body, '\n'))
}

// replyError responds to a call with an error document.
func replyError(call responder, e *drmaa.Error) {
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

// decodeBody decodes the JSON object in a call's body. An empty body leaves into unchanged.
func decodeBody(call *protocol.Call, into any) *drmaa.Error {
	if len(call.Body) == 0 {
		return nil
	}
	return drmaa.Decode(call.Body, into, "the body")
}

// FormatError returns the header lines and the body of an error document, for a request that the HTTP
// server itself rejects; see protocol.Server.FormatError.
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

// getManager responds with the attributes of the service and the results of supports().
func (h *Handler) getManager(call *apiCall) {
	reply(call, 200, drmaa.Manager{DrmsName: "ospreybend", DrmsVersion: h.version, DrmaaName: "ospreybend HTTP binding",
		DrmaaVersion: "2.2", Categories: slices.Sorted(maps.Keys(h.jobs.Classes())), Supports: drmaa.Supports(), UnsupportedAttributes: drmaa.UnsupportedAttributes,
		MaxBulkJobs: drmaa.MaxBulkJobs})
}

// listSessions responds with the tenant's sessions.
func (h *Handler) listSessions(call *apiCall) {
	all := h.jobs.Sessions(call.tenant)
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	reply(call, 200, struct {
		Names    []string        `json:"sessions"`
		Sessions []drmaa.Session `json:"x_sessions"`
	}{names, all})
}

// createSession is createJobSession and openJobSession. Without a mode it opens the session and creates
// it if it does not exist.
func (h *Handler) createSession(call *apiCall) {
	var in struct {
		Name string `json:"name"`
		Mode string `json:"mode"`
	}
	e := decodeBody(call.Call, &in)
	if e == nil {
		e = checkName(in.Name)
	}
	requirement, ok := map[string]string{"": "", "create": "create", "open": "exist"}[in.Mode]
	if e == nil && !ok {
		e = drmaa.InvalidArgumentError("mode", "neither create nor open")
	}
	if e != nil {
		replyError(call, e)
		return
	}
	h.jobs.SetSession(call.tenant, in.Name, jobs.SessionOpen, requirement, h.sessionReplier(call, 201))
}

// sessionReplier returns a callback that responds with a session, or without a body if status is 204.
func (h *Handler) sessionReplier(call *apiCall, status int) func(*jobs.Session, *drmaa.Error) {
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

// getSession responds with a session in any state.
func (h *Handler) getSession(call *apiCall) {
	for _, s := range h.jobs.Sessions(call.tenant) {
		if s.Name == call.path[1] {
			reply(call, 200, s)
			return
		}
	}
	replyError(call, jobs.UnknownSession)
}

// closeSession is closeJobSession.
func (h *Handler) closeSession(call *apiCall) {
	h.jobs.SetSession(call.tenant, call.path[1], jobs.SessionClosed, "exist", h.sessionReplier(call, 204))
}

// controlSession opens, closes or destroys a session.
func (h *Handler) controlSession(call *apiCall) {
	action, e := readAction(call)
	switch {
	case e != nil:
		replyError(call, e)
	case action == "open":
		h.jobs.SetSession(call.tenant, call.path[1], jobs.SessionOpen, "exist", h.sessionReplier(call, 200))
	case action == "close":
		h.jobs.SetSession(call.tenant, call.path[1], jobs.SessionClosed, "exist", h.sessionReplier(call, 200))
	case action == "destroy":
		h.jobs.DestroySession(call.tenant, call.path[1], func(e *drmaa.Error) {
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

// readAction returns the action named in a call's body.
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
