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
	idleMargin   = time.Second            // a connection closes this long before the destination would
	probeTimeout = 500 * time.Millisecond // a probe that takes longer says nothing more
	maxLine      = maxBody + 4<<10        // most bytes of one line of an answer
	waryFor      = time.Minute            // how long kept connections are mistrusted after one has failed
	settleFor    = 25 * time.Millisecond  // a second answer, if one comes, comes within it
	restWithin   = 250 * time.Millisecond // the end of an answer, behind its last line
)

// DestinationConfig is what the destinations' side is told.
type DestinationConfig struct {
	Host           string
	Sockets        int // connections at most, those being made included
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	Report         []string // the fields' names, in the order of the settings
}

// Destinations carries route steps to destinations over pooled connections.
type Destinations struct {
	config DestinationConfig
	loop   *eventloop.Loop
	core   *routing.Core
	byID   map[balance.WorkerID]*destination
	trips  map[slottable.Handle]*trip // by route step
	open   int                        // connections, those being made included
	wary   time.Duration              // until when kept connections are mistrusted
	load   map[string]int             // a report field's place, by each name it may have

	unreadable uint64        // answers
	tellAt     time.Duration // when to log of them again

	attempts uint64                     // route steps whose last byte has been written
	partly   map[*trip]*destinationConn // those whose last byte the system has not taken yet
}

// destination is one prep worker.
type destination struct {
	id      balance.WorkerID
	name    string
	address string
	idle    []*destinationConn // oldest first
	process int                // counts what has been called back by hand: connections from before are void
}

// trip is one exchange with a destination: a route step or a probe.
type trip struct {
	step    slottable.Handle // 0: a probe
	id      string           // of the request
	once    bool             // must not run twice
	to      *destination
	request []byte        // of a probe
	work    *routing.Work // of a route step: its request is made as it is written, since it tells the time left
	until   time.Duration
	conn    *destinationConn // nil: still being made
	abandon func()           // gives up the making of the connection
	sentAt  time.Duration
	timeout *timerqueue.Timer // of a probe
	over    bool
}

// NewDestinations makes the adapter.
func NewDestinations(config DestinationConfig, loop *eventloop.Loop, core *routing.Core) *Destinations {
	d := &Destinations{config: config, loop: loop, core: core, byID: map[balance.WorkerID]*destination{},
		trips: map[slottable.Handle]*trip{}, load: map[string]int{}, partly: map[*trip]*destinationConn{}}
	for i, name := range config.Report {
		d.load[name] = i
		// The settings name the fields as the simulator's wire does; on the
		// sockets some have the names that the protocol page shows.
		if other, ok := socketNames[name]; ok {
			d.load[other] = i
		}
	}
	return d
}

var socketNames = map[string]string{"outstanding": "inflight", "backlog": "queue", "utilization": "util",
	"recent_ms": "latency_ms", "throughput": "qps", "errors_per_s": "eps"}

// Place tells where a destination is. Names are its identity; the address of
// one may change, and with it all its idle connections are void.
func (d *Destinations) Place(id balance.WorkerID, name, address string) {
	to := d.byID[id]
	if to == nil {
		d.byID[id] = &destination{id: id, name: name, address: address}
		return
	}
	if to.address != address {
		to.address = address
		d.CloseIdle(id)
	}
}

// Renew has nothing more go over the connections made so far to a destination:
// another process is to answer there. What is in work on them ends as it ends.
func (d *Destinations) Renew(id balance.WorkerID) {
	if to := d.byID[id]; to != nil {
		to.process++
		d.CloseIdle(id)
	}
}

// Limit changes how many connections there may be. Idle ones over it are closed.
func (d *Destinations) Limit(sockets int) {
	d.config.Sockets = sockets
	for d.open > sockets && d.closeIdlest() {
	}
}

// Attempts counts the route steps that have been written whole. One whose last
// bytes wait for the system is looked at anew.
func (d *Destinations) Attempts() uint64 {
	for t, c := range d.partly {
		if c.conn.Sent() {
			delete(d.partly, t)
			d.attempts++
		}
	}
	return d.attempts
}

// written notes that a trip's request has been given to the system, or waits for it.
func (d *Destinations) written(t *trip, c *destinationConn) {
	switch {
	case t.step == 0:
	case c.conn.Sent():
		d.attempts++
	default:
		d.partly[t] = c
	}
}

// settle decides on a request that waited for the system, as its connection ends.
func (d *Destinations) settle(t *trip, c *destinationConn) {
	if _, waits := d.partly[t]; waits {
		delete(d.partly, t)
		if c.conn.Sent() {
			d.attempts++
		}
	}
}

// Name returns a destination's name; empty where it is not listed any more.
func (d *Destinations) Name(id balance.WorkerID) string {
	if to := d.byID[id]; to != nil {
		return to.name
	}
	return ""
}

// Remove forgets a destination. Steps that are out end as they end.
func (d *Destinations) Remove(id balance.WorkerID) {
	d.CloseIdle(id)
	delete(d.byID, id)
}

// Keep removes all destinations but those listed.
func (d *Destinations) Keep(listed map[balance.WorkerID]bool) {
	for id := range d.byID {
		if !listed[id] {
			d.Remove(id)
		}
	}
}

// CloseIdle closes the idle connections to a destination.
func (d *Destinations) CloseIdle(id balance.WorkerID) {
	to := d.byID[id]
	if to == nil {
		return
	}
	for _, c := range slices.Clone(to.idle) {
		c.close()
	}
}

// mistrust notes that a kept connection has failed its next request. What broke
// it may have broken others.
func (d *Destinations) mistrust() { d.wary = d.loop.Now() + waryFor }

// Send starts a route step.
func (d *Destinations) Send(step slottable.Handle, id balance.WorkerID, w *routing.Work, until time.Duration) {
	to := d.byID[id]
	if to == nil {
		d.core.StepEnded(step, routing.StepEnd{Outcome: balance.NotSent})
		return
	}
	t := &trip{step: step, id: w.ID, once: w.Once, to: to, work: w, until: until, sentAt: d.loop.Now()}
	d.trips[step] = t
	d.start(t)
}

func (d *Destinations) request(w *routing.Work, until time.Duration) []byte {
	b := make([]byte, 0, 192+len(w.Target)+len(w.Body))
	b = append(b, "POST "...)
	b = append(b, w.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, d.config.Host...)
	b = append(b, "\r\nReq-Id: "...)
	b = append(b, w.ID...)
	if w.Idempotent != "" {
		b = append(b, "\r\n"+idempotencyKey+": "...)
		b = append(b, w.Idempotent...)
	}
	b = append(b, "\r\nReq-Deadline: "...)
	b = strconv.AppendFloat(b, (until - d.loop.Now()).Seconds(), 'f', 3, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(w.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, w.Body...)
}

// Probe asks a destination for its load.
func (d *Destinations) Probe(id balance.WorkerID) {
	to := d.byID[id]
	if to == nil {
		d.core.ProbeEnded(balance.ProbeDone{Worker: id, Outcome: balance.ConnectFailed})
		return
	}
	t := &trip{to: to, sentAt: d.loop.Now(),
		request: []byte("GET /load HTTP/1.1\r\nHost: " + d.config.Host + "\r\n\r\n")}
	t.timeout = d.loop.Timers.Add(t.sentAt+probeTimeout, func() {
		d.drop(t)
		d.end(t, routing.StepEnd{Outcome: balance.TimedOut})
	})
	d.start(t)
}

// start puts a trip on an idle connection, or on a new one. While kept
// connections are mistrusted, what must not run twice gets a new one: where that
// does not come up the request never ran, but a kept one that turns out dead
// when the request is out leaves that open.
func (d *Destinations) start(t *trip) {
	if c := d.kept(t); c != nil {
		d.put(t, c)
		return
	}
	if d.open >= d.config.Sockets && !d.closeIdlest() {
		slog.Warn("no descriptor for a destination", "open", d.open, "most", d.config.Sockets)
		d.end(t, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.dial(t)
}

// Abort gives a route step up: its connection closes, or never comes up.
func (d *Destinations) Abort(step slottable.Handle) {
	if t := d.trips[step]; t != nil {
		delete(d.trips, step)
		d.drop(t)
	}
}

// drop ends a trip's part on the network without a word to the core.
func (d *Destinations) drop(t *trip) {
	if t.abandon != nil {
		t.abandon() // it counts as open until its socket is closed
		t.abandon = nil
	}
	if c := t.conn; c != nil && c.trip == t {
		d.settle(t, c)
		c.trip = nil
		c.close()
	}
}

// end tells the outcome of a trip, once.
func (d *Destinations) end(t *trip, e routing.StepEnd) {
	if t.over {
		return
	}
	t.over = true
	if c := d.partly[t]; c != nil {
		// It answers, so that it has all; or it could not read the rest.
		d.settle(t, c)
	}
	d.loop.Timers.Cancel(t.timeout)
	if t.step == 0 {
		d.core.ProbeEnded(balance.ProbeDone{Worker: t.to.id, Outcome: e.Outcome,
			Elapsed: d.loop.Now() - t.sentAt, Report: e.Report})
		return
	}
	delete(d.trips, t.step)
	d.core.StepEnded(t.step, e)
}
