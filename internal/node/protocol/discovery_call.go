package protocol

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"time"

	"ospreybend/balance"
	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/timerqueue"
	"ospreybend/internal/util/http1"
)

// discoveryCall is one HTTP call to the pool config on a connection of its own, which a watch
// reuses for its next call.
type discoveryCall struct {
	owner      *Discovery
	conn       *eventloop.Conn
	abandon    func()
	timeout    *timerqueue.Timer
	target     string
	hold       time.Duration // how long the service may wait for a change
	retried    bool          // this is the one retry after a failure
	pending    bool          // waits for an answer
	headRead   bool
	status     int
	closeAfter bool
	body       http1.BodyReader
	response   []byte
}

// send makes a call, on its connection or on a new one.
func (d *Discovery) send(call *discoveryCall, target string) {
	request := []byte("GET " + target + " HTTP/1.1\r\nHost: " + d.config.Address + "\r\n\r\n")
	call.target, call.pending, call.headRead, call.response = target, true, false, nil
	slog.Debug("pool config asked", "target", target)
	d.counts.Sent++
	call.timeout = d.loop.Timers.Add(d.loop.Now()+call.hold+d.answerTimeout(call), func() {
		// A time-out is retried each time: an overloaded service rejects calls instead, and the
		// change that the node may have missed is due soon.
		call.retried = call.retried && d.config.Pushed
		d.counts.TimedOut++
		call.fail("no answer in time")
	})
	if call.conn != nil {
		if !call.conn.Send(request) {
			call.conn = nil
			call.fail("connection lost")
		}
		return
	}
	call.abandon = d.loop.Dial(d.config.Address, d.config.ConnectTimeout, call, func(conn *eventloop.Conn, err error) {
		call.abandon = nil
		if err != nil {
			call.fail(err.Error())
			return
		}
		call.conn = conn
		if !conn.Send(request) {
			call.conn = nil
			call.fail("connection lost")
		}
	}, func() {})
}

// close cancels the call's time-out and closes its connection.
func (c *discoveryCall) close() {
	c.owner.loop.Timers.Cancel(c.timeout)
	if c.abandon != nil {
		c.abandon()
		c.abandon = nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// fail ends a call that got no answer. It is retried once, and each time after a time-out, on
// a new connection and without a hold time: the service may have closed the old connection or
// restarted, and the changes meanwhile are due soon. After that the balancer is told, which
// asks again when it sees fit.
func (c *discoveryCall) fail(why string) {
	d := c.owner
	c.close()
	if !c.retried && (c == d.watch || c == d.fetch) {
		slog.Info("pool config call retried", "reason", why)
		c.retried = true
		if c == d.watch {
			d.firstPoll = true
			d.pollWatch()
		} else {
			d.send(c, c.target)
		}
		return
	}
	switch c {
	case d.watch:
		d.watch = nil
	case d.fetch:
		d.fetch = nil
	default:
		return
	}
	if d.config.Pushed {
		d.retryAgent(why)
		return
	}
	slog.Warn("pool config call failed", "reason", why)
	d.core.PoolChanged(balance.ListUpdate{Kind: balance.ListFailed, Version: d.version})
}

// retryAgent schedules the next call to the agent, which does not answer while the service is down.
func (d *Discovery) retryAgent(why string) {
	if !d.agentSilent {
		slog.Warn("agent does not answer", "reason", why)
		d.agentSilent = true
	}
	wait := pushedRetryDelay/2 + time.Duration(rand.Int64N(int64(pushedRetryDelay)))
	d.loop.Timers.Add(d.loop.Now()+wait, func() {
		if d.watchWanted && d.watch == nil {
			d.Watch(true)
		}
	})
}

// Closed implements eventloop.Handler: the connection has ended. A body without a length is
// complete with that.
func (c *discoveryCall) Closed(*eventloop.Conn) {
	c.conn = nil
	if c.headRead && c.body.UntilClose && c.pending {
		c.finish()
		return
	}
	if c.pending {
		c.fail("connection lost")
	}
}

// Data implements eventloop.Handler: it parses the answer.
func (c *discoveryCall) Data(conn *eventloop.Conn, in []byte) int {
	used := 0
	for conn.Open() {
		if !c.headRead {
			var m Message
			n, err := parseResponse(in[used:], &m)
			if err != nil {
				c.fail(err.Reason)
				return len(in)
			}
			if n == 0 {
				return used
			}
			used += n
			c.headRead, c.status, c.closeAfter, c.body = true, m.Status, m.Close, newBodyReader(&m)
		}
		data, n, err := c.body.Next(in[used:])
		if err != nil {
			c.fail(err.Reason)
			return len(in)
		}
		used += n
		if c.response = append(c.response, data...); len(c.response) > maxListBytes {
			c.fail("the list is too long")
			return len(in)
		}
		if c.body.Done {
			c.finish()
			return used
		}
		if n == 0 {
			return used
		}
	}
	return len(in)
}

// finish processes a complete answer. A watch's next call is sent at once, before the list is
// published: a later one would count as a new watch.
func (c *discoveryCall) finish() {
	d := c.owner
	d.loop.Timers.Cancel(c.timeout)
	c.pending = false
	if c.status != 200 {
		d.counts.Rejected++
		c.retried = true // no retry: the service is down or overloaded
		c.fail("status " + strconv.Itoa(c.status))
		return
	}
	var list EndpointList
	if err := json.Unmarshal(c.response, &list); err != nil {
		c.fail("the list cannot be read")
		return
	}
	slog.Debug("pool config answered", "version", list.Version, "entries", len(list.Entries))
	d.counts.Answered++
	c.retried, d.agentSilent = false, false
	if c.closeAfter {
		c.close()
	}
	kind := balance.ListChanges
	if list.Snapshot {
		kind = balance.ListFull
	}
	quiet := false
	switch c {
	case d.fetch:
		d.fetch = nil
		c.close()
	case d.watch:
		quiet = !d.firstPoll && !list.Snapshot && len(list.Entries) == 0
		d.firstPoll = false
		switch {
		case list.Snapshot || list.Version >= d.version:
			d.version = list.Version
		default:
			// Another instance of the service answers, or one that has lost its state: its
			// changes do not apply to the list here. The complete list is requested at once.
			slog.Warn("pool config: the version goes backwards", "from", d.version, "to", list.Version)
			d.version, d.firstPoll, quiet = 0, true, true
		}
		d.pollWatch()
	}
	if !quiet {
		d.publish(kind, list)
	}
}
