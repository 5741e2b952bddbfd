package protocol

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

const (
	idleCloseMargin    = time.Second // idle connections are closed this long before the destination would close them
	probeTimeout       = 500 * time.Millisecond
	maxLineBytes       = maxBodyBytes + 4<<10   // limit of one line of a response
	distrustIdleTime   = time.Minute            // how long non-idempotent requests avoid idle connections after one has failed
	minIdleBeforeReuse = 25 * time.Millisecond  // idle time before a non-idempotent request may use a connection: a stray second response arrives within it
	responseEndTimeout = 250 * time.Millisecond // from a response's final line to its end
)

// DestinationConfig configures the connections to the prep workers.
type DestinationConfig struct {
	Host           string
	MaxConnections int // includes connections being opened
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	ReportFields   []string // the fields of load reports, in the order of the settings
}

// Destinations sends route steps and probes to the prep workers over pooled connections, and
// reports their outcomes to the core. It implements routing.Destinations.
//
// An outcome must say whether the request may have run, since a non-idempotent request that
// may have run is not retried (balance.Outcome). A request that fails before its last byte was
// written never ran. When an idle connection turns out to be closed by the destination, it is
// unknown whether the request written on it ran. Non-idempotent requests therefore avoid idle
// connections for a time after one has failed.
type Destinations struct {
	config            DestinationConfig
	loop              *eventloop.Loop
	core              *routing.Core
	byID              map[balance.WorkerID]*destination
	exchanges         map[slottable.Handle]*exchange // by route step
	openConns         int                            // includes connections being opened
	distrustIdleUntil time.Duration                  // non-idempotent requests avoid idle connections until then
	reportIndex       map[string]int                 // indexes of report fields, by each of their names

	unreadable uint64        // responses that could not be parsed
	nextLogAt  time.Duration // when unreadable responses may be logged again

	attempts  uint64                         // route steps whose last byte has been written
	unflushed map[*exchange]*destinationConn // route steps whose last byte the operating system has not accepted yet
}

// destination is one prep worker.
type destination struct {
	id         balance.WorkerID
	name       string
	address    string
	idle       []*destinationConn // oldest first
	generation int                // incremented when an override changes: connections of an earlier generation are not used any more
}

// exchange is one request to a destination and its response: a route step or a probe.
type exchange struct {
	step          slottable.Handle // 0: a probe
	id            string           // the request's Req-Id
	nonIdempotent bool
	destination   *destination
	request       []byte        // the bytes of a probe
	work          *routing.Work // of a route step; its request is formatted when written, since it states the remaining time
	deadline      time.Duration
	conn          *destinationConn // nil: the connection is being opened
	cancelDial    func()           // nil: the connection is not being opened
	sentAt        time.Duration
	timeout       *timerqueue.Timer // of a probe
	concluded     bool
}

// NewDestinations returns the adapter, without destinations.
func NewDestinations(config DestinationConfig, loop *eventloop.Loop, core *routing.Core) *Destinations {
	d := &Destinations{config: config, loop: loop, core: core, byID: map[balance.WorkerID]*destination{},
		exchanges: map[slottable.Handle]*exchange{}, reportIndex: map[string]int{}, unflushed: map[*exchange]*destinationConn{}}
	for i, name := range config.ReportFields {
		d.reportIndex[name] = i
		// The settings use the field names of the simulator; in the network protocol some
		// fields have other names.
		if other, ok := reportFieldAliases[name]; ok {
			d.reportIndex[other] = i
		}
	}
	return d
}

// reportFieldAliases maps the settings' names of report fields to the network protocol's.
var reportFieldAliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// SetAddress adds a destination or changes its address. A destination is identified by its name;
// a change of its address closes its idle connections.
func (d *Destinations) SetAddress(id balance.WorkerID, name, address string) {
	target := d.byID[id]
	if target == nil {
		d.byID[id] = &destination{id: id, name: name, address: address}
		return
	}
	if target.address != address {
		target.address = address
		d.CloseIdle(id)
	}
}

// InvalidateConnections excludes a destination's present connections from further use, as when
// its process is restarted. Exchanges in progress on them continue.
func (d *Destinations) InvalidateConnections(id balance.WorkerID) {
	if target := d.byID[id]; target != nil {
		target.generation++
		d.CloseIdle(id)
	}
}

// SetMaxConnections changes the limit of connections, and closes idle ones beyond it.
func (d *Destinations) SetMaxConnections(sockets int) {
	d.config.MaxConnections = sockets
	for d.openConns > sockets && d.closeLongestIdle() {
	}
}

// Attempts returns the number of route steps whose last byte the operating system has accepted.
// It checks those again that were not flushed yet.
func (d *Destinations) Attempts() uint64 {
	for ex, c := range d.unflushed {
		if c.conn.Flushed() {
			delete(d.unflushed, ex)
			d.attempts++
		}
	}
	return d.attempts
}

// countWritten counts an attempt whose request was written and flushed, or records it as unflushed.
func (d *Destinations) countWritten(ex *exchange, conn *destinationConn) {
	switch {
	case ex.step == 0:
	case conn.conn.Flushed():
		d.attempts++
	default:
		d.unflushed[ex] = conn
	}
}

// countIfFlushed counts an attempt recorded as unflushed if it is flushed by now, and ends its record.
func (d *Destinations) countIfFlushed(ex *exchange, conn *destinationConn) {
	if _, waits := d.unflushed[ex]; waits {
		delete(d.unflushed, ex)
		if conn.conn.Flushed() {
			d.attempts++
		}
	}
}

// Name returns a destination's name, or "" if it is not listed any more.
func (d *Destinations) Name(id balance.WorkerID) string {
	if target := d.byID[id]; target != nil {
		return target.name
	}
	return ""
}

// Remove removes a destination. Exchanges in progress continue.
func (d *Destinations) Remove(id balance.WorkerID) {
	d.CloseIdle(id)
	delete(d.byID, id)
}

// Retain removes all destinations except those listed.
func (d *Destinations) Retain(listed map[balance.WorkerID]bool) {
	for id := range d.byID {
		if !listed[id] {
			d.Remove(id)
		}
	}
}

// CloseIdle implements routing.Destinations: it closes the idle connections to a destination.
func (d *Destinations) CloseIdle(id balance.WorkerID) {
	target := d.byID[id]
	if target == nil {
		return
	}
	for _, c := range slices.Clone(target.idle) {
		c.close()
	}
}

// distrustIdle records that a reused connection has failed, since other idle ones may be broken too.
func (d *Destinations) distrustIdle() { d.distrustIdleUntil = d.loop.Now() + distrustIdleTime }

// Send implements routing.Destinations: it starts a route step.
func (d *Destinations) Send(step slottable.Handle, id balance.WorkerID, work *routing.Work, deadline time.Duration) {
	target := d.byID[id]
	if target == nil {
		d.core.StepEnded(step, routing.StepEnd{Outcome: balance.NotSent})
		return
	}
	ex := &exchange{step: step, id: work.ID, nonIdempotent: work.Once, destination: target, work: work, deadline: deadline, sentAt: d.loop.Now()}
	d.exchanges[step] = ex
	d.start(ex)
}

// requestBytes returns the HTTP request of a route step, with the time remaining until its deadline.
func (d *Destinations) requestBytes(work *routing.Work, deadline time.Duration) []byte {
	buffer := make([]byte, 0, 192+len(work.Target)+len(work.Body))
	buffer = append(buffer, "POST "...)
	buffer = append(buffer, work.Target...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, d.config.Host...)
	buffer = append(buffer, "\r\nReq-Id: "...)
	buffer = append(buffer, work.ID...)
	if work.Idempotent != "" {
		buffer = append(buffer, "\r\n"+idempotencyKey+": "...)
		buffer = append(buffer, work.Idempotent...)
	}
	buffer = append(buffer, "\r\nReq-Deadline: "...)
	buffer = strconv.AppendFloat(buffer, (deadline - d.loop.Now()).Seconds(), 'f', 3, 64)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(work.Body)), 10)
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, work.Body...)
}

// Probe implements routing.Destinations: it requests a destination's load report.
func (d *Destinations) Probe(id balance.WorkerID) {
	target := d.byID[id]
	if target == nil {
		d.core.ProbeEnded(balance.ProbeDone{Worker: id, Outcome: balance.ConnectFailed})
		return
	}
	ex := &exchange{destination: target, sentAt: d.loop.Now(),
		request: []byte("GET /load HTTP/1.1\r\nHost: " + d.config.Host + "\r\n\r\n")}
	ex.timeout = d.loop.Timers.Add(ex.sentAt+probeTimeout, func() {
		d.detach(ex)
		d.conclude(ex, routing.StepEnd{Outcome: balance.TimedOut})
	})
	d.start(ex)
}

// start sends an exchange on an idle connection or on a new one. While idle connections are
// distrusted, a non-idempotent request gets a new one: if that cannot be opened, the request
// certainly never ran, whereas with an idle one that breaks after the write it may have run.
func (d *Destinations) start(ex *exchange) {
	if conn := d.takeIdle(ex); conn != nil {
		d.write(ex, conn)
		return
	}
	if d.openConns >= d.config.MaxConnections && !d.closeLongestIdle() {
		slog.Warn("no descriptor for a destination", "open", d.openConns, "most", d.config.MaxConnections)
		d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.dial(ex)
}

// Abort implements routing.Destinations: it abandons a route step and closes its connection.
func (d *Destinations) Abort(step slottable.Handle) {
	if ex := d.exchanges[step]; ex != nil {
		delete(d.exchanges, step)
		d.detach(ex)
	}
}

// detach closes an exchange's connection without reporting an outcome to the core.
func (d *Destinations) detach(ex *exchange) {
	if ex.cancelDial != nil {
		ex.cancelDial() // the connection counts as open until its socket is closed
		ex.cancelDial = nil
	}
	if c := ex.conn; c != nil && c.exchange == ex {
		d.countIfFlushed(ex, c)
		c.exchange = nil
		c.close()
	}
}

// conclude reports the outcome of an exchange to the core, once.
func (d *Destinations) conclude(ex *exchange, end routing.StepEnd) {
	if ex.concluded {
		return
	}
	ex.concluded = true
	if c := d.unflushed[ex]; c != nil {
		// The destination has answered: the request was flushed, or rejected before it was received completely.
		d.countIfFlushed(ex, c)
	}
	d.loop.Timers.Cancel(ex.timeout)
	if ex.step == 0 {
		d.core.ProbeEnded(balance.ProbeDone{Worker: ex.destination.id, Outcome: end.Outcome,
			Elapsed: d.loop.Now() - ex.sentAt, Report: end.Report})
		return
	}
	delete(d.exchanges, ex.step)
	d.core.StepEnded(ex.step, end)
}
