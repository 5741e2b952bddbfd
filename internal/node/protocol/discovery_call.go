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

// discoveryCall is one exchange with the pool config on a connection of its own, which a
// watch keeps for the next.
type discoveryCall struct {
	owner      *Discovery
	conn       *eventloop.Conn
	abandon    func()
	timeout    *timerqueue.Timer
	target     string
	hold       time.Duration // how long it may wait for news
	retried    bool          // asked a second time, after the first failed
	pending    bool          // an answer is owed
	headRead   bool
	status     int
	closeAfter bool
	body       http1.BodyReader
	response   []byte
}

func (d *Discovery) send(call *discoveryCall, target string) {
	request := []byte("GET " + target + " HTTP/1.1\r\nHost: " + d.config.Address + "\r\n\r\n")
	call.target, call.pending, call.headRead, call.response = target, true, false, nil
	slog.Debug("pool config asked", "target", target)
	d.counts.Asked++
	call.timeout = d.loop.Timers.Add(d.loop.Now()+call.hold+d.answerTimeout(call), func() {
		// Silence is no sign of a crowd, in which a call is refused: what broke the connection is
		// over, or it is not, and what is owed is owed soon.
		call.retried = call.retried && d.config.Pushed
		d.counts.Silent++
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

// close ends the call's part on the network.
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

// fail ends a call that has no answer. It is made once more at once, and each time after
// silence, on a new connection and without a hold: the service may have closed the old one or
// come up anew, and what it had to tell meanwhile is owed soon. After that the
// module asks anew when it sees fit.
func (c *discoveryCall) fail(why string) {
	d := c.owner
	c.close()
	if !c.retried && (c == d.watch || c == d.fetch) {
		slog.Info("pool config asked again", "reason", why)
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

// retryAgent has the agent asked again soon: it answers nothing while the service is down.
func (d *Discovery) retryAgent(why string) {
	if !d.agentSilent {
		slog.Warn("the agent does not answer", "reason", why)
		d.agentSilent = true
	}
	wait := pushedRetryDelay/2 + time.Duration(rand.Int64N(int64(pushedRetryDelay)))
	d.loop.Timers.Add(d.loop.Now()+wait, func() {
		if d.watchWanted && d.watch == nil {
			d.Watch(true)
		}
	})
}

// Closed is the pool config's end of the connection.
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

// Data takes in an answer.
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

// finish takes in a whole answer, and has the next watch on its way at once: a
// later one would count as a new watch.
func (c *discoveryCall) finish() {
	d := c.owner
	d.loop.Timers.Cancel(c.timeout)
	c.pending = false
	if c.status != 200 {
		d.counts.Refused++
		c.retried = true // a service that is down or behind is not to be asked twice
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
			// Another service answers, or one that has begun anew: changes since then say
			// nothing of what is listed here. All of it is asked for, at once.
			slog.Warn("pool config: the version goes backwards", "from", d.version, "to", list.Version)
			d.version, d.firstPoll, quiet = 0, true, true
		}
		d.pollWatch()
	}
	if !quiet {
		d.publish(kind, list)
	}
}
