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
	owner    *Destinations
	to       *destination
	conn     *eventloop.Conn
	process  int   // of the destination, when the connection was made
	trip     *trip // in work; nil: idle, or the answer's rest is still to come
	head     bool  // the answer's head has been read
	status   int
	declined bool
	load     []byte
	body     http1.BodyReader
	last     bool   // no further exchange on this connection
	line     []byte // the part of a line that is in
	deadline *timerqueue.Timer
	kept     bool // has served an exchange before
	restedAt time.Duration
	told     bool  // the outcome is known
	done     *trip // whose outcome is known and not told yet
	outcome  routing.StepEnd
}

// kept takes the newest idle connection that may carry a trip. On one that has only just
// become idle a second answer may yet come, and say of the next request that it never ran:
// what must not run twice does not go there.
func (d *Destinations) kept(t *trip) *destinationConn {
	now := d.loop.Now()
	if t.once && now < d.wary {
		return nil
	}
	for i := len(t.to.idle) - 1; i >= 0; i-- {
		c := t.to.idle[i]
		if !c.conn.Quiet() {
			// Its end has come, or what nobody asked for, and the loop has not read it
			// yet: what is written now would end as a reset.
			c.close()
			continue
		}
		if t.once && now-c.restedAt < settleFor {
			continue
		}
		t.to.idle = slices.Delete(t.to.idle, i, i+1)
		d.loop.Timers.Cancel(c.deadline)
		return c
	}
	return nil
}

func (d *Destinations) dial(t *trip) {
	c := &destinationConn{owner: d, to: t.to, process: t.to.process, trip: t}
	d.open++
	t.abandon = d.loop.Dial(t.to.address, d.config.ConnectTimeout, c, func(conn *eventloop.Conn, err error) {
		t.abandon = nil
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				slog.Warn("out of descriptors", "open", d.open)
			}
			d.end(t, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		c.conn = conn
		if t.step != 0 && !d.core.MayStart(t.step) {
			// Told to drain, or out of time, while the connection was made: not a
			// byte goes out.
			c.trip = nil
			c.rest()
			d.end(t, routing.StepEnd{Outcome: balance.ConnectFailed})
			return
		}
		d.put(t, c)
	}, func() { d.open-- })
}

// put writes a trip's request on a connection.
func (d *Destinations) put(t *trip, c *destinationConn) {
	c.trip, t.conn = t, c
	c.head, c.status, c.declined, c.load, c.line, c.last, c.told = false, 0, false, nil, c.line[:0], false, false
	request := t.request
	if t.work != nil {
		request = d.request(t.work, t.until)
	}
	t.request, t.work = nil, nil
	sent := c.conn.Send(request)
	if t.step != 0 {
		faultinjection.Hit(faultinjection.BytesWritten)
	}
	if !sent {
		// The request's last byte was never written.
		c.lost()
		d.end(t, routing.StepEnd{Outcome: balance.ConnectFailed})
		return
	}
	d.written(t, c)
}

// closeIdlest gives up the idle connection that has stood longest.
func (d *Destinations) closeIdlest() bool {
	var idlest *destinationConn
	var at time.Duration
	for _, to := range d.byID {
		if len(to.idle) > 0 {
			if c := to.idle[0]; idlest == nil || c.deadline.At() < at || c.deadline.At() == at && to.name < idlest.to.name {
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

// rest makes the connection idle.
func (c *destinationConn) rest() {
	d := c.owner
	if !c.conn.Open() || d.byID[c.to.id] != c.to || c.process != c.to.process {
		c.close()
		return
	}
	c.trip = nil
	c.kept, c.restedAt = true, d.loop.Now()
	c.to.idle = append(c.to.idle, c)
	keep := max(d.config.ConnIdle-idleMargin, d.config.ConnIdle/2)
	if d.config.ConnIdle == 0 {
		keep = time.Minute
	}
	c.deadline = d.loop.Timers.Add(d.loop.Now()+keep, c.close)
}

// close ends the connection.
func (c *destinationConn) close() {
	c.conn.Close()
	c.lost()
}

// lost forgets a connection that has ended.
func (c *destinationConn) lost() {
	c.owner.open--
	c.owner.loop.Timers.Cancel(c.deadline)
	if i := slices.Index(c.to.idle, c); i >= 0 {
		c.to.idle = slices.Delete(c.to.idle, i, i+1)
	}
}
