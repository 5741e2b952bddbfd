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
	maxIDBytes  = 256       // most bytes of a Req-Id, and of a client's own key

	idempotencyKey = "Idempotency-Key" // passes on as it comes
)

// FrontConfig is what the platform front is told.
type FrontConfig struct {
	Listen           string
	MaxSockets       int            // front sockets at most
	MaxBufferedBytes int            // bytes of input held at most
	Classes          map[string]int // by name
	Tenants          map[string]int
	DefaultTimeouts  []time.Duration // by class: the deadline where a client names none
	RetryAdvice      bool            // advice on when to come back is allowed
	Healthy          func() bool     // whether clients are to come; nil: where any destination is ready
}

// Front is the platform's front: clients' requests in, final answers out.
type Front struct {
	*Server
	config       FrontConfig
	core         *routing.Core
	calls        map[slottable.Handle]*Call // by operation
	openIDs      map[string]bool            // the ids of the operations in work
	shuttingDown bool                       // told to stop: not healthy any more
}

// NewFront makes the front; Start opens it.
func NewFront(config FrontConfig, loop *eventloop.Loop, core *routing.Core) *Front {
	f := &Front{config: config, core: core, calls: map[slottable.Handle]*Call{}, openIDs: map[string]bool{}}
	f.Server = NewServer(loop, config.Listen, config.MaxSockets, config.MaxBufferedBytes, f.handle)
	return f
}

// BeginShutdown tells the front that the node is to stop soon; it serves on.
func (f *Front) BeginShutdown() { f.shuttingDown = true }

func (f *Front) healthy() bool {
	if f.config.Healthy != nil {
		return f.config.Healthy()
	}
	return f.core.AnyReady()
}

func (f *Front) handle(call *Call) {
	path, _, _ := bytes.Cut(call.Target, []byte{'?'})
	if string(path) == "/healthz" {
		switch {
		case string(call.Method) != "GET":
			call.Reject(405, "only GET is allowed")
		case f.shuttingDown || !f.healthy():
			call.Reply(503, "", nil)
		default:
			call.Reply(200, "", nil)
		}
		return
	}
	first, _, _ := strings.Cut(string(path[1:]), "/")
	class, known := f.config.Classes[first]
	switch {
	case !known:
		call.Reject(404, "no such class")
		return
	case string(call.Method) != "POST":
		call.Reject(405, "only POST is allowed")
		return
	}
	operation, err := f.parseOperation(&call.Message, class)
	if err != nil {
		call.Reject(err.Status, err.Reason)
		return
	}
	// A second one would be a second copy to the destinations, and what it brings
	// about could end the first, which is another client's.
	id := operation.Work.ID
	if f.openIDs[id] {
		call.Reject(409, "a request of this Req-Id is in work")
		return
	}
	operation.Owner = f
	handle := f.core.Accept(operation)
	call.id = id
	f.register(handle, call) // first, as the answer may come before Route returns
	f.core.Route(handle)
}

func (f *Front) register(handle slottable.Handle, call *Call) {
	f.calls[handle] = call
	f.openIDs[call.id] = true
	call.OnClientGone(func() {
		delete(f.calls, handle)
		delete(f.openIDs, call.id)
		f.core.Withdraw(handle)
	})
}

// parseOperation reads a request's header into an operation.
func (f *Front) parseOperation(message *Message, class int) (routing.Operation, *Fault) {
	now := f.loop.Now()
	for _, prefix := range [...]string{"Req-", idempotencyKey} {
		if name := message.duplicated(prefix); name != "" {
			return routing.Operation{}, malformed(name + " comes twice")
		}
	}
	operation := routing.Operation{Class: class, Slots: 1, Deadline: now + f.config.DefaultTimeouts[class]}
	operation.Work = routing.Work{ID: string(message.Header("Req-Id")), Target: string(message.Target), Body: bytes.Clone(message.Body),
		Idempotent: string(message.Header(idempotencyKey))}
	switch {
	case len(operation.Work.Idempotent) > maxIDBytes:
		return operation, malformed(idempotencyKey + " is too long")
	case operation.Work.ID == "":
		return operation, malformed("Req-Id is missing")
	case len(operation.Work.ID) > maxIDBytes || !http1.IsToken(operation.Work.ID):
		return operation, malformed("Req-Id is malformed")
	}
	if v := message.Header("Req-Deadline"); v != nil {
		seconds, ok := parseNumber(v)
		if !ok {
			return operation, malformed("Req-Deadline is no number of seconds")
		}
		operation.Deadline = now + microseconds(min(seconds, maxDeadline.Seconds())*1e6)
	}
	if v := message.Header("Req-Cost"); v != nil {
		cost, ok := parseNumber(v)
		if !ok {
			return operation, malformed("Req-Cost is no number of microseconds")
		}
		operation.Cost, operation.HasCost = microseconds(min(cost, math.MaxUint32)), true
	}
	operation.Repeat = string(message.Header("Req-Retry")) == "1"
	operation.Tenant = f.config.Tenants[string(message.Header("Req-Owner"))]
	operation.Key = cookieHash(message.Header("Cookie"), "user")
	for pair := range strings.SplitSeq(string(message.Header("Req-Extra")), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			continue
		}
		v, ok := parseNumber([]byte(value))
		if !ok {
			return operation, malformed("Req-Extra holds no number for " + name)
		}
		switch name {
		case "width", "slots":
			operation.Slots = v
		case "memNeeded", "memory":
			operation.Memory = v
		}
	}
	return operation, nil
}

func microseconds(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// parseNumber reads a decimal that is neither negative nor odd. Go's other spellings
// of numbers are none on the wire.
func parseNumber(v []byte) (float64, bool) {
	if bytes.ContainsFunc(v, func(r rune) bool { return !strings.ContainsRune("0123456789.eE+-", r) }) {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(v), 64)
	return f, err == nil && f >= 0 && !math.IsInf(f, 0)
}

// cookieHash returns a key for the value of a cookie; 0 where it is not there.
func cookieHash(header []byte, name string) uint64 {
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
func (f *Front) Answered(op slottable.Handle, answer routing.Answer) {
	call := f.calls[op]
	if call == nil {
		return
	}
	delete(f.calls, op)
	delete(f.openIDs, call.id)
	switch answer.Verdict {
	case routing.Served:
		call.Reply(200, "Content-Type: text/plain\r\n", answer.Result)
	case routing.Refused:
		call.Reply(503, f.retryAfter(answer.RetryAfter), nil)
	case routing.Rejected:
		call.Reject(400, "the prep workers can make nothing of it")
	default:
		call.Reply(502, "", nil)
	}
}

func (f *Front) retryAfter(after time.Duration) string {
	if !f.config.RetryAdvice || after <= 0 {
		return ""
	}
	return RetryAfter(after)
}

// RetryAfter is the header line that tells when to come back.
func RetryAfter(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}

// ClientWaits looks whether an operation's client is still there. One that has left is heard of
// only when the loop reads its end, behind all that has come before.
func (f *Front) ClientWaits(op slottable.Handle) bool {
	call := f.calls[op]
	if call == nil || !call.conn.conn.PeerClosed() {
		return true
	}
	call.conn.close()
	return false
}

// Started does nothing, as Stepped and StepDone: a client here gets nothing but the
// final answer.
func (f *Front) Started(slottable.Handle, balance.WorkerID) {}

// StepSent does nothing; see Started.
func (f *Front) StepSent(slottable.Handle, balance.WorkerID) {}

// StepEnded is of no concern here either.
func (f *Front) StepEnded(slottable.Handle, balance.WorkerID, balance.Outcome) {}
