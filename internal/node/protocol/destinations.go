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
	idleCloseMargin    = time.Second            // a connection closes this long before the destination would
	probeTimeout       = 500 * time.Millisecond // a probe that takes longer says nothing more
	maxLineBytes       = maxBodyBytes + 4<<10   // most bytes of one line of an answer
	distrustIdleTime   = time.Minute            // how long kept connections are mistrusted after one has failed
	minIdleBeforeReuse = 25 * time.Millisecond  // a second answer, if one comes, comes within it
	responseEndTimeout = 250 * time.Millisecond // the end of an answer, behind its last line
)

// DestinationConfig is what the destinations' side is told.
type DestinationConfig struct {
	Host           string
	MaxConnections int // connections at most, those being made included
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	ReportFields   []string // the fields' names, in the order of the settings
}

// Destinations carries route steps to destinations over pooled connections.
type Destinations struct {
	config            DestinationConfig
	loop              *eventloop.Loop
	core              *routing.Core
	byID              map[balance.WorkerID]*destination
	exchanges         map[slottable.Handle]*exchange // by route step
	openConns         int                            // connections, those being made included
	distrustIdleUntil time.Duration                  // until when kept connections are mistrusted
	reportIndex       map[string]int                 // a report field's place, by each name it may have

	unreadable uint64        // answers
	nextLogAt  time.Duration // when to log of them again

	attempts  uint64                         // route steps whose last byte has been written
	unflushed map[*exchange]*destinationConn // those whose last byte the system has not taken yet
}

// destination is one prep worker.
type destination struct {
	id         balance.WorkerID
	name       string
	address    string
	idle       []*destinationConn // oldest first
	generation int                // counts what has been called back by hand: connections from before are void
}

// exchange is one exchange with a destination: a route step or a probe.
type exchange struct {
	step          slottable.Handle // 0: a probe
	id            string           // of the request
	nonIdempotent bool             // must not run twice
	destination   *destination
	request       []byte        // of a probe
	work          *routing.Work // of a route step: its request is made as it is written, since it tells the time left
	until         time.Duration
	conn          *destinationConn // nil: still being made
	abandon       func()           // gives up the making of the connection
	sentAt        time.Duration
	timeout       *timerqueue.Timer // of a probe
	ended         bool
}

// NewDestinations makes the adapter.
func NewDestinations(config DestinationConfig, loop *eventloop.Loop, core *routing.Core) *Destinations {
	d := &Destinations{config: config, loop: loop, core: core, byID: map[balance.WorkerID]*destination{},
		exchanges: map[slottable.Handle]*exchange{}, reportIndex: map[string]int{}, unflushed: map[*exchange]*destinationConn{}}
	for i, name := range config.ReportFields {
		d.reportIndex[name] = i
		// The settings name the fields as the simulator's wire does; on the
		// sockets some have the names that the protocol page shows.
		if other, ok := reportFieldAliases[name]; ok {
			d.reportIndex[other] = i
		}
	}
	return d
}

var reportFieldAliases = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// SetAddress tells where a destination is. Names are its identity; the address of
// one may change, and with it all its idle connections are void.
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

// InvalidateConnections has nothing more go over the connections made so far to a destination:
// another process is to answer there. What is in work on them ends as it ends.
func (d *Destinations) InvalidateConnections(id balance.WorkerID) {
	if target := d.byID[id]; target != nil {
		target.generation++
		d.CloseIdle(id)
	}
}

// SetMaxConnections changes how many connections there may be. Idle ones over it are closed.
func (d *Destinations) SetMaxConnections(sockets int) {
	d.config.MaxConnections = sockets
	for d.openConns > sockets && d.closeLongestIdle() {
	}
}

// Attempts counts the route steps that have been written whole. One whose last
// bytes wait for the system is looked at anew.
func (d *Destinations) Attempts() uint64 {
	for ex, c := range d.unflushed {
		if c.conn.Flushed() {
			delete(d.unflushed, ex)
			d.attempts++
		}
	}
	return d.attempts
}

// countWritten notes that a trip's request has been given to the system, or waits for it.
func (d *Destinations) countWritten(ex *exchange, c *destinationConn) {
	switch {
	case ex.step == 0:
	case c.conn.Flushed():
		d.attempts++
	default:
		d.unflushed[ex] = c
	}
}

// countIfFlushed decides on a request that waited for the system, as its connection ends.
func (d *Destinations) countIfFlushed(ex *exchange, c *destinationConn) {
	if _, waits := d.unflushed[ex]; waits {
		delete(d.unflushed, ex)
		if c.conn.Flushed() {
			d.attempts++
		}
	}
}

// Name returns a destination's name; empty where it is not listed any more.
func (d *Destinations) Name(id balance.WorkerID) string {
	if target := d.byID[id]; target != nil {
		return target.name
	}
	return ""
}

// Remove forgets a destination. Steps that are out end as they end.
func (d *Destinations) Remove(id balance.WorkerID) {
	d.CloseIdle(id)
	delete(d.byID, id)
}

// Retain removes all destinations but those listed.
func (d *Destinations) Retain(listed map[balance.WorkerID]bool) {
	for id := range d.byID {
		if !listed[id] {
			d.Remove(id)
		}
	}
}

// CloseIdle closes the idle connections to a destination.
func (d *Destinations) CloseIdle(id balance.WorkerID) {
	target := d.byID[id]
	if target == nil {
		return
	}
	for _, c := range slices.Clone(target.idle) {
		c.close()
	}
}

// distrustIdle notes that a kept connection has failed its next request. What broke
// it may have broken others.
func (d *Destinations) distrustIdle() { d.distrustIdleUntil = d.loop.Now() + distrustIdleTime }

// Send starts a route step.
func (d *Destinations) Send(step slottable.Handle, id balance.WorkerID, work *routing.Work, until time.Duration) {
	target := d.byID[id]
	if target == nil {
		d.core.StepEnded(step, routing.StepEnd{Outcome: balance.NotSent})
		return
	}
	ex := &exchange{step: step, id: work.ID, nonIdempotent: work.Once, destination: target, work: work, until: until, sentAt: d.loop.Now()}
	d.exchanges[step] = ex
	d.start(ex)
}

func (d *Destinations) requestBytes(work *routing.Work, until time.Duration) []byte {
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
	buffer = strconv.AppendFloat(buffer, (until - d.loop.Now()).Seconds(), 'f', 3, 64)
	buffer = append(buffer, "\r\nContent-Length: "...)
	buffer = strconv.AppendInt(buffer, int64(len(work.Body)), 10)
	buffer = append(buffer, "\r\n\r\n"...)
	return append(buffer, work.Body...)
}

// Probe asks a destination for its load.
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

// start puts a trip on an idle connection, or on a new one. While kept
// connections are mistrusted, what must not run twice gets a new one: where that
// does not come up the request never ran, but a kept one that turns out dead
// when the request is out leaves that open.
func (d *Destinations) start(ex *exchange) {
	if c := d.takeIdle(ex); c != nil {
		d.write(ex, c)
		return
	}
	if d.openConns >= d.config.MaxConnections && !d.closeLongestIdle() {
		slog.Warn("no descriptor for a destination", "open", d.openConns, "most", d.config.MaxConnections)
		d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.dial(ex)
}

// Abort gives a route step up: its connection closes, or never comes up.
func (d *Destinations) Abort(step slottable.Handle) {
	if ex := d.exchanges[step]; ex != nil {
		delete(d.exchanges, step)
		d.detach(ex)
	}
}

// detach ends a trip's part on the network without a word to the core.
func (d *Destinations) detach(ex *exchange) {
	if ex.abandon != nil {
		ex.abandon() // it counts as open until its socket is closed
		ex.abandon = nil
	}
	if c := ex.conn; c != nil && c.exchange == ex {
		d.countIfFlushed(ex, c)
		c.exchange = nil
		c.close()
	}
}

// conclude tells the outcome of a trip, once.
func (d *Destinations) conclude(ex *exchange, end routing.StepEnd) {
	if ex.ended {
		return
	}
	ex.ended = true
	if c := d.unflushed[ex]; c != nil {
		// It answers, so that it has all; or it could not read the rest.
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
