package protocol

import (
	"bytes"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/util/http1"
)

const (
	maxDeadline = time.Hour // a client that names a longer one waits as long as this
	maxID       = 256       // most bytes of a Req-Id, and of a client's own key

	idempotencyKey = "Idempotency-Key" // passes on as it comes
)

// FrontConfig is what the platform front is told.
type FrontConfig struct {
	Listen  string
	Sockets int            // front sockets at most
	Memory  int            // bytes of input held at most
	Classes map[string]int // by name
	Tenants map[string]int
	GiveUp  []time.Duration // by class: the deadline where a client names none
	Retry   bool            // advice on when to come back is allowed
	Able    func() bool     // whether clients are to come; nil: where any destination is ready
}

// Front is the platform's front: clients' requests in, final answers out.
type Front struct {
	*Server
	config  FrontConfig
	core    *routing.Core
	calls   map[slottable.Handle]*Call // by operation
	open    map[string]bool            // the ids of the operations in work
	leaving bool                       // told to stop: not healthy any more
}

// NewFront makes the front; Start opens it.
func NewFront(config FrontConfig, loop *eventloop.Loop, core *routing.Core) *Front {
	f := &Front{config: config, core: core, calls: map[slottable.Handle]*Call{}, open: map[string]bool{}}
	f.Server = NewServer(loop, config.Listen, config.Sockets, config.Memory, f.request)
	return f
}

// Leave tells the front that the node is to stop soon; it serves on.
func (f *Front) Leave() { f.leaving = true }

func (f *Front) able() bool {
	if f.config.Able != nil {
		return f.config.Able()
	}
	return f.core.Able()
}

func (f *Front) request(c *Call) {
	path, _, _ := bytes.Cut(c.Target, []byte{'?'})
	if string(path) == "/healthz" {
		switch {
		case string(c.Method) != "GET":
			c.Reject(405, "only GET is allowed")
		case f.leaving || !f.able():
			c.Reply(503, "", nil)
		default:
			c.Reply(200, "", nil)
		}
		return
	}
	first, _, _ := strings.Cut(string(path[1:]), "/")
	class, known := f.config.Classes[first]
	switch {
	case !known:
		c.Reject(404, "no such class")
		return
	case string(c.Method) != "POST":
		c.Reject(405, "only POST is allowed")
		return
	}
	op, err := f.operation(&c.Message, class)
	if err != nil {
		c.Reject(err.Status, err.Reason)
		return
	}
	// A second one would be a second copy to the destinations, and what it brings
	// about could end the first, which is another client's.
	id := op.Work.ID
	if f.open[id] {
		c.Reject(409, "a request of this Req-Id is in work")
		return
	}
	op.Owner = f
	ref := f.core.Take(op)
	c.id = id
	f.register(ref, c) // first, as the answer may come before Route returns
	f.core.Route(ref)
}

func (f *Front) register(ref slottable.Handle, c *Call) {
	f.calls[ref] = c
	f.open[c.id] = true
	c.Gone(func() {
		delete(f.calls, ref)
		delete(f.open, c.id)
		f.core.Withdraw(ref)
	})
}

// operation reads a request's header into an operation.
func (f *Front) operation(m *Message, class int) (routing.Operation, *Fault) {
	now := f.loop.Now()
	for _, prefix := range [...]string{"Req-", idempotencyKey} {
		if name := m.doubled(prefix); name != "" {
			return routing.Operation{}, bad(name + " comes twice")
		}
	}
	op := routing.Operation{Class: class, Slots: 1, Deadline: now + f.config.GiveUp[class]}
	op.Work = routing.Work{ID: string(m.Header("Req-Id")), Target: string(m.Target), Body: bytes.Clone(m.Body),
		Idempotent: string(m.Header(idempotencyKey))}
	switch {
	case len(op.Work.Idempotent) > maxID:
		return op, bad(idempotencyKey + " is too long")
	case op.Work.ID == "":
		return op, bad("Req-Id is missing")
	case len(op.Work.ID) > maxID || !http1.IsToken(op.Work.ID):
		return op, bad("Req-Id is malformed")
	}
	if v := m.Header("Req-Deadline"); v != nil {
		seconds, ok := number(v)
		if !ok {
			return op, bad("Req-Deadline is no number of seconds")
		}
		op.Deadline = now + micros(min(seconds, maxDeadline.Seconds())*1e6)
	}
	if v := m.Header("Req-Cost"); v != nil {
		cost, ok := number(v)
		if !ok {
			return op, bad("Req-Cost is no number of microseconds")
		}
		op.Cost, op.HasCost = micros(min(cost, math.MaxUint32)), true
	}
	op.Repeat = string(m.Header("Req-Retry")) == "1"
	op.Tenant = f.config.Tenants[string(m.Header("Req-Owner"))]
	op.Key = cookie(m.Header("Cookie"), "user")
	for pair := range strings.SplitSeq(string(m.Header("Req-Extra")), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			continue
		}
		v, ok := number([]byte(value))
		if !ok {
			return op, bad("Req-Extra holds no number for " + name)
		}
		switch name {
		case "width", "slots":
			op.Slots = v
		case "memNeeded", "memory":
			op.Memory = v
		}
	}
	return op, nil
}

func micros(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// number reads a decimal that is neither negative nor odd. Go's other spellings
// of numbers are none on the wire.
func number(v []byte) (float64, bool) {
	if bytes.ContainsFunc(v, func(r rune) bool { return !strings.ContainsRune("0123456789.eE+-", r) }) {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(v), 64)
	return f, err == nil && f >= 0 && !math.IsInf(f, 0)
}

// cookie returns a key for the value of a cookie; 0 where it is not there.
func cookie(header []byte, name string) uint64 {
	for part := range bytes.SplitSeq(header, []byte{';'}) {
		k, v, ok := bytes.Cut(bytes.TrimSpace(part), []byte{'='})
		if ok && string(k) == name && len(v) > 0 {
			return max(hash(v), 1)
		}
	}
	return 0
}

func hash(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Answered sends an operation's final answer.
func (f *Front) Answered(op slottable.Handle, a routing.Answer) {
	c := f.calls[op]
	if c == nil {
		return
	}
	delete(f.calls, op)
	delete(f.open, c.id)
	switch a.Verdict {
	case routing.Served:
		c.Reply(200, "Content-Type: text/plain\r\n", a.Result)
	case routing.Refused:
		c.Reply(503, f.retryAfter(a.RetryAfter), nil)
	case routing.Rejected:
		c.Reject(400, "the prep workers can make nothing of it")
	default:
		c.Reply(502, "", nil)
	}
}

func (f *Front) retryAfter(after time.Duration) string {
	if !f.config.Retry || after <= 0 {
		return ""
	}
	return RetryAfter(after)
}

// RetryAfter is the header line that tells when to come back.
func RetryAfter(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}

// Waits looks whether an operation's client is still there. One that has left is heard of
// only when the loop reads its end, behind all that has come before.
func (f *Front) Waits(op slottable.Handle) bool {
	c := f.calls[op]
	if c == nil || !c.socket.conn.Ended() {
		return true
	}
	c.socket.close()
	return false
}

// Started does nothing, as Stepped and StepDone: a client here gets nothing but the
// final answer.
func (f *Front) Started(slottable.Handle, balance.WorkerID) {}

// Stepped does nothing; see Started.
func (f *Front) Stepped(slottable.Handle, balance.WorkerID) {}

// StepDone is of no concern here either.
func (f *Front) StepDone(slottable.Handle, balance.WorkerID, balance.Outcome) {}
