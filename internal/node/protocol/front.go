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
	maxDeadline = time.Hour // longer deadlines are reduced to it
	maxIDBytes  = 256       // limit of a Req-Id, an Idempotency-Key and an endpoint's name

	idempotencyKey = "Idempotency-Key" // forwarded unchanged
)

// FrontConfig configures the platform front.
type FrontConfig struct {
	Listen           string
	MaxSockets       int             // maximum number of connections
	MaxBufferedBytes int             // maximum of unprocessed input, over all connections
	Classes          map[string]int  // class numbers by name
	Tenants          map[string]int  // tenant numbers by name
	DefaultTimeouts  []time.Duration // by class: used if the request has no Req-Deadline
	RetryAdvice      bool            // whether 503 answers may have a Retry-After header
	Healthy          func() bool     // whether /healthz answers 200; nil: it does while any destination is ready
}

// Front serves the platform's clients. Each valid request becomes one operation of the core,
// whose final answer is sent as the response. It implements routing.Owner and routing.DisconnectChecker.
type Front struct {
	*Server
	config       FrontConfig
	core         *routing.Core
	calls        map[slottable.Handle]*Call // by operation
	openIDs      map[string]bool            // the Req-Ids of the operations in progress
	shuttingDown bool                       // /healthz answers 503 from now on
}

// NewFront returns the platform front; Start opens it.
func NewFront(config FrontConfig, loop *eventloop.Loop, core *routing.Core) *Front {
	f := &Front{config: config, core: core, calls: map[slottable.Handle]*Call{}, openIDs: map[string]bool{}}
	f.Server = NewServer(loop, config.Listen, config.MaxSockets, config.MaxBufferedBytes, f.handle)
	return f
}

// BeginShutdown makes /healthz answer 503, so that clients move to another node. Requests are
// still served until Stop.
func (f *Front) BeginShutdown() { f.shuttingDown = true }

// healthy reports whether the node can serve requests.
func (f *Front) healthy() bool {
	if f.config.Healthy != nil {
		return f.config.Healthy()
	}
	return f.core.AnyReady()
}

// handle serves one request: the health check or an operation.
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
	// Destinations identify requests by Req-Id: with two open requests of one Req-Id, the
	// outcome of the second could end the first, which may be another client's.
	id := operation.Work.ID
	if f.openIDs[id] {
		call.Reject(409, "a request of this Req-Id is in work")
		return
	}
	operation.Owner = f
	handle := f.core.Accept(operation)
	call.id = id
	f.register(handle, call) // before Route, which may answer at once
	f.core.Route(handle)
}

// register maps an operation to its call, and withdraws the operation if the client disconnects.
func (f *Front) register(handle slottable.Handle, call *Call) {
	f.calls[handle] = call
	f.openIDs[call.id] = true
	call.OnClientGone(func() {
		delete(f.calls, handle)
		delete(f.openIDs, call.id)
		f.core.Withdraw(handle)
	})
}

// parseOperation converts a request to an operation.
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
	if fault := parseDeadlineAndCost(message, now, &operation); fault != nil {
		return operation, fault
	}
	operation.Repeat = string(message.Header("Req-Retry")) == "1"
	operation.Tenant = f.config.Tenants[string(message.Header("Req-Owner"))]
	operation.Key = cookieHash(message.Header("Cookie"), "user")
	fault := parseExtra(message, &operation)
	return operation, fault
}

// parseDeadlineAndCost reads Req-Deadline (seconds from now) and Req-Cost (microseconds).
func parseDeadlineAndCost(message *Message, now time.Duration, operation *routing.Operation) *Fault {
	if v := message.Header("Req-Deadline"); v != nil {
		seconds, ok := parseNumber(v)
		if !ok {
			return malformed("Req-Deadline is no number of seconds")
		}
		operation.Deadline = now + microseconds(min(seconds, maxDeadline.Seconds())*1e6)
	}
	if v := message.Header("Req-Cost"); v != nil {
		cost, ok := parseNumber(v)
		if !ok {
			return malformed("Req-Cost is no number of microseconds")
		}
		operation.Cost, operation.HasCost = microseconds(min(cost, math.MaxUint32)), true
	}
	return nil
}

// parseExtra reads the slots and the memory from Req-Extra, for example "slots=2, memory=1.5".
func parseExtra(message *Message, operation *routing.Operation) *Fault {
	for pair := range strings.SplitSeq(string(message.Header("Req-Extra")), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			continue
		}
		v, ok := parseNumber([]byte(value))
		if !ok {
			return malformed("Req-Extra holds no number for " + name)
		}
		switch name {
		case "width", "slots":
			operation.Slots = v
		case "memNeeded", "memory":
			operation.Memory = v
		}
	}
	return nil
}

func microseconds(us float64) time.Duration { return time.Duration(us) * time.Microsecond }

// parseNumber parses a finite, non-negative decimal number. Other forms that strconv accepts
// (hexadecimal, underscores, "Inf") are invalid in the protocol.
func parseNumber(v []byte) (float64, bool) {
	if bytes.ContainsFunc(v, func(r rune) bool { return !strings.ContainsRune("0123456789.eE+-", r) }) {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(v), 64)
	return f, err == nil && f >= 0 && !math.IsInf(f, 0)
}

// cookieHash returns a hash of the named cookie's value that is never 0, or 0 if there is no such cookie.
func cookieHash(header []byte, name string) uint64 {
	for part := range bytes.SplitSeq(header, []byte{';'}) {
		k, v, ok := bytes.Cut(bytes.TrimSpace(part), []byte{'='})
		if ok && string(k) == name && len(v) > 0 {
			return max(hash(v), 1)
		}
	}
	return 0
}

// hash returns the 64-bit FNV-1a hash.
func hash(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Answered implements routing.Owner: it sends an operation's final answer.
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

// RetryAfter returns the Retry-After header line, in seconds.
func RetryAfter(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', 3, 64) + "\r\n"
}

// ClientConnected implements routing.DisconnectChecker: it asks the operating system whether an operation's
// client is still connected. The loop sees a disconnect only after it has read all earlier input.
func (f *Front) ClientConnected(op slottable.Handle) bool {
	call := f.calls[op]
	if call == nil || !call.client.conn.PeerClosed() {
		return true
	}
	call.client.close()
	return false
}

// Started implements routing.Owner. Like StepSent and StepEnded it does nothing: clients of
// this front get only the final answer.
func (f *Front) Started(slottable.Handle, balance.WorkerID) {}

// StepSent implements routing.Owner; see Started.
func (f *Front) StepSent(slottable.Handle, balance.WorkerID) {}

// StepEnded implements routing.Owner; see Started.
func (f *Front) StepEnded(slottable.Handle, balance.WorkerID, balance.Outcome) {}
