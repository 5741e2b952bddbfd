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

// destinationConn is one connection to a destination.
type destinationConn struct {
	owner        *Destinations
	destination  *destination
	conn         *eventloop.Conn
	generation   int       // of the destination, when the connection was made
	exchange     *exchange // in work; nil: idle, or the answer's rest is still to come
	headRead     bool      // the answer's head has been read
	status       int
	declined     bool
	loadHeader   []byte
	body         http1.BodyReader
	closeAfter   bool   // no further exchange on this connection
	partialLine  []byte // the part of a line that is in
	deadline     *timerqueue.Timer
	reused       bool // has served an exchange before
	idleSince    time.Duration
	outcomeKnown bool      // the outcome is known
	unreported   *exchange // whose outcome is known and not told yet
	outcome      routing.StepEnd
}

// takeIdle takes the newest idle connection that may carry a trip. On one that has only just
// become idle a second answer may yet come, and say of the next request that it never ran:
// what must not run twice does not go there.
func (d *Destinations) takeIdle(ex *exchange) *destinationConn {
	now := d.loop.Now()
	if ex.nonIdempotent && now < d.distrustIdleUntil {
		return nil
	}
	for i := len(ex.destination.idle) - 1; i >= 0; i-- {
		c := ex.destination.idle[i]
		if !c.conn.NothingUnread() {
			// Its end has come, or what nobody asked for, and the loop has not read it
			// yet: what is written now would end as a reset.
			c.close()
			continue
		}
		if ex.nonIdempotent && now-c.idleSince < minIdleBeforeReuse {
			continue
		}
		ex.destination.idle = slices.Delete(ex.destination.idle, i, i+1)
		d.loop.Timers.Cancel(c.deadline)
		return c
	}
	return nil
}

func (d *Destinations) dial(ex *exchange) {
	c := &destinationConn{owner: d, destination: ex.destination, generation: ex.destination.generation, exchange: ex}
	d.openConns++
	ex.abandon = d.loop.Dial(ex.destination.address, d.config.ConnectTimeout, c, func(conn *eventloop.Conn, err error) {
		ex.abandon = nil
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				slog.Warn("out of descriptors", "open", d.openConns)
			}
			d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		c.conn = conn
		if ex.step != 0 && !d.core.MayStart(ex.step) {
			// Told to drain, or out of time, while the connection was made: not a
			// byte goes out.
			c.exchange = nil
			c.makeIdle()
			d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		d.write(ex, c)
	}, func() { d.openConns-- })
}

// write writes a trip's request on a connection.
func (d *Destinations) write(ex *exchange, c *destinationConn) {
	c.exchange, ex.conn = ex, c
	c.headRead, c.status, c.declined, c.loadHeader, c.partialLine, c.closeAfter, c.outcomeKnown = false, 0, false, nil, c.partialLine[:0], false, false
	request := ex.request
	if ex.work != nil {
		request = d.requestBytes(ex.work, ex.until)
	}
	ex.request, ex.work = nil, nil
	sent := c.conn.Send(request)
	if ex.step != 0 {
		faultinjection.Hit(faultinjection.BytesWritten)
	}
	if !sent {
		// The request's last byte was never written.
		c.forget()
		d.conclude(ex, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.countWritten(ex, c)
}

// closeLongestIdle gives up the idle connection that has stood longest.
func (d *Destinations) closeLongestIdle() bool {
	var idlest *destinationConn
	var at time.Duration
	for _, target := range d.byID {
		if len(target.idle) > 0 {
			if c := target.idle[0]; idlest == nil || c.deadline.At() < at || c.deadline.At() == at && target.name < idlest.destination.name {
				idlest, at = c, c.deadline.At()
			}
		}
	}
	if idlest == nil {
		return false
	}
	idlest.close()
	return true
}

// makeIdle makes the connection idle.
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

// close ends the connection.
func (c *destinationConn) close() {
	c.conn.Close()
	c.forget()
}

// forget forgets a connection that has ended.
func (c *destinationConn) forget() {
	c.owner.openConns--
	c.owner.loop.Timers.Cancel(c.deadline)
	if i := slices.Index(c.destination.idle, c); i >= 0 {
		c.destination.idle = slices.Delete(c.destination.idle, i, i+1)
	}
}
