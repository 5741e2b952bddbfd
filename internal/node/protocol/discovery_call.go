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

// discoveryCall is one HTTP call to the pool config. It has its own connection, which a watch
// reuses for its next call.
type discoveryCall struct {
	owner      *Discovery
	conn       *eventloop.Conn
	cancelDial func()
	timeout    *timerqueue.Timer
	target     string        // path and query
	hold       time.Duration // how long the service may wait for a change
	retried    bool          // the call is the retry after a failure
	pending    bool          // the answer is not complete
	headRead   bool
	status     int
	closeAfter bool
	body       http1.BodyReader
	response   []byte
}

// send sends a call on its connection or on a new one.
func (d *Discovery) send(call *discoveryCall, target string) {
	request := []byte("GET " + target + " HTTP/1.1\r\nHost: " + d.config.Address + "\r\n\r\n")
	call.target, call.pending, call.headRead, call.response = target, true, false, nil
	slog.Debug("pool config asked", "target", target)
	d.counts.Sent++
	call.timeout = d.loop.Timers.Add(d.loop.Now()+call.hold+d.answerTimeout(call), func() {
		// Unless lists are pushed each time-out is retried: an overloaded service would reject the
		// call instead, and the node will soon count as knowing a change that it may have missed.
		call.retried = call.retried && d.config.Pushed
		d.counts.TimedOut++
		call.fail("no answer before the time-out")
	})
	if call.conn != nil {
		if !call.conn.Send(request) {
			call.conn = nil
			call.fail("connection lost")
		}
		return
	}
	call.cancelDial = d.loop.Dial(d.config.Address, d.config.ConnectTimeout, call, func(conn *eventloop.Conn, err error) {
		call.cancelDial = nil
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
	if c.cancelDial != nil {
		c.cancelDial()
		c.cancelDial = nil
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// fail ends a call without a valid answer. The call is retried once, and after each time-out, on
// a new connection and without a hold time: the service may have closed the old connection or
// restarted, and the node will soon count as knowing the changes since. If the retry fails too,
// the balancer is informed and decides when to call again.
func (c *discoveryCall) fail(reason string) {
	d := c.owner
	c.close()
	if !c.retried && (c == d.watch || c == d.fetch) {
		slog.Info("pool config call retried", "reason", reason)
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
		d.retryAgent(reason)
		return
	}
	slog.Warn("pool config call failed", "reason", reason)
	d.core.PoolChanged(balance.ListUpdate{Kind: balance.ListFailed, Version: d.version})
}

// retryAgent schedules the next call to the agent. The agent does not answer while the service is down.
func (d *Discovery) retryAgent(reason string) {
	if !d.agentSilenceLogged {
		slog.Warn("agent does not answer", "reason", reason)
		d.agentSilenceLogged = true
	}
	wait := pushedRetryDelay/2 + time.Duration(rand.Int64N(int64(pushedRetryDelay)))
	d.loop.Timers.Add(d.loop.Now()+wait, func() {
		if d.watchWanted && d.watch == nil {
			d.Watch(true)
		}
	})
}

// Closed implements eventloop.Handler: the connection has ended, which completes a body without
// a length.
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
			c.fail("the list is over 8 MiB")
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

// finish processes a complete answer. A watch's next call is sent before the list is published:
// the service would count a later one as a new watch.
func (c *discoveryCall) finish() {
	d := c.owner
	d.loop.Timers.Cancel(c.timeout)
	c.pending = false
	if c.status != 200 {
		d.counts.Rejected++
		c.retried = true // prevents a retry: the service is down or overloaded
		c.fail("status " + strconv.Itoa(c.status))
		return
	}
	var list EndpointList
	if err := json.Unmarshal(c.response, &list); err != nil {
		c.fail("the list cannot be parsed: " + err.Error())
		return
	}
	slog.Debug("pool config answered", "version", list.Version, "entries", len(list.Entries))
	d.counts.Answered++
	c.retried, d.agentSilenceLogged = false, false
	if c.closeAfter {
		c.close()
	}
	kind := balance.ListChanges
	if list.Snapshot {
		kind = balance.ListFull
	}
	skipPublish := false
	switch c {
	case d.fetch:
		d.fetch = nil
		c.close()
	case d.watch:
		skipPublish = !d.firstPoll && !list.Snapshot && len(list.Entries) == 0
		d.firstPoll = false
		switch {
		case list.Snapshot || list.Version >= d.version:
			d.version = list.Version
		default:
			// The answer is from another instance of the service, or one that has lost its
			// state: its changes do not apply to the present list. The complete list is
			// requested immediately.
			slog.Warn("pool config: the version goes backwards", "from", d.version, "to", list.Version)
			d.version, d.firstPoll, skipPublish = 0, true, true
		}
		d.pollWatch()
	}
	if !skipPublish {
		d.publish(kind, list)
	}
}
