package protocol

import (
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/faultinjection"
	"ospreybend/internal/node/routing"
	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/util/http1"
)

// destinationConn is one connection to a destination. It is idle, has one exchange in progress,
// or waits for the end of a response whose outcome is known.
type destinationConn struct {
	owner        *Destinations
	destination  *destination
	conn         *eventloop.Conn
	generation   int       // the destination's generation when the connection was opened
	exchange     *exchange // the exchange in progress; nil: none, or its outcome is known
	headRead     bool      // the response's head has been parsed
	status       int
	declined     bool
	loadHeader   []byte
	body         http1.BodyReader
	closeAfter   bool              // the connection is not reusable after the response
	partialLine  []byte            // the incomplete line received so far
	deadline     *timerqueue.Timer // closes an idle connection, or one whose response does not end
	reused       bool              // it has completed an exchange before
	idleSince    time.Duration
	outcomeKnown bool            // the outcome is known, but the response has not ended
	unreported   *exchange       // an exchange whose outcome has not been reported yet
	outcome      routing.StepEnd // of unreported
}

// takeIdle takes the newest idle connection that an exchange may use, or returns nil. A
// non-idempotent request does not use one that has only just become idle: a stray second
// response might still arrive on it and be taken for the response to that request.
func (d *Destinations) takeIdle(ex *exchange) *destinationConn {
	now := d.loop.Now()
	if ex.nonIdempotent && now < d.distrustIdleUntil {
		return nil
	}
	for i := len(ex.destination.idle) - 1; i >= 0; i-- {
		conn := ex.destination.idle[i]
		if !conn.conn.NothingUnread() {
			// The loop has not yet read its end, or unexpected data: a request written now
			// would end with a reset.
			conn.close()
			continue
		}
		if ex.nonIdempotent && now-conn.idleSince < minIdleBeforeReuse {
			continue
		}
		ex.destination.idle = slices.Delete(ex.destination.idle, i, i+1)
		d.loop.Timers.Cancel(conn.deadline)
		return conn
	}
	return nil
}

// dial opens a connection for an exchange.
func (d *Destinations) dial(ex *exchange) {
	c := &destinationConn{owner: d, destination: ex.destination, generation: ex.destination.generation, exchange: ex}
	d.openConns++
	ex.cancelDial = d.loop.Dial(ex.destination.address, d.config.ConnectTimeout, c, func(conn *eventloop.Conn, err error) {
		ex.cancelDial = nil
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				slog.Warn("out of descriptors", "open", d.openConns)
			}
			d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		c.conn = conn
		if ex.step != 0 && !d.core.MayStart(ex.step) {
			// While the connection was being opened, the destination began to drain or the
			// deadline passed: not a byte may be written.
			c.exchange = nil
			c.makeIdle()
			d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		d.write(ex, c)
	}, func() { d.openConns-- })
}

// write writes an exchange's request on a connection.
func (d *Destinations) write(ex *exchange, conn *destinationConn) {
	conn.exchange, ex.conn = ex, conn
	conn.headRead, conn.status, conn.declined, conn.loadHeader, conn.partialLine, conn.closeAfter, conn.outcomeKnown = false, 0, false, nil, conn.partialLine[:0], false, false
	request := ex.request
	if ex.work != nil {
		request = d.requestBytes(ex.work, ex.deadline)
	}
	ex.request, ex.work = nil, nil
	sent := conn.conn.Send(request)
	if ex.step != 0 {
		faultinjection.Hit(faultinjection.BytesWritten)
	}
	if !sent {
		// The last byte of the request was never written.
		conn.removeFromPool()
		d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.countWritten(ex, conn)
}

// closeLongestIdle closes the connection that has been idle the longest, and reports whether there was one.
func (d *Destinations) closeLongestIdle() bool {
	var oldest *destinationConn
	var oldestDeadline time.Duration
	for _, target := range d.byID {
		if len(target.idle) > 0 {
			if c := target.idle[0]; oldest == nil || c.deadline.At() < oldestDeadline || c.deadline.At() == oldestDeadline && target.name < oldest.destination.name {
				oldest, oldestDeadline = c, c.deadline.At()
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// makeIdle makes the connection available to further exchanges, unless it is outdated.
func (c *destinationConn) makeIdle() {
	d := c.owner
	if !c.conn.Open() || d.byID[c.destination.id] != c.destination || c.generation != c.destination.generation {
		c.close()
		return
	}
	c.exchange = nil
	c.reused, c.idleSince = true, d.loop.Now()
	c.destination.idle = append(c.destination.idle, c)
	keep := max(d.config.IdleTimeout-idleCloseMargin, d.config.IdleTimeout/2)
	if d.config.IdleTimeout == 0 {
		keep = time.Minute
	}
	c.deadline = d.loop.Timers.Add(d.loop.Now()+keep, c.close)
}

// close closes the connection.
func (c *destinationConn) close() {
	c.conn.Close()
	c.removeFromPool()
}

// removeFromPool removes a closed connection from the pool.
func (c *destinationConn) removeFromPool() {
	c.owner.openConns--
	c.owner.loop.Timers.Cancel(c.deadline)
	if i := slices.Index(c.destination.idle, c); i >= 0 {
		c.destination.idle = slices.Delete(c.destination.idle, i, i+1)
	}
}
