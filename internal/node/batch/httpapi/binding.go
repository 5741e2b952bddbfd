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
	root        = "/drmaa/v2"
	longestWait = 10 * time.Minute
	jsonType    = "Content-Type: application/json\r\n"
)

var (
	unknownPath = &drmaa.Error{Status: 404, Name: drmaa.UnsupportedOperation, Message: "no such operation"}
	denied      = &drmaa.Error{Status: 401, Name: drmaa.Denied, Message: "no valid token"}
)

// Front answers the calls of batch clients.
type Front struct {
	jobs    *jobs.Manager
	clock   routing.Clock
	due     *timerqueue.Queue
	version string
}

// New makes a front. version is the program's.
func New(m *jobs.Manager, clock routing.Clock, line *timerqueue.Queue, version string) *Front {
	return &Front{jobs: m, clock: clock, due: line, version: version}
}

// call is one call with what was read of it.
type call struct {
	*protocol.Call
	tenant *jobs.TenantState
	hash   string // of its token
	method string
	path   []string // what follows the root
	query  string
}

// Serve answers one call of the binding.
func (f *Front) Serve(in *protocol.Call) {
	c := &call{Call: in, method: string(in.Method)}
	// Tokens are compared by their hashes alone, so that timing tells nothing of one.
	if token, ok := bearer(in); ok {
		c.hash = HashOf(token)
		c.tenant = f.jobs.ByToken(c.hash)
	}
	if c.tenant == nil {
		refuse(c, denied)
		return
	}
	ok := false
	if c.path, c.query, ok = pathOf(in, root); !ok {
		refuse(c, unknownPath)
		return
	}
	serve := f.route(c)
	if serve == nil {
		refuse(c, unknownPath)
		return
	}
	serve(c)
}

// route finds what answers a call. A '*' stands for one part of the path.
func (f *Front) route(c *call) func(*call) {
	shape := slices.Clone(c.path)
	for _, at := range []int{1, 3} {
		if at < len(shape) && shape[0] == "sessions" {
			shape[at] = "*"
		}
	}
	switch c.method + " " + strings.Join(shape, "/") {
	case "GET ":
		return f.manager
	case "GET sessions":
		return f.sessions
	case "POST sessions":
		return f.newSession
	case "GET sessions/*":
		return f.session
	case "DELETE sessions/*":
		return func(c *call) { f.setSession(c, jobs.SessionClosed) }
	case "POST sessions/*/control":
		return f.controlSession
	case "POST sessions/*/wait":
		return f.waitAny
	case "GET sessions/*/events":
		return f.events
	case "GET sessions/*/jobs":
		return f.list
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
		return f.list
	case "GET monitoring/queues":
		return func(c *call) { reply(c, 200, map[string]any{"queues": f.jobs.Queues(c.tenant)}) }
	case "GET monitoring/machines":
		return func(c *call) { reply(c, 200, map[string]any{"machines": f.jobs.Machines(c.tenant)}) }
	case "GET monitoring/reservations", "GET reservations", "POST reservations":
		return func(c *call) { refuse(c, drmaa.Unsupported("there are no advance reservations")) }
	}
	return nil
}

// HashOf is how tokens are stored.
func HashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func bearer(c *protocol.Call) (string, bool) {
	kind, token, _ := strings.Cut(string(c.Header("Authorization")), " ")
	return token, strings.EqualFold(kind, "Bearer") && token != ""
}

// pathOf splits what follows the root of a call's path.
func pathOf(c *protocol.Call, root string) (parts []string, query string, ok bool) {
	path, query, _ := strings.Cut(string(c.Target), "?")
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

func reply(c answerer, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // all that is answered is made of plain fields
	}
	c.Reply(status, jsonType, append(body, '\n'))
}

func refuse(c answerer, e *drmaa.Error) {
	extra := jsonType
	if e.Return > 0 {
		extra += protocol.RetryAfter(e.Return)
	}
	body, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	c.Reply(e.Status, extra, append(body, '\n'))
}

// read reads the JSON object of a call's body, which may be absent.
func read(c *protocol.Call, into any) *drmaa.Error {
	if len(c.Body) == 0 {
		return nil
	}
	return drmaa.Decode(c.Body, into, "the body")
}

// Complain writes the answer to a request that cannot be read as an error of the
// binding's, for a server's use.
func Complain(status int, text string) (extra string, body []byte) {
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

func nameProblem(name string) *drmaa.Error {
	if name == "" || len(name) > 64 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" ||
		name == "." || name == ".." {
		return drmaa.Bad("name", "wants 1 to 64 of letters, digits, '-', '_' and '.'")
	}
	return nil
}

// manager answers for the session manager's attributes and its supports().
func (f *Front) manager(c *call) {
	reply(c, 200, drmaa.Manager{DrmsName: "ospreybend", DrmsVersion: f.version, DrmaaName: "ospreybend HTTP binding",
		DrmaaVersion: "2.2", Categories: slices.Sorted(maps.Keys(f.jobs.Classes())), Supports: drmaa.Supports(), Refused: drmaa.Refused,
		MostBulk: drmaa.MostBulk})
}

func (f *Front) sessions(c *call) {
	all := f.jobs.Sessions(c.tenant)
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	reply(c, 200, map[string]any{"sessions": names, "x_sessions": all})
}

// newSession is createJobSession and openJobSession. Without a mode it makes the
// session or opens it, whichever is needed.
func (f *Front) newSession(c *call) {
	var in struct {
		Name string `json:"name"`
		Mode string `json:"mode"`
	}
	e := read(c.Call, &in)
	if e == nil {
		e = nameProblem(in.Name)
	}
	must, ok := map[string]string{"": "", "create": "create", "open": "exist"}[in.Mode]
	if e == nil && !ok {
		e = drmaa.Bad("mode", "neither create nor open")
	}
	if e != nil {
		refuse(c, e)
		return
	}
	f.jobs.SetSession(c.tenant, in.Name, jobs.SessionOpen, must, f.showSession(c, 201))
}

func (f *Front) showSession(c *call, status int) func(*jobs.Session, *drmaa.Error) {
	return func(s *jobs.Session, e *drmaa.Error) {
		switch {
		case e != nil:
			refuse(c, e)
		case status == 204:
			c.Reply(204, "", nil)
		default:
			reply(c, status, s.View())
		}
	}
}

func (f *Front) session(c *call) {
	for _, s := range f.jobs.Sessions(c.tenant) {
		if s.Name == c.path[1] {
			reply(c, 200, s)
			return
		}
	}
	refuse(c, jobs.UnknownSession)
}

func (f *Front) setSession(c *call, state string) {
	f.jobs.SetSession(c.tenant, c.path[1], state, "exist", f.showSession(c, 204))
}

func (f *Front) controlSession(c *call) {
	action, e := readAction(c)
	switch {
	case e != nil:
		refuse(c, e)
	case action == "open":
		f.jobs.SetSession(c.tenant, c.path[1], jobs.SessionOpen, "exist", f.showSession(c, 200))
	case action == "close":
		f.jobs.SetSession(c.tenant, c.path[1], jobs.SessionClosed, "exist", f.showSession(c, 200))
	case action == "destroy":
		f.jobs.DestroySession(c.tenant, c.path[1], func(e *drmaa.Error) {
			if e != nil {
				refuse(c, e)
				return
			}
			c.Reply(204, "", nil)
		})
	default:
		refuse(c, drmaa.Bad("action", "%q is unknown", action))
	}
}

func readAction(c *call) (string, *drmaa.Error) {
	var in struct {
		Action string `json:"action"`
	}
	e := read(c.Call, &in)
	if e == nil && in.Action == "" {
		e = drmaa.Bad("action", "missing")
	}
	return in.Action, e
}
